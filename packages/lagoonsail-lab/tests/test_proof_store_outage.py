from __future__ import annotations

import pytest

FORCE_MS = 5000.0
"""An accepted document is in force everywhere within this time."""
OUTAGE_MS = 6500.0
"""Longer than the sum of the 2 s lease and the 2 s promises."""
FAILURES = {
    "down": {"mode": "down"},
    "silent": {"mode": "silent"},
    "slow": {"mode": "slow", "delay_ms": 500},
    "losing": {"lose_answers": 0.5},
    "stale": {"stale_reads": True},
}
HEALTHY = {"mode": "up", "delay_ms": 0, "lose_answers": 0.0, "stale_reads": False}


@pytest.fixture(scope="module")
def fleet(proof):
    with proof.start_fleet(3) as fleet:
        proof.settle(fleet)
        yield fleet


def put_and_wait(proof, fleet, slots):
    """Change a document and wait until it is in force at all routers."""
    service = fleet.deployments[0].find(proof.plain)
    text = fleet.document(service).replace("slots = 4", f"slots = {slots}")
    revision = proof.put_document(fleet, service, text)

    def is_in_force():
        return set(proof.read_revisions(fleet, service).values()) == {revision}

    assert proof.wait_until(is_in_force, FORCE_MS) is not None
    return revision


@pytest.mark.parametrize("failure", list(FAILURES))
def test_calls_continue_and_no_document_reverts(proof, fleet, failure):
    service = fleet.deployments[0].find(proof.plain)
    accepted = put_and_wait(proof, fleet, 3)
    traffic = proof.traffic(fleet, seed=1)
    traffic.mixed()
    traffic.wait(1500.0)
    fleet.control_store(**FAILURES[failure])
    try:
        begin_ms = proof.clock.wall_ms()
        min_revision = accepted
        while proof.clock.wall_ms() - begin_ms < OUTAGE_MS:
            traffic.wait(250.0)
            revisions = proof.read_revisions(fleet, service)
            assert len(revisions) == 3
            assert min(revisions.values()) >= min_revision
            min_revision = min(revisions.values())
        end_ms = proof.clock.wall_ms()
    finally:
        fleet.control_store(**HEALTHY)
    put_and_wait(proof, fleet, 4)
    traffic.wait(500.0)
    traffic.finish()
    assert traffic.faults() == []
    # Streams and repeatable calls were served until the failure ended.
    for path in ("/v1", "/search"):
        assert traffic.whole_between(end_ms - 2000.0, end_ms, path), path
    # The owners stayed the same: no router took over from one that is alive.
    epochs = {
        run["epoch"]
        for run in proof.runs_of(fleet)
        if begin_ms < run["started_wall_ms"] < end_ms
    }
    assert len(epochs) == 1


def test_owners_continue_with_promises_of_all_other_routers(proof, fleet):
    fleet.control_store(mode="down")
    try:

        def rights():
            return {fleet.status(name)["right"] for name in fleet.routers}

        extended_after_ms = proof.wait_until(
            lambda: rights() == {"extended"}, OUTAGE_MS
        )
        assert extended_after_ms is not None
    finally:
        fleet.control_store(**HEALTHY)
    assert proof.wait_until(lambda: rights() == {"full"}, FORCE_MS) is not None
