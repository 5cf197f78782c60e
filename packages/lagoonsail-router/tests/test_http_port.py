from __future__ import annotations

import json
import socket
from collections import Counter

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_router.http_port import MAX_DISCARD_BYTES, make_protocol
from lagoonsail_router.open_connections import OpenConnections

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"


@pytest.fixture
def port():
    """Refuses requests, bodies unread; yields address, counts, bodies, connections."""
    counts, bodies = Counter(), []

    def serve(env, start_response):
        bodies.append(env["eventlet.input"])
        start_response("413 Content Too Large", [("Content-Length", "2")])
        return [b"no"]

    listening = eventlet.listen(("127.0.0.1", 0))
    connections = OpenConnections(max_count=4)
    protocol = make_protocol(lambda kind: counts.update([kind]), connections)
    task = eventlet.spawn(
        eventlet.wsgi.server, listening, serve, protocol=protocol, log_output=False
    )
    yield listening.getsockname(), counts, bodies, connections
    task.kill()
    listening.close()


def exchange(address, *parts: bytes) -> bytes:
    connection = eventlet.connect(address)
    answer = b""
    with eventlet.Timeout(5.0):
        for part in parts:
            connection.sendall(part)
        while data := connection.recv(65_536):
            answer += data
    connection.close()
    return answer


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01\r\n\r\n", 400),
        (b"GET / HTTP/9.9\r\n\r\n", 505),
        (b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\n\r\n", 414),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 5000 + b"\r\n", 431),
        (b"GET / HTTP/1.1\r\na: " + b"b" * 70_000 + b"\r\n\r\n", 400),
        (HEAD + b"Content-Length: -5\r\n\r\nhello", 400),
        (HEAD + b"Content-Length: 1_0\r\n\r\nhello", 400),
        (HEAD + b"Content-Length: 5\r\nContent-Length: 7\r\n\r\nhello", 400),
        (HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (HEAD + b"Transfer-Encoding: chunked\xa0\r\n\r\n", 501),
        (HEAD + b"Transfer-Encoding: \x85chunked\r\n\r\n", 501),
    ],
)
def test_malformed_heads_get_a_problem_and_are_counted(port, capfd, data, status):
    address, counts, bodies, _ = port
    head, _, body = exchange(address, data).partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode())
    assert json.loads(body)["type"] == "urn:lagoonsail:problem:malformed_request"
    assert json.loads(body)["ran"] == "no"
    assert counts == {"malformed_request": 1}
    assert bodies == []
    assert capfd.readouterr().err == ""


LENGTH = b"Content-Length: 5\r\n"
FLAWED_LINES = {
    "space before the colon": b"A : b\r\n",
    "tab before the colon": b"A\t: b\r\n",
    "space in the name": b"A B: c\r\n",
    "control byte in the name": b"A\x01: b\r\n",
    "8-bit name": b"A\xc3\xb1: b\r\n",
    "no colon": b"dawn\r\n",
    "no name": b": dawn\r\n",
    "mail envelope": b"From a: b\r\n",
    "carriage returns in the value": b"A: b\rc\rd\r\n",
    "length after a carriage return": b"A: b\rContent-Length: 0\r\n",
    "null byte in the value": b"A: b\x00c\r\n",
    "continued value": b"A: b\r\n c\r\n",
    "continued name": b" A: b\r\n",
}


# UNASKED: the length after a flawed line was not seen, and the body ran as a request.
@pytest.mark.parametrize("line", FLAWED_LINES.values(), ids=FLAWED_LINES)
@pytest.mark.parametrize("is_last", [False, True])
def test_body_after_a_flawed_header_line_is_not_a_request(port, line, is_last):
    address, counts, bodies, _ = port
    fields = LENGTH + line if is_last else line + LENGTH
    inner = HEAD + b"Content-Length: 0\r\n\r\n"
    answer = exchange(address, HEAD + fields + b"\r\n" + inner)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert counts == {"malformed_request": 1}
    assert bodies == []


@pytest.mark.parametrize(
    "line",
    [
        b"POST  /x HTTP/1.1\r\n",
        b"POST /x\x0bHTTP/1.1\r\n",
        b"POST /x\x01 HTTP/1.1\r\n",
        b"PO(ST /x HTTP/1.1\r\n",
        b"GET /x\r\n",
    ],
)
def test_flawed_request_line_is_refused(port, line):
    """Guards against a method or target that another parser divides differently."""
    address, _, bodies, _ = port
    answer = exchange(address, line + b"Host: a\r\nConnection: close\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert bodies == []


@pytest.mark.parametrize(
    "head",
    [
        b"POST /x HTTP/1.1",
        HEAD,
        HEAD + b"Content-Le",
        HEAD + LENGTH,
    ],
)
def test_head_that_breaks_off_is_not_a_request(port, head):
    """Guards against running a request whose length was still to come."""
    address, _, bodies, _ = port
    connection = eventlet.connect(address)
    connection.sendall(head)
    connection.shutdown(socket.SHUT_WR)
    with eventlet.Timeout(5.0):
        assert connection.recv(65_536).startswith(b"HTTP/1.1 400 ")
    connection.close()
    assert bodies == []


def test_unusual_header_lines_are_accepted(port):
    """Guards against refusing heads that the protocol allows."""
    address, _, bodies, _ = port
    lines = b'X!#$%&\'*+.^_`|~9: \xe9 \t"(x:y)"\r\nEmpty:\r\nConnection: close\r\n'
    assert exchange(address, HEAD + lines + b"\r\n").startswith(b"HTTP/1.1 413 ")
    assert len(bodies) == 1


def test_large_unread_body_ends_the_connection(port):
    address, _, bodies, _ = port
    clock = Clock()
    length = b"Content-Length: 1000000000\r\n\r\n"
    start_ms = clock.now_ms()
    answer = exchange(address, HEAD + length, b"x" * 300_000)
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b"connection: close" in answer.lower()
    assert bodies[0].position == 0
    # The answer waits neither for the remaining body nor for the socket timeout.
    assert clock.now_ms() - start_ms < 4000.0


def test_small_unread_body_leaves_the_connection_open(port):
    address, _, bodies, _ = port
    request = HEAD + b"Content-Length: %d\r\n\r\n" % MAX_DISCARD_BYTES
    connection = eventlet.connect(address)
    with eventlet.Timeout(5.0):
        for _ in range(2):
            connection.sendall(request + b"x" * MAX_DISCARD_BYTES)
            answer = b""
            while not answer.endswith(b"no"):
                answer += connection.recv(65_536)
    connection.shutdown(socket.SHUT_RDWR)
    assert len(bodies) == 2


def test_crowded_port_is_detected_while_its_connections_are_open(port):
    address, _, bodies, connections = port
    clients = []
    with eventlet.Timeout(5.0):
        for number in range(1, 4):
            connection = eventlet.connect(address)
            clients.append(connection)
            connection.sendall(HEAD + b"Content-Length: 0\r\n\r\n")
            while len(bodies) < number:
                eventlet.sleep(0.01)
            assert connections.is_crowded() == (number > connections.max_count / 2)
        for connection in clients:
            connection.close()
        while connections.count:
            eventlet.sleep(0.01)
    assert not connections.is_crowded()


# LOST: a stop did not wait for answers that callers had not read yet.
def test_request_counts_as_answered_only_once_its_answer_is_written():
    size = 4 << 20

    def serve(_env, start_response):
        start_response("200 OK", [("Content-Length", str(size))])
        return [b"x" * size]

    listening = eventlet.listen(("127.0.0.1", 0))
    # Accepted connections inherit the size of the buffer.
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    connections = OpenConnections(max_count=4)
    protocol = make_protocol(lambda kind: None, connections)
    task = eventlet.spawn(
        eventlet.wsgi.server, listening, serve, protocol=protocol, log_output=False
    )
    caller = eventlet.connect(listening.getsockname())
    caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    eventlet.sleep(0.2)
    assert connections.answering == 1
    received = 0
    with eventlet.Timeout(10.0):
        while data := caller.recv(1 << 20):
            received += len(data)
    eventlet.sleep(0.05)
    assert received > size
    assert connections.answering == 0
    caller.close()
    task.kill()
    listening.close()
