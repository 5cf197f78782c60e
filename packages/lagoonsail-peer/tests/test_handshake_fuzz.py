from __future__ import annotations

import json
import struct

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonsail_core.messages import Hello
from lagoonsail_peer import _handshake
from lagoonsail_peer._frame_auth import make_tagger, make_verifier
from lagoonsail_peer.wire import StreamAcceptor

fuzzed = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    # Slow example generation on a busy machine is not a failure.
    suppress_health_check=[HealthCheck.too_slow],
)
values = st.recursive(
    st.one_of(st.none(), st.integers(), st.floats(), st.text(max_size=8)),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=8,
)
lists = st.lists(st.text(max_size=8), min_size=2, max_size=5)
bodies = (values | lists).map(lambda value: json.dumps(value).encode())
messages = bodies.map(lambda body: struct.pack(">H", len(body)) + body)
data = st.binary(max_size=60) | st.lists(messages, max_size=2).map(b"".join)
TRANSCRIPT = ("r1", "1", "127.0.0.1:1", "00", "11")


class FakeConnection:
    """A fake connection with a fixed sequence of received bytes."""

    def __init__(self, data: bytes) -> None:
        self.unread = data
        self.sent = b""

    def recv(self, size: int) -> bytes:
        chunk, self.unread = self.unread[:size], self.unread[size:]
        return chunk

    def sendall(self, data: bytes) -> None:
        self.sent += data


@pytest.fixture(scope="module", params=[b"key", b""], ids=["key", "no_key"])
def key(request):
    return request.param


@fuzzed
@given(received=data)
def test_any_answer_of_a_client_is_refused_or_names_it(key, received):
    acquired = []
    acceptor = StreamAcceptor(
        key,
        "",
        acquire=lambda: not acquired.append(1),
        release=acquired.pop,
        accept=None,
        discard=None,
        count=None,
    )
    try:
        router, incarnation = _handshake.run_server(
            FakeConnection(received), acceptor, set()
        )[:2]
    except _handshake.HandshakeError as error:
        assert error.remedy
        assert not acquired
        return
    # An unauthenticated identity is accepted only without a key.
    assert not key
    assert router
    assert int(incarnation) >= 0


@fuzzed
@given(received=data)
def test_any_answer_of_a_server_is_refused_or_no_key_is_wanted(key, received):
    hello = Hello("r1", 1, "sierra", 0.0)
    try:
        _handshake.run_client(FakeConnection(received), key, "127.0.0.1:1", hello)
    except _handshake.HandshakeError as error:
        assert error.remedy
        return
    assert not key


@fuzzed
@given(st.binary(max_size=40), st.binary(max_size=40))
def test_only_the_frame_that_was_tagged_is_opened(frame, other):
    tagged = frame + make_tagger(b"key", "client", TRANSCRIPT)(frame)
    for data in (other, tagged):
        verified = make_verifier(b"key", "client", TRANSCRIPT)(data)
        assert verified == (frame if data == tagged else None)
