"""A backend server in a cold start gets no more work than it can bear."""

from __future__ import annotations

import pytest

DETECTION_MS = 4000.0
"""Report lag of 2 s, one interval of reading reports, and an answer's time."""


def hurried(runs, from_wall_ms=0.0):
    """Return the runs that began on a cold server beside another."""
    return [
        run
        for run in runs
        if run["cold"]
        and run["running_at_start"] > 1
        and run["started_wall_ms"] > from_wall_ms
    ]


@pytest.mark.parametrize("service", ["asistente", "registro"])
def test_cold_servers_are_not_hurried_however_many_calls_wait(proof, service):
    with proof.start_fleet(3) as fleet:
        traffic = proof.traffic(fleet, seed=21)
        make = traffic.stream if service == proof.engine else traffic.search
        traffic.loop(make, 20, pause_ms=1.0)
        proof.warm_up(fleet, service, 3)
        traffic.finish()
        assert traffic.faults() == []
        assert hurried(proof.runs_of(fleet, service)) == []


@pytest.mark.parametrize("order", [{"cold": True}, {"restart": True}])
def test_warm_server_that_turns_cold_is_noticed(proof, order):
    with proof.start_fleet(2) as fleet:
        traffic = proof.traffic(fleet, seed=22)
        traffic.loop(lambda: traffic.stream(20), 16, pause_ms=1.0)
        proof.warm_up(fleet, proof.engine, 3)
        turned_ms = proof.clock.wall_ms()
        fleet.control_backend("cordero/asistente-1", **order)
        traffic.wait(DETECTION_MS + 3000.0)
        traffic.finish()
        late = hurried(proof.runs_of(fleet, proof.engine), turned_ms + DETECTION_MS)
        assert late == []
        # It is not left alone either: work comes back to it.
        record = fleet.records()["cordero/asistente/asistente-1"]
        after = [r for r in record["runs"] if r["started_wall_ms"] > turned_ms + 1000.0]
        assert after
