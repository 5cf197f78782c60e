"""Slow start: limits how many requests one backend server runs concurrently.

Whether a server is warm depends on its incarnation and can change without notice. The
limit of a server starts at its cold limit. Each complete answer at close to the
expected speed, to a request that started with the limit reached, raises the limit by
one, up to the server's slots. Any sign of a cold start (a setback) resets it: another
incarnation, a refused connection, an answer broken by a server that gives no
incarnation, a latency step, or a load report that contradicts the expected state.

The speed of a stream is the time for one unit of cost after the first byte. The time to
the first byte is not used, because it grows with the part of the prompt that is not in
the server's cache, also on a warm server. Occasional slow answers are not a latency
step: the more frequent they are, the more consecutive slow answers it takes, up to
`MAX_STEP_ANSWERS`.

The expected speed is learned from answers at or above the cold limit and is kept while
the server is cold. A server of unknown speed must first give `STEADY_ANSWERS` answers
at one speed, or one answer much faster than before. The same applies to a server that
has become steadily slower; the new speed then becomes the expected one.

Only answers to requests started after the last setback raise the limit; load reports
never do. If a server reports whether it is warm, answers count only after a report made
since the last setback says that it is warm, or after `WARM_REPORT_TIMEOUT_MS` without
such a report.

Example:
    >>> server = ServerLimit(slots=4, cold_slots=1, now_ms=0.0)
    >>> server.expect(first_ms=20.0, unit_ms=5.0)
    >>> for number in range(2):
    ...     server.start(number, now_ms=0.0)
    ...     server.finish(number, "whole", "i1", 20.0, 70.0, 10.0, now_ms=70.0)
    >>> server.limit
    2
    >>> server.start(2, now_ms=80.0); server.start(3, now_ms=80.0)
    >>> server.has_free
    False
    >>> server.on_refused(now_ms=90.0)
    >>> server.limit, server.running
    (1, 2)
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.invariants import require
from lagoonsail_core.messages import (
    OUTCOME_BROKEN,
    OUTCOME_REFUSED,
    OUTCOME_WHOLE,
)
from lagoonsail_sharing.pace import Pace, Sample

if TYPE_CHECKING:
    from collections.abc import Hashable

MIN_STEP_ANSWERS = 2
"""Minimum number of consecutive slow answers that form a latency step."""
MAX_STEP_PROBABILITY = 1e-6
"""Consecutive slow answers are a step only if their probability, at the known rate of
slow answers, is at most this."""
MAX_STEP_ANSWERS = 10
"""This many consecutive slow answers are a step at any rate of slow answers."""
SLOW_RATE_WEIGHT = 0.001
"""Weight of the newest answer in the moving rate of slow answers."""
STEADY_ANSWERS = 10
"""Number of consecutive answers at one speed that make it the expected speed."""
STREAM_SIZE_CLASS = -1
"""Size class of samples whose time for one unit does not depend on their cost."""
UNSTREAMED_FIRST_BYTE_FRACTION = 0.8
"""Answers whose first byte comes at or after this part of their duration are treated as
not streamed."""
UNEXPECTED_LOAD_FRACTION = 0.5
"""A load report causes a setback if requests not sent by this owner exceed this part of
the slots."""
WARM_REPORT_TIMEOUT_MS = 5000.0
"""Time after a cold report or a setback in which the limit of a server that reports
whether it is warm is not raised, unless a new report says that the server is warm."""
MAX_FORMER_INCARNATIONS = 8
"""Number of former incarnations remembered to recognise late answers and reports."""


@dataclass(slots=True)
class LoadReport:
    """Load reported by a backend server."""

    incarnation: str
    """Incarnation of the server; empty if the report names none."""
    running: int
    """Requests of all senders running on the server; -1 if not reported."""
    is_warm: bool | None
    """Whether the server reports that it is warm; None if it does not report it."""
    measured_ms: float
    """Earliest local monotonic time at which the report may have been made."""


@dataclass(slots=True)
class _RunningRequest:
    """A request running on the server."""

    generation: int
    """Number of setbacks before the request started."""
    reached_limit: bool
    """Whether the request brought the number of running requests to the limit."""
    is_taken_over: bool
    """Whether an earlier owner of the shard started the request."""


class ServerLimit:
    """Concurrency limit of one backend server and the requests running on it."""

    __slots__ = (
        "_limit_changed_ms",
        "_unordered_incarnations",
        "_expected_pace",
        "_former_incarnations",
        "_generation",
        "_peak_running",
        "_previous_peak_running",
        "_recent_pace",
        "_cold_until_ms",
        "_running",
        "_slow_answers",
        "_slow_rate",
        "_steady_answers",
        "_reports_warmth",
        "cold_slots",
        "cost_is_time",
        "incarnation",
        "is_warm",
        "last_setback",
        "limit",
        "setbacks",
        "slots",
    )

    slots: int
    """Maximum number of concurrent requests when warm."""
    cold_slots: int
    """Maximum number of concurrent requests when cold."""
    limit: int
    """Current maximum number of concurrent requests."""
    is_warm: bool
    """Whether the limit has reached `slots` since the last setback."""
    incarnation: str
    """Newest known incarnation of the server; empty if unknown."""
    cost_is_time: bool
    """Whether costs are in milliseconds; speed then cannot be derived from cost."""
    last_setback: str
    """Reason of the last setback; empty if there was none."""
    setbacks: Counter
    """Number of setbacks by reason."""

    def __init__(
        self, slots: int, cold_slots: int, now_ms: float, cost_is_time: bool = False
    ) -> None:
        self.cost_is_time = cost_is_time
        self.incarnation = ""
        self.last_setback = ""
        self.setbacks = Counter()
        self._former_incarnations: deque[str] = deque(maxlen=MAX_FORMER_INCARNATIONS)
        # Candidates for the newest incarnation while their order is unknown.
        self._unordered_incarnations: deque[str] = deque(maxlen=MAX_FORMER_INCARNATIONS)
        self._running: dict[Hashable, _RunningRequest] = {}
        self._expected_pace = Pace()
        self._generation = 0
        self._cold_until_ms = float("-inf")
        self._reports_warmth = False
        self._slow_rate = 0.0
        self._peak_running = 0
        self._previous_peak_running = 0
        self.slots = slots
        self.cold_slots = min(cold_slots, slots)
        self._reset_to_cold(now_ms)

    @property
    def running(self) -> int:
        """Number of requests running on the server that this owner knows of."""
        return len(self._running)

    @property
    def has_free(self) -> bool:
        """Whether another request may start now."""
        return len(self._running) < self.limit

    def expect(self, first_ms: float, unit_ms: float) -> None:
        """Set the expected speed from another source, such as a similar server.

        Args:
            first_ms: Time to the first byte.
            unit_ms: Time for one unit of cost after the first byte; 0 if unknown.
        """
        self._expected_pace.set(Sample(first_ms, unit_ms, STREAM_SIZE_CLASS))

    def restore(self, incarnation: str, limit: int, now_ms: float) -> None:
        """Continue from the limit determined by an earlier owner of the shard.

        Args:
            incarnation: Incarnation to which the limit applies.
            limit: The limit; clamped to between `cold_slots` and `slots`.
            now_ms: Local monotonic time.
        """
        self.incarnation = incarnation
        self.limit = max(self.cold_slots, min(limit, self.slots))
        self._on_limit_raised(now_ms)

    def start(self, slot: Hashable, now_ms: float) -> None:
        """Register a request that is granted a slot.

        Args:
            slot: Identifies the slot until the request finishes.
            now_ms: Local monotonic time.

        Raises:
            InvariantError: If the limit has already been reached.
        """
        detail = f"{self.running} requests running, limit {self.limit}"
        require(self.has_free, "server_limit", detail)
        self._add(slot, is_taken_over=False)

    def take_over(self, slot: Hashable, now_ms: float) -> None:
        """Register a request started by an earlier owner; may exceed the limit.

        Args:
            slot: Identifies the slot until the request finishes.
            now_ms: Local monotonic time.
        """
        self._add(slot, is_taken_over=True)

    def finish(
        self,
        slot: Hashable,
        outcome: str,
        incarnation: str,
        first_ms: float,
        duration_ms: float,
        cost: float,
        now_ms: float,
    ) -> None:
        """Remove a finished request and update the limit from its outcome.

        Args:
            slot: The slot; ignored if not in use.
            outcome: One of the OUTCOME constants of `lagoonsail_core.messages`.
            incarnation: Incarnation that the server gave in the answer; empty if none.
            first_ms: Time from sending the request to the first byte of the answer.
            duration_ms: Time from sending the request to the end of the answer.
            cost: Total cost, in the service's unit.
            now_ms: Local monotonic time.
        """
        request = self._running.get(slot)
        if request is None:
            return
        concurrent = len(self._running)
        del self._running[slot]
        if not self._check_incarnation(incarnation, request, now_ms):
            return
        if request.generation != self._generation:
            return
        if outcome == OUTCOME_REFUSED:
            self._apply_setback("refused", now_ms)
        elif outcome == OUTCOME_BROKEN and not incarnation:
            self._apply_setback("broken", now_ms)
        elif outcome == OUTCOME_WHOLE:
            sample = self._make_sample(first_ms, duration_ms, cost)
            self._on_complete_answer(request, sample, concurrent, now_ms)

    def on_report(self, report: LoadReport, now_ms: float) -> None:
        """Check a load report; it may lower the limit but never raises it.

        Args:
            report: The report, which may be outdated.
            now_ms: Local monotonic time.
        """
        self._update_reported_warmth(report, now_ms)
        own_peak = max(self._peak_running, self._previous_peak_running)
        self._previous_peak_running = self._peak_running
        self._peak_running = self.running
        if (
            report.incarnation in self._former_incarnations
            or report.incarnation in self._unordered_incarnations
        ):
            return
        if report.incarnation and report.incarnation != self.incarnation:
            self._on_unknown_incarnation(report.incarnation, now_ms)
            return
        if report.measured_ms < self._limit_changed_ms or self.limit <= self.cold_slots:
            return
        if report.is_warm is False:
            self._apply_setback("reported_cold", now_ms)
        elif report.running - own_peak > max(1, self.slots * UNEXPECTED_LOAD_FRACTION):
            self._apply_setback("reported_load", now_ms)

    def _update_reported_warmth(self, report: LoadReport, now_ms: float) -> None:
        if report.is_warm is None:
            return
        self._reports_warmth = True
        # A report made before the last setback may be of another incarnation.
        is_new = report.measured_ms >= self._limit_changed_ms
        if not report.is_warm:
            self._cold_until_ms = now_ms + WARM_REPORT_TIMEOUT_MS
        elif is_new:
            self._cold_until_ms = float("-inf")

    def on_refused(self, now_ms: float) -> None:
        """Handle a refused connection.

        Args:
            now_ms: Local monotonic time.
        """
        self._apply_setback("connection_refused", now_ms)

    def on_loading(self, now_ms: float) -> None:
        """Handle a server that is loading: it refuses requests and is cold afterwards.

        Args:
            now_ms: Local monotonic time.
        """
        self._apply_setback("loading", now_ms)

    def set_slots(self, slots: int, cold_slots: int) -> None:
        """Apply the limits of a new service document; running requests continue.

        Args:
            slots: Maximum number of concurrent requests when warm.
            cold_slots: Maximum number of concurrent requests when cold.
        """
        self.slots = slots
        self.cold_slots = min(cold_slots, slots)
        self.limit = max(min(self.limit, slots), self.cold_slots)
        if self.limit < slots:
            self.is_warm = False

    def _add(self, slot: Hashable, is_taken_over: bool) -> None:
        reached_limit = len(self._running) + 1 >= self.limit
        self._running[slot] = _RunningRequest(
            self._generation, reached_limit, is_taken_over
        )
        self._peak_running = max(self._peak_running, len(self._running))

    def _reset_to_cold(self, now_ms: float) -> None:
        self.limit = self.cold_slots
        self.is_warm = False
        self._recent_pace = Pace()
        self._steady_answers = 0
        self._slow_answers = 0
        self._limit_changed_ms = now_ms

    def _apply_setback(self, reason: str, now_ms: float) -> None:
        self._generation += 1
        self.last_setback = reason
        self.setbacks[reason] += 1
        if self._reports_warmth:
            self._cold_until_ms = now_ms + WARM_REPORT_TIMEOUT_MS
        self._reset_to_cold(now_ms)

    def _on_unknown_incarnation(self, reported: str, now_ms: float) -> None:
        """Handle a report of an incarnation that was not seen before."""
        if not self.incarnation and not self._unordered_incarnations:
            self.incarnation = reported
            return
        # The newer of the two is unknown until a request started from now on answers.
        if self.incarnation:
            self._unordered_incarnations.append(self.incarnation)
        self._unordered_incarnations.append(reported)
        self.incarnation = ""
        self._apply_setback("reported_incarnation", now_ms)

    def _check_incarnation(
        self, incarnation: str, request: _RunningRequest, now_ms: float
    ) -> bool:
        """Return whether an answer is from the newest known incarnation."""
        if not incarnation or incarnation == self.incarnation:
            return True
        if incarnation in self._former_incarnations:
            return False
        if not self.incarnation:
            if request.generation != self._generation:
                return False
            self._unordered_incarnations.append(incarnation)
            self._former_incarnations.extend(
                n for n in self._unordered_incarnations if n != incarnation
            )
            self._unordered_incarnations.clear()
            self.incarnation = incarnation
            return True
        self._former_incarnations.append(self.incarnation)
        self.incarnation = incarnation
        self._apply_setback("incarnation", now_ms)
        return True

    def _make_sample(self, first_ms: float, duration_ms: float, cost: float) -> Sample:
        if self.cost_is_time or cost <= 0:
            return Sample(duration_ms, 0.0, STREAM_SIZE_CLASS)
        if first_ms < UNSTREAMED_FIRST_BYTE_FRACTION * duration_ms:
            return Sample(0.0, (duration_ms - first_ms) / cost, STREAM_SIZE_CLASS)
        # The duration includes the time to the first unit: compare similar costs only.
        return Sample(0.0, duration_ms / cost, round(cost).bit_length())

    def _on_complete_answer(
        self,
        request: _RunningRequest,
        sample: Sample,
        concurrent: int,
        now_ms: float,
    ) -> None:
        is_cold = now_ms < self._cold_until_ms
        if request.is_taken_over and concurrent > self.limit and not is_cold:
            # The server has proved that it sustains this number, so the limit need not
            # be raised step by step. A server that reports itself cold may only be
            # finishing requests that it received while warm.
            self.limit = min(concurrent, self.slots)
            self._expected_pace.update(sample)
            self._on_limit_raised(now_ms)
            return
        if self._expected_pace.is_near(sample):
            self._update_slow_rate()
            self._expected_pace.update(sample)
            self._maybe_raise_limit(request, now_ms)
            return
        if self.limit > self.cold_slots:
            self._on_slow_answer(sample, now_ms)
            return
        self._on_cold_answer(request, sample, now_ms)

    def _on_slow_answer(self, sample: Sample, now_ms: float) -> None:
        """Apply a setback on a latency step, otherwise adapt to the slower pace."""
        if not self._expected_pace.is_step(sample):
            self._update_slow_rate()
            self._expected_pace.update(sample)
            return
        self._slow_answers += 1
        if self._slow_answers >= MIN_STEP_ANSWERS and self._is_step_significant():
            self._apply_setback("latency_step", now_ms)

    def _is_step_significant(self) -> bool:
        """Return whether the consecutive slow answers are unlikely to be chance."""
        is_many = self._slow_answers >= MAX_STEP_ANSWERS
        return is_many or self._slow_rate**self._slow_answers <= MAX_STEP_PROBABILITY

    def _update_slow_rate(self) -> None:
        """Update the rate of slow answers after an answer that is not a step."""
        slow_count, self._slow_answers = self._slow_answers, 0
        if not self.is_warm:
            return
        for _ in range(slow_count):
            self._slow_rate += SLOW_RATE_WEIGHT * (1.0 - self._slow_rate)
        self._slow_rate -= SLOW_RATE_WEIGHT * self._slow_rate

    def _on_cold_answer(
        self, request: _RunningRequest, sample: Sample, now_ms: float
    ) -> None:
        """Determine the expected speed of a server that is cold or new."""
        recent = self._recent_pace
        if recent.is_far_below(sample):
            self._expected_pace.set(sample)
            self._maybe_raise_limit(request, now_ms)
            return
        if recent.is_slow(sample):
            recent.set(sample)
            self._steady_answers = 0
        recent.update(sample)
        self._steady_answers += 1
        if self._steady_answers >= STEADY_ANSWERS:
            self._expected_pace = recent
            self._recent_pace = Pace()
            self._maybe_raise_limit(request, now_ms)

    def _maybe_raise_limit(self, request: _RunningRequest, now_ms: float) -> None:
        if not request.reached_limit or self.is_warm or now_ms < self._cold_until_ms:
            return
        self.limit = min(self.limit + 1, self.slots)
        self._on_limit_raised(now_ms)

    def _on_limit_raised(self, now_ms: float) -> None:
        self.is_warm = self.limit >= self.slots
        self._limit_changed_ms = now_ms
