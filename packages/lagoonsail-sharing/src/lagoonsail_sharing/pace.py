"""Expected response times of a server, and how an answer compares with them."""

from __future__ import annotations

from dataclasses import dataclass

NEAR_FACTOR = 2.0
"""Answers that take more than this times the expected time are slow."""
STEP_FACTOR = 3.0
"""Answers that take more than this times the expected time may be a latency step."""
STEP_DEVIATIONS = 6.0
"""A latency step also exceeds the mean by this many mean absolute deviations."""
FIRST_BYTE_TOLERANCE_MS = 5.0
"""Differences in the time to the first byte up to this are noise."""
LEARNING_RATE = 0.2
"""Weight of the newest answer in the expected times."""


class DurationEstimate:
    """Expected value and mean absolute deviation of a duration."""

    __slots__ = ("deviation_ms", "mean_ms", "tolerance_ms")

    mean_ms: float
    """Expected duration; 0 if unknown."""
    deviation_ms: float
    """Mean absolute deviation from the expected duration."""
    tolerance_ms: float
    """Differences up to this are noise."""

    def __init__(self, tolerance_ms: float = 0.0) -> None:
        self.tolerance_ms = tolerance_ms
        self.set(0.0)

    def set(self, value_ms: float) -> None:
        """Discard the history and expect this value."""
        self.mean_ms = value_ms
        self.deviation_ms = 0.0

    def update(self, value_ms: float) -> None:
        """Move the expectation towards a value."""
        if not self.mean_ms:
            self.set(value_ms)
            return
        error = value_ms - self.mean_ms
        self.mean_ms += LEARNING_RATE * error
        self.deviation_ms += LEARNING_RATE * (abs(error) - self.deviation_ms)

    def is_near(self, value_ms: float) -> bool:
        """Return whether a value is not well above the expected value."""
        return value_ms <= NEAR_FACTOR * self.mean_ms + self.tolerance_ms

    def is_far_below(self, value_ms: float) -> bool:
        """Return whether a value is far below the expected value."""
        return NEAR_FACTOR * value_ms + self.tolerance_ms < self.mean_ms

    def is_step(self, value_ms: float) -> bool:
        """Return whether a value is far above the expected value."""
        spread_ms = max(STEP_DEVIATIONS * self.deviation_ms, self.tolerance_ms)
        return value_ms > max(STEP_FACTOR * self.mean_ms, self.mean_ms + spread_ms)


@dataclass(slots=True)
class Sample:
    """Response times of one complete answer."""

    first_ms: float
    """Time to the first byte; 0 if unknown."""
    unit_ms: float
    """Time for one unit of cost; 0 if unknown."""
    size_class: int
    """Unit times are comparable only between samples of the same size class."""


class Pace:
    """Expected time to the first byte, and times for one unit of cost by size class."""

    __slots__ = ("_unit_times", "first_byte")

    first_byte: DurationEstimate
    """Expected time to the first byte."""

    def __init__(self) -> None:
        self.first_byte = DurationEstimate(FIRST_BYTE_TOLERANCE_MS)
        self._unit_times: dict[int, DurationEstimate] = {}

    def set(self, sample: Sample) -> None:
        """Discard the history and expect the values of a sample."""
        for estimate, value_ms in self._pairs(sample):
            estimate.set(value_ms)

    def update(self, sample: Sample) -> None:
        """Move the expectations towards the values of a sample."""
        for estimate, value_ms in self._pairs(sample):
            estimate.update(value_ms)

    def is_near(self, sample: Sample) -> bool:
        """Return whether a sample is comparable and not slow."""
        known = self._known_pairs(sample)
        return bool(known) and all(
            estimate.is_near(value_ms) for estimate, value_ms in known
        )

    def is_slow(self, sample: Sample) -> bool:
        """Return whether a value of a sample is well above the expected value."""
        known = self._known_pairs(sample)
        return not all(estimate.is_near(value_ms) for estimate, value_ms in known)

    def is_far_below(self, sample: Sample) -> bool:
        """Return whether a value of a sample is far below the expected value."""
        known = self._known_pairs(sample)
        return any(estimate.is_far_below(value_ms) for estimate, value_ms in known)

    def is_step(self, sample: Sample) -> bool:
        """Return whether a value of a sample is far above the expected value."""
        known = self._known_pairs(sample)
        return any(estimate.is_step(value_ms) for estimate, value_ms in known)

    def _pairs(self, sample: Sample) -> list[tuple[DurationEstimate, float]]:
        pairs = []
        if sample.first_ms > 0:
            pairs.append((self.first_byte, sample.first_ms))
        if sample.unit_ms > 0:
            unit_time = self._unit_times.setdefault(
                sample.size_class, DurationEstimate()
            )
            pairs.append((unit_time, sample.unit_ms))
        return pairs

    def _known_pairs(self, sample: Sample) -> list[tuple[DurationEstimate, float]]:
        return [pair for pair in self._pairs(sample) if pair[0].mean_ms]
