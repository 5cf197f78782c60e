"""A fleet whose routers talk over gRPC serves and takes over as well."""

from __future__ import annotations


def test_calls_go_on_over_grpc_when_an_owner_is_killed(proof):
    with proof.start_fleet(3, settings={"peers": {"transport": "grpc"}}) as fleet:
        victim = proof.find_owner(fleet)
        others = [name for name in fleet.routers if name != victim]
        traffic = proof.traffic(fleet, others, seed=61)
        traffic.mixed()
        proof.warm_up(fleet, proof.plain, 1)
        kills = proof.kill(fleet, victim)
        traffic.wait(7000.0)
        traffic.finish()
        assert traffic.faults(kills=kills) == []
        assert traffic.whole_between(kills[-1].wall_ms + 6000.0, float("inf"))
