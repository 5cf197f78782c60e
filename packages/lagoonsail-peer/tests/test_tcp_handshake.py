from __future__ import annotations

import struct
import time

import pytest

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.messages import MAX_FRAME_BYTES, Hello, SlotCancel, encode_frame
from lagoonsail_peer import _handshake
from lagoonsail_peer._frame_auth import TAG_BYTES, make_tagger
from lagoonsail_peer._places import MAX_HANDSHAKES
from lagoonsail_peer.signing import make_proof
from lagoonsail_peer.wire import MAX_STREAMS

HELLO = encode_frame(0, [Hello("raw", 1, "r", 0.0)])
SILENCE_S = 0.8


@pytest.fixture
def transport():
    return "tcp"


def framed(data):
    return struct.pack(">I", len(data)) + data


def make_answer(challenge, address, key=b"key", role=_handshake.ROLE_CLIENT):
    transcript = ("raw", "1", address, challenge, "00")
    return ["raw", "1", address, "00", make_proof(key, role, *transcript)]


def is_ended(connection):
    """Read until the other side ends the connection."""
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
def shake(server, raw_connect):
    """Connect, answer the challenge, and return the socket, the server's reply, and
    what frames a frame with its tag."""

    def call(change=None, **options):
        port = server.end.port
        connection, challenge = raw_connect(port)
        answer = make_answer(challenge, f"127.0.0.1:{port}", **options)
        if change is not None:
            answer = change(answer)
        _handshake._send(connection, answer)
        transcript = (*answer[:3], challenge, answer[3])
        make_tag = make_tagger(b"key", _handshake.ROLE_CLIENT, transcript)
        reply = _handshake._receive(connection, 2)
        return connection, reply, lambda frame: framed(frame + make_tag(frame))

    return call


def refused(server):
    return {key for key in server.end.counters if key.startswith("refused_")}


def test_server_proves_the_key_over_both_challenges(server, shake):
    connection, reply, seal = shake()
    assert reply[0] == _handshake.STATUS_OK
    assert len(reply[1]) == 64
    connection.sendall(seal(HELLO))
    eventlet.sleep(0.05)
    assert [stream.name for stream in server.streams()] == ["raw"]


def test_wrong_key_is_refused_over_tcp(server, shake):
    connection, reply, _ = shake(key=b"other")
    assert reply == [_handshake.STATUS_UNAUTHENTICATED, ""]
    assert is_ended(connection)
    assert refused(server) == {"refused_signature_wrong"}
    assert not server.events


@pytest.mark.parametrize("place", range(5))
def test_each_part_of_the_answer_is_proven(server, shake, place):
    def change(answer):
        return [*answer[:place], answer[place] + "1", *answer[place + 1 :]]

    assert shake(change)[1] == [_handshake.STATUS_UNAUTHENTICATED, ""]
    assert refused(server) == {"refused_signature_wrong"}


def test_proof_of_the_other_role_is_refused(server, shake):
    assert shake(role=_handshake.ROLE_SERVER)[1][0] == "unauthenticated"


def test_replayed_answer_is_refused(server, shake, raw_connect):
    used = []
    assert shake(lambda answer: used.append(answer) or answer)[1][0] == "ok"
    connection, _ = raw_connect(server.end.port)
    _handshake._send(connection, used[0])
    assert _handshake._receive(connection, 2)[0] == "unauthenticated"
    assert refused(server) == {"refused_signature_wrong"}


@pytest.mark.parametrize("empty", [["", "1"], ["raw", "one"], ["raw", "1" * 21]])
def test_bad_identity_is_refused(make_peer, raw_connect, empty):
    server = make_peer(name="server", key=b"")
    connection, _ = raw_connect(server.end.port)
    _handshake._send(connection, [*empty, "address", "00", ""])
    assert _handshake._receive(connection, 2)[0] == "unauthenticated"
    assert refused(server) == {"refused_metadata_malformed"}


@pytest.mark.parametrize("relayed", ["advertised", "unknown"])
def test_answer_meant_for_another_address_is_refused(
    make_peer, start_relay, wait_until, relayed
):
    relay = start_relay(0)
    known = f"127.0.0.1:{relay.port}"
    advertised = known if relayed == "advertised" else "127.0.0.1:1"
    server = make_peer(name="server", advertised=advertised)
    relay.target = ("127.0.0.1", server.end.port)
    direct = make_peer(f"127.0.0.1:{server.end.port}", name="direct")
    link = make_peer(known)
    wait_until(lambda: direct.of("open"))
    if relayed == "advertised":
        wait_until(lambda: link.of("open"))
        return
    wait_until(lambda: link.end.counters["closed_unauthenticated"])
    assert refused(server) == {"refused_handshake_address"}
    assert not link.events


def test_link_refuses_a_server_without_the_key(make_peer, wait_until):
    server = make_peer(name="server", key=b"")
    link = make_peer(f"127.0.0.1:{server.end.port}", key=b"key")
    wait_until(lambda: link.end.counters["closed_unauthenticated"])
    assert not link.events


def test_link_without_the_key_is_refused(server, make_peer, wait_until):
    link = make_peer(f"127.0.0.1:{server.end.port}", key=b"")
    wait_until(lambda: link.end.counters["closed_unauthenticated"])
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
    connection, _ = raw_connect(server.end.port)
    connection.sendall(data)
    assert is_ended(connection)
    wait_until(lambda: refused(server) == {"refused_handshake_malformed"})


def test_client_that_ends_within_the_handshake_is_counted(
    server, raw_connect, wait_until
):
    connection, _ = raw_connect(server.end.port)
    connection.close()
    wait_until(lambda: refused(server) == {"refused_handshake_ended"})


@pytest.mark.parametrize("pause_s", [0.0, 0.1], ids=["silent", "slow"])
def test_handshake_is_bounded_in_time(server, raw_connect, pause_s, wait_until):
    connection, challenge = raw_connect(server.end.port)
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
def test_link_survives_what_is_no_server(make_peer, wait_until, reply):
    listener = eventlet.listen(("127.0.0.1", 0))
    taken = []

    def accept():
        while True:
            connection, _ = listener.accept()
            taken.append(connection)
            connection.sendall(reply)

    task = eventlet.spawn(accept)
    link = make_peer(f"127.0.0.1:{listener.getsockname()[1]}")
    reason = "closed_broken" if reply else "closed_silent"
    wait_until(lambda: link.end.counters[reason] and link.end.counters["dials"] > 1)
    assert not link.events
    task.kill()
    listener.close()
    for connection in taken:
        connection.close()


def test_announced_length_above_the_limit_closes_the_stream(server, shake, wait_until):
    connection, _, seal = shake()
    connection.sendall(seal(HELLO) + seal(encode_frame(1, [SlotCancel(4)])))
    connection.sendall(struct.pack(">I", MAX_FRAME_BYTES + TAG_BYTES + 1))
    wait_until(lambda: server.of("close"))
    assert server.streams()[0].close_reason == "closed_oversized_frame"
    assert [message.ticket for message in server.messages(SlotCancel)] == [4]
    assert is_ended(connection)


def test_frame_that_trickles_in_is_closed_by_silence(server, shake, wait_until):
    connection, _, seal = shake()
    connection.sendall(seal(HELLO) + struct.pack(">I", 1000))
    wait_until(lambda: server.of("open"))
    started = time.monotonic()
    with pytest.raises(OSError):
        while time.monotonic() - started < 10.0:
            connection.sendall(b"x")
            eventlet.sleep(0.02)
    assert server.streams()[0].close_reason == "closed_silent"
    assert time.monotonic() - started >= SILENCE_S * 0.9


def test_frames_in_any_pieces_arrive_whole_and_in_order(server, shake, wait_until):
    connection, _, seal = shake()
    frames = [encode_frame(1, [SlotCancel(ticket)]) for ticket in range(40)]
    data = seal(HELLO) + b"".join(seal(frame) for frame in frames)
    for start in range(0, len(data), 7):
        connection.sendall(data[start : start + 7])
        eventlet.sleep(0)
    wait_until(lambda: len(server.messages(SlotCancel)) == 40)
    tickets = [message.ticket for message in server.messages(SlotCancel)]
    assert tickets == list(range(40))


@pytest.mark.parametrize(
    "tamper",
    [
        lambda first, second, bare: [first, first],
        lambda first, second, bare: [second, first],
        lambda first, second, bare: [second],
        lambda first, second, bare: [first[:8] + bytes([first[8] ^ 1]) + first[9:]],
        lambda first, second, bare: [first[:-1] + bytes([first[-1] ^ 1])],
        lambda first, second, bare: [framed(bare)],
        lambda first, second, bare: [framed(b"short")],
        lambda first, second, bare: [framed(b"")],
        lambda first, second, bare: [framed(bare + bytes(TAG_BYTES))],
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
def test_frame_that_is_not_the_next_one_closes_the_stream(
    server, shake, wait_until, tamper
):
    connection, _, seal = shake()
    connection.sendall(seal(HELLO))
    frames = [encode_frame(1, [SlotCancel(ticket)]) for ticket in (70_001, 70_002)]
    sealed = [seal(frame) for frame in frames]
    connection.sendall(b"".join(tamper(*sealed, frames[0])))
    wait_until(lambda: server.of("close"))
    assert server.streams()[0].close_reason == "closed_unauthentic_frame"
    assert server.end.counters["closed_unauthentic_frame"] == 1
    assert is_ended(connection)
    # At most the frame that came first and in its place was taken.
    tickets = [message.ticket for message in server.messages(SlotCancel)]
    assert tickets in ([], [70_001])


def test_frame_of_the_other_direction_or_connection_is_refused(
    server, shake, wait_until
):
    first, reply, seal = shake()
    hello = seal(HELLO)
    received = b""
    with eventlet.Timeout(5.0):
        while len(received) < 4:
            received += first.recv(65536)
    first.sendall(received)
    wait_until(lambda: server.end.counters["closed_unauthentic_frame"] == 1)
    second, _, _ = shake()
    second.sendall(hello)
    wait_until(lambda: server.end.counters["closed_unauthentic_frame"] == 2)
    assert not server.of("open")


def test_connections_that_do_not_answer_leave_room_for_streams(
    server, make_peer, wait_until
):
    """More than there are places, renewed as fast as they are dropped."""
    address = ("127.0.0.1", server.end.port)
    idle = []
    most = MAX_HANDSHAKES + MAX_STREAMS + 50

    def occupy():
        while True:
            idle.append(green_socket.create_connection(address))
            if len(idle) > most:
                idle.pop(0).close()
            # Now and then, so that others have a turn as they have between hosts.
            eventlet.sleep(0 if len(idle) <= most else 0.002)

    task = eventlet.spawn(occupy)
    wait_until(lambda: len(idle) > most - 1)
    links = [make_peer(f"127.0.0.1:{server.end.port}") for _ in range(3)]
    wait_until(lambda: all(link.of("open") for link in links), 2.0)
    eventlet.sleep(1.5)
    # Each got in when it first dialled, and was left alone from then on.
    assert [link.end.counters["dials"] for link in links] == [1, 1, 1]
    assert [link.end.counters["opened"] for link in links] == [1, 1, 1]
    assert not server.end.counters["refused_too_many_streams"]
    task.kill()
    for connection in idle:
        connection.close()
