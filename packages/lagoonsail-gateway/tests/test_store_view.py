"""The store view under lost history, outages, restores and malformed entries."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.peer_digests import ROUND_INTERVAL_MS
from lagoonsail_gateway.restored_keys import HOLD_MS
from lagoonsail_gateway.server_directory import (
    DRAINING,
    READY,
    REGISTRATION_GRACE_MS,
    ServerDirectory,
)
from lagoonsail_gateway.store_access import (
    HistoryLost,
    KeyFormat,
    StoreCalls,
    StoreItem,
    StoreItems,
    StoreRevision,
)
from lagoonsail_gateway.store_view import (
    ANSWER_DELAY_MS,
    MAX_SILENCE_MS,
    RELIST_AFTER_OUTAGE_MS,
    StoreView,
)
from lagoonsail_gateway.view_lag import LAG_TIMEOUT_MS
from lagoonsail_gateway.watch_pacing import (
    FIRST_WATCH_MS,
    MAX_BATCH_FRACTION,
    MAX_WATCH_MS,
    MIN_WATCH_MS,
)

MAX_CHANGE_DELAY_MS = 2000.0
"""Time within which a change must be in force."""
MAX_DIGEST_AGE_MS = 300.0
"""Age up to which digests of a large fleet tell what other routers know."""


def decode_manifest(data):
    if data == b"broken":
        return Unavailable("broken")
    return SimpleNamespace(
        version=int(data), routes=[], limits=SimpleNamespace(tokens_per_s=0.0)
    )


@pytest.fixture
def harness(context, make_record, manual_clock):
    """A view of a store whose answers the test queues with `step`.

    A function among them is called while the watch waits, and returns its answer.
    """
    directory = ServerDirectory(context.clock, MAX_CHANGE_DELAY_MS)
    routers = FleetMembers("r1")
    answers = []
    key_format = KeyFormat(
        "config",
        "evacuate/",
        "servers/",
        "routers/",
        decode_manifest,
        lambda server_id, data: (
            Unavailable("broken")
            if data == b"broken"
            else make_record(server_id, state=data.decode() or READY)
        ),
    )
    waits, interrupts, manifests = [], [], []

    def watch(after, wait_ms):
        waits.append(wait_ms)
        answer = answers.pop(0)
        return answer() if callable(answer) else answer

    calls = StoreCalls(
        lambda: answers.pop(0), watch, lambda: interrupts.append(manual_clock.ms)
    )
    view = StoreView(context, calls, key_format, directory, routers, manifests.append)

    def step(*pages):
        answers.extend(pages)
        for _ in pages:
            view.step()

    return SimpleNamespace(
        view=view,
        directory=directory,
        routers=routers,
        step=step,
        manifests=manifests,
        waits=waits,
        interrupts=interrupts,
    )


def rev(number, generation=1):
    return StoreRevision(generation, number)


def page(revision, *items, generation=1):
    items = [StoreItem(k, v, rev(r, generation)) for k, v, r in items]
    return StoreItems(items, rev(revision, generation))


def servers(harness):
    return {s.record.server_id for s in harness.directory.usable_servers("engine")}


def test_listing_and_changes_are_taken_over(harness):
    harness.step(
        page(5, ("config", b"2", 3), ("servers/a", b"", 4)),
        page(7, ("servers/b", b"", 6), ("servers/a", None, 7)),
    )
    assert harness.view.manifest.version == 2
    assert servers(harness) == {"b"}


# A time limit that counts from too late a moment ends a roll-out too late.
def test_subscriber_learns_since_when_a_change_may_count(harness, manual_clock):
    seen = []
    harness.view.subscribe("order/", lambda item, ms: seen.append((item.key, ms)))

    def wait_then_answer():
        manual_clock.ms = 9000.0
        return page(9, ("order/late", b"", 9))

    manual_clock.ms = 1000.0
    harness.step(page(5, ("order/listed", b"", 5), ("config", b"2", 4)))
    manual_clock.ms = 2000.0
    harness.step(page(6, ("order/at-once", b"", 6)))
    manual_clock.ms = 3000.0
    harness.step(wait_then_answer, Unavailable("down"))
    harness.step(page(12, ("order/after-an-outage", b"", 12)))
    assert seen == [
        ("order/listed", None),
        ("order/at-once", 1000.0),
        ("order/late", 9000.0 - ANSWER_DELAY_MS),
        ("order/after-an-outage", None),
    ]


def test_older_manifest_never_returns(harness):
    harness.step(page(5, ("config", b"7", 5)), page(6, ("config", b"4", 6)))
    assert harness.view.manifest.version == 7
    assert [manifest.version for manifest in harness.manifests] == [7]


def test_stale_listing_takes_nothing_back(harness):
    harness.step(
        page(5, ("config", b"2", 5)),
        page(9, ("servers/a", b"", 9)),
        HistoryLost("gone"),
        page(4, ("config", b"1", 4)),
    )
    assert harness.view.manifest.version == 2
    assert servers(harness) == {"a"}


def test_server_that_left_while_history_was_lost_is_gone(harness):
    harness.step(
        page(5, ("servers/a", b"", 4), ("servers/b", b"", 5)),
        HistoryLost("gone"),
        page(9, ("servers/b", b"", 5)),
    )
    assert servers(harness) == {"b"}


def test_lapsed_records_are_read_once_more_after_an_outage(harness, manual_clock):
    harness.step(page(5, ("servers/a", b"", 4)), Unavailable("down"))
    harness.step(page(8, ("servers/a", None, 8)))
    assert servers(harness) == {"a"}
    manual_clock.ms += max(RELIST_AFTER_OUTAGE_MS, REGISTRATION_GRACE_MS) + 1.0
    harness.step(page(9))
    harness.directory.expire()
    assert servers(harness) == set()


def names(count):
    return [f"servers/s{n}" for n in range(count)]


# DRAIN: the return of the store was noticed with the change that removed a server.
def test_return_of_the_store_is_noticed_before_the_next_change(harness, manual_clock):
    listing = page(5, *((name, b"", 5) for name in names(2)))
    harness.step(listing, Unavailable("down"), page(5))
    assert harness.waits[-1] == FIRST_WATCH_MS
    manual_clock.ms += max(RELIST_AFTER_OUTAGE_MS, REGISTRATION_GRACE_MS) + 1.0
    # The next watch waits for changes again, and both servers leave while it does.
    harness.step(listing, page(7, *((name, None, 7) for name in names(2))))
    assert harness.waits[-1] > FIRST_WATCH_MS
    assert servers(harness) == set()


# DRAIN: a server that left soon after an outage was kept for longer than allowed.
def test_server_that_leaves_soon_after_an_outage_gets_nothing_more(harness):
    harness.step(page(5, *((name, b"", 5) for name in names(4))))
    harness.step(Unavailable("down"), page(5), page(7, ("servers/s0", None, 7)))
    assert servers(harness) == {"s1", "s2", "s3"}


# DRAIN: a watch that the router itself ended counted as an outage of the store.
def test_watch_that_was_ended_for_lag_is_no_outage(harness, manual_clock):
    harness.step(page(5, ("servers/a", b"", 4)))

    def fall_behind():
        harness.view.update_peer_revision(rev(7))
        manual_clock.ms += LAG_TIMEOUT_MS + 100.0
        harness.view.check_lag()
        return Unavailable("aborted")

    harness.step(fall_behind, page(7, ("servers/a", None, 7)))
    assert len(harness.interrupts) == 1
    assert servers(harness) == set()


def test_malformed_entries_harm_nothing_else(harness):
    harness.step(
        page(
            5,
            ("config", b"2", 2),
            ("servers/a", b"broken", 3),
            ("servers/b", b"", 4),
        ),
        page(6, ("config", b"broken", 6)),
    )
    assert servers(harness) == {"b"}
    assert harness.view.manifest.version == 2


def test_failure_that_nobody_expected_does_not_end_the_view(harness):
    harness.view._calls = StoreCalls(lambda: 1 / 0, None, None)
    assert not harness.view._step_safely()


def test_evacuations_and_members_are_followed(harness):
    harness.step(
        page(5, ("evacuate/north", b"{}", 4), ("routers/r2", b"10.0.0.2:7400", 5))
    )
    assert harness.directory.evacuated == {"north"}
    assert harness.routers.peer_addresses() == [("10.0.0.2", 7400)]
    harness.step(page(7, ("evacuate/north", None, 6), ("routers/r2", None, 7)))
    assert harness.directory.evacuated == set()
    assert harness.routers.peer_addresses() == []


def join(harness, count):
    harness.routers.update({f"p{n}": f"10.0.0.1:{7000 + n}" for n in range(count)})


def test_larger_fleet_watches_longer_and_gathers_changes(harness, manual_clock):
    join(harness, 5)
    harness.step(page(5, ("config", b"2", 5)), page(5))
    join(harness, 400)
    harness.step(page(5))
    assert harness.waits == [MIN_WATCH_MS, MAX_WATCH_MS]
    assert harness.view._batch_pause_ms() == MAX_BATCH_FRACTION * 2000.0
    # The answer to a watch may have been lost in the same failure.
    harness.step(Unavailable("silent"))
    harness.step(page(5))
    assert harness.waits[-1] <= MIN_WATCH_MS


def test_watch_whose_answer_was_lost_ends_when_another_router_knows_more(
    harness, manual_clock
):
    join(harness, 5)
    harness.step(page(5, ("config", b"2", 5)))

    def lose_answer():
        harness.view.update_peer_revision(rev(7))
        harness.view.check_lag()
        assert harness.interrupts == []
        manual_clock.ms += LAG_TIMEOUT_MS + 100.0
        harness.view.check_lag()
        assert len(harness.interrupts) == 1
        return Unavailable("aborted")

    def answer_late():
        # The watch that follows gets more time than the first one.
        manual_clock.ms += LAG_TIMEOUT_MS + 100.0
        harness.view.check_lag()
        assert len(harness.interrupts) == 1
        return page(7, ("config", b"3", 7))

    def wait_long():
        manual_clock.ms += 60_000.0
        harness.view.check_lag()
        return page(7)

    harness.step(lose_answer, answer_late, wait_long)
    assert len(harness.interrupts) == 1
    assert harness.view.manifest.version == 3


# CONFIG: in a large fleet a change came late where the answer to a watch was lost.
@pytest.mark.parametrize("peers", [5, 72, 194])
def test_lost_answer_delays_a_change_by_less_than_the_bound(
    harness, manual_clock, peers
):
    harness.step(page(5, ("config", b"2", 5)))
    join(harness, peers)

    def lose_answer():
        # The others know the change after a batch pause, and digests tell of it.
        manual_clock.ms += harness.view._batch_pause_ms() + MAX_DIGEST_AGE_MS
        harness.view.update_peer_revision(rev(7))
        while not harness.interrupts and manual_clock.ms < 2 * MAX_CHANGE_DELAY_MS:
            manual_clock.ms += ROUND_INTERVAL_MS
            harness.view.check_lag()
        return Unavailable("aborted")

    harness.step(lose_answer)
    call_ms = 100.0
    assert manual_clock.ms + call_ms <= MAX_CHANGE_DELAY_MS


def test_watch_is_not_ended_right_after_it_was_sent(harness, manual_clock):
    harness.step(page(5, ("config", b"2", 5)))
    harness.view.update_peer_revision(rev(7))
    manual_clock.ms += 10 * LAG_TIMEOUT_MS
    harness.view.check_lag()

    def answer_soon():
        manual_clock.ms += LAG_TIMEOUT_MS - 1.0
        harness.view.check_lag()
        return page(7)

    harness.step(answer_soon)
    assert harness.interrupts == []


def test_listing_is_not_ended_though_others_know_more(harness, manual_clock):
    harness.view.update_peer_revision(rev(7))
    manual_clock.ms += 60_000.0
    harness.view.check_lag()
    assert harness.interrupts == []


def test_silence_to_another_call_ends_a_watch_that_has_not_been_heard_lately(
    harness, manual_clock
):
    harness.step(page(5, ("config", b"2", 5)))
    harness.view.restart_silent_watch("no answer")
    assert harness.interrupts == []
    manual_clock.ms += MAX_SILENCE_MS + 1.0
    harness.view.restart_silent_watch("no answer")
    assert len(harness.interrupts) == 1


# The store is restored from an older copy.


def restore(harness, listing):
    """Let the view learn that its history is gone, and list a new generation."""
    harness.step(HistoryLost("gone"), listing)


def pass_time(harness, manual_clock, duration_ms):
    manual_clock.ms += duration_ms
    harness.view.check_lag()
    harness.directory.expire()


# CONFIG, EVAC: changes were ignored until the counter had passed its old value.
def test_changes_after_a_restore_are_taken_over(harness, manual_clock):
    harness.step(page(100, ("config", b"7", 90), ("servers/a", b"", 100)))
    listing = page(
        40,
        ("config", b"8", 38),
        ("servers/b", b"", 39),
        ("evacuate/south", b"{}", 40),
        generation=2,
    )
    restore(harness, listing)
    assert harness.view.manifest.version == 8
    assert harness.directory.evacuated == {"south"}
    # The record of a may only not be there yet.
    assert servers(harness) == {"a", "b"}
    pass_time(harness, manual_clock, REGISTRATION_GRACE_MS + 1.0)
    assert servers(harness) == {"b"}
    harness.step(page(41, ("config", b"9", 41), generation=2))
    assert harness.view.manifest.version == 9


# CONFIG, DENIED: a version that the copy has must not come into force again.
def test_manifest_of_the_copy_does_not_replace_a_newer_one(harness):
    harness.step(page(100, ("config", b"7", 100)))
    restore(harness, page(40, ("config", b"5", 30), generation=2))
    assert harness.view.manifest.version == 7
    harness.step(page(41, ("config", b"7", 41), generation=2))
    assert [manifest.version for manifest in harness.manifests] == [7]


def test_server_that_drains_does_not_become_ready_by_a_restore(harness):
    harness.step(page(100, ("servers/a", DRAINING.encode(), 100)))
    restore(harness, page(40, ("servers/a", b"", 30), generation=2))
    assert servers(harness) == set()


def test_server_that_left_is_not_used_again_because_the_copy_has_it(
    harness, manual_clock
):
    """Guards against requests to a server that has ended since the copy."""
    harness.step(page(99, ("servers/a", b"", 90)), page(100, ("servers/a", None, 100)))
    restore(harness, page(40, ("servers/a", b"", 30), generation=2))
    assert servers(harness) == set()
    pass_time(harness, manual_clock, REGISTRATION_GRACE_MS + 1.0)
    # Nobody has removed it since, so that it lives.
    assert servers(harness) == {"a"}


def test_server_that_writes_again_after_a_restore_is_used_at_once(harness):
    harness.step(page(99, ("servers/a", b"", 90)), page(100, ("servers/a", None, 100)))
    restore(harness, page(40, ("servers/a", b"", 30), generation=2))
    harness.step(page(41, ("servers/a", b"", 41), generation=2))
    assert servers(harness) == {"a"}


def test_server_that_registers_after_a_restore_is_used_at_once_though_it_had_left(
    harness,
):
    """Guards against holding back what can only have been written since the restore."""
    harness.step(page(99, ("servers/a", b"", 90)), page(100, ("servers/a", None, 100)))
    restore(harness, page(40, generation=2))
    harness.step(page(41, ("servers/a", b"", 41), generation=2))
    assert servers(harness) == {"a"}


# DRAIN: what had not changed was of the older generation, and its removal was held.
def test_server_that_leaves_after_a_restore_is_gone_at_once(harness):
    listed = [(name, b"", 30) for name in names(4)]
    harness.step(page(100, *listed))
    restore(harness, page(40, *listed, generation=2))
    harness.step(page(41, ("servers/s0", None, 41), generation=2))
    assert servers(harness) == {"s1", "s2", "s3"}


# EVAC: a domain got requests again because the copy did not know of its evacuation.
def test_evacuation_that_the_copy_lacks_holds_until_it_can_be_written_again(
    harness, manual_clock
):
    harness.step(page(100, ("evacuate/north", b"{}", 100)))
    restore(harness, page(40, generation=2))
    pass_time(harness, manual_clock, HOLD_MS - 1.0)
    assert harness.directory.evacuated == {"north"}
    harness.step(page(41, generation=2))
    assert harness.directory.evacuated == {"north"}
    pass_time(harness, manual_clock, 2.0)
    assert harness.directory.evacuated == set()


def test_evacuation_that_is_written_again_and_ended_ends_at_once(harness):
    harness.step(page(100, ("evacuate/north", b"{}", 100)))
    restore(harness, page(40, generation=2))
    harness.step(page(41, ("evacuate/north", b"{}", 41), generation=2))
    harness.step(page(42, ("evacuate/north", None, 42), generation=2))
    assert harness.directory.evacuated == set()


# BUDGET, FAILBACK: fewer members would each take a larger part of the limits.
def test_members_that_the_copy_lacks_still_count(harness, manual_clock):
    members = [(f"routers/r{n}", b"10.0.0.1:7400 north", 50 + n) for n in (1, 2, 3)]
    harness.step(page(100, *members))
    restore(harness, page(51, members[0], generation=2))
    assert harness.routers.count() == 3
    pass_time(harness, manual_clock, HOLD_MS + 1.0)
    assert harness.routers.count() == 1


def test_second_restore_does_not_prolong_what_the_first_left_open(
    harness, manual_clock
):
    harness.step(page(100, ("evacuate/north", b"{}", 100)))
    restore(harness, page(40, generation=2))
    manual_clock.ms += HOLD_MS - 1.0
    restore(harness, page(30, generation=3))
    pass_time(harness, manual_clock, 2.0)
    assert harness.directory.evacuated == set()


def test_router_that_knows_of_a_later_generation_ends_the_watch(harness, manual_clock):
    """Guards against a watch that waits for a revision that comes again much later."""
    harness.step(page(100, ("config", b"7", 100)))

    def wait():
        harness.view.update_peer_revision(rev(3, generation=2))
        manual_clock.ms += LAG_TIMEOUT_MS + 100.0
        harness.view.check_lag()
        return Unavailable("aborted")

    harness.step(wait)
    assert len(harness.interrupts) == 1
