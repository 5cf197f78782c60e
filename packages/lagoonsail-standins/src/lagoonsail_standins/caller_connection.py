"""The connection of the request that a green thread answers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_local = eventlet.corolocal.local()


def is_caller_gone() -> bool:
    """Return whether the caller has closed the connection; never waits."""
    try:
        seen = _local.connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not seen


def drop_caller() -> None:
    """Close the connection of the request that this green thread answers."""
    try:
        _local.connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller closed it first.
        return


def keep_connection(app: Callable) -> Callable:
    """Return an application that remembers the connection of each request.

    Args:
        app: WSGI application.
    """

    def watched_app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        _local.connection = environ["eventlet.input"].get_socket()
        return app(environ, start_response)

    return watched_app
