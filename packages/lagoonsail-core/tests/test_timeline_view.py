from __future__ import annotations

import json
from xml.etree import ElementTree

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonsail_core import timeline_view
from lagoonsail_core.clock import Clock
from lagoonsail_core.events import Timeline
from lagoonsail_core.timeline_view import (
    TimelineFormatError,
    merge_events,
    render_json_lines,
    render_svg,
    render_text,
    select_events,
)

SVG = "{http://www.w3.org/2000/svg}"
EVENTS = st.fixed_dictionaries(
    {
        "logical": st.integers(0, 50),
        "wall_ms": st.floats(allow_nan=False, allow_infinity=False),
        "router": st.text(max_size=6),
        "event": st.text(max_size=6),
        "detail": st.one_of(st.text(max_size=12), st.integers()),
    }
)


@pytest.fixture
def events():
    clock = Clock(lambda: 0.0, lambda: 3_723_004.5)
    first = Timeline("r1", clock)
    second = Timeline("router-2", clock)
    first.record("lease_lost", shard="s@a")
    second.observe(first.logical)
    second.record("shard_taken", shard="s@a", epoch=2)
    first.record("stopped", shard="s@b")
    timelines = [second.since(0), first.since(0)]
    return merge_events([[e.as_dict() for e in events] for events in timelines])


def test_events_are_sorted_by_logical_time_wall_time_and_router():
    def event(logical, wall_ms, router):
        return {"logical": logical, "wall_ms": wall_ms, "router": router, "event": "e"}

    merged = merge_events(
        [[event(2, 5.0, "b"), event(1, 9.0, "b")], [event(2, 5.0, "a")], [], []]
        + [[event(2, 4.0, "c")]]
    )
    order = [(item["logical"], item["router"]) for item in merged]
    assert order == [(1, "b"), (2, "c"), (2, "a"), (2, "b")]


def test_cause_precedes_effect(events):
    names = [event["event"] for event in events]
    assert names.index("lease_lost") < names.index("shard_taken")


def test_selected_events_match_all_required_fields(events):
    assert len(select_events(events, {"shard": "s@a"})) == 2
    assert len(select_events(events, {"shard": "s@a", "epoch": "2"})) == 1
    assert select_events(events, {"no_such_field": "None"}) == []
    assert select_events(events, {}) == events


def test_text_has_one_line_per_event(events):
    assert render_text(events).splitlines() == [
        "01:02:03.004        1 r1       lease_lost shard=s@a",
        "01:02:03.004        2 r1       stopped shard=s@b",
        "01:02:03.004        2 router-2 shard_taken shard=s@a epoch=2",
    ]


def test_json_lines_round_trip(events):
    assert [json.loads(line) for line in render_json_lines(events).splitlines()] == (
        events
    )


def test_svg_has_a_circle_per_event_and_a_line_per_router(events):
    root = ElementTree.fromstring(render_svg(events))
    assert len(root.findall(f"{SVG}circle")) == 3
    assert len(root.findall(f"{SVG}line")) == 2
    texts = [element.text for element in root.findall(f"{SVG}text")]
    assert "shard_taken shard=s@a epoch=2" in texts
    assert "router-2" in texts


def test_svg_of_many_events_shows_only_the_last(monkeypatch, events):
    monkeypatch.setattr(timeline_view, "MAX_SVG_EVENTS", 2)
    text = render_svg(events)
    assert "lease_lost" not in text
    assert "1 earlier events left out" in text


def test_rendering_without_events():
    assert render_text([]) == render_json_lines([]) == ""
    assert ElementTree.fromstring(render_svg([])).findall(f"{SVG}circle") == []


@pytest.mark.parametrize(
    "event",
    [
        None,
        [],
        {"wall_ms": 1.0, "router": "r", "event": "e"},
        {"logical": 1, "router": "r", "event": "e"},
        {"logical": True, "wall_ms": 1.0, "router": "r", "event": "e"},
        {"logical": 1, "wall_ms": 1.0, "router": 3, "event": "e"},
    ],
)
def test_malformed_event_raises_timeline_format_error(event):
    with pytest.raises(TimelineFormatError):
        merge_events([[event]])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.lists(EVENTS, max_size=4), max_size=4))
def test_any_events_can_be_shown(timelines):
    events = merge_events(timelines)
    count = sum(map(len, timelines))
    text = render_text(events)
    assert text.count("\n") == len(text.splitlines()) == count
    assert "\x1b" not in text
    assert len(ElementTree.fromstring(render_svg(events)).findall(f"{SVG}circle")) == (
        count
    )
    assert render_json_lines(events).count("\n") == count
