"""Servers that leave, and servers whose records expire, around outages of the store."""

from __future__ import annotations

import time

import pytest

from lagoonsail_core.green import eventlet

ROUTER = "router-1"
OUTAGE_S = 1.5
CONTACT_MS = 3000.0
"""Time after an outage from which removals must be in force in time again."""
DRAIN_MS = 2000.0
"""Time within which a removal must be in force."""
PAUSE_S = 0.01
RETURN_S = 1.0
"""Time after an outage after which servers register again."""


def play_outage(fleet):
    fleet.store.is_down = True
    eventlet.sleep(OUTAGE_S)
    fleet.store.is_down = False


def ask_for(fleet, duration_s):
    """Send requests for some time; return the statuses of their answers."""
    end_s = time.monotonic() + duration_s
    statuses = []
    while time.monotonic() < end_s:
        path = f"/read/{len(statuses)}"
        statuses.append(fleet.ask(ROUTER, "GET", path, f"id-{time.monotonic()}")[0])
        eventlet.sleep(PAUSE_S)
    return statuses


# DRAIN: a server that left soon after an outage got requests for up to 2.5 s.
@pytest.mark.parametrize("leaving", [["plain-1"], ["plain-1", "plain-2"]])
def test_server_that_leaves_soon_after_an_outage_gets_no_late_request(fleet, leaving):
    play_outage(fleet)
    ask_for(fleet, CONTACT_MS / 1000.0 + 0.1)
    for server_id in leaving:
        fleet.store.remove(f"servers/{server_id}")
    ask_for(fleet, DRAIN_MS / 1000.0)
    runs = sum(len(fleet.servers[server_id].runs) for server_id in leaving)
    ask_for(fleet, 1.0)
    late = sum(len(fleet.servers[server_id].runs) for server_id in leaving) - runs
    assert late == 0


def test_servers_whose_records_expired_in_an_outage_are_used_until_they_return(fleet):
    fleet.store.is_down = True
    eventlet.sleep(OUTAGE_S)
    records = [key for key in fleet.store.items if key.startswith("servers/")]
    for key in records:
        fleet.store.remove(key)
    fleet.store.is_down = False
    statuses = ask_for(fleet, RETURN_S)
    for key in records:
        server = fleet.servers[key.removeprefix("servers/")]
        fleet.store.put_json(key, server.record())
    statuses += ask_for(fleet, DRAIN_MS / 1000.0)
    assert set(statuses) == {200}
