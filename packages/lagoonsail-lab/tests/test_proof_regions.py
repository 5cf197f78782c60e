"""One service in two regions: no slot idles while work waits in the other region, and
each region continues alone when they are disconnected."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet
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
    owners,
    routers_of,
    runs_at,
    shard_of,
)

MOVE_MS = 500.0
"""Time after which a waiting call requests a slot in the other region."""
BUSY_MS = 300.0
"""Tolerance for a busy machine."""
START_WINDOW_MS = 1100.0
"""Time for which a grant is valid, plus 100 ms of tolerance."""
JOIN_MS = 5000.0
"""Time after reconnection until all routers know each other and all owners."""
TAKEOVER_MS = 20000.0
"""Lease 2 s, five lags of 2 s, 5 s for a second router, and 3 s for a busy machine."""
HANDBACK_MS = 8000.0
"""Time until a region's routers own its shards again."""


@pytest.fixture
def start(proof):
    """Return a function that creates the callers of one region."""

    def start_callers(fleet, region, seed):
        return proof.traffic(fleet, routers_of(fleet, region), seed)

    return start_callers


def faults(*callers):
    """Return the faults that the checker finds; here cold servers may use all slots."""
    return [f for traffic in callers for f in traffic.faults(cold_slots=SLOTS)]


def start_calls(traffic, work_ms, calls=SLOTS):
    """Start calls; return their green threads."""
    return [
        eventlet.spawn(traffic.caller.make, traffic.search(work_ms))
        for _ in range(calls)
    ]


def warm_up(fleet, callers):
    """Call each region until its own server has answered, which makes it warm."""
    for region, traffic in callers.items():
        for _ in range(10):
            for thread in start_calls(traffic, 20.0):
                thread.wait()
            if runs_at(fleet, PLAIN, region):
                break


def test_slot_of_one_region_does_not_idle_while_a_call_waits_in_the_other(proof, start):
    with make_fleet() as fleet:
        near, far = start(fleet, NEAR, 71), start(fleet, FAR, 72)
        warm_up(fleet, {NEAR: near, FAR: far})
        long_calls = proof.fill_slots(fleet, near, NEAR, 28000.0)
        # The other region has free slots.
        moved = near.caller.make(near.search())
        # The other region is full, and a slot becomes free while the call waits.
        idle_ms = []
        for number in range(6):
            work_ms = 1800.0 + 170.0 * number
            filler_calls = proof.fill_slots(fleet, far, FAR, work_ms)
            waiting = near.caller.make(near.search())
            for thread in filler_calls:
                thread.wait()
            runs = runs_at(fleet, PLAIN, FAR)[-SLOTS - 1 :]
            free_ms = min(run["ended_wall_ms"] for run in runs[:SLOTS])
            idle_ms.append(runs[-1]["started_wall_ms"] - free_ms)
            assert runs[-1]["request_id"] == waiting.last.request_id
        for thread in long_calls:
            thread.wait()
        near.finish()
        far.finish()
        print("moved_ms", moved.latency_ms, "idle_ms", idle_ms)
        assert faults(near, far) == []
        assert moved.is_whole and moved.latency_ms < MOVE_MS + BUSY_MS
        assert max(idle_ms) < MOVE_MS + BUSY_MS


def round_idle_ms(fleet, region, traffic, work_ms=700.0):
    """Return how long a slot was idle while half of a region's calls waited."""
    calls = [thread.wait() for thread in start_calls(traffic, work_ms, 2 * SLOTS)]
    ids = {record.last.request_id for record in calls}
    runs = [run for run in runs_at(fleet, PLAIN, region) if run["request_id"] in ids]
    assert len(runs) == 2 * SLOTS, "served by the region's own server"
    return runs[SLOTS]["started_wall_ms"] - min(run["ended_wall_ms"] for run in runs)


def test_disconnected_regions_continue_alone_and_rejoin(proof, start):
    with make_fleet() as fleet:
        callers = {NEAR: start(fleet, NEAR, 75), FAR: start(fleet, FAR, 76)}
        warm_up(fleet, callers)
        for traffic in callers.values():
            traffic.loop(traffic.stream, 2)
            traffic.loop(traffic.bib, 1)
        near = callers[NEAR]

        def run_rounds(regions):
            begin_ms = proof.clock.wall_ms()
            for _ in range(3):
                rounds = [
                    eventlet.spawn(round_idle_ms, fleet, region, callers[region])
                    for region in regions
                ]
                idle_ms.extend(thread.wait() for thread in rounds)
            for region in regions:
                end_ms = proof.clock.wall_ms()
                assert callers[region].whole_between(begin_ms, end_ms, "/v1")

        idle_ms = []
        cut_regions(fleet)
        near.wait(1000.0)
        run_rounds([NEAR, FAR])
        cut_store(fleet)
        isolated_ms = proof.clock.wall_ms()
        # Long enough for the other region to take over if the routers were not listed.
        near.wait(TAKEOVER_MS)
        run_rounds([FAR])
        levels = {fleet.status(name)["right"] for name in routers_of(fleet, NEAR)}
        epochs = {
            run["epoch"]
            for region in (NEAR, FAR)
            for service in (PLAIN, ENGINE)
            for run in runs_at(fleet, service, region)
        }
        late = [
            run
            for service in (PLAIN, ENGINE)
            for run in runs_at(fleet, service, NEAR)
            if run["started_wall_ms"] - isolated_ms > LEASE_MS + START_WINDOW_MS
        ]
        cut_regions(fleet, is_cut=False)
        cut_store(fleet, "pass")

        def has_rejoined():
            known_owners = [
                owners(fleet, shard_of(PLAIN, r), fleet.routers) for r in (NEAR, FAR)
            ]
            members = [len(fleet.status(name)["members"]) for name in fleet.routers]
            is_known = all(
                len(names) == 1 and "" not in names for names in known_owners
            )
            return is_known and min(members) == len(fleet.routers)

        joined_ms = proof.wait_until(has_rejoined, JOIN_MS)
        near.wait(3000.0)
        # The other region serves calls that wait here again.
        long_calls = proof.fill_slots(fleet, near, NEAR, 3000.0)
        moved = near.caller.make(near.search())
        for thread in long_calls:
            thread.wait()
        for traffic in callers.values():
            traffic.finish()
        print("idle_ms", idle_ms, "joined_ms", joined_ms, "moved_ms", moved.latency_ms)
        assert faults(*callers.values()) == []
        # It cannot rule out that operators have taken its servers out meanwhile.
        assert levels == {"lapsed"}
        assert not late
        # No router took over a shard, neither within a region nor from the other one.
        assert epochs == {1}
        assert max(idle_ms) < BUSY_MS
        assert joined_ms is not None
        assert moved.is_whole and moved.latency_ms < MOVE_MS + BUSY_MS


def test_shards_of_a_region_without_routers_are_served_by_the_other(proof, start):
    with make_fleet() as fleet:
        near, far = start(fleet, NEAR, 77), start(fleet, FAR, 78)
        warm_up(fleet, {NEAR: near, FAR: far})
        near.finish()
        shards = [shard_of(service, NEAR) for service in (PLAIN, ENGINE)]
        killed = routers_of(fleet, NEAR)

        def owned_by(region):
            found = [owners(fleet, s, routers_of(fleet, FAR)) for s in shards]
            return all(
                len(names) == 1 and names < set(routers_of(fleet, region))
                for names in found
            )

        # More callers than the slots of one region.
        far.loop(lambda: far.search(500.0), 3 * SLOTS)
        far.loop(lambda: far.stream(60), 3 * SLOTS)
        for name in killed:
            proof.kill(fleet, name)
            fleet.routers[name].host_state = ""
        fleet.publish_hosts()
        takeover_ms = proof.wait_until(lambda: owned_by(FAR), TAKEOVER_MS)
        takeover_wall_ms = proof.clock.wall_ms()
        far.wait(3000.0)
        # An owner from another region grants by its lease only, not by promises.
        fleet.control_store(mode="down")
        down_ms = proof.clock.wall_ms()
        far.wait(LEASE_MS + 4000.0)
        up_ms = proof.clock.wall_ms()
        fleet.control_store(mode="up")
        far.wait(6000.0)
        back_ms = proof.clock.wall_ms()
        for name in killed:
            fleet.routers[name].host_state = "live"
        fleet.publish_hosts()
        for thread in [eventlet.spawn(fleet.restart_router, name) for name in killed]:
            thread.wait()
        returned_ms = proof.wait_until(lambda: owned_by(NEAR), HANDBACK_MS)
        far.wait(3000.0)
        far.finish()
        print("takeover_ms", takeover_ms, "returned_ms", returned_ms)
        assert faults(near, far) == []
        assert takeover_ms is not None and returned_ms is not None
        for service in (PLAIN, ENGINE):
            runs = runs_at(fleet, service, NEAR)
            starts = [run["started_wall_ms"] for run in runs]
            stop_ms = down_ms + LEASE_MS + START_WINDOW_MS
            assert [ms for ms in starts if takeover_wall_ms < ms < down_ms]
            assert not [ms for ms in starts if stop_ms < ms < up_ms]
            assert [ms for ms in starts if up_ms < ms < back_ms]
            assert proof.late_runs(runs, START_WINDOW_MS) == []


def test_region_missing_from_the_host_list_grants_nothing_beside_a_remote_owner(
    proof, start
):
    with make_fleet(queue_timeout_ms=4000) as fleet:
        near, far = start(fleet, NEAR, 79), start(fleet, FAR, 80)
        warm_up(fleet, {NEAR: near, FAR: far})
        near.loop(near.search, 2)
        far.loop(lambda: far.search(500.0), 3 * SLOTS)
        near.wait(1000.0)
        # The region runs, but is cut off from the other one and the key-value service,
        # and is missing from the host list.
        cut_regions(fleet)
        cut_store(fleet)
        for name in routers_of(fleet, NEAR):
            fleet.routers[name].host_state = ""
        fleet.publish_hosts()
        far_names = set(routers_of(fleet, FAR))

        def is_taken_over():
            return owners(fleet, shard_of(PLAIN, NEAR), far_names) <= far_names

        takeover_ms = proof.wait_until(is_taken_over, TAKEOVER_MS)
        # Its routers are listed again and could give each other all promises.
        for name in routers_of(fleet, NEAR):
            fleet.routers[name].host_state = "live"
        fleet.publish_hosts()
        far.wait(6000.0)
        levels = {fleet.status(name)["right"] for name in routers_of(fleet, NEAR)}
        cut_store(fleet, "pass")
        cut_regions(fleet, is_cut=False)
        far.wait(6000.0)
        near.finish()
        far.finish()
        assert takeover_ms is not None
        assert faults(near, far) == []
        runs = runs_at(fleet, PLAIN, NEAR)
        assert proof.late_runs(runs, START_WINDOW_MS) == []
        assert levels == {"lapsed"}
        # The shard was taken over and handed back.
        assert {run["epoch"] for run in runs} == {1, 2, 3}
