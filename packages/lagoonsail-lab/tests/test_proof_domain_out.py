"""Domains and servers that are taken out get no new work after a few seconds."""

from __future__ import annotations

import pytest

from lagoonsail_lab.checker import Outage, check_outages, last_new_work_ms

OUT_MS = 3000.0
"""Target: no new work starts later than this after the command."""


def take_out(proof, fleet, name):
    """Take a domain or server out; return the outage."""
    servers = frozenset(backend.qualified() for backend in fleet.backends_of(name))
    fleet.set_state(name, "out")
    return Outage(servers, proof.clock.wall_ms(), float("inf"))


@pytest.mark.parametrize("store", ["up", "down", "silent"])
def test_domain_out_gets_no_new_work_and_no_call_fails(proof, store):
    with proof.start_fleet(3) as fleet:
        traffic = proof.traffic(fleet, seed=31)
        traffic.mixed()
        proof.warm_up(fleet, proof.plain, 1)
        outage = take_out(proof, fleet, "cordero/banos")
        if store != "up":
            # Once one router has the document, it spreads without the store.
            proof.wait_until(lambda: len(set(revisions(proof, fleet))) == 1, 2000.0)
            fleet.control_store(mode=store)
        traffic.wait(OUT_MS + 2500.0)
        fleet.control_store(mode="up")
        records = traffic.finish()
        assert traffic.faults(outages=[outage], within_ms=OUT_MS) == []
        assert all(record.is_whole for record in records)
        since_ms = outage.from_wall_ms + OUT_MS
        assert traffic.whole_between(since_ms, float("inf"))
        # Control: the check reports the domain that stayed in when treated as out.
        servers_in = frozenset(b.qualified() for b in fleet.backends_of("cordero/puyo"))
        assert check_outages(
            fleet.records(),
            [Outage(servers_in, outage.from_wall_ms, float("inf"))],
            OUT_MS,
        )


def revisions(proof, fleet):
    service = fleet.deployments[0].services[0]
    return proof.read_revisions(fleet, service).values()


def test_domain_brought_back_is_used_again_without_overload(proof):
    with proof.start_fleet(2) as fleet:
        traffic = proof.traffic(fleet, seed=32)
        traffic.loop(lambda: traffic.stream(20), 12, pause_ms=1.0)
        proof.warm_up(fleet, proof.engine, 2)
        outage = take_out(proof, fleet, "cordero/banos")
        traffic.wait(3000.0)
        assert last_new_work_ms(fleet.records(), outage) < OUT_MS
        returned_ms = proof.clock.wall_ms()
        fleet.set_state("cordero/banos", "in")
        traffic.wait(4000.0)
        records = traffic.finish()
        assert traffic.faults() == []
        assert all(record.is_whole for record in records)
        returned_runs = [
            run
            for name in outage.servers
            for run in fleet.records()[name]["runs"]
            if run["started_wall_ms"] > returned_ms
        ]
        assert returned_runs


def test_server_listed_as_leaving_gets_no_new_work(proof):
    with proof.start_fleet(2) as fleet:
        traffic = proof.traffic(fleet, seed=33)
        traffic.loop(traffic.search, 4)
        proof.warm_up(fleet, proof.plain, 1)
        backend = fleet.backends["cordero/registro-1"]
        hosts = fleet.fetch("GET", fleet.host_list, "/hosts")
        labels = {"name": "registro-1", "state": "leaving", "role": "server"}
        leaving = {"targets": [backend.address], "labels": labels}
        fleet.fetch("POST", fleet.host_list, "/_control", {"hosts": [*hosts, leaving]})
        outage = Outage(
            frozenset([backend.qualified()]), proof.clock.wall_ms(), float("inf")
        )
        traffic.wait(OUT_MS + 2000.0)
        records = traffic.finish()
        assert traffic.faults(outages=[outage], within_ms=OUT_MS) == []
        assert all(record.is_whole for record in records)
