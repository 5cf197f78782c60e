"""Limits retries to a share of the calls, so that they do not amplify an overload."""

from __future__ import annotations

RESERVE_RETRIES = 10.0
"""Retries allowed beyond the share, for services with few calls."""


class RetryBudget:
    """Retries that this router may still make for one service.

    Example:
        >>> budget = RetryBudget(percent=10)
        >>> all(budget.try_spend() for _ in range(10)), budget.try_spend()
        (True, False)
        >>> for _ in range(10): budget.record_call()
        >>> budget.try_spend()
        True
    """

    __slots__ = ("_available", "percent")

    percent: float
    """Retries allowed per hundred calls."""

    def __init__(self, percent: float) -> None:
        self.percent = percent
        self._available = RESERVE_RETRIES

    def record_call(self) -> None:
        """Record a call, which adds a fraction of a retry to the budget."""
        available = self._available + self.percent / 100.0
        self._available = min(RESERVE_RETRIES + self.percent, available)

    def try_spend(self) -> bool:
        """Spend one retry if the budget allows it.

        Returns:
            Whether the retry is allowed.
        """
        # The tolerance covers rounding errors of the summed fractions.
        if self._available < 1.0 - 1e-9:
            return False
        self._available -= 1.0
        return True
