from __future__ import annotations

LEASE_MS = 2000.0
"""Lease duration in the fleet."""


def test_killed_host_that_is_still_listed_does_not_break_safety(proof):
    with proof.start_fleet(3) as fleet:
        proof.settle(fleet)
        owners = {proof.find_owner(fleet), proof.find_owner(fleet, proof.engine)}
        victim = next(name for name in fleet.routers if name not in owners)
        others = [name for name in fleet.routers if name != victim]
        traffic = proof.traffic(fleet, others, seed=10)
        traffic.mixed()
        traffic.wait(1500.0)
        fleet.kill_router(victim)
        # While the key-value service is up, a dead host on the list has no effect.
        traffic.wait(2.0 * LEASE_MS)
        checked_ms = proof.clock.wall_ms()
        assert traffic.whole_between(checked_ms - 1000.0, checked_ms, "/search")
        epochs = {run["epoch"] for run in proof.runs_of(fleet)}
        # Without the service, the dead host's promise is missing: owners stop granting
        # when their leases expire.
        fleet.control_store(mode="down")
        down_ms = proof.clock.wall_ms()
        traffic.wait(LEASE_MS + 2500.0)
        stopped_ms = proof.clock.wall_ms()
        # Once the list is up to date, owners continue with the promises of the hosts
        # that are alive.
        fleet.routers[victim].host_state = ""
        fleet.publish_hosts()
        traffic.wait(3500.0)
        fleet.control_store(mode="up")
        traffic.wait(500.0)
        traffic.finish()
        assert traffic.faults() == []
        starts = [run["started_wall_ms"] for run in proof.runs_of(fleet)]
        last_start_ms = down_ms + LEASE_MS + 1100.0
        assert not [ms for ms in starts if last_start_ms < ms < stopped_ms]
        assert [ms for ms in starts if stopped_ms < ms < stopped_ms + 3500.0]
        assert {run["epoch"] for run in proof.runs_of(fleet)} == epochs


def test_restart_with_a_lagging_host_list_loses_no_call(proof):
    with proof.start_fleet(3, servers=1) as fleet:
        fleet.fetch("POST", fleet.host_list, "/_control", {"lag_ms": 3000})
        victim = proof.find_owner(fleet)
        traffic = proof.traffic(fleet, seed=11)
        traffic.loop(traffic.search, 3)
        traffic.loop(traffic.stream, 3)
        traffic.wait(1000.0)
        fleet.routers[victim].host_state = "leaving"
        fleet.publish_hosts()
        assert fleet.stop_router(victim) == 0
        traffic.wait(1500.0)
        fleet.routers[victim].host_state = "live"
        fleet.publish_hosts()
        fleet.restart_router(victim)
        traffic.wait(1500.0)
        end_ms = proof.clock.wall_ms()
        traffic.finish()
        assert traffic.faults() == []
        assert traffic.whole_between(end_ms - 1000.0, end_ms, "/search")
