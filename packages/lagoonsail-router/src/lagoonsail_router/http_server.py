"""Opens HTTP ports and serves WSGI applications on them."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import IOClosed, eventlet, green_socket
from lagoonsail_overload.caller_connections import REFUSE, REPLACE
from lagoonsail_router.http_port import make_protocol
from lagoonsail_router.open_connections import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.http_port import HttpProtocol
    from lagoonsail_router.open_connections import OpenConnections
    from lagoonsail_router.port_limits import PortLimits

BACKLOG = 1024
"""Connections that may wait to be accepted."""
ACCEPT_PAUSE_MS = 20.0
"""Pause before the next try to accept while descriptors are short."""
REPLACE_PAUSE_MS = 1.0
"""Time for the task of an idle connection to close it."""
MAX_REFUSAL_MS = 1000.0
"""Time in which a caller that is refused must have sent its request: it uses a
descriptor of the reserve."""
REPORT_INTERVAL_MS = 1000.0
"""Shortest time between two reports of failures to accept."""
STATE_IDLE = eventlet.wsgi.STATE_IDLE
"""State of a connection without a request in eventlet's server."""


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
    refuse: Callable | None = None,
    on_accept_failed: Callable[[str, int], None] = lambda _reason, _count: None,
    limits: PortLimits | None = None,
) -> None:
    """Serve an application in a new task.

    The port is served until its socket is closed, whatever accepting fails with.

    Args:
        sock: The listening socket.
        application: WSGI application.
        connections: Limit and state of open connections.
        idle_timeout_ms: How long a connection may stay idle.
        on_refused: Called with the problem kind of each malformed request.
        refuse: WSGI application that answers requests for which connections are short;
            needed if the connections have a budget.
        on_accept_failed: Called at most once a second while accepting fails, with the
            last error and the number of failures.
        limits: Limits on what a connection may send, None for usual ones.
    """
    if limits is not None:
        connections.memory = limits.intake.budget
    clock = Clock()
    server = eventlet.wsgi.Server(
        sock,
        sock.getsockname(),
        application,
        protocol=_make_protocol(on_refused, connections, refuse, clock, limits),
        log_output=False,
        debug=False,
        minimum_chunk_size=1,
        socket_timeout=idle_timeout_ms / 1000.0,
    )
    failures = AcceptFailures(clock, on_accept_failed)

    def serve() -> None:
        # Accepting is cheap, and the kernel refuses callers while its queue is full.
        mark_urgent()
        while _accept_one(server, connections, failures, clock):
            continue

    eventlet.spawn_n(serve)


class AcceptFailures:
    """Reports failures of accepting at most once a second."""

    __slots__ = ("_clock", "_count", "_on_failed", "_reported_ms")

    def __init__(self, clock: Clock, on_failed: Callable[[str, int], None]) -> None:
        self._clock = clock
        self._on_failed = on_failed
        self._count = 0
        self._reported_ms = float("-inf")

    def record(self, reason: str) -> None:
        """Count a failure, and report those since the last report if that is due."""
        self._count += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._reported_ms >= REPORT_INTERVAL_MS:
            self._on_failed(reason, self._count)
            self._count, self._reported_ms = 0, now_ms


def _accept_one(
    server: eventlet.wsgi.Server,
    connections: OpenConnections,
    failures: AcceptFailures,
    clock: Clock,
) -> bool:
    """Accept a connection, or pause; return False once the port is closed."""
    connections.is_accepting = connections.has_room()
    if not connections.is_accepting:
        _shed(connections)
        eventlet.sleep(ACCEPT_PAUSE_MS / 1000.0)
        return server.socket.fileno() >= 0
    try:
        sock, address = server.socket.accept()
    except OSError as error:
        if server.socket.fileno() < 0 or isinstance(error, IOClosed):
            return False
        failures.record(str(error))
        if error.errno != errno.ECONNABORTED:
            connections.is_accepting = False
            if connections.budget is not None:
                connections.budget.refresh(is_exhausted=True)
                _shed(connections)
            eventlet.sleep(ACCEPT_PAUSE_MS / 1000.0)
        return True
    sock.settimeout(server.socket_timeout)
    connection = CallerConnection(address, sock, STATE_IDLE, clock.now_ms())
    _admit(server, connections, connection, clock)
    return True


def _admit(
    server: eventlet.wsgi.Server,
    connections: OpenConnections,
    connection: CallerConnection,
    clock: Clock,
) -> None:
    """Serve or refuse a connection in a task of its own."""
    decision, idle = connections.decide(clock.now_ms())
    budget = connections.budget
    if decision == REPLACE:
        idle.shut()
        budget.actions["idle_callers_replaced"] += 1
    elif decision == REFUSE:
        connection.is_refused = True
        connections.refusing += 1
        budget.actions["callers_refused"] += 1
    connections.open.add(connection)
    eventlet.spawn_n(_serve_connection, server, connections, connection)
    if decision == REPLACE:
        # The replaced one is closed before the next is accepted.
        eventlet.sleep(REPLACE_PAUSE_MS / 1000.0)


def _serve_connection(
    server: eventlet.wsgi.Server,
    connections: OpenConnections,
    connection: CallerConnection,
) -> None:
    timer = None
    if connection.is_refused:
        timer = eventlet.spawn_after(MAX_REFUSAL_MS / 1000.0, connection.shut)
    try:
        server.process_request(connection)
    except OSError:
        # The caller has reset the connection, or sends no whole request.
        connection.is_closing = True
    finally:
        if timer is not None:
            timer.cancel()
        connection.close()
        connections.open.discard(connection)
        connections.refusing -= connection.is_refused


def _shed(connections: OpenConnections) -> None:
    if connections.budget is not None:
        connections.budget.shed_idle()


def _make_protocol(
    on_refused: Callable[[str], None],
    connections: OpenConnections,
    refuse: Callable | None,
    clock: Clock,
    limits: PortLimits | None,
) -> type[HttpProtocol]:
    """Return the protocol class of a port, which notes which connections are idle."""
    base = make_protocol(on_refused, connections, limits)

    class AcceptedProtocol(base):
        """One connection, whose state is a `CallerConnection`."""

        def handle_one_response(self) -> None:
            """Serve a request whose head has been read, or refuse it."""
            connection = self.conn_state
            if connection.is_closing:
                # The head was cut off; the library takes it for a whole one.
                self.close_connection = 1
                return
            connection.is_busy = True
            if connection.is_refused:
                self.application = refuse
                self.close_connection = 1
                # To close with an unread body would reset the answer.
                self._must_linger = self.command not in ("GET", "HEAD")
            try:
                super().handle_one_response()
            finally:
                self._note_answered()

        def _note_answered(self) -> None:
            """Let the connection be closed for others, though a body may be unread."""
            connection = self.conn_state
            if connection.is_busy:
                connection.is_busy = False
                connection.requests += 1
                connection.idle_since_ms = clock.now_ms()

    return AcceptedProtocol
