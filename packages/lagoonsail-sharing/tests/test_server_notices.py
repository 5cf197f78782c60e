"""Notices of servers under any order of answers, pauses of the clock and restarts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonsail_core.clock import Clock
from lagoonsail_sharing.server_notices import (
    MAX_BACKOFF_MS,
    MAX_NOTICES,
    RECOVERY_MS,
    ServerNotices,
)

SERVER = ("s1", 1)
RESTARTED = ("s1", 2)


class Now:
    """Time that the test sets."""

    def __init__(self):
        self.ms = 0.0


@pytest.fixture
def now():
    return Now()


@pytest.fixture
def notices(now):
    return ServerNotices(Clock(lambda: now.ms, lambda: 0.0))


def test_earlier_end_does_not_shorten_a_pause_and_a_later_one_lengthens_it(
    now, notices
):
    assert notices.record_backoff(SERVER, 2000.0)
    assert not notices.record_backoff(SERVER, 1000.0)
    now.ms = 1500.0
    assert not notices.allows(SERVER)
    assert notices.record_backoff(SERVER, 1000.0)
    now.ms = 2400.0
    assert not notices.allows(SERVER)
    now.ms = 2500.0
    assert notices.allows(SERVER)


def test_requests_come_back_gradually(now, notices):
    notices.record_backoff(SERVER, 1000.0)
    now.ms = 1000.0
    sent = 0
    while notices.allows(SERVER):
        notices.record_sent(SERVER)
        sent += 1
    assert sent == 1
    notices.record_answer(SERVER)
    assert notices.allows(SERVER)
    now.ms += RECOVERY_MS
    for _ in range(50):
        notices.record_sent(SERVER)
    assert notices.allows(SERVER)


def test_leaving_ends_with_the_incarnation(now, notices):
    assert notices.record_leaving(SERVER)
    assert not notices.record_leaving(SERVER)
    now.ms = 1e9
    assert not notices.allows(SERVER)
    assert notices.allows(RESTARTED)


def test_time_until_the_first_server_wants_requests(notices):
    notices.record_backoff(SERVER, 3000.0)
    notices.record_backoff(RESTARTED, 2000.0)
    assert notices.wait_ms([SERVER, RESTARTED]) == 2000.0
    notices.record_leaving(RESTARTED)
    assert notices.wait_ms([SERVER, RESTARTED]) == 3000.0
    notices.record_leaving(SERVER)
    assert notices.wait_ms([SERVER, RESTARTED]) == float("inf")


def test_memory_is_bounded(now, notices):
    for number in range(3 * MAX_NOTICES):
        now.ms += 10.0
        notices.record_backoff(("s", number), 1.0)
    assert len(notices._notices) <= MAX_NOTICES + 1


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["leaving", "backoff", "answer", "sent", "wait"]),
        st.sampled_from([SERVER, RESTARTED, ("s2", 1)]),
        st.floats(0.0, 5000.0),
    ),
    max_size=60,
)


@given(EVENTS)
def test_both_rules_hold_in_any_order_and_sound_servers_are_used(events):
    now = Now()
    notices = ServerNotices(Clock(lambda: now.ms, lambda: 0.0))
    leaving, ends_ms = set(), {}
    for kind, server, value in events:
        if kind == "leaving":
            notices.record_leaving(server)
            leaving.add(server)
        elif kind == "backoff":
            notices.record_backoff(server, value)
            end_ms = now.ms + min(value, MAX_BACKOFF_MS)
            ends_ms[server] = max(ends_ms.get(server, 0.0), end_ms)
        elif kind == "answer":
            notices.record_answer(server)
        elif kind == "sent":
            notices.record_sent(server)
        else:
            now.ms += value
        end_ms = ends_ms.get(server, float("-inf"))
        assert notices.is_out(server) == (server in leaving or now.ms < end_ms)
        if notices.is_out(server):
            assert not notices.allows(server)
        elif now.ms >= end_ms + RECOVERY_MS:
            assert notices.allows(server)
