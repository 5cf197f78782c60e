"""Slots for the calls that came in at this router, from the owners of the shards."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.clock import shortest_ms
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

if TYPE_CHECKING:
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.peers import PeerDirectory

ATTACH_RETRY_MS = 300.0
"""Time after which an unanswered inventory is sent again."""
FORGET_ATTACHMENT_MS = 600_000.0
"""Idle time after which a shard's owner is no longer followed."""


@dataclass(slots=True)
class WaitingCall:
    """A call that waits for a slot."""

    ticket: int
    """Number of the slot request."""
    shard: str
    """Shard that is asked."""
    account: str
    """Client account."""
    estimate: float
    """Hint of the cost, 0 if there is none."""
    prefix: list[int]
    """Hashes of the prompt's prefixes."""
    key: int
    """Hash of the idempotency key, 0 if there is none."""
    call: int
    """Number of the call at this router."""
    since_ms: float
    """When the caller's request arrived."""
    event: object
    """Gets a SlotGrant or a SlotRefusal."""
    is_asked: bool = False
    """Whether the present owner has been asked."""


@dataclass(slots=True)
class HeldSlot:
    """A slot that this router holds."""

    grant: SlotGrant
    """The grant."""
    account: str
    """Client account."""
    granted_ms: float
    """When the grant arrived."""
    cost: float = 0.0
    """Cost so far."""
    done: SlotDone | None = None
    """What could not be delivered to the owner yet."""


@dataclass(slots=True)
class Attachment:
    """The dealings with the owner of one shard."""

    shard: str
    """The shard."""
    used_ms: float
    """When a call last needed the shard."""
    stream: object = None
    """Stream to the owner, None while there is none."""
    sent_ms: float = 0.0
    """When the inventory was sent on the stream."""
    is_open: bool = False
    """Whether the owner has answered the inventory."""


class TicketDesk:
    """Waiting calls, held slots and attachments of this router."""

    __slots__ = (
        "_configuration",
        "_context",
        "_local_stream",
        "_next_ticket",
        "_peers",
        "attachments",
        "held",
        "waiting",
    )

    waiting: dict[int, WaitingCall]
    """Calls that wait for a slot, by ticket."""
    held: dict[tuple[str, int, int], HeldSlot]
    """Slots by shard, epoch and number."""
    attachments: dict[str, Attachment]
    """Dealings with owners, by shard."""

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        peers: PeerDirectory,
        local_stream: object,
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._peers = peers
        self._local_stream = local_stream
        self._next_ticket = 0
        self.waiting = {}
        self.held = {}
        self.attachments = {}
        peers.handle(SlotGrant, self._take_grant)
        peers.handle(SlotRefusal, self._take_refusal)
        peers.handle(InventoryTaken, self._take_inventory_answer)
        peers.subscribe(lambda stream: self.maintain(), self._lose_stream)

    def ask(
        self,
        shard: str,
        account: str,
        estimate: float,
        prefix: list[int],
        key: int,
        call_number: int,
        since_ms: float,
    ) -> WaitingCall:
        """Ask for a slot.

        Args:
            shard: Shard whose owner is asked.
            account: Client account, unqualified.
            estimate: Hint of the cost, 0 if there is none.
            prefix: Hashes of the prompt's prefixes.
            key: Hash of the idempotency key, 0 if there is none.
            call_number: Number of the call at this router.
            since_ms: When the caller's request arrived.

        Returns:
            The waiting call; its event gets a grant or a refusal.
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
        now_ms = self._context.clock.now_ms()
        attachment = self.attachments.setdefault(shard, Attachment(shard, now_ms))
        attachment.used_ms = now_ms
        if attachment.is_open:
            self._send_request(attachment, call)
        elif attachment.stream is None:
            self._attach(attachment)
        return call

    def is_open(self, shard: str) -> bool:
        """Return whether the owner of a shard takes requests; follow it from now on.

        Args:
            shard: The shard.
        """
        now_ms = self._context.clock.now_ms()
        attachment = self.attachments.setdefault(shard, Attachment(shard, now_ms))
        attachment.used_ms = now_ms
        return attachment.is_open

    def cancel(self, call: WaitingCall) -> None:
        """Withdraw a call that no longer wants a slot."""
        if self.waiting.pop(call.ticket, None) is None:
            self._give_back_reply(call)
            return
        attachment = self.attachments.get(call.shard)
        if attachment and attachment.is_open and call.is_asked:
            attachment.stream.send(SlotCancel(call.ticket))

    def _give_back_reply(self, call: WaitingCall) -> None:
        """Give back a grant that came just before its call was cancelled."""
        reply = call.event.wait() if call.event.ready() else None
        if isinstance(reply, SlotGrant) and self.holds(reply):
            self.finish(make_done(reply, OUTCOME_NOT_RUN))

    def may_start(self, grant: SlotGrant) -> bool:
        """Return whether a grant may still be used; ask right before sending.

        Args:
            grant: The grant.
        """
        window_ms = shortest_ms(self._context.settings.start_window_ms)
        age_ms = self._context.clock.now_ms() - grant.basis_ms
        return 0 <= age_ms < window_ms

    def holds(self, grant: SlotGrant) -> bool:
        """Return whether the slot of a grant was not given back yet."""
        held = self.held.get((grant.shard, grant.epoch, grant.slot))
        return held is not None and held.done is None

    def start(self, grant: SlotGrant) -> None:
        """Tell the owner that the request is being sent.

        Only a release of the shard waits for this, for one start window at most.
        """
        self._note(grant.shard, SlotStart(grant.shard, grant.epoch, grant.slot))

    def progress(self, grant: SlotGrant, cost: float) -> None:
        """Tell the owner what the request has cost so far.

        The bound of fairness holds without this; a report up to one heartbeat late
        only lets the charge lag by what the request costs in that time.
        """
        held = self.held.get((grant.shard, grant.epoch, grant.slot))
        if held:
            held.cost = cost
        message = SlotProgress(grant.shard, grant.epoch, grant.slot, cost)
        self._note(grant.shard, message)

    def finish(self, done: SlotDone) -> None:
        """Give a slot back.

        Args:
            done: Outcome and cost.
        """
        key = (done.shard, done.epoch, done.slot)
        require(key in self.held, "slot_given_back_once", str(key))
        if self._send(done.shard, done):
            del self.held[key]
            return
        # The next inventory leaves the slot out, but its cost would be lost.
        self.held[key].done = done

    def maintain(self) -> None:
        """Follow the owners of the shards in use."""
        now_ms = self._context.clock.now_ms()
        for attachment in list(self.attachments.values()):
            if self._is_idle(attachment, now_ms):
                del self.attachments[attachment.shard]
                continue
            self._follow(attachment, now_ms)

    def _is_idle(self, attachment: Attachment, now_ms: float) -> bool:
        if now_ms - attachment.used_ms < FORGET_ATTACHMENT_MS:
            return False
        shard = attachment.shard
        in_use = any(call.shard == shard for call in self.waiting.values())
        return not in_use and not any(key[0] == shard for key in self.held)

    def _follow(self, attachment: Attachment, now_ms: float) -> None:
        stream = self._stream_to_owner(attachment.shard)
        if stream is None:
            self._detach(attachment)
            return
        if attachment.stream is not stream:
            self._detach(attachment)
            self._attach(attachment)
            return
        is_late = now_ms - attachment.sent_ms > ATTACH_RETRY_MS
        if not attachment.is_open and is_late:
            self._attach(attachment)

    def _stream_to_owner(self, shard: str) -> object | None:
        owner = self._configuration.owner_of(shard)
        if not owner:
            return None
        if owner == self._context.settings.name:
            return self._local_stream
        return self._peers.stream_to(owner)

    def _attach(self, attachment: Attachment) -> None:
        stream = self._stream_to_owner(attachment.shard)
        if stream is None:
            return
        attachment.stream = stream
        attachment.sent_ms = self._context.clock.now_ms()
        stream.send(self._inventory(attachment.shard))

    def _inventory(self, shard: str) -> Inventory:
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

    def _detach(self, attachment: Attachment) -> None:
        attachment.stream = None
        attachment.is_open = False
        for call in self.waiting.values():
            if call.shard == attachment.shard:
                call.is_asked = False

    def _lose_stream(self, stream) -> None:
        for attachment in self.attachments.values():
            if attachment.stream is stream:
                self._detach(attachment)
        self.maintain()

    def _take_inventory_answer(self, stream, answer: InventoryTaken) -> None:
        attachment = self.attachments.get(answer.shard)
        if attachment is None or attachment.stream is not stream:
            return
        if answer.epoch == 0:
            return
        attachment.is_open = True
        for key, held in list(self.held.items()):
            if key[0] == answer.shard and held.done:
                stream.send(held.done)
                del self.held[key]
        for call in list(self.waiting.values()):
            if call.shard == answer.shard and not call.is_asked:
                self._send_request(attachment, call)

    def _send_request(self, attachment: Attachment, call: WaitingCall) -> None:
        call.is_asked = True
        attachment.stream.send(
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
        attachment = self.attachments.get(shard)
        if attachment is None or not attachment.is_open:
            return False
        attachment.stream.send(message)
        return True

    def _note(self, shard: str, message: object) -> None:
        """Send what nobody waits for along with the next frame to the owner."""
        attachment = self.attachments.get(shard)
        if attachment and attachment.is_open:
            attachment.stream.send_along(message)

    def _take_grant(self, stream, grant: SlotGrant) -> None:
        now_ms = self._context.clock.now_ms()
        call = self.waiting.pop(grant.ticket, None)
        key = (grant.shard, grant.epoch, grant.slot)
        account = call.account if call else ""
        self.held[key] = HeldSlot(grant, account, now_ms)
        if call is None:
            # The call was cancelled while its grant was on the way.
            self.finish(make_done(grant, OUTCOME_NOT_RUN))
            return
        call.event.send(grant)

    def _take_refusal(self, stream, refusal: SlotRefusal) -> None:
        call = self.waiting.get(refusal.ticket)
        if call is None:
            return
        if refusal.reason == REFUSED_NOT_OWNER:
            self._ask_again(call, stream)
            return
        del self.waiting[refusal.ticket]
        call.event.send(refusal)

    def _ask_again(self, call: WaitingCall, stream) -> None:
        attachment = self.attachments.get(call.shard)
        if attachment is None or attachment.stream is not stream:
            # The next owner may have been asked already.
            return
        call.is_asked = False
        # Until the owner answers a new inventory, it is not asked again.
        attachment.is_open = False
        attachment.sent_ms = self._context.clock.now_ms()


def make_done(
    grant: SlotGrant,
    outcome: str,
    cost: float = 0.0,
    server_incarnation: str = "",
    first_ms: float = 0.0,
    duration_ms: float = 0.0,
) -> SlotDone:
    """Return the message that gives a slot back.

    Args:
        grant: The grant of the slot.
        outcome: One of the OUTCOME constants.
        cost: Whole cost in the service's unit.
        server_incarnation: Incarnation that the server reported.
        first_ms: Time until the first byte.
        duration_ms: Time until the end.

    Returns:
        The message.
    """
    return SlotDone(
        grant.shard,
        grant.epoch,
        grant.slot,
        outcome,
        float(cost),
        server_incarnation,
        float(first_ms),
        float(duration_ms),
    )
