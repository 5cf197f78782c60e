"""Faulty servers whose answers do not end, at many requests at once."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from lagoonsail_platform_standin import fleet as standin_fleet
from lagoonsail_platform_standin.fleet import StandInServer, make_request

from lagoonsail_core.green import eventlet, green_socket

ROUTER = "router-1"
CALLERS = 300
BLOCK = b"x" * 60_000
FLOOD_S = 6.0
MAX_MEMORY_BYTES = 240_000_000
"""0.8 of the memory limit of a router."""


@pytest.fixture
def faulty_fleet(make_fleet, monkeypatch, status):
    """A platform whose servers send answers without end, with the given status."""
    fleet = make_fleet(1, max_descriptors=4100)

    def serve(_server, env, start_response):
        head = [("Lagoonsail-Attempt-Id", env["HTTP_LAGOONSAIL_ATTEMPT_ID"])]
        head.append(("Lagoonsail-Server-Seal", "seal"))
        start_response(status, head)
        while True:
            yield BLOCK

    monkeypatch.setattr(StandInServer, "serve", serve)
    for server in fleet.servers.values():
        # The ports call the method that the server had when it was started.
        server.port.close()
        server.port = standin_fleet.StandInPort(
            server.serve, int(server.address.rpartition(":")[2])
        )
    return fleet


def peak_memory_bytes(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    return 1024 * int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])


# LOST: a router kept the endless answers of faulty servers and ran out of memory.
@pytest.mark.parametrize("path", ["/read/1", "/write/1", "/stream/1", "/resume/1"])
@pytest.mark.parametrize("status", ["200 OK", "500 Failed"])
def test_endless_answers_to_many_requests_stay_within_memory(faulty_fleet, path):
    socks = []
    for number in range(CALLERS):
        sock = green_socket.create_connection(("127.0.0.1", faulty_fleet.ports[ROUTER]))
        sock.sendall(make_request("POST", path, f"id-{number}"))
        socks.append(sock)
    eventlet.sleep(FLOOD_S)
    router = faulty_fleet.routers[ROUTER]
    assert router.poll() is None
    assert peak_memory_bytes(router) < MAX_MEMORY_BYTES
    for sock in socks:
        sock.close()
