"""The requests that wait for a slot at the owner of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lagoonsail_core.messages import (
    REFUSED_ACCOUNT,
    REFUSED_DUPLICATE,
    REFUSED_KEYS_UNAVAILABLE,
    REFUSED_NOT_OWNER,
    REFUSED_QUEUE_FULL,
    SlotRefusal,
)
from lagoonsail_sharing.waiting import WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.messages import SlotRequest
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.key_log import KeyLog
    from lagoonsail_sharing.fair_queue import FairQueue


class WaitingRequests:
    """The requests in the queue of a shard, by ticket."""

    __slots__ = (
        "_context",
        "_is_accepting",
        "_keys",
        "_on_queued",
        "_queue",
        "by_ticket",
        "sessions",
    )

    by_ticket: dict[tuple, WaitingRequest]
    """Requests by ticket."""
    sessions: dict[tuple[str, int], object]
    """Stream of each entry router, by its name and incarnation."""

    def __init__(
        self,
        context: RouterContext,
        queue: FairQueue,
        keys: KeyLog,
        is_accepting: Callable[[], bool],
        on_queued: Callable[[], None],
    ) -> None:
        self._context = context
        self._queue = queue
        self._keys = keys
        self._is_accepting = is_accepting
        self._on_queued = on_queued
        self.by_ticket = {}
        self.sessions = {}

    def add(self, stream, request: SlotRequest) -> None:
        """Queue a request, after its idempotency key is recorded if it has one.

        Args:
            stream: Stream of the entry router.
            request: The request.
        """
        now_ms = self._context.clock.now_ms()
        waiting = WaitingRequest(
            (stream.name, stream.incarnation, request.ticket),
            request.account,
            request.estimate,
            request.prefix,
            request.key,
            now_ms - max(0.0, request.age_ms),
            stream,
        )
        if not self._is_accepting():
            self.refuse(waiting, REFUSED_NOT_OWNER)
            return
        if not request.key:
            self._enqueue(waiting)
            return
        origin_text = f"{stream.name}\0{stream.incarnation}\0{request.call}"
        self._record_key(waiting, (xxh64_intdigest(origin_text.encode()) >> 1) | 1)

    def _record_key(self, waiting: WaitingRequest, origin: int) -> None:
        if not self._keys.is_loaded:
            # The entry router retries; the keys are being loaded meanwhile.
            self.refuse(waiting, REFUSED_NOT_OWNER)
            return
        if self._keys.is_used(waiting.key, origin):
            self.refuse(waiting, REFUSED_DUPLICATE)
            return

        def on_recorded(is_stored: bool) -> None:
            if not is_stored:
                self.refuse(waiting, REFUSED_KEYS_UNAVAILABLE)
            elif self._is_current(waiting):
                self._enqueue(waiting)
            else:
                self._keys.free(waiting.key)

        self._keys.record(waiting.key, origin, on_recorded)

    def _is_current(self, waiting: WaitingRequest) -> bool:
        if not self._is_accepting():
            self.refuse(waiting, REFUSED_NOT_OWNER)
            return False
        name, incarnation, _ = waiting.ticket
        return self.sessions.get((name, incarnation)) is waiting.reply_to

    def _enqueue(self, waiting: WaitingRequest) -> None:
        if not self._queue.add(waiting):
            if waiting.key:
                self._keys.free(waiting.key)
            is_known = self._queue.has_account(waiting.account)
            self.refuse(waiting, REFUSED_QUEUE_FULL if is_known else REFUSED_ACCOUNT)
            return
        self.by_ticket[waiting.ticket] = waiting
        self._on_queued()

    def remove_granted(self, waiting: WaitingRequest) -> None:
        """Remove a granted request, which is no longer in the queue.

        Args:
            waiting: The request.
        """
        del self.by_ticket[waiting.ticket]

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Remove a request from the queue, and release its idempotency key.

        Args:
            waiting: The request.
        """
        del self.by_ticket[waiting.ticket]
        self._queue.cancel(waiting.ticket)
        if waiting.key:
            self._keys.free(waiting.key)

    def withdraw_if(self, is_lost: Callable[[WaitingRequest], bool]) -> None:
        """Withdraw the requests that match a predicate.

        Args:
            is_lost: Whether to withdraw a request.
        """
        for waiting in list(self.by_ticket.values()):
            if is_lost(waiting):
                self.withdraw(waiting)

    def refuse_all(self) -> None:
        """Withdraw and refuse all requests, so that their entry routers retry."""
        for waiting in list(self.by_ticket.values()):
            self.withdraw(waiting)
            self.refuse(waiting, REFUSED_NOT_OWNER)

    def refuse(self, waiting: WaitingRequest, reason: str) -> None:
        """Notify the entry router that a request will not be granted.

        Args:
            waiting: The request, which is not queued.
            reason: One of the REFUSED constants.
        """
        self._context.count("slot_refusals_total", reason)
        waiting.reply_to.send(SlotRefusal(waiting.ticket[2], reason))
