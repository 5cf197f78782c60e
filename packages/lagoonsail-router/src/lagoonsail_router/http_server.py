"""Serves WSGI applications on HTTP ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import eventlet
from lagoonsail_router.accepting import AcceptFailures, accept_one
from lagoonsail_router.http_port import make_protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.green import green_socket
    from lagoonsail_router.http_port import HttpProtocol
    from lagoonsail_router.open_connections import OpenConnections
    from lagoonsail_router.port_limits import PortLimits


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
        while accept_one(server, connections, failures, clock):
            continue

    eventlet.spawn_n(serve)


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
