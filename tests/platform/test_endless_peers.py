"""Callers and servers that send without end must not keep a router from others."""

from __future__ import annotations

import pytest
from lagoonsail_platform_standin.fleet import HOSTNAME, make_request

from lagoonsail_core.green import eventlet
from lagoonsail_lab.endless_peers import EndlessPeers
from lagoonsail_lab.process_usage import count_descriptors, peak_memory_bytes

ROUTER = "router-1"
MEMORY_MB = 120
"""Memory limit of the router."""
MAX_DESCRIPTORS = 280
"""Descriptors of the router, of which 80 are not reserved for files."""
FAST_CALLERS = 4
"""Callers of a crowd that send or read as fast as they can."""
SLOW_CALLERS = 60
"""Callers of a crowd that send slowly: more than the router serves at once."""
SLOW_INTERVAL_S = 0.2
"""Pause between two bytes of a slow caller."""
CROWD_S = 1.0
"""Time that a crowd has before an ordinary request is sent."""
ANSWER_TIMEOUT_S = 20.0
"""Ends the test if no request is answered; no promise of the router."""

PIPELINED = {
    "unknown route": f"GET /none HTTP/1.1\r\nHost: {HOSTNAME}\r\n\r\n",
    "unread body": "POST /none HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789",
}


@pytest.fixture
def small_fleet(make_fleet):
    """A platform with one router that has little memory and few descriptors."""
    return make_fleet(1, max_descriptors=MAX_DESCRIPTORS, memory_mb=MEMORY_MB)


@pytest.fixture
def peers():
    peers = EndlessPeers()
    yield peers
    peers.close()


def check_router(fleet):
    """Check that the router answers an ordinary request and keeps its limits."""
    eventlet.sleep(CROWD_S)
    with eventlet.Timeout(ANSWER_TIMEOUT_S):
        while fleet.ask(ROUTER, "GET", "/read/1", "id")[0] != 200:
            eventlet.sleep(0.2)
    process = fleet.routers[ROUTER]
    assert process.poll() is None
    assert 0 < peak_memory_bytes(process.pid) < MEMORY_MB * 1_000_000
    assert count_descriptors(process.pid) <= MAX_DESCRIPTORS


# HUNG: a task that always found the next request went on without a turn of others.
@pytest.mark.parametrize("kind", PIPELINED)
def test_pipelined_requests_without_end_leave_others_their_turn(
    small_fleet, peers, kind
):
    address = f"127.0.0.1:{small_fleet.ports[ROUTER]}"
    for _ in range(FAST_CALLERS):
        peers.call(address, b"", PIPELINED[kind].encode())
    check_router(small_fleet)


# HUNG: answered requests kept their connections for as long as bytes of their bodies
# came, and all other callers were refused.
def test_answered_requests_whose_bodies_trickle_give_way_to_others(small_fleet, peers):
    request = make_request("POST", "/none", "id")
    request = request.replace(b"Content-Length: 0", b"Content-Length: 60000")
    for _ in range(SLOW_CALLERS):
        address = f"127.0.0.1:{small_fleet.ports[ROUTER]}"
        peers.call(address, request, b"x", SLOW_INTERVAL_S)
    check_router(small_fleet)
