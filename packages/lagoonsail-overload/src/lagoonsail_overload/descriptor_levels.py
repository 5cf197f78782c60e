"""Load shedding by the number of file descriptors that are left.

Handles the load of more connections than a process may hold: callers that keep idle
connections or send half a request, and many slow answers of servers at once. Each level
adds an action to those of the levels before it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Level(IntEnum):
    """How short descriptors are."""

    NORMAL = 0
    """Enough are left."""
    ASK_TO_CLOSE = 1
    """Answers ask callers to close their connections."""
    CLOSE_IDLE = 2
    """Idle connections are closed, those to servers first."""
    BOUND_SERVERS = 3
    """A new connection to a server takes the place of an idle one."""
    REFUSE = 4
    """New callers get 503; a connection to a server is opened only in place of an idle
    one."""
    STOP_ACCEPTING = 5
    """No connection is accepted, and the router is not ready."""


LEVEL_NAMES = {
    Level.NORMAL: "normal",
    Level.ASK_TO_CLOSE: "close_kept",
    Level.CLOSE_IDLE: "close_idle",
    Level.BOUND_SERVERS: "bound_servers",
    Level.REFUSE: "refuse",
    Level.STOP_ACCEPTING: "stop_accepting",
}
"""Names of the levels in log lines, written out so that a search finds them. They stay
the same when a level of the code is renamed, for whoever filters by them."""
MIN_RESERVE = 8
"""Smallest reserve: the store's two connections, the readiness check, a scraper, and
four callers that are refused."""
MAX_RESERVE = 64
"""Largest reserve."""
RESERVE_DIVISOR = 16
"""Part of the limit that is the reserve."""
ASK_TO_CLOSE_DIVISOR = 4
"""Part of the limit, above the reserve, from which callers are asked to close."""
CLOSE_IDLE_DIVISOR = 8
"""Part of the limit, above the reserve, from which idle connections are closed."""
IDLE_SERVERS_DIVISOR = 4
"""Part of the limit that idle connections to servers may use."""


@dataclass(slots=True, frozen=True)
class Thresholds:
    """Numbers of descriptors left from which levels begin."""

    ask_to_close: int
    """Fewer are left: ASK_TO_CLOSE."""
    close_idle: int
    """Fewer are left: CLOSE_IDLE."""
    bound_servers: int
    """Fewer are left: BOUND_SERVERS."""
    reserve: int
    """No more are left: REFUSE. They are for accepting, readiness, the store, and
    refusals."""
    stop: int
    """No more are left: STOP_ACCEPTING."""


def thresholds_of(limit: int) -> Thresholds:
    """Return the thresholds of a limit.

    Args:
        limit: Descriptors that the process may have open.

    Example:
        >>> thresholds_of(56)
        Thresholds(ask_to_close=22, close_idle=15, bound_servers=12, reserve=8, stop=2)
        >>> thresholds_of(1438).reserve, thresholds_of(10_050).reserve
        (64, 64)
    """
    reserve = max(MIN_RESERVE, min(MAX_RESERVE, limit // RESERVE_DIVISOR))
    return Thresholds(
        reserve + limit // ASK_TO_CLOSE_DIVISOR,
        reserve + limit // CLOSE_IDLE_DIVISOR,
        reserve + reserve // 2,
        reserve,
        reserve // 4,
    )


def level_of(free: int, thresholds: Thresholds) -> Level:
    """Return the level at which a number of descriptors is left.

    Args:
        free: Descriptors that are left; negative if more are open than allowed.
        thresholds: The thresholds of the limit.
    """
    if free <= thresholds.stop:
        return Level.STOP_ACCEPTING
    if free <= thresholds.reserve:
        return Level.REFUSE
    if free < thresholds.bound_servers:
        return Level.BOUND_SERVERS
    if free < thresholds.close_idle:
        return Level.CLOSE_IDLE
    if free < thresholds.ask_to_close:
        return Level.ASK_TO_CLOSE
    return Level.NORMAL


def max_callers(limit: int, others: int, thresholds: Thresholds) -> int:
    """Return how many connections of callers may be served at once.

    Each may need a connection to a server, so callers get half of what is left beside
    the reserve and the descriptors of other use.

    Args:
        limit: Descriptors that the process may have open.
        others: Descriptors open for neither callers nor servers.
        thresholds: The thresholds of the limit.
    """
    return max(1, (limit - others - thresholds.reserve) // 2)


def max_refusals(thresholds: Thresholds) -> int:
    """Return how many callers may be refused at once; they use half of the reserve.

    Args:
        thresholds: The thresholds of the limit.
    """
    return thresholds.reserve // 2
