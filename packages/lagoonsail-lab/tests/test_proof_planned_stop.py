"""A planned stop is a graceful shutdown: it interrupts no request."""

from __future__ import annotations

import pytest


@pytest.mark.parametrize("store", ["up", "down"])
def test_planned_stop_of_an_owner_interrupts_no_call(proof, store):
    with proof.start_fleet(3) as fleet:
        traffic = proof.traffic(fleet, seed=41)
        traffic.mixed()
        proof.warm_up(fleet, proof.engine, 1)
        # Long streams, so that some pass through the router when it is asked to stop.
        traffic.loop(lambda: traffic.stream(60), 4)
        traffic.wait(1500.0)
        owner = proof.find_owner(fleet)
        if store == "down":
            fleet.control_store(mode="down")
            traffic.wait(3500.0)
        stop_ms = proof.clock.wall_ms()
        assert fleet.stop_router(owner, 30000.0) == 0
        stopped_ms = proof.clock.wall_ms()
        fleet.control_store(mode="up")
        traffic.wait(6000.0)
        records = traffic.finish()
        assert traffic.faults() == []
        assert all(record.is_whole for record in records)
        # The router answered calls while stopping, and others took over afterwards.
        by_owner = [a for r in records for a in r.attempts if a.router == owner]
        assert any(a.ended_wall_ms > stop_ms for a in by_owner if a.status == 200)
        assert traffic.whole_between(stopped_ms + 4000.0, float("inf"))


def test_rolling_restart_interrupts_no_call(proof):
    with proof.start_fleet(3) as fleet:
        traffic = proof.traffic(fleet, seed=42)
        traffic.mixed()
        proof.warm_up(fleet, proof.plain, 1)
        for name in list(fleet.routers):
            fleet.restart_router(name)
        traffic.wait(1000.0)
        records = traffic.finish()
        assert traffic.faults() == []
        assert all(record.is_whole for record in records)
