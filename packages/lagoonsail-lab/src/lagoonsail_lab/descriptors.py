"""File descriptors of other processes, and crowds of connections that use them up."""

from __future__ import annotations

import resource

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_lab.process_usage import count_descriptors

HALF_HEAD = b"GET /half HTTP/1.1\r\nHost: a\r\nX-Half: "
"""A request head that ends in the middle of a header line."""
SAMPLE_INTERVAL_S = 0.02
"""Interval between two counts of a process's descriptors."""


def limit_descriptors(pid: int, count: int) -> None:
    """Lower the number of descriptors that a process may open.

    Args:
        pid: Id of the process, which the caller has started.
        count: The new limit.
    """
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))


def watch_descriptors(pid: int, duration_s: float) -> int:
    """Return the most descriptors that a process has open within some time.

    Args:
        pid: Id of the process.
        duration_s: How long to watch.
    """
    most = 0
    with eventlet.Timeout(duration_s, False):
        while True:
            most = max(most, count_descriptors(pid))
            eventlet.sleep(SAMPLE_INTERVAL_S)
    return most


def open_half_heads(address: str, count: int) -> list[green_socket.socket]:
    """Open connections that each send half a request head.

    Args:
        address: IP address and port.
        count: How many to open.

    Returns:
        The connections; those that the port refused or closed are among them.
    """
    host, port = address.rsplit(":", 1)
    connections = []
    for _ in range(count):
        connection = green_socket.create_connection((host, int(port)))
        connections.append(connection)
        try:
            connection.sendall(HALF_HEAD)
        except OSError:
            # The port may close a connection at once.
            continue
    return connections
