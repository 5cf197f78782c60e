"""Servers that send bytes without end: memory and waiting time stay bounded."""

from __future__ import annotations

from pathlib import Path

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.server_connection import ConnectionLostError, connect

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nId: 1\r\n\r\n"
DEADLINE_MS = 3000.0
MAX_GROWTH_BYTES = 20_000_000
BLOCK_BYTES = 60_000
OK = b"HTTP/1.1 200 OK\r\n"


def repeat_forever(line: bytes):
    block = line * (BLOCK_BYTES // len(line))
    while True:
        yield block


def endless(start: bytes, line: bytes):
    """Return the script of a server that sends a start and then lines for ever."""

    def script(_head):
        yield start
        yield from repeat_forever(line)

    return script


NO_ANSWERS = {
    "header lines": endless(OK, b"A: b\r\n"),
    "one header line": endless(OK + b"A: ", b"b"),
    "status line": endless(b"HTTP/1.1 200 ", b"O"),
    "interim responses": endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "foreign responses": endless(b"", OK + b"Id: 0\r\nContent-Length: 0\r\n\r\n"),
    "foreign body": endless(OK + b"Id: 0\r\nContent-Length: 99999999999\r\n\r\n", b"x"),
    "foreign body without length": endless(OK + b"Id: 0\r\n\r\n", b"x"),
}
ENDLESS_BODIES = {
    "chunk extension": endless(
        OK + b"Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", b"b"
    ),
    "trailers": endless(
        OK + b"Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n"
    ),
}


@pytest.fixture
def memory_growth():
    """Return a function that gives the growth of the peak memory since the start."""
    Path("/proc/self/clear_refs").write_text("5")
    start = _memory_bytes("VmHWM")
    return lambda: _memory_bytes("VmHWM") - start


def _memory_bytes(field: str) -> int:
    status = Path("/proc/self/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(field))
    return int(line.split()[1]) * 1024


@pytest.fixture
def open_connection(serve_script):
    """Send one request to a scripted server; return the connection and deadline."""
    clock = Clock()
    connections = []

    def start(script):
        connection = connect(serve_script(script).address, clock, 1000.0)
        connections.append(connection)
        deadline_ms = clock.now_ms() + DEADLINE_MS
        connection.send(REQUEST, deadline_ms)
        return connection, deadline_ms

    yield start
    for connection in connections:
        connection.close()


def is_mine(response) -> bool:
    return dict(response.headers).get("Id") == "1"


@pytest.mark.parametrize("kind", NO_ANSWERS)
def test_bytes_that_are_no_answer_end_the_attempt_early(
    open_connection, memory_growth, kind
):
    connection, deadline_ms = open_connection(NO_ANSWERS[kind])
    with pytest.raises(ConnectionLostError) as failure:
        connection.read_head(deadline_ms, is_mine)
    assert not failure.value.is_timeout
    assert memory_growth() < MAX_GROWTH_BYTES


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
def test_body_without_progress_ends_the_attempt_early(
    open_connection, memory_growth, kind
):
    connection, deadline_ms = open_connection(ENDLESS_BODIES[kind])
    response = connection.read_head(deadline_ms, is_mine)
    with pytest.raises(ConnectionLostError) as failure:
        while connection.read_body(response, deadline_ms):
            continue
    assert not failure.value.is_timeout
    assert memory_growth() < MAX_GROWTH_BYTES


def test_long_body_with_progress_is_read_whole(open_connection, memory_growth):
    size = 5_000_000
    start = OK + f"Id: 1\r\nContent-Length: {size}\r\n\r\n".encode()
    connection, deadline_ms = open_connection(lambda _: [start, b"x" * size])
    response = connection.read_head(deadline_ms, is_mine)
    received = 0
    while part := connection.read_body(response, deadline_ms):
        received += len(part)
    assert received == size
    assert memory_growth() < MAX_GROWTH_BYTES


def test_foreign_answer_before_all_is_sent_ends_the_attempt(serve_script, steps):
    def script(_head):
        yield steps.response("0", b"late")

    clock = Clock()
    connection = connect(serve_script(script).address, clock, 1000.0)
    deadline_ms = clock.now_ms() + DEADLINE_MS
    connection.send(REQUEST + b"x" * 40_000_000, deadline_ms)
    with pytest.raises(ConnectionLostError) as failure:
        connection.read_head(deadline_ms, is_mine)
    assert not failure.value.is_timeout
