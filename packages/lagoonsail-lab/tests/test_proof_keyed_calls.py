from __future__ import annotations

import pytest

from lagoonsail_lab.call_record import RAN_NO

LEASE_MS = 2000.0
"""Lease duration in the fleet; promises last as long."""
CUT_OFF_DELAY_MS = 2500.0
"""Bound of a keyed call's start delay while only its owner is cut off."""
TIMEOUT_MS = 1500
"""Timeout of calls to the key-value service in tests where all routers lose it."""
OUTAGE_KNOWN_MS = 2.0 * LEASE_MS + TIMEOUT_MS
"""Time after which a write has failed and the owner holds promises."""
KNOWN_OUTAGE_DELAY_MS = 1000.0
"""Bound of the p99 of a keyed call's start delay once the outage is known."""
NEW_OUTAGE_DELAY_MS = 1200.0
"""Bound of a keyed call's start delay at the beginning of an outage."""
RETRIES = 20
"""Number of calls that are retried."""
ANSWERS_MS = 10000.0
"""Time until as many calls are answered, milliseconds."""
DUPLICATE_STATUS = 409
"""Status of a call whose idempotency key was used before and may have run."""


def start_delays(proof, fleet, records):
    """Return the delay between the start of each call and of its run, sorted."""
    started = {
        run["idempotency_key"]: run["started_wall_ms"] for run in proof.runs_of(fleet)
    }
    return sorted(
        started[record.call.idempotency_key] - record.attempts[0].started_wall_ms
        for record in records
        if record.call.idempotency_key in started
    )


def started_between(records, from_wall_ms, until_wall_ms):
    return [
        record
        for record in records
        if from_wall_ms < record.attempts[0].started_wall_ms < until_wall_ms
    ]


def retry(proof, fleet, router, records):
    """Retry answered calls with their keys through another router."""
    via_other_routers = [record for record in records if record.last.router != router]
    retries = proof.traffic(fleet, [router], seed=73)
    for record in via_other_routers[-RETRIES:]:
        retries.caller.make(record.call)
    retries.finish()
    assert len(retries.caller.records) == RETRIES
    return retries


def call_with_keys(proof, fleet, seed):
    """Start keyed calls through the owner and one other router, before any failure."""
    proof.settle(fleet)
    owner = proof.find_owner(fleet)
    other = next(name for name in fleet.routers if name != owner)
    traffic = proof.traffic(fleet, [owner, other], seed)
    traffic.loop(traffic.bib, 4)
    traffic.wait(1500.0)
    return traffic


def check_keys_at_the_next_owner(proof, fleet, traffic, interval_ms):
    """Kill the owner when the service returns; the next owner must know its keys."""
    owner = proof.find_owner(fleet)
    third = [name for name in fleet.routers if name != owner][1]
    fleet.control_store(mode="up")
    kills = proof.kill(fleet, owner)
    retries = retry(proof, fleet, third, traffic.whole_between(*interval_ms))
    traffic.finish()
    assert {r.last.status for r in retries.caller.records} == {DUPLICATE_STATUS}
    assert retries.faults(kills=kills) == []
    assert traffic.faults(kills=kills) == []


def test_keyed_calls_continue_while_only_their_owner_is_cut_off(proof):
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
        started = started_between(
            # Includes calls in progress at the cut, since they wait for the lost write.
            traffic.caller.records,
            cut_ms - 200.0,
            end_ms - CUT_OFF_DELAY_MS - 1000.0,
        )
        assert started
        refused = [r for r in started if any(a.ran == RAN_NO for a in r.attempts)]
        assert refused == []
        delays = start_delays(proof, fleet, started)
        assert len(delays) == len(started)
        assert delays[-1] < CUT_OFF_DELAY_MS
        assert {run["epoch"] for run in proof.runs_of(fleet)} == epochs
        # Retry the same keys before and after the owner that accepted them is killed.
        before = retry(proof, fleet, third, traffic.whole_between(cut_ms, end_ms))
        late_ms = proof.clock.wall_ms()
        traffic.wait(1500.0)

        def has_answers():
            return len(traffic.whole_between(late_ms, float("inf"))) >= RETRIES

        # A busy machine may answer fewer calls than are retried in the time above.
        assert proof.wait_until(has_answers, ANSWERS_MS) is not None
        kills = proof.kill(fleet, victim)
        late = traffic.whole_between(late_ms, kills[0].wall_ms)
        after = retry(proof, fleet, third, late)
        traffic.finish()
        for retries in (before, after):
            statuses = {record.last.status for record in retries.caller.records}
            assert statuses == {DUPLICATE_STATUS}
            assert retries.faults(kills=kills) == []
        assert traffic.faults(kills=kills) == []


def test_keyed_calls_do_not_wait_for_writes_once_an_outage_is_known(proof):
    settings = {"store": {"timeout_ms": TIMEOUT_MS}}
    with proof.start_fleet(3, settings=settings) as fleet:
        traffic = call_with_keys(proof, fleet, seed=72)
        fleet.control_store(mode="silent")
        traffic.wait(OUTAGE_KNOWN_MS)
        known_ms = proof.clock.wall_ms()
        traffic.wait(8000.0)
        end_ms = proof.clock.wall_ms()
        started = started_between(
            traffic.caller.records, known_ms, end_ms - 2.0 * TIMEOUT_MS
        )
        delays = start_delays(proof, fleet, started)
        assert started
        assert len(delays) == len(started)
        assert delays[int(0.99 * (len(delays) - 1))] < KNOWN_OUTAGE_DELAY_MS
        check_keys_at_the_next_owner(proof, fleet, traffic, (known_ms, end_ms))


@pytest.mark.parametrize("mode", ["down", "silent"])
def test_keyed_calls_are_delayed_briefly_when_an_outage_begins(proof, mode):
    settings = {"store": {"timeout_ms": 1000, "lease_ttl_ms": 3000}}
    with proof.start_fleet(3, settings=settings) as fleet:
        traffic = call_with_keys(proof, fleet, seed=75)
        lost_ms = proof.clock.wall_ms()
        fleet.control_store(mode=mode)
        traffic.wait(5000.0)
        end_ms = proof.clock.wall_ms()
        started = started_between(
            traffic.caller.records, lost_ms - 200.0, end_ms - 2.0 * NEW_OUTAGE_DELAY_MS
        )
        delays = start_delays(proof, fleet, started)
        assert started
        assert len(delays) == len(started)
        assert delays[-1] < NEW_OUTAGE_DELAY_MS
        check_keys_at_the_next_owner(proof, fleet, traffic, (lost_ms, end_ms))
