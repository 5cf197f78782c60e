"""Opens HTTP ports and serves WSGI applications on them."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_router.http_port import make_protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.open_connections import OpenConnections
    from lagoonsail_router.port_limits import PortLimits

BACKLOG = 1024
"""Connections that may wait to be accepted."""


class AddressInUseError(LagoonsailError):
    """The router cannot listen on an address of the settings."""


def listen(address: str) -> green_socket.socket:
    """Open a port.

    Args:
        address: IP address and port.

    Returns:
        The listening socket.

    Raises:
        AddressInUseError: If listening on the address fails.
    """
    host, port = address.rsplit(":", 1)
    sock = green_socket.socket()
    sock.setsockopt(green_socket.SOL_SOCKET, green_socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError as error:
        reason = "in use" if error.errno == errno.EADDRINUSE else str(error)
        raise AddressInUseError(
            f"cannot listen on {address}: {reason}",
            "free the address or choose another in [listen] of the settings",
        ) from error
    sock.listen(BACKLOG)
    return sock


def start_serving(
    sock: green_socket.socket,
    application: Callable,
    connections: OpenConnections,
    idle_timeout_ms: float,
    on_refused: Callable[[str], None],
    limits: PortLimits | None = None,
) -> None:
    """Serve an application in a new task.

    Args:
        sock: The listening socket.
        application: WSGI application.
        connections: Limit and counter of open connections.
        idle_timeout_ms: How long a connection may stay idle.
        on_refused: Called with the problem kind of each malformed request.
        limits: Limits on what a connection may send, None for usual ones.
    """

    def serve() -> None:
        # Accepting is cheap, and the kernel refuses callers while its queue is full.
        mark_urgent()
        eventlet.wsgi.server(
            sock,
            application,
            max_size=connections.max_count,
            protocol=make_protocol(on_refused, connections, limits),
            log_output=False,
            debug=False,
            minimum_chunk_size=1,
            socket_timeout=idle_timeout_ms / 1000.0,
        )

    eventlet.spawn_n(serve)
