"""Servers that answer while a long request is still being sent."""

from __future__ import annotations

import socket
import struct
import threading
import time

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.server_connection import ConnectionLostError, connect

REQUEST = b"POST / HTTP/1.1\r\nHost: x\r\nId: 1\r\nContent-Length: 8000000\r\n\r\n"
LONG_BODY = b"x" * 8_000_000
PART = b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"


@pytest.fixture
def exchange_early():
    """Send a long request to a server that answers early; return status and body."""
    listener = socket.create_server(("127.0.0.1", 0))
    clock = Clock()

    def serve(answer, pause_s, read_bytes, ends_stream):
        peer, _ = listener.accept()
        peer.recv(1)
        left = read_bytes
        while left > 0:
            left -= len(peer.recv(min(left, 65_536)))
        time.sleep(pause_s)
        peer.sendall(answer)
        time.sleep(pause_s)
        if ends_stream:
            peer.shutdown(socket.SHUT_WR)
            time.sleep(pause_s)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()

    def run(
        answer,
        pause_s=0.05,
        read_bytes=0,
        ends_stream=True,
        body=LONG_BODY,
        read_after_s=0.0,
    ):
        arguments = (answer, pause_s, read_bytes, ends_stream)
        threading.Thread(target=serve, args=arguments, daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        connection = connect(address, clock, 1000.0)
        deadline_ms = clock.now_ms() + 3000.0
        connection.send(REQUEST, deadline_ms, body)
        time.sleep(read_after_s)
        response = connection.read_head(deadline_ms, lambda _: True)
        parts = []
        while part := connection.read_body(response, deadline_ms):
            parts.append(part)
        return response.status, b"".join(parts)

    yield run
    listener.close()


# MIXED: a part of an answer without a length was passed on as the whole answer.
@pytest.mark.parametrize("pause_s", [0.0, 0.02, 0.2])
@pytest.mark.parametrize("read_bytes", [0, 300_000])
@pytest.mark.parametrize("ends_stream", [False, True])
def test_early_answer_without_length_is_not_whole(
    exchange_early, pause_s, read_bytes, ends_stream
):
    with pytest.raises(ConnectionLostError):
        exchange_early(PART, pause_s, read_bytes, ends_stream)


def test_answer_without_length_is_not_whole_if_a_reset_follows_its_end(exchange_early):
    with pytest.raises(ConnectionLostError):
        exchange_early(PART, pause_s=0.02, body=b"x" * 1000, read_after_s=0.3)


def test_early_refusal_without_length_is_an_answer(exchange_early):
    """Guards against hiding what a server says of a body that it does not want."""
    status, body = exchange_early(b"HTTP/1.1 413 Too Large\r\n\r\nno")
    assert (status, body) == (413, b"no")
