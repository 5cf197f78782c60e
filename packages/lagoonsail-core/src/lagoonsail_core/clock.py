"""Monotonic and wall clock of a process, in milliseconds."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_CLOCK_RATE_ERROR = 0.01
"""Largest assumed relative difference between the clock rates of two hosts."""


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


def lower_bound_ms(duration_ms: float) -> float:
    """Return a duration shortened by the largest assumed clock rate error.

    Use it on the host that holds a lease or promise: the holder must stop before the
    duration has passed on any other host's clock.

    Args:
        duration_ms: Duration by the granting host's clock, in milliseconds.

    Returns:
        The shortened duration in milliseconds.
    """
    return duration_ms * (1.0 - MAX_CLOCK_RATE_ERROR)


def upper_bound_ms(duration_ms: float) -> float:
    """Return a duration extended by the largest assumed clock rate error.

    Use it on a host that waits for another host's lease or promise to expire: after
    the extended duration it has expired on every clock.

    Args:
        duration_ms: Duration by the other host's clock, in milliseconds.

    Returns:
        The extended duration in milliseconds.
    """
    return duration_ms * (1.0 + MAX_CLOCK_RATE_ERROR)
