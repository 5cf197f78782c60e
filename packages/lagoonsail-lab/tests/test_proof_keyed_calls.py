from __future__ import annotations

import pytest

from lagoonsail_lab.call_record import RAN_NO

LEASE_MS = 2000.0
"""Lease time of the fleet; promises last as long."""
CUT_START_MS = 2500.0
"""Bound of the time until a keyed call starts while its owner alone is cut off."""
TIMEOUT_MS = 1500
"""Timeout of calls to the key-value service, where it is lost for all."""
KNOWN_MS = 2.0 * LEASE_MS + TIMEOUT_MS
"""Time after which a write has failed and promises are held."""
KNOWN_START_MS = 1000.0
"""Bound of the p99 of the time until a keyed call starts after that."""
BEGIN_START_MS = 1200.0
"""Bound of the time until a keyed call starts when an outage begins."""
RETRIES = 20
"""Calls that are tried again."""
DUPLICATE_STATUS = 409
"""Answer to a key that was sent before and may have run."""


def start_waits(proof, fleet, records):
    """Return the time from each call's beginning until it ran, sorted."""
    started = {
        run["idempotency_key"]: run["started_wall_ms"] for run in proof.runs_of(fleet)
    }
    return sorted(
        started[record.call.idempotency_key] - record.attempts[0].started_wall_ms
        for record in records
        if record.call.idempotency_key in started
    )


def begun_between(records, from_wall_ms, until_wall_ms):
    return [
        record
        for record in records
        if from_wall_ms < record.attempts[0].started_wall_ms < until_wall_ms
    ]


def try_again(proof, fleet, router, records):
    """Make whole calls again with their keys through another router."""
    others = [record for record in records if record.last.router != router]
    again = proof.traffic(fleet, [router], seed=73)
    for record in others[-RETRIES:]:
        again.caller.make(record.call)
    again.finish()
    assert len(again.caller.records) == RETRIES
    return again


def call_with_keys(proof, fleet, seed):
    """Call through the owner and one other router, while nothing fails yet."""
    proof.settle(fleet)
    owner = proof.find_owner(fleet)
    other = next(name for name in fleet.routers if name != owner)
    traffic = proof.traffic(fleet, [owner, other], seed)
    traffic.loop(traffic.bib, 4)
    traffic.wait(1500.0)
    return traffic


def check_keys_at_the_next_owner(proof, fleet, traffic, interval_ms):
    """End the owner as the service returns; who follows must know its keys."""
    owner = proof.find_owner(fleet)
    third = [name for name in fleet.routers if name != owner][1]
    fleet.control_store(mode="up")
    kills = proof.kill(fleet, owner)
    again = try_again(proof, fleet, third, traffic.whole_between(*interval_ms))
    traffic.finish()
    assert {r.last.status for r in again.caller.records} == {DUPLICATE_STATUS}
    assert again.faults(kills=kills) == []
    assert traffic.faults(kills=kills) == []


def test_keyed_calls_go_on_while_their_owner_alone_is_cut_off(proof):
    names = ["cordero-1", "cordero-2", "cordero-3"]
    with proof.start_fleet(3, relayed_store=names) as fleet:
        proof.settle(fleet)
        victim = proof.find_owner(fleet)
        other, third = [name for name in names if name != victim]
        traffic = proof.traffic(fleet, [victim, other], seed=71)
        traffic.loop(traffic.bib, 4)
        traffic.wait(1500.0)
        epochs = {run["epoch"] for run in proof.runs_of(fleet)}
        fleet.control_relay(f"store-{victim}", mode="cut")
        cut_ms = proof.clock.wall_ms()
        traffic.wait(4.0 * LEASE_MS)
        end_ms = proof.clock.wall_ms()
        begun = begun_between(
            # Those under way at the cut too, since they wait for the lost write.
            traffic.caller.records,
            cut_ms - 200.0,
            end_ms - CUT_START_MS - 1000.0,
        )
        assert begun
        refused = [r for r in begun if any(a.ran == RAN_NO for a in r.attempts)]
        assert refused == []
        waits = start_waits(proof, fleet, begun)
        assert len(waits) == len(begun)
        assert waits[-1] < CUT_START_MS
        assert {run["epoch"] for run in proof.runs_of(fleet)} == epochs
        # The same keys again, before and after the end of the owner that took them.
        before = try_again(proof, fleet, third, traffic.whole_between(cut_ms, end_ms))
        late_ms = proof.clock.wall_ms()
        traffic.wait(1500.0)
        kills = proof.kill(fleet, victim)
        late = traffic.whole_between(late_ms, kills[0].wall_ms)
        after = try_again(proof, fleet, third, late)
        traffic.finish()
        for again in (before, after):
            statuses = {record.last.status for record in again.caller.records}
            assert statuses == {DUPLICATE_STATUS}
            assert again.faults(kills=kills) == []
        assert traffic.faults(kills=kills) == []


def test_keyed_calls_wait_for_no_write_once_an_outage_is_known(proof):
    settings = {"store": {"timeout_ms": TIMEOUT_MS}}
    with proof.start_fleet(3, settings=settings) as fleet:
        traffic = call_with_keys(proof, fleet, seed=72)
        fleet.control_store(mode="silent")
        traffic.wait(KNOWN_MS)
        known_ms = proof.clock.wall_ms()
        traffic.wait(8000.0)
        end_ms = proof.clock.wall_ms()
        begun = begun_between(
            traffic.caller.records, known_ms, end_ms - 2.0 * TIMEOUT_MS
        )
        waits = start_waits(proof, fleet, begun)
        assert begun
        assert len(waits) == len(begun)
        assert waits[int(0.99 * (len(waits) - 1))] < KNOWN_START_MS
        check_keys_at_the_next_owner(proof, fleet, traffic, (known_ms, end_ms))


@pytest.mark.parametrize("mode", ["down", "silent"])
def test_keyed_calls_wait_a_short_while_when_an_outage_begins(proof, mode):
    settings = {"store": {"timeout_ms": 1000, "lease_ttl_ms": 3000}}
    with proof.start_fleet(3, settings=settings) as fleet:
        traffic = call_with_keys(proof, fleet, seed=75)
        lost_ms = proof.clock.wall_ms()
        fleet.control_store(mode=mode)
        traffic.wait(5000.0)
        end_ms = proof.clock.wall_ms()
        begun = begun_between(
            traffic.caller.records, lost_ms - 200.0, end_ms - 2.0 * BEGIN_START_MS
        )
        waits = start_waits(proof, fleet, begun)
        assert begun
        assert len(waits) == len(begun)
        assert waits[-1] < BEGIN_START_MS
        check_keys_at_the_next_owner(proof, fleet, traffic, (lost_ms, end_ms))
