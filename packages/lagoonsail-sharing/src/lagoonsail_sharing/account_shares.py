"""Max-min shares of client accounts, from sums that all routers tell each other.

Answers a flood by one account from all hosts, and accounts that change their demand
within seconds. Each router keeps, for each account, sums of what was asked and what was
admitted, which fade with time. A sum of sums is the fleet's; a router that is lost
takes only its own with it, and one that is heard twice changes nothing.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

FADE_MS = 1500.0
"""Time in which a sum fades to 1/e of its value."""
NEGLIGIBLE = 1.0
"""Sums below this are forgotten."""


class FadingSums:
    """What the requests of each account took, the newest counted most.

    Example:
        >>> sums = FadingSums()
        >>> sums.add("a", 100.0, now_ms=0.0)
        >>> round(sums.value("a", now_ms=FADE_MS), 1)
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
            amount: What to add.
            now_ms: Monotonic time.
        """
        self._sums[account] = self.value(account, now_ms) + amount
        self._updated_ms[account] = now_ms

    def value(self, account: str, now_ms: float) -> float:
        """Return an account's sum as of now."""
        if account not in self._sums:
            return 0.0
        age_ms = now_ms - self._updated_ms[account]
        return self._sums[account] * math.exp(-age_ms / FADE_MS)

    def values(self, now_ms: float) -> dict[str, float]:
        """Return all sums as of now, and forget those that have faded."""
        self.forget_faded(now_ms)
        return {account: self.value(account, now_ms) for account in self._sums}

    def forget_faded(self, now_ms: float) -> None:
        """Forget the sums that are negligible by now.

        Args:
            now_ms: Monotonic time.
        """
        for account in list(self._sums):
            if self.value(account, now_ms) < NEGLIGIBLE:
                del self._sums[account], self._updated_ms[account]

    def recent(self, now_ms: float, age_ms: float) -> dict[str, float]:
        """Return the sums, as of now, of the accounts that were added to lately.

        Args:
            now_ms: Monotonic time.
            age_ms: Age of the oldest addition that counts.
        """
        return {
            account: self.value(account, now_ms)
            for account, updated_ms in self._updated_ms.items()
            if updated_ms >= now_ms - age_ms
        }


class FleetSums:
    """The sums of all other routers, each as it told last and faded since.

    A sum that was told replaces the one that the same router told before; what a router
    told before it started anew, or fell silent, fades like all others.

    Example:
        >>> sums = FleetSums()
        >>> sums.note_told("r1", 1, {"a": 100.0}, now_ms=0.0)
        >>> sums.note_told("r2", 1, {"a": 50.0}, now_ms=0.0)
        >>> sums.note_told("r1", 1, {"a": 70.0}, now_ms=0.0)
        >>> sums.value("a", now_ms=0.0)
        120.0
    """

    __slots__ = ("_told", "_total")

    def __init__(self) -> None:
        self._total = FadingSums()
        self._told: dict[str, tuple[int, FadingSums]] = {}

    def note_told(
        self, router: str, incarnation: int, sums: Mapping[str, float], now_ms: float
    ) -> None:
        """Take over what a router told.

        Args:
            router: The router.
            incarnation: Number of its start.
            sums: Some of its sums; the others fade.
            now_ms: Monotonic time.
        """
        known = self._told.get(router)
        if known is None or known[0] != incarnation:
            known = self._told[router] = (incarnation, FadingSums())
        told = known[1]
        for account, value in sums.items():
            change = value - told.value(account, now_ms)
            told.add(account, change, now_ms)
            self._total.add(account, change, now_ms)
        told.forget_faded(now_ms)

    def forget(self, router: str) -> None:
        """Note that a router is not heard any more.

        Args:
            router: The router.
        """
        self._told.pop(router, None)

    def value(self, account: str, now_ms: float) -> float:
        """Return an account's sum as of now."""
        return max(0.0, self._total.value(account, now_ms))

    def values(self, now_ms: float) -> dict[str, float]:
        """Return all sums as of now, and forget those that have faded."""
        return self._total.values(now_ms)


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min level: no account gets more, and none less that asks for it.

    Args:
        demands: What each account asks for.
        capacity: What there is for all.

    Returns:
        The level, infinite if all demands fit.

    Example:
        >>> fair_level([10.0, 20.0, 90.0], capacity=70.0)
        40.0
        >>> fair_level([1.0, 2.0], capacity=10.0)
        inf
    """
    left = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return level
        left -= demand
    return math.inf
