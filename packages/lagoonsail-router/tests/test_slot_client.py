from __future__ import annotations

import pytest

from lagoonsail_core.invariants import InvariantError
from lagoonsail_core.messages import (
    OUTCOME_NOT_RUN,
    OUTCOME_WHOLE,
    REFUSED_DUPLICATE,
    REFUSED_NOT_OWNER,
    Inventory,
    InventoryTaken,
    SlotCancel,
    SlotDone,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    SlotStart,
)
from lagoonsail_router.attachments import ATTACH_RETRY_MS, ATTACHMENT_IDLE_TIMEOUT_MS
from lagoonsail_router.held_slot import make_done
from lagoonsail_router.slot_client import SlotClient

SHARD = "cordero/registro@sierra-central"
KEY = f"shards/{SHARD}"


@pytest.fixture
def local(make_stream, context):
    return make_stream(context.settings.name)


@pytest.fixture
def slot_client(context, configuration, peers, local, shard_value):
    configuration.apply(KEY, 1, shard_value("cordero-2"))
    return SlotClient(context, configuration, peers, local)


@pytest.fixture
def request_slot(slot_client, time):
    def ask_one(call_number=1, key=0):
        return slot_client.request_slot(
            SHARD, "norte", 0.0, [], key, call_number, time.now_ms
        )

    return ask_one


@pytest.fixture
def answer_inventory(peers):
    """Makes the owner answer the inventory."""

    def answer(stream, epoch=1):
        peers.deliver(stream, InventoryTaken(SHARD, epoch))

    return answer


def grant_of(call, slot=1, epoch=1, basis_ms=0.0):
    return SlotGrant(call.ticket, slot, SHARD, epoch, "s1", basis_ms)


def test_owner_gets_the_inventory_first_and_the_request_after_its_answer(
    request_slot, peers, answer_inventory, time
):
    stream = peers.connect("cordero-2")
    call = request_slot(call_number=7, key=9)
    assert stream.sent == [Inventory(SHARD, [])]
    time.advance_ms(40)
    answer_inventory(stream, epoch=0)
    assert stream.of(SlotRequest) == []
    answer_inventory(stream)
    request = SlotRequest(call.ticket, SHARD, "norte", 0.0, [], 9, 7, 40.0)
    assert stream.of(SlotRequest) == [request]
    answer_inventory(stream)
    assert len(stream.of(SlotRequest)) == 1
    request_slot()
    assert len(stream.of(SlotRequest)) == 2


def test_unanswered_inventory_is_sent_again(slot_client, request_slot, peers, time):
    stream = peers.connect("cordero-2")
    request_slot()
    time.advance_ms(ATTACH_RETRY_MS)
    slot_client.update_attachments()
    assert len(stream.sent) == 1
    time.advance_ms(1)
    slot_client.update_attachments()
    assert stream.sent == [Inventory(SHARD, [])] * 2


def test_inventory_is_sent_as_soon_as_there_is_a_stream_to_the_owner(
    request_slot, peers
):
    request_slot()
    assert peers.connect("cordero-2").sent == [Inventory(SHARD, [])]


def test_inventory_of_an_own_shard_is_sent_on_the_local_stream(
    slot_client, request_slot, configuration, shard_value, local
):
    configuration.apply(KEY, 2, shard_value("cordero-1", epoch=2))
    request_slot()
    assert local.sent == [Inventory(SHARD, [])]


def test_grant_and_refusal_reach_their_calls(
    slot_client, request_slot, peers, answer_inventory
):
    stream = peers.connect("cordero-2")
    first, second = request_slot(), request_slot()
    answer_inventory(stream)
    grant = grant_of(first)
    peers.deliver(stream, grant)
    peers.deliver(stream, SlotRefusal(second.ticket, REFUSED_DUPLICATE))
    assert first.event.wait() == grant
    assert second.event.wait().reason == REFUSED_DUPLICATE
    assert slot_client.waiting == {}
    slot_client.start(grant)
    assert stream.sent[-1] == SlotStart(SHARD, 1, 1)


def test_new_owner_gets_running_and_waiting_calls(
    slot_client, request_slot, peers, answer_inventory, time, configuration, shard_value
):
    old, new = peers.connect("cordero-2"), peers.connect("cordero-3")
    running, waiting = request_slot(), request_slot()
    answer_inventory(old)
    grant = grant_of(running)
    peers.deliver(old, grant)
    slot_client.progress(grant, 5.0)
    time.advance_ms(30)
    configuration.apply(KEY, 2, shard_value("cordero-3", epoch=2))
    slot_client.update_attachments()
    assert new.sent == [Inventory(SHARD, [[1, 1, "s1", "norte", 5.0, 30.0]])]
    answer_inventory(new, epoch=2)
    assert [m.ticket for m in new.of(SlotRequest)] == [waiting.ticket]
    slot_client.finish(make_done(grant, OUTCOME_WHOLE, 8.0))
    assert [m.cost for m in new.of(SlotDone)] == [8.0]
    assert old.of(SlotDone) == []


def test_call_that_a_former_owner_refused_is_requested_again_later(
    slot_client, request_slot, peers, answer_inventory, time
):
    stream = peers.connect("cordero-2")
    call = request_slot()
    answer_inventory(stream)
    peers.deliver(stream, SlotRefusal(call.ticket, REFUSED_NOT_OWNER))
    assert not call.event.ready()
    time.advance_ms(ATTACH_RETRY_MS + 1)
    slot_client.update_attachments()
    answer_inventory(stream)
    assert len(stream.of(SlotRequest)) == 2


def test_late_refusal_of_the_former_owner_does_not_affect_the_new_request(
    slot_client, request_slot, peers, answer_inventory, configuration, shard_value
):
    old, new = peers.connect("cordero-2"), peers.connect("cordero-3")
    call = request_slot()
    answer_inventory(old)
    configuration.apply(KEY, 2, shard_value("cordero-3", epoch=2))
    slot_client.update_attachments()
    answer_inventory(new, epoch=2)
    peers.deliver(old, SlotRefusal(call.ticket, REFUSED_NOT_OWNER))
    slot_client.cancel(call)
    # Otherwise the owner would keep a request that no call waits for.
    assert new.sent[-1] == SlotCancel(call.ticket)


def test_stream_that_closes_is_replaced(
    slot_client, request_slot, peers, answer_inventory
):
    stream = peers.connect("cordero-2")
    call = request_slot()
    answer_inventory(stream)
    peers.disconnect(stream)
    again = peers.connect("cordero-2", incarnation=2)
    assert again.sent == [Inventory(SHARD, [])]
    # An answer that was in transit on the closed stream is ignored.
    answer_inventory(stream)
    assert again.of(SlotRequest) == []
    answer_inventory(again)
    assert [m.ticket for m in again.of(SlotRequest)] == [call.ticket]


def test_cancelled_call_returns_a_grant_in_transit(
    slot_client, request_slot, peers, answer_inventory
):
    stream = peers.connect("cordero-2")
    call = request_slot()
    answer_inventory(stream)
    slot_client.cancel(call)
    assert stream.sent[-1] == SlotCancel(call.ticket)
    peers.deliver(stream, grant_of(call))
    assert [m.outcome for m in stream.of(SlotDone)] == [OUTCOME_NOT_RUN]
    assert slot_client.held == {}


def test_grant_may_be_used_within_the_start_window_only(
    slot_client, request_slot, time, context
):
    window_ms = context.settings.start_window_ms * 0.99
    grant = grant_of(request_slot(), basis_ms=time.now_ms)
    assert slot_client.may_start(grant)
    time.advance_ms(window_ms - 0.1)
    assert slot_client.may_start(grant)
    time.advance_ms(0.1)
    assert not slot_client.may_start(grant)
    assert not slot_client.may_start(grant_of(request_slot(), basis_ms=time.now_ms + 1))


def test_slot_that_ends_without_an_owner_is_returned_to_the_next_owner(
    slot_client, request_slot, peers, answer_inventory
):
    stream = peers.connect("cordero-2")
    call = request_slot()
    answer_inventory(stream)
    grant = grant_of(call)
    peers.deliver(stream, grant)
    assert slot_client.holds(grant)
    peers.disconnect(stream)
    slot_client.finish(make_done(grant, OUTCOME_WHOLE, 3.0))
    assert not slot_client.holds(grant)
    again = peers.connect("cordero-2")
    answer_inventory(again)
    assert [m.cost for m in again.of(SlotDone)] == [3.0]
    assert slot_client.held == {}


def test_slot_cannot_be_returned_twice(
    slot_client, request_slot, peers, answer_inventory
):
    stream = peers.connect("cordero-2")
    call = request_slot()
    answer_inventory(stream)
    peers.deliver(stream, grant_of(call))
    done = make_done(grant_of(call), OUTCOME_WHOLE)
    slot_client.finish(done)
    with pytest.raises(InvariantError):
        slot_client.finish(done)


def test_attachment_to_the_owner_of_an_idle_shard_is_dropped(
    slot_client, request_slot, peers, time
):
    peers.connect("cordero-2")
    call = request_slot()
    time.advance_ms(ATTACHMENT_IDLE_TIMEOUT_MS)
    slot_client.update_attachments()
    assert SHARD in slot_client.attachments
    slot_client.cancel(call)
    slot_client.update_attachments()
    assert slot_client.attachments == {}
