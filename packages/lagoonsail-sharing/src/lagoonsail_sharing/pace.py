"""How fast a server answers, and when an answer is near that, far below or a step."""

from __future__ import annotations

from dataclasses import dataclass

NEAR_FACTOR = 2.0
"""An answer slower than this times the expected is not near the expected speed."""
STEP_FACTOR = 3.0
"""An answer slower than this times the expected may be a latency step."""
STEP_DEVIATIONS = 6.0
"""A latency step exceeds the mean by so many mean absolute deviations as well."""
FIRST_SLACK_MS = 5.0
"""Differences of the time to the first byte up to this mean nothing."""
LEARNING_RATE = 0.2
"""Weight of the newest answer in the expected speed."""


class Speed:
    """Expected value and mean absolute deviation of a time."""

    __slots__ = ("deviation_ms", "mean_ms", "slack_ms")

    mean_ms: float
    """Expected time; 0 if nothing is known."""
    deviation_ms: float
    """Mean absolute deviation from it."""
    slack_ms: float
    """Differences up to this are noise."""

    def __init__(self, slack_ms: float = 0.0) -> None:
        self.slack_ms = slack_ms
        self.set(0.0)

    def set(self, value_ms: float) -> None:
        """Forget the past and expect this value."""
        self.mean_ms = value_ms
        self.deviation_ms = 0.0

    def learn(self, value_ms: float) -> None:
        """Move the expectation towards a value."""
        if not self.mean_ms:
            self.set(value_ms)
            return
        error = value_ms - self.mean_ms
        self.mean_ms += LEARNING_RATE * error
        self.deviation_ms += LEARNING_RATE * (abs(error) - self.deviation_ms)

    def is_near(self, value_ms: float) -> bool:
        """Return whether a value is not much above the expected one."""
        return value_ms <= NEAR_FACTOR * self.mean_ms + self.slack_ms

    def is_far_below(self, value_ms: float) -> bool:
        """Return whether a value is much below the expected one."""
        return NEAR_FACTOR * value_ms + self.slack_ms < self.mean_ms

    def is_step(self, value_ms: float) -> bool:
        """Return whether a value is far above the expected one."""
        spread_ms = max(STEP_DEVIATIONS * self.deviation_ms, self.slack_ms)
        return value_ms > max(STEP_FACTOR * self.mean_ms, self.mean_ms + spread_ms)


@dataclass(slots=True)
class Sample:
    """How fast one whole answer came."""

    first_ms: float
    """Time to the first byte; 0 if not known."""
    unit_ms: float
    """Time for one unit of cost; 0 if not known."""
    size: int
    """Samples of different sizes have times for one unit that do not compare."""


class Pace:
    """Time to the first byte, and times for one unit of cost."""

    __slots__ = ("_units", "first")

    first: Speed
    """Time to the first byte."""

    def __init__(self) -> None:
        self.first = Speed(FIRST_SLACK_MS)
        self._units: dict[int, Speed] = {}

    def set(self, sample: Sample) -> None:
        """Expect the values of a sample."""
        for speed, value_ms in self._pairs(sample):
            speed.set(value_ms)

    def learn(self, sample: Sample) -> None:
        """Move towards the values of a sample."""
        for speed, value_ms in self._pairs(sample):
            speed.learn(value_ms)

    def is_near(self, sample: Sample) -> bool:
        """Return whether a sample can be compared and is not much slower."""
        known = self._known_pairs(sample)
        return bool(known) and all(speed.is_near(value) for speed, value in known)

    def is_slow(self, sample: Sample) -> bool:
        """Return whether a value of a sample is much above the expected one."""
        known = self._known_pairs(sample)
        return not all(speed.is_near(value) for speed, value in known)

    def is_far_below(self, sample: Sample) -> bool:
        """Return whether a value of a sample is much below the expected one."""
        known = self._known_pairs(sample)
        return any(speed.is_far_below(value) for speed, value in known)

    def is_step(self, sample: Sample) -> bool:
        """Return whether a value of a sample is far above the expected one."""
        known = self._known_pairs(sample)
        return any(speed.is_step(value) for speed, value in known)

    def _pairs(self, sample: Sample) -> list[tuple[Speed, float]]:
        pairs = []
        if sample.first_ms > 0:
            pairs.append((self.first, sample.first_ms))
        if sample.unit_ms > 0:
            unit = self._units.setdefault(sample.size, Speed())
            pairs.append((unit, sample.unit_ms))
        return pairs

    def _known_pairs(self, sample: Sample) -> list[tuple[Speed, float]]:
        return [pair for pair in self._pairs(sample) if pair[0].mean_ms]
