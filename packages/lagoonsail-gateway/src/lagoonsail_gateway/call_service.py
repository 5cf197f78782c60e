"""Serves callers: each request gets a response, a stream or a problem document."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonsail_core.durations import DurationHistogram
from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_gateway.admission import Refusal
from lagoonsail_gateway.call_problems import (
    caller_gone_problem,
    deadline_problem,
    harmful_prompt_problem,
    leaving_problem,
    no_manifest_problem,
    no_retries_problem,
    refusal_problem,
    unknown_outcome_problem,
)
from lagoonsail_gateway.call_reading import read_call
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
from lagoonsail_router.caller_watch import CHECK_INTERVAL_MS, make_caller_watch
from lagoonsail_router.periodic_checks import PeriodicChecks
from lagoonsail_router.problems import (
    CallProblem,
    callers_full_problem,
    internal_problem,
    no_connection_problem,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from lagoonsail_core.clock import Clock
    from lagoonsail_core.decision_log import DecisionLog
    from lagoonsail_gateway.connection_pool import ConnectionPool
    from lagoonsail_gateway.crash_check import CrashCheck
    from lagoonsail_gateway.dispatcher import Dispatcher
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.gateway_settings import GatewaySettings
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.request_format import RequestFormat, RequestHead
    from lagoonsail_gateway.server_state import ServerState
    from lagoonsail_router.context import RouterContext

HISTOGRAMS = {
    "answer_first": "Time until the first part of an answer was passed on.",
    "answer": "Time until the end of an answer was passed on.",
}
"""Help texts of the duration histograms, by metric name."""
ACCEPT_WHILE_STOPPING_MS = 3000.0
"""Time after the start of a planned stop during which requests are still accepted.
Later ones are refused, so that the running requests can finish."""
ANSWER_BEGUN_MS = 200.0
"""Time after the first part of an answer from which a crash of its server is not due to
its prompt."""
SHORT_BODY_BYTES = 16_384
"""Size up to which a body that is being written is not counted: the kernel holds it."""
MIN_REMAINING_MS = 5.0
"""Minimum time before the deadline at which a request is still sent."""


class CallService:
    """The WSGI application on the port for callers."""

    __slots__ = (
        "_checks",
        "_context",
        "_crash_check",
        "_dispatcher",
        "_format",
        "_log",
        "_manifest",
        "_pool",
        "_retry_quotas",
        "_routers",
        "_settings",
        "durations",
        "is_ending",
        "stop_started_ms",
    )

    durations: dict[str, DurationHistogram]
    """Duration histograms, by metric name."""
    is_ending: bool
    """Whether the process is about to end: running requests get an answer now."""
    stop_started_ms: float
    """Monotonic time at which a planned stop began, infinity before."""

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
        self._manifest: Manifest | None = None
        self.durations = {name: DurationHistogram() for name in HISTOGRAMS}
        self.is_ending = False
        self.stop_started_ms = float("inf")

    @property
    def _clock(self) -> Clock:
        return self._context.clock

    def apply_manifest(self, manifest: Manifest) -> None:
        """Use a manifest for later requests.

        Args:
            manifest: The manifest in force.
        """
        self._manifest = manifest

    def serve(self, env: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request, as a WSGI application.

        Args:
            env: The WSGI environment.
            start_response: The WSGI callback that sends status and headers.

        Returns:
            The response body.
        """
        now_ms = self._clock.now_ms()
        head = self._format.read_request(env)
        try:
            self._check_serving()
            call = read_call(env, head, lambda: self._manifest, now_ms)
            # A body may take seconds, in which a stop may have begun.
            self._check_serving()
            return self._respond(call, env, start_response)
        except CallProblem as problem:
            return self._refuse(problem, head, now_ms, start_response)
        except Exception:
            self._context.count("task_errors_total", "call")
            self._context.logger.exception(
                "unexpected error while serving a request; responding with a problem"
            )
            return self._refuse(internal_problem(), head, now_ms, start_response)

    def refuse(self, env: dict, start_response: Callable) -> Iterable[bytes]:
        """Refuse a request for want of connections, as a WSGI application.

        Args:
            env: The WSGI environment.
            start_response: The WSGI callback that sends status and headers.

        Returns:
            The response body.
        """
        head = self._format.read_request(env)
        return self._refuse(
            callers_full_problem(), head, self._clock.now_ms(), start_response
        )

    def _check_serving(self) -> None:
        if self._clock.now_ms() > self.stop_started_ms + ACCEPT_WHILE_STOPPING_MS:
            raise leaving_problem()
        if self._manifest is None:
            raise no_manifest_problem()

    # Sending the request to servers.

    def _respond(
        self, call: GatewayCall, env: dict, start_response: Callable
    ) -> Iterable[bytes]:
        self._check_prompt(call)
        self._retry_quota(call).record_request()
        self._dispatcher.accounts.record_demand(call.account, call.cost())
        is_caller_gone = make_caller_watch(env)
        attempt = self._attempt_until_head(call, is_caller_gone)
        if not call.route.is_resumable:
            call.drop_body()
        if attempt.is_event_stream():
            self._start_response(attempt, start_response, [])
            return self._stream(call, attempt, is_caller_gone)
        return self._forward_buffered(call, attempt, is_caller_gone, start_response)

    def _attempt_until_head(
        self, call: GatewayCall, is_caller_gone: Callable[[], bool]
    ) -> ServerAttempt:
        """Send a request, retrying it at other servers where that is allowed.

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
            stop_watch = self._watch(attempt, is_caller_gone)
            try:
                attempt.send()
                if not attempt.is_event_stream():
                    attempt.buffer_body()
            except AttemptFailedError as failure:
                self._record_failure(call, attempt, failure)
                self._check_retry_allowed(call, failure)
                continue
            finally:
                stop_watch()
            return attempt

    def _select_server(self, call: GatewayCall) -> ServerState:
        if call.deadline_ms - self._clock.now_ms() < MIN_REMAINING_MS:
            raise deadline_problem(call)
        self._check_prompt(call)
        result = self._dispatcher.select_server(call)
        if not isinstance(result, Refusal):
            self._dispatcher.accounts.record_admitted(call.account, call.cost())
            return result
        if call.may_have_run:
            raise unknown_outcome_problem(result.reason)
        raise refusal_problem(result)

    def _check_prompt(self, call: GatewayCall) -> None:
        """Raise the problem for the caller if servers crash under the prompt."""
        part = self._crash_check.find_blocked(call.shared_part_ids())
        if part is None:
            return
        reason = f"servers crashed under part {part} of the prompt"
        if call.may_have_run:
            raise unknown_outcome_problem(reason)
        raise harmful_prompt_problem(reason)

    def _check_retry_allowed(
        self, call: GatewayCall, failure: AttemptFailedError
    ) -> None:
        """Raise the problem for the caller unless the request may be retried."""
        if self.is_ending:
            raise (
                unknown_outcome_problem("the router stops")
                if call.may_have_run
                else leaving_problem()
            )
        if failure.kind == CALLER_GONE:
            raise caller_gone_problem()
        if failure.kind == UNREACHABLE:
            return
        if failure.kind == NO_CONNECTION:
            if call.may_have_run:
                raise unknown_outcome_problem(failure.reason)
            raise no_connection_problem(failure.reason)
        if failure.kind != NOT_RUN_BY_SERVER:
            is_retryable = call.route.is_retryable()
            if not is_retryable or call.possible_runs >= call.route.max_servers:
                raise unknown_outcome_problem(failure.reason)
        if not self._retry_quota(call).try_acquire():
            self._context.count("repeats_refused_total")
            if call.may_have_run:
                raise unknown_outcome_problem(failure.reason)
            raise no_retries_problem(call, failure.reason)
        self._context.count("retries_total", call.service)

    def _record_failure(
        self, call: GatewayCall, attempt: ServerAttempt, failure: AttemptFailedError
    ) -> None:
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
            first_ms=_first_part_ms(call, attempt),
            prompt=call.shared_part_ids(),
        )

    def _watch(
        self, attempt: ServerAttempt, is_caller_gone: Callable[[], bool]
    ) -> Callable[[], None]:
        """Abort an attempt if its caller leaves or the process is about to end.

        Returns:
            A function that stops this.
        """

        def check() -> None:
            if self.is_ending or is_caller_gone():
                attempt.abort()

        return self._checks.add(check)

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

    # Forwarding the response.

    def _start_response(
        self, attempt: ServerAttempt, start_response: Callable, extra_headers: list
    ) -> None:
        response = attempt.response
        headers = [*attempt.headers_to_forward(), *extra_headers]
        start_response(
            f"{response.status} Answer", self._context.add_connection_close(headers)
        )

    def _forward_buffered(
        self,
        call: GatewayCall,
        attempt: ServerAttempt,
        is_caller_gone: Callable[[], bool],
        start_response: Callable,
    ) -> Iterable[bytes]:
        if attempt.is_complete():
            body = attempt.body
            self._start_response(
                attempt, start_response, [("Content-Length", str(len(body)))]
            )
            self._record_end(call, attempt, "answered")
            return _write_buffered(attempt, body)
        # The body is too large to buffer. After its first bytes are forwarded, the
        # request cannot be retried; on a failure the response is truncated.
        self._start_response(attempt, start_response, [])
        return self._stream(call, attempt, is_caller_gone)

    def _stream(
        self,
        call: GatewayCall,
        attempt: ServerAttempt,
        is_caller_gone: Callable[[], bool],
    ) -> Iterator[bytes]:
        outcome = "cancelled"
        stop_watch = self._watch(attempt, is_caller_gone)
        try:
            while True:
                try:
                    yield from attempt.iter_body()
                    outcome = "answered"
                    return
                except AttemptFailedError as failure:
                    outcome = "broken"
                    self._record_failure(call, attempt, failure)
                    stop_watch()
                    attempt = self._resume(call, failure, is_caller_gone)
                    stop_watch = self._watch(attempt, is_caller_gone)
        finally:
            stop_watch()
            attempt.cancel()
            self._record_end(call, attempt, outcome)

    def _resume(
        self,
        call: GatewayCall,
        failure: AttemptFailedError,
        is_caller_gone: Callable[[], bool],
    ) -> ServerAttempt:
        """Resume a stream at another server.

        Raises:
            CallProblem: If it cannot be resumed; the caller gets a truncated response.
        """
        if not call.route.is_resumable:
            raise unknown_outcome_problem(failure.reason)
        self._check_retry_allowed(call, failure)
        resumed = self._attempt_until_head(call, is_caller_gone)
        if resumed.response.status == 200:
            return resumed
        raise unknown_outcome_problem("the stream was not taken up")

    def _record_end(
        self, call: GatewayCall, attempt: ServerAttempt, outcome: str
    ) -> None:
        now_ms = self._clock.now_ms()
        if attempt.first_ms:
            self.durations["answer_first"].add(attempt.first_ms - call.arrived_ms)
        self.durations["answer"].add(now_ms - call.arrived_ms)
        self._context.count("answers_total", outcome)
        if outcome == "answered" and attempt.response.status < 300:
            self._crash_check.record_answer(call.shared_part_ids())
        self._log.write(
            "answer",
            request=call.head.request_id,
            route=call.route.name,
            manifest=self._manifest.version,
            account=call.account,
            server=attempt.state.server.record.server_id,
            status=attempt.response.status if attempt.response else 0,
            attempts=call.send_count,
            first_ms=_first_part_ms(call, attempt),
            total_ms=round(now_ms - call.arrived_ms, 1),
            outcome=outcome,
            **attempt.selection_load,
        )

    def _account_name(self, head: RequestHead | None) -> str:
        if self._manifest is None or head is None:
            return ""
        account = self._manifest.accounts.get(head.api_key)
        return account.name if account else ""

    def _refuse(
        self,
        problem: CallProblem,
        head: RequestHead | None,
        arrived_ms: float,
        start_response: Callable,
    ) -> list[bytes]:
        request_id = head.request_id if head else ""
        self._log.write(
            "refused",
            request=request_id,
            account=self._account_name(head),
            status=problem.status,
            kind=problem.kind,
            reason=problem.problem,
            manifest=self._manifest.version if self._manifest else None,
            told_ms_ago=self._dispatcher.last_digest_age_ms(),
            after_ms=round(self._clock.now_ms() - arrived_ms, 1),
            ran=problem.ran,
            retry_after_s=problem.retry_after_s,
        )
        return self._context.respond_with_problem(problem, request_id, start_response)


def _write_buffered(attempt: ServerAttempt, body: bytes) -> Iterable[bytes]:
    """Return a whole body to be written; a long one counts until it has been."""
    if len(body) <= SHORT_BODY_BYTES:
        attempt.release_buffer()
        return [body]

    def write() -> Iterator[bytes]:
        try:
            yield body
        finally:
            attempt.release_buffer()

    return write()


def _first_part_ms(call: GatewayCall, attempt: ServerAttempt) -> float | None:
    """Return when the first part of the body came, since the call, None if none did."""
    if not attempt.first_ms:
        return None
    return round(attempt.first_ms - call.arrived_ms, 1)
