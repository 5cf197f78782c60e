"""What a backend server reports of its load, and the delay expected at a plain server.

Designed for bursts at plain services, whose requests queue at servers with few slots,
and for many routers that read the same reports. A report is as old as the answer that
carried it and is overtaken by what was sent since, so its weight falls with its age.
Differences that the age of the figures may explain are treated as none, and the choice
among such servers is random: otherwise all routers would choose the same one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

REPORT_EXPIRY_MS = 500.0
"""Age at which a report of running and waiting requests is no longer used."""
MAX_REPORTED_REQUESTS = 10_000
"""Bound of reported figures, against false ones."""
BUSY_WEIGHT = 0.25
"""Extra time of an answer on a server with all slots in use but no queue, relative to
an idle one: the more slots are in use, the sooner a burst queues."""
EQUAL_ANSWER_MS = 3.0
"""Difference of the times of answers up to which servers count as equally fast: it is
that of the network and of the moment at which each was measured."""
EQUAL_ANSWER_FACTOR = 1.15
"""Factor between the times of answers up to which they count as equally fast."""
OTHER_DOMAIN_MS = 2.0
"""Extra delay of a server in another failure domain, for the way there and back."""
STALE_FRACTION = 0.3
"""Standard error of the reported number of other routers' requests, relative to its
square root: requests come and go while a digest is on its way."""


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that a server reports in an answer."""

    running: int
    """Number of running requests."""
    waiting: int
    """Number of requests waiting for a slot."""
    slots: int
    """Number of requests that can run concurrently."""
    slowdown: float | None = None
    """How long work takes there at this moment, relative to the usual time; None if
    not reported."""


class ReportedLoad:
    """The last report of one server, with its age.

    Example:
        >>> reported = ReportedLoad()
        >>> reported.record(LoadReport(6, 3, slots=6), own_running=1, now_ms=0.0)
        >>> reported.requests_there(own_running=2, others_running=0, now_ms=0.0)
        10.0
        >>> reported.requests_there(own_running=2, others_running=0, now_ms=500.0)
        2.0
    """

    __slots__ = ("_own_running", "_received_ms", "_requests", "slots")

    slots: int
    """Reported number of slots, 0 if there was no report."""

    def __init__(self) -> None:
        self._own_running = 0
        self._received_ms = -math.inf
        self._requests = 0
        self.slots = 0

    def record(self, report: LoadReport, own_running: int, now_ms: float) -> None:
        """Record a report.

        Args:
            report: The report.
            own_running: Requests of this router that run there now.
            now_ms: The time.
        """
        self.slots = min(report.slots, MAX_REPORTED_REQUESTS)
        self._requests = min(report.running + report.waiting, MAX_REPORTED_REQUESTS)
        self._own_running = own_running
        self._received_ms = now_ms

    def requests_there(
        self, own_running: int, others_running: int, now_ms: float
    ) -> float:
        """Return the number of requests that run or wait there.

        Args:
            own_running: Requests of this router that run there now.
            others_running: Those of the other routers, by their digests.
            now_ms: The time.
        """
        known = own_running + others_running
        freshness = 1.0 - (now_ms - self._received_ms) / REPORT_EXPIRY_MS
        if freshness <= 0.0:
            return float(known)
        since = own_running - self._own_running
        reported = max(own_running, self._requests + since)
        return known + freshness * (reported - known)


@dataclass(slots=True)
class PlainLoad:
    """Load of a plain server, for `choose_plain`."""

    requests: float
    """Requests that run or wait there."""
    others_running: int
    """Requests of other routers among them, by their digests."""
    slots: int
    """Its slots, 1 if unknown."""
    answer_ms: float
    """Time of an answer without a queue."""
    is_near: bool = True
    """Whether it is in the failure domain of this router."""

    def delay_ms(self, answer_ms: float) -> float:
        """Return the expected time until an answer to one more request.

        Args:
            answer_ms: Time of an answer without a queue.

        Example:
            >>> [PlainLoad(n, 0, 4, 50.0).delay_ms(50.0) for n in (0, 3, 7)]
            [50.0, 59.375, 121.875]
        """
        rounds = queue_rounds(self.requests, self.slots)
        rounds += BUSY_WEIGHT * self.requests / self.slots
        return rounds * answer_ms + (0.0 if self.is_near else OTHER_DOMAIN_MS)

    def error_ms(self) -> float:
        """Return the standard error of the delay due to the age of the digests."""
        error = STALE_FRACTION * math.sqrt(self.others_running)
        return error * self.answer_ms / self.slots


def queue_rounds(requests: float, slots: int) -> float:
    """Return the time of an answer behind others, relative to one without a queue.

    Args:
        requests: Requests that run or wait there.
        slots: Number of slots.

    Example:
        >>> [queue_rounds(n, 4) for n in (0, 3, 4, 7)]
        [1.0, 1.0, 1.25, 2.0]
    """
    return 1.0 + max(0.0, requests + 1.0 - slots) / slots


def choose_plain(loads: Sequence[PlainLoad], random_value: Callable[[], float]) -> int:
    """Return the index of a server for a plain request.

    It is the one with the least expected delay. Among those whose difference is within
    the error of the figures it is chosen at random, the sooner the likelier.

    Args:
        loads: Loads of the servers, at least one.
        random_value: Returns a random number from 0 up to 1.
    """
    fastest_ms = min(load.answer_ms for load in loads)
    equal_ms = max(fastest_ms + EQUAL_ANSWER_MS, fastest_ms * EQUAL_ANSWER_FACTOR)
    delays = [
        load.delay_ms(fastest_ms if load.answer_ms <= equal_ms else load.answer_ms)
        for load in loads
    ]
    least_ms = min(delays)
    error_ms = loads[delays.index(least_ms)].error_ms()
    weights = [
        _weight(delay_ms - least_ms, max(error_ms, load.error_ms()))
        for delay_ms, load in zip(delays, loads, strict=True)
    ]
    point = random_value() * sum(weights)
    for index, weight in enumerate(weights):
        point -= weight
        if point < 0.0:
            return index
    return delays.index(least_ms)


def _weight(excess_ms: float, error_ms: float) -> float:
    if excess_ms <= 0.0:
        return 1.0
    if excess_ms >= 3.0 * error_ms:
        return 0.0
    return math.exp(-0.5 * (excess_ms / error_ms) ** 2)
