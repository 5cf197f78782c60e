"""A server that cuts off an answer which its caller left unread has not failed."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.connection_pool import ConnectionPool
from lagoonsail_gateway.manifest import STREAMING
from lagoonsail_gateway.server_attempt import (
    LEFT_UNREAD,
    LOST,
    UNREAD_MS,
    AttemptFailedError,
    ServerAttempt,
)
from lagoonsail_gateway.server_connection import (
    CROWDED_READ_BYTES,
    MAX_READ_BYTES,
    ConnectionLostError,
)
from lagoonsail_overload.byte_budget import BODIES, UNREAD, ByteBudget
from lagoonsail_router.context import RouterContext

PART = b"x" * 10_000


@pytest.fixture
def time():
    now = SimpleNamespace(now_ms=1000.0)
    now.clock = Clock(lambda: now.now_ms, lambda: now.now_ms)
    return now


@pytest.fixture
def budget():
    return ByteBudget(1_000_000)


@pytest.fixture
def attempt(time, budget):
    """An attempt whose server sends parts and then cuts the answer off."""
    context = RouterContext(SimpleNamespace(name="r1", max_connections=10), time.clock)
    call = SimpleNamespace(
        route=SimpleNamespace(is_resumable=False, kind=STREAMING), deadline_ms=1e9
    )
    pool = ConnectionPool(time.clock, budget)
    attempt = ServerAttempt(
        context, None, None, pool, call, SimpleNamespace(server=None)
    )
    attempt.response = SimpleNamespace(status=200)
    remaining = [PART, PART]

    def read_body(_response, _deadline_ms):
        if not remaining:
            raise ConnectionLostError("reset")
        return remaining.pop()

    attempt._connection = SimpleNamespace(read_body=read_body, close=lambda: None)
    attempt.state.outcomes = []
    attempt._running_request = SimpleNamespace(
        record_first_token=lambda: None,
        record_data=lambda: None,
        finish=lambda is_success: attempt.state.outcomes.append(is_success),
    )
    return attempt


@pytest.mark.parametrize(
    ("pauses_ms", "kind", "outcome"),
    [
        ([10, UNREAD_MS], LEFT_UNREAD, None),
        ([UNREAD_MS, 10], LEFT_UNREAD, None),
        ([10, 10], LOST, False),
    ],
)
def test_only_an_answer_left_unread_excuses_the_server(
    attempt, time, budget, pauses_ms, kind, outcome
):
    with pytest.raises(AttemptFailedError) as failure:
        for _, pause_ms in zip(attempt.iter_body(), pauses_ms, strict=False):
            assert budget.used_by_kind[UNREAD] >= len(PART)
            time.now_ms += pause_ms
    assert failure.value.kind == kind
    assert attempt.state.outcomes == [outcome]
    assert budget.used_bytes == 0


# 700 slow readers with 64 KB each would fill the memory of a small host.
def test_answers_are_read_in_smaller_parts_while_much_is_held(attempt, budget):
    parts = attempt.iter_body()
    next(parts)
    assert attempt._connection.max_read_bytes == MAX_READ_BYTES
    budget.add(BODIES, 600_000)
    next(parts)
    assert attempt._connection.max_read_bytes == CROWDED_READ_BYTES
    parts.close()
    assert budget.used_by_kind[UNREAD] == 0
