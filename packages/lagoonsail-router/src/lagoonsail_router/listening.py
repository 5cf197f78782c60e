"""Opens the ports of a router."""

from __future__ import annotations

import errno

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.green import green_socket

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
