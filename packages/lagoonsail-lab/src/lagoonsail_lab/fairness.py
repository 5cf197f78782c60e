"""Measurement: gap in normalised service between backlogged accounts."""

from __future__ import annotations

from itertools import combinations
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.backlog import (
    SERVICE,
    SETTLE_S,
    TOKENS,
    UnevenBalancer,
    collect_work,
    is_within,
    make_fleet,
    start_backlog,
    wait_until_full,
    waiting_spans,
)
from lagoonsail_lab.figures import AT_MOST, Measure, Series

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_lab.backlog import Work

FLOODING = "prensa"
"""The account that demands many times its share."""
SLICE_MS = 250.0
"""Duration of a time slice, milliseconds."""
MAX_FRACTION_OF_BASELINE = 0.1
"""Target: largest gap as a fraction of the baseline's."""


class ServiceCurves:
    """Normalised service of each account over time, and when it was backlogged."""

    __slots__ = ("backlogged", "served", "times_ms")

    times_ms: list[float]
    """Boundaries of the time slices, wall time."""
    served: dict[str, list[float]]
    """Normalised service since the first boundary, by account."""
    backlogged: dict[str, list[bool]]
    """Whether the account was backlogged throughout each slice, by account."""

    def __init__(
        self,
        work: Iterable[Work],
        shares: dict[str, float],
        from_ms: float,
        until_ms: float,
    ) -> None:
        count = int((until_ms - from_ms) / SLICE_MS)
        self.times_ms = [from_ms + SLICE_MS * i for i in range(count + 1)]
        by_account = {name: [] for name in shares}
        for item in work:
            by_account[item.account].append(item)
        self.served = {
            name: self._accumulate(by_account[name], share)
            for name, share in shares.items()
        }
        self.backlogged = {
            name: self._find_backlogged(by_account[name]) for name in shares
        }

    def _accumulate(self, work: list[Work], share: float) -> list[float]:
        sums = [sum(w.cost_until(time_ms) for w in work) for time_ms in self.times_ms]
        return [(total - sums[0]) / share for total in sums]

    def _find_backlogged(self, work: list[Work]) -> list[bool]:
        spans = waiting_spans(work)
        slices = zip(self.times_ms, self.times_ms[1:], strict=False)
        return [is_within(spans, begin_ms, end_ms) for begin_ms, end_ms in slices]

    def pair_gap(self, first: str, second: str) -> float:
        """Return the largest service difference over any interval with both backlogged.

        Args:
            first: One account.
            second: The other account.

        Returns:
            Difference in service received, cost per share.
        """
        differences = [
            a - b for a, b in zip(self.served[first], self.served[second], strict=True)
        ]
        largest = 0.0
        low = high = differences[0]
        for index, difference in enumerate(differences[1:]):
            if self.backlogged[first][index] and self.backlogged[second][index]:
                low, high = min(low, difference), max(high, difference)
                largest = max(largest, high - low)
            else:
                low = high = difference
        return largest

    def gaps(self) -> dict[tuple[str, str], float]:
        """Return the largest service difference of each pair of accounts."""
        return {pair: self.pair_gap(*pair) for pair in combinations(self.served, 2)}

    def spread(self) -> list[float]:
        """Return the difference between the most and least served account over time."""
        columns = zip(*self.served.values(), strict=True)
        return [max(column) - min(column) for column in columns]


def run_flood(is_baseline: bool, duration_s: float, seed: int) -> ServiceCurves:
    """Let one account flood a fleet and return the service of each account.

    Args:
        is_baseline: Whether to run baseline routers instead of the project's.
        duration_s: Duration of the observation, seconds.
        seed: Seed of the calls.

    Returns:
        The curves.
    """
    clock = Clock()
    with make_fleet(is_baseline) as fleet:
        service = fleet.deployments[0].find(SERVICE)
        routers = {name: router.callers for name, router in fleet.routers.items()}
        callers, threads = start_backlog(
            service,
            lambda number: UnevenBalancer(routers, number, seed + number),
            seed,
            FLOODING,
        )
        if is_baseline:
            eventlet.sleep(SETTLE_S)
        else:
            wait_until_full(fleet, service)
        from_ms = clock.wall_ms()
        eventlet.sleep(duration_s)
        until_wall_ms = clock.wall_ms()
        # Includes the calls that still wait; without them the end would look idle.
        work = collect_work(callers, fleet.records())
        for thread in threads:
            thread.kill()
    return ServiceCurves(work, service.accounts, from_ms, until_wall_ms)


def measure_fairness(duration_s: float, seed: int) -> Measure:
    """Measure the service gap of the project's routers and of the baseline.

    Args:
        duration_s: Duration of each observation, seconds.
        seed: Seed of the calls.

    Returns:
        The measurement.
    """
    measure = Measure("fairness", "time / s", "most less least served / (tokens/share)")
    gaps = {}
    for title, is_baseline in (("fleet", False), ("baseline", True)):
        curves = run_flood(is_baseline, duration_s, seed)
        gaps[title] = curves.gaps()
        seconds = [(t - curves.times_ms[0]) / 1000.0 for t in curves.times_ms]
        measure.curves.append(Series(title, seconds, curves.spread()))
        slices = [flag for flags in curves.backlogged.values() for flag in flags]
        backlogged_fraction = sum(slices) / len(slices)
        measure.add(
            f"{title}: slices with the account backlogged",
            backlogged_fraction,
            "of all",
        )
    _compare_with_targets(measure, gaps["fleet"], gaps["baseline"])
    return measure


def _compare_with_targets(measure: Measure, fleet: dict, baseline: dict) -> None:
    service = make_fleet(True).deployments[0].find(SERVICE)
    shares = service.accounts
    slots = service.slots * len(service.servers)

    def bound(pair: tuple[str, str]) -> float:
        # Twice inequality (1) of gap_bound, since the interval may begin at any time.
        return 2 * slots * TOKENS[1] / min(shares[name] for name in pair)

    unit = "tokens/share"
    smallest = min(shares, key=shares.get)
    largest_bound = bound((smallest, smallest))
    measure.add("fleet: largest gap", max(fleet.values()), unit, AT_MOST, largest_bound)
    fractions = [gap / bound(pair) for pair, gap in fleet.items()]
    measure.add(
        "fleet: largest gap of a pair", max(fractions), "of its bound", AT_MOST, 1
    )
    measure.add("baseline: largest gap", max(baseline.values()), unit)
    ratio = max(fleet.values()) / max(baseline.values())
    target = MAX_FRACTION_OF_BASELINE
    measure.add("fleet: largest gap", ratio, "of baseline's", AT_MOST, target)
