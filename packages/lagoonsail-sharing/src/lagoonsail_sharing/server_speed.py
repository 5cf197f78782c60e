"""Estimates how fast each backend server of a service works, and its slowdown now.

Designed for servers of one service that differ in speed, that share their hosts with
other workloads, and that slow down for moments. A router sees few answers of each
server, so the evidence of all routers is added up, as decaying sums that digests carry.
It is the work that a server has done, against the time in which it worked (`BusyTime`).
The time of a single answer would depend on what was queued before it, which is not
known exactly under load, so a busy server would look slow.

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
MOMENT_PRIOR = 2.0
"""Weight of the usual slowdown of a server, relative to one new report. Above 1, since
the moment that a report tells of is often over when the next request arrives."""
USUAL_REPORTS = 0.5
"""Weight of the reported slowdowns from which the usual one follows them."""
USUAL_DECAY_MS = 5_000.0
"""Time in which the usual slowdown of a server follows the reported one to 1/e."""
SIGNIFICANT = 3.0
"""Standard errors from which a single server counts as different from its service."""
MIN_DONE = 3.0
"""Prompts that an engine must have prefilled for its throughput to count."""
DONE_UNIT_MS = 100.0
"""Unit of the work of prefilled prompts in digests."""
MAX_BUSY_ODDS = 1.0
"""Bound of the weight of a prefilled prompt as evidence."""
IDLE_MARGIN = 0.1
"""Error of the fraction of time in which an engine had prompts to prefill."""
THROUGHPUT_VARIANCE = 0.3
"""Variance of the logarithm of the throughput, per request: prompts are unequal, and
loads are sampled. A smaller one makes noise look like a difference between servers."""
MAX_LOGARITHM = 2.0 * math.log(MAX_FACTOR)
"""Bound of the logarithm of a single measurement, either way."""
MIN_RECENT_WEIGHT = 2.5
"""Weight of recent evidence from which a server may be believed to be slower."""
SERVICE_STEP = 0.15
"""Change of the logarithm from which a service's speed is changed: its servers' delays
are compared with each other, and gain nothing by a speed that changes all the time."""
SERVER_STEP = 0.05
"""The same for a server relative to its service."""
SCALE = 16.0
"""Resolution of the sums in digests, which carry integers."""

NUMBER_COUNT = 7
"""Number of sums that digests carry."""

Numbers = tuple[int, ...]
"""Evidence as it is carried by digests."""


@dataclass(slots=True)
class SpeedEvidence:
    """Decaying sums about one server. Those of all routers are added up."""

    reports: float = 0.0
    """Weight of the reported slowdowns."""
    slowdown_total: float = 0.0
    """Weighted sum of the reported slowdowns."""
    refusals: float = 0.0
    """Weight of the requests that the server refused for want of room."""
    done: float = 0.0
    """Weight of the prompts that it has prefilled, or of its plain answers."""
    done_work: float = 0.0
    """Their work: the time at the default speed, in units of `DONE_UNIT_MS`."""
    recent_done: float = 0.0
    """Weight of the recent ones."""
    recent_done_work: float = 0.0
    """Work of the recent ones."""
    weight: float = 0.0
    """Weight of `logarithm`, in requests. Like the ones below it is not in digests;
    see `BusyTime.add_throughput`."""
    logarithm: float = 0.0
    """Logarithm of the speed, relative to the default."""
    recent_weight: float = 0.0
    """Weight of `recent_logarithm`."""
    recent_logarithm: float = 0.0
    """The same logarithm, of the recent work."""

    def encode(self) -> Numbers:
        """Return the sums as integers, for digests."""
        return (
            round(self.reports * SCALE),
            round(self.slowdown_total * SCALE),
            round(self.refusals * SCALE),
            round(self.done * SCALE),
            round(self.done_work * SCALE),
            round(self.recent_done * SCALE),
            round(self.recent_done_work * SCALE),
        )


def decode_evidence(numbers: Numbers) -> SpeedEvidence:
    """Decode evidence, or the sum of the evidence of several routers.

    Args:
        numbers: Numbers of `SpeedEvidence.encode`, added up. Missing ones are 0, and
            sums that a router's death made inconsistent count as none.

    Example:
        >>> decode_evidence(SpeedEvidence(2.0, 1.0).encode()).slowdown_total
        1.0
        >>> decode_evidence((-16, 3)).slowdown_total
        0.0
    """
    values = [number / SCALE for number in numbers[:NUMBER_COUNT]]
    values += [0.0] * (NUMBER_COUNT - len(values))
    evidence = SpeedEvidence(*values)
    if evidence.reports <= 0.0 or evidence.slowdown_total <= 0.0:
        evidence.reports = evidence.slowdown_total = 0.0
    evidence.refusals = max(0.0, evidence.refusals)
    if evidence.done <= 0.0 or evidence.done_work <= 0.0:
        evidence.done = evidence.done_work = 0.0
    if evidence.recent_done <= 0.0 or evidence.recent_done_work <= 0.0:
        evidence.recent_done = evidence.recent_done_work = 0.0
    return evidence


class OwnEvidence:
    """What one router has seen of one server.

    Example:
        >>> own = OwnEvidence(now_ms=0.0)
        >>> own.add_done(expected_ms=200.0, now_ms=0.0)
        >>> own.at(0.0).done_work, round(own.at(DECAY_MS).done_work, 2)
        (2.0, 0.74)
    """

    __slots__ = ("_sums", "_updated_ms")

    def __init__(self, now_ms: float) -> None:
        self._sums = SpeedEvidence()
        self._updated_ms = now_ms

    def add_slowdown(self, slowdown: float, now_ms: float) -> None:
        """Add a reported slowdown.

        Args:
            slowdown: How long work takes now, relative to the usual time.
            now_ms: The time.
        """
        sums = self.at(now_ms)
        sums.reports += 1.0
        sums.slowdown_total += min(MAX_FACTOR, max(1.0 / MAX_FACTOR, slowdown))

    def add_done(self, expected_ms: float, now_ms: float) -> None:
        """Add a prompt that the server has prefilled, or a plain answer.

        Args:
            expected_ms: Time that it would take at the default speed.
            now_ms: The time.
        """
        sums = self.at(now_ms)
        sums.done += 1.0
        sums.done_work += expected_ms / DONE_UNIT_MS
        sums.recent_done += 1.0
        sums.recent_done_work += expected_ms / DONE_UNIT_MS

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
            sums.done *= fraction
            sums.done_work *= fraction
            fraction = math.exp(-age_ms / RECENT_DECAY_MS)
            sums.recent_done *= fraction
            sums.recent_done_work *= fraction
            fraction = math.exp(-age_ms / MOMENT_DECAY_MS)
            sums.reports *= fraction
            sums.slowdown_total *= fraction
            if sums.refusals:
                sums.refusals *= math.exp(-age_ms / REFUSAL_DECAY_MS)
        return sums


class BusyTime:
    """Decaying sums of the time in which a server worked.

    An engine prefills one prompt after the other, a plain server answers as many
    requests at once as it has slots.

    Example:
        >>> busy = BusyTime()
        >>> for n in range(40):
        ...     busy.sample(n % 2, now_ms=100.0 * n)
        >>> evidence = SpeedEvidence(done=10.0, done_work=15.0)
        >>> busy.add_throughput(evidence)
        >>> 0.7 < math.exp(evidence.logarithm) < 1.0
        True
    """

    __slots__ = (
        "_busy_ms",
        "_recent_busy_ms",
        "_recent_ms",
        "_sampled_ms",
        "_total_ms",
    )

    def __init__(self) -> None:
        self._busy_ms = 0.0
        self._recent_busy_ms = 0.0
        self._recent_ms = 0.0
        self._sampled_ms: float | None = None
        self._total_ms = 0.0

    def sample(self, level: float, now_ms: float) -> None:
        """Record on how many requests it works at once, as known now.

        Args:
            level: Number of requests; 0 or 1 for an engine.
            now_ms: The time.
        """
        if self._sampled_ms is not None:
            passed_ms = now_ms - self._sampled_ms
            busy_ms = passed_ms * level
            fraction = math.exp(-passed_ms / DECAY_MS)
            self._total_ms = self._total_ms * fraction + passed_ms
            self._busy_ms = self._busy_ms * fraction + busy_ms
            fraction = math.exp(-passed_ms / RECENT_DECAY_MS)
            self._recent_ms = self._recent_ms * fraction + passed_ms
            self._recent_busy_ms = self._recent_busy_ms * fraction + busy_ms
        self._sampled_ms = now_ms

    def add_throughput(self, evidence: SpeedEvidence) -> None:
        """Add to evidence what the work done in that time tells of the speed.

        Args:
            evidence: Evidence of all routers, which is changed.
        """
        if evidence.done >= MIN_DONE and self._busy_ms > 0.0:
            weight = evidence.done * _busy_odds(self._busy_ms, self._total_ms)
            work_ms = evidence.done_work * DONE_UNIT_MS
            logarithm = _bounded_log(work_ms, self._busy_ms)
            evidence.weight, evidence.logarithm = weight, logarithm
        if evidence.recent_done > 0.0 and self._recent_busy_ms > 0.0:
            weight = evidence.recent_done
            weight *= _busy_odds(self._recent_busy_ms, self._recent_ms)
            work_ms = evidence.recent_done_work * DONE_UNIT_MS
            evidence.recent_weight = weight
            evidence.recent_logarithm = _bounded_log(work_ms, self._recent_busy_ms)


def _busy_odds(busy_ms: float, total_ms: float) -> float:
    """Return the weight of a request: the busier a server, the surer its busy time."""
    fraction = min(1.0, busy_ms / total_ms)
    return min(MAX_BUSY_ODDS, fraction / (1.0 + IDLE_MARGIN - fraction))


def _bounded_log(expected_ms: float, observed_ms: float) -> float:
    logarithm = math.log(max(1e-3, expected_ms) / max(1.0, observed_ms))
    return min(MAX_LOGARITHM, max(-MAX_LOGARITHM, logarithm))


class ServerSpeed:
    """The speed of one server: its estimate, and this router's evidence of it."""

    __slots__ = (
        "_usual_ms",
        "_usual_slowdown",
        "busy",
        "factor",
        "own",
        "relative",
        "slowdown",
    )

    busy: BusyTime
    """When it worked, as this router knows from the loads."""
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
            factor: Speed of the service, relative to the default.
            now_ms: The time.
        """
        self._usual_ms = now_ms
        self._usual_slowdown = 1.0
        self.busy = BusyTime()
        self.factor = factor
        self.own = OwnEvidence(now_ms)
        self.relative = 0.0
        self.slowdown = 1.0

    def update_slowdown(self, evidence: SpeedEvidence, now_ms: float) -> None:
        """Smooth the reported slowdowns, which lose their weight as they age.

        Args:
            evidence: Evidence of all routers.
            now_ms: The time.
        """
        usual = self._usual_slowdown
        reports = evidence.reports
        if reports > USUAL_REPORTS:
            reported = evidence.slowdown_total / reports
            age_ms = now_ms - self._usual_ms
            usual += (1.0 - math.exp(-age_ms / USUAL_DECAY_MS)) * (reported - usual)
            self._usual_slowdown = usual
        self._usual_ms = now_ms
        total = evidence.slowdown_total + MOMENT_PRIOR * usual
        # The work done includes what is usual, so only the rest counts.
        self.slowdown = total / (reports + MOMENT_PRIOR) / usual

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


def estimate_servers(evidences: Sequence[SpeedEvidence], service: float) -> list[float]:
    """Return the logarithms of the servers' speeds, relative to their service's.

    Deviations are shrunk by the ratio of the variance between servers to the one that
    noise would cause. A deviation of a single server that noise cannot explain is
    believed without that.

    Args:
        evidences: Evidence of all routers, by server.
        service: Logarithm of the service's speed, relative to the default.

    Example:
        >>> alike = [SpeedEvidence(weight=30.0, logarithm=n / 30) for n in (1, 0, 2)]
        >>> any(estimate_servers(alike, 0.0))
        False
    """
    center = _median_logarithm(evidences, service)
    between = _variance_between(evidences, center)
    return [_deviation(evidence, center, between) for evidence in evidences]


def _deviation(evidence: SpeedEvidence, center: float, between: float) -> float:
    if evidence.weight <= 0.0:
        return 0.0
    deviation = evidence.logarithm - center
    error = THROUGHPUT_VARIANCE / evidence.weight
    shrink = between / (between + error)
    # Nothing of a deviation that noise explains, and nearly all of one twice as large.
    noise = SIGNIFICANT**2 * error / max(deviation**2, 1e-9)
    excess = 1.0 - noise**2
    estimate = max(shrink, excess) * deviation
    if evidence.recent_weight >= MIN_RECENT_WEIGHT:
        recent = evidence.recent_logarithm - center
        error = THROUGHPUT_VARIANCE / evidence.recent_weight
        if recent < estimate - SIGNIFICANT * math.sqrt(error):
            return recent
    return estimate


def _median_logarithm(evidences: Sequence[SpeedEvidence], default: float) -> float:
    means = [evidence.logarithm for evidence in evidences if evidence.weight >= 1.0]
    return median(means) if means else default


def _variance_between(evidences: Sequence[SpeedEvidence], center: float) -> float:
    """Return the variance of the servers' speeds beyond what noise explains."""
    seen = [evidence for evidence in evidences if evidence.weight >= 1.0]
    if len(seen) < 2:
        return 0.0
    chi_square = (
        sum(e.weight * (e.logarithm - center) ** 2 for e in seen) / THROUGHPUT_VARIANCE
    )
    freedom = len(seen) - 1.0
    # Three standard deviations of chi-square: equal servers are treated as equal.
    excess = chi_square - freedom - SIGNIFICANT * math.sqrt(2.0 * freedom)
    weight = sum(evidence.weight for evidence in seen)
    return max(0.0, excess) * THROUGHPUT_VARIANCE / weight
