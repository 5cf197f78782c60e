from __future__ import annotations

from lagoonsail_lab.call_record import RAN_LOST

START_WINDOW_MS = 1000.0
"""Time for which a grant is valid."""
TIMEOUT_MS = 1500
"""Timeout of an answer from a backend server."""


def test_silent_streams_between_routers_are_replaced(proof):
    names = ["cordero-1", "cordero-2", "cordero-3"]
    with proof.start_fleet(3, relayed_peers=names) as fleet:
        owner = proof.find_owner(fleet)
        others = [name for name in names if name != owner]
        traffic = proof.traffic(fleet, others, seed=12)
        traffic.mixed()
        traffic.wait(1500.0)
        for name in names:
            fleet.control_relay(f"peers-{name}", mode="freeze")
        frozen_ms = proof.clock.wall_ms()
        for name in names:
            frozen = fleet.fetch(
                "GET", fleet.relays[f"peers-{name}"].control, "/_record"
            )
            if name == names[-1]:
                assert frozen["frozen"]
        # Silence is detected after 2 s; the dial that follows opens a new connection.
        traffic.wait(6000.0)
        end_ms = proof.clock.wall_ms()
        traffic.finish()
        assert traffic.faults() == []
        assert proof.late_runs(proof.runs_of(fleet), START_WINDOW_MS + 100.0) == []
        for path in ("/search", "/v1", "/bibs"):
            whole_after_freeze = traffic.whole_between(frozen_ms + 4000.0, end_ms, path)
            assert whole_after_freeze, path


def test_silent_connections_to_servers_mix_up_no_answers(proof):
    limits = {"request_timeout_ms": TIMEOUT_MS}
    with proof.start_fleet(2, servers=1, limits=limits) as fleet:
        relayed = {}
        for service in fleet.deployments[0].services:
            backend = fleet.backends[f"cordero/{service.name}-1"]
            fleet._add_relay(f"to-{service.name}", backend.address)
            relay = fleet.relays[f"to-{service.name}"]
            relayed[service.name] = relay.address
            text = fleet.document(service).replace(backend.address, relay.address)
            revision = proof.put_document(fleet, service, text)
            is_known = proof.wait_until(
                lambda service=service, revision=revision: (
                    set(proof.read_revisions(fleet, service).values()) == {revision}
                ),
                5000.0,
            )
            assert is_known is not None
        traffic = proof.traffic(fleet, seed=13)
        traffic.loop(lambda: traffic.search(100.0), 3)
        traffic.loop(lambda: traffic.bib(100.0), 3)
        traffic.loop(lambda: traffic.stream(40), 3)
        for name in relayed:
            proof.warm_up(fleet, name, 2)
        for _ in range(2):
            for name in relayed:
                fleet.control_relay(f"to-{name}", mode="freeze")
            frozen_ms = proof.clock.wall_ms()
            traffic.wait(TIMEOUT_MS + 1000.0)
            # Answers in transit now arrive late, after their calls have been answered.
            for name in relayed:
                fleet.control_relay(f"to-{name}", mode="pass")
            traffic.wait(500.0)
        # Until then the owner counts runs that may still be in progress at the server.
        traffic.wait(3000.0)
        end_ms = proof.clock.wall_ms()
        records = traffic.finish()
        assert traffic.faults() == []
        unknown = [record for record in records if record.last.ran == "unknown"]
        assert unknown, "no call met a silent connection"
        assert not [record for record in records if record.last.ran == RAN_LOST]
        for path in ("/search", "/v1"):
            assert traffic.whole_between(frozen_ms, end_ms, path), path
