"""Bodies that are slow, or that the byte budget has no room for, at a real port."""

from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_overload.body_intake import EVICTION_STALL_MS, BodyIntake
from lagoonsail_overload.byte_budget import CONNECTIONS, ByteBudget
from lagoonsail_router.body_reading import read_body
from lagoonsail_router.http_port import make_protocol
from lagoonsail_router.open_connections import OpenConnections
from lagoonsail_router.port_limits import PortLimits
from lagoonsail_router.problems import CallProblem

MAX_BODY_BYTES = 600_000
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def announce(size):
    return b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size


@pytest.fixture
def limits():
    return PortLimits(BodyIntake(ByteBudget(1_000_000), Clock()))


@pytest.fixture
def refused():
    """Kinds of requests that the port refused."""
    return []


@pytest.fixture
def address(limits, refused):
    """Serves the length of each body."""

    def serve(env, start_response):
        try:
            text = str(len(read_body(env, MAX_BODY_BYTES))).encode()
            start_response("200 OK", [("Content-Length", str(len(text)))])
        except CallProblem as problem:
            text = problem.body("")
            start_response(problem.status_line(), problem.headers("", text))
        return [text]

    listening = eventlet.listen(("127.0.0.1", 0))
    protocol = make_protocol(refused.append, OpenConnections(max_count=100), limits)
    task = eventlet.spawn(
        eventlet.wsgi.server, listening, serve, protocol=protocol, log_output=False
    )
    yield listening.getsockname()
    task.kill()
    listening.close()


@pytest.fixture
def send(address):
    """Sends data on a new connection, which is closed after the test."""
    connections = []

    def start(*parts):
        connection = eventlet.connect(address)
        connections.append(connection)
        for part in parts:
            connection.sendall(part)
            eventlet.sleep(0.05)
        return connection

    yield start
    for connection in connections:
        connection.close()


def read_answer(connection):
    answer = b""
    with eventlet.Timeout(10.0):
        while data := connection.recv(65_536):
            answer += data
    return answer


def wait_released(limits):
    budget = limits.intake.budget
    with eventlet.Timeout(10.0):
        while budget.used_bytes != budget.used_by_kind[CONNECTIONS]:
            eventlet.sleep(0.01)


@pytest.mark.parametrize("size", [1, 70_000, MAX_BODY_BYTES])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_inside_the_limits_is_read_whole(limits, send, size, is_chunked):
    data = b"x" * size
    chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (size, data)
    parts = (CHUNKED, chunk) if is_chunked else (announce(size), data)
    answer = send(*parts).recv(1000)
    assert answer.endswith(b"\r\n\r\n%d" % size)
    wait_released(limits)


def test_body_over_the_limit_ends_the_connection_unread(limits, send):
    answer = read_answer(send(announce(MAX_BODY_BYTES + 1)))
    assert answer.startswith(b"HTTP/1.1 413 ")
    answer = read_answer(send(CHUNKED, b"%x\r\n" % (1 << 30) + b"x" * 700_000))
    assert answer.startswith(b"HTTP/1.1 413 ")
    wait_released(limits)


def test_body_without_room_is_refused_before_it_is_read(limits, send):
    send(announce(500_000), b"x")
    answer = read_answer(send(announce(500_000)))
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in answer
    assert limits.intake.refusals == 1
    assert send(announce(3), b"abc").recv(1000).endswith(b"\r\n\r\n3")


def test_silent_body_makes_room_for_another(limits, send):
    silent = send(CHUNKED, b"%x\r\n" % 500_000 + b"x" * 400_000)
    eventlet.sleep(EVICTION_STALL_MS / 1000.0 + 0.1)
    answer = send(announce(MAX_BODY_BYTES), b"x" * MAX_BODY_BYTES).recv(1000)
    assert answer.endswith(b"\r\n\r\n%d" % MAX_BODY_BYTES)
    assert read_answer(silent).startswith(b"HTTP/1.1 503 ")
    assert limits.intake.evictions == 1
    wait_released(limits)


@pytest.mark.parametrize(
    "parts", [(announce(10), b"x"), (CHUNKED, b"5\r\nab"), (CHUNKED, b"0\r\nx: y")]
)
def test_body_without_progress_is_timed_out(limits, send, parts):
    limits.intake.stall_ms = 200.0
    answer = read_answer(send(*parts))
    assert answer.startswith(b"HTTP/1.1 408 ")
    wait_released(limits)


def test_head_that_does_not_end_is_timed_out(limits, refused, send):
    limits.head_timeout_ms = 200.0
    assert read_answer(send(b"GET / HTTP/1.1\r\n")) == b""
    assert refused == ["head_timed_out"]


def test_kept_connection_may_be_idle_for_longer_than_a_head_may_take(limits, send):
    limits.head_timeout_ms = 100.0
    connection = send(announce(1) + b"x")
    assert connection.recv(1000).endswith(b"\r\n\r\n1")
    eventlet.sleep(0.3)
    connection.sendall(announce(2) + b"xy")
    assert connection.recv(1000).endswith(b"\r\n\r\n2")


def test_head_over_its_limit_is_refused(limits, refused, send):
    limits.max_head_bytes = 17_000
    head = b"GET / HTTP/1.1\r\nHost: a\r\nx: %s\r\n\r\n"
    assert send(head % (b"x" * 16_384)).recv(1000).startswith(b"HTTP/1.1 200 ")
    assert send(head % (b"x" * 17_000)).recv(1000).startswith(b"HTTP/1.1 400 ")
    assert refused == ["malformed_request"]
