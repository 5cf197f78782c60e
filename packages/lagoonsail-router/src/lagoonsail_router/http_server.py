"""The HTTP ports of a router: listening, and serving an application."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_router.http_port import make_protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.open_connections import OpenConnections

BACKLOG = 1024
"""Connections that wait to be accepted."""


class AddressInUseError(LagoonsailError):
    """An address of the settings cannot be listened on."""


def listen(address: str) -> green_socket.socket:
    """Open a port.

    Args:
        address: IP number and port.

    Returns:
        The listening socket.

    Raises:
        AddressInUseError: If the address cannot be listened on.
    """
    host, port = address.rsplit(":", 1)
    sock = green_socket.socket()
    sock.setsockopt(green_socket.SOL_SOCKET, green_socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError as error:
        what = "in use" if error.errno == errno.EADDRINUSE else str(error)
        raise AddressInUseError(
            f"cannot listen on {address}: {what}",
            "free the address or choose another in [listen] of the settings",
        ) from error
    sock.listen(BACKLOG)
    return sock


def start_serving(
    sock: green_socket.socket,
    application: Callable,
    connections: OpenConnections,
    silence_ms: float,
    on_refused: Callable[[str], None],
) -> None:
    """Serve an application in a task of its own.

    Args:
        sock: The listening socket.
        application: WSGI application.
        connections: Bounds and counts the connections.
        silence_ms: How long a connection may be silent.
        on_refused: Called with the kind of each request that is not well-formed.
    """
    eventlet.spawn_n(
        eventlet.wsgi.server,
        sock,
        application,
        max_size=connections.most,
        protocol=make_protocol(on_refused, connections),
        log_output=False,
        debug=False,
        minimum_chunk_size=1,
        socket_timeout=silence_ms / 1000.0,
    )
