"""Expected cost of a request, from its hint and the costs of earlier requests.

Example:
    >>> estimate = CostEstimate()
    >>> estimate.expected_cost(hint=0.0, default=5.0)
    5.0
    >>> estimate.update(hint=0.0, cost=100.0)
    >>> estimate.expected_cost(hint=0.0, default=5.0)
    100.0
    >>> estimate.expected_cost(hint=900.0, default=5.0)
    400.0
"""

from __future__ import annotations

import math

HINT_FACTOR = 4.0
"""Hints are clamped to within this factor of the account's mean cost."""
LEARNING_RATE = 0.1
"""Weight of the newest cost in the moving average."""


class CostEstimate:
    """Mean cost of an account's requests, and the errors of hints and of the mean."""

    __slots__ = ("_hint_error", "_mean_cost", "_mean_error")

    def __init__(self) -> None:
        self._mean_cost = 0.0
        # Mean absolute log errors: log(actual / hint), log(actual / mean).
        self._hint_error = 0.0
        self._mean_error = 0.0

    def expected_cost(self, hint: float, default: float) -> float:
        """Return the expected cost of a request.

        Args:
            hint: Cost hint of the caller; 0 if none.
            default: Cost used without a hint and before any recorded cost.

        Returns:
            The hint, clamped to within a factor of the mean cost. The mean cost if
            there is no hint or if hints have been less accurate than the mean.
        """
        mean = self._mean_cost
        if self._hint_error > self._mean_error:
            hint = 0.0
        cost = hint or mean or default
        if not mean:
            return cost
        return min(max(cost, mean / HINT_FACTOR), mean * HINT_FACTOR)

    def update(self, hint: float, cost: float) -> None:
        """Record the actual cost of a request.

        Args:
            hint: Cost hint of the request; 0 if none.
            cost: Total cost, greater than 0.
        """
        if 0.0 < hint < math.inf and self._mean_cost:
            self._update_errors(hint, cost)
        self._mean_cost = update_mean(self._mean_cost, cost)

    def _update_errors(self, hint: float, cost: float) -> None:
        hint_error = abs(math.log(cost / hint))
        mean_error = abs(math.log(cost / self._mean_cost))
        self._hint_error += LEARNING_RATE * (hint_error - self._hint_error)
        self._mean_error += LEARNING_RATE * (mean_error - self._mean_error)


def update_mean(mean: float, cost: float) -> float:
    """Return the moving average after one more cost; a mean of 0 means no costs yet."""
    return mean + LEARNING_RATE * (cost - mean) if mean else cost
