"""Slow start: how many requests one backend server may run at once.

Warmth belongs to one incarnation of a server and can vanish without notice. A server
begins at its cold limit. Each whole answer that came at near the expected speed while
the limit was in use raises it by one, up to the server's slots. Any sign of a cold
start sets it back: another incarnation, a refused connection, an answer broken by a
server that gives no incarnation, a latency step, or a load report that contradicts.

A stream's speed is its time for one unit after the first byte: the time until then
grows with the prompt, and with what the server's cache lacks of it, on a warm server
too. Answers that are slow by chance now and then make no step: the more often they
come, the more of them on end it takes, up to `MAX_STEP_ANSWERS`.

The expected speed is learned from answers at or above the cold limit and outlives a
cold phase. A server whose speed is not known yet must first answer
`STEADY_ANSWERS` times at one speed, or once much faster than before. So must one that
is steadily slower than it was, after which the new speed is the expected one.

Only answers to requests started after the last setback raise the limit, and load
reports never do. Of a server that reports its warmth, answers count only once a report
made after the last setback calls it warm, or none has come for `WARMTH_WAIT_MS`.

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

STEP_ANSWERS = 2
"""Least number of slow answers on end that are a latency step."""
STEP_CHANCE = 1e-6
"""So unlikely must slow answers on end be, at the rate known so far, to be a step."""
MAX_STEP_ANSWERS = 10
"""So many slow answers on end are a step however often they come by chance."""
SLOW_RATE_WEIGHT = 0.001
"""Weight of the newest answer in the rate of slow answers."""
STEADY_ANSWERS = 10
"""So many answers at one speed make it the expected one."""
STREAM_SIZE = -1
"""Size of samples whose time for one unit does not depend on their cost."""
AT_ONCE_FRACTION = 0.8
"""An answer whose first byte came this late in its duration came all at once."""
FOREIGN_FRACTION = 0.5
"""A report contradicts if the requests of others exceed this part of the slots."""
WARMTH_WAIT_MS = 5000.0
"""A server that reports its warmth grows only so long after it was called cold, unless
a new report calls it warm before."""
KEPT_INCARNATIONS = 8
"""How many former incarnations are remembered, to tell late news."""


@dataclass(slots=True)
class LoadReport:
    """What a backend server said about its load."""

    incarnation: str
    """Incarnation of the server; empty if the report names none."""
    running: int
    """Requests running at the server, of all senders; -1 if not reported."""
    is_warm: bool | None
    """Whether the server calls itself warm; None if it does not say."""
    measured_ms: float
    """Earliest local monotonic time at which the report can have been made."""


@dataclass(slots=True)
class _Start:
    """A request that runs on the server."""

    generation: int
    """Number of setbacks before it started."""
    filled: bool
    """Whether the limit was reached when it started."""
    taken_over: bool
    """Whether an earlier owner of the shard started it."""


class ServerLimit:
    """The limit of one backend server and the requests that run on it."""

    __slots__ = (
        "_changed_ms",
        "_doubtful",
        "_expected",
        "_former",
        "_generation",
        "_peak",
        "_peak_before",
        "_recent",
        "_cold_until_ms",
        "_running",
        "_slow",
        "_slow_rate",
        "_steady",
        "_tells_warmth",
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
    """Most requests that the warm server may run at once."""
    cold_slots: int
    """Most requests that the cold server may run at once."""
    limit: int
    """Most requests that may run now."""
    is_warm: bool
    """Whether the limit has reached the slots since the last setback."""
    incarnation: str
    """Incarnation that the server gave last; empty if it gave none."""
    cost_is_time: bool
    """Whether costs are milliseconds, and so say nothing about speed."""
    last_setback: str
    """Why the limit was last set back; empty if it never was."""
    setbacks: Counter
    """How often the limit was set back, by reason."""

    def __init__(
        self, slots: int, cold_slots: int, now_ms: float, cost_is_time: bool = False
    ) -> None:
        self.cost_is_time = cost_is_time
        self.incarnation = ""
        self.last_setback = ""
        self.setbacks = Counter()
        self._former: deque[str] = deque(maxlen=KEPT_INCARNATIONS)
        # Incarnations of which one is the newest, while that is not known.
        self._doubtful: deque[str] = deque(maxlen=KEPT_INCARNATIONS)
        self._running: dict[Hashable, _Start] = {}
        self._expected = Pace()
        self._generation = 0
        self._cold_until_ms = float("-inf")
        self._tells_warmth = False
        self._slow_rate = 0.0
        self._peak = 0
        self._peak_before = 0
        self.slots = slots
        self.cold_slots = min(cold_slots, slots)
        self._go_cold(now_ms)

    @property
    def running(self) -> int:
        """Requests that run on the server, as far as this owner knows."""
        return len(self._running)

    @property
    def has_free(self) -> bool:
        """Whether one more request may start now."""
        return len(self._running) < self.limit

    def expect(self, first_ms: float, unit_ms: float) -> None:
        """Take the expected speed from elsewhere, as from a like server.

        Args:
            first_ms: Time to the first byte.
            unit_ms: Time for one unit of cost after it; 0 if not known.
        """
        self._expected.set(Sample(first_ms, unit_ms, STREAM_SIZE))

    def restore(self, incarnation: str, limit: int, now_ms: float) -> None:
        """Go on from the limit that an earlier owner of the shard had found.

        Args:
            incarnation: Incarnation for which the limit was found.
            limit: The limit.
            now_ms: Local monotonic time.
        """
        self.incarnation = incarnation
        self.limit = max(self.cold_slots, min(limit, self.slots))
        self._note_growth(now_ms)

    def start(self, slot: Hashable, now_ms: float) -> None:
        """Count a request that is granted a slot.

        Args:
            slot: Names the slot until it is finished.
            now_ms: Local monotonic time.

        Raises:
            InvariantError: If the limit is reached already.
        """
        detail = f"{self.running} run, limit {self.limit}"
        require(self.has_free, "server_limit", detail)
        self._add(slot, taken_over=False)

    def take_over(self, slot: Hashable, now_ms: float) -> None:
        """Count a request that an earlier owner started; the limit may be exceeded.

        Args:
            slot: Names the slot until it is finished.
            now_ms: Local monotonic time.
        """
        self._add(slot, taken_over=True)

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
        """Take a request off the server and learn from how it went.

        Args:
            slot: The slot; one that is not in use is ignored.
            outcome: One of the OUTCOME constants of the messages.
            incarnation: What the server gave in the answer, empty if nothing.
            first_ms: Time from sending until the first byte.
            duration_ms: Time from sending until the end.
            cost: Whole cost in the service's unit.
            now_ms: Local monotonic time.
        """
        start = self._running.get(slot)
        if start is None:
            return
        together = len(self._running)
        del self._running[slot]
        if not self._check_incarnation(incarnation, start, now_ms):
            return
        if start.generation != self._generation:
            return
        if outcome == OUTCOME_REFUSED:
            self._set_back("refused", now_ms)
        elif outcome == OUTCOME_BROKEN and not incarnation:
            self._set_back("broken", now_ms)
        elif outcome == OUTCOME_WHOLE:
            sample = self._sample(first_ms, duration_ms, cost)
            self._learn(start, sample, together, now_ms)

    def on_report(self, report: LoadReport, now_ms: float) -> None:
        """Compare a load report; it may lower the limit, never raise it.

        Args:
            report: What the server said, perhaps a while ago.
            now_ms: Local monotonic time.
        """
        self._note_warmth(report, now_ms)
        own = max(self._peak, self._peak_before)
        self._peak_before = self._peak
        self._peak = self.running
        if report.incarnation in self._former or report.incarnation in self._doubtful:
            return
        if report.incarnation and report.incarnation != self.incarnation:
            self._doubt(report.incarnation, now_ms)
            return
        if report.measured_ms < self._changed_ms or self.limit <= self.cold_slots:
            return
        if report.is_warm is False:
            self._set_back("reported_cold", now_ms)
        elif report.running - own > max(1, self.slots * FOREIGN_FRACTION):
            self._set_back("reported_load", now_ms)

    def _note_warmth(self, report: LoadReport, now_ms: float) -> None:
        if report.is_warm is None:
            return
        self._tells_warmth = True
        # What was measured before the last setback may tell of another incarnation.
        is_new = report.measured_ms >= self._changed_ms
        if not report.is_warm:
            self._cold_until_ms = now_ms + WARMTH_WAIT_MS
        elif is_new:
            self._cold_until_ms = float("-inf")

    def on_refused(self, now_ms: float) -> None:
        """Take note of a refused connection.

        Args:
            now_ms: Local monotonic time.
        """
        self._set_back("connection_refused", now_ms)

    def on_loading(self, now_ms: float) -> None:
        """Take note that the server loads something: it refuses, then it is cold.

        Args:
            now_ms: Local monotonic time.
        """
        self._set_back("loading", now_ms)

    def set_slots(self, slots: int, cold_slots: int) -> None:
        """Take the limits of a new document; requests that run go on.

        Args:
            slots: Most requests at once when warm.
            cold_slots: Most requests at once when cold.
        """
        self.slots = slots
        self.cold_slots = min(cold_slots, slots)
        self.limit = max(min(self.limit, slots), self.cold_slots)
        if self.limit < slots:
            self.is_warm = False

    def _add(self, slot: Hashable, taken_over: bool) -> None:
        filled = len(self._running) + 1 >= self.limit
        self._running[slot] = _Start(self._generation, filled, taken_over)
        self._peak = max(self._peak, len(self._running))

    def _go_cold(self, now_ms: float) -> None:
        self.limit = self.cold_slots
        self.is_warm = False
        self._recent = Pace()
        self._steady = 0
        self._slow = 0
        self._changed_ms = now_ms

    def _set_back(self, reason: str, now_ms: float) -> None:
        self._generation += 1
        self.last_setback = reason
        self.setbacks[reason] += 1
        if self._tells_warmth:
            self._cold_until_ms = now_ms + WARMTH_WAIT_MS
        self._go_cold(now_ms)

    def _doubt(self, reported: str, now_ms: float) -> None:
        """Take note of a report of an incarnation that was not seen before."""
        if not self.incarnation and not self._doubtful:
            self.incarnation = reported
            return
        # Which is newer is not known: the next request that starts will tell.
        if self.incarnation:
            self._doubtful.append(self.incarnation)
        self._doubtful.append(reported)
        self.incarnation = ""
        self._set_back("reported_incarnation", now_ms)

    def _check_incarnation(
        self, incarnation: str, start: _Start, now_ms: float
    ) -> bool:
        """Return whether an answer is of the newest incarnation known."""
        if not incarnation or incarnation == self.incarnation:
            return True
        if incarnation in self._former:
            return False
        if not self.incarnation:
            if start.generation != self._generation:
                return False
            self._doubtful.append(incarnation)
            self._former.extend(n for n in self._doubtful if n != incarnation)
            self._doubtful.clear()
            self.incarnation = incarnation
            return True
        self._former.append(self.incarnation)
        self.incarnation = incarnation
        self._set_back("incarnation", now_ms)
        return True

    def _sample(self, first_ms: float, duration_ms: float, cost: float) -> Sample:
        if self.cost_is_time or cost <= 0:
            return Sample(duration_ms, 0.0, STREAM_SIZE)
        if first_ms < AT_ONCE_FRACTION * duration_ms:
            return Sample(0.0, (duration_ms - first_ms) / cost, STREAM_SIZE)
        # The time to the first unit is hidden in the whole: compare like costs only.
        return Sample(0.0, duration_ms / cost, round(cost).bit_length())

    def _learn(
        self,
        start: _Start,
        sample: Sample,
        together: int,
        now_ms: float,
    ) -> None:
        is_cold = now_ms < self._cold_until_ms
        if start.taken_over and together > self.limit and not is_cold:
            # The server has shown that it carries so many; no growth is needed. One
            # that says it is cold may only be finishing what it got while warm.
            self.limit = min(together, self.slots)
            self._expected.learn(sample)
            self._note_growth(now_ms)
            return
        if self._expected.is_near(sample):
            self._note_no_step()
            self._expected.learn(sample)
            self._grow(start, now_ms)
            return
        if self.limit > self.cold_slots:
            self._learn_slow(sample, now_ms)
            return
        self._learn_cold(start, sample, now_ms)

    def _learn_slow(self, sample: Sample, now_ms: float) -> None:
        """Go back to cold on a latency step; else get used to a slower pace."""
        if not self._expected.is_step(sample):
            self._note_no_step()
            self._expected.learn(sample)
            return
        self._slow += 1
        if self._slow >= STEP_ANSWERS and self._is_no_chance():
            self._set_back("latency_step", now_ms)

    def _is_no_chance(self) -> bool:
        """Return whether so many slow answers on end hardly come by chance."""
        is_many = self._slow >= MAX_STEP_ANSWERS
        return is_many or self._slow_rate**self._slow <= STEP_CHANCE

    def _note_no_step(self) -> None:
        """Count the slow answers of a warm server that were no step."""
        slow, self._slow = self._slow, 0
        if not self.is_warm:
            return
        for _ in range(slow):
            self._slow_rate += SLOW_RATE_WEIGHT * (1.0 - self._slow_rate)
        self._slow_rate -= SLOW_RATE_WEIGHT * self._slow_rate

    def _learn_cold(self, start: _Start, sample: Sample, now_ms: float) -> None:
        """Find the expected speed of a server that is cold or new."""
        recent = self._recent
        if recent.is_far_below(sample):
            self._expected.set(sample)
            self._grow(start, now_ms)
            return
        if recent.is_slow(sample):
            recent.set(sample)
            self._steady = 0
        recent.learn(sample)
        self._steady += 1
        if self._steady >= STEADY_ANSWERS:
            self._expected = recent
            self._recent = Pace()
            self._grow(start, now_ms)

    def _grow(self, start: _Start, now_ms: float) -> None:
        if not start.filled or self.is_warm or now_ms < self._cold_until_ms:
            return
        self.limit = min(self.limit + 1, self.slots)
        self._note_growth(now_ms)

    def _note_growth(self, now_ms: float) -> None:
        self.is_warm = self.limit >= self.slots
        self._changed_ms = now_ms
