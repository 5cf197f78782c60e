"""Which parts of prompts are blocked after crashes of servers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonsail_core.clock import Clock
from lagoonsail_sharing.crash_suspects import (
    ANSWER_VALID_MS,
    BLOCK_CRASHES,
    BLOCK_MS,
    MAX_SUSPECTS,
    SUSPICION_MS,
    CrashSuspects,
)

DEADLY, SOUND, OTHER = 1, 2, 3
SPACING_MS = 1000.0


class Fleet:
    """Routers that share one clock and merge their evidence on request."""

    def __init__(self, routers=1):
        self.now_ms = 0.0
        clock = Clock(lambda: self.now_ms, lambda: self.now_ms)
        self.routers = [CrashSuspects(clock) for _ in range(routers)]

    def exchange(self):
        for sender in self.routers:
            for receiver in self.routers:
                receiver.merge(sender.evidence())


@pytest.fixture
def fleet():
    return Fleet()


def crash_all(fleet, parts, count=BLOCK_CRASHES, first=0):
    for number in range(count):
        fleet.now_ms += SPACING_MS
        router = fleet.routers[number % len(fleet.routers)]
        router.record_crash(first + number, parts)


def test_part_is_blocked_after_some_crashes_of_the_whole_fleet():
    fleet = Fleet(routers=3)
    crash_all(fleet, [DEADLY])
    assert not any(router.blocked for router in fleet.routers)
    fleet.exchange()
    assert all(router.find_blocked([OTHER, DEADLY]) for router in fleet.routers)


def test_router_that_restarts_learns_what_is_blocked():
    fleet = Fleet(routers=2)
    crash_all(fleet, [DEADLY])
    fleet.exchange()
    fleet.routers[1] = Fleet().routers[0]
    fleet.now_ms += 60_000.0
    fleet.routers[1].merge(fleet.routers[0].evidence())
    assert fleet.routers[1].blocked == {DEADLY}


def test_part_that_is_answered_is_not_blocked(fleet):
    suspects = fleet.routers[0]
    crash_all(fleet, [SOUND], BLOCK_CRASHES - 1)
    suspects.record_answer([SOUND])
    crash_all(fleet, [SOUND], BLOCK_CRASHES - 1, first=10)
    assert suspects.find_blocked([SOUND]) is None


def test_answer_at_one_router_clears_a_part_at_all():
    fleet = Fleet(routers=3)
    crash_all(fleet, [SOUND])
    fleet.exchange()
    assert fleet.routers[2].blocked == {SOUND}
    fleet.routers[0].record_answer([SOUND])
    fleet.exchange()
    fleet.exchange()
    assert not any(router.blocked for router in fleet.routers)


def test_servers_that_fail_together_do_not_block_what_they_had(fleet):
    suspects = fleet.routers[0]
    for crash in range(20):
        suspects.record_crash(crash, [SOUND, OTHER])
    assert not suspects.blocked


def test_requests_with_one_of_two_parts_that_always_come_together_go_on(fleet):
    suspects = fleet.routers[0]
    crash_all(fleet, [DEADLY, SOUND])
    assert suspects.find_blocked([DEADLY, SOUND]) is not None
    assert suspects.find_blocked([SOUND]) is None
    assert suspects.find_blocked([DEADLY]) is None
    crash_all(fleet, [DEADLY], count=1, first=10)
    assert suspects.find_blocked([DEADLY]) == DEADLY
    assert suspects.find_blocked([SOUND]) is None


def test_part_that_turns_deadly_later_is_blocked(fleet):
    suspects = fleet.routers[0]
    suspects.record_answer([DEADLY])
    fleet.now_ms += ANSWER_VALID_MS
    crash_all(fleet, [DEADLY])
    assert suspects.blocked == {DEADLY}


def test_suspicion_ends_sooner_than_a_block(fleet):
    suspects = fleet.routers[0]
    crash_all(fleet, [DEADLY])
    suspects.record_crash(99, [SOUND])
    fleet.now_ms += SUSPICION_MS + 1.0
    assert list(suspects.evidence().ages_ms) == [DEADLY]
    fleet.now_ms += BLOCK_MS
    assert not suspects.evidence().ages_ms
    assert not suspects.blocked


def test_memory_is_bounded_and_keeps_what_is_blocked(fleet):
    suspects = fleet.routers[0]
    crash_all(fleet, [DEADLY])
    for crash in range(100, 110):
        fleet.now_ms += SPACING_MS
        suspects.record_crash(crash, range(10 * crash, 10 * crash + 10))
    assert len(suspects.evidence().ages_ms) == MAX_SUSPECTS
    assert suspects.blocked == {DEADLY}


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["crash", "answer", "exchange"]),
        st.integers(0, 2),
        st.frozensets(st.integers(10, 14), max_size=3),
    ),
    max_size=40,
)


@given(EVENTS)
def test_part_that_is_never_answered_is_blocked_after_some_crashes(events):
    fleet = Fleet(routers=3)
    crashes = 0
    for kind, number, parts in events:
        fleet.now_ms += SPACING_MS
        router = fleet.routers[number]
        if kind == "crash":
            crashes += 1
            router.record_crash(crashes, {DEADLY, *parts})
        elif kind == "answer":
            router.record_answer(parts)
        else:
            fleet.exchange()
    fleet.exchange()
    is_recent = len(events) * SPACING_MS < SUSPICION_MS
    for router in fleet.routers:
        if crashes < BLOCK_CRASHES:
            assert not router.blocked
        elif is_recent:
            assert DEADLY in router.blocked
            assert router.find_blocked([DEADLY, *range(10, 15)]) is not None
