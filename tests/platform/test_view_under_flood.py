"""A router under a flood of callers knows of changes in time."""

from __future__ import annotations

import os
import subprocess
import sys
import time

import pytest

from lagoonsail_core.green import eventlet

ROUTER = "router-1"
CALLERS = 600
"""Callers of each flooding process."""
FLOODS = 3
FLOOD_S = 20.0
"""Longer than a test, which ends the flood."""
WARM_UP_S = 2.0
TIMEOUT_S = 10.0
CHANGES = 15
CHANGE_INTERVAL_S = 0.3
CHANGE_DELAY_MS = 2000.0
"""Time within which a change must be in force."""
DRAIN_MS = 2000.0
"""Time after which a server that left gets no requests."""
LATE_S = 3.0
"""Time in which late requests are looked for."""


@pytest.fixture
def flooded_fleet(make_fleet):
    """A router with room for all callers of a flood, and the flood."""
    fleet = make_fleet(1, max_descriptors=4100)
    path = os.pathsep.join(entry for entry in sys.path if entry)
    command = [sys.executable, "-m", "lagoonsail_platform_standin.flood"]
    command += [str(fleet.ports[ROUTER]), str(CALLERS), str(FLOOD_S)]
    floods = [
        subprocess.Popen(command, env=os.environ | {"PYTHONPATH": path})
        for _ in range(FLOODS)
    ]
    eventlet.sleep(WARM_UP_S)
    yield fleet
    for flood in floods:
        flood.kill()
        flood.wait()


# CONFIG: a router that refused a flood learned of changes 2 to 3 s late.
def test_change_is_in_force_in_time_under_a_flood(flooded_fleet):
    fleet = flooded_fleet
    written_ms = {}
    for _ in range(CHANGES):
        fleet.put_manifest()
        written_ms[fleet.version] = 1000.0 * time.monotonic()
        eventlet.sleep(CHANGE_INTERVAL_S)
    eventlet.sleep(CHANGE_DELAY_MS / 1000.0)
    events = fleet.read_log(ROUTER)
    in_force = [e for e in events if e["event"] == "manifest_in_force"]
    refused = sum(event["event"] == "refused" for event in events)
    assert refused > CALLERS
    delays_ms = [
        min(e["ms"] for e in in_force if e["version"] >= version) - at_ms
        for version, at_ms in written_ms.items()
    ]
    assert max(delays_ms) < CHANGE_DELAY_MS, [round(delay) for delay in delays_ms]


# DRAIN: a server that left got requests of a flooded router for longer than allowed.
def test_server_that_leaves_under_a_flood_gets_no_late_request(flooded_fleet):
    leaving = flooded_fleet.servers["engine-1"]
    with eventlet.Timeout(TIMEOUT_S):
        while not leaving.runs:
            eventlet.sleep(0.05)
    flooded_fleet.store.remove("servers/engine-1")
    eventlet.sleep(DRAIN_MS / 1000.0)
    in_time = len(leaving.runs)
    eventlet.sleep(LATE_S)
    assert len(leaving.runs) == in_time
