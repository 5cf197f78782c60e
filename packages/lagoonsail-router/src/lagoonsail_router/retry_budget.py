"""Bounds retries to a share of the calls, so that they cannot multiply an overload."""

from __future__ import annotations

RESERVE = 10.0
"""Retries that are allowed beyond the share, for services with few calls."""


class RetryBudget:
    """Retries that one service may still make at this router.

    Example:
        >>> budget = RetryBudget(percent=10)
        >>> all(budget.take() for _ in range(10)), budget.take()
        (True, False)
        >>> for _ in range(10): budget.note_call()
        >>> budget.take()
        True
    """

    __slots__ = ("_available", "percent")

    percent: float
    """Retries allowed for each hundred calls."""

    def __init__(self, percent: float) -> None:
        self.percent = percent
        self._available = RESERVE

    def note_call(self) -> None:
        """Count a call, which earns a share of a retry."""
        earned = self._available + self.percent / 100.0
        self._available = min(RESERVE + self.percent, earned)

    def take(self) -> bool:
        """Use one retry if there is one.

        Returns:
            Whether the retry is allowed.
        """
        # The share is a sum of decimal fractions, hence the tolerance.
        if self._available < 1.0 - 1e-9:
            return False
        self._available -= 1.0
        return True
