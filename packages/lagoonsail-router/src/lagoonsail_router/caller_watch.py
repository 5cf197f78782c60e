"""Notices when a caller has gone away while its call waits or runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import green_socket

if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_INTERVAL_MS = 200.0
"""Time between two looks at a caller's connection."""


def make_caller_watch(env: dict) -> Callable[[], bool]:
    """Return a function that tells whether the caller has closed its connection.

    Args:
        env: The WSGI environment of the caller's request, whose body has been read.

    Returns:
        A function that never blocks.
    """
    source = env.get("eventlet.input")
    get_socket = getattr(source, "get_socket", None)
    sock = get_socket() if get_socket else None
    descriptor = getattr(sock, "fd", sock)

    def is_gone() -> bool:
        if descriptor is None:
            return False
        flags = green_socket.MSG_PEEK | green_socket.MSG_DONTWAIT
        try:
            return descriptor.recv(1, flags) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    return is_gone
