"""Histogram of durations, cheap enough to update on every call."""

from __future__ import annotations

from bisect import bisect_left

BUCKET_BOUNDS_MS = (1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0) + (
    1000.0,
    2000.0,
    5000.0,
    10_000.0,
    30_000.0,
    120_000.0,
)
"""Upper bounds of the buckets, in milliseconds."""


class DurationHistogram:
    """Number of durations in each bucket; exported by `Metrics.observable_histogram`.

    Example:
        >>> durations = DurationHistogram()
        >>> for duration_ms in (0.5, 2.0, 3.0, 1e9):
        ...     durations.add(duration_ms)
        >>> durations.cumulative_counts()[:3], durations.count
        ([1, 2, 3], 4)
    """

    __slots__ = ("_bucket_counts", "count", "sum_ms")

    count: int
    """Number of durations."""
    sum_ms: float
    """Sum of the durations, in milliseconds."""

    def __init__(self) -> None:
        self._bucket_counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self.count = 0
        self.sum_ms = 0.0

    def add(self, duration_ms: float) -> None:
        """Count one duration.

        Args:
            duration_ms: The duration in milliseconds.
        """
        self._bucket_counts[bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
        self.count += 1
        self.sum_ms += duration_ms

    def cumulative_counts(self) -> list[int]:
        """Return, for each bound, the number of durations at or below it."""
        running_total = 0
        return [
            running_total := running_total + count for count in self._bucket_counts[:-1]
        ]
