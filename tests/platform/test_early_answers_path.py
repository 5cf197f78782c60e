"""Servers that answer a long upload before they have read it, with a real router."""

from __future__ import annotations

import socket

import pytest
from lagoonsail_platform_standin.answer_reader import AnswerReader, CallerAnswer
from lagoonsail_platform_standin.fleet import make_request

from lagoonsail_core.green import eventlet, green_socket

ROUTER = "router-1"
BODY = b"x" * 8_000_000
LIMITS = {"max-body-bytes": len(BODY), "tokens-per-s": 0}
HEAD = (
    b"HTTP/1.1 200 OK\r\nLagoonsail-Attempt-Id: id-1\r\nLagoonsail-Server-Seal: s\r\n"
)


def serve_early(answer, *, ends_stream):
    """Answer each upload after its head, and reset; return the address."""
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        while True:
            connection, _ = listener.accept()
            with connection:
                connection.recv(1000)
                connection.sendall(answer)
                eventlet.sleep(0.05)
                if ends_stream:
                    connection.shutdown(socket.SHUT_WR)
                    eventlet.sleep(0.05)

    eventlet.spawn(serve)
    return f"127.0.0.1:{listener.getsockname()[1]}"


# MIXED: the part of an answer that came before a reset was passed on as the whole.
@pytest.mark.parametrize("ends_stream", [False, True])
@pytest.mark.parametrize("path", ["/write/1", "/read/1", "/stream/1"])
def test_part_of_an_early_answer_without_length_is_not_a_whole_one(
    fleet, path, ends_stream
):
    fleet.put_manifest(limits=LIMITS)
    for server in fleet.servers.values():
        server.address = serve_early(HEAD + b"\r\npart\n\n", ends_stream=ends_stream)
        server.born += 1
        fleet.store.put_json(f"servers/{server.server_id}", server.record())
    eventlet.sleep(0.3)
    data = make_request("POST", path, "id-1")
    length = b"Content-Length: %d" % len(BODY)
    answer = CallerAnswer()
    with green_socket.create_connection(("127.0.0.1", fleet.ports[ROUTER])) as sock:
        sock.settimeout(10.0)
        sock.sendall(data.replace(b"Content-Length: 0", length) + BODY)
        try:
            AnswerReader(sock).read(answer)
        except OSError:
            assert not answer.is_whole
    assert answer.status != 200 or not answer.is_whole
