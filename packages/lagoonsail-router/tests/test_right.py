from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import MAX_CLOCK_RATE_ERROR
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import (
    PromiseRequest,
    PromiseResult,
    RenewRequest,
    RenewResult,
)
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.listed_regions import PROMISE_TRUST_LAGS
from lagoonsail_router.right import (
    EXTENDED,
    FULL,
    FULL_FRACTION,
    GUARDED,
    LAPSED,
    PROMISE_MS,
    STORE_DOWN_TTL_MS,
    Right,
)
from lagoonsail_store.host_list import Host

TTL_MS = 3000.0


@pytest.fixture
def hosts():
    """The host list: two other routers of the region, and one of another region."""
    labels = {"region": "sierra-central"}
    far = Host("kalapati-1", "127.0.0.1:9", "live", {"region": "luzon"})
    near = [Host(f"cordero-{n}", f"127.0.0.1:{n}", "live", labels) for n in (1, 2, 3)]
    return [*near, far]


@pytest.fixture
def losses():
    return []


@pytest.fixture
def right(context, configuration, store, peers, hosts, losses):
    host_list = SimpleNamespace(read=lambda: hosts)
    right = Right(
        context, configuration, store, host_list, peers, lambda: losses.append(1)
    )
    assert right.level() == LAPSED
    right.read_hosts()
    assert right.register()
    return right


def answer_with(peers, stream, make):
    """Make the remote side answer each request at once, unless `make` returns None."""

    def answer(message):
        result = make(message)
        if result is not None:
            peers.deliver(stream, result)

    stream.on_send = answer


def promise(message):
    if isinstance(message, PromiseRequest):
        return PromiseResult(message.nonce, True, "")
    return RenewResult(message.nonce, STORE_DOWN_TTL_MS)


def test_level_goes_from_full_to_guarded_to_lapsed(right, store, time):
    store.down = True
    assert right.level() == FULL
    time.advance_ms(TTL_MS * FULL_FRACTION)
    right.renew()
    assert right.level() == GUARDED
    # The lease ends early by the maximum clock error.
    time.advance_ms(TTL_MS * (1 - FULL_FRACTION) - TTL_MS * MAX_CLOCK_RATE_ERROR)
    assert right.level() == LAPSED


def test_renewal_counts_from_when_it_was_sent(right, store, time):
    store.before_answer = lambda: time.advance_ms(1000.0)
    sent_ms = time.now_ms
    right.renew()
    assert right.renewed_ms == sent_ms
    assert right.lease_until_ms == sent_ms + TTL_MS * (1 - MAX_CLOCK_RATE_ERROR)


def test_shorter_ttl_from_the_service_is_applied(right, store, time):
    time.advance_ms(TTL_MS * 0.9)
    store.ttl_ms = 1000.0
    right.renew()
    assert right.level() == FULL
    time.advance_ms(1000.0)
    assert right.level() == LAPSED


def test_expired_lease_ends_the_right_at_once_and_is_replaced(right, store, losses):
    store.ttl_ms = 0.0
    lease = right.lease
    right.renew()
    assert (right.level(), right.lease, losses) == (LAPSED, 0, [1])
    right.renew()
    assert right.level() == FULL
    assert right.lease > lease


def test_late_renewal_of_an_earlier_lease_is_ignored(right, store, losses):
    def lapse():
        store.before_answer = lambda: None
        right._apply_ttl(right._context.clock.now_ms(), 0.0)

    store.before_answer = lapse
    right.renew()
    assert (right.level(), right.lease, losses) == (LAPSED, 0, [1])


def test_member_record_is_written_under_the_lease(right, store, configuration):
    (entry,) = [e for key, e in store.entries.items() if "members/" in key]
    assert entry.lease == right.lease
    assert configuration.members["cordero-1"].lease == right.lease


def test_lease_is_renewed_through_a_peer(right, store, peers, time):
    store.down = True
    stream = peers.connect("cordero-2")
    time.advance_ms(TTL_MS * 0.8)
    sent_ms = time.now_ms

    def renew(message):
        time.advance_ms(100.0)
        return RenewResult(message.nonce, TTL_MS)

    answer_with(peers, stream, renew)
    right.renew_through_peers()
    assert right.level() == FULL
    assert right.renewed_ms == sent_ms


def test_peer_without_the_service_does_not_renew_the_lease(
    right, store, peers, time, losses
):
    store.down = True
    answer_with(peers, peers.connect("cordero-2"), promise)
    time.advance_ms(TTL_MS * 0.8)
    until_ms = right.lease_until_ms
    right.renew_through_peers()
    assert right.lease_until_ms == until_ms
    assert right.level() == GUARDED
    assert losses == []


def test_answer_of_a_router_that_was_not_asked_is_ignored(right, store, peers, time):
    store.down = True
    asked, other = peers.connect("cordero-2"), peers.connect("cordero-3")
    peers.streams = {"cordero-2": [asked]}
    time.advance_ms(TTL_MS * 0.8)
    asked.on_send = lambda message: peers.deliver(
        other, RenewResult(message.nonce, TTL_MS)
    )
    eventlet.spawn_after(0.05, time.advance_ms, 2000.0)
    right.renew_through_peers()
    assert right.level() == LAPSED


def gather_through(right, store, peers, time, names, make=promise, remote=promise):
    store.down = True
    for name in names:
        answer_with(peers, peers.connect(name), make)
    answer_with(peers, peers.connect("kalapati-1"), remote)
    time.advance_ms(TTL_MS)
    assert right.level() == LAPSED
    eventlet.spawn_after(0.05, time.advance_ms, 1600.0)
    right.gather_promises()


def test_promises_of_all_routers_of_the_region_extend_the_right(
    right, store, peers, time
):
    begin_ms = time.now_ms + TTL_MS
    gather_through(right, store, peers, time, ["cordero-2", "cordero-3"])
    assert right.level() == EXTENDED
    assert right.promise_until_ms == begin_ms + PROMISE_MS * (1 - MAX_CLOCK_RATE_ERROR)
    time.advance_ms(PROMISE_MS)
    assert right.level() == LAPSED


def test_one_missing_router_gives_no_extension(right, store, peers, time):
    gather_through(right, store, peers, time, ["cordero-2"])
    assert right.level() == LAPSED


def test_one_silent_router_gives_no_extension(right, store, peers, time):
    silent = peers.connect("cordero-3")
    gather_through(right, store, peers, time, ["cordero-2"])
    assert silent.of(PromiseRequest)
    assert right.level() == LAPSED


def test_unreachable_region_gives_no_extension(right, store, peers, time):
    names = ["cordero-2", "cordero-3"]
    gather_through(right, store, peers, time, names, remote=lambda message: None)
    assert right.level() == LAPSED


def test_last_heard_router_of_another_region_is_asked(right, store, peers, time, hosts):
    hosts.append(Host("kalapati-2", "127.0.0.1:8", "live", {"region": "luzon"}))
    right.read_hosts()
    second = peers.connect("kalapati-2")
    second.last_received_ms = 1.0
    answer_with(peers, second, promise)
    names = ["cordero-2", "cordero-3"]
    gather_through(right, store, peers, time, names, remote=lambda message: None)
    assert right.level() == EXTENDED


def test_one_refusal_gives_no_extension(right, store, peers, time):
    refused = [False, True]

    def answer(message):
        return PromiseResult(message.nonce, refused.pop(), "it reaches the service")

    names = ["cordero-2", "cordero-3"]
    gather_through(right, store, peers, time, names, answer)
    assert right.level() == LAPSED


def test_old_host_list_gives_no_extension(right, store, peers, time, context):
    time.advance_ms(context.settings.host_list_max_lag_ms / 2)
    gather_through(right, store, peers, time, ["cordero-2", "cordero-3"])
    assert right.level() == LAPSED


def test_promises_are_gathered_while_a_renewal_through_peers_is_pending(
    right, store, peers, time, context, wait_until
):
    """Guards against mixing up two concurrent queries; the first one ends last."""
    pending = []

    def answer(message):
        if isinstance(message, RenewRequest):
            pending.append(message)
            return None
        return promise(message)

    store.down = True
    names = ("cordero-2", "cordero-3", "kalapati-1")
    streams = [peers.connect(name) for name in names]
    for stream in streams:
        answer_with(peers, stream, answer)
    time.advance_ms(TTL_MS * 0.9)
    renewal = eventlet.spawn(right.renew_through_peers)
    wait_until(lambda: len(pending) == 3)
    right.gather_promises()
    assert right.promise_until_ms > time.now_ms
    for stream, message in zip(streams, pending, strict=True):
        peers.deliver(stream, RenewResult(message.nonce, TTL_MS))
    renewal.wait()
    assert right.level() == FULL
    assert right._queries == {}


def test_promise_is_given_only_without_the_service_and_counts_from_receipt(
    right, peers, time, configuration, member_value, wait_until
):
    configuration.apply("members/cordero-2", 90, member_value("cordero-2"))
    stream = peers.connect("cordero-2")
    peers.deliver(stream, PromiseRequest(1, PROMISE_MS))
    wait_until(lambda: stream.of(PromiseResult))
    assert [m.promised for m in stream.of(PromiseResult)] == [False]
    assert right.promised_until_ms("cordero-2") == float("-inf")
    time.advance_ms(TTL_MS)
    peers.deliver(stream, PromiseRequest(2, PROMISE_MS))
    assert [m.promised for m in stream.of(PromiseResult)] == [False, True]
    until_ms = time.now_ms + PROMISE_MS * (1 + MAX_CLOCK_RATE_ERROR)
    assert right.promised_until_ms("cordero-2") == until_ms
    # A shorter promise does not shorten an earlier, longer one.
    peers.deliver(stream, PromiseRequest(3, 1.0))
    assert right.promised_until_ms("cordero-2") == until_ms


@pytest.mark.parametrize("members", [["cordero-3"], ["cordero-2"]])
def test_nothing_is_promised_to_a_router_whose_lease_has_ended(
    right, peers, time, configuration, member_value, members
):
    """The router is not a member, or only an earlier incarnation of it is one."""
    for name in members:
        configuration.apply(f"members/{name}", 90, member_value(name))
    stream = peers.connect("cordero-2", incarnation=2)
    time.advance_ms(TTL_MS)
    peers.deliver(stream, PromiseRequest(1, PROMISE_MS))
    assert [m.promised for m in stream.of(PromiseResult)] == [False]
    assert right.promised_until_ms("cordero-2") == float("-inf")


@pytest.mark.parametrize("standing", ["no member", "another incarnation"])
def test_nothing_is_promised_to_a_router_without_a_known_lease(
    right, peers, time, configuration, member_value, standing
):
    if standing == "another incarnation":
        configuration.apply("members/cordero-2", 5, member_value("cordero-2", 7))
    stream = peers.connect("cordero-2", incarnation=99)
    time.advance_ms(TTL_MS)
    peers.deliver(stream, PromiseRequest(1, PROMISE_MS))
    assert [m.promised for m in stream.of(PromiseResult)] == [False]


def test_lease_of_a_peer_is_renewed_or_the_outage_reported(
    right, store, peers, wait_until
):
    stream = peers.connect("cordero-2")
    peers.deliver(stream, RenewRequest(1, 55))
    wait_until(lambda: stream.of(RenewResult))
    store.down = True
    peers.deliver(stream, RenewRequest(2, 55))
    wait_until(lambda: len(stream.of(RenewResult)) == 2)
    assert [m.ttl_ms for m in stream.sent] == [TTL_MS, STORE_DOWN_TTL_MS]


def test_router_may_take_over_once_it_was_listed_for_the_maximum_lag(
    right, hosts, time, context
):
    lag_ms = context.settings.host_list_max_lag_ms
    time.advance_ms(lag_ms)
    assert not right.may_take_over()
    time.advance_ms(1)
    assert right.may_take_over()
    del hosts[0]
    right.read_hosts()
    assert not right.may_take_over()


def test_failed_read_of_the_host_list_changes_nothing(right, time, context):
    right._host_list.read = lambda: Unavailable("down")
    time.advance_ms(context.settings.host_list_max_lag_ms + 1)
    right.read_hosts()
    assert right.may_take_over()


def test_router_that_was_not_listed_for_long_trusts_no_promises_until_it_renews(
    right, store, peers, hosts, time, context
):
    lag_ms = context.settings.host_list_max_lag_ms
    own = hosts.pop(0)
    time.advance_ms(PROMISE_TRUST_LAGS * lag_ms + 1)
    right.read_hosts()
    hosts.insert(0, own)
    right.read_hosts()
    gather_through(right, store, peers, time, ["cordero-2", "cordero-3"])
    assert right.level() == LAPSED
    store.down = False
    right.renew()
    assert right.level() == FULL
    right.read_hosts()
    store.down = True
    time.advance_ms(TTL_MS)
    right.gather_promises()
    assert right.level() == EXTENDED
