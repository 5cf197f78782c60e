"""Kept connections to backend servers, one pool for each start of a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_gateway.server_connection import connect

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.server_connection import ServerConnection
    from lagoonsail_gateway.server_directory import Server

CONNECT_TIMEOUT_MS = 400.0
"""Time allowed for a connection: many round trips, and a small part of a deadline."""
SURE_IDLE_MS = 2500.0
"""How long a connection may be unused for a request that cannot be sent again, since
servers drop connections sooner than they say."""
MAX_IDLE_PER_SERVER = 64
"""Unused connections to one server that are kept."""


class ConnectionPool:
    """Unused connections, and how many are open."""

    __slots__ = ("_clock", "_idle", "opened", "reused")

    opened: int
    """Connections that were opened."""
    reused: int
    """Requests that were sent on a kept connection."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[tuple[str, int], list[ServerConnection]] = {}
        self.opened = 0
        self.reused = 0

    def take(self, server: Server, *, is_repeatable: bool) -> ServerConnection:
        """Return a connection to a server.

        Args:
            server: The server.
            is_repeatable: Whether the request may be sent again.

        Raises:
            ConnectFailedError: If a new one is needed and the server is out of reach.
        """
        idle = self._idle.get(server.record.incarnation(), [])
        while idle:
            # The one used last is the least likely to have been dropped.
            connection = idle.pop()
            if self._is_fresh(connection) and connection.is_quiet():
                if is_repeatable or self._idle_ms(connection) < SURE_IDLE_MS:
                    self.reused += 1
                    return connection
                idle.append(connection)
                break
            connection.close()
        self.opened += 1
        return connect(server.record.address, self._clock, CONNECT_TIMEOUT_MS)

    def give_back(self, server: Server, connection: ServerConnection) -> None:
        """Keep a connection for later requests.

        Args:
            server: The server.
            connection: A connection on which nothing is left over.
        """
        idle = self._idle.setdefault(server.record.incarnation(), [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
            return
        idle.append(connection)

    def drop(self, server: Server) -> None:
        """Close all unused connections to a server.

        Args:
            server: The server.
        """
        for connection in self._idle.pop(server.record.incarnation(), []):
            connection.close()

    def close_stale(self) -> None:
        """Close the connections that were not used for too long."""
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

    def _is_fresh(self, connection: ServerConnection) -> bool:
        return self._idle_ms(connection) < connection.idle_limit_ms

    def _idle_ms(self, connection: ServerConnection) -> float:
        return self._clock.now_ms() - connection.idle_since_ms
