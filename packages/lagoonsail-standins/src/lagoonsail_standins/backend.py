"""A backend server: what runs on it, and its cold or warm state."""

from __future__ import annotations

import hashlib
import os
from collections import deque
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_standins.caller_connection import drop_caller, is_caller_gone
from lagoonsail_standins.runs import BROKEN, CANCELLED, REFUSED, RUNNING, WHOLE, Run
from lagoonsail_standins.serving import Answer, BrokenAnswerError, answer_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_standins.serving import Request

REFUSAL_MS = 2000.0
"""How long a backend server refuses all requests after it fell over, milliseconds."""
LOOK_MS = 10.0
"""Longest time of work between two looks at the caller's connection, milliseconds."""


@dataclass(slots=True)
class BackendOptions:
    """How a backend server behaves while cold and while warm."""

    name: str
    """Name of the server."""
    slots: int
    """Requests that run at once on a warm server; further ones wait in it."""
    cold_slots: int
    """Requests above which a cold server falls over."""
    warm_after: int
    """Whole answers after which the server is warm."""
    cold_factor: float
    """How many times slower a cold server is."""
    checks_fencing: bool = False
    """Whether requests of an outdated epoch are refused with 412."""


def _read_epoch(request: Request) -> int:
    epoch = request.headers.get("x-lagoonsail-epoch", "")
    return int(epoch) if epoch.isdecimal() else 0


class Backend:
    """Runs, their record and the cold or warm state of one backend server."""

    __slots__ = (
        "_answers",
        "_epochs",
        "_line",
        "_options",
        "_refuses_until_ms",
        "_running",
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
    """How many of the next answers break halfway."""
    incarnation: str
    """Differs for each start."""
    is_loading: bool
    """Whether requests are refused because the weights have not come yet."""
    is_silent: bool
    """Whether no request is answered for now."""
    is_warm: bool
    """Whether the server has its full speed and its full number of slots."""
    late_ms: float
    """Added to the time until the first byte of each answer, milliseconds."""
    max_running_cold: int
    """Most requests seen running at once while cold."""
    on_restart: Callable[[], None]
    """Called after each restart."""
    overloads: int
    """How often the server fell over."""
    runs: list[Run]
    """Every request that came, in order of arrival."""
    started_wall_ms: float
    """Start of this incarnation, wall time."""

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
        self._line: deque[Run] = deque()
        self._epochs: dict[str, int] = {}
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        self.incarnation = os.urandom(8).hex()
        self.started_wall_ms = self.clock.wall_ms()
        self.is_warm = self._options.warm_after <= 0
        self._answers = 0
        self._refuses_until_ms = 0.0

    @property
    def running(self) -> int:
        """Requests that run now."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait inside the server for one of its slots."""
        return len(self._line)

    def restart(self) -> None:
        """Break all runs and begin a new incarnation, cold."""
        self._break_all()
        self._begin_incarnation()
        self.on_restart()

    def turn_cold(self) -> None:
        """Become cold in the same incarnation; runs go on, slower."""
        self.is_warm = False
        self._answers = 0

    def admit(self, request: Request) -> Run | Answer:
        """Record a request and decide whether it runs.

        A cold server that runs too many requests after this one falls over.

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
        self._occupy(run)
        return run

    def reopen(self, run: Run, request: Request) -> Run | Answer:
        """Let a run that ended early take a slot again.

        Args:
            run: A run that is cancelled or broken.
            request: The request that asks for it.

        Returns:
            The run, for which `finish` must be called, or the refusal.
        """
        refusal = self._find_refusal(request)
        if refusal:
            return refusal
        run.state = RUNNING
        run.ended_wall_ms = 0.0
        self._occupy(run)
        return run

    def _find_refusal(self, request: Request) -> Answer | None:
        if self.is_loading:
            return self.refuse(503, "the weights are being loaded")
        if self.clock.now_ms() < self._refuses_until_ms:
            return self.refuse(503, "the server has fallen over")
        return self.check_epoch(request)

    def check_epoch(self, request: Request) -> Answer | None:
        """Refuse what an earlier owner of the shard sent, if the server checks that.

        Args:
            request: A request or an order.

        Returns:
            The refusal, or None if the epoch is the newest seen.
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
        """Return an answer that says why nothing was done.

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

    def _occupy(self, run: Run) -> None:
        run.cold = not self.is_warm
        if self.is_warm and (self._line or self.running >= self._options.slots):
            self._line.append(run)
            run.running_at_start = self.running
            return
        self._running.add(run)
        run.running_at_start = self.running
        if self.is_warm:
            return
        self.max_running_cold = max(self.max_running_cold, self.running)
        if self.running > self._options.cold_slots:
            self._fall_over()

    def _fall_over(self) -> None:
        self.overloads += 1
        self._answers = 0
        self._refuses_until_ms = self.clock.now_ms() + REFUSAL_MS
        self._break_all()

    def _break_all(self) -> None:
        for run in [*self._running, *self._line]:
            self.finish(run, BROKEN)

    def finish(self, run: Run, state: str) -> None:
        """End a run; without effect on one that has ended.

        Args:
            run: The run.
            state: How it ended.
        """
        if run.state != RUNNING:
            return
        run.state = state
        run.ended_wall_ms = self.clock.wall_ms()
        self._running.discard(run)
        if run in self._line:
            self._line.remove(run)
        self._advance_line()
        if state != WHOLE:
            return
        self._answers += 1
        if self._answers >= self._options.warm_after:
            self.is_warm = True

    def _advance_line(self) -> None:
        options = self._options
        limit = options.slots if self.is_warm else options.cold_slots
        while self._line and self.running < limit:
            self._running.add(self._line.popleft())

    def work(self, run: Run, work_ms: float) -> None:
        """Spend time on a run, longer while cold, and look at its connection.

        Args:
            run: The run.
            work_ms: Time that a warm server needs, milliseconds.

        Raises:
            BrokenAnswerError: If the run has ended meanwhile.
        """
        if work_ms <= 0:
            # A server that answers at full speed serves others in between.
            eventlet.sleep(0)
        left_ms = work_ms
        while True:
            self._look(run)
            if run not in self._running or self.is_silent:
                eventlet.sleep(LOOK_MS / 1000.0)
                continue
            if left_ms <= 0:
                return
            factor = 1.0 if self.is_warm else self._options.cold_factor
            # The time that has really passed counts: a sleep is never exact.
            begun_ms = self.clock.now_ms()
            eventlet.sleep(min(left_ms * factor, LOOK_MS) / 1000.0)
            left_ms -= (self.clock.now_ms() - begun_ms) / factor

    def pause_while_silent(self) -> None:
        """Wait until the server answers again or the caller goes away."""
        while self.is_silent and not is_caller_gone():
            eventlet.sleep(LOOK_MS / 1000.0)

    def _look(self, run: Run) -> None:
        if run.state == RUNNING and is_caller_gone():
            self.finish(run, CANCELLED)
        if run.state != RUNNING:
            drop_caller()
            raise BrokenAnswerError

    def takes_break(self) -> bool:
        """Return whether the next answer is to break, and count it."""
        if self.break_next <= 0:
            return False
        self.break_next -= 1
        return True

    def headers(self) -> dict[str, str]:
        """Return the headers that every answer carries."""
        return {"X-Server-Incarnation": self.incarnation}

    def record(self) -> dict:
        """Return what `/_record` shows."""
        return {
            "name": self._options.name,
            "incarnation": self.incarnation,
            "overloads": self.overloads,
            "max_running_cold": self.max_running_cold,
            "runs": [asdict(run) for run in self.runs],
        }

    def control(self, request: Request) -> Answer:
        """Carry out a request to `/_control`.

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
