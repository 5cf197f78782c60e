"""Shared fixtures: scripted servers, server records and a manual clock."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.server_directory import READY, ServerRecord
from lagoonsail_router.context import RouterContext

RESET = b"(reset)"
"""Step of a script: reset the connection."""
CLOSE = b"(close)"
"""Step of a script: close the connection regularly."""
LINGER_ZERO = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class ScriptedServer:
    """Responds to the requests of each connection as scripted."""

    script: Callable[[bytes], list[bytes]]
    """Returns the steps of a response for the head of a request."""
    sock: socket.socket
    heads: list[bytes] = field(default_factory=list)
    connections: int = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def accept(self) -> None:
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        buffer = b""
        while True:
            while b"\r\n\r\n" not in buffer:
                try:
                    data = connection.recv(65_536)
                except OSError:
                    return
                if not data:
                    return
                buffer += data
            head, _, buffer = buffer.partition(b"\r\n\r\n")
            self.heads.append(head)
            for step in self.script(head):
                if step == RESET:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
                    )
                if step in (RESET, CLOSE):
                    connection.close()
                    return
                try:
                    connection.sendall(step)
                except OSError:
                    return


@pytest.fixture
def serve_script():
    """Start a server with a script; it ends with the test."""
    servers = []

    def start(script: Callable[[bytes], list[bytes]]) -> ScriptedServer:
        server = ScriptedServer(script, socket.create_server(("127.0.0.1", 0)))
        threading.Thread(target=server.accept, daemon=True).start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.sock.close()


@dataclass(slots=True)
class ManualClock:
    """A clock that only the test advances."""

    ms: float = 0.0

    def clock(self) -> Clock:
        return Clock(lambda: self.ms, lambda: self.ms)


@pytest.fixture
def manual_clock() -> ManualClock:
    return ManualClock()


def _response(request_id: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nId: {request_id}\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


@pytest.fixture
def steps() -> SimpleNamespace:
    """Steps of a scripted server."""
    return SimpleNamespace(RESET=RESET, CLOSE=CLOSE, response=_response)


@pytest.fixture
def make_record():
    """Make the record of a backend server."""

    def make(server_id="s1", **changes) -> ServerRecord:
        fields = {
            "server_id": server_id,
            "service": "engine",
            "address": "127.0.0.1:1",
            "failure_domain": "north",
            "state": READY,
            "cold_left_ms": 0.0,
            "started_at_ms": 1,
        }
        return ServerRecord(**(fields | changes))

    return make


@pytest.fixture
def context(manual_clock) -> RouterContext:
    return RouterContext(
        SimpleNamespace(name="r1", max_connections=100, max_change_delay_ms=2000.0),
        manual_clock.clock(),
    )


@pytest.fixture
def free_address() -> str:
    """Return an address at which nobody listens."""
    sock = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{sock.getsockname()[1]}"
    sock.close()
    return address
