"""A simulated backend server: its requests and its cold or warm state."""

from __future__ import annotations

import hashlib
import os
from collections import deque
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_standins.caller_connection import (
    close_caller_connection,
    is_caller_gone,
)
from lagoonsail_standins.runs import BROKEN, CANCELLED, REFUSED, RUNNING, WHOLE, Run
from lagoonsail_standins.serving import Answer, BrokenAnswerError, answer_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_standins.serving import Request

OVERLOAD_REFUSAL_MS = 2000.0
"""How long a backend server refuses all requests after an overload, milliseconds."""
CONNECTION_CHECK_INTERVAL_MS = 10.0
"""Longest time between two checks of the caller's connection, milliseconds."""


@dataclass(slots=True)
class BackendOptions:
    """How a backend server behaves while cold and while warm."""

    name: str
    """Name of the server."""
    slots: int
    """Requests that a warm server runs at once; it queues further ones."""
    cold_slots: int
    """Requests that a cold server runs at once; one more overloads it."""
    warm_after: int
    """Number of whole answers after which the server is warm."""
    cold_factor: float
    """How many times slower a cold server is."""
    checks_fencing: bool = False
    """Whether requests with an outdated epoch are refused with 412."""


def _read_epoch(request: Request) -> int:
    epoch = request.headers.get("x-lagoonsail-epoch", "")
    return int(epoch) if epoch.isdecimal() else 0


class Backend:
    """Runs, records and the cold or warm state of one backend server."""

    __slots__ = (
        "_epochs",
        "_options",
        "_queue",
        "_refuses_until_ms",
        "_running",
        "_whole_answers",
        "break_next",
        "clock",
        "incarnation",
        "is_loading",
        "is_silent",
        "is_warm",
        "late_ms",
        "max_running_cold",
        "on_restart",
        "overloads",
        "runs",
        "started_wall_ms",
    )

    break_next: int
    """Number of upcoming answers that break off halfway."""
    incarnation: str
    """Random identifier of the current start of the server."""
    is_loading: bool
    """Whether requests are refused because weights are being loaded."""
    is_silent: bool
    """Whether the server currently answers no requests."""
    is_warm: bool
    """Whether the server runs at full speed with all its slots."""
    late_ms: float
    """Extra delay before the first byte of each answer, milliseconds."""
    max_running_cold: int
    """Highest number of requests that ran at once while cold."""
    on_restart: Callable[[], None]
    """Called after each restart."""
    overloads: int
    """Number of overloads so far."""
    runs: list[Run]
    """Every received request, in order of arrival."""
    started_wall_ms: float
    """Start of this incarnation, wall time in milliseconds."""

    def __init__(self, options: BackendOptions, clock: Clock | None = None) -> None:
        self._options = options
        self.clock = clock or Clock()
        self.runs = []
        self.overloads = 0
        self.max_running_cold = 0
        self.break_next = 0
        self.late_ms = 0.0
        self.is_loading = False
        self.is_silent = False
        self.on_restart = lambda: None
        self._running: set[Run] = set()
        self._queue: deque[Run] = deque()
        self._epochs: dict[str, int] = {}
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        self.incarnation = os.urandom(8).hex()
        self.started_wall_ms = self.clock.wall_ms()
        self.is_warm = self._options.warm_after <= 0
        self._whole_answers = 0
        self._refuses_until_ms = 0.0

    @property
    def running(self) -> int:
        """Number of requests that are running."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait inside the server for a slot."""
        return len(self._queue)

    def restart(self) -> None:
        """Break all runs and start a new, cold incarnation."""
        self._break_all_runs()
        self._begin_incarnation()
        self.on_restart()

    def turn_cold(self) -> None:
        """Make the server cold in the same incarnation; runs continue, but slower."""
        self.is_warm = False
        self._whole_answers = 0

    def admit(self, request: Request) -> Run | Answer:
        """Record a request and start, queue or refuse it.

        If this request exceeds what a cold server can run, the server is overloaded:
        all runs break, and requests are refused for some time.

        Args:
            request: The request.

        Returns:
            The run, for which `finish` must be called, or the refusal.
        """
        run = self._make_run(request)
        self.runs.append(run)
        refusal = self._find_refusal(request)
        if refusal:
            run.state = REFUSED
            run.ended_wall_ms = self.clock.wall_ms()
            return refusal
        self._start_or_queue(run)
        return run

    def readmit(self, run: Run, request: Request) -> Run | Answer:
        """Start or queue a run again that ended early.

        Args:
            run: A run that is cancelled or broken.
            request: The request to resume the run.

        Returns:
            The run, for which `finish` must be called, or the refusal.
        """
        refusal = self._find_refusal(request)
        if refusal:
            return refusal
        run.state = RUNNING
        run.ended_wall_ms = 0.0
        self._start_or_queue(run)
        return run

    def _find_refusal(self, request: Request) -> Answer | None:
        if self.is_loading:
            return self.refuse(503, "the weights are being loaded")
        if self.clock.now_ms() < self._refuses_until_ms:
            return self.refuse(503, "the server has fallen over")
        return self.check_epoch(request)

    def check_epoch(self, request: Request) -> Answer | None:
        """Refuse a request from an earlier owner of the shard, if fencing is enabled.

        Args:
            request: A request or an order.

        Returns:
            The refusal, or None if the epoch is not outdated.
        """
        if not self._options.checks_fencing:
            return None
        shard = request.headers.get("x-lagoonsail-shard", "")
        epoch = _read_epoch(request)
        newest = self._epochs.get(shard, 0)
        if epoch < newest:
            return self.refuse(412, f"epoch {newest} has been seen")
        self._epochs[shard] = epoch
        return None

    def refuse(self, status: int, reason: str) -> Answer:
        """Return an answer that gives the reason of a refusal.

        Args:
            status: Status code.
            reason: The reason.

        Returns:
            The answer.
        """
        return answer_json({"error": reason}, status, self.headers())

    def _make_run(self, request: Request) -> Run:
        headers = request.headers
        return Run(
            request_id=headers.get("x-request-id") or f"made-up-{os.urandom(8).hex()}",
            idempotency_key=headers.get("idempotency-key", ""),
            path=request.path,
            body_sha256=hashlib.sha256(request.body).hexdigest(),
            epoch=_read_epoch(request),
            state=RUNNING,
            started_wall_ms=self.clock.wall_ms(),
        )

    def _start_or_queue(self, run: Run) -> None:
        run.cold = not self.is_warm
        if self.is_warm and (self._queue or self.running >= self._options.slots):
            self._queue.append(run)
            run.running_at_start = self.running
            return
        self._running.add(run)
        run.running_at_start = self.running
        if self.is_warm:
            return
        self.max_running_cold = max(self.max_running_cold, self.running)
        if self.running > self._options.cold_slots:
            self._fail_overloaded()

    def _fail_overloaded(self) -> None:
        self.overloads += 1
        self._whole_answers = 0
        self._refuses_until_ms = self.clock.now_ms() + OVERLOAD_REFUSAL_MS
        self._break_all_runs()

    def _break_all_runs(self) -> None:
        for run in [*self._running, *self._queue]:
            self.finish(run, BROKEN)

    def finish(self, run: Run, state: str) -> None:
        """End a run; does nothing if the run has already ended.

        Args:
            run: The run.
            state: Final state, one of the constants in `runs`.
        """
        if run.state != RUNNING:
            return
        run.state = state
        run.ended_wall_ms = self.clock.wall_ms()
        self._running.discard(run)
        if run in self._queue:
            self._queue.remove(run)
        self._start_queued()
        if state != WHOLE:
            return
        self._whole_answers += 1
        if self._whole_answers >= self._options.warm_after:
            self.is_warm = True

    def _start_queued(self) -> None:
        options = self._options
        limit = options.slots if self.is_warm else options.cold_slots
        while self._queue and self.running < limit:
            self._running.add(self._queue.popleft())

    def simulate_work(self, run: Run, work_ms: float) -> None:
        """Simulate work on a run and monitor the caller's connection.

        The work takes longer while the server is cold, and does not progress while
        the run is queued or the server is silent.

        Args:
            run: The run.
            work_ms: Time that the work takes on a warm server, milliseconds.

        Raises:
            BrokenAnswerError: If the run ends before the work is done.
        """
        if work_ms <= 0:
            # Yields to other requests when there is no work to simulate.
            eventlet.sleep(0)
        remaining_ms = work_ms
        while True:
            self._raise_if_ended(run)
            if run not in self._running or self.is_silent:
                eventlet.sleep(CONNECTION_CHECK_INTERVAL_MS / 1000.0)
                continue
            if remaining_ms <= 0:
                return
            factor = 1.0 if self.is_warm else self._options.cold_factor
            # Subtracts the measured time, because sleeps are not exact.
            start_ms = self.clock.now_ms()
            eventlet.sleep(
                min(remaining_ms * factor, CONNECTION_CHECK_INTERVAL_MS) / 1000.0
            )
            remaining_ms -= (self.clock.now_ms() - start_ms) / factor

    def wait_while_silent(self) -> None:
        """Wait until the server answers again or the caller disconnects."""
        while self.is_silent and not is_caller_gone():
            eventlet.sleep(CONNECTION_CHECK_INTERVAL_MS / 1000.0)

    def _raise_if_ended(self, run: Run) -> None:
        if run.state == RUNNING and is_caller_gone():
            self.finish(run, CANCELLED)
        if run.state != RUNNING:
            close_caller_connection()
            raise BrokenAnswerError

    def consume_break(self) -> bool:
        """Return whether the next answer must break off, and decrement `break_next`."""
        if self.break_next <= 0:
            return False
        self.break_next -= 1
        return True

    def headers(self) -> dict[str, str]:
        """Return the headers of every answer."""
        return {"X-Server-Incarnation": self.incarnation}

    def record(self) -> dict:
        """Return the body of the answer to `GET /_record`."""
        return {
            "name": self._options.name,
            "incarnation": self.incarnation,
            "overloads": self.overloads,
            "max_running_cold": self.max_running_cold,
            "runs": [asdict(run) for run in self.runs],
        }

    def control(self, request: Request) -> Answer:
        """Apply a request to `/_control`.

        Args:
            request: Its body has any of `cold`, `break_next`, `restart`, `late_ms`
                and `silent`.

        Returns:
            The answer, with the incarnation.
        """
        orders = request.json()
        if orders.get("restart"):
            self.restart()
        if orders.get("cold"):
            self.turn_cold()
        self.break_next = int(orders.get("break_next", self.break_next))
        self.late_ms = float(orders.get("late_ms", self.late_ms))
        self.is_silent = bool(orders.get("silent", self.is_silent))
        return answer_json({"incarnation": self.incarnation}, headers=self.headers())
