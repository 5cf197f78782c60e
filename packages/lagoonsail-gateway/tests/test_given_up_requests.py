"""Requests that are given up must not reach a server later."""

from __future__ import annotations

import socket
import time

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_gateway.server_connection import ConnectionLostError, connect

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nId: 1\r\nContent-Length: 30000\r\n\r\n"
BODY = b"x" * 30_000
TIMEOUT_MS = 200.0


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        # The request stays in the sender's buffer, as during a partition.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        yield sock


@pytest.fixture
def connection(listener):
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    return connect(address, Clock(), 1000.0)


def receive_all(peer):
    """Return what arrives at a server, and whether the connection was reset."""
    data = b""
    peer.settimeout(2.0)
    try:
        while part := peer.recv(1000):
            data += part
    except ConnectionResetError:
        return data, True
    return data, False


# EVAC: a request that was given up in a partition reached its server afterwards.
@pytest.mark.parametrize("is_aborted", [False, True])
def test_request_that_is_given_up_does_not_arrive_later(
    listener, connection, is_aborted
):
    clock = Clock()
    deadline_ms = clock.now_ms() + TIMEOUT_MS
    peer, _ = listener.accept()
    if is_aborted:
        eventlet.spawn_after(TIMEOUT_MS / 2000.0, connection.abort)
    with pytest.raises(ConnectionLostError):
        connection.send(HEAD, deadline_ms, BODY)
        connection.read_head(deadline_ms, lambda _: True)
    connection.close()
    data, is_reset = receive_all(peer)
    assert is_reset
    assert len(data) < len(HEAD + BODY)


def test_connection_that_was_aborted_while_it_sends_ends_soon(listener, connection):
    """Guards against a task that goes on sending for a caller that has left."""
    clock = Clock()
    started_ms = clock.now_ms()
    listener.accept()
    eventlet.spawn_after(0.1, connection.abort)
    with pytest.raises(ConnectionLostError):
        connection.send(HEAD, started_ms + 5000.0, BODY * 300)
        connection.read_head(started_ms + 5000.0, lambda _: True)
    assert clock.now_ms() - started_ms < 1000.0


def test_connection_without_a_request_is_closed_orderly(listener, connection):
    """Guards against resets of kept connections, which servers report as failures."""
    clock = Clock()
    deadline_ms = clock.now_ms() + 2000.0
    peer, _ = listener.accept()
    connection.send(b"GET / HTTP/1.1\r\nId: 1\r\n\r\n", deadline_ms)
    peer.recv(1000)
    peer.sendall(b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
    time.sleep(0.05)
    response = connection.read_head(deadline_ms, lambda _: True)
    assert connection.read_body(response, deadline_ms) == b"ok"
    assert connection.release_response(response)
    connection.close()
    assert receive_all(peer) == (b"", False)
