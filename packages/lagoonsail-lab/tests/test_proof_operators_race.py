from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.fleet import ROUTER_PREFIX
from lagoonsail_store.store_client import Conflict, StoreClient, Written

FORCE_MS = 5000.0
"""An accepted document is in force everywhere within this time."""


@pytest.fixture(scope="module")
def fleet(proof):
    with proof.start_fleet(3, servers=1) as fleet:
        yield fleet


def write_both(fleet, service):
    """Let two operators write concurrently; return both results."""
    key = f"{ROUTER_PREFIX}documents/{service.qualified()}"
    operators = [StoreClient([fleet.store], 1000.0, Clock()) for _ in range(2)]
    revision = operators[0].get(key).revision
    text = fleet.document(service)
    threads = [
        eventlet.spawn(
            operator.put_if,
            key,
            text.replace("slots = 4", f"slots = {number + 2}"),
            revision,
        )
        for number, operator in enumerate(operators)
    ]
    return [thread.wait() for thread in threads]


@pytest.mark.parametrize("attempt", range(5))
def test_one_of_two_operators_wins_and_the_other_sees_the_newer_document(
    proof, fleet, attempt
):
    service = fleet.deployments[0].find(proof.plain)
    results = write_both(fleet, service)
    written = [result for result in results if isinstance(result, Written)]
    conflicts = [result for result in results if isinstance(result, Conflict)]
    assert (len(written), len(conflicts)) == (1, 1)
    assert conflicts[0].entry.revision == written[0].revision

    def is_in_force():
        revisions = proof.read_revisions(fleet, service)
        return set(revisions.values()) == {written[0].revision}

    assert proof.wait_until(is_in_force, FORCE_MS) is not None


def test_stale_listing_never_reverts_a_document_even_after_a_restart(proof, fleet):
    service = fleet.deployments[0].find(proof.plain)
    fleet.control_store(stale_reads=True)
    try:
        text = fleet.document(service).replace("slots = 4", "slots = 3")
        newest = proof.put_document(fleet, service, text)

        def is_in_force(names=None):
            revisions = proof.read_revisions(fleet, service, names)
            return set(revisions.values()) == {newest}

        assert proof.wait_until(is_in_force, FORCE_MS) is not None
        # Ends the watches, so that every router lists again and gets a stale listing.
        fleet.control_store(mode="down")
        eventlet.sleep(0.3)
        fleet.control_store(mode="up")
        name = "cordero-3"
        process = fleet.routers[name].process
        process.kill()
        process.start()
        process.wait_listening()
        assert proof.wait_until(lambda: is_in_force([name]), FORCE_MS) is not None
        for _ in range(20):
            assert is_in_force()
            eventlet.sleep(0.1)
        # No router reverted to an older document, even briefly.
        for router in fleet.routers:
            applied = proof.applied_revisions(fleet, router, service)
            assert applied[-1] == newest
            assert applied == sorted(set(applied))
    finally:
        fleet.control_store(stale_reads=False)
