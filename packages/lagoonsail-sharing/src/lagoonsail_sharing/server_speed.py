"""Estimates how fast each backend server of a service works, and its slowdown now.

Designed for servers of one service that differ in speed, that share their hosts with
other workloads, and that slow down for moments. A router sees few answers of each
server, so the evidence of all routers is added up: decaying sums of the logarithm of
the speed, which digests carry. Logarithms bound the influence of single answers, which
are noisy because engines decode other requests at the same time.

The estimate of a server differs from the service's only as far as the evidence shows a
difference: servers that are equal are treated as equal, whatever the noise. It stays
within a factor of `MAX_FACTOR` of the service's.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_TOKENS_PER_MS = 50.0
"""Prefill rate of an engine for which there is no evidence."""
DEFAULT_ANSWER_MS = 50.0
"""Time of an answer of a plain server for which there is no evidence."""
MAX_FACTOR = 4.0
"""Factor by which a server may differ from its service, either way: bounds the effect
of false figures and of misleading answers."""
DECAY_MS = 10_000.0
"""Time in which evidence of the speed decays to 1/e."""
RECENT_DECAY_MS = 1_500.0
"""The same for the recent evidence, which only serves to notice a slower server."""
MOMENT_DECAY_MS = 250.0
"""The same for reported slowdowns, which change many times a second."""
REFUSAL_DECAY_MS = 500.0
"""The same for refusals for want of room."""
MOMENT_PRIOR = 0.5
"""Weight of the usual slowdown of a server, relative to one new report."""
USUAL_RATE = 0.02
"""Rate per update at which the usual slowdown follows the reported one; with ten
updates a second it covers five seconds."""
PRIOR_WEIGHT = 8.0
"""Weight of the default speed of a service, in answers."""
MIN_VARIANCE = 0.02
"""Lower bound of the variance of one answer's logarithm, so that a few answers that
happen to agree do not count as certain."""
DEFAULT_VARIANCE = 0.25
"""Assumed variance while there are too few answers to measure it."""
MIN_VARIANCE_WEIGHT = 20.0
"""Weight of the evidence of a service from which the variance is measured."""
SIGNIFICANT = 3.0
"""Standard errors from which a single server counts as different from its service."""
MIN_RECENT_WEIGHT = 1.5
"""Weight of recent evidence from which a server may be believed to be slower."""
SERVICE_STEP = 0.15
"""Change of the logarithm from which a service's speed is changed: its servers' delays
are compared with each other, and gain nothing by a speed that changes all the time."""
SERVER_STEP = 0.05
"""The same for a server relative to its service."""
SCALE = 16.0
"""Resolution of the sums in digests, which carry integers."""

NUMBER_COUNT = 8
"""Number of sums in `SpeedEvidence`."""

Numbers = tuple[int, ...]
"""Evidence as it is carried by digests."""


@dataclass(slots=True)
class SpeedEvidence:
    """Decaying sums about one server. Those of all routers are added up.

    The logarithms are those of the speed relative to the default one.
    """

    weight: float = 0.0
    """Weight of the timed answers."""
    total: float = 0.0
    """Weighted sum of their logarithms."""
    squares: float = 0.0
    """Weighted sum of the squares of their logarithms."""
    recent_weight: float = 0.0
    """Weight of the recent ones."""
    recent_total: float = 0.0
    """Weighted sum of the logarithms of the recent ones."""
    reports: float = 0.0
    """Weight of the reported slowdowns."""
    slowdown_total: float = 0.0
    """Weighted sum of the reported slowdowns."""
    refusals: float = 0.0
    """Weight of the requests that the server refused for want of room."""

    def mean(self) -> float:
        """Return the mean logarithm of the speed; 0 without evidence."""
        return self.total / self.weight if self.weight > 0.0 else 0.0

    def spread(self) -> float:
        """Return the weighted sum of the squared deviations from the mean."""
        return max(0.0, self.squares - self.mean() * self.total)

    def encode(self) -> Numbers:
        """Return the sums as integers, for digests."""
        return (
            round(self.weight * SCALE),
            round(self.total * SCALE),
            round(self.squares * SCALE),
            round(self.recent_weight * SCALE),
            round(self.recent_total * SCALE),
            round(self.reports * SCALE),
            round(self.slowdown_total * SCALE),
            round(self.refusals * SCALE),
        )


def decode_evidence(numbers: Numbers) -> SpeedEvidence:
    """Decode evidence, or the sum of the evidence of several routers.

    Args:
        numbers: Numbers of `SpeedEvidence.encode`, added up. Missing ones are 0, and
            sums that a router's death made inconsistent count as none.

    Example:
        >>> decode_evidence(SpeedEvidence(2.0, 1.0).encode()).mean()
        0.5
        >>> decode_evidence((-16, 3)).mean()
        0.0
    """
    values = [number / SCALE for number in numbers[:NUMBER_COUNT]]
    values += [0.0] * (NUMBER_COUNT - len(values))
    evidence = SpeedEvidence(*values)
    if evidence.weight <= 0.0:
        evidence.weight = evidence.total = evidence.squares = 0.0
    if evidence.recent_weight <= 0.0:
        evidence.recent_weight = evidence.recent_total = 0.0
    if evidence.reports <= 0.0 or evidence.slowdown_total <= 0.0:
        evidence.reports = evidence.slowdown_total = 0.0
    evidence.refusals = max(0.0, evidence.refusals)
    return evidence


class OwnEvidence:
    """What one router has seen of one server.

    Example:
        >>> own = OwnEvidence(now_ms=0.0)
        >>> own.add_timing(expected_ms=100.0, observed_ms=200.0, weight=1.0, now_ms=0.0)
        >>> round(math.exp(own.at(0.0).mean()), 3)
        0.5
    """

    __slots__ = ("_sums", "_updated_ms")

    def __init__(self, now_ms: float) -> None:
        self._sums = SpeedEvidence()
        self._updated_ms = now_ms

    def add_timing(
        self, expected_ms: float, observed_ms: float, weight: float, now_ms: float
    ) -> None:
        """Add the time of an answer.

        Args:
            expected_ms: Time that it would take at the default speed.
            observed_ms: Time that it took.
            weight: Its weight, at most 1.
            now_ms: The time.
        """
        sums = self.at(now_ms)
        limit = 2.0 * math.log(MAX_FACTOR)
        logarithm = math.log(max(1e-3, expected_ms) / max(1.0, observed_ms))
        logarithm = min(limit, max(-limit, logarithm))
        sums.weight += weight
        sums.total += weight * logarithm
        sums.squares += weight * logarithm**2
        sums.recent_weight += weight
        sums.recent_total += weight * logarithm

    def add_slowdown(self, slowdown: float, now_ms: float) -> None:
        """Add a reported slowdown.

        Args:
            slowdown: How long work takes now, relative to the usual time.
            now_ms: The time.
        """
        sums = self.at(now_ms)
        sums.reports += 1.0
        sums.slowdown_total += min(MAX_FACTOR, max(1.0 / MAX_FACTOR, slowdown))

    def add_refusal(self, now_ms: float) -> None:
        """Add a refusal for want of room.

        Args:
            now_ms: The time.
        """
        self.at(now_ms).refusals += 1.0

    def at(self, now_ms: float) -> SpeedEvidence:
        """Return the sums, decayed until now.

        Args:
            now_ms: The time.
        """
        sums = self._sums
        age_ms = now_ms - self._updated_ms
        if age_ms > 0.0:
            self._updated_ms = now_ms
            fraction = math.exp(-age_ms / DECAY_MS)
            sums.weight *= fraction
            sums.total *= fraction
            sums.squares *= fraction
            fraction = math.exp(-age_ms / RECENT_DECAY_MS)
            sums.recent_weight *= fraction
            sums.recent_total *= fraction
            fraction = math.exp(-age_ms / MOMENT_DECAY_MS)
            sums.reports *= fraction
            sums.slowdown_total *= fraction
            if sums.refusals:
                sums.refusals *= math.exp(-age_ms / REFUSAL_DECAY_MS)
        return sums


class ServerSpeed:
    """The speed of one server: its estimate, and this router's evidence of it."""

    __slots__ = ("_usual_slowdown", "factor", "own", "relative", "slowdown")

    factor: float
    """Speed now, relative to the default: of the server, its service and its slowdown
    together. All delays are computed with it."""
    own: OwnEvidence
    """What this router has seen."""
    relative: float
    """Logarithm of the speed relative to the service's, 0 if they do not differ."""
    slowdown: float
    """How long work takes now, relative to the time that it would usually take."""

    def __init__(self, factor: float, now_ms: float) -> None:
        """Start from the speed of the service.

        Args:
            factor: Speed of the service's median server, relative to the default.
            now_ms: The time.
        """
        self._usual_slowdown = 1.0
        self.factor = factor
        self.own = OwnEvidence(now_ms)
        self.relative = 0.0
        self.slowdown = 1.0

    def update_slowdown(self, evidence: SpeedEvidence) -> None:
        """Smooth the reported slowdowns, which lose their weight as they age.

        Args:
            evidence: Evidence of all routers.
        """
        usual = self._usual_slowdown
        reports = evidence.reports
        if reports > MOMENT_PRIOR:
            reported = evidence.slowdown_total / reports
            usual += USUAL_RATE * (reported - usual)
            self._usual_slowdown = usual
        total = evidence.slowdown_total + MOMENT_PRIOR * usual
        self.slowdown = total / (reports + MOMENT_PRIOR)

    def update_factor(self, service: float, relative: float) -> None:
        """Set the speed from that of the service and the server's difference from it.

        Args:
            service: Logarithm of the service's speed, relative to the default.
            relative: Logarithm of the server's speed, relative to the service's.
        """
        if abs(relative - self.relative) > SERVER_STEP or not relative:
            self.relative = relative
        limit = math.log(MAX_FACTOR)
        logarithm = self.relative - math.log(self.slowdown)
        self.factor = math.exp(service + min(limit, max(-limit, logarithm)))


def estimate_service(evidences: Sequence[SpeedEvidence], used: float) -> float:
    """Return the logarithm of a service's speed, relative to the default.

    It is the median over the servers, so that a few of them, whatever their answers
    suggest, have no influence on the others.

    Args:
        evidences: Evidence of all routers, by server.
        used: The logarithm that is in use, which is kept if the new one is close.
    """
    weight = sum(evidence.weight for evidence in evidences)
    means = [evidence.mean() for evidence in evidences if evidence.weight >= 1.0]
    if not means:
        return used
    estimate = median(means) * weight / (weight + PRIOR_WEIGHT)
    return estimate if abs(estimate - used) > SERVICE_STEP else used


def estimate_servers(evidences: Sequence[SpeedEvidence], service: float) -> list[float]:
    """Return the logarithms of the servers' speeds, relative to their service's.

    Deviations are shrunk by the ratio of the variance between servers to the one that
    noise would cause, both measured. A deviation of a single server that noise cannot
    explain is believed without that.

    Args:
        evidences: Evidence of all routers, by server.
        service: Logarithm of the service's speed, relative to the default.

    Example:
        >>> alike = [SpeedEvidence(30.0, total, 4.0) for total in (1.0, 0.0, 2.0)]
        >>> any(estimate_servers(alike, 0.0))
        False
    """
    variance = _answer_variance(evidences)
    center = _median_of_means(evidences, service)
    between = _variance_between(evidences, center, variance)
    return [_deviation(evidence, center, variance, between) for evidence in evidences]


def _deviation(
    evidence: SpeedEvidence, center: float, variance: float, between: float
) -> float:
    if evidence.weight <= 0.0:
        return 0.0
    deviation = evidence.mean() - center
    error = variance / evidence.weight
    shrink = between / (between + error)
    # The fraction of the deviation that exceeds what noise explains.
    excess = 1.0 - SIGNIFICANT**2 * error / max(deviation**2, 1e-9)
    estimate = max(shrink, excess) * deviation
    if evidence.recent_weight >= MIN_RECENT_WEIGHT:
        recent = evidence.recent_total / evidence.recent_weight - center
        error = variance / evidence.recent_weight
        if recent < estimate - SIGNIFICANT * math.sqrt(error):
            return recent
    return estimate


def _answer_variance(evidences: Sequence[SpeedEvidence]) -> float:
    """Return the variance of one answer's logarithm around the mean of its server."""
    weight = sum(evidence.weight for evidence in evidences)
    if weight < MIN_VARIANCE_WEIGHT + len(evidences):
        return DEFAULT_VARIANCE
    spread = sum(evidence.spread() for evidence in evidences)
    return max(MIN_VARIANCE, spread / (weight - len(evidences)))


def _median_of_means(evidences: Sequence[SpeedEvidence], default: float) -> float:
    means = [evidence.mean() for evidence in evidences if evidence.weight >= 1.0]
    return median(means) if means else default


def _variance_between(
    evidences: Sequence[SpeedEvidence], center: float, variance: float
) -> float:
    """Return the variance of the servers' speeds beyond what noise explains."""
    seen = [evidence for evidence in evidences if evidence.weight >= 1.0]
    if len(seen) < 2:
        return 0.0
    chi_square = sum(e.weight * (e.mean() - center) ** 2 for e in seen) / variance
    freedom = len(seen) - 1.0
    # Two standard deviations of chi-square: equal servers are treated as equal.
    excess = chi_square - freedom - 2.0 * math.sqrt(2.0 * freedom)
    weight = sum(evidence.weight for evidence in seen)
    return max(0.0, excess) * variance / weight
