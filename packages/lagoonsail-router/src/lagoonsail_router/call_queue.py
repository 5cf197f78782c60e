"""The calls of this router that wait for a slot."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.messages import (
    REFUSED_ACCOUNT,
    REFUSED_DUPLICATE,
    REFUSED_QUEUE_FULL,
    SlotGrant,
    SlotRefusal,
)
from lagoonsail_router.caller_watch import CHECK_INTERVAL_MS
from lagoonsail_router.periodic_checks import PeriodicChecks
from lagoonsail_router.problems import UNKNOWN, CallProblem

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.call import Call
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.ticket_desk import TicketDesk, WaitingCall

MOVE_MS = 500.0
"""Time after which a call that waits at one shard asks the service's next one."""
MOVE_CHECK_MS = 100.0
"""Time between two looks whether a call may ask the next shard."""
RETRY_AFTER_S = 1
"""When a refused caller should try again, in seconds."""


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallQueue:
    """Bounds the waiting calls of each account, and finds slots for them."""

    __slots__ = (
        "_configuration",
        "_context",
        "_desk",
        "_is_isolated",
        "_moves",
        "_patience",
        "waiting",
    )

    waiting: Counter
    """Calls that wait, by service and account."""

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        desk: TicketDesk,
        is_isolated: Callable[[], bool],
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._desk = desk
        self._is_isolated = is_isolated
        self._patience = PeriodicChecks(context, "waiting_calls", CHECK_INTERVAL_MS)
        self._moves = PeriodicChecks(context, "moving_calls", MOVE_CHECK_MS)
        self.waiting = Counter()

    def wait(self, call: Call, is_gone: Callable[[], bool]) -> SlotGrant:
        """Wait for a slot.

        Args:
            call: The call.
            is_gone: Tells whether the caller has closed its connection.

        Returns:
            The grant.

        Raises:
            CallProblem: If the call is refused or its time is over.
            CallerGoneError: If the caller went away.
        """
        name = (call.document.qualified(), call.account)
        if self.waiting[name] >= call.document.queue_limit:
            raise make_problem(
                call,
                429,
                "queue_full",
                f"{self.waiting[name]} requests of the account wait at this router",
                "send fewer requests at once, or try again later",
            )
        self.waiting[name] += 1
        try:
            return self._wait_at_shards(call, is_gone)
        finally:
            self.waiting[name] -= 1
            if not self.waiting[name]:
                del self.waiting[name]

    def _wait_at_shards(self, call: Call, is_gone: Callable[[], bool]) -> SlotGrant:
        shards = self._shards(call)
        shard = shards[0]
        while True:
            reply = self._wait_at(call, shard, shards, is_gone)
            if isinstance(reply, SlotGrant):
                return reply
            if isinstance(reply, SlotRefusal):
                raise _refusal(call, reply.reason)
            shard = reply

    def _wait_at(
        self, call: Call, shard: str, shards: list[str], is_gone: Callable[[], bool]
    ) -> SlotGrant | SlotRefusal | str:
        """Wait at one shard.

        Returns:
            The owner's reply, or the shard to ask next.
        """
        waiting = self._desk.ask(
            shard,
            call.account,
            call.estimate,
            call.prefix,
            call.key_hash,
            call.number,
            call.since_ms,
        )
        stop_checks = self._begin_checks(call, waiting, shard, shards, is_gone)
        try:
            end = waiting.event.wait()
        except BaseException:
            self._desk.cancel(waiting)
            raise
        finally:
            stop_checks()
        if isinstance(end, Exception):
            raise end
        return end

    def _begin_checks(
        self,
        call: Call,
        waiting: WaitingCall,
        shard: str,
        shards: list[str],
        is_gone: Callable[[], bool],
    ) -> Callable[[], None]:
        """Look at a waiting call from time to time.

        Returns:
            A function that ends this.
        """
        move_ms = self._context.clock.now_ms() + MOVE_MS

        def check_patience() -> None:
            try:
                self._check_patience(call, is_gone)
            except (CallProblem, CallerGoneError) as error:
                self._end(waiting, error)

        def check_move() -> None:
            next_shard = self._next_open(shard, shards)
            if next_shard and self._context.clock.now_ms() > move_ms:
                self._end(waiting, next_shard)

        stop_patience = self._patience.add(check_patience)
        if len(shards) == 1:
            return stop_patience
        stop_move = self._moves.add(check_move)

        def stop() -> None:
            stop_patience()
            stop_move()

        return stop

    def _end(self, waiting: WaitingCall, end: str | Exception) -> None:
        if not waiting.event.ready():
            # From here on a grant goes back to the owner.
            self._desk.cancel(waiting)
            waiting.event.send(end)

    def _next_open(self, shard: str, shards: list[str]) -> str:
        """Return the next shard in turn whose owner takes requests, or an empty text.

        While no other owner can be reached, a call keeps its place where it is: to wait
        elsewhere would let the slots here idle.
        """
        place = shards.index(shard) + 1
        others = shards[place:] + shards[: place - 1]
        # All of them are asked, so that all are followed.
        is_open = [self._desk.is_open(other) for other in others]
        return next((o for o, found in zip(others, is_open, strict=True) if found), "")

    def _check_patience(self, call: Call, is_gone: Callable[[], bool]) -> None:
        if is_gone():
            raise CallerGoneError
        if call.document.qualified() not in self._configuration.documents:
            raise make_problem(
                call,
                404,
                "unknown_service",
                "the service document was deleted",
                "ask the operators of the service",
            )
        if self._is_isolated():
            raise make_problem(
                call,
                503,
                "router_isolated",
                "this router reaches neither other routers nor the key-value service",
                "try again through another router",
            )
        timeout_ms = call.document.queue_timeout_ms
        if self._context.clock.now_ms() < call.since_ms + timeout_ms:
            return
        raise make_problem(
            call,
            503,
            "no_slot_in_time",
            f"no server was free within {timeout_ms:.0f} ms",
            "try again later, or raise queue_timeout_ms in the service document",
        )

    def _shards(self, call: Call) -> list[str]:
        """Return the shards to ask, in order."""
        shards = sorted(call.document.shards())
        if not shards:
            raise make_problem(
                call,
                503,
                "no_servers",
                "the service document names no backend server",
                "add a server to the document",
            )
        if call.key_hash:
            # All calls with one key must meet at one owner.
            return [shards[call.key_hash % len(shards)]]
        suffix = f"@{self._context.settings.region}"
        return sorted(shards, key=lambda shard: not shard.endswith(suffix))


def make_problem(
    call: Call, status: int, kind: str, problem: str, remedy: str
) -> CallProblem:
    """Return a problem that says what is known of earlier attempts of the call.

    Args:
        call: The call.
        status: HTTP status.
        kind: Stable name of the kind of problem.
        problem: What is wrong.
        remedy: What the caller can do.

    Returns:
        The problem; "not run" with a time to try again if no attempt was made.
    """
    if call.may_have_run:
        return CallProblem(status, kind, problem, remedy, UNKNOWN)
    return CallProblem(status, kind, problem, remedy, retry_after_s=RETRY_AFTER_S)


def _refusal(call: Call, reason: str) -> CallProblem:
    if reason == REFUSED_DUPLICATE:
        return CallProblem(
            409,
            "duplicate_key",
            "a call with this Idempotency-Key was sent before and may have run",
            "look up its effect; it is never sent again",
            UNKNOWN,
        )
    if reason == REFUSED_QUEUE_FULL:
        return make_problem(
            call,
            429,
            "queue_full",
            "too many requests of the account wait in the fleet",
            "send fewer requests at once, or try again later",
        )
    if reason == REFUSED_ACCOUNT:
        return make_problem(
            call,
            401,
            reason,
            "the client account was removed from the service document",
            "use the key of an account in its document",
        )
    return make_problem(
        call,
        503,
        reason,
        "the idempotency key cannot be recorded now",
        "try again with the same key",
    )
