"""Asks a server at its health path what it says of itself.

Its registration in the store says the same, but cannot be read while the store is away.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_gateway.connection_pool import NoConnectionError
from lagoonsail_gateway.server_connection import (
    ConnectFailedError,
    ConnectionLostError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.connection_pool import ConnectionPool
    from lagoonsail_gateway.request_format import RequestFormat, ResponseHead
    from lagoonsail_gateway.server_connection import Response, ServerConnection
    from lagoonsail_gateway.server_directory import Server

HEALTH_TIMEOUT_MS = 300.0
"""Time for the whole response: a server without a free slot lets the request wait."""


def make_cold_request(
    clock: Clock, pool: ConnectionPool, request_format: RequestFormat
) -> Callable[[Server, str], float | None]:
    """Return a function that asks a server for its remaining cold time.

    Args:
        clock: The clock.
        pool: Connections to servers.
        request_format: Decodes heads of responses.

    Returns:
        A function of a server and its health path. It returns the time in milliseconds,
        0 if the server is warm, and None if the server did not say.
    """
    numbers = count()

    def ask(server: Server, path: str) -> float | None:
        mark_urgent()
        if not path or not pool.may_connect(server):
            return None
        name = f"health-{next(numbers)}"
        try:
            connection = pool.acquire(server, name, is_retryable=True)
        except (ConnectFailedError, NoConnectionError):
            return None
        try:
            head = _exchange(connection, server, path, clock, request_format)
        except ConnectionLostError:
            head = None
        if head is None or head.server_id != server.record.server_id:
            connection.close()
            return None
        pool.release(server, connection)
        return head.cold_left_ms

    return ask


def _exchange(
    connection: ServerConnection,
    server: Server,
    path: str,
    clock: Clock,
    request_format: RequestFormat,
) -> ResponseHead | None:
    """Send the request and read the response.

    Returns:
        The head of the response, None if the connection cannot be used again.

    Raises:
        ConnectionLostError: If there is no whole response in time.
    """
    deadline_ms = clock.now_ms() + HEALTH_TIMEOUT_MS
    request = f"GET {path} HTTP/1.1\r\nHost: {server.record.address}\r\n\r\n"

    def read(response: Response) -> ResponseHead:
        return request_format.read_response(response.status, response.headers)

    connection.send(request.encode("latin-1"), deadline_ms)
    # The response to another request names that request.
    response = connection.read_head(deadline_ms, lambda r: not read(r).request_id)
    while connection.read_body(response, deadline_ms):
        continue
    return read(response) if connection.release_response(response) else None
