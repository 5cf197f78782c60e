"""Sends a request to servers until one responds, or tells why none does.

Handles servers that refuse, fail, fall silent or crash under a prompt: a request that
may have run is sent again only if its route allows it, and all retries of a service
stay within a quota, so that they cannot multiply the load of a failure.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_gateway.admission import Refusal
from lagoonsail_gateway.call_problems import (
    caller_gone_problem,
    deadline_problem,
    harmful_prompt_problem,
    leaving_problem,
    no_retries_problem,
    refusal_problem,
    unknown_outcome_problem,
)
from lagoonsail_gateway.fleet_share import RetryQuota
from lagoonsail_gateway.server_attempt import (
    CALLER_GONE,
    LOST,
    NO_CONNECTION,
    NOT_RUN_BY_SERVER,
    UNREACHABLE,
    AttemptFailedError,
    ServerAttempt,
)
from lagoonsail_router.caller_watch import CHECK_INTERVAL_MS
from lagoonsail_router.periodic_checks import PeriodicChecks
from lagoonsail_router.problems import no_connection_problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_core.decision_log import DecisionLog
    from lagoonsail_gateway.connection_pool import ConnectionPool
    from lagoonsail_gateway.crash_check import CrashCheck
    from lagoonsail_gateway.dispatcher import Dispatcher
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.gateway_settings import GatewaySettings
    from lagoonsail_gateway.request_format import RequestFormat
    from lagoonsail_gateway.server_state import ServerState
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.problems import CallProblem

ANSWER_BEGUN_MS = 200.0
"""Time after the first part of an answer from which a crash of its server is not due to
its prompt."""
MIN_REMAINING_MS = 5.0
"""Minimum time before the deadline at which a request is still sent."""


class CallAttempts:
    """Sends the requests of callers, within the quota of retries."""

    __slots__ = (
        "_checks",
        "_context",
        "_crash_check",
        "_dispatcher",
        "_format",
        "_log",
        "_pool",
        "_retry_quotas",
        "_routers",
        "_settings",
        "is_ending",
    )

    is_ending: bool
    """Whether the process is about to end: running requests get an answer now."""

    def __init__(
        self,
        context: RouterContext,
        settings: GatewaySettings,
        request_format: RequestFormat,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        routers: FleetMembers,
        crash_check: CrashCheck,
        log: DecisionLog,
    ) -> None:
        self._context = context
        self._settings = settings
        self._format = request_format
        self._dispatcher = dispatcher
        self._pool = pool
        self._routers = routers
        self._crash_check = crash_check
        self._log = log
        self._checks = PeriodicChecks(context, "callers", CHECK_INTERVAL_MS)
        self._retry_quotas: dict[str, RetryQuota] = {}
        self.is_ending = False

    @property
    def _clock(self) -> Clock:
        return self._context.clock

    def record_arrival(self, call: GatewayCall) -> None:
        """Note a request that is about to be sent, which raises the quota of retries.

        Args:
            call: The request.
        """
        self._retry_quota(call).record_request()
        self._dispatcher.accounts.record_demand(call.account, call.cost())

    def send_until_head(
        self, call: GatewayCall, is_caller_gone: Callable[[], bool]
    ) -> ServerAttempt:
        """Send a request, retrying it at other servers where that is allowed.

        Args:
            call: The request.
            is_caller_gone: Returns whether its caller has left.

        Returns:
            The attempt that received a response: its head if it is a stream, else also
            the body as far as it is buffered.

        Raises:
            CallProblem: If no attempt received a response.
        """
        while True:
            state = self._select_server(call)
            # Those that are refused may wait, not those that a server works for.
            mark_urgent()
            attempt = ServerAttempt(
                self._context,
                self._format,
                self._dispatcher,
                self._pool,
                call,
                state,
                is_caller_gone,
            )
            if is_caller_gone():
                # A lagging router reads requests whose callers have left already.
                raise caller_gone_problem()
            stop_watch = self.watch(attempt, is_caller_gone)
            try:
                attempt.send()
                if not attempt.is_event_stream():
                    attempt.buffer_body()
            except AttemptFailedError as failure:
                self.record_failure(call, attempt, failure)
                self._check_retry_allowed(call, failure)
                continue
            finally:
                stop_watch()
            return attempt

    def resume(
        self,
        call: GatewayCall,
        failure: AttemptFailedError,
        is_caller_gone: Callable[[], bool],
    ) -> ServerAttempt:
        """Resume a stream at another server.

        Args:
            call: The request.
            failure: How its last attempt failed.
            is_caller_gone: Returns whether its caller has left.

        Raises:
            CallProblem: If it cannot be resumed; the caller gets a truncated response.
        """
        if not call.route.is_resumable:
            raise unknown_outcome_problem(failure.reason)
        self._check_retry_allowed(call, failure)
        resumed = self.send_until_head(call, is_caller_gone)
        if resumed.response.status == 200:
            return resumed
        resumed.cancel()
        resumed.release_buffer()
        raise unknown_outcome_problem("the stream was not taken up")

    def watch(
        self, attempt: ServerAttempt, is_caller_gone: Callable[[], bool]
    ) -> Callable[[], None]:
        """Abort an attempt if its caller leaves or the process is about to end.

        Args:
            attempt: The attempt.
            is_caller_gone: Returns whether its caller has left.

        Returns:
            A function that stops this.
        """

        def check() -> None:
            if self.is_ending or is_caller_gone():
                attempt.abort()

        return self._checks.add(check)

    def record_failure(
        self, call: GatewayCall, attempt: ServerAttempt, failure: AttemptFailedError
    ) -> None:
        """Note an attempt that failed, and whether its prompt may be the cause.

        Args:
            call: The request.
            attempt: The attempt.
            failure: How it failed.
        """
        answering_ms = self._clock.now_ms() - (attempt.first_ms or math.inf)
        if failure.kind == LOST and answering_ms < ANSWER_BEGUN_MS and call.prompt:
            self._crash_check.record_lost(attempt.state.server, call.shared_part_ids())
        self._log.write(
            "attempt_failed",
            request=call.head.request_id,
            server=attempt.state.server.record.server_id,
            kind=failure.kind,
            reason=failure.reason,
            after_ms=round(self._clock.now_ms() - call.arrived_ms),
            may_have_run=call.may_have_run,
            first_ms=first_part_ms(call, attempt),
            prompt=call.shared_part_ids(),
        )

    def check_prompt(self, call: GatewayCall) -> None:
        """Raise the problem for the caller if servers crash under the prompt.

        Args:
            call: The request.
        """
        part = self._crash_check.find_blocked(call.shared_part_ids())
        if part is None:
            return
        reason = f"servers crashed under part {part} of the prompt"
        if call.may_have_run:
            raise unknown_outcome_problem(reason)
        raise harmful_prompt_problem(reason)

    def _select_server(self, call: GatewayCall) -> ServerState:
        if call.deadline_ms - self._clock.now_ms() < MIN_REMAINING_MS:
            raise deadline_problem(call)
        self.check_prompt(call)
        result = self._dispatcher.select_server(call)
        if not isinstance(result, Refusal):
            self._dispatcher.accounts.record_admitted(call.account, call.cost())
            return result
        if call.may_have_run:
            raise unknown_outcome_problem(result.reason)
        raise refusal_problem(result)

    def _check_retry_allowed(
        self, call: GatewayCall, failure: AttemptFailedError
    ) -> None:
        """Raise the problem for the caller unless the request may be retried."""
        if self.is_ending:
            raise _stopping_problem(call)
        if failure.kind == CALLER_GONE:
            raise caller_gone_problem()
        if failure.kind == UNREACHABLE:
            return
        if failure.kind == NO_CONNECTION:
            raise _connections_short_problem(call, failure)
        if failure.kind != NOT_RUN_BY_SERVER and not _may_run_again(call):
            raise unknown_outcome_problem(failure.reason)
        if not self._retry_quota(call).try_acquire():
            self._context.count("repeats_refused_total")
            raise _quota_used_problem(call, failure)
        self._context.count("retries_total", call.service)

    def _retry_quota(self, call: GatewayCall) -> RetryQuota:
        quota = self._retry_quotas.get(call.service)
        if quota is None:
            settings = self._settings
            quota = self._retry_quotas[call.service] = RetryQuota(
                self._clock,
                self._routers,
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_ms,
            )
        return quota


def first_part_ms(call: GatewayCall, attempt: ServerAttempt) -> float | None:
    """Return when the first part of the body came, since the call, None if none did.

    Args:
        call: The request.
        attempt: Its attempt.
    """
    if not attempt.first_ms:
        return None
    return round(attempt.first_ms - call.arrived_ms, 1)


def _may_run_again(call: GatewayCall) -> bool:
    """Return whether a request that may have run is sent to one more server."""
    return call.route.is_retryable() and call.possible_runs < call.route.max_servers


def _stopping_problem(call: GatewayCall) -> CallProblem:
    if call.may_have_run:
        return unknown_outcome_problem("the router stops")
    return leaving_problem()


def _connections_short_problem(
    call: GatewayCall, failure: AttemptFailedError
) -> CallProblem:
    if call.may_have_run:
        return unknown_outcome_problem(failure.reason)
    return no_connection_problem(failure.reason)


def _quota_used_problem(call: GatewayCall, failure: AttemptFailedError) -> CallProblem:
    if call.may_have_run:
        return unknown_outcome_problem(failure.reason)
    return no_retries_problem(call, failure.reason)
