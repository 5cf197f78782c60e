"""Serves callers: requests slots, tries backend servers and returns answers."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from lagoonsail_core.durations import DurationHistogram
from lagoonsail_core.green import eventlet
from lagoonsail_core.invariants import require
from lagoonsail_core.messages import (
    OUTCOME_BROKEN,
    OUTCOME_CANCELLED,
    OUTCOME_NOT_RUN,
    OUTCOME_REFUSED,
    OUTCOME_UNREACHABLE,
    OUTCOME_WHOLE,
    SlotGrant,
)
from lagoonsail_overload.answer_room import AnswerRoom
from lagoonsail_overload.byte_budget import ByteBudget
from lagoonsail_overload.local_shortage import is_local_shortage
from lagoonsail_router.answer_holding import ANSWER_KEY, HeldAnswer
from lagoonsail_router.backend import (
    AnswerTimeoutError,
    Attempt,
    FencedError,
    IncompleteAnswerError,
    NotSentError,
)
from lagoonsail_router.call import read_call
from lagoonsail_router.call_queue import CallerGoneError
from lagoonsail_router.caller_watch import CHECK_INTERVAL_MS, make_caller_watch
from lagoonsail_router.held_slot import make_done
from lagoonsail_router.periodic_checks import PeriodicChecks
from lagoonsail_router.problems import (
    UNKNOWN,
    CallProblem,
    callers_full_problem,
    internal_problem,
    no_connection_problem,
)
from lagoonsail_router.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from lagoonsail_overload.descriptor_budget import DescriptorBudget
    from lagoonsail_router.backend import Answer
    from lagoonsail_router.call import Call
    from lagoonsail_router.call_queue import CallQueue
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.slot_client import SlotClient

HISTOGRAMS = {
    "slot_wait": "Time that calls waited until they had a slot.",
    "answer_first": "Time until whole answers of backend servers began.",
    "answer": "Time until answers of backend servers were whole.",
}
"""Help texts of the latency histograms, by metric name."""
FIRST_PROGRESS_COST = 128.0
"""Cost at which a running stream is first reported, then each time it doubles."""
DEFAULT_BUDGET_BYTES = 400_000_000
"""Byte budget of the answers unless another is given."""
DESCRIPTOR_CHECKS = 6
"""How often a call looks for a free descriptor before it is refused."""
DESCRIPTOR_CHECK_INTERVAL_S = 0.01
"""Pause between these checks."""
RETRY_PAUSE_MS = 50.0
"""Pause before a call whose attempt was not served requests another slot."""


class Entry:
    """Serves callers, with one task per connection."""

    __slots__ = (
        "_answer_room",
        "_budgets",
        "_call_count",
        "_checks",
        "_configuration",
        "_context",
        "_slot_client",
        "descriptors",
        "durations",
        "last_call_ms",
        "open_attempts",
        "queue",
        "running",
    )

    descriptors: DescriptorBudget | None
    """File descriptors of the process, None if nothing bounds them."""
    durations: dict[str, DurationHistogram]
    """Latencies, by metric name."""
    open_attempts: set[Attempt]
    """Attempts that have a connection to a server."""
    queue: CallQueue
    """Calls that wait for a slot."""
    running: int
    """Calls accepted and not yet answered."""
    last_call_ms: float
    """Monotonic time at which the last request arrived."""

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        slot_client: SlotClient,
        queue: CallQueue,
        budget: ByteBudget | None = None,
    ) -> None:
        self._answer_room = AnswerRoom(budget or ByteBudget(DEFAULT_BUDGET_BYTES))
        self._context = context
        self._configuration = configuration
        self._slot_client = slot_client
        self._budgets: dict[str, RetryBudget] = {}
        self._call_count = 0
        self._checks = PeriodicChecks(context, "running_calls", CHECK_INTERVAL_MS)
        self.durations = {name: DurationHistogram() for name in HISTOGRAMS}
        self.descriptors = None
        self.open_attempts = set()
        self.queue = queue
        self.running = 0
        self.last_call_ms = context.clock.now_ms()

    def serve(self, env: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request, as a WSGI application.

        Args:
            env: The WSGI environment.
            start_response: The WSGI function that starts the answer.

        Returns:
            The body.
        """
        self.running += 1
        # Generated here so that a refusal carries the same ID as the call would.
        request_id = _request_id(env)
        try:
            now_ms = self.last_call_ms = self._context.clock.now_ms()
            call = read_call(env, self._configuration, now_ms)
            request_id = call.request_id
            self._call_count += 1
            call.number = self._call_count
            call.held_answer = env[ANSWER_KEY] = HeldAnswer(self._answer_room)
            self._context.count("calls_total", call.document.qualified())
            body = self._serve_call(call, env, start_response)
        except CallProblem as problem:
            self.running -= 1
            return self._context.respond_with_problem(
                problem, request_id, start_response
            )
        except CallerGoneError:
            self.running -= 1
            self._context.count("callers_gone_total")
            return self._context.respond_with_problem(
                _caller_gone_problem(), request_id, start_response
            )
        except Exception:
            self.running -= 1
            self._context.logger.exception(
                "call {} failed unexpectedly; answering with internal_error",
                request_id,
            )
            return self._context.respond_with_problem(
                internal_problem(), request_id, start_response
            )
        if isinstance(body, list):
            self.running -= 1
        return body

    def refuse(self, env: dict, start_response: Callable) -> list[bytes]:
        """Refuse a request for want of connections, as a WSGI application.

        Args:
            env: The WSGI environment.
            start_response: The WSGI function that starts the answer.

        Returns:
            The body.
        """
        return self._context.respond_with_problem(
            callers_full_problem(), _request_id(env), start_response
        )

    def _serve_call(self, call: Call, env: dict, start_response) -> Iterable[bytes]:
        budget = self._retry_budget(call)
        budget.record_call()
        is_gone = make_caller_watch(env)
        while True:
            queued_ms = self._context.clock.now_ms()
            grant = self.queue.wait(call, is_gone)
            self.durations["slot_wait"].add(self._context.clock.now_ms() - queued_ms)
            result = self._make_attempt(call, grant, is_gone)
            if result is None:
                # No retry budget is spent; the queue timeout bounds these retries.
                eventlet.sleep(RETRY_PAUSE_MS / 1000.0)
                continue
            answer, problem, attempt = result
            if answer is not None:
                call.drop_body()
                return self._forward_answer(
                    call, grant, attempt, answer, start_response
                )
            if not call.is_repeatable or not budget.try_spend():
                raise problem
            call.may_have_run = True
            self._context.count("retries_total", call.document.qualified())

    def _retry_budget(self, call: Call) -> RetryBudget:
        name = call.document.qualified()
        percent = call.document.retry_budget_percent
        budget = self._budgets.setdefault(name, RetryBudget(percent))
        budget.percent = percent
        return budget

    # One attempt.

    def _make_attempt(self, call: Call, grant: SlotGrant, is_gone: Callable[[], bool]):
        """Make one attempt.

        Returns:
            None if the call must request another slot, because the attempt did not run
            or a repeatable call got a 503; else answer, problem and attempt, where the
            answer or the problem is None.
        """
        address = self._server_address(call, grant)
        if call.held_answer is not None:
            # What an earlier attempt held is not passed on.
            call.held_answer.release()
        attempt = Attempt(call, grant, address, self._context.clock, call.held_answer)
        if not address:
            self._finish(grant, OUTCOME_NOT_RUN, attempt)
            return None
        if not self._has_descriptor():
            self._finish(grant, OUTCOME_NOT_RUN, attempt)
            raise _no_connection_problem(call)
        self.open_attempts.add(attempt)
        try:
            attempt.connect()
        except NotSentError as error:
            if is_local_shortage(error):
                # The server is not to blame.
                self._finish(grant, OUTCOME_NOT_RUN, attempt)
                raise _no_connection_problem(call) from error
            self._finish(grant, OUTCOME_UNREACHABLE, attempt)
            return None
        except BaseException:
            self._finish(grant, OUTCOME_NOT_RUN, attempt)
            raise
        # The process may have been paused since the grant arrived.
        if not self._slot_client.may_start(grant):
            attempt.close()
            self._context.count("grants_too_old_total")
            self._finish(grant, OUTCOME_NOT_RUN, attempt)
            return None
        return self._run_attempt(call, grant, attempt, is_gone)

    def _has_descriptor(self) -> bool:
        """Return whether a connection may be opened, after a short wait if needed."""
        budget = self.descriptors
        if budget is None:
            return True
        budget.update_limit()
        for _ in range(DESCRIPTOR_CHECKS):
            if budget.free() > budget.thresholds.reserve:
                return True
            eventlet.sleep(DESCRIPTOR_CHECK_INTERVAL_S)
        budget.actions["server_connections_refused"] += 1
        return False

    def _server_address(self, call: Call, grant: SlotGrant) -> str:
        document = self._configuration.documents.get(call.document.qualified())
        server = document.servers.get(grant.server) if document else None
        return server.address if server else ""

    def _run_attempt(self, call: Call, grant: SlotGrant, attempt: Attempt, is_gone):
        try:
            return self._exchange(call, grant, attempt, is_gone)
        except BaseException:
            if self._slot_client.holds(grant):
                self._finish(grant, OUTCOME_BROKEN, attempt)
            raise

    def _exchange(self, call: Call, grant: SlotGrant, attempt: Attempt, is_gone):
        self._slot_client.start(grant)
        stop_watching = self._watch_caller(call, attempt, is_gone)
        try:
            answer = attempt.send()
        except FencedError:
            self._finish(grant, OUTCOME_NOT_RUN, attempt)
            return None
        except AnswerTimeoutError as error:
            self._finish(grant, OUTCOME_BROKEN, attempt)
            self._record_incomplete_answer(call, grant)
            return None, self._answer_problem(call, 504, error), attempt
        except IncompleteAnswerError as error:
            if call.is_repeatable and is_gone():
                # This router aborted the answer because its caller is gone.
                self._finish(grant, OUTCOME_CANCELLED, attempt)
                raise CallerGoneError from error
            self._finish(grant, OUTCOME_BROKEN, attempt)
            self._record_incomplete_answer(call, grant)
            return None, self._answer_problem(call, 502, error), attempt
        finally:
            stop_watching()
        if answer.status == 503 and call.is_repeatable:
            # The owner backs off from this server, and the queue timeout bounds how
            # often the call requests a slot, so this retry needs no budget.
            call.may_have_run = True
            self._finish(grant, OUTCOME_REFUSED, attempt)
            return None
        return answer, None, attempt

    def _watch_caller(
        self, call: Call, attempt: Attempt, is_gone: Callable[[], bool]
    ) -> Callable[[], None]:
        """Abort the attempt when the caller disconnects.

        Returns:
            A function that stops the watch.
        """
        if not call.is_repeatable:
            # The call runs to its end, since its effect may still be wanted.
            return lambda: None

        def check() -> None:
            if is_gone():
                attempt.abort()
                stop()

        stop = self._checks.add(check)
        return stop

    def _answer_problem(self, call: Call, status: int, error: Exception) -> CallProblem:
        kind = "answer_overdue" if status == 504 else "answer_broken"
        return CallProblem(
            status,
            kind,
            f"the backend server did not give a whole answer ({error})",
            "find out whether the request ran before sending it again",
            UNKNOWN,
        )

    def _record_incomplete_answer(self, call: Call, grant: SlotGrant) -> None:
        service = call.document.qualified()
        self._context.timeline.record(
            "answer_not_whole",
            request=call.request_id,
            account=f"{service}/{call.account}",
            server=f"{service}/{grant.server}",
        )

    def _finish(self, grant: SlotGrant, outcome: str, attempt: Attempt) -> None:
        attempt.close()
        self.open_attempts.discard(attempt)
        measurement = attempt.measurement
        if measurement.sent_ms and not measurement.duration_ms:
            measurement.duration_ms = self._context.clock.now_ms() - measurement.sent_ms
        self._context.count("attempts_total", outcome)
        if outcome == OUTCOME_WHOLE:
            self.durations["answer_first"].add(measurement.first_ms)
            self.durations["answer"].add(measurement.duration_ms)
        self._slot_client.finish(
            make_done(
                grant,
                outcome,
                measurement.cost,
                measurement.server_incarnation,
                measurement.first_ms,
                measurement.duration_ms,
            )
        )

    # Forwarding the answer.

    def _forward_answer(
        self,
        call: Call,
        grant: SlotGrant,
        attempt: Attempt,
        answer: Answer,
        start_response,
    ) -> Iterable[bytes]:
        headers = [*answer.headers, ("X-Request-Id", call.request_id)]
        headers = [
            (name, value)
            for index, (name, value) in enumerate(headers)
            if name.lower() != "x-request-id" or index == len(headers) - 1
        ]
        self._context.add_connection_close(headers)
        status = f"{answer.status} {_reason_phrase(answer.status)}"
        if call.is_stream and answer.status == 200:
            start_response(status, headers)
            return self._stream(call, grant, attempt)
        self._finish(grant, OUTCOME_WHOLE, attempt)
        headers.append(("Content-Length", str(len(answer.body))))
        start_response(status, headers)
        return [answer.body]

    def _stream(
        self, call: Call, grant: SlotGrant, attempt: Attempt
    ) -> Iterator[bytes]:
        outcome = OUTCOME_CANCELLED
        next_cost = FIRST_PROGRESS_COST
        try:
            for events in attempt.events():
                yield events
                if attempt.measurement.cost >= next_cost:
                    next_cost = 2.0 * attempt.measurement.cost
                    self._slot_client.progress(grant, attempt.measurement.cost)
            outcome = OUTCOME_WHOLE
        except IncompleteAnswerError as error:
            outcome = OUTCOME_BROKEN
            self._record_incomplete_answer(call, grant)
            problem = self._answer_problem(call, 502, error)
            yield b"event: error\ndata: " + problem.body(call.request_id) + b"\n\n"
            # The missing last chunk shows the caller that the stream is incomplete.
            raise
        finally:
            self.running -= 1
            require(self.running >= 0, "running_calls_not_negative")
            self._finish(grant, outcome, attempt)


def _no_connection_problem(call: Call) -> CallProblem:
    if call.may_have_run:
        return CallProblem(
            502,
            "answer_broken",
            "this router has no connection left to send the call again",
            "find out whether the request ran before sending it again",
            UNKNOWN,
        )
    return no_connection_problem("this router may open no connection to a server now")


def _caller_gone_problem() -> CallProblem:
    # The caller is gone; the answer only lets the WSGI server end the request.
    return CallProblem(
        503, "caller_gone", "the caller closed its connection", "call again", UNKNOWN
    )


def _reason_phrase(status: int) -> str:
    return "OK" if status == 200 else "Answer"


def _request_id(env: dict) -> str:
    """Return the id of a request, which is generated if the caller sent none."""
    return env.setdefault("HTTP_X_REQUEST_ID", secrets.token_hex(8))[:128]
