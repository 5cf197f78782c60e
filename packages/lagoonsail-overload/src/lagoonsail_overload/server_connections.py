"""Whether a connection to a server may be opened, and how many a server takes.

Handles the load of many slow answers at once, in which each request needs a connection,
and servers that reset connections beyond their limit.
"""

from __future__ import annotations

import math

OPEN = "open"
"""A connection may be opened."""
CLOSE_IDLE = "close_idle"
"""An idle connection to any server must be closed first."""
CLOSE_IDLE_HERE = "close_idle_here"
"""An idle connection to the same server must be closed first."""
WAIT = "wait"
"""A connection must become free first."""

LEARNED_LIMIT_MS = 5000.0
"""How long a server that reset a new connection gets no more connections than it had:
it may have reset the connection for those of other routers, which change."""


def decide_opening(
    free: int,
    bound_servers: int,
    reserve: int,
    open_here: int,
    max_here: float,
    *,
    is_idle_here: bool,
    is_idle_anywhere: bool,
) -> str:
    """Return whether a new connection to a server may be opened.

    Args:
        free: Descriptors that are left.
        bound_servers: Fewer are left: a new connection replaces an idle one.
        reserve: No more are left: a connection is opened only in place of an idle
            one.
        open_here: Connections to the server.
        max_here: How many this router may have.
        is_idle_here: Whether one of them is idle, though the request may not use it.
        is_idle_anywhere: Whether a connection to any server is idle.

    Returns:
        OPEN, CLOSE_IDLE, CLOSE_IDLE_HERE or WAIT.
    """
    if open_here >= max_here:
        return CLOSE_IDLE_HERE if is_idle_here else WAIT
    if free < bound_servers and is_idle_anywhere:
        return CLOSE_IDLE
    return OPEN if free > reserve else WAIT


def is_connection_limit(
    *, is_new: bool, has_data: bool, is_timeout: bool, others_open: int
) -> bool:
    """Return whether a lost connection shows a limit of connections, not a failure.

    A server that takes no more connections resets a new one before it sends anything,
    while it keeps the older ones. A server that fails loses the older ones as well,
    which count as its failures.

    Args:
        is_new: Whether the connection carried its first request.
        has_data: Whether the server sent anything on it.
        is_timeout: Whether the server was silent instead of resetting it.
        others_open: Other connections of this router to the server.
    """
    return is_new and not has_data and not is_timeout and others_open > 0


class LearnedLimits:
    """Limits of connections that servers have shown by resetting new ones."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits: dict[object, tuple[int, float]] = {}

    def record_reset(self, server: object, kept_count: int, now_ms: float) -> None:
        """Note that a server reset a new connection.

        Args:
            server: Key of the server.
            kept_count: Connections to it that stay open.
            now_ms: Monotonic time.
        """
        self._limits[server] = (max(1, kept_count), now_ms + LEARNED_LIMIT_MS)

    def limit_of(self, server: object, now_ms: float) -> float:
        """Return how many connections a server takes, infinity if it has shown none.

        Args:
            server: Key of the server.
            now_ms: Monotonic time.
        """
        limit, expires_ms = self._limits.get(server, (math.inf, math.inf))
        if now_ms < expires_ms:
            return limit
        del self._limits[server]
        return math.inf

    def remove(self, server: object) -> None:
        """Forget a server that has left.

        Args:
            server: Key of the server.
        """
        self._limits.pop(server, None)
