"""What happens to a caller's new connection, and which idle one is closed for it.

Handles the load of callers that open connections and send nothing, half a request head,
or no further request. A request that has been read is never ended.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

SERVE = "serve"
"""The connection is served."""
REPLACE = "replace"
"""The connection is served in place of an idle one, which is closed."""
REFUSE = "refuse"
"""The request gets 503 and the connection is closed."""

MIN_KEPT_IDLE_MS = 500.0
"""Idle time from which a kept connection may be closed: a caller that uses it again at
once is not disturbed."""
MAX_HEAD_MS = 3000.0
"""Time that a caller may take for the head of its first request."""
MIN_HEAD_MS = 1000.0
"""The same while callers are turned away."""


class IdleState(Protocol):
    """What the choice needs to know of a connection."""

    is_busy: bool
    """Whether a request has been read and is not answered yet."""
    is_closing: bool
    """Whether the connection has been shut down already."""
    requests: int
    """Requests that it has carried."""
    idle_since_ms: float
    """When it was accepted, or its last answer was written."""


def decide_caller(
    open_count: int, max_open: int, free: int, reserve: int, *, has_idle: bool
) -> str:
    """Return what happens to a new connection.

    Args:
        open_count: Connections of callers that are served.
        max_open: How many may be served at once.
        free: Descriptors that are left, the new connection's already taken off.
        reserve: Descriptors that are not for callers.
        has_idle: Whether an idle connection may be closed; see `idle_in_order`.

    Returns:
        SERVE, REPLACE or REFUSE.
    """
    if open_count < max_open and free >= reserve:
        return SERVE
    return REPLACE if has_idle else REFUSE


def idle_in_order(
    connections: Iterable[IdleState], now_ms: float, *, is_refusing: bool
) -> list[IdleState]:
    """Return the connections that may be closed, the one to be closed first first.

    Connections that have not sent a whole head in time come first, then those that have
    been idle the longest.

    Args:
        connections: The connections of callers.
        now_ms: Monotonic time.
        is_refusing: Whether callers would be turned away otherwise, so that less time
            is granted for a head.
    """
    max_head_ms = MIN_HEAD_MS if is_refusing else MAX_HEAD_MS
    found = []
    for connection in connections:
        if connection.is_busy or connection.is_closing:
            continue
        idle_ms = now_ms - connection.idle_since_ms
        if idle_ms >= (MIN_KEPT_IDLE_MS if connection.requests else max_head_ms):
            found.append(connection)
    found.sort(
        key=lambda connection: (connection.requests > 0, connection.idle_since_ms)
    )
    return found
