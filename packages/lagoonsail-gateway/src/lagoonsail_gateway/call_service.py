"""Serves callers: from a request to the whole answer, a refusal, or a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.durations import Durations
from lagoonsail_gateway.admission import Refusal
from lagoonsail_gateway.call_reading import read_call
from lagoonsail_gateway.fleet_share import RetryQuota
from lagoonsail_gateway.manifest import STREAMING
from lagoonsail_gateway.server_attempt import (
    GONE,
    NOT_RUN_BY_SERVER,
    UNREACHABLE,
    AttemptFailedError,
    ServerAttempt,
)
from lagoonsail_router.caller_watch import CHECK_INTERVAL_MS, make_caller_watch
from lagoonsail_router.periodic_checks import PeriodicChecks
from lagoonsail_router.problems import UNKNOWN, CallProblem, internal_problem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from lagoonsail_core.clock import Clock
    from lagoonsail_core.decision_log import DecisionLog
    from lagoonsail_gateway.connection_pool import ConnectionPool
    from lagoonsail_gateway.dispatcher import Dispatcher, ServerState
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.gateway_settings import GatewaySettings
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.request_format import RequestFormat, RequestHead
    from lagoonsail_router.context import RouterContext

HISTOGRAMS = {
    "answer_first": "Time until the first part of an answer was passed on.",
    "answer": "Time until the end of an answer was passed on.",
}
"""What takes time, by name in the metrics."""
RETRY_AFTER_UNKNOWN_S = 0.3
"""When to try again at a router that does not know the configuration yet."""
RETRY_AFTER_NO_REPEAT_S = 0.5
"""When to try again where the router may not send a request once more."""
RETRY_AFTER_LEAVING_S = 0.05
"""When to try again if this router leaves; another one can serve at once."""
LAST_TAKEN_MS = 3000.0
"""After this part of a planned stop requests are refused, so that the others end."""
SHORTEST_LEFT_MS = 5.0
"""Time below which a request is not sent any more."""


class CallService:
    """The WSGI application of the callers' port."""

    __slots__ = (
        "_checks",
        "_context",
        "_dispatcher",
        "_format",
        "_log",
        "_manifest",
        "_pool",
        "_repeats",
        "_routers",
        "_settings",
        "durations",
        "leaving_ms",
        "running",
    )

    durations: dict[str, Durations]
    """What takes time, by name in the metrics."""
    running: int
    """Calls that were taken and not yet answered."""
    leaving_ms: float
    """Monotonic time at which a planned stop began."""

    def __init__(
        self,
        context: RouterContext,
        settings: GatewaySettings,
        request_format: RequestFormat,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        routers: FleetMembers,
        log: DecisionLog,
    ) -> None:
        self._context = context
        self._settings = settings
        self._format = request_format
        self._dispatcher = dispatcher
        self._pool = pool
        self._routers = routers
        self._log = log
        self._checks = PeriodicChecks(context, "callers", CHECK_INTERVAL_MS)
        self._repeats: dict[str, RetryQuota] = {}
        self._manifest: Manifest | None = None
        self.durations = {name: Durations() for name in HISTOGRAMS}
        self.running = 0
        self.leaving_ms = float("inf")

    @property
    def _clock(self) -> Clock:
        return self._context.clock

    def use(self, manifest: Manifest) -> None:
        """Serve by a manifest from now on.

        Args:
            manifest: The manifest in force.
        """
        self._manifest = manifest

    def serve(self, env: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request, as a WSGI application.

        Args:
            env: The WSGI environment.
            start_response: What WSGI gives to begin the answer.

        Returns:
            The body.
        """
        self.running += 1
        now_ms = self._clock.now_ms()
        head = self._format.read_request(env)
        is_streamed = False
        try:
            self._check_serving(now_ms)
            call = read_call(env, head, self._manifest, now_ms)
            body = self._answer(call, env, start_response)
            is_streamed = not isinstance(body, list)
        except CallProblem as problem:
            return self._refuse(problem, head, now_ms, start_response)
        except Exception:
            self._context.count("task_errors_total", "call")
            self._context.logger.exception("a call failed")
            return self._refuse(internal_problem(), head, now_ms, start_response)
        finally:
            if not is_streamed:
                self.running -= 1
        return body

    def _check_serving(self, now_ms: float) -> None:
        if now_ms > self.leaving_ms + LAST_TAKEN_MS:
            raise CallProblem(
                503,
                "leaving",
                "this router is about to stop",
                "try again at another router",
                retry_after_s=RETRY_AFTER_LEAVING_S,
            )
        if self._manifest is None:
            raise CallProblem(
                503,
                "no_manifest",
                "this router does not know the configuration yet",
                "try again",
                retry_after_s=RETRY_AFTER_UNKNOWN_S,
            )

    # Answering.

    def _answer(
        self, call: GatewayCall, env: dict, start_response: Callable
    ) -> Iterable[bytes]:
        self._repeat_share(call).record_request()
        self._dispatcher.accounts.record_demand(call.account, call.cost())
        is_gone = make_caller_watch(env)
        attempt = self._attempt_until_head(call, is_gone)
        if _is_stream(call, attempt):
            self._start(attempt, start_response, [])
            return self._stream(call, attempt, is_gone)
        return self._pass_whole(call, attempt, is_gone, start_response)

    def _attempt_until_head(
        self, call: GatewayCall, is_gone: Callable[[], bool]
    ) -> ServerAttempt:
        """Send a request, more than once where that is allowed.

        Returns:
            The attempt whose answer has begun.

        Raises:
            CallProblem: If there is none.
        """
        while True:
            state = self._choose(call)
            attempt = ServerAttempt(
                self._context, self._format, self._dispatcher, self._pool, call, state
            )
            if is_gone():
                # A router that lags reads requests whose callers have left already.
                raise _caller_gone()
            stop_check = watch_caller(self._checks, attempt, is_gone)
            try:
                attempt.send()
                if not _is_stream(call, attempt):
                    attempt.read_whole()
            except AttemptFailedError as failure:
                self._note_failure(call, attempt, failure)
                self._check_may_repeat(call, failure)
                continue
            finally:
                stop_check()
            return attempt

    def _choose(self, call: GatewayCall) -> ServerState:
        if call.deadline_ms - self._clock.now_ms() < SHORTEST_LEFT_MS:
            raise _too_late(call)
        choice = self._dispatcher.select_server(call)
        if not isinstance(choice, Refusal):
            self._dispatcher.accounts.record_admitted(call.account, call.cost())
            return choice
        if call.may_have_run:
            raise _unknown_outcome(call, choice.reason)
        raise CallProblem(
            429 if choice.is_over_share else 503,
            choice.kind,
            choice.reason,
            "try again after the time in Retry-After",
            retry_after_s=choice.retry_after_s,
        )

    def _check_may_repeat(self, call: GatewayCall, failure: AttemptFailedError) -> None:
        """Return if the request may be sent once more, else raise the problem."""
        if failure.kind == GONE:
            raise _caller_gone()
        if failure.kind == UNREACHABLE:
            return
        if failure.kind != NOT_RUN_BY_SERVER:
            is_allowed = call.route.is_repeatable()
            if not is_allowed or call.runs >= call.route.max_servers:
                raise _unknown_outcome(call, failure.reason)
        if not self._repeat_share(call).try_acquire():
            self._context.count("repeats_refused_total")
            if call.may_have_run:
                raise _unknown_outcome(call, failure.reason)
            raise CallProblem(
                503,
                "repeats_used_up",
                f"{failure.reason}, and no repeats are left for {call.service}",
                "try again after the time in Retry-After",
                retry_after_s=RETRY_AFTER_NO_REPEAT_S,
            )
        self._context.count("retries_total", call.service)

    def _note_failure(
        self, call: GatewayCall, attempt: ServerAttempt, failure: AttemptFailedError
    ) -> None:
        self._log.write(
            "attempt_failed",
            request=call.head.request_id,
            server=attempt.state.server.record.server_id,
            kind=failure.kind,
            reason=failure.reason,
            after_ms=round(self._clock.now_ms() - call.since_ms),
            may_have_run=call.may_have_run,
        )

    def _repeat_share(self, call: GatewayCall) -> RetryQuota:
        share = self._repeats.get(call.service)
        if share is None:
            settings = self._settings
            share = self._repeats[call.service] = RetryQuota(
                self._clock,
                self._routers,
                settings.repeat_ratio,
                settings.repeat_slack,
                settings.repeat_window_ms,
            )
        return share

    # Passing the answer back.

    def _start(
        self, attempt: ServerAttempt, start_response: Callable, more: list
    ) -> None:
        answer = attempt.answer
        headers = [*attempt.headers_to_pass(), *more]
        start_response(f"{answer.status} Answer", self._context.closing(headers))

    def _pass_whole(
        self,
        call: GatewayCall,
        attempt: ServerAttempt,
        is_gone: Callable[[], bool],
        start_response: Callable,
    ) -> Iterable[bytes]:
        if attempt.is_whole():
            body = attempt.body
            self._start(attempt, start_response, [("Content-Length", str(len(body)))])
            self._note_end(call, attempt, "answered")
            return [body]
        # Too long to be kept: from here on it can only be cut off.
        self._start(attempt, start_response, [])
        return self._stream(call, attempt, is_gone)

    def _stream(
        self, call: GatewayCall, attempt: ServerAttempt, is_gone: Callable[[], bool]
    ) -> Iterator[bytes]:
        outcome = "cancelled"
        stop_check = watch_caller(self._checks, attempt, is_gone)
        try:
            while True:
                try:
                    yield from attempt.pass_on()
                    outcome = "answered"
                    return
                except AttemptFailedError as failure:
                    outcome = "broken"
                    self._note_failure(call, attempt, failure)
                    stop_check()
                    attempt = self._resume(call, failure, is_gone)
                    stop_check = watch_caller(self._checks, attempt, is_gone)
        finally:
            stop_check()
            attempt.cancel()
            self.running -= 1
            self._note_end(call, attempt, outcome)

    def _resume(
        self,
        call: GatewayCall,
        failure: AttemptFailedError,
        is_gone: Callable[[], bool],
    ) -> ServerAttempt:
        """Go on with a stream at another server.

        Raises:
            CallProblem: If it cannot go on; the caller sees an answer that breaks off.
        """
        if not call.route.is_resumable:
            raise _unknown_outcome(call, failure.reason)
        self._check_may_repeat(call, failure)
        following = self._attempt_until_head(call, is_gone)
        if following.answer.status == 200:
            return following
        raise _unknown_outcome(call, "the stream was not taken up")

    def _note_end(
        self, call: GatewayCall, attempt: ServerAttempt, outcome: str
    ) -> None:
        now_ms = self._clock.now_ms()
        if attempt.first_ms:
            self.durations["answer_first"].add(attempt.first_ms - call.since_ms)
        self.durations["answer"].add(now_ms - call.since_ms)
        self._context.count("answers_total", outcome)
        self._log.write(
            "answer",
            request=call.head.request_id,
            route=call.route.name,
            manifest=self._manifest.version,
            account=call.account,
            server=attempt.state.server.record.server_id,
            status=attempt.answer.status if attempt.answer else 0,
            attempts=call.arrivals,
            first_ms=round(attempt.first_ms - call.since_ms, 1),
            total_ms=round(now_ms - call.since_ms, 1),
            outcome=outcome,
            **attempt.decided,
        )

    def _account_of(self, head: RequestHead | None) -> str:
        if self._manifest is None or head is None:
            return ""
        account = self._manifest.accounts.get(head.api_key)
        return account.name if account else ""

    def _refuse(
        self,
        problem: CallProblem,
        head: RequestHead | None,
        since_ms: float,
        start_response: Callable,
    ) -> list[bytes]:
        request_id = head.request_id if head else ""
        self._log.write(
            "refused",
            request=request_id,
            account=self._account_of(head),
            status=problem.status,
            kind=problem.kind,
            reason=problem.problem,
            manifest=self._manifest.version if self._manifest else None,
            told_ms_ago=self._dispatcher.last_digest_age_ms(),
            after_ms=round(self._clock.now_ms() - since_ms, 1),
            ran=problem.ran,
            retry_after_s=problem.retry_after_s,
        )
        return self._context.refuse(problem, request_id, start_response)


def watch_caller(
    checks: PeriodicChecks,
    attempt: ServerAttempt,
    is_gone: Callable[[], bool],
) -> Callable[[], None]:
    """Cancel an attempt once its caller has gone; returns what ends the watch."""

    def check() -> None:
        if is_gone():
            attempt.abandon()

    return checks.add(check)


def _is_stream(call: GatewayCall, attempt: ServerAttempt) -> bool:
    return call.route.kind == STREAMING and attempt.answer.status == 200


def _too_late(call: GatewayCall) -> CallProblem:
    return CallProblem(
        504,
        "too_late",
        "the time of the request is over",
        "allow more time",
        UNKNOWN if call.may_have_run else "no",
    )


def _unknown_outcome(call: GatewayCall, reason: str) -> CallProblem:
    return CallProblem(
        502,
        "no_answer",
        f"no whole answer came ({reason})",
        "find out whether the request ran before sending it again",
        UNKNOWN,
    )


def _caller_gone() -> CallProblem:
    return CallProblem(
        502, "caller_gone", "the caller closed its connection", "call again", UNKNOWN
    )
