"""A planned stop is a graceful shutdown: it interrupts no request."""

from __future__ import annotations

import pytest

STREAM_MS = 10000.0
"""Time until an answer passes through a given router, one of three."""


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

        def find_streaming():
            attempts = [a for r in traffic.caller.records for a in r.attempts]
            at_owner = [a for a in attempts if a.router == owner]
            return [a for a in at_owner if a.first_ms and not a.ended_wall_ms]

        # At a moment without any answer at the owner, its stop could interrupt none.
        assert proof.wait_until(find_streaming, STREAM_MS) is not None
        streaming = find_streaming()
        stop_ms = proof.clock.wall_ms()
        assert fleet.stop_router(owner, 30000.0) == 0
        stopped_ms = proof.clock.wall_ms()
        fleet.control_store(mode="up")
        traffic.wait(6000.0)
        records = traffic.finish()
        assert traffic.faults() == []
        assert all(record.is_whole for record in records)
        assert streaming
        assert all(a.status == 200 and not a.ran and not a.reason for a in streaming)
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
