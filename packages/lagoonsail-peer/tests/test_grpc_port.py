"""Handling of malformed and refused calls by the gRPC transport."""

from __future__ import annotations

import socket
import struct
import threading

import grpc
import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.messages import Hello, SlotCancel, encode_frame
from lagoonsail_peer import _grpc as grpc_module
from lagoonsail_peer._grpc import (
    METADATA_INCARNATION,
    METADATA_ROUTER,
    METADATA_SIGNATURE,
    METHOD_PATH,
    SERVICE,
    signed_body,
)
from lagoonsail_peer.signing import sign

pytestmark = pytest.mark.parametrize("transport", ["grpc"], indirect=True)

CLOCK = Clock()

HELLO = encode_frame(0, [Hello("raw", 1, "r", 0.0)])
VALID_FRAME = encode_frame(1, [SlotCancel(1)])

DATA, HEADERS, SETTINGS = 0, 1, 4
"""HTTP/2 frame types."""
END_STREAM, END_HEADERS = 1, 4
"""HTTP/2 frame flags."""


def http2_frame(kind, flags, stream, payload):
    length = struct.pack(">I", len(payload))[1:]
    return length + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def http2_field(name, value):
    """Encode a literal header field without indexing or compression."""
    texts = (name.encode(), value.encode())
    return b"\0" + b"".join(bytes([len(text)]) + text for text in texts)


def signed_call_head():
    """Return the HTTP/2 bytes of a signed call before its first message."""
    signature = sign(b"key", "STREAM", METHOD_PATH, signed_body("raw", 1), CLOCK)
    fields = {
        ":method": "POST",
        ":scheme": "http",
        ":path": METHOD_PATH,
        ":authority": "router",
        "content-type": "application/grpc",
        "te": "trailers",
        METADATA_ROUTER: "raw",
        METADATA_INCARNATION: "1",
        METADATA_SIGNATURE: signature,
    }
    fields_block = b"".join(http2_field(name, value) for name, value in fields.items())
    return (
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
        + http2_frame(SETTINGS, 0, 0, b"")
        + http2_frame(HEADERS, END_HEADERS, 1, fields_block)
    )


def message(payload, flag=0, length=None):
    length = len(payload) if length is None else length
    return bytes([flag]) + struct.pack(">I", length) + payload


@pytest.fixture
def connect():
    """Open TCP connections to a port; close them at teardown."""
    opened = []

    def open_connection(port):
        opened.append(socket.create_connection(("127.0.0.1", port), timeout=5.0))
        return opened[-1]

    yield open_connection
    for connection in opened:
        connection.close()


@pytest.fixture
def call_path(wait_until):
    """Call any path of a server and return the status codes."""

    def call(port, path):
        codes = []

        def run():
            options = (("grpc.use_local_subchannel_pool", 1),)
            with grpc.insecure_channel(f"127.0.0.1:{port}", options=options) as channel:
                try:
                    list(channel.stream_stream(path)(iter([HELLO]), timeout=5.0))
                except grpc.RpcError as error:
                    codes.append(error.code())

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        wait_until(lambda: not thread.is_alive())
        return codes

    return call


@pytest.mark.parametrize("path", [f"/{SERVICE}/Other", "/other.Service/Stream", "/"])
def test_unknown_path_is_refused_and_counted(pair, call_path, wait_until, path):
    server, link = pair
    assert call_path(server.peer.port, path) == [grpc.StatusCode.UNIMPLEMENTED]
    wait_until(lambda: server.peer.counters["refused_method_unknown"] == 1)
    assert len(server.of("open")) == 1
    assert not link.of("close")


def test_calls_above_the_limit_of_calls_are_counted(
    monkeypatch, make_peer, call_path, wait_until
):
    monkeypatch.setattr(grpc_module, "MAX_CALLS", 2)
    server = make_peer(name="server")
    address = f"127.0.0.1:{server.peer.port}"
    links = [make_peer(address, name=f"r{number}") for number in range(2)]
    wait_until(lambda: all(link.of("open") for link in links))
    for _ in range(3):
        codes = call_path(server.peer.port, METHOD_PATH)
        assert codes == [grpc.StatusCode.RESOURCE_EXHAUSTED]
    # A call that was not started is counted when the next one arrives.
    call_path(server.peer.port, "/")
    wait_until(lambda: server.peer.counters["refused_too_many_calls"] == 3)
    links[0].peer.stop()
    third = make_peer(address, name="r2")
    wait_until(lambda: third.of("open"))
    assert server.peer.counters["refused_too_many_calls"] == 3


def test_incarnation_with_too_many_digits_is_refused_without_reserving_a_stream(
    make_peer, raw_call, wait_until
):
    server = make_peer(name="server", key=b"")
    received = raw_call(server.peer.port, [HELLO], incarnation="9" * 5000)
    assert received == [grpc.StatusCode.UNAUTHENTICATED]
    wait_until(lambda: server.peer.counters["refused_metadata_malformed"] == 1)
    assert server.peer._active_streams == 0


@pytest.mark.parametrize(
    "data",
    [
        http2_frame(
            DATA, END_STREAM, 1, message(VALID_FRAME, length=len(VALID_FRAME) + 90)
        ),
        http2_frame(DATA, END_STREAM, 1, b"\0\0"),
        http2_frame(DATA, 0, 1, message(VALID_FRAME, flag=1)),
        http2_frame(DATA, 0, 1, message(VALID_FRAME))[:-1],
    ],
    ids=["short_message", "short_head", "unknown_compression", "short_http2_frame"],
)
def test_truncated_or_malformed_message_is_counted_and_not_delivered(
    pair, connect, wait_until, data
):
    server, link = pair
    connection = connect(server.peer.port)
    connection.sendall(signed_call_head() + http2_frame(DATA, 0, 1, message(HELLO)))
    wait_until(lambda: len(server.of("open")) == 2)
    connection.sendall(data)
    connection.shutdown(socket.SHUT_WR)
    wait_until(lambda: server.peer.counters["closed_broken"] == 1)
    assert not server.messages(SlotCancel)
    link.peer.stream.send(SlotCancel(9))
    wait_until(lambda: server.messages(SlotCancel))


def test_replayed_bytes_of_a_call_are_refused_and_counted(pair, connect, wait_until):
    server, _ = pair
    recorded = signed_call_head() + http2_frame(
        DATA, 0, 1, message(HELLO) + message(VALID_FRAME)
    )
    connect(server.peer.port).sendall(recorded)
    wait_until(lambda: server.messages(SlotCancel))
    connect(server.peer.port).sendall(recorded)
    wait_until(lambda: server.peer.counters["refused_signature_replayed"] == 1)
    assert len(server.messages(SlotCancel)) == 1


@pytest.mark.parametrize(
    "garbage",
    [b"GET / HTTP/1.1\r\nHost: router\r\n\r\n", b"\x16\x03\x01" + b"\xff" * 500, b"\0"],
    ids=["http_1", "tls", "one_byte"],
)
def test_non_http2_connection_does_not_affect_streams(
    pair, connect, wait_until, garbage
):
    server, link = pair
    before = dict(server.peer.counters)
    connection = connect(server.peer.port)
    connection.sendall(garbage)
    connection.shutdown(socket.SHUT_WR)
    connection.settimeout(5.0)
    while connection.recv(4096):
        pass
    link.peer.stream.send(SlotCancel(9))
    wait_until(lambda: server.messages(SlotCancel))
    assert not link.of("close")
    # gRPC does not report these, which is documented.
    refused = {key for key in server.peer.counters if key.startswith("refused_")}
    assert refused == {key for key in before if key.startswith("refused_")}


@pytest.mark.parametrize("data", [b"", b"PRI * HTTP/2.0"], ids=["none", "part"])
def test_silent_connection_is_closed(pair, connect, data):
    server, link = pair
    connection = connect(server.peer.port)
    connection.sendall(data)
    # Closed after the silence timeout of 2 s; the socket times out after 5 s.
    while connection.recv(4096):
        pass
    assert not link.of("close")
