"""Percentiles of measured values."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def percentile(values: Iterable[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method.

    Args:
        values: Any numbers.
        percent: Between 0 and 100.

    Returns:
        The percentile; 0 if there are no values.

    Example:
        >>> percentile([3.0, 1.0, 2.0], 50)
        2.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, ceil(len(ordered) * percent / 100.0) - 1)]
