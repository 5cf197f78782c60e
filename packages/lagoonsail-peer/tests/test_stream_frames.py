from __future__ import annotations

import grpc
import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import (
    MAX_FRAME_BYTES,
    ConfigPush,
    Hello,
    SlotCancel,
    encode_frame,
)
from lagoonsail_peer.stream import MAX_QUEUED_MESSAGES

HELLO = encode_frame(0, [Hello("raw", 1, "r", 0.0)])

VALID_FRAME = encode_frame(1, [SlotCancel(1)])


@pytest.mark.parametrize(
    ("frame", "reason"),
    [
        (b"", "closed_malformed_frame"),
        (b"\xc1 no msgpack", "closed_malformed_frame"),
        (b"\x81\x90\x01", "closed_malformed_frame"),
        (VALID_FRAME[:-1], "closed_malformed_frame"),
        (VALID_FRAME + b"\x00", "closed_malformed_frame"),
        (b"\x00" * (MAX_FRAME_BYTES + 1), "closed_oversized_frame"),
        (HELLO, "closed_protocol"),
        (encode_frame(2**61, [SlotCancel(1)]), "closed_protocol"),
    ],
    ids=[
        "empty",
        "other",
        "list_key",
        "truncated",
        "trailing",
        "oversized",
        "hello",
        "leap",
    ],
)
def test_bad_frame_closes_its_stream_only(pair, raw_call, frame, reason, wait_until):
    server, link = pair
    raw_call(server.peer.port, [HELLO, VALID_FRAME, frame, VALID_FRAME])
    assert server.peer.counters[reason] == 1
    assert len(server.messages(SlotCancel)) == 1
    wait_until(lambda: server.of("close"))
    assert server.of("close")[0][1].name == "raw"
    link.peer.stream.send(SlotCancel(9))
    wait_until(lambda: server.messages(SlotCancel)[-1].ticket == 9)


@pytest.mark.parametrize("transport", ["grpc"], indirect=True)
def test_frame_above_the_limit_of_grpc_is_refused_by_grpc(pair, raw_call, wait_until):
    server, _ = pair
    received = raw_call(server.peer.port, [HELLO, b"\x00" * (2 * MAX_FRAME_BYTES)])
    assert received[-1] is grpc.StatusCode.RESOURCE_EXHAUSTED
    wait_until(lambda: server.peer.counters["closed_broken"] == 1)


def test_call_that_ends_without_notice_is_counted_as_broken(pair, raw_call, wait_until):
    server, _ = pair
    raw_call(server.peer.port, [HELLO, VALID_FRAME, None])
    wait_until(lambda: server.peer.counters["closed_broken"] == 1)
    raw_call(server.peer.port, [HELLO, VALID_FRAME, encode_frame(0, []), None])
    assert server.peer.counters["closed_ended"] == 1
    assert len(server.messages(SlotCancel)) == 2


def test_first_message_must_be_a_hello(pair, raw_call):
    server, _ = pair
    raw_call(server.peer.port, [VALID_FRAME])
    assert server.peer.counters["closed_protocol"] == 1
    assert len(server.of("open")) == 1


def test_batch_larger_than_a_frame_is_split(pair, wait_until):
    server, link = pair
    value = "x" * 700_000
    for number in range(12):
        link.peer.stream.send(ConfigPush([["key", number, value]]))
    wait_until(lambda: len(server.messages(ConfigPush)) == 12)
    revisions = [message.entries[0][1] for message in server.messages(ConfigPush)]
    assert revisions == list(range(12))


@pytest.mark.parametrize(
    "message",
    [ConfigPush([["key", 1, "x" * MAX_FRAME_BYTES]]), "no message", SlotCancel(2**70)],
    ids=["large", "text", "number"],
)
def test_message_that_cannot_be_sent_closes_the_stream(pair, message, wait_until):
    _, link = pair
    link.peer.stream.send(message)
    wait_until(lambda: link.of("close"))
    assert link.streams()[0].close_reason == "closed_unencodable"


def test_too_many_queued_messages_close_the_stream(pair):
    _, link = pair
    stream = link.peer.stream
    for ticket in range(MAX_QUEUED_MESSAGES):
        stream.send(SlotCancel(ticket))
    assert not stream.is_closed
    stream.send(SlotCancel(0))
    assert stream.close_reason == "closed_overflow"
    assert link.peer.counters["closed_overflow"] == 1


def test_heartbeat_does_not_overflow_a_full_queue(make_peer, wait_until):
    # A long silence timeout, since full queues keep the shared hub of both ends busy.
    times = {"silence_ms": 30_000.0, "heartbeat_ms": 1.0}
    server = make_peer(name="server", **times)
    link = make_peer(f"127.0.0.1:{server.peer.port}", **times)
    wait_until(lambda: link.of("open") and server.of("open"))
    for _ in range(10):
        count = len(server.messages(SlotCancel))
        for ticket in range(MAX_QUEUED_MESSAGES):
            link.peer.stream.send(SlotCancel(ticket))
        total = count + MAX_QUEUED_MESSAGES
        wait_until(lambda total=total: len(server.messages(SlotCancel)) == total)
    assert not link.of("close")


def test_receiver_that_stops_reading_closes_the_stream_by_overflow(pair):
    server, link = pair
    server.on_messages = lambda stream, messages: eventlet.sleep(3.0)
    stream = link.peer.stream
    while not stream.is_closed:
        for _ in range(20):
            stream.send(ConfigPush([["key", 1, "x" * 10_000]]))
        eventlet.sleep(0.002)
    assert stream.close_reason == "closed_overflow"


def test_callback_that_raises_closes_its_stream(pair, wait_until):
    server, link = pair

    def fail(stream, messages):
        raise ValueError("meant to fail")

    server.on_messages = fail
    link.peer.stream.send(SlotCancel(1))
    wait_until(lambda: server.of("close"))
    assert server.peer.counters["callback_errors"] == 1
    assert server.streams()[0].close_reason == "closed_callback_error"
    wait_until(lambda: link.of("close"))


def test_second_hello_is_refused(pair, wait_until):
    server, link = pair
    link.peer.stream.send(Hello("link", 1, "r", 0.0))
    wait_until(lambda: server.of("close"))
    assert server.streams()[0].close_reason == "closed_protocol"
