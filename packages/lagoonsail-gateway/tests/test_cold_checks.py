"""Servers that become cold while the store is away."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_gateway.cold_checks import (
    KEY_PREFIX,
    LAST_ROUTERS_MS,
    MAX_RANK,
    NEXT_ROUTER_MS,
    ColdChecks,
)
from lagoonsail_gateway.fleet_counts import FleetCounts
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.manifest import Limits, Manifest, Service
from lagoonsail_gateway.server_directory import ServerDirectory
from lagoonsail_gateway.server_state import ServerStates

COLD_PER_S = 6.0
STEP_MS = 100.0
LIMITS = Limits(1000, 1000.0, 0.0)


@pytest.fixture
def router(context, make_record, manual_clock):
    """A router with one server, which gets 25 requests a second."""
    directory = ServerDirectory(context.clock, 2000.0)
    states = ServerStates(context.clock, lambda _service: None, lambda _service: 1.0)
    counts = FleetCounts(context.clock)
    routers = FleetMembers("r1")
    routers.update({"r1": "10.0.0.1:1 north"})
    presence = SimpleNamespace(
        is_away=False, update=lambda _ms: None, is_in_doubt=lambda: presence.is_away
    )
    asked, found = [], []
    cold_left = [0.0]

    def ask(server, path):
        asked.append((manual_clock.ms, server.record.server_id, path))
        return cold_left[0]

    checks = ColdChecks(
        context,
        directory,
        states,
        routers,
        counts,
        presence,
        ask,
        lambda: routers.count() == 1,
        lambda: found.append(manual_clock.ms),
    )
    directory.put(make_record())
    service = Service("engine", 9, 3000.0, COLD_PER_S, None, "/health")
    checks.apply_manifest(Manifest(1, [], {"engine": service}, {}, LIMITS, True))
    server = directory.find("s1")
    state = states.get(server)

    def advance(duration_ms, requests_per_step=2.5):
        end_ms = manual_clock.ms + duration_ms
        sent = 0.0
        while manual_clock.ms < end_ms:
            manual_clock.ms += STEP_MS
            sent += requests_per_step
            while sent >= 1.0:
                sent -= 1.0
                state.sent_requests.record()
            checks.step()
            eventlet.sleep(0)

    return SimpleNamespace(
        advance=advance,
        asked=asked,
        cold_left=cold_left,
        counts=counts,
        directory=directory,
        found=found,
        presence=presence,
        routers=routers,
        server=server,
    )


def test_servers_are_not_asked_while_the_store_answers(router):
    router.advance(3000.0)
    assert router.asked == []
    assert router.counts.own() == {}


# FAILBACK: a server that became cold in an outage of the store got its full share.
def test_cold_server_is_found_while_the_store_is_away(router, manual_clock):
    router.advance(2000.0)
    router.presence.is_away = True
    router.advance(1000.0)
    assert not router.directory.is_cold(router.server)
    router.cold_left[0] = 3000.0
    cold_ms = manual_clock.ms
    router.advance(300.0)
    assert router.directory.is_cold(router.server)
    assert router.found[0] - cold_ms <= 200.0
    asked = len(router.asked)
    router.advance(1000.0)
    assert len(router.asked) == asked
    assert router.asked[-1][1:] == ("s1", "/health")


def test_server_with_few_requests_is_not_asked(router):
    router.presence.is_away = True
    router.advance(3000.0, requests_per_step=0.4)
    assert router.asked == []


def test_requests_of_all_routers_count(router):
    router.presence.is_away = True
    router.counts.replace_peer({}, {f"{KEY_PREFIX}s1/1": (0, 0, 20, 0)})
    router.advance(1000.0, requests_per_step=0.4)
    assert router.asked


def test_router_to_which_the_store_answers_tells_the_others(router, make_record):
    router.directory.put(make_record(cold_left_ms=1000.0))
    router.advance(STEP_MS)
    assert router.counts.own() == {f"{KEY_PREFIX}s1/1": (1, 900, 2, 0)}
    router.advance(1000.0)
    assert router.counts.own() == {}


def test_router_that_the_store_turns_away_learns_from_the_others(router, manual_clock):
    router.counts.replace_peer({}, {f"{KEY_PREFIX}s1/1": (2, 1200, 0, 0)})
    router.advance(STEP_MS)
    assert router.directory.is_cold(router.server)
    # What was heard is not told on, or it would be kept alive by the delays.
    assert router.counts.own() == {}
    router.counts.replace_peer({f"{KEY_PREFIX}s1/1": (2, 1200, 0, 0)}, {})
    router.advance(700.0)
    assert not router.directory.is_cold(router.server)


def test_report_on_another_start_of_the_server_is_ignored(router):
    router.counts.replace_peer({}, {f"{KEY_PREFIX}s1/2": (1, 1000, 0, 0)})
    router.advance(STEP_MS)
    assert not router.directory.is_cold(router.server)


def test_server_that_does_not_answer_is_not_asked_without_pause(router):
    router.presence.is_away = True
    router.cold_left[0] = None
    router.advance(2000.0)
    assert 0 < len(router.asked) <= 20
    assert not router.directory.is_cold(router.server)


def test_routers_take_turns_in_checking_a_server(router, manual_clock):
    """Guards against a check by each router of a large fleet at the same time."""
    members = {f"r{n}": f"10.0.0.{n}:1 north" for n in range(1, 200)}
    router.routers.update(members)
    router.advance(1000.0)
    router.presence.is_away = True
    away_ms = manual_clock.ms
    rank = router.routers.rank(f"{KEY_PREFIX}s1/1")
    assert rank > MAX_RANK
    router.advance(8000.0)
    turn_ms = MAX_RANK * NEXT_ROUTER_MS + (rank - MAX_RANK) * LAST_ROUTERS_MS
    noticed_ms = away_ms + STEP_MS
    assert router.asked[0][0] - noticed_ms == pytest.approx(turn_ms, abs=STEP_MS)


def test_router_does_not_check_what_another_has_checked(router):
    members = {f"r{n}": f"10.0.0.{n}:1 north" for n in range(1, 200)}
    router.routers.update(members)
    router.presence.is_away = True
    previous = {}
    for checks in range(1, 20):
        newest = {f"{KEY_PREFIX}s1/1": (0, 0, 20, checks)}
        router.counts.replace_peer(previous, newest)
        previous = newest
        router.advance(STEP_MS)
    assert router.asked == []
