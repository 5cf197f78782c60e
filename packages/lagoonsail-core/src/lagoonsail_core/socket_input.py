"""Looks at the input of a socket without reading it, and discards its output."""

from __future__ import annotations

import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing discards what is unsent, by a reset."""


def peek(sock: socket.socket) -> bytes | None:
    """Return the next byte that a socket would read, without blocking.

    Args:
        sock: The system's socket, not a green one.

    Returns:
        The byte; none at the end of the stream or after an error, and None if there is
        no input yet.

    Example:
        >>> near, far = socket.socketpair()
        >>> peek(near)
        >>> _ = far.send(b"xy")
        >>> peek(near), near.recv(2)
        (b'x', b'xy')
        >>> far.close()
        >>> peek(near)
        b''
        >>> near.close()
        >>> peek(near)
        b''
    """
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset a connection, without blocking.

    Args:
        sock: The system's socket, not a green one.
    """
    return peek(sock) == b""
