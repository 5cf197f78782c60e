"""What a request is expected to cost, from its hint and the costs before it.

Example:
    >>> estimate = CostEstimate()
    >>> estimate.of(hint=0.0, default=5.0)
    5.0
    >>> estimate.learn(hint=0.0, cost=100.0)
    >>> estimate.of(hint=0.0, default=5.0), estimate.of(hint=900.0, default=5.0)
    (100.0, 400.0)
"""

from __future__ import annotations

import math

HINT_FACTOR = 4.0
"""A hint is used within this factor of the account's mean cost."""
LEARNING_RATE = 0.1
"""Weight of the newest cost in the mean cost of an account."""


class CostEstimate:
    """Mean cost of an account's requests, and how far hints and the mean were off."""

    __slots__ = ("_hint_error", "_mean_cost", "_mean_error")

    def __init__(self) -> None:
        self._mean_cost = 0.0
        # Mean absolute logarithms of how far hints and the mean cost were off.
        self._hint_error = 0.0
        self._mean_error = 0.0

    def of(self, hint: float, default: float) -> float:
        """Return the expected cost of a request.

        Args:
            hint: The caller's hint; 0 where there is none.
            default: Cost where there is neither a hint nor any cost to learn from.

        Returns:
            The hint, held within a factor of the mean cost; the mean cost where there
            is no hint, or where hints have been further off than the mean was.
        """
        mean = self._mean_cost
        if self._hint_error > self._mean_error:
            hint = 0.0
        cost = hint or mean or default
        if not mean:
            return cost
        return min(max(cost, mean / HINT_FACTOR), mean * HINT_FACTOR)

    def learn(self, hint: float, cost: float) -> None:
        """Note what a request has cost.

        Args:
            hint: The hint that it came with; 0 where there was none.
            cost: Its whole cost, greater than 0.
        """
        if 0.0 < hint < math.inf and self._mean_cost:
            self._learn_errors(hint, cost)
        self._mean_cost = update_mean(self._mean_cost, cost)

    def _learn_errors(self, hint: float, cost: float) -> None:
        hint_error = abs(math.log(cost / hint))
        mean_error = abs(math.log(cost / self._mean_cost))
        self._hint_error += LEARNING_RATE * (hint_error - self._hint_error)
        self._mean_error += LEARNING_RATE * (mean_error - self._mean_error)


def update_mean(mean: float, cost: float) -> float:
    """Return the mean cost after one more cost; a mean of 0 is none yet."""
    return mean + LEARNING_RATE * (cost - mean) if mean else cost
