"""Idle connections to backend servers, kept separately per server incarnation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_gateway.server_connection import connect
from lagoonsail_overload.byte_budget import ByteBudget

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.server_connection import ServerConnection
    from lagoonsail_gateway.server_directory import Server

CONNECT_TIMEOUT_MS = 400.0
"""Connect timeout: many round trips, and a small part of a request's deadline."""
MAX_IDLE_NON_RETRYABLE_MS = 2500.0
"""Maximum idle time of a connection for a request that cannot be retried, because
servers may close connections earlier than they announce."""
MAX_IDLE_PER_SERVER = 64
"""Maximum number of idle connections kept per server."""
DEFAULT_BUDGET_BYTES = 200_000_000
"""Byte budget unless another is given."""
MAX_REQUESTS_PER_CONNECTION = 1000
"""Number of requests after which a connection is closed, because it remembers the id
of each."""


class ConnectionPool:
    """Keeps idle connections for reuse and counts opened and reused ones."""

    __slots__ = ("_clock", "_idle", "buffers", "opened", "reused")

    buffers: ByteBudget
    """Budget of the answers that are held until they are whole or written."""
    opened: int
    """Number of connections opened."""
    reused: int
    """Number of times that an idle connection was reused."""

    def __init__(self, clock: Clock, buffers: ByteBudget | None = None) -> None:
        """Create an empty pool.

        Args:
            clock: The clock.
            buffers: Byte budget of the process, None for one of the pool's own.
        """
        self._clock = clock
        self.buffers = buffers or ByteBudget(DEFAULT_BUDGET_BYTES)
        self._idle: dict[tuple[str, int], list[ServerConnection]] = {}
        self.opened = 0
        self.reused = 0

    def acquire(
        self, server: Server, request_id: str, *, is_retryable: bool
    ) -> ServerConnection:
        """Return an idle connection to a server, or open a new one.

        Args:
            server: The server.
            request_id: Id of the request. A connection that has carried a request with
                this id is closed, because a late copy of that response would be taken
                for the response to this request.
            is_retryable: Whether the request may be retried after it may have run.

        Raises:
            ConnectFailedError: If a new connection is needed and cannot be opened.
        """
        idle = self._idle.get(server.record.incarnation(), [])
        while idle:
            # The server is least likely to have closed the most recently used one.
            connection = idle.pop()
            if not self._is_usable(connection, request_id):
                connection.close()
                continue
            if is_retryable or self._idle_ms(connection) < MAX_IDLE_NON_RETRYABLE_MS:
                self.reused += 1
                connection.record_request(request_id)
                return connection
            idle.append(connection)
            break
        self.opened += 1
        connection = connect(server.record.address, self._clock, CONNECT_TIMEOUT_MS)
        connection.record_request(request_id)
        return connection

    def release(self, server: Server, connection: ServerConnection) -> None:
        """Keep a connection for reuse.

        Args:
            server: The server.
            connection: A connection without unread data.
        """
        idle = self._idle.setdefault(server.record.incarnation(), [])
        is_worn = connection.request_count >= MAX_REQUESTS_PER_CONNECTION
        if is_worn or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
            return
        idle.append(connection)

    def close_idle(self, server: Server) -> None:
        """Close all idle connections to a server.

        Args:
            server: The server.
        """
        for connection in self._idle.pop(server.record.incarnation(), []):
            connection.close()

    def close_expired(self) -> None:
        """Close the connections that exceed their idle limit."""
        for key, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if self._is_fresh(connection):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def _is_usable(self, connection: ServerConnection, request_id: str) -> bool:
        return (
            self._is_fresh(connection)
            and connection.is_reusable()
            and not connection.has_carried(request_id)
        )

    def _is_fresh(self, connection: ServerConnection) -> bool:
        return self._idle_ms(connection) < connection.idle_limit_ms

    def _idle_ms(self, connection: ServerConnection) -> float:
        return self._clock.now_ms() - connection.idle_since_ms
