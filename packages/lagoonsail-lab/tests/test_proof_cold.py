"""A cold backend server gets one run at a time and is not overloaded."""

from __future__ import annotations

import pytest

DETECTION_MS = 4000.0
"""Sum of the report lag of 2 s, one poll interval of reports, and one answer."""


def concurrent_cold_runs(runs, from_wall_ms=0.0):
    """Return the runs that started on a cold server while another was running."""
    return [
        run
        for run in runs
        if run["cold"]
        and run["running_at_start"] > 1
        and run["started_wall_ms"] > from_wall_ms
    ]


@pytest.mark.parametrize("service", ["asistente", "registro"])
def test_cold_servers_run_one_request_at_a_time_under_backlog(proof, service):
    with proof.start_fleet(3) as fleet:
        traffic = proof.traffic(fleet, seed=21)
        make = traffic.stream if service == proof.engine else traffic.search
        traffic.loop(make, 20, pause_ms=1.0)
        proof.warm_up(fleet, service, 3)
        traffic.finish()
        assert traffic.faults() == []
        assert concurrent_cold_runs(proof.runs_of(fleet, service)) == []


@pytest.mark.parametrize("order", [{"cold": True}, {"restart": True}])
def test_warm_server_that_becomes_cold_is_detected(proof, order):
    with proof.start_fleet(2) as fleet:
        traffic = proof.traffic(fleet, seed=22)
        traffic.loop(lambda: traffic.stream(20), 16, pause_ms=1.0)
        proof.warm_up(fleet, proof.engine, 3)
        cold_since_ms = proof.clock.wall_ms()
        fleet.control_backend("cordero/asistente-1", **order)
        traffic.wait(DETECTION_MS + 3000.0)
        traffic.finish()
        late_runs = concurrent_cold_runs(
            proof.runs_of(fleet, proof.engine), cold_since_ms + DETECTION_MS
        )
        assert late_runs == []
        # The server is not excluded either: it gets work again.
        record = fleet.records()["cordero/asistente-1"]
        later_runs = [
            r for r in record["runs"] if r["started_wall_ms"] > cold_since_ms + 1000.0
        ]
        assert later_runs
