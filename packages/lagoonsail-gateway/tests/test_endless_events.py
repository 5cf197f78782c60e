"""Streams whose events do not end, or end slowly."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.connection_pool import ConnectionPool
from lagoonsail_gateway.manifest import STREAMING
from lagoonsail_gateway.server_attempt import (
    LOST,
    MAX_EVENT_BYTES,
    AttemptFailedError,
    ServerAttempt,
)
from lagoonsail_router.context import RouterContext

PART_BYTES = 65_536


@pytest.fixture
def make_attempt():
    """Make an attempt whose resumable stream consists of the given parts."""
    clock = Clock()
    context = RouterContext(SimpleNamespace(name="r1", max_connections=10), clock)

    def make(parts):
        call = SimpleNamespace(
            route=SimpleNamespace(is_resumable=True, kind=STREAMING),
            deadline_ms=clock.now_ms() + 1000.0,
            last_event_id="",
        )
        attempt = ServerAttempt(
            context,
            None,
            None,
            ConnectionPool(clock),
            call,
            SimpleNamespace(server=None),
        )
        attempt.response = SimpleNamespace(status=200)
        remaining = iter(parts)
        attempt._connection = SimpleNamespace(
            read_body=lambda _response, _deadline_ms: next(remaining, b""),
            release_response=lambda _response: False,
            close=lambda: None,
        )
        attempt._running_request = SimpleNamespace(
            record_first_token=lambda: None,
            record_data=lambda: None,
            finish=lambda is_success: None,
        )
        return attempt

    return make


def endless_event(read):
    yield b"id: 1\ndata: whole\n\n"
    while True:
        read.append(PART_BYTES)
        yield b"x" * PART_BYTES


def test_event_without_end_ends_the_stream(make_attempt):
    read = []
    attempt = make_attempt(endless_event(read))
    events = []
    with pytest.raises(AttemptFailedError) as failure:
        for part in attempt.iter_body():
            events.append(part)
    assert failure.value.kind == LOST
    assert events == [b"id: 1\ndata: whole\n\n"]
    assert sum(read) <= MAX_EVENT_BYTES + PART_BYTES


def test_event_that_comes_byte_by_byte_is_passed_on_whole(make_attempt):
    event = b"id: 1\ndata: slow\n\n"
    attempt = make_attempt([bytes([byte]) for byte in event])
    assert b"".join(attempt.iter_body()) == event
