from __future__ import annotations

from lagoonsail_core.green import eventlet
from lagoonsail_lab.call_record import RAN_NO
from lagoonsail_lab.checker import check_ran_once

NEW_GRANTS_MS = 6000.0
"""Lease 2 s, start window 1 s, inventories 0.8 s, and tolerance for a busy machine."""
DUPLICATE_STATUS = 409
"""Status of a call whose idempotency key was used before and may have run."""


def test_queued_calls_are_served_by_the_next_owner(proof):
    with proof.start_fleet(3) as fleet:
        victim = proof.find_owner(fleet)
        others = [name for name in fleet.routers if name != victim]
        traffic = proof.traffic(fleet, others, seed=4)
        # More callers than slots, so that calls are queued when the owner is killed.
        traffic.loop(lambda: traffic.search(150.0), 12)
        traffic.loop(lambda: traffic.bib(150.0), 4)
        traffic.wait(2500.0)
        epochs = {run["epoch"] for run in proof.runs_of(fleet)}
        kills = proof.kill(fleet, victim)
        traffic.wait(NEW_GRANTS_MS + 1000.0)
        records = traffic.finish()
        assert traffic.faults() == []
        runs_of_next_epochs = [
            run for run in proof.runs_of(fleet) if run["epoch"] > max(epochs)
        ]
        assert (
            runs_of_next_epochs[0]["started_wall_ms"] - kills[0].wall_ms < NEW_GRANTS_MS
        )
        queued = [
            record
            for record in records
            if record.attempts[0].started_wall_ms < kills[0].wall_ms
            and record.last.ended_wall_ms > runs_of_next_epochs[0]["started_wall_ms"]
        ]
        assert queued
        assert all(record.is_whole for record in queued)


def test_killed_entry_router_loses_only_its_own_calls_and_nothing_runs_twice(proof):
    with proof.start_fleet(3) as fleet:
        victim = proof.find_owner(fleet)
        traffic = proof.traffic(fleet, seed=5)
        retried = []

        def call_with_retries(call):
            # As callers do whose call may have run: retry with the same key.
            for _ in range(4):
                record = traffic.caller.make(call)
                if not record.last.ran:
                    return
                if record.last.ran != RAN_NO:
                    retried.append(record)
                eventlet.sleep(0.3)

        def run():
            while not traffic.is_over:
                call_with_retries(traffic.bib(300.0))

        traffic.threads += [eventlet.spawn(run) for _ in range(10)]
        proof.warm_up(fleet, proof.plain, 3)
        kills = proof.kill(fleet, victim)
        traffic.wait(6000.0)
        records = traffic.finish()
        assert any(record.last.router == victim for record in retried)
        assert traffic.faults(kills=kills) == []
        # Some of the retried calls had run, and their keys were rejected as duplicates.
        assert any(record.last.status == DUPLICATE_STATUS for record in records)
        # Control: the check reports keys that are counted twice.
        servers = fleet.records()
        duplicated = {**servers, "again": next(iter(servers.values()))}
        assert check_ran_once(records, duplicated)
