"""Callers and servers that send without end must not keep a router from others."""

from __future__ import annotations

import re

import pytest
from lagoonsail_platform_standin.fleet import HOSTNAME, make_manifest, make_request

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
ASKING_CALLERS = 12
"""Callers that ask for answers without end, and read them as fast as they can."""
HEAD_CALLERS = 60
"""Callers that ask a server for heads without end."""
HEAD_DESCRIPTORS = 400
"""Descriptors of the router for these callers and as many connections to servers."""
HEADS_DESCRIPTORS = 1800
"""Descriptors of the router that gets unfinished heads, so that it may serve each."""
HEADS_MEMORY_MB = 60
"""Memory limit of this router."""
UNFINISHED_HEADS = 750
UNFINISHED_HEAD_BYTES = 16_000
LONG_TIMEOUT_MS = 60_000
"""Timeout of routes to servers whose answers have no end: longer than the test."""
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
ATTEMPT_ID = re.compile(rb"(?i)lagoonsail-attempt-id: *([^\r]+)")
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_ANSWERS = {
    "/stream/1": b"2\r\nxx\r\n",
    "/resume/1": b"9\r\ndata: x\n\n\r\n",
}
"""What is sent over and over to requests for a path."""
LONG_HEAD = b"a:\r\n" * 30_000 + b"b: "
"""Start of a head without end, shorter than what a server may send without a body."""


@pytest.fixture
def small_fleet(make_fleet):
    """A platform with one router that has little memory and few descriptors."""
    return make_fleet(1, max_descriptors=MAX_DESCRIPTORS, memory_mb=MEMORY_MB)


@pytest.fixture
def peers():
    peers = EndlessPeers()
    yield peers
    peers.close()


def check_router(fleet, path="/read/1"):
    """Check that the router answers an ordinary request and keeps its limits."""
    eventlet.sleep(CROWD_S)
    with eventlet.Timeout(ANSWER_TIMEOUT_S):
        while fleet.ask(ROUTER, "GET", path, "id")[0] != 200:
            eventlet.sleep(0.2)
    process = fleet.routers[ROUTER]
    assert process.poll() is None
    assert 0 < peak_memory_bytes(process.pid) < fleet.memory_mb * 1_000_000
    assert count_descriptors(process.pid) <= fleet.max_descriptors


def serve_without_end(fleet, peers, service, start, repeated=b""):
    """Let the servers of a service send answers without end."""

    def make_start(head):
        lines = [
            b"HTTP/1.1 200 OK",
            b"Lagoonsail-Attempt-Id: " + ATTEMPT_ID.search(head)[1],
            b"Lagoonsail-Server-Seal: seal",
            start,
        ]
        return b"\r\n".join(lines)

    for server in fleet.servers.values():
        if server.service == service:
            server.port.close()
            peers.serve(make_start, repeated, int(server.address.rpartition(":")[2]))


def read_manifest_version(fleet):
    lines = [line for line in fleet.read_log(ROUTER) if line["event"] == "answer"]
    return lines[-1]["manifest"] if lines else None


def use_long_timeouts(fleet):
    """Write a manifest with long timeouts, and wait until the router uses it."""
    routes = make_manifest(0)["routes"]
    fleet.put_manifest(routes=[r | {"timeout-ms": LONG_TIMEOUT_MS} for r in routes])
    with eventlet.Timeout(ANSWER_TIMEOUT_S):
        while read_manifest_version(fleet) != fleet.version:
            fleet.ask(ROUTER, "GET", "/read/1", "version")
            eventlet.sleep(0.1)


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


# HUNG: an answer that came faster than it was read kept its task running, so that no
# other task had a turn until the request's timeout.
@pytest.mark.parametrize("path", ENDLESS_ANSWERS)
def test_endless_answers_of_servers_leave_others_their_turn(small_fleet, peers, path):
    use_long_timeouts(small_fleet)
    serve_without_end(small_fleet, peers, "engine", CHUNKED, ENDLESS_ANSWERS[path])
    for number in range(ASKING_CALLERS):
        address = f"127.0.0.1:{small_fleet.ports[ROUTER]}"
        peers.call(address, make_request("POST", path, f"id-{number}"))
    check_router(small_fleet)


# LOST: each of the many short headers of an answer took many times its length.
def test_long_heads_of_servers_stay_within_memory(make_fleet, peers):
    fleet = make_fleet(1, max_descriptors=HEAD_DESCRIPTORS, memory_mb=MEMORY_MB)
    serve_without_end(fleet, peers, "plain", LONG_HEAD)
    for number in range(HEAD_CALLERS):
        address = f"127.0.0.1:{fleet.ports[ROUTER]}"
        peers.call(address, make_request("POST", "/write/1", f"id-{number}"))
    check_router(fleet, "/stream/1")


# LOST: heads that stop short of their end were not counted in the byte budget, and
# connections were accepted beyond it.
def test_unfinished_heads_stay_within_memory(make_fleet, peers):
    fleet = make_fleet(1, max_descriptors=HEADS_DESCRIPTORS, memory_mb=HEADS_MEMORY_MB)
    address = f"127.0.0.1:{fleet.ports[ROUTER]}"
    head = make_request("GET", "/read/1", "id")[:-2] + b"a: "
    for _ in range(UNFINISHED_HEADS):
        peers.hold(address, head.ljust(UNFINISHED_HEAD_BYTES, b"x"))
    check_router(fleet)
