"""The clock that every part of the system reads, in milliseconds."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_RATE_ERROR = 0.01
"""Largest relative difference assumed between the rates of two hosts' clocks."""


def _read_boot_ms() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def _read_wall_ms() -> float:
    return time.time() * 1000.0


class Clock:
    """Monotonic and wall time in milliseconds.

    The monotonic reading includes time during which the host was suspended, so that
    a lease cannot outlive a suspend. Wall time is for display only.

    Example:
        >>> clock = Clock(read_monotonic_ms=lambda: 5.0, read_wall_ms=lambda: 9.0)
        >>> clock.now_ms(), clock.wall_ms()
        (5.0, 9.0)
    """

    __slots__ = ("now_ms", "wall_ms")

    now_ms: Callable[[], float]
    """Monotonic time in milliseconds; comparable within one host only."""
    wall_ms: Callable[[], float]
    """Milliseconds since the Unix epoch, for display."""

    def __init__(
        self,
        read_monotonic_ms: Callable[[], float] = _read_boot_ms,
        read_wall_ms: Callable[[], float] = _read_wall_ms,
    ) -> None:
        self.now_ms = read_monotonic_ms
        self.wall_ms = read_wall_ms


def shortest_ms(duration_ms: float) -> float:
    """Return the part of a duration that has passed on no clock too early.

    Use it for the holder of a right: the holder must stop first.

    Args:
        duration_ms: Duration by the granting host's clock.

    Returns:
        The duration reduced by the largest assumed clock rate error.
    """
    return duration_ms * (1.0 - MAX_RATE_ERROR)


def longest_ms(duration_ms: float) -> float:
    """Return the time after which a duration has passed on every clock.

    Use it for whoever waits until another host's right has run out.

    Args:
        duration_ms: Duration by the other host's clock.

    Returns:
        The duration extended by the largest assumed clock rate error.
    """
    return duration_ms * (1.0 + MAX_RATE_ERROR)
