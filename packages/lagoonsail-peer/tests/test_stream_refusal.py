from __future__ import annotations

import grpc
import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import Hello, SlotCancel, encode_frame
from lagoonsail_peer import server as server_module
from lagoonsail_peer._grpc import METHOD_PATH, signed_body
from lagoonsail_peer.server import AddressError
from lagoonsail_peer.signing import sign

CLOCK = Clock()

GRPC_ONLY = pytest.mark.parametrize("transport", ["grpc"], indirect=True)

HELLO = encode_frame(0, [Hello("raw", 1, "r", 0.0)])

BODY = signed_body("raw", 1)


def test_wrong_key_is_refused(pair, make_peer, wait_until):
    server, _ = pair
    stranger = make_peer(f"127.0.0.1:{server.peer.port}", name="x", key=b"other")
    wait_until(lambda: server.peer.counters["refused_signature_wrong"])
    wait_until(lambda: stranger.peer.counters["closed_unauthenticated"])
    assert not stranger.events
    assert len(server.of("open")) == 1


@GRPC_ONLY
def test_signature_is_valid_for_one_call_only(pair, raw_call):
    server, _ = pair
    signature = sign(b"key", "STREAM", METHOD_PATH, BODY, CLOCK)
    raw_call(server.peer.port, [HELLO, b"end"], signature=signature)
    assert len(server.of("open")) == 2
    second = raw_call(server.peer.port, [HELLO], signature=signature)
    assert second == [grpc.StatusCode.UNAUTHENTICATED]
    assert server.peer.counters["refused_signature_replayed"] == 1
    assert len(server.of("open")) == 2


@GRPC_ONLY
@pytest.mark.parametrize(
    ("signature", "reason"),
    [
        ("", "signature_missing"),
        ("t=1,n=2,s=3", "signature_malformed"),
        (
            sign(b"key", "STREAM", METHOD_PATH, BODY, Clock(read_wall_ms=lambda: 5.0)),
            "signature_expired",
        ),
        (
            sign(b"key", "STREAM", METHOD_PATH, signed_body("raw", 2), CLOCK),
            "signature_wrong",
        ),
    ],
)
def test_bad_signature_is_refused_and_counted(pair, raw_call, signature, reason):
    server, _ = pair
    received = raw_call(server.peer.port, [HELLO], signature=signature)
    assert received == [grpc.StatusCode.UNAUTHENTICATED]
    assert server.peer.counters[f"refused_{reason}"] == 1


@GRPC_ONLY
@pytest.mark.parametrize(("router", "incarnation"), [("", "1"), ("raw", "one")])
def test_bad_metadata_is_refused_and_counted(pair, raw_call, router, incarnation):
    server, _ = pair
    received = raw_call(
        server.peer.port, [HELLO], router=router, incarnation=incarnation
    )
    assert received == [grpc.StatusCode.UNAUTHENTICATED]
    assert server.peer.counters["refused_metadata_malformed"] == 1


@pytest.mark.parametrize("hello", [("other", 1), ("raw", 2)])
def test_hello_under_another_identity_is_refused(pair, raw_call, hello):
    server, _ = pair
    raw_call(server.peer.port, [encode_frame(0, [Hello(*hello, "r", 0.0)])])
    assert server.peer.counters["closed_protocol"] == 1
    assert len(server.of("open")) == 1


def test_empty_key_disables_authentication(make_peer, wait_until, transport):
    server = make_peer(name="server", key=b"")
    # Over TCP a link with a key also requires the server to prove it.
    link_key = b"any" if transport == "grpc" else b""
    link = make_peer(f"127.0.0.1:{server.peer.port}", key=link_key)
    wait_until(lambda: link.of("open"))


def test_streams_above_the_limit_are_refused(monkeypatch, make_peer, wait_until):
    monkeypatch.setattr(server_module, "MAX_STREAMS", 3)
    server = make_peer(name="server")
    address = f"127.0.0.1:{server.peer.port}"
    links = [make_peer(address, name=f"r{number}") for number in range(3)]
    wait_until(lambda: all(link.of("open") for link in links))
    fourth = make_peer(address, name="r3")
    wait_until(lambda: server.peer.counters["refused_too_many_streams"])
    assert not fourth.events
    links[0].peer.stop()
    wait_until(lambda: fourth.of("open"))


def test_many_streams_at_once(make_peer, wait_until):
    server = make_peer(name="server", silence_ms=5000.0, heartbeat_ms=1000.0)
    address = f"127.0.0.1:{server.peer.port}"
    links = [
        make_peer(address, f"r{number}", silence_ms=5000.0, heartbeat_ms=1000.0)
        for number in range(server_module.MAX_STREAMS)
    ]
    wait_until(lambda: all(link.of("open") for link in links), 30.0)
    for link in links:
        link.peer.stream.send(SlotCancel(3))
    wait_until(lambda: len(server.messages(SlotCancel)) == len(links))


def test_address_in_use_is_a_typed_error(pair, transport):
    server, _ = pair
    address = f"127.0.0.1:{server.peer.port}"
    second = server_module.PeerServer(
        address, b"", server.peer._options, transport=transport
    )
    with pytest.raises(AddressError):
        second.start()
    eventlet.sleep(0)
