from __future__ import annotations

import struct
import time

import pytest

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.messages import MAX_FRAME_BYTES, Hello, SlotCancel, encode_frame
from lagoonsail_peer import _handshake
from lagoonsail_peer._frame_auth import TAG_BYTES, make_tagger
from lagoonsail_peer._pending_handshakes import MAX_HANDSHAKES
from lagoonsail_peer.signing import make_proof
from lagoonsail_peer.wire import MAX_STREAMS

HELLO = encode_frame(0, [Hello("raw", 1, "r", 0.0)])
SILENCE_S = 0.8


@pytest.fixture
def transport():
    return "tcp"


def with_length(data):
    return struct.pack(">I", len(data)) + data


def make_answer(challenge, address, key=b"key", role=_handshake.ROLE_CLIENT):
    transcript = ("raw", "1", address, challenge, "00")
    return ["raw", "1", address, "00", make_proof(key, role, *transcript)]


def is_ended(connection):
    """Read until the other side closes the connection."""
    with eventlet.Timeout(5.0):
        try:
            while connection.recv(65536):
                pass
        except ConnectionResetError:
            pass
    return True


@pytest.fixture
def server(make_peer):
    return make_peer(name="server")


@pytest.fixture
def handshake(server, raw_connect):
    """Connect and answer the challenge; return the socket, the server's reply, and a
    function that encodes a frame with its length and tag."""

    def call(change=None, **options):
        port = server.peer.port
        connection, challenge = raw_connect(port)
        answer = make_answer(challenge, f"127.0.0.1:{port}", **options)
        if change is not None:
            answer = change(answer)
        _handshake._send(connection, answer)
        transcript = (*answer[:3], challenge, answer[3])
        make_tag = make_tagger(b"key", _handshake.ROLE_CLIENT, transcript)
        reply = _handshake._receive(connection, 2)
        return connection, reply, lambda frame: with_length(frame + make_tag(frame))

    return call


def refused(server):
    return {key for key in server.peer.counters if key.startswith("refused_")}


def test_server_proves_the_key_over_both_challenges(server, handshake):
    connection, reply, encode = handshake()
    assert reply[0] == _handshake.STATUS_OK
    assert len(reply[1]) == 64
    connection.sendall(encode(HELLO))
    eventlet.sleep(0.05)
    assert [stream.name for stream in server.streams()] == ["raw"]


def test_wrong_key_is_refused_over_tcp(server, handshake):
    connection, reply, _ = handshake(key=b"other")
    assert reply == [_handshake.STATUS_UNAUTHENTICATED, ""]
    assert is_ended(connection)
    assert refused(server) == {"refused_signature_wrong"}
    assert not server.events


@pytest.mark.parametrize("position", range(5))
def test_proof_covers_each_part_of_the_answer(server, handshake, position):
    def change(answer):
        return [*answer[:position], answer[position] + "1", *answer[position + 1 :]]

    assert handshake(change)[1] == [_handshake.STATUS_UNAUTHENTICATED, ""]
    assert refused(server) == {"refused_signature_wrong"}


def test_proof_of_the_other_role_is_refused(server, handshake):
    assert handshake(role=_handshake.ROLE_SERVER)[1][0] == "unauthenticated"


def test_replayed_answer_is_refused(server, handshake, raw_connect):
    recorded = []
    assert handshake(lambda answer: recorded.append(answer) or answer)[1][0] == "ok"
    connection, _ = raw_connect(server.peer.port)
    _handshake._send(connection, recorded[0])
    assert _handshake._receive(connection, 2)[0] == "unauthenticated"
    assert refused(server) == {"refused_signature_wrong"}


@pytest.mark.parametrize("identity", [["", "1"], ["raw", "one"], ["raw", "1" * 21]])
def test_bad_identity_is_refused(make_peer, raw_connect, identity):
    server = make_peer(name="server", key=b"")
    connection, _ = raw_connect(server.peer.port)
    _handshake._send(connection, [*identity, "address", "00", ""])
    assert _handshake._receive(connection, 2)[0] == "unauthenticated"
    assert refused(server) == {"refused_metadata_malformed"}


@pytest.mark.parametrize("relay_address", ["advertised", "unknown"])
def test_answer_meant_for_another_address_is_refused(
    make_peer, start_relay, wait_until, relay_address
):
    relay = start_relay(0)
    known = f"127.0.0.1:{relay.port}"
    advertised = known if relay_address == "advertised" else "127.0.0.1:1"
    server = make_peer(name="server", advertised_address=advertised)
    relay.target = ("127.0.0.1", server.peer.port)
    direct = make_peer(f"127.0.0.1:{server.peer.port}", name="direct")
    link = make_peer(known)
    wait_until(lambda: direct.of("open"))
    if relay_address == "advertised":
        wait_until(lambda: link.of("open"))
        return
    wait_until(lambda: link.peer.counters["closed_unauthenticated"])
    assert refused(server) == {"refused_handshake_address"}
    assert not link.events


def test_link_refuses_a_server_without_the_key(make_peer, wait_until):
    server = make_peer(name="server", key=b"")
    link = make_peer(f"127.0.0.1:{server.peer.port}", key=b"key")
    wait_until(lambda: link.peer.counters["closed_unauthenticated"])
    assert not link.events


def test_link_without_the_key_is_refused(server, make_peer, wait_until):
    link = make_peer(f"127.0.0.1:{server.peer.port}", key=b"")
    wait_until(lambda: link.peer.counters["closed_unauthenticated"])
    assert refused(server) == {"refused_signature_wrong"}


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n" + b"x" * 30_000,
        struct.pack(">H", _handshake.MAX_MESSAGE_BYTES + 1),
        struct.pack(">H", 4) + b"\xff\xff\xff\xff",
        struct.pack(">H", 4) + b"[[[[",
        struct.pack(">H", 4000) + b"[" * 4000,
        struct.pack(">H", 2) + b"{}",
        struct.pack(">H", 11) + b"[1,2,3,4,5]",
    ],
    ids=["http", "oversized", "binary", "open", "deep", "map", "numbers"],
)
def test_garbage_ends_the_handshake(server, raw_connect, data, wait_until):
    connection, _ = raw_connect(server.peer.port)
    connection.sendall(data)
    assert is_ended(connection)
    wait_until(lambda: refused(server) == {"refused_handshake_malformed"})


def test_client_that_ends_within_the_handshake_is_counted(
    server, raw_connect, wait_until
):
    connection, _ = raw_connect(server.peer.port)
    connection.close()
    wait_until(lambda: refused(server) == {"refused_handshake_ended"})


@pytest.mark.parametrize("pause_s", [0.0, 0.1], ids=["silent", "slow"])
def test_handshake_times_out(server, raw_connect, pause_s, wait_until):
    connection, challenge = raw_connect(server.peer.port)
    started = time.monotonic()

    def trickle():
        for byte in struct.pack(">H", 2000) + b"x" * 30:
            eventlet.sleep(pause_s)
            connection.sendall(bytes([byte]))

    task = eventlet.spawn(trickle) if pause_s else None
    wait_until(lambda: refused(server) == {"refused_handshake_silent"})
    assert time.monotonic() - started >= SILENCE_S * 0.9
    assert is_ended(connection)
    if task is not None:
        task.kill()


@pytest.mark.parametrize("reply", [b"", b"\x00\x02[]", b"HTTP/1.1 400 Bad\r\n\r\n"])
def test_link_redials_after_a_non_server_reply(make_peer, wait_until, reply):
    listener = eventlet.listen(("127.0.0.1", 0))
    accepted = []

    def accept():
        while True:
            connection, _ = listener.accept()
            accepted.append(connection)
            connection.sendall(reply)

    task = eventlet.spawn(accept)
    link = make_peer(f"127.0.0.1:{listener.getsockname()[1]}")
    reason = "closed_broken" if reply else "closed_silent"
    wait_until(lambda: link.peer.counters[reason] and link.peer.counters["dials"] > 1)
    assert not link.events
    task.kill()
    listener.close()
    for connection in accepted:
        connection.close()


def test_announced_length_above_the_limit_closes_the_stream(
    server, handshake, wait_until
):
    connection, _, encode = handshake()
    connection.sendall(encode(HELLO) + encode(encode_frame(1, [SlotCancel(4)])))
    connection.sendall(struct.pack(">I", MAX_FRAME_BYTES + TAG_BYTES + 1))
    wait_until(lambda: server.of("close"))
    assert server.streams()[0].close_reason == "closed_oversized_frame"
    assert [message.ticket for message in server.messages(SlotCancel)] == [4]
    assert is_ended(connection)


def test_stream_with_a_frame_that_trickles_in_times_out(server, handshake, wait_until):
    connection, _, encode = handshake()
    connection.sendall(encode(HELLO) + struct.pack(">I", 1000))
    wait_until(lambda: server.of("open"))
    started = time.monotonic()
    with pytest.raises(OSError):
        while time.monotonic() - started < 10.0:
            connection.sendall(b"x")
            eventlet.sleep(0.02)
    assert server.streams()[0].close_reason == "closed_silent"
    assert time.monotonic() - started >= SILENCE_S * 0.9


def test_frames_split_into_pieces_arrive_complete_and_in_order(
    server, handshake, wait_until
):
    connection, _, encode = handshake()
    frames = [encode_frame(1, [SlotCancel(ticket)]) for ticket in range(40)]
    data = encode(HELLO) + b"".join(encode(frame) for frame in frames)
    for start in range(0, len(data), 7):
        connection.sendall(data[start : start + 7])
        eventlet.sleep(0)
    wait_until(lambda: len(server.messages(SlotCancel)) == 40)
    tickets = [message.ticket for message in server.messages(SlotCancel)]
    assert tickets == list(range(40))


@pytest.mark.parametrize(
    "tamper",
    [
        lambda first, second, untagged: [first, first],
        lambda first, second, untagged: [second, first],
        lambda first, second, untagged: [second],
        lambda first, second, untagged: [first[:8] + bytes([first[8] ^ 1]) + first[9:]],
        lambda first, second, untagged: [first[:-1] + bytes([first[-1] ^ 1])],
        lambda first, second, untagged: [with_length(untagged)],
        lambda first, second, untagged: [with_length(b"short")],
        lambda first, second, untagged: [with_length(b"")],
        lambda first, second, untagged: [with_length(untagged + bytes(TAG_BYTES))],
    ],
    ids=[
        "replayed",
        "reordered",
        "left_out",
        "altered",
        "altered_tag",
        "untagged",
        "short",
        "empty",
        "injected",
    ],
)
def test_frame_out_of_sequence_closes_the_stream(server, handshake, wait_until, tamper):
    connection, _, encode = handshake()
    connection.sendall(encode(HELLO))
    frames = [encode_frame(1, [SlotCancel(ticket)]) for ticket in (70_001, 70_002)]
    encoded = [encode(frame) for frame in frames]
    connection.sendall(b"".join(tamper(*encoded, frames[0])))
    wait_until(lambda: server.of("close"))
    assert server.streams()[0].close_reason == "closed_unauthentic_frame"
    assert server.peer.counters["closed_unauthentic_frame"] == 1
    assert is_ended(connection)
    # At most the first frame in its correct position was delivered.
    tickets = [message.ticket for message in server.messages(SlotCancel)]
    assert tickets in ([], [70_001])


def test_frame_of_the_other_direction_or_connection_is_refused(
    server, handshake, wait_until
):
    first, reply, encode = handshake()
    hello = encode(HELLO)
    received = b""
    with eventlet.Timeout(5.0):
        while len(received) < 4:
            received += first.recv(65536)
    first.sendall(received)
    wait_until(lambda: server.peer.counters["closed_unauthentic_frame"] == 1)
    second, _, _ = handshake()
    second.sendall(hello)
    wait_until(lambda: server.peer.counters["closed_unauthentic_frame"] == 2)
    assert not server.of("open")


def test_unauthenticated_connections_do_not_block_streams(
    server, make_peer, wait_until
):
    """Idle connections exceed the handshake limit and are renewed when dropped."""
    address = ("127.0.0.1", server.peer.port)
    idle = []
    max_idle = MAX_HANDSHAKES + MAX_STREAMS + 50

    def hold_connections():
        while True:
            idle.append(green_socket.create_connection(address))
            if len(idle) > max_idle:
                idle.pop(0).close()
            # Yields, so that other connections make progress as they do between hosts.
            eventlet.sleep(0 if len(idle) <= max_idle else 0.002)

    task = eventlet.spawn(hold_connections)
    wait_until(lambda: len(idle) > max_idle - 1)
    links = [make_peer(f"127.0.0.1:{server.peer.port}") for _ in range(3)]
    wait_until(lambda: all(link.of("open") for link in links), 2.0)
    eventlet.sleep(1.5)
    # Each link connected with its first dial and stayed connected.
    assert [link.peer.counters["dials"] for link in links] == [1, 1, 1]
    assert [link.peer.counters["opened"] for link in links] == [1, 1, 1]
    assert not server.peer.counters["refused_too_many_streams"]
    task.kill()
    for connection in idle:
        connection.close()
