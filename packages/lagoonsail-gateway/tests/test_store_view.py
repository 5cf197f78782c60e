"""The view of the store through lost history, outages and malformed entries."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.fleet_share import RouterCount
from lagoonsail_gateway.server_directory import REGISTRATION_GRACE_MS, ServerDirectory
from lagoonsail_gateway.store_view import (
    BEHIND_MS,
    LONGEST_GATHER_PART,
    LONGEST_WATCH_MS,
    RELIST_AFTER_TROUBLE_MS,
    SHORTEST_WATCH_MS,
    HistoryLost,
    KeyFormat,
    StoreCalls,
    StoreItem,
    StoreItems,
    StoreView,
)


def decode_manifest(data):
    if data == b"broken":
        return Unavailable("broken")
    return SimpleNamespace(
        version=int(data), routes=[], limits=SimpleNamespace(tokens_per_s=0.0)
    )


@pytest.fixture
def world(context, make_record, hand_clock):
    """A view whose store answers with what the test has put into `answers`."""
    directory = ServerDirectory(context.clock)
    routers = RouterCount("r1")
    answers = []
    key_format = KeyFormat(
        "config",
        "evacuate/",
        "servers/",
        "routers/",
        decode_manifest,
        lambda server_id, data: (
            Unavailable("broken") if data == b"broken" else make_record(server_id)
        ),
    )
    waits, interrupts, used = [], [], []

    def watch(after, wait_ms):
        waits.append(wait_ms)
        return answers.pop(0)

    calls = StoreCalls(
        lambda: answers.pop(0), watch, lambda: interrupts.append(hand_clock.ms)
    )
    view = StoreView(context, calls, key_format, directory, routers, used.append)

    def step(*pages):
        answers.extend(pages)
        for _ in pages:
            view.step()

    return SimpleNamespace(
        view=view,
        directory=directory,
        routers=routers,
        step=step,
        used=used,
        waits=waits,
        interrupts=interrupts,
    )


def page(revision, *items):
    return StoreItems([StoreItem(k, v, r) for k, v, r in items], revision)


def servers(world):
    return {s.record.server_id for s in world.directory.usable("engine")}


def test_listing_and_changes_are_taken_over(world):
    world.step(
        page(5, ("config", b"2", 3), ("servers/a", b"", 4)),
        page(7, ("servers/b", b"", 6), ("servers/a", None, 7)),
    )
    assert world.view.manifest.version == 2
    assert servers(world) == {"b"}


def test_older_manifest_never_returns(world):
    world.step(page(5, ("config", b"7", 5)), page(6, ("config", b"4", 6)))
    assert world.view.manifest.version == 7
    assert [manifest.version for manifest in world.used] == [7]


def test_stale_listing_takes_nothing_back(world):
    world.step(
        page(5, ("config", b"2", 5)),
        page(9, ("servers/a", b"", 9)),
        HistoryLost("gone"),
        page(4, ("config", b"1", 4)),
    )
    assert world.view.manifest.version == 2
    assert servers(world) == {"a"}


def test_server_that_left_while_history_was_lost_is_gone(world):
    world.step(
        page(5, ("servers/a", b"", 4), ("servers/b", b"", 5)),
        HistoryLost("gone"),
        page(9, ("servers/b", b"", 5)),
    )
    assert servers(world) == {"b"}


def test_lapsed_records_are_read_once_more_after_an_outage(world, hand_clock):
    world.step(page(5, ("servers/a", b"", 4)), Unavailable("down"))
    world.step(page(8, ("servers/a", None, 8)))
    assert servers(world) == {"a"}
    hand_clock.ms += max(RELIST_AFTER_TROUBLE_MS, REGISTRATION_GRACE_MS) + 1.0
    world.step(page(9))
    world.directory.expire()
    assert servers(world) == set()


def test_malformed_entries_harm_nothing_else(world):
    world.step(
        page(
            5,
            ("config", b"2", 2),
            ("servers/a", b"broken", 3),
            ("servers/b", b"", 4),
        ),
        page(6, ("config", b"broken", 6)),
    )
    assert servers(world) == {"b"}
    assert world.view.manifest.version == 2


def test_failure_that_nobody_expected_does_not_end_the_view(world):
    world.view._calls = StoreCalls(lambda: 1 / 0, None, None)
    assert not world.view._step_guarded()


def test_evacuations_and_members_are_followed(world):
    world.step(
        page(5, ("evacuate/north", b"{}", 4), ("routers/r2", b"10.0.0.2:7400", 5))
    )
    assert world.directory.evacuated == {"north"}
    assert world.routers.peer_addresses() == [("10.0.0.2", 7400)]
    world.step(page(7, ("evacuate/north", None, 6), ("routers/r2", None, 7)))
    assert world.directory.evacuated == set()
    assert world.routers.peer_addresses() == []


def join(world, count):
    world.routers.update({f"p{n}": f"10.0.0.1:{7000 + n}" for n in range(count)})


def test_larger_fleet_watches_longer_and_gathers_changes(world, hand_clock):
    join(world, 5)
    world.step(page(5, ("config", b"2", 5)), page(5))
    join(world, 400)
    world.step(page(5))
    assert world.waits == [SHORTEST_WATCH_MS, LONGEST_WATCH_MS]
    assert world.view._gather_ms() == LONGEST_GATHER_PART * 2000.0
    # The answer to a watch may have been lost in the same trouble.
    world.step(Unavailable("silent"))
    world.step(page(5))
    assert world.waits[-1] <= SHORTEST_WATCH_MS


def test_watch_whose_answer_was_lost_ends_when_another_router_knows_more(
    world, hand_clock
):
    join(world, 5)
    world.step(page(5, ("config", b"2", 5)))
    world.view.note_told(7)
    world.view.check_behind()
    assert world.interrupts == []
    hand_clock.ms += BEHIND_MS + 100.0
    world.view.check_behind()
    assert len(world.interrupts) == 1
    # The watch is asked again, and its answer gets longer than the first time.
    hand_clock.ms += BEHIND_MS + 100.0
    world.view.check_behind()
    assert len(world.interrupts) == 1
    world.step(page(7, ("config", b"3", 7)))
    hand_clock.ms += 60_000.0
    world.view.check_behind()
    assert len(world.interrupts) == 1
    assert world.view.manifest.version == 3


def test_listing_is_not_ended_though_others_know_more(world, hand_clock):
    world.view.note_told(7)
    hand_clock.ms += 60_000.0
    world.view.check_behind()
    assert world.interrupts == []


def test_silence_to_another_call_ends_a_watch_that_has_not_been_heard_lately(
    world, hand_clock
):
    world.step(page(5, ("config", b"2", 5)))
    world.view.note_silence("no answer")
    assert world.interrupts == []
    hand_clock.ms += BEHIND_MS + 1.0
    world.view.note_silence("no answer")
    assert len(world.interrupts) == 1
