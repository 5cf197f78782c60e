"""How the wait of a call ends: by a move, a grant, a refusal or a cancellation."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import (
    OUTCOME_NOT_RUN,
    InventoryTaken,
    SlotCancel,
    SlotDone,
    SlotGrant,
    SlotRequest,
)
from lagoonsail_router.call import read_call
from lagoonsail_router.call_queue import MOVE_DELAY_MS, CallerGoneError, CallQueue
from lagoonsail_router.problems import CallProblem
from lagoonsail_router.slot_client import SlotClient

NEAR, FAR, THIRD = (f"cordero/registro@{r}" for r in ("sierra-central", "luzon", "z"))


class FakeSlotClient:
    """Records which shards are asked; only one of them grants a slot."""

    def __init__(self, granting):
        self.granting, self.open, self.asked, self.cancelled = granting, set(), [], []

    def is_open(self, shard):
        return shard in self.open

    def request_slot(self, shard, *_arguments):
        self.asked.append(shard)
        event = eventlet.event.Event()
        if shard == self.granting:
            event.send(SlotGrant(1, 1, shard, 1, "registro-1", 0.0))
        return SimpleNamespace(shard=shard, event=event)

    def cancel(self, waiting):
        self.cancelled.append(waiting.shard)


@pytest.fixture
def slot_client():
    """A slot client at which only the third shard grants slots."""
    return FakeSlotClient(THIRD)


@pytest.fixture
def queue(slot_client, context, configuration):
    """The queue of a router of the first region."""
    return CallQueue(context, configuration, slot_client, lambda: False)


@pytest.fixture
def call(context, configuration, make_document):
    """A call to a service with one shard in each of three regions."""
    configuration.apply("documents/cordero/registro", 1, make_document())
    document = SimpleNamespace(
        shards=lambda: [FAR, NEAR, THIRD],
        qualified=lambda: "cordero/registro",
        queue_limit=8,
        queue_timeout_ms=60_000.0,
    )
    return SimpleNamespace(
        document=document,
        account="prensa",
        key_hash=0,
        estimate=0.0,
        prefix=[],
        number=1,
        arrived_ms=context.clock.now_ms(),
        may_have_run=False,
    )


def test_call_keeps_its_place_until_another_owner_accepts_requests(
    queue, slot_client, call, time
):
    thread = eventlet.spawn(queue.wait, call, lambda: False)
    eventlet.sleep(0.01)
    time.advance_ms(3 * MOVE_DELAY_MS)
    eventlet.sleep(0.5)
    # No other owner is reachable: the call stays in its queue.
    assert (slot_client.asked, slot_client.cancelled) == ([NEAR], [])
    slot_client.open.add(THIRD)
    grant = thread.wait()
    # The shard between is skipped, since its owner is not reachable.
    assert grant.shard == THIRD
    assert (slot_client.asked, slot_client.cancelled) == ([NEAR, THIRD], [NEAR])


def test_waiting_call_is_refused_when_its_service_is_deleted(
    context, configuration, make_document, make_env
):
    key = "documents/cordero/registro"
    configuration.apply(key, 1, make_document())
    cancelled = []
    waiting = SimpleNamespace(event=eventlet.event.Event())
    slot_client = SimpleNamespace(
        request_slot=lambda *_: waiting, cancel=cancelled.append
    )
    queue = CallQueue(context, configuration, slot_client, lambda: False)
    call = read_call(make_env(), configuration, context.clock.now_ms())
    eventlet.spawn_after(0.05, configuration.apply, key, 2, "")
    with eventlet.Timeout(5.0), pytest.raises(CallProblem) as caught:
        queue.wait(call, lambda: False)
    problem = caught.value
    assert (problem.status, problem.kind) == (404, "unknown_service")
    assert problem.ran == "no"
    assert cancelled == [waiting]
    assert not queue.waiting


@pytest.fixture
def real_slot_client(context, configuration, peers, shard_value):
    """A slot client with a connected owner, and the stream to that owner."""
    configuration.apply(f"shards/{NEAR}", 1, shard_value("cordero-2"))
    slot_client = SlotClient(context, configuration, peers, None)
    return slot_client, peers.connect("cordero-2")


def test_grant_after_the_end_of_a_wait_is_returned(
    context, configuration, peers, real_slot_client, make_document, make_env
):
    key = "documents/cordero/registro"
    configuration.apply(key, 1, make_document())
    slot_client, stream = real_slot_client
    queue = CallQueue(context, configuration, slot_client, lambda: False)
    call = read_call(make_env(), configuration, context.clock.now_ms())
    is_gone = []
    thread = eventlet.spawn(queue.wait, call, lambda: bool(is_gone))
    eventlet.sleep(0.01)
    peers.deliver(stream, InventoryTaken(NEAR, 1))
    (asked,) = stream.of(SlotRequest)
    is_gone.append(True)
    with eventlet.Timeout(5.0), pytest.raises(CallerGoneError):
        thread.wait()
    assert stream.of(SlotCancel) == [SlotCancel(asked.ticket)]
    peers.deliver(stream, SlotGrant(asked.ticket, 4, NEAR, 1, "s1", 0.0))
    assert [done.outcome for done in stream.of(SlotDone)] == [OUTCOME_NOT_RUN]
    assert slot_client.held == {}
    assert not queue.waiting


def test_grant_that_arrives_before_the_end_of_a_wait_is_used(
    context, configuration, peers, real_slot_client, make_document, make_env
):
    configuration.apply("documents/cordero/registro", 1, make_document())
    slot_client, stream = real_slot_client
    queue = CallQueue(context, configuration, slot_client, lambda: False)
    call = read_call(make_env(), configuration, context.clock.now_ms())

    def is_gone():
        # The grant arrives while the caller's connection is checked.
        (asked,) = stream.of(SlotRequest)
        peers.deliver(stream, SlotGrant(asked.ticket, 4, NEAR, 1, "s1", 0.0))
        return True

    thread = eventlet.spawn(queue.wait, call, is_gone)
    eventlet.sleep(0.01)
    peers.deliver(stream, InventoryTaken(NEAR, 1))
    with eventlet.Timeout(5.0):
        assert thread.wait().slot == 4
    assert stream.of(SlotCancel) == stream.of(SlotDone) == []
    assert len(slot_client.held) == 1


def test_wait_that_is_killed_withdraws_its_request(
    context, configuration, peers, real_slot_client, make_document, make_env
):
    configuration.apply("documents/cordero/registro", 1, make_document())
    slot_client, stream = real_slot_client
    queue = CallQueue(context, configuration, slot_client, lambda: False)
    call = read_call(make_env(), configuration, context.clock.now_ms())
    thread = eventlet.spawn(queue.wait, call, lambda: False)
    eventlet.sleep(0.01)
    peers.deliver(stream, InventoryTaken(NEAR, 1))
    thread.kill()
    assert len(stream.of(SlotCancel)) == 1
    assert slot_client.waiting == {}
    assert not queue.waiting
