"""Evidence of a server that starts: what each router counts, and the sum over routers.

No router alone sees enough answers of a server that many use. The sums are as old as
digests, and lack routers that do not report; then those that do stand for all.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from operator import attrgetter

LATE_FACTOR = 2.0
"""Factor of the expected time beyond which an answer is late."""
LATE_SLACK_MS = 50.0
"""Further time beyond which it is late, for the network and unknown queues."""
SUMS_AGE_MS = 400.0
"""Age up to which sums are used: that of digests, and the interval of updates."""
MIN_COVERAGE = 0.5
"""Fraction of the routers beyond which their sums are used. If fewer report, each
router keeps to a fixed part of the limit."""


@dataclass(slots=True, frozen=True)
class StartEvidence:
    """What one router reports of a server that starts, or the sum over routers."""

    starting: int = 0
    """Routers that have the server in slow start."""
    ended: int = 0
    """Routers at which its slow start has ended recently."""
    limits: int = 0
    """Sum of the limits of the routers that have it in slow start."""
    raises: int = 0
    """Answers in time to requests sent while the limit was reached."""
    in_time: int = 0
    """Answers in time."""
    late: int = 0
    """Answers that were late."""
    failed: int = 0
    """Requests that failed."""
    refused: int = 0
    """Requests that it refused for want of room."""
    demand: int = 0
    """Recent requests for its service."""
    held: int = 0
    """Requests sent elsewhere because of its limit."""

    def encode(self) -> tuple[int, ...]:
        """Return the numbers for `FleetCounts`."""
        return _numbers_of(self)


_FIELD_NAMES = [field.name for field in fields(StartEvidence)]
_numbers_of = attrgetter(*_FIELD_NAMES)


def decode_evidence(numbers: tuple[int, ...]) -> StartEvidence:
    """Return evidence from the numbers of `FleetCounts`.

    Args:
        numbers: The numbers; missing ones are 0, and negative ones count as 0.

    Example:
        >>> decode_evidence((2, 0, -16)).limits
        0
    """
    return StartEvidence(*(max(0, number) for number in numbers[: len(_FIELD_NAMES)]))


def is_in_time(observed_ms: float, expected_ms: float) -> bool:
    """Return whether the first part of an answer came in time.

    Args:
        observed_ms: Time that it took.
        expected_ms: Time that was expected when the request was sent.
    """
    return observed_ms <= LATE_FACTOR * expected_ms + LATE_SLACK_MS


def evidence_since(totals: StartEvidence, seen: StartEvidence) -> StartEvidence:
    """Return what was counted since earlier sums.

    Args:
        totals: The sums now.
        seen: The earlier sums, which are greater if a router has died since.

    Example:
        >>> earlier = StartEvidence(in_time=5, late=1)
        >>> new = evidence_since(StartEvidence(in_time=3, late=4), earlier)
        >>> new.in_time, new.late
        (0, 3)
    """
    differences = zip(totals.encode(), seen.encode(), strict=True)
    return StartEvidence(*(max(0, number - before) for number, before in differences))


def coverage(totals: StartEvidence, routers: int) -> float:
    """Return the fraction of the routers that have reported.

    Args:
        totals: Evidence of all routers.
        routers: Number of routers.
    """
    reporting = max(1, totals.starting + totals.ended)
    return min(1.0, reporting / max(1, routers))


def has_usable_sums(totals: StartEvidence, routers: int) -> bool:
    """Return whether enough routers report for their sums to be used.

    Args:
        totals: Evidence of all routers.
        routers: Number of routers.
    """
    return coverage(totals, routers) > MIN_COVERAGE


def scale_to_all(totals: StartEvidence, routers: int) -> float:
    """Return the factor by which the answers of few routers stand for those of all.

    Args:
        totals: Evidence of all routers.
        routers: Number of routers.
    """
    if has_usable_sums(totals, routers):
        return 1.0
    return 1.0 / coverage(totals, routers)
