"""How late the event loop is, for operators."""

from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.events import Timeline
from lagoonsail_router.loop_lateness import LATE_MS, RECENT_MS, LoopLateness


@pytest.fixture
def now():
    return [0.0]


@pytest.fixture
def logged():
    return []


@pytest.fixture
def lateness(now, logged):
    clock = Clock(lambda: now[0], lambda: now[0])
    timeline = Timeline("r1", clock)
    timeline.subscribe(lambda event: logged.append((event.name, event.fields)))
    return LoopLateness(clock, timeline)


def test_largest_recent_lateness_is_kept_and_forgotten(lateness, now):
    lateness.record(50.0)
    lateness.record(5.0)
    assert lateness.recent_ms() == 50.0
    now[0] += RECENT_MS + 1.0
    assert lateness.recent_ms() == 0.0
    assert lateness.durations.count == 2


def test_only_a_lateness_above_the_recent_ones_is_logged(lateness, logged):
    lateness.record(LATE_MS - 1.0)
    for late_ms in (LATE_MS, LATE_MS + 100.0, LATE_MS + 50.0):
        lateness.record(late_ms)
    assert logged == [
        ("loop_late", {"late_ms": 200}),
        ("loop_late", {"late_ms": 300}),
    ]


def test_timer_that_fires_early_counts_as_on_time(lateness):
    lateness.record(-3.0)
    assert lateness.durations.sum_ms == 0.0
