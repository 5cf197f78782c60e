"""The client connection of the request that the current green thread handles."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_core.socket_input import is_closed_by_peer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_green_thread_local = eventlet.corolocal.local()


def is_caller_gone() -> bool:
    """Return whether the caller has closed the connection, without blocking."""
    return is_closed_by_peer(_green_thread_local.connection.fd)


def close_caller_connection() -> None:
    """Close the connection of the request that this green thread handles."""
    try:
        _green_thread_local.connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller has already closed it.
        return


def remember_connection(app: Callable) -> Callable:
    """Wrap an application such that it stores the connection of each request.

    Args:
        app: WSGI application.
    """

    def app_with_connection(environ: dict, start_response: Callable) -> Iterable[bytes]:
        _green_thread_local.connection = environ["eventlet.input"].get_socket()
        return app(environ, start_response)

    return app_with_connection
