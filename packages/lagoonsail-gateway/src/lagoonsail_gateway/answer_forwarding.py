"""Forwards the answer of a server to the caller, and records how it ended.

Handles servers that fail in the middle of an answer: a short one is forwarded whole or
not at all, and a stream is resumed at another server where its route allows it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.durations import DurationHistogram
from lagoonsail_gateway.call_attempts import first_part_ms
from lagoonsail_gateway.call_problems import unknown_outcome_problem
from lagoonsail_gateway.server_attempt import AttemptFailedError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from lagoonsail_core.decision_log import DecisionLog
    from lagoonsail_gateway.call_attempts import CallAttempts
    from lagoonsail_gateway.crash_check import CrashCheck
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.server_attempt import ServerAttempt
    from lagoonsail_router.context import RouterContext

HISTOGRAMS = {
    "answer_first": "Time until the first part of an answer was passed on.",
    "answer": "Time until the end of an answer was passed on.",
}
"""Help texts of the duration histograms, by metric name."""
SHORT_BODY_BYTES = 16_384
"""Size up to which a body that is being written is not counted: the kernel holds it."""


class AnswerForwarding:
    """Forwards answers, whole or as a stream."""

    __slots__ = (
        "_attempts",
        "_context",
        "_crash_check",
        "_log",
        "_manifest",
        "durations",
    )

    durations: dict[str, DurationHistogram]
    """Duration histograms, by metric name."""

    def __init__(
        self,
        context: RouterContext,
        attempts: CallAttempts,
        crash_check: CrashCheck,
        log: DecisionLog,
    ) -> None:
        """Create it.

        Args:
            context: The router's shared state.
            attempts: Resumes streams.
            crash_check: Gets the prompts that were answered.
            log: Gets a line for each answer.
        """
        self._attempts = attempts
        self._context = context
        self._crash_check = crash_check
        self._log = log
        self._manifest: Manifest | None = None
        self.durations = {name: DurationHistogram() for name in HISTOGRAMS}

    def apply_manifest(self, manifest: Manifest) -> None:
        """Name a manifest in later log lines.

        Args:
            manifest: The manifest in force.
        """
        self._manifest = manifest

    def forward(
        self,
        call: GatewayCall,
        attempt: ServerAttempt,
        is_caller_gone: Callable[[], bool],
        start_response: Callable,
    ) -> Iterable[bytes]:
        """Forward an answer.

        Args:
            call: The request.
            attempt: The attempt that received a response.
            is_caller_gone: Returns whether the caller has left.
            start_response: The WSGI callback that sends status and headers.

        Returns:
            The response body.
        """
        if attempt.is_event_stream() or not attempt.is_complete():
            # After the first bytes of a body that is too large to buffer, the request
            # cannot be retried; on a failure the response is truncated.
            self._start_response(attempt, start_response, [])
            return self._stream(call, attempt, is_caller_gone)
        body = attempt.body
        self._start_response(
            attempt, start_response, [("Content-Length", str(len(body)))]
        )
        self._record_end(call, attempt, "answered")
        return _write_buffered(attempt, body)

    def _start_response(
        self, attempt: ServerAttempt, start_response: Callable, extra_headers: list
    ) -> None:
        response = attempt.response
        headers = [*attempt.headers_to_forward(), *extra_headers]
        start_response(
            f"{response.status} Answer", self._context.add_connection_close(headers)
        )

    def _stream(
        self,
        call: GatewayCall,
        attempt: ServerAttempt,
        is_caller_gone: Callable[[], bool],
    ) -> Iterator[bytes]:
        outcome = "cancelled"
        stop_watch = self._attempts.watch(attempt, is_caller_gone)
        try:
            while True:
                try:
                    yield from attempt.iter_body()
                    outcome = "answered"
                    return
                except AttemptFailedError as failure:
                    outcome = "broken"
                    self._attempts.record_failure(call, attempt, failure)
                    stop_watch()
                    if not attempt.is_event_stream():
                        # Only events have ids after which another run can go on.
                        raise unknown_outcome_problem(failure.reason) from failure
                    attempt = self._attempts.resume(call, failure, is_caller_gone)
                    stop_watch = self._attempts.watch(attempt, is_caller_gone)
        finally:
            stop_watch()
            attempt.cancel()
            self._record_end(call, attempt, outcome)

    def _record_end(
        self, call: GatewayCall, attempt: ServerAttempt, outcome: str
    ) -> None:
        now_ms = self._context.clock.now_ms()
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
            body_bytes=len(call.body),
            first_ms=first_part_ms(call, attempt),
            total_ms=round(now_ms - call.arrived_ms, 1),
            outcome=outcome,
            **attempt.selection_load,
        )


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
