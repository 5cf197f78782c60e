"""Serves callers: each request gets a response, a stream or a problem document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_gateway.answer_forwarding import AnswerForwarding
from lagoonsail_gateway.call_attempts import CallAttempts
from lagoonsail_gateway.call_problems import leaving_problem, no_manifest_problem
from lagoonsail_gateway.call_reading import read_call
from lagoonsail_router.caller_watch import make_caller_watch
from lagoonsail_router.problems import (
    CallProblem,
    callers_full_problem,
    internal_problem,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_core.clock import Clock
    from lagoonsail_core.decision_log import DecisionLog
    from lagoonsail_core.durations import DurationHistogram
    from lagoonsail_gateway.connection_pool import ConnectionPool
    from lagoonsail_gateway.crash_check import CrashCheck
    from lagoonsail_gateway.dispatcher import Dispatcher
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.gateway_settings import GatewaySettings
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.request_format import RequestFormat, RequestHead
    from lagoonsail_router.context import RouterContext

ACCEPT_WHILE_STOPPING_MS = 3000.0
"""Time after the start of a planned stop during which requests are still accepted.
Later ones are refused, so that the running requests can finish."""


class CallService:
    """The WSGI application on the port for callers."""

    __slots__ = (
        "_attempts",
        "_context",
        "_dispatcher",
        "_format",
        "_forwarding",
        "_log",
        "_manifest",
        "durations",
        "stop_started_ms",
    )

    durations: dict[str, DurationHistogram]
    """Duration histograms, by metric name."""
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
        self._format = request_format
        self._dispatcher = dispatcher
        self._log = log
        self._attempts = CallAttempts(
            context,
            settings,
            request_format,
            dispatcher,
            pool,
            routers,
            crash_check,
            log,
        )
        self._forwarding = AnswerForwarding(context, self._attempts, crash_check, log)
        self._manifest: Manifest | None = None
        self.durations = self._forwarding.durations
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
        self._forwarding.apply_manifest(manifest)

    def answer_running(self) -> None:
        """Give the running requests an answer now, as the process is about to end."""
        self._attempts.is_ending = True

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

    def _respond(
        self, call: GatewayCall, env: dict, start_response: Callable
    ) -> Iterable[bytes]:
        self._attempts.check_prompt(call)
        self._attempts.record_arrival(call)
        is_caller_gone = make_caller_watch(env)
        attempt = self._attempts.send_until_head(call, is_caller_gone)
        if not call.route.is_resumable:
            call.drop_body()
        return self._forwarding.forward(call, attempt, is_caller_gone, start_response)

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
