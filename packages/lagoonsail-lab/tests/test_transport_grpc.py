"""A fleet whose routers talk over gRPC serves and takes over as well."""

from __future__ import annotations

import socket

HTTP2_BEGINNING = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(
    [0, 0, 0, 4, 0, 0, 0, 0, 0]
)
"""What a client of HTTP/2 sends first: the preface and empty settings."""
SETTINGS_FRAME = 4
"""Type of the frame with which a server of HTTP/2 answers that."""


def speaks_http2(address):
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=2.0) as sock:
        sock.sendall(HTTP2_BEGINNING)
        head = sock.recv(9)
    return len(head) == 9 and head[3] == SETTINGS_FRAME


def test_calls_go_on_over_grpc_when_an_owner_is_killed(proof):
    with proof.start_fleet(3, settings={"peers": {"transport": "grpc"}}) as fleet:
        assert all(speaks_http2(router.peers) for router in fleet.routers.values())
        victim = proof.find_owner(fleet)
        others = [name for name in fleet.routers if name != victim]
        traffic = proof.traffic(fleet, others, seed=61)
        traffic.mixed()
        proof.warm_up(fleet, proof.plain, 1)
        kills = proof.kill(fleet, victim)
        traffic.wait(7000.0)
        traffic.finish()
        assert traffic.faults(kills=kills) == []
        assert traffic.whole_between(kills[-1].wall_ms + 6000.0, float("inf"))
