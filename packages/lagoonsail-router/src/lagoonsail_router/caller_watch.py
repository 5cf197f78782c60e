"""Detects callers that disconnect while their call waits or runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.socket_input import is_closed_by_peer

if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_INTERVAL_MS = 200.0
"""Interval of checks of a caller's connection."""


def make_caller_watch(env: dict) -> Callable[[], bool]:
    """Return a function that checks whether the caller has closed its connection.

    Args:
        env: The WSGI environment of the caller's request, whose body has been read.

    Returns:
        A function that never blocks.
    """
    body_input = env.get("eventlet.input")
    get_socket = getattr(body_input, "get_socket", None)
    sock = get_socket() if get_socket else None
    raw_socket = getattr(sock, "fd", sock)

    def is_gone() -> bool:
        return raw_socket is not None and is_closed_by_peer(raw_socket)

    return is_gone
