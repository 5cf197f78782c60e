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
    from lagoonsail_router.slot_client import SlotClient, WaitingCall

MOVE_DELAY_MS = 500.0
"""Time after which a call that waits at one shard may move to the next one."""
MOVE_CHECK_INTERVAL_MS = 100.0
"""Interval between checks whether a call may move to the next shard."""
RETRY_AFTER_S = 1
"""Value of Retry-After for refused callers, in seconds."""


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallQueue:
    """Limits the waiting calls of each account, and obtains slots for them."""

    __slots__ = (
        "_configuration",
        "_context",
        "_is_isolated",
        "_move_checks",
        "_slot_client",
        "_wait_checks",
        "waiting",
    )

    waiting: Counter
    """Number of waiting calls by service and account."""

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        slot_client: SlotClient,
        is_isolated: Callable[[], bool],
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._slot_client = slot_client
        self._is_isolated = is_isolated
        self._wait_checks = PeriodicChecks(context, "waiting_calls", CHECK_INTERVAL_MS)
        self._move_checks = PeriodicChecks(
            context, "moving_calls", MOVE_CHECK_INTERVAL_MS
        )
        self.waiting = Counter()

    def wait(self, call: Call, is_gone: Callable[[], bool]) -> SlotGrant:
        """Wait for a slot.

        Args:
            call: The call.
            is_gone: Whether the caller has closed its connection.

        Returns:
            The grant.

        Raises:
            CallProblem: If the call is refused or times out.
            CallerGoneError: If the caller closed its connection.
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
        shards = self._shards_in_order(call)
        shard = shards[0]
        while True:
            reply = self._wait_at(call, shard, shards, is_gone)
            if isinstance(reply, SlotGrant):
                return reply
            if isinstance(reply, SlotRefusal):
                raise _refusal_problem(call, reply.reason)
            shard = reply

    def _wait_at(
        self, call: Call, shard: str, shards: list[str], is_gone: Callable[[], bool]
    ) -> SlotGrant | SlotRefusal | str:
        """Wait at one shard.

        Returns:
            The owner's reply, or the shard to try next.
        """
        waiting = self._slot_client.request_slot(
            shard,
            call.account,
            call.estimate,
            call.prefix,
            call.key_hash,
            call.number,
            call.arrived_ms,
        )
        stop_checks = self._start_checks(call, waiting, shard, shards, is_gone)
        try:
            outcome = waiting.event.wait()
        except BaseException:
            self._slot_client.cancel(waiting)
            raise
        finally:
            stop_checks()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def _start_checks(
        self,
        call: Call,
        waiting: WaitingCall,
        shard: str,
        shards: list[str],
        is_gone: Callable[[], bool],
    ) -> Callable[[], None]:
        """Start periodic checks of a waiting call.

        Returns:
            A function that stops the checks.
        """
        move_after_ms = self._context.clock.now_ms() + MOVE_DELAY_MS

        def check_wait() -> None:
            try:
                self._check_wait(call, is_gone)
            except (CallProblem, CallerGoneError) as error:
                self._end_wait(waiting, error)

        def check_move() -> None:
            next_shard = self._next_open_shard(shard, shards)
            if next_shard and self._context.clock.now_ms() > move_after_ms:
                self._end_wait(waiting, next_shard)

        stop_wait_checks = self._wait_checks.add(check_wait)
        if len(shards) == 1:
            return stop_wait_checks
        stop_move_checks = self._move_checks.add(check_move)

        def stop() -> None:
            stop_wait_checks()
            stop_move_checks()

        return stop

    def _end_wait(self, waiting: WaitingCall, outcome: str | Exception) -> None:
        if not waiting.event.ready():
            # After this, a grant is returned to the owner.
            self._slot_client.cancel(waiting)
            waiting.event.send(outcome)

    def _next_open_shard(self, shard: str, shards: list[str]) -> str:
        """Return the next shard whose owner takes requests, or an empty string.

        While no other owner is reachable, a call keeps its place in the queue: moving
        it would leave the slots of its current shard idle.
        """
        place = shards.index(shard) + 1
        others = shards[place:] + shards[: place - 1]
        # Checks all of them, since a check also attaches this router to the owner.
        is_open = [self._slot_client.is_open(other) for other in others]
        return next(
            (
                other
                for other, is_taking in zip(others, is_open, strict=True)
                if is_taking
            ),
            "",
        )

    def _check_wait(self, call: Call, is_gone: Callable[[], bool]) -> None:
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
        if self._context.clock.now_ms() < call.arrived_ms + timeout_ms:
            return
        raise make_problem(
            call,
            503,
            "no_slot_in_time",
            f"no server was free within {timeout_ms:.0f} ms",
            "try again later, or raise queue_timeout_ms in the service document",
        )

    def _shards_in_order(self, call: Call) -> list[str]:
        """Return the shards to try, in order."""
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
            # All calls with the same key must go to the same owner.
            return [shards[call.key_hash % len(shards)]]
        suffix = f"@{self._context.settings.region}"
        return sorted(shards, key=lambda shard: not shard.endswith(suffix))


def make_problem(
    call: Call, status: int, kind: str, problem: str, remedy: str
) -> CallProblem:
    """Return a problem that states whether an earlier attempt of the call may have run.

    Args:
        call: The call.
        status: HTTP status.
        kind: Stable name of the kind of problem.
        problem: What is wrong.
        remedy: What the caller can do.

    Returns:
        The problem; "not run" with a retry delay if no attempt can have run.
    """
    if call.may_have_run:
        return CallProblem(status, kind, problem, remedy, UNKNOWN)
    return CallProblem(status, kind, problem, remedy, retry_after_s=RETRY_AFTER_S)


def _refusal_problem(call: Call, reason: str) -> CallProblem:
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
