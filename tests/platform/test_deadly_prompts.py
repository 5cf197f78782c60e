"""A part of a prompt under which each engine crashes that begins to answer it."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet

ROUTERS = 3
DEADLY = "dead01"
MAX_CRASHES = 5
"""Crashes within which the part must be found."""
CALLS = 12
SETTLE_S = 0.3
"""Time for a crash to be checked, and for digests to tell of it."""


@pytest.fixture
def fleet(make_fleet):
    """A fleet whose engines crash under one part of a prompt."""
    fleet = make_fleet(ROUTERS)
    for number in (3, 4):
        fleet.add_server(f"engine-{number}", "engine")
    for server in fleet.servers.values():
        server.deadly_part = DEADLY
    eventlet.sleep(SETTLE_S)
    return fleet


def ask(fleet, number, parts):
    """Send a stream with shared parts and its own one; routers take turns."""
    router = f"router-{number % ROUTERS + 1}"
    prefix = ",".join(f"{part}:100" for part in [*parts, f"own{number}"])
    headers = (
        f"Lagoonsail-Prompt-Prefix: {prefix}",
        f"Lagoonsail-Token-Count: {100 * (len(parts) + 1)},20",
    )
    return fleet.ask(router, "POST", "/stream/1", f"id-{number}", headers)


def restart_crashed(fleet):
    for server in fleet.servers.values():
        if server.port is None:
            server.restart()
            fleet.store.put_json(f"servers/{server.server_id}", server.record())
    eventlet.sleep(SETTLE_S)


def crashes(fleet):
    return sum(server.crashes for server in fleet.servers.values())


# BUDGET: requests with one part of a prompt crashed engines one after the other.
def test_part_that_crashes_engines_is_kept_from_them_at_all_routers(fleet):
    answers = []
    for number in range(CALLS):
        answers.append(ask(fleet, number, ["first", DEADLY]))
        eventlet.sleep(SETTLE_S)
        restart_crashed(fleet)
    assert crashes(fleet) <= MAX_CRASHES
    status, headers, _ = answers[-1]
    assert status == 503
    assert float(headers["retry-after"]) > 1.0


def test_requests_that_share_the_other_parts_go_on(fleet):
    for number in range(CALLS):
        ask(fleet, number, ["first", DEADLY, f"more{number % 2}"])
        eventlet.sleep(SETTLE_S)
        restart_crashed(fleet)
    for number in range(CALLS, 2 * CALLS):
        assert ask(fleet, number, ["first", f"more{number % 2}"])[0] == 200
