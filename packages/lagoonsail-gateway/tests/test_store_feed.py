"""Few routers watch the store and tell the others: lost, late and missing messages."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.server_directory import ServerDirectory
from lagoonsail_gateway.store_access import (
    HistoryLost,
    KeyFormat,
    StoreCalls,
    StoreItem,
    StoreItems,
    StoreRevision,
)
from lagoonsail_gateway.store_feed import (
    HEARTBEAT_INTERVAL_MS,
    MAX_WATCHER_SILENCE_MS,
    MIN_FEED_ROUTERS,
    FeedMessage,
    WatcherChoice,
    decode_feed_message,
)
from lagoonsail_gateway.store_view import FOLLOW_LAG_MS, StoreView

FLEET_SIZE = MIN_FEED_ROUTERS + 6


@pytest.fixture
def make_view(context, make_record, manual_clock):
    """Return a function that makes the view of the router with a given rank."""

    def make(rank, size=FLEET_SIZE):
        routers = FleetMembers("r1")
        members = {f"r{n}": f"10.0.0.1:{n} north" for n in range(1, size + 1)}
        routers.update(members)
        ranked = routers.routers_by_domain()["north"]
        routers = FleetMembers(ranked[rank])
        routers.update(members)
        directory = ServerDirectory(context.clock, 2000.0)
        key_format = KeyFormat(
            "config",
            "evacuate/",
            "servers/",
            "routers/",
            lambda data: Unavailable("none"),
            lambda server_id, _data: make_record(server_id),
        )
        answers, waits, sent = [], [], []
        relisted = []

        def list_all():
            if not relisted:
                return StoreItems(items, rev(5))
            listed = [StoreItem(item.key, item.value, rev(1, 2)) for item in items]
            return StoreItems([*listed, *relisted], rev(4, 2))

        def watch(_after, wait_ms):
            waits.append(wait_ms)
            return answers.pop(0)

        items = [
            StoreItem(f"routers/{name}", location.encode(), rev(1))
            for name, location in members.items()
        ]
        view = StoreView(
            context,
            StoreCalls(list_all, watch, lambda: None),
            key_format,
            directory,
            routers,
            lambda _manifest: None,
            WatcherChoice(manual_clock.clock(), routers, "north"),
            sent.append,
        )
        view.step()
        return SimpleNamespace(
            view=view,
            directory=directory,
            answers=answers,
            waits=waits,
            sent=sent,
            relisted=relisted,
            watchers=ranked[:2],
        )

    return make


def rev(number, generation=1):
    return StoreRevision(generation, number)


def tell(harness, after, revision, *servers, watcher=0):
    items = [StoreItem(f"servers/{name}", b"", rev(revision)) for name in servers]
    name = harness.watchers[watcher]
    harness.view.apply_feed(FeedMessage(name, rev(after), rev(revision), items))


def tell_heartbeats(harness, revision):
    for watcher in (0, 1):
        tell(harness, revision, revision, watcher=watcher)


def servers(harness):
    return {s.record.server_id for s in harness.directory.usable_servers("engine")}


def test_follower_learns_of_a_change_without_a_call(make_view):
    """Guards against a call to the store by each router for each change."""
    follower = make_view(rank=5)
    tell_heartbeats(follower, 5)
    assert follower.view._can_follow()
    tell(follower, 5, 6, "s1")
    assert servers(follower) == {"s1"}
    assert (follower.view.revision, follower.waits) == (rev(6), [])


def test_follower_learns_since_when_a_change_may_count(make_view, manual_clock):
    """Guards against a time limit that counts from the last call, long ago."""
    follower = make_view(rank=5)
    seen = []
    follower.view.subscribe("servers/", lambda _item, ms: seen.append(ms))
    manual_clock.ms = 20_000.0
    tell_heartbeats(follower, 5)
    manual_clock.ms += HEARTBEAT_INTERVAL_MS
    tell(follower, 5, 6, "s1")
    assert 20_000.0 - 1000.0 < seen[0] < 20_000.0


def test_change_that_comes_late_takes_nothing_back(make_view):
    follower = make_view(rank=5)
    tell(follower, 5, 7, "s1")
    stale = [StoreItem("servers/s1", None, rev(6))]
    follower.view.apply_feed(FeedMessage(follower.watchers[1], rev(5), rev(6), stale))
    assert servers(follower) == {"s1"}
    assert follower.view.revision == rev(7)


def test_follower_that_missed_a_change_asks_the_store(make_view, manual_clock):
    """Guards against a lost datagram that leaves a router behind for good."""
    follower = make_view(rank=5)
    tell_heartbeats(follower, 8)
    manual_clock.ms += FOLLOW_LAG_MS + 1.0
    tell_heartbeats(follower, 8)
    assert not follower.view._can_follow()
    follower.answers.append(StoreItems([StoreItem("servers/s1", b"", rev(8))], rev(8)))
    follower.view.step()
    assert servers(follower) == {"s1"}
    assert follower.view._can_follow()


def test_second_watcher_fills_the_gap_of_the_first(make_view, manual_clock):
    follower = make_view(rank=5)
    tell_heartbeats(follower, 5)
    tell(follower, 6, 7, "s2")
    tell(follower, 5, 7, "s1", "s2", watcher=1)
    manual_clock.ms += FOLLOW_LAG_MS + 1.0
    tell_heartbeats(follower, 7)
    assert servers(follower) == {"s1", "s2"}
    assert follower.view._can_follow()


def test_follower_watches_when_its_watchers_are_silent(make_view, manual_clock):
    """Guards against changes that nobody follows after both watchers died."""
    follower = make_view(rank=2)
    tell_heartbeats(follower, 5)
    assert follower.view._can_follow()
    manual_clock.ms += MAX_WATCHER_SILENCE_MS + 1.0
    assert not follower.view._can_follow()
    follower.view.send_heartbeat()
    assert [message.revision for message in follower.sent] == [rev(5)]


def test_watcher_without_the_store_falls_silent(make_view):
    """Guards against followers that trust a router whose view no longer changes."""
    watcher = make_view(rank=0)
    watcher.answers.append(Unavailable("down"))
    watcher.view.step()
    watcher.view.send_heartbeat()
    assert watcher.sent == []


def test_watcher_tells_what_its_watch_returns(make_view):
    watcher = make_view(rank=1)
    change = StoreItem("servers/s1", b"x", rev(9))
    watcher.answers.append(StoreItems([change], rev(9)))
    watcher.view.step()
    [message] = watcher.sent
    assert (message.after, message.revision, message.items) == (
        rev(5),
        rev(9),
        [change],
    )


def test_outage_that_a_watcher_saw_counts_at_its_followers(make_view):
    """Guards against removing live servers whose records expired in an outage."""
    follower = make_view(rank=5)
    tell(follower, 5, 6, "s1", "s2", "s3")
    removals = [StoreItem(f"servers/s{n}", None, rev(7)) for n in (1, 2, 3)]
    name = follower.watchers[0]
    follower.view.apply_feed(
        FeedMessage(name, rev(6), rev(7), removals, failure_age_ms=50.0)
    )
    assert servers(follower) == {"s1", "s2", "s3"}


def test_small_fleet_does_without_the_feed(make_view):
    small = make_view(rank=3, size=MIN_FEED_ROUTERS - 1)
    tell_heartbeats(small, 5)
    assert not small.view._can_follow()
    small.view.send_heartbeat()
    assert small.sent == []


def test_changes_that_fit_into_no_datagram_leave_a_heartbeat():
    item = StoreItem("config", b"x" * 1000, rev(7))
    message = FeedMessage("r1", rev(6), rev(7), [item])
    short = decode_feed_message(message.encode_within(500))
    assert (short.after, short.revision, short.items) == (rev(7), rev(7), [])


# The store is restored from an older copy.


def test_watcher_tells_what_a_restored_store_has_otherwise(make_view):
    """Guards against a listing by each router of a large fleet."""
    watcher = make_view(rank=1)
    watcher.answers.append(HistoryLost("another generation"))
    watcher.view.step()
    watcher.relisted[:] = [StoreItem("servers/s1", b"x", rev(3, 2))]
    watcher.view.step()
    message = watcher.sent[-1]
    assert (message.after, message.revision) == (rev(5), rev(4, 2))
    changed = {item.key for item in message.items if item.value is not None}
    assert changed == {"servers/s1"}


def follow_restore(follower, after, *items):
    name = follower.watchers[0]
    message = FeedMessage(name, after, rev(4, 2), list(items))
    follower.view.apply_feed(decode_feed_message(message.encode()))


def test_follower_takes_a_restore_over_without_a_call(make_view):
    follower = make_view(rank=5)
    tell_heartbeats(follower, 5)
    tell(follower, 5, 6, "s1", "s2", "s3", "s4")
    added = StoreItem("servers/s5", b"", rev(4, 2))
    follow_restore(follower, rev(6), added)
    assert follower.view.revision == rev(4, 2)
    assert servers(follower) == {"s1", "s2", "s3", "s4", "s5"}
    # What did not change is of the new generation too: its removal counts at once.
    removal = StoreItem("servers/s1", None, rev(5, 2))
    name = follower.watchers[0]
    follower.view.apply_feed(FeedMessage(name, rev(4, 2), rev(5, 2), [removal]))
    assert servers(follower) == {"s2", "s3", "s4", "s5"}
    assert follower.waits == []


def test_follower_that_knows_another_revision_asks_the_store(make_view, manual_clock):
    """Guards against a difference that is applied to something else."""
    follower = make_view(rank=5)
    tell_heartbeats(follower, 5)
    tell(follower, 5, 7, "s1")
    follow_restore(follower, rev(6), StoreItem("servers/s2", b"", rev(4, 2)))
    assert servers(follower) == {"s1"}
    manual_clock.ms += FOLLOW_LAG_MS + 1.0
    tell_heartbeats(follower, 7)
    assert not follower.view._can_follow()


def test_message_of_an_earlier_generation_is_ignored(make_view):
    follower = make_view(rank=5)
    tell_heartbeats(follower, 5)
    follow_restore(follower, rev(5))
    tell(follower, 5, 90, "s1")
    assert servers(follower) == set()
    assert follower.view.revision == rev(4, 2)
