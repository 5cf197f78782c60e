"""Accepts connections from callers, and decides which are served or refused.

Handles floods of connections and a shortage of file descriptors: accepting pauses while
there is no room, an idle connection makes way for a new one, and a caller that cannot
be served gets an answer that says so. A failed accept never closes the port.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

from lagoonsail_core.green import IOClosed, eventlet
from lagoonsail_overload.caller_connections import REFUSE, REPLACE
from lagoonsail_router.open_connections import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_router.open_connections import OpenConnections

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


class AcceptFailures:
    """Reports failures of accepting at most once a second."""

    __slots__ = ("_clock", "_count", "_on_failed", "_reported_ms")

    def __init__(self, clock: Clock, on_failed: Callable[[str, int], None]) -> None:
        self._clock = clock
        self._on_failed = on_failed
        self._count = 0
        self._reported_ms = float("-inf")

    def record(self, reason: str) -> None:
        """Count a failure, and report those since the last report if that is due.

        Args:
            reason: The error.
        """
        self._count += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._reported_ms >= REPORT_INTERVAL_MS:
            self._on_failed(reason, self._count)
            self._count, self._reported_ms = 0, now_ms


def accept_one(
    server: eventlet.wsgi.Server,
    connections: OpenConnections,
    failures: AcceptFailures,
    clock: Clock,
) -> bool:
    """Accept a connection, or pause while none can be accepted.

    Args:
        server: The server of the port.
        connections: Limit and state of open connections.
        failures: Reports failures of accepting.
        clock: The clock.

    Returns:
        False once the port is closed.
    """
    connections.is_accepting = connections.has_room()
    if not connections.is_accepting:
        _shed(connections)
        eventlet.sleep(ACCEPT_PAUSE_MS / 1000.0)
        return server.socket.fileno() >= 0
    try:
        sock, address = server.socket.accept()
    except OSError as error:
        return _handle_failed_accept(server, connections, failures, error)
    sock.settimeout(server.socket_timeout)
    connection = CallerConnection(address, sock, STATE_IDLE, clock.now_ms())
    _admit(server, connections, connection, clock)
    return True


def _handle_failed_accept(
    server: eventlet.wsgi.Server,
    connections: OpenConnections,
    failures: AcceptFailures,
    error: OSError,
) -> bool:
    """Report a failure and pause; return False once the port is closed."""
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
