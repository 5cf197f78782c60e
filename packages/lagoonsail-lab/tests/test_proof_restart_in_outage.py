from __future__ import annotations

import pytest

START_MS = 10000.0
"""Time until a restarted router is ready while the key-value service is down."""


@pytest.mark.parametrize("name", ["cordero-1", "cordero-2", "cordero-3"])
def test_router_without_state_gets_the_newest_document_from_peers(proof, name):
    with proof.start_fleet(3, servers=1) as fleet:
        service = fleet.deployments[0].find(proof.plain)
        text = fleet.document(service).replace("slots = 4", "slots = 3")
        newest = proof.put_document(fleet, service, text)

        def has_newest(names=None):
            revisions = proof.read_revisions(fleet, service, names)
            return set(revisions.values()) == {newest}

        assert proof.wait_until(has_newest, 5000.0) is not None
        fleet.control_store(mode="down")
        process = fleet.routers[name].process
        process.kill()
        process.start()
        process.wait_listening()
        assert proof.wait_until(lambda: fleet.is_ready(name), START_MS) is not None
        assert proof.wait_until(lambda: has_newest([name]), START_MS) is not None
        # It serves callers immediately; the promises of all let the owners continue.
        traffic = proof.traffic(fleet, [name], seed=3)
        traffic.loop(traffic.search, 2)
        traffic.loop(traffic.stream, 2)
        begin_ms = proof.clock.wall_ms()
        traffic.wait(4000.0)
        # The service returns with its old data; no document reverts.
        fleet.control_store(mode="up", stale_reads=True)
        traffic.wait(1500.0)
        traffic.finish()
        assert has_newest()
        assert traffic.faults() == []
        if name != proof.find_owner(fleet, ask=[name]):
            until_ms = begin_ms + 4000.0
            assert traffic.whole_between(begin_ms, until_ms, "/search")
