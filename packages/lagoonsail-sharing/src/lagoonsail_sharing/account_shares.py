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
    from collections.abc import Iterable

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
        current = {account: self.value(account, now_ms) for account in self._sums}
        for account, value in current.items():
            if value < NEGLIGIBLE:
                del self._sums[account], self._updated_ms[account]
        return {a: value for a, value in current.items() if value >= NEGLIGIBLE}


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
