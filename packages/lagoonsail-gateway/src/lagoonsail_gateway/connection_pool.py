"""Connections to backend servers, kept separately per server incarnation.

Their number is bounded for each server, and by the file descriptors that are left. An
idle connection is closed before a request is refused for want of a descriptor.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_gateway.server_connection import ConnectFailedError, connect
from lagoonsail_overload.byte_budget import ByteBudget
from lagoonsail_overload.server_connections import (
    CLOSE_IDLE,
    CLOSE_IDLE_HERE,
    OPEN,
    LearnedLimits,
    decide_opening,
    is_connection_limit,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.server_connection import ServerConnection
    from lagoonsail_gateway.server_directory import Server
    from lagoonsail_overload.descriptor_budget import DescriptorBudget

    ServerKey = tuple[str, int]

CONNECT_TIMEOUT_MS = 400.0
"""Connect timeout: many round trips, and a small part of a request's deadline."""
MAX_IDLE_NON_RETRYABLE_MS = 2500.0
"""Maximum idle time of a connection for a request that cannot be retried, because
servers may close connections earlier than they announce."""
MAX_WAIT_MS = 50.0
"""How long a request waits for a connection or a descriptor that becomes free. Answers
end all the time while connections are short, and the caller may try elsewhere."""
MAX_WAITING = 64
"""Requests that may wait so at once; the next is refused without waiting."""
MAX_IDLE_PER_SERVER = 64
"""Maximum number of idle connections kept per server."""
DEFAULT_BUDGET_BYTES = 200_000_000
"""Byte budget unless another is given."""
MAX_REQUESTS_PER_CONNECTION = 1000
"""Number of requests after which a connection is closed, because it remembers the id
of each."""


class NoConnectionError(Exception):
    """No connection may be opened now; no byte of a request was sent."""


class ConnectionPool:
    """Keeps idle connections for reuse, bounds their number, and counts their use."""

    __slots__ = (
        "_clock",
        "_descriptors",
        "_idle",
        "_learned",
        "_open",
        "_waiting",
        "buffers",
        "idle_count",
        "max_kept_to",
        "max_open_to",
        "open_count",
        "opened",
        "reused",
    )

    buffers: ByteBudget
    """Budget of the answers that are held until they are whole or written."""
    idle_count: int
    """Number of idle connections."""
    max_kept_to: Callable[[Server], float]
    """Returns how many may be open to a server for one of them to be kept idle."""
    max_open_to: Callable[[Server], float]
    """Returns how many connections to a server this router may have."""
    open_count: int
    """Number of connections, idle ones and those being opened included."""
    opened: int
    """Number of connections opened."""
    reused: int
    """Number of times that an idle connection was reused."""

    def __init__(
        self,
        clock: Clock,
        buffers: ByteBudget | None = None,
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            clock: The clock.
            buffers: Byte budget of the process, None for one of the pool's own.
            descriptors: Descriptors of the process; None if nothing bounds them.
        """
        self._clock = clock
        self._descriptors = descriptors
        self.buffers = buffers or ByteBudget(DEFAULT_BUDGET_BYTES)
        self._idle: dict[ServerKey, list[ServerConnection]] = {}
        self._open: dict[ServerKey, int] = {}
        self._learned = LearnedLimits()
        self._waiting: list[tuple[Server, eventlet.event.Event]] = []
        self.idle_count = 0
        self.max_kept_to = lambda _server: math.inf
        self.max_open_to = lambda _server: math.inf
        self.open_count = 0
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
            NoConnectionError: If none may be opened, and none became free in time.
        """
        deadline_ms = self._clock.now_ms() + MAX_WAIT_MS
        while True:
            connection = self._take_idle(server, request_id, is_retryable=is_retryable)
            if connection is not None:
                return connection
            if self._make_room(server):
                return self._open_new(server, request_id)
            self._wait(server, deadline_ms)

    def may_connect(self, server: Server) -> bool:
        """Return whether a server has an idle connection, or room for a new one.

        Args:
            server: The server.
        """
        key = server.record.incarnation()
        if self._idle.get(key):
            return True
        return self._open.get(key, 0) < self._max_open(server, key)

    def release(self, server: Server, connection: ServerConnection) -> None:
        """Keep a connection for reuse.

        Args:
            server: The server.
            connection: A connection without unread data.
        """
        key = server.record.incarnation()
        idle = self._idle.setdefault(key, [])
        is_worn = connection.request_count >= MAX_REQUESTS_PER_CONNECTION
        is_beyond = self._open.get(key, 0) > min(
            self.max_kept_to(server), self._max_open(server, key)
        )
        if is_worn or is_beyond or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
            return
        idle.append(connection)
        self.idle_count += 1
        if self._descriptors is not None:
            beyond = self.idle_count - self._descriptors.max_idle_servers()
            self.close_oldest_idle(beyond)
        self._wake_one()

    def record_lost(
        self, server: Server, connection: ServerConnection, *, is_timeout: bool
    ) -> bool:
        """Learn the server's limit if it lost a connection because of it.

        Args:
            server: The server.
            connection: The connection, which is not closed yet.
            is_timeout: Whether the server was silent.

        Returns:
            Whether a limit is the likely cause, so that the server has not failed.
        """
        key = server.record.incarnation()
        others_open = self._open.get(key, 0) - 1
        if not is_connection_limit(
            is_new=connection.request_count == 1,
            has_data=connection.has_data,
            is_timeout=is_timeout,
            others_open=others_open,
        ):
            return False
        self._learned.record_reset(key, others_open, self._clock.now_ms())
        if self._descriptors is not None:
            self._descriptors.actions["server_limits_learned"] += 1
        return True

    def close_idle(self, server: Server) -> None:
        """Close all idle connections to a server.

        Args:
            server: The server.
        """
        self._close_all(self._idle.pop(server.record.incarnation(), []))

    def remove_server(self, server: Server) -> None:
        """Close all idle connections to a server that left, and forget its limit.

        Args:
            server: The server.
        """
        self.close_idle(server)
        self._learned.remove(server.record.incarnation())

    def close_oldest_idle(self, count: int) -> int:
        """Close the connections that have been idle for the longest time.

        Args:
            count: How many to close at most.

        Returns:
            How many were closed.
        """
        closed = 0
        while closed < count and self.idle_count:
            # The last one that was used is the last of its list.
            key = min(
                (key for key, idle in self._idle.items() if idle),
                key=lambda key: self._idle[key][0].idle_since_ms,
            )
            self._close_all([self._idle[key].pop(0)])
            closed += 1
        return closed

    def close_expired(self) -> None:
        """Close the connections that exceed their idle limit."""
        for key, idle in list(self._idle.items()):
            kept, expired = [], []
            for connection in idle:
                (kept if self._is_fresh(connection) else expired).append(connection)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]
            self._close_all(expired)

    def _take_idle(
        self, server: Server, request_id: str, *, is_retryable: bool
    ) -> ServerConnection | None:
        idle = self._idle.get(server.record.incarnation(), [])
        while idle:
            # The server is least likely to have closed the most recently used one.
            connection = idle[-1]
            is_usable = self._is_usable(connection, request_id)
            if is_usable and not (
                is_retryable or self._idle_ms(connection) < MAX_IDLE_NON_RETRYABLE_MS
            ):
                return None
            idle.pop()
            if is_usable:
                self.idle_count -= 1
                self.reused += 1
                connection.record_request(request_id)
                return connection
            self._close_all([connection])
        return None

    def _make_room(self, server: Server) -> bool:
        """Return whether a connection may be opened, closing an idle one if needed."""
        decision = self._decide_opening(server)
        while decision == CLOSE_IDLE_HERE:
            idle = self._idle[server.record.incarnation()]
            self._close_all([idle.pop(0)])
            decision = self._decide_opening(server)
        if decision == CLOSE_IDLE:
            # The new connection takes the descriptor of the idle one.
            self.close_oldest_idle(1)
            self._descriptors.actions["idle_servers_replaced"] += 1
            return True
        return decision == OPEN

    def _decide_opening(self, server: Server) -> str:
        key = server.record.incarnation()
        budget = self._descriptors
        free, bound_servers, reserve = 1, 0, 0
        if budget is not None:
            budget.update_limit()
            free, reserve = budget.free(), budget.thresholds.reserve
            bound_servers = budget.thresholds.bound_servers
        return decide_opening(
            free,
            bound_servers,
            reserve,
            self._open.get(key, 0),
            self._max_open(server, key),
            is_idle_here=bool(self._idle.get(key)),
            is_idle_anywhere=self.idle_count > 0,
        )

    def _open_new(self, server: Server, request_id: str) -> ServerConnection:
        key = server.record.incarnation()
        self.opened += 1
        # Counted before it is open, as others are opened meanwhile.
        self._count_open(key, 1)
        try:
            connection = connect(server.record.address, self._clock, CONNECT_TIMEOUT_MS)
        except BaseException as error:
            self._count_open(key, -1)
            if isinstance(error, ConnectFailedError) and error.is_local:
                raise NoConnectionError(str(error)) from error
            raise
        connection.on_close = lambda: self._count_open(key, -1)
        connection.record_request(request_id)
        return connection

    def _wait(self, server: Server, deadline_ms: float) -> None:
        """Wait for a connection or a descriptor that may have become free."""
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0 or len(self._waiting) >= MAX_WAITING:
            if self._descriptors is not None:
                self._descriptors.actions["server_connections_refused"] += 1
            raise NoConnectionError(
                f"no connection to {server.record.server_id} may be opened now: "
                f"{self._open.get(server.record.incarnation(), 0)} are open to it, "
                f"{self.open_count} to all servers"
            )
        waiter = (server, eventlet.event.Event())
        self._waiting.append(waiter)
        try:
            waiter[1].wait(timeout=remaining_ms / 1000.0)
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def _wake_one(self) -> None:
        """Wake the request that has waited longest for what has become free."""
        for waiter in self._waiting:
            if self.may_connect(waiter[0]):
                self._waiting.remove(waiter)
                waiter[1].send(None)
                return

    def _count_open(self, key: ServerKey, change: int) -> None:
        self.open_count += change
        count = self._open.get(key, 0) + change
        if count:
            self._open[key] = count
        else:
            self._open.pop(key, None)
        if change < 0:
            self._wake_one()

    def _close_all(self, connections: list[ServerConnection]) -> None:
        self.idle_count -= len(connections)
        for connection in connections:
            connection.close()

    def _max_open(self, server: Server, key: ServerKey) -> float:
        learned = self._learned.limit_of(key, self._clock.now_ms())
        return min(self.max_open_to(server), learned)

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
