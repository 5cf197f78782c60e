"""A silent store is noticed by the fleet, before the watch of a router ends."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_gateway.fleet_counts import FleetCounts
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.server_directory import REGISTRATION_GRACE_MS
from lagoonsail_gateway.store_presence import (
    ANSWER_TIME_MS,
    ANSWERED_KEY,
    NEXT_ROUTER_MS,
    UNANSWERED_KEY,
    StorePresence,
)

MAX_SILENCE_MS = 300.0
STEP_MS = 100.0


@pytest.fixture
def router(context, manual_clock):
    """A router of three; `advance` lets time pass, and `calls` are its calls."""
    counts = FleetCounts(manual_clock.clock())
    routers = FleetMembers("r1")
    routers.update({f"r{n}": f"10.0.0.{n}:1 north" for n in (1, 2, 3)})
    calls = []
    presence = StorePresence(
        context, counts, routers, lambda: calls.append(manual_clock.ms)
    )

    def advance(duration_ms, *, answered=False):
        end_ms = manual_clock.ms + duration_ms
        while manual_clock.ms < end_ms:
            manual_clock.ms += STEP_MS
            if answered:
                presence.record_answer()
            presence.update(MAX_SILENCE_MS)

    return SimpleNamespace(
        presence=presence, counts=counts, calls=calls, advance=advance, routers=routers
    )


def test_store_that_answers_is_not_called(router):
    router.advance(5000.0, answered=True)
    assert not router.presence.is_in_doubt()
    assert router.calls == []


def test_store_that_answers_another_router_is_not_away(router):
    router.counts.replace_peer({}, {ANSWERED_KEY: (1,)})
    router.advance(5000.0)
    assert not router.presence.is_away
    assert router.calls == []


def test_answers_are_told_to_the_other_routers(router):
    router.advance(STEP_MS, answered=True)
    assert router.counts.own() == {ANSWERED_KEY: (1,)}
    router.advance(2 * STEP_MS)
    assert router.counts.own() == {}


def test_silent_store_is_called_and_then_away(router):
    """Guards against trusting what the store told for as long as a watch waits."""
    turn_ms = router.routers.rank(ANSWERED_KEY) * NEXT_ROUTER_MS
    router.advance(MAX_SILENCE_MS + turn_ms)
    assert router.calls == [MAX_SILENCE_MS + turn_ms]
    assert not router.presence.is_away
    router.advance(ANSWER_TIME_MS)
    assert router.presence.is_away
    assert UNANSWERED_KEY in router.counts.own()


def test_call_of_another_router_that_was_not_answered_counts(router):
    router.counts.replace_peer({}, {UNANSWERED_KEY: (1,)})
    router.advance(MAX_SILENCE_MS)
    assert router.presence.is_away


def test_router_that_the_store_does_not_answer_does_not_hide_its_life(router):
    """Guards against checks of servers while the store answers others."""
    router.counts.replace_peer({}, {UNANSWERED_KEY: (1,), ANSWERED_KEY: (2,)})
    router.advance(3000.0)
    assert not router.presence.is_in_doubt()


# In calm a busy router took the store to be away, before anybody had asked it.
def test_silence_alone_is_no_sign(router, manual_clock):
    for _ in range(20):
        router.advance(MAX_SILENCE_MS + NEXT_ROUTER_MS)
        assert not router.presence.is_away
        router.advance(STEP_MS, answered=True)
    assert not router.presence.is_in_doubt()


def test_call_that_is_answered_ends_the_doubt_before_it_begins(router, manual_clock):
    while manual_clock.ms < 5000.0:
        router.advance(STEP_MS, answered=router.calls[-1:] == [manual_clock.ms])
        assert not router.presence.is_away
    assert 5 <= len(router.calls) <= 20


def test_servers_have_time_to_write_after_the_return(router):
    router.advance(2000.0)
    router.advance(REGISTRATION_GRACE_MS - STEP_MS, answered=True)
    assert not router.presence.is_away
    assert router.presence.is_in_doubt()
    router.advance(2 * STEP_MS, answered=True)
    assert not router.presence.is_in_doubt()


def test_silent_store_is_asked_once(router):
    """Guards against calls that are added to the retries of an outage."""
    router.advance(10_000.0)
    assert len(router.calls) == 1


def test_router_does_not_ask_after_another_has_asked_in_vain(router):
    """Guards against a call by each router of a large fleet."""
    router.counts.replace_peer({}, {UNANSWERED_KEY: (1,)})
    router.advance(10_000.0)
    assert router.presence.is_away
    assert router.calls == []
