"""Measures how late the event loop of a router runs its tasks.

All tasks share one thread, so a task that is due waits for all that became ready before
it. What a router believes is as old as its loop is late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.durations import DurationHistogram

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock
    from lagoonsail_core.events import Timeline

LATE_MS = 200.0
"""Lateness from which it is logged: a tenth of the time in which changes are in force
in a small fleet."""
RECENT_MS = 5000.0
"""Period whose largest lateness counts as recent."""


class LoopLateness:
    """Histogram and recent maximum of the lateness of a task."""

    __slots__ = ("_clock", "_max_ms", "_max_since_ms", "_timeline", "durations")

    durations: DurationHistogram
    """All measured values."""

    def __init__(self, clock: Clock, timeline: Timeline) -> None:
        self._clock = clock
        self._timeline = timeline
        self._max_ms = 0.0
        self._max_since_ms = float("-inf")
        self.durations = DurationHistogram()

    def record(self, late_ms: float) -> None:
        """Note by how much a task was late; log it if it is the most for some time.

        Args:
            late_ms: Time between the moment at which it was due and its start.
        """
        late_ms = max(0.0, late_ms)
        self.durations.add(late_ms)
        if late_ms < self.recent_ms():
            return
        self._max_ms, self._max_since_ms = late_ms, self._clock.now_ms()
        if late_ms >= LATE_MS:
            self._timeline.record("loop_late", late_ms=round(late_ms))

    def recent_ms(self) -> float:
        """Return the largest lateness of the last `RECENT_MS`, at least."""
        is_recent = self._clock.now_ms() - self._max_since_ms <= RECENT_MS
        return self._max_ms if is_recent else 0.0
