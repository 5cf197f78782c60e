from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import PromiseRequest, PromiseResult
from lagoonsail_router.key_store import SLOW_WRITE_MS
from lagoonsail_router.right import FULL, PROBE_MS, PROMISE_MS, Right
from lagoonsail_store.host_list import Host

SHARD = "cordero/registro@sierra-central"
OTHERS = ("cordero-2", "cordero-3")


@pytest.fixture
def right(context, configuration, store, peers, time, member_value):
    labels = {"region": "sierra-central"}
    names = ("cordero-1", *OTHERS)
    hosts = [Host(name, "127.0.0.1:1", "live", labels) for name in names]
    host_list = SimpleNamespace(read=lambda: hosts)
    right = Right(context, configuration, store, host_list, peers, lambda: None)
    right.read_hosts()
    assert right.register()
    time.advance_ms(1.0)
    for name in OTHERS:
        configuration.apply(f"members/{name}", 90, member_value(name))
    return right


@pytest.fixture
def renewals(store):
    """The renewals that the service was asked for, by lease."""
    renewed = []
    renew = store.renew_lease

    def record(lease):
        renewed.append(lease)
        return renew(lease)

    store.renew_lease = record
    return renewed


def ask_for_promise(peers, name):
    stream = peers.connect(name)
    peers.deliver(stream, PromiseRequest(1, PROMISE_MS))
    return stream


def connect_promising_peers(peers):
    for name in OTHERS:
        stream = peers.connect(name)
        stream.on_send = lambda message, stream=stream: peers.deliver(
            stream, PromiseResult(message.nonce, True, "")
        )


def test_reported_store_failure_gathers_promises_under_a_fresh_lease(
    right, peers, wait_until
):
    connect_promising_peers(peers)
    right.gather_promises()
    assert not right.has_promises()
    right.report_store_failure()
    wait_until(right.has_promises)
    assert right.level() == FULL


def test_promises_are_requested_until_a_later_renewal(right, peers, time, wait_until):
    connect_promising_peers(peers)
    time.advance_ms(10.0)
    right.report_store_failure()
    wait_until(right.has_promises)
    time.advance_ms(PROMISE_MS)
    right.gather_promises()
    assert right.has_promises()
    time.advance_ms(10.0)
    right.renew()
    count = len(peers.streams["cordero-2"][0].sent)
    right.gather_promises()
    assert len(peers.streams["cordero-2"][0].sent) == count


def test_router_that_just_renewed_promises_once_a_probe_fails(
    right, store, peers, wait_until
):
    store.down = True
    stream = ask_for_promise(peers, "cordero-2")
    wait_until(lambda: stream.sent)
    assert right.level() == FULL
    assert [answer.promised for answer in stream.sent] == [True]
    assert right.promised_until_ms("cordero-2") > float("-inf")


def test_router_promises_when_its_probe_times_out(
    right, store, peers, time, wait_until
):
    answered = eventlet.event.Event()
    store.before_answer = answered.wait
    stream = ask_for_promise(peers, "cordero-2")
    eventlet.sleep(0.01)
    time.advance_ms(PROBE_MS)
    eventlet.sleep(0.05)
    assert stream.sent == []
    time.advance_ms(1.0)
    wait_until(lambda: stream.sent)
    assert [answer.promised for answer in stream.sent] == [True]
    answered.send(None)


def test_requests_within_the_probe_timeout_share_one_probe(
    right, renewals, peers, time, wait_until
):
    streams = [ask_for_promise(peers, name) for name in OTHERS]
    wait_until(lambda: all(stream.sent for stream in streams))
    assert [stream.sent[0].promised for stream in streams] == [False, False]
    assert len(renewals) == 1
    time.advance_ms(PROBE_MS + 1.0)
    ask_for_promise(peers, "cordero-2")
    wait_until(lambda: len(renewals) == 2)


def write_key(key_store, has_fallback):
    return key_store.write(SHARD, 3, 7, [[11, 101]], has_fallback)


def test_slow_write_fails_if_there_is_a_fallback(key_store, store, promise_requests):
    answered = eventlet.event.Event()
    store.before_answer = answered.wait
    assert not write_key(key_store, lambda: bool(promise_requests))
    assert (promise_requests, key_store.is_unavailable) == ([1], True)
    answered.send(None)


def test_slow_write_counts_without_a_fallback(key_store, store, promise_requests):
    store.before_answer = lambda: eventlet.sleep(2.0 * SLOW_WRITE_MS / 1000.0)
    assert write_key(key_store, lambda: False).revision == store.revision
    assert (promise_requests, key_store.is_unavailable) == ([1], False)


def test_failed_write_requests_promises_and_a_fast_one_does_not(
    key_store, store, promise_requests
):
    assert write_key(key_store, lambda: False)
    assert promise_requests == []
    store.down = True
    assert not key_store.write(SHARD, 3, 8, [[12, 101]], lambda: bool(promise_requests))
    assert promise_requests == [1]
