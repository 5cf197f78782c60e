"""Requests slots for this router's calls from the owners of the shards."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.clock import lower_bound_ms
from lagoonsail_core.green import eventlet
from lagoonsail_core.invariants import require
from lagoonsail_core.messages import (
    OUTCOME_NOT_RUN,
    REFUSED_NOT_OWNER,
    Inventory,
    InventoryTaken,
    SlotCancel,
    SlotDone,
    SlotGrant,
    SlotProgress,
    SlotRefusal,
    SlotRequest,
    SlotStart,
)
from lagoonsail_router.attachments import Attachments
from lagoonsail_router.held_slot import HeldSlot, make_done

if TYPE_CHECKING:
    from lagoonsail_router.attachments import Attachment
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.peers import PeerDirectory


@dataclass(slots=True)
class WaitingCall:
    """A call that waits for a slot."""

    ticket: int
    """Number of the slot request at this router."""
    shard: str
    """Shard whose owner is asked."""
    account: str
    """Client account."""
    estimate: float
    """Cost hint, 0 if there is none."""
    prefix: list[int]
    """Hashes of the prefixes of the prompt."""
    key: int
    """Hash of the idempotency key, 0 if there is none."""
    call: int
    """Number of the call at this router."""
    since_ms: float
    """When the caller's request arrived."""
    event: object
    """Receives a SlotGrant or a SlotRefusal."""
    is_requested: bool = False
    """Whether the request was sent to the current owner."""


class SlotClient:
    """The waiting calls and held slots of this router."""

    __slots__ = (
        "_attachments",
        "_context",
        "_next_ticket",
        "attachments",
        "held",
        "waiting",
    )

    waiting: dict[int, WaitingCall]
    """Calls that wait for a slot, by ticket."""
    held: dict[tuple[str, int, int], HeldSlot]
    """Slots by shard, epoch and number."""
    attachments: dict[str, Attachment]
    """Attachments to shard owners, by shard."""

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        peers: PeerDirectory,
        local_stream: object,
    ) -> None:
        self._context = context
        self._next_ticket = 0
        self.waiting = {}
        self.held = {}
        self._attachments = Attachments(
            context,
            configuration,
            peers,
            local_stream,
            self._make_inventory,
            self._clear_requested,
        )
        self.attachments = self._attachments.by_shard
        peers.handle(SlotGrant, self._handle_grant)
        peers.handle(SlotRefusal, self._handle_refusal)
        peers.handle(InventoryTaken, self._handle_inventory_taken)
        peers.subscribe(
            lambda stream: self.update_attachments(), self._on_stream_closed
        )

    def request_slot(
        self,
        shard: str,
        account: str,
        estimate: float,
        prefix: list[int],
        key: int,
        call_number: int,
        since_ms: float,
    ) -> WaitingCall:
        """Request a slot.

        Args:
            shard: Shard whose owner is asked.
            account: Client account, unqualified.
            estimate: Cost hint, 0 if there is none.
            prefix: Hashes of the prefixes of the prompt.
            key: Hash of the idempotency key, 0 if there is none.
            call_number: Number of the call at this router.
            since_ms: When the caller's request arrived.

        Returns:
            The waiting call; its event receives a grant or a refusal.
        """
        self._next_ticket += 1
        event = eventlet.event.Event()
        call = WaitingCall(
            self._next_ticket,
            shard,
            account,
            estimate,
            prefix,
            key,
            call_number,
            since_ms,
            event,
        )
        self.waiting[call.ticket] = call
        attachment = self._attachments.touch(shard)
        if attachment.is_open:
            self._send_request(attachment.stream, call)
        elif attachment.stream is None:
            self._attachments.attach(attachment)
        return call

    def is_open(self, shard: str) -> bool:
        """Return whether the owner of a shard takes requests, and stay attached to it.

        Args:
            shard: The shard.
        """
        return self._attachments.touch(shard).is_open

    def cancel(self, call: WaitingCall) -> None:
        """Withdraw a call that no longer needs a slot."""
        if self.waiting.pop(call.ticket, None) is None:
            self._return_unused_grant(call)
            return
        stream = self._attachments.open_stream(call.shard)
        if stream and call.is_requested:
            stream.send(SlotCancel(call.ticket))

    def _return_unused_grant(self, call: WaitingCall) -> None:
        """Return a grant that arrived just before its call was cancelled."""
        reply = call.event.wait() if call.event.ready() else None
        if isinstance(reply, SlotGrant) and self.holds(reply):
            self.finish(make_done(reply, OUTCOME_NOT_RUN))

    def may_start(self, grant: SlotGrant) -> bool:
        """Return whether a grant may still be used; check right before sending.

        Args:
            grant: The grant.
        """
        window_ms = lower_bound_ms(self._context.settings.start_window_ms)
        age_ms = self._context.clock.now_ms() - grant.basis_ms
        return 0 <= age_ms < window_ms

    def holds(self, grant: SlotGrant) -> bool:
        """Return whether the slot of a grant has not been returned yet."""
        held = self.held.get((grant.shard, grant.epoch, grant.slot))
        return held is not None and held.done is None

    def start(self, grant: SlotGrant) -> None:
        """Report to the owner that the request is being sent.

        Only a release of the shard waits for this message, at most one start window.
        """
        self._send_deferred(
            grant.shard, SlotStart(grant.shard, grant.epoch, grant.slot)
        )

    def progress(self, grant: SlotGrant, cost: float) -> None:
        """Report the cost of the request so far to the owner.

        The fairness bound does not depend on this message. It may arrive up to one
        heartbeat late; the charge then lags by the cost of the request in that time.
        """
        held = self.held.get((grant.shard, grant.epoch, grant.slot))
        if held:
            held.cost = cost
        message = SlotProgress(grant.shard, grant.epoch, grant.slot, cost)
        self._send_deferred(grant.shard, message)

    def finish(self, done: SlotDone) -> None:
        """Return a slot.

        Args:
            done: Outcome and cost.
        """
        key = (done.shard, done.epoch, done.slot)
        require(key in self.held, "slot_given_back_once", str(key))
        if self._send(done.shard, done):
            del self.held[key]
            return
        # Kept until the owner answers: without it, the next inventory would free the
        # slot, but its cost would be lost.
        self.held[key].done = done

    def update_attachments(self) -> None:
        """Update the attachments to the owners of the shards in use."""
        self._attachments.attach_to_owners(self._is_in_use)

    def _is_in_use(self, shard: str) -> bool:
        is_waiting = any(call.shard == shard for call in self.waiting.values())
        return is_waiting or any(key[0] == shard for key in self.held)

    def _clear_requested(self, shard: str) -> None:
        for call in self.waiting.values():
            if call.shard == shard:
                call.is_requested = False

    def _make_inventory(self, shard: str) -> Inventory:
        now_ms = self._context.clock.now_ms()
        running = [
            [
                held.grant.epoch,
                held.grant.slot,
                held.grant.server,
                held.account,
                held.cost,
                now_ms - held.granted_ms,
            ]
            for key, held in self.held.items()
            if key[0] == shard
        ]
        return Inventory(shard, running)

    def _on_stream_closed(self, stream) -> None:
        self._attachments.detach_stream(stream)
        self.update_attachments()

    def _handle_inventory_taken(self, stream, answer: InventoryTaken) -> None:
        attachment = self._attachments.find_by_stream(answer.shard, stream)
        if attachment is None or answer.epoch == 0:
            return
        attachment.is_open = True
        for key, held in list(self.held.items()):
            if key[0] == answer.shard and held.done:
                stream.send(held.done)
                del self.held[key]
        for call in list(self.waiting.values()):
            if call.shard == answer.shard and not call.is_requested:
                self._send_request(stream, call)

    def _send_request(self, stream, call: WaitingCall) -> None:
        call.is_requested = True
        stream.send(
            SlotRequest(
                call.ticket,
                call.shard,
                call.account,
                call.estimate,
                call.prefix,
                call.key,
                call.call,
                self._context.clock.now_ms() - call.since_ms,
            )
        )

    def _send(self, shard: str, message: object) -> bool:
        stream = self._attachments.open_stream(shard)
        if stream is None:
            return False
        stream.send(message)
        return True

    def _send_deferred(self, shard: str, message: object) -> None:
        """Send a message that is not urgent with the next frame to the owner."""
        stream = self._attachments.open_stream(shard)
        if stream:
            stream.send_with_next_frame(message)

    def _handle_grant(self, stream, grant: SlotGrant) -> None:
        now_ms = self._context.clock.now_ms()
        call = self.waiting.pop(grant.ticket, None)
        key = (grant.shard, grant.epoch, grant.slot)
        account = call.account if call else ""
        self.held[key] = HeldSlot(grant, account, now_ms)
        if call is None:
            # The call was cancelled while the grant was in transit.
            self.finish(make_done(grant, OUTCOME_NOT_RUN))
            return
        call.event.send(grant)

    def _handle_refusal(self, stream, refusal: SlotRefusal) -> None:
        call = self.waiting.get(refusal.ticket)
        if call is None:
            return
        if refusal.reason == REFUSED_NOT_OWNER:
            self._retry_call(call, stream)
            return
        del self.waiting[refusal.ticket]
        call.event.send(refusal)

    def _retry_call(self, call: WaitingCall, stream) -> None:
        attachment = self._attachments.find_by_stream(call.shard, stream)
        if attachment is None:
            # The request may have been sent to the next owner already.
            return
        call.is_requested = False
        self._attachments.close(attachment)
