"""A port whose accepts fail stays open, and says so in few lines."""

from __future__ import annotations

import errno
import os

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_overload.descriptor_budget import CALLERS, DescriptorBudget
from lagoonsail_router.http_server import start_serving
from lagoonsail_router.listening import listen
from lagoonsail_router.open_connections import OpenConnections

LIMIT = 100
OTHERS = 10
TIMEOUT_S = 5.0


class FailingSocket:
    """A listening socket whose next accepts fail."""

    def __init__(self, sock):
        self._sock = sock
        self.errors = []

    def accept(self):
        if self.errors:
            raise OSError(self.errors.pop(0), "the test made it fail")
        return self._sock.accept()

    def __getattr__(self, name):
        return getattr(self._sock, name)


class Port:
    """A port with a budget of descriptors that the test uses up."""

    def __init__(self):
        self.others = OTHERS
        self.reports = []
        self.connections = OpenConnections(max_count=20)
        budget = self.connections.budget = DescriptorBudget(
            Clock(),
            LIMIT,
            lambda: LIMIT,
            lambda: self.others + len(self.connections.open),
        )
        budget.register(CALLERS, lambda: len(self.connections.open))
        budget.add_closer(
            "closed", lambda count: self.connections.close_idle(count, 0.0)
        )
        self.sock = FailingSocket(listen("127.0.0.1:0"))
        start_serving(
            self.sock,
            self.answer("200 OK"),
            self.connections,
            TIMEOUT_S * 1000.0,
            lambda _kind: None,
            self.answer("503 Full"),
            lambda reason, count: self.reports.append((reason, count)),
        )

    @staticmethod
    def answer(status):
        def serve(_env, start_response):
            start_response(status, [("Content-Length", "0")])
            return [b""]

        return serve

    def use_up(self, left):
        """Leave this many descriptors."""
        self.others = LIMIT - left
        self.connections.budget._others = self.others

    def connect(self):
        sock = green_socket.create_connection(self.sock.getsockname())
        sock.settimeout(TIMEOUT_S)
        return sock

    def ask(self):
        """Return status and Connection header of the answer to a request."""
        with self.connect() as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            head = sock.recv(1000)
        return int(head.split()[1]), b"Connection: close" in head


@pytest.fixture
def port():
    port = Port()
    yield port
    port.sock.close()


def wait_for(condition):
    with eventlet.Timeout(TIMEOUT_S, TimeoutError("not so in time")):
        while not condition():
            eventlet.sleep(0.01)


# DESCRIPTORS: each of these ended the accept loop for good, except for none of them.
@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPERM"])
def test_port_goes_on_after_failed_accepts(port, name):
    port.sock.errors = [getattr(errno, name)] * 3
    assert port.ask()[0] == 200
    assert port.ask()[0] == 200
    assert len(port.reports) == 1


# DESCRIPTORS: a caller that leaves before its accept is no shortage.
def test_aborted_connection_is_no_reason_to_pause(port):
    port.sock.errors = [errno.ECONNABORTED] * 3
    assert port.ask()[0] == 200
    assert port.connections.can_accept()


# READINESS: a router that could not accept called itself ready.
def test_port_is_unready_exactly_while_it_cannot_accept(port):
    assert port.connections.can_accept()
    port.use_up(left=1)
    assert not port.connections.can_accept()
    port.use_up(left=50)
    wait_for(port.connections.can_accept)
    assert port.ask()[0] == 200


# REFUSAL: callers waited in the backlog without an answer.
def test_caller_is_refused_from_the_reserve(port):
    port.use_up(left=port.connections.budget.thresholds.reserve)
    assert port.ask() == (503, True)
    assert port.connections.budget.actions["callers_refused"] == 1
    port.use_up(left=50)
    assert port.ask()[0] == 200


def test_idle_caller_is_replaced(port):
    kept = [port.connect() for _ in range(20)]
    for sock in kept:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        sock.recv(1000)
    for connection in port.connections.open:
        connection.idle_since_ms -= 10_000.0
    assert port.ask()[0] == 200
    assert port.connections.budget.actions["idle_callers_replaced"] == 1
    wait_for(lambda: len(port.connections.open) < 20)
    for sock in kept:
        sock.close()


# TRUNCATION: the library takes a head that is cut off for a whole one and runs it.
def test_half_head_of_a_replaced_caller_is_not_run(port):
    half = port.connect()
    half.sendall(b"GET /half HTTP/1.1\r\nHost: a\r\n")
    wait_for(lambda: port.connections.open)
    eventlet.sleep(0.05)
    for connection in list(port.connections.open):
        connection.shut()
    assert half.recv(1000) == b""
    wait_for(lambda: not port.connections.open)


# LEAK: a connection whose last write failed kept its descriptor.
def test_descriptor_of_a_connection_is_closed_with_it(port):
    before = set(os.listdir("/proc/self/fd"))
    for _ in range(10):
        sock = port.connect()
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n")
        wait_for(lambda: port.connections.open)
        eventlet.sleep(0.01)
        for connection in list(port.connections.open):
            connection.shut()
        sock.close()
        wait_for(lambda: not port.connections.open)
    assert len(set(os.listdir("/proc/self/fd")) - before) <= 1
