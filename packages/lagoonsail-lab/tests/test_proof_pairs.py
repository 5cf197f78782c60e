from __future__ import annotations

import pytest

START_WINDOW_MS = 1000.0
"""Time for which a grant is valid."""
RETURN_MS = 7000.0
"""Time until another router grants after the key-value service has recovered."""


@pytest.mark.parametrize("mode", ["down", "silent"])
def test_owner_killed_while_the_key_value_service_is_unreachable(proof, mode):
    with proof.start_fleet(3, servers=1) as fleet:
        victim = proof.find_owner(fleet)
        others = [name for name in fleet.routers if name != victim]
        traffic = proof.traffic(fleet, seed=14)
        traffic.mixed()
        traffic.wait(1500.0)
        fleet.control_store(mode=mode)
        traffic.wait(2500.0)
        epochs = {run["epoch"] for run in proof.runs_of(fleet)}
        kills = proof.kill(fleet, victim)
        traffic.wait(2000.0)
        # No router can take over without the key-value service.
        assert {run["epoch"] for run in proof.runs_of(fleet)} == epochs
        fleet.control_store(mode="up")
        back_ms = proof.clock.wall_ms()
        traffic.wait(RETURN_MS)
        traffic.finish()
        assert traffic.faults(kills=kills) == []
        runs = proof.runs_of(fleet)
        assert max(run["epoch"] for run in runs) > max(epochs)
        assert proof.late_runs(runs, START_WINDOW_MS + 100.0) == []
        whole_after_recovery = traffic.whole_between(
            back_ms, back_ms + RETURN_MS, "/search"
        )
        assert {record.last.router for record in whole_after_recovery} <= set(others)
        assert whole_after_recovery


@pytest.mark.parametrize("orders", [{"lose_answers": 0.5}, {"stale_reads": True}])
def test_owner_killed_while_the_key_value_service_misbehaves(proof, orders):
    with proof.start_fleet(3, servers=1) as fleet:
        victim = proof.find_owner(fleet)
        traffic = proof.traffic(fleet, seed=15)
        traffic.mixed()
        traffic.wait(1500.0)
        epochs = {run["epoch"] for run in proof.runs_of(fleet)}
        fleet.control_store(**orders)
        kills = proof.kill(fleet, victim)
        traffic.wait(RETURN_MS)
        end_ms = proof.clock.wall_ms()
        fleet.control_store(lose_answers=0.0, stale_reads=False)
        traffic.finish()
        assert traffic.faults(kills=kills) == []
        runs = proof.runs_of(fleet)
        assert proof.late_runs(runs, START_WINDOW_MS + 100.0) == []
        assert max(run["epoch"] for run in runs) > max(epochs)
        assert traffic.whole_between(end_ms - 1500.0, end_ms, "/search")


def test_isolated_router_rejoins_while_the_key_value_service_is_down(proof):
    names = ["cordero-1", "cordero-2"]
    limits = {"queue_timeout_ms": 4000}
    with proof.start_fleet(
        2, servers=1, limits=limits, relayed_store=names, relayed_peers=names
    ) as fleet:
        victim = proof.find_owner(fleet)
        other = next(name for name in names if name != victim)
        at_victim = proof.traffic(fleet, [victim], seed=16)
        at_other = proof.traffic(fleet, [other], seed=17)
        for traffic in (at_victim, at_other):
            traffic.loop(traffic.search, 3)
            traffic.loop(traffic.bib, 1)
        at_other.wait(1500.0)
        proof.cut_off(fleet, victim)

        def has_taken_over():
            return max(run["epoch"] for run in proof.runs_of(fleet)) > 1

        assert proof.wait_until(has_taken_over, 9000.0) is not None
        fleet.control_store(mode="down")
        at_other.wait(1500.0)
        # The peers reach each other again, but neither reaches the key-value service.
        proof.cut_off(fleet, victim, mode="pass")
        at_other.wait(4000.0)
        fleet.control_store(mode="up")
        at_other.wait(1000.0)
        at_victim.finish()
        at_other.finish()
        assert at_victim.faults() == []
        assert at_other.faults() == []
        late = proof.late_runs(proof.runs_of(fleet), START_WINDOW_MS + 100.0)
        assert [(r["epoch"], r["started_wall_ms"]) for r in late] == []


def test_frozen_owner_goes_on_after_a_take_over_when_the_service_is_down(proof):
    with proof.start_fleet(3, servers=1) as fleet:
        victim = proof.find_owner(fleet)
        others = [name for name in fleet.routers if name != victim]
        at_victim = proof.traffic(fleet, [victim], seed=18)
        at_others = proof.traffic(fleet, others, seed=19)
        for traffic in (at_victim, at_others):
            traffic.loop(traffic.search, 3)
            traffic.loop(traffic.bib, 1)
        at_others.wait(1500.0)
        before = {run["epoch"] for run in proof.runs_of(fleet)}
        fleet.freeze_router(victim)

        def has_taken_over():
            return max(run["epoch"] for run in proof.runs_of(fleet)) > max(before)

        assert proof.wait_until(has_taken_over, 9000.0) is not None
        fleet.control_store(mode="down")
        at_others.wait(1500.0)
        fleet.thaw_router(victim)
        at_others.wait(4000.0)
        fleet.control_store(mode="up")
        at_others.wait(1000.0)
        at_victim.finish()
        at_others.finish()
        assert at_victim.faults() == []
        assert at_others.faults() == []
        runs = proof.runs_of(fleet)
        assert proof.late_runs(runs, START_WINDOW_MS + 100.0) == []


def test_frozen_owner_resumes_if_the_service_went_down_before_a_takeover(proof):
    with proof.start_fleet(3, servers=1) as fleet:
        proof.settle(fleet)
        victim = proof.find_owner(fleet)
        traffic = proof.traffic(fleet, seed=20)
        traffic.mixed()
        traffic.wait(1500.0)
        fleet.control_store(mode="down")
        fleet.freeze_router(victim)
        traffic.wait(4000.0)
        thawed_ms = proof.clock.wall_ms()
        fleet.thaw_router(victim)
        traffic.wait(3500.0)
        end_ms = proof.clock.wall_ms()
        fleet.control_store(mode="up")
        traffic.finish()
        assert traffic.faults() == []
        # No router could take over, so the promises of all let the owner continue.
        assert len({run["epoch"] for run in proof.runs_of(fleet)}) == 1
        assert traffic.whole_between(thawed_ms, end_ms, "/search")
