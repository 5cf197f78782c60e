"""One service in three regions, two of which may be disconnected."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_lab.regions import (
    ENGINE,
    FAR,
    NEAR,
    PLAIN,
    SLOTS,
    THIRD,
    cut_regions,
    make_fleet,
    owners,
    routers_of,
    runs_at,
    shard_of,
)

REGIONS = (NEAR, FAR, THIRD)
"""The regions."""
TURN_MS = 600.0
"""Longest time that a waiting call stays at one shard when others are reachable."""
BUSY_MS = 300.0
"""Tolerance for a busy machine."""
JOIN_MS = 5000.0
"""Time after reconnection until every router knows an owner of each shard."""
FORCE_MS = 5000.0
"""Time until a document is in force at all routers."""
THIRD_MS = 2200.0
"""Time until a call that finds no slot in its region is served by the third one."""


@pytest.fixture
def start(proof):
    """Return a function that prepares each region's callers and warms its server."""

    def start_callers(fleet, seed):
        callers = {
            region: proof.traffic(fleet, routers_of(fleet, region), seed + number)
            for number, region in enumerate(REGIONS)
        }
        for region, traffic in callers.items():
            while not runs_at(fleet, PLAIN, region):
                for thread in start_calls(traffic, 20.0):
                    thread.wait()
        return callers

    return start_callers


def faults(callers):
    """Return the faults that the checker finds; here cold servers may use all slots."""
    return [f for t in callers.values() for f in t.faults(cold_slots=SLOTS)]


def start_calls(traffic, work_ms, calls=SLOTS):
    """Start calls; return their green threads."""
    return [
        eventlet.spawn(traffic.caller.make, traffic.search(work_ms))
        for _ in range(calls)
    ]


def wait_all(threads):
    """Wait for calls and return their records."""
    return [thread.wait() for thread in threads]


def slot_idle_ms(fleet, callers, region, filler_calls):
    """Return how long a region's slot is idle while a call waits in the first one."""
    waiting = callers[NEAR].caller.make(callers[NEAR].search())
    wait_all(filler_calls)
    runs = runs_at(fleet, PLAIN, region)[-SLOTS - 1 :]
    assert runs[-1]["request_id"] == waiting.last.request_id
    free_ms = min(run["ended_wall_ms"] for run in runs[:SLOTS])
    return runs[-1]["started_wall_ms"] - free_ms


def test_slots_of_both_other_regions_do_not_idle_while_a_call_waits(proof, start):
    with make_fleet(regions=REGIONS) as fleet:
        callers = start(fleet, 91)
        long_calls = proof.fill_slots(fleet, callers[NEAR], NEAR, 28000.0)
        idle_ms = []
        for free, full in ((FAR, THIRD), (THIRD, FAR)):
            filler_calls = proof.fill_slots(fleet, callers[full], full, 12000.0)
            for number in range(3):
                work_ms = 1800.0 + 170.0 * number
                short_calls = proof.fill_slots(fleet, callers[free], free, work_ms)
                idle_ms.append(slot_idle_ms(fleet, callers, free, short_calls))
            wait_all(filler_calls)
        wait_all(long_calls)
        for traffic in callers.values():
            traffic.finish()
        print("idle_ms", idle_ms)
        assert faults(callers) == []
        assert max(idle_ms) < (len(REGIONS) - 1) * TURN_MS + BUSY_MS


def test_two_disconnected_regions_continue_with_the_third(proof, start):
    with make_fleet(regions=REGIONS, queue_timeout_ms=4000) as fleet:
        callers = start(fleet, 94)
        for traffic in callers.values():
            traffic.loop(traffic.stream, 2)
            traffic.loop(traffic.bib, 2)
        service = fleet.deployments[0].services[0]
        cut_regions(fleet)
        callers[NEAR].wait(2000.0)
        # Each of the two regions can still use the slots of the third.
        moved = []
        for region in (NEAR, FAR):
            work_ms = proof.fill_ms + THIRD_MS
            filler_calls = proof.fill_slots(fleet, callers[region], region, work_ms)
            sent_ms = proof.clock.wall_ms()
            record = callers[region].caller.make(callers[region].search())
            served = {
                run["request_id"]
                for run in runs_at(fleet, PLAIN, THIRD)
                if run["started_wall_ms"] < sent_ms + THIRD_MS
            }
            moved.append((record.is_whole, record.last.request_id in served))
            wait_all(filler_calls)
        revision = proof.put_document(fleet, service, fleet.document(service))

        def is_in_force():
            return set(proof.read_revisions(fleet, service).values()) == {revision}

        in_force_ms = proof.wait_until(is_in_force, FORCE_MS)
        cut_ms = proof.clock.wall_ms()
        callers[NEAR].wait(8000.0)
        reconnected_ms = proof.clock.wall_ms()
        cut_regions(fleet, is_cut=False)
        callers[NEAR].wait(JOIN_MS)
        shards = [shard_of(PLAIN, region) for region in REGIONS]
        known_owners = [owners(fleet, shard, fleet.routers) for shard in shards]
        joined_ms = proof.clock.wall_ms()
        callers[NEAR].wait(3000.0)
        for traffic in callers.values():
            traffic.finish()
        epochs = {
            run["epoch"]
            for region in REGIONS
            for name in (PLAIN, ENGINE)
            for run in runs_at(fleet, name, region)
        }
        records_after_join = [
            record
            for traffic in callers.values()
            for record in traffic.caller.records
            if record.attempts[0].started_wall_ms > joined_ms
        ]
        print("moved", moved, "in_force_ms", in_force_ms, "epochs", epochs)
        assert faults(callers) == []
        assert moved == [(True, True)] * 2
        assert in_force_ms is not None
        for traffic in callers.values():
            assert traffic.whole_between(cut_ms, reconnected_ms, "/v1")
        # No router took over a shard, and every call is answered after reconnection.
        assert epochs == {1}
        assert all(len(names) == 1 and "" not in names for names in known_owners)
        assert records_after_join and all(
            record.is_whole for record in records_after_join
        )
