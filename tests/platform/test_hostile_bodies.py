"""Crowds of hostile callers must not make a router exceed its host's memory."""

from __future__ import annotations

import pytest
from lagoonsail_platform_standin.answer_reader import AnswerReader, CallerAnswer
from lagoonsail_platform_standin.fleet import API_KEY, HOSTNAME, make_request

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_lab.hostile_callers import (
    CROWDS,
    MAX_BODY_BYTES,
    close_crowds,
    run_crowd,
)

ROUTER = "router-1"
MEMORY_MB = 120
"""Memory limit of the router: less than the bodies of a crowd, and enough for one."""
MAX_DESCRIPTORS = 400
ANSWER_TIMEOUT_S = 30.0
"""Ends the test if no request is answered; no promise of the router."""


@pytest.fixture
def small_fleet(make_fleet):
    """A platform with one router that has little memory and few descriptors."""
    fleet = make_fleet(1, max_descriptors=MAX_DESCRIPTORS, memory_mb=MEMORY_MB)
    fleet.put_manifest(limits={"max-body-bytes": MAX_BODY_BYTES})
    with eventlet.Timeout(ANSWER_TIMEOUT_S):
        while read_manifest_version(fleet) != fleet.version:
            fleet.ask(ROUTER, "GET", "/read/1", "version")
            eventlet.sleep(0.1)
    yield fleet
    close_crowds()


def read_manifest_version(fleet):
    lines = [line for line in fleet.read_log(ROUTER) if line["event"] == "answer"]
    return lines[-1]["manifest"] if lines else None


# LOST: a router ran out of memory under chunked bodies that it held without a bound.
@pytest.mark.parametrize("crowd", CROWDS)
def test_router_stays_within_its_memory_under_a_crowd_and_answers_afterwards(
    small_fleet, crowd
):
    process = small_fleet.routers[ROUTER]
    head = [
        "POST /write/1 HTTP/1.1",
        f"Host: {HOSTNAME}",
        "Lagoonsail-Attempt-Id: hostile",
        f"Authorization: Bearer {API_KEY}",
    ]
    address = f"127.0.0.1:{small_fleet.ports[ROUTER]}"
    result = run_crowd(crowd, address, head, process.pid)
    with eventlet.Timeout(ANSWER_TIMEOUT_S):
        while small_fleet.ask(ROUTER, "GET", "/read/1", "id")[0] != 200:
            eventlet.sleep(0.2)
    assert process.poll() is None
    assert 0 < result.peak_memory_bytes < MEMORY_MB * 1_000_000
    assert result.peak_descriptors <= MAX_DESCRIPTORS


# A budget that is too small, or bodies that are held twice, would refuse it.
@pytest.mark.parametrize("is_chunked", [False, True])
def test_longest_body_is_served_by_a_router_with_little_memory(small_fleet, is_chunked):
    data = make_request("POST", "/write/1", "id-1")
    if is_chunked:
        framing, body = b"Transfer-Encoding: chunked", b"%x\r\n%s\r\n0\r\n\r\n"
        body = body % (MAX_BODY_BYTES, b"x" * MAX_BODY_BYTES)
    else:
        framing = b"Content-Length: %d" % MAX_BODY_BYTES
        body = b"x" * MAX_BODY_BYTES
    address = ("127.0.0.1", small_fleet.ports[ROUTER])
    with green_socket.create_connection(address, timeout=20.0) as sock:
        sock.sendall(data.replace(b"Content-Length: 0", framing) + body)
        answer = CallerAnswer()
        AnswerReader(sock).read(answer)
    assert answer.status == 200
    runs = [run for server in small_fleet.servers.values() for run in server.runs]
    lengths = [run["CONTENT_LENGTH"] for run in runs if run["REQUEST_METHOD"] == "POST"]
    assert lengths == [str(MAX_BODY_BYTES)]
