from __future__ import annotations

import math

from lagoonsail_lab.checker import Outage

LEASE_MS = 2000.0
"""Lease duration in the fleet."""
START_WINDOW_MS = 1000.0
"""Time for which a grant is valid."""
FORCE_MS = 5000.0
"""An accepted document is in force everywhere within this time."""
UNREADY_MS = 9000.0
"""Time until a router without key-value service and peers reports not ready."""


def take_out(proof, fleet, name):
    fleet.set_state(name, "out")
    servers = frozenset(b.qualified() for b in fleet.backends_of(name))
    return Outage(servers, proof.clock.wall_ms(), math.inf)


def test_router_without_key_value_service_continues_through_a_peer(proof):
    names = ["cordero-1", "cordero-2", "cordero-3"]
    with proof.start_fleet(3, relayed_store=names) as fleet:
        proof.settle(fleet)
        victim = proof.find_owner(fleet)
        traffic = proof.traffic(fleet, [victim], seed=7)
        traffic.loop(traffic.search, 2)
        traffic.loop(traffic.stream, 2)
        traffic.wait(1500.0)
        epochs = {run["epoch"] for run in proof.runs_of(fleet)}
        fleet.control_relay(f"store-{victim}", mode="cut")
        traffic.wait(3.0 * LEASE_MS)
        outage = take_out(proof, fleet, "cordero/banos")
        traffic.wait(FORCE_MS)
        end_ms = proof.clock.wall_ms()
        traffic.finish()
        assert traffic.faults(outages=[outage], within_ms=FORCE_MS) == []
        runs = proof.runs_of(fleet)
        assert {run["epoch"] for run in runs} == epochs
        assert traffic.whole_between(end_ms - 1500.0, end_ms, "/search")
        assert traffic.whole_between(end_ms - 1500.0, end_ms, "/v1")
        service = fleet.deployments[0].find(proof.plain)
        assert len(set(proof.read_revisions(fleet, service).values())) == 1


def test_isolated_router_stops_granting_when_its_lease_expires(proof):
    names = ["cordero-1", "cordero-2"]
    limits = {"queue_timeout_ms": 4000}
    with proof.start_fleet(
        2, limits=limits, relayed_store=names, relayed_peers=names
    ) as fleet:
        victim = proof.find_owner(fleet)
        traffic = proof.traffic(fleet, seed=8)
        pinned = proof.traffic(fleet, [victim], seed=9)
        traffic.mixed()
        pinned.loop(pinned.search, 2)
        traffic.wait(1500.0)
        epochs = {run["epoch"] for run in proof.runs_of(fleet)}
        cut_ms = proof.clock.wall_ms()
        proof.cut_off(fleet, victim)
        traffic.wait(300.0)
        outage = take_out(proof, fleet, "cordero/banos")
        is_unready = proof.wait_until(lambda: not fleet.is_ready(victim), UNREADY_MS)
        assert is_unready is not None
        traffic.wait(LEASE_MS)
        proof.cut_off(fleet, victim, mode="pass")
        fleet.wait_ready()
        traffic.wait(2.0 * LEASE_MS)
        rejoined_ms = proof.clock.wall_ms()
        traffic.finish()
        pinned.finish()
        assert traffic.faults(outages=[outage], within_ms=FORCE_MS) == []
        assert pinned.faults() == []
        runs = proof.runs_of(fleet)
        old = [run for run in runs if run["epoch"] <= max(epochs)]
        last_ms = max(run["started_wall_ms"] for run in old) - cut_ms
        assert last_ms < LEASE_MS + START_WINDOW_MS + 100.0
        assert proof.late_runs(runs, START_WINDOW_MS + 100.0) == []
        # The other router took over, and the isolated one serves again afterwards.
        assert max(run["epoch"] for run in runs) > max(epochs)
        assert traffic.whole_between(cut_ms + LEASE_MS, rejoined_ms, "/search")
