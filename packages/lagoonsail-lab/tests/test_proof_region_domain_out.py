"""A domain that is taken out gets no new work, even in a region that is cut off."""

from __future__ import annotations

from itertools import pairwise

import pytest

from lagoonsail_lab.checker import Outage
from lagoonsail_lab.regions import (
    ENGINE,
    FAR,
    LEASE_MS,
    NEAR,
    PLAIN,
    SLOTS,
    cut_regions,
    cut_store,
    make_fleet,
    routers_of,
    runs_at,
)

OUT_MS = 3000.0
"""Target: no new work starts later than this after a command that reaches the owner."""
WINDOW_MS = 1100.0
"""Time for which a grant is valid, plus 100 ms of tolerance."""
FORCE_MS = 5000.0
"""Time until a document is in force at all routers, once they are reachable."""
PAUSE_MS = 1500.0
"""Longest time without a new run while callers call continuously."""
DOMAIN = "cordero/banos"
"""The failure domain of the first region's servers."""


@pytest.fixture
def start(proof):
    """Return a function that starts the callers of each region."""

    def start_callers(fleet, seed):
        callers = {
            region: proof.traffic(fleet, routers_of(fleet, region), seed + number)
            for number, region in enumerate((NEAR, FAR))
        }
        for traffic in callers.values():
            traffic.loop(traffic.search, 3)
            traffic.loop(traffic.stream, 3)
        return callers

    return start_callers


def take_out(proof, fleet):
    """Take the domain out; return the outage."""
    servers = frozenset(backend.qualified() for backend in fleet.backends_of(DOMAIN))
    fleet.set_state(DOMAIN, "out")
    return Outage(servers, proof.clock.wall_ms(), float("inf"))


def finish(callers, **options):
    """Stop the callers and return the faults that the checker finds."""
    for traffic in callers.values():
        traffic.finish()
    return [
        fault
        for traffic in callers.values()
        for fault in traffic.faults(cold_slots=SLOTS, **options)
    ]


def is_in_force(proof, fleet, names):
    """Return whether the routers have the newest document of each service."""
    newest = {
        service.name: max(proof.read_revisions(fleet, service).values())
        for service in fleet.deployments[0].services
    }
    return all(
        set(proof.read_revisions(fleet, service, names).values())
        == {newest[service.name]}
        for service in fleet.deployments[0].services
    )


@pytest.mark.parametrize("cut", [cut_regions, cut_store])
def test_domain_out_reaches_a_region_without_the_other_or_the_service(
    proof, start, cut
):
    with make_fleet(queue_timeout_ms=1000) as fleet:
        callers = start(fleet, 101)
        callers[NEAR].wait(2000.0)
        cut(fleet)
        callers[NEAR].wait(LEASE_MS + 1000.0)
        before_ms = proof.clock.wall_ms()
        callers[NEAR].wait(1000.0)
        outage = take_out(proof, fleet)
        callers[NEAR].wait(OUT_MS + 3000.0)
        assert finish(callers, outages=[outage], within_ms=OUT_MS) == []
        # Control: the domain was in use until then, so the check can fail.
        run_starts_ms = [
            run["started_wall_ms"]
            for service in (PLAIN, ENGINE)
            for run in runs_at(fleet, service, NEAR)
        ]
        assert [ms for ms in run_starts_ms if before_ms < ms < outage.from_wall_ms]


def test_connected_regions_continue_without_the_key_value_service(proof, start):
    with make_fleet() as fleet:
        callers = start(fleet, 105)
        callers[NEAR].wait(2000.0)
        fleet.control_store(mode="down")
        from_ms = proof.clock.wall_ms()
        callers[NEAR].wait(LEASE_MS + 5000.0)
        levels = {fleet.status(name)["right"] for name in fleet.routers}
        until_ms = proof.clock.wall_ms()
        fleet.control_store(mode="up")
        callers[NEAR].wait(2000.0)
        assert finish(callers) == []
        pauses_ms = {}
        for service in (PLAIN, ENGINE):
            for region in (NEAR, FAR):
                runs = runs_at(fleet, service, region)
                starts = [run["started_wall_ms"] for run in runs]
                starts = [ms for ms in starts if from_ms < ms < until_ms]
                pauses = [after - ms for ms, after in pairwise([*starts, until_ms])]
                pauses_ms[service, region] = max(pauses)
        print("levels", levels, "pauses_ms", pauses_ms)
        assert levels == {"extended"}
        assert max(pauses_ms.values()) < PAUSE_MS


def test_region_that_no_document_reaches_gives_no_work_to_a_domain_that_is_out(
    proof, start
):
    with make_fleet(queue_timeout_ms=1000) as fleet:
        callers = start(fleet, 103)
        callers[NEAR].wait(2000.0)
        cut_regions(fleet)
        cut_store(fleet)
        outage = take_out(proof, fleet)
        callers[NEAR].wait(LEASE_MS + WINDOW_MS)
        isolated_ms = proof.clock.wall_ms()
        callers[NEAR].wait(6000.0)
        levels = {fleet.status(name)["right"] for name in routers_of(fleet, NEAR)}
        reconnected_ms = proof.clock.wall_ms()
        cut_regions(fleet, is_cut=False)
        cut_store(fleet, "pass")
        force_ms = proof.wait_until(
            lambda: is_in_force(proof, fleet, fleet.routers), FORCE_MS
        )
        callers[NEAR].wait(3000.0)
        end_ms = proof.clock.wall_ms()
        within_ms = LEASE_MS + WINDOW_MS
        found = finish(callers, outages=[outage], within_ms=within_ms)
        print("levels", levels, "force_ms", force_ms, "faults", len(found))
        assert found == []
        # The other region continues, and serves this region's calls afterwards.
        assert callers[FAR].whole_between(isolated_ms, reconnected_ms, "/v1")
        assert callers[FAR].whole_between(isolated_ms, reconnected_ms, "/search")
        assert force_ms is not None
        assert callers[NEAR].whole_between(reconnected_ms, end_ms, "/v1")
