"""Renewals through peers and requests for promises that run concurrently."""

from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import (
    PromiseRequest,
    PromiseResult,
    RenewRequest,
    RenewResult,
)
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.right import Right
from lagoonsail_store.host_list import Host


class Stream:
    """A stream whose remote side answers after a delay."""

    def __init__(self, name, handlers, delay_s):
        self.name = name
        self.last_received_ms = 0.0
        self.handlers = handlers
        self.delay_s = delay_s

    def send(self, message):
        if isinstance(message, RenewRequest):
            answer = RenewResult(message.nonce, -1.0)
        else:
            assert isinstance(message, PromiseRequest)
            answer = PromiseResult(message.nonce, True, "")
        handler = self.handlers[type(answer)]
        eventlet.spawn_after(self.delay_s, handler, self, answer)


@pytest.fixture
def right():
    handlers = {}
    stream = Stream("b", handlers, 0.05)
    peers = SimpleNamespace(
        streams={"b": [stream]},
        handle=handlers.__setitem__,
        stream_to=lambda name: stream,
    )
    settings = SimpleNamespace(
        name="a",
        region="r",
        lease_ttl_ms=3000,
        store_timeout_ms=1000,
        host_list_max_lag_ms=10000,
    )
    context = SimpleNamespace(
        clock=Clock(),
        settings=settings,
        count=lambda *_: None,
        timeline=SimpleNamespace(record=lambda *_, **__: None),
    )
    hosts = [Host(n, f"{n}:1", "live", {"region": "r"}) for n in "ab"]
    store = SimpleNamespace(renew_lease=lambda lease: Unavailable("down"))
    host_list = SimpleNamespace(read=lambda: hosts)
    made = Right(context, None, store, host_list, peers, lambda: None)
    made.lease = 7
    made.listed_regions.on_lease_renewed(context.clock.now_ms())
    made.read_hosts()
    return made


def test_concurrent_queries_get_their_own_answers(right):
    tasks = [
        eventlet.spawn(right.renew_through_peers),
        eventlet.spawn(right.gather_promises),
    ]
    for task in tasks:
        task.wait()
    assert right.has_promises()
    assert right.level() == "extended"


def test_promise_counts_from_when_it_was_requested(right):
    asked_ms = right._context.clock.now_ms()
    right.gather_promises()
    assert right.promise_until_ms <= asked_ms + 2000.0
