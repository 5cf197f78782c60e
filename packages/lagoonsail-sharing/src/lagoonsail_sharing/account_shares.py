"""Max-min fair shares of client accounts, from sums exchanged between all routers.

Handles an account that floods all hosts, and accounts whose demand changes within
seconds. Each router keeps exponentially decaying sums of requested and admitted work
per account. The total of the fleet is the sum over all routers; losing a router loses
only its own sums, and receiving the same sums twice has no effect.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

DECAY_TIME_MS = 1500.0
"""Time in which a sum decays to 1/e of its value."""
MIN_SUM = 1.0
"""Sums below this are dropped."""


class DecayingSums:
    """Exponentially decaying sum of amounts for each account.

    Example:
        >>> sums = DecayingSums()
        >>> sums.add("a", 100.0, now_ms=0.0)
        >>> round(sums.value("a", now_ms=DECAY_TIME_MS), 1)
        36.8
    """

    __slots__ = ("_sums", "_updated_ms")

    def __init__(self) -> None:
        self._sums: dict[str, float] = {}
        self._updated_ms: dict[str, float] = {}

    def add(self, account: str, amount: float, now_ms: float) -> None:
        """Add to an account's sum.

        Args:
            account: The account.
            amount: Amount to add.
            now_ms: Monotonic time.
        """
        self._sums[account] = self.value(account, now_ms) + amount
        self._updated_ms[account] = now_ms

    def value(self, account: str, now_ms: float) -> float:
        """Return the current sum of an account."""
        if account not in self._sums:
            return 0.0
        age_ms = now_ms - self._updated_ms[account]
        return self._sums[account] * math.exp(-age_ms / DECAY_TIME_MS)

    def values(self, now_ms: float) -> dict[str, float]:
        """Return all current sums and drop negligible ones."""
        self.drop_negligible(now_ms)
        return {account: self.value(account, now_ms) for account in self._sums}

    def drop_negligible(self, now_ms: float) -> None:
        """Drop the sums that have decayed below `MIN_SUM`.

        Args:
            now_ms: Monotonic time.
        """
        for account in list(self._sums):
            if self.value(account, now_ms) < MIN_SUM:
                del self._sums[account], self._updated_ms[account]

    def recently_updated(self, now_ms: float, age_ms: float) -> dict[str, float]:
        """Return the current sums of accounts with a recent addition.

        Args:
            now_ms: Monotonic time.
            age_ms: Maximum age of the last addition.
        """
        return {
            account: self.value(account, now_ms)
            for account, updated_ms in self._updated_ms.items()
            if updated_ms >= now_ms - age_ms
        }


class FleetSums:
    """Sums of all other routers: the last reported values, decayed since.

    A reported sum replaces the previous sum of the same router and incarnation. Sums
    that a router reported before it restarted or fell silent decay like all others.

    Example:
        >>> sums = FleetSums()
        >>> sums.apply_report("r1", 1, {"a": 100.0}, now_ms=0.0)
        >>> sums.apply_report("r2", 1, {"a": 50.0}, now_ms=0.0)
        >>> sums.apply_report("r1", 1, {"a": 70.0}, now_ms=0.0)
        >>> sums.value("a", now_ms=0.0)
        120.0
    """

    __slots__ = ("_sums_by_router", "_total")

    def __init__(self) -> None:
        self._total = DecayingSums()
        self._sums_by_router: dict[str, tuple[int, DecayingSums]] = {}

    def apply_report(
        self, router: str, incarnation: int, sums: Mapping[str, float], now_ms: float
    ) -> None:
        """Apply the sums reported by a router.

        Args:
            router: The reporting router.
            incarnation: Incarnation of the router.
            sums: Some of its sums; those not included decay.
            now_ms: Monotonic time.
        """
        known = self._sums_by_router.get(router)
        if known is None or known[0] != incarnation:
            known = self._sums_by_router[router] = (incarnation, DecayingSums())
        reported = known[1]
        for account, value in sums.items():
            change = value - reported.value(account, now_ms)
            reported.add(account, change, now_ms)
            self._total.add(account, change, now_ms)
        reported.drop_negligible(now_ms)

    def forget(self, router: str) -> None:
        """Forget the last report of an unreachable router; its sums decay.

        Args:
            router: The unreachable router.
        """
        self._sums_by_router.pop(router, None)

    def value(self, account: str, now_ms: float) -> float:
        """Return the current sum of an account."""
        return max(0.0, self._total.value(account, now_ms))

    def values(self, now_ms: float) -> dict[str, float]:
        """Return all current sums and drop negligible ones."""
        return self._total.values(now_ms)


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair level: each account gets its demand up to the level.

    Args:
        demands: Demand of each account.
        capacity: Total capacity, in the unit of the demands.

    Returns:
        The level; infinite if the capacity covers all demands.

    Example:
        >>> max_min_level([10.0, 20.0, 90.0], capacity=70.0)
        40.0
        >>> max_min_level([1.0, 2.0], capacity=10.0)
        inf
    """
    remaining = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if demand > level:
            return level
        remaining -= demand
    return math.inf
