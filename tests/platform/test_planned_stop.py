"""A planned stop: what is accepted late, and what does not end within the grace."""

from __future__ import annotations

import signal
import time

import pytest
from lagoonsail_platform_standin.answer_reader import AnswerReader, CallerAnswer
from lagoonsail_platform_standin.fleet import make_manifest, make_request

from lagoonsail_core.green import eventlet, green_socket

ROUTER = "router-1"
GRACE_S = 4.0
"""Grace of the stand-in settings: the router is killed after it."""
LATE_S = 3.2
"""Time after the stop signal from which requests are refused."""
BODY = b"x" * 2000
REFUSED = 503
UNKNOWN_OUTCOME = 502


@pytest.fixture
def slow_fleet(fleet):
    """A platform whose requests may take, and take, longer than the grace."""
    routes = [r | {"timeout-ms": 20_000} for r in make_manifest(1)["routes"]]
    fleet.put_manifest(routes=routes)
    for server in fleet.servers.values():
        server.service_time_s = 3 * GRACE_S
    eventlet.sleep(0.3)
    return fleet


def connect(fleet):
    sock = green_socket.create_connection(("127.0.0.1", fleet.ports[ROUTER]))
    sock.settimeout(2 * GRACE_S)
    return sock


def read_answer(sock):
    """Return the answer, with status 0 if the connection ended without one."""
    answer = CallerAnswer()
    try:
        AnswerReader(sock).read(answer)
    except OSError:
        return CallerAnswer()
    return answer


def runs_of(fleet):
    return sum(len(server.runs) for server in fleet.servers.values())


# LOST: a request whose body came late in the grace was passed on, and cut off.
def test_request_whose_body_comes_late_in_the_grace_is_not_passed_on(slow_fleet):
    fleet = slow_fleet
    runs = runs_of(fleet)
    sock = connect(fleet)
    head = make_request("POST", "/write/1", "late-1")
    length = f"Content-Length: {len(BODY)}".encode()
    sock.sendall(head.replace(b"Content-Length: 0", length) + BODY[:1000])
    eventlet.sleep(0.2)
    fleet.routers[ROUTER].send_signal(signal.SIGTERM)
    eventlet.sleep(LATE_S)
    sock.sendall(BODY[1000:])
    answer = read_answer(sock)
    assert answer.status == REFUSED
    assert b'"ran":"no"' in answer.body.replace(b" ", b"")
    assert runs_of(fleet) == runs


# LOST: at the end of the grace a request was cut off without an answer.
@pytest.mark.parametrize("path", ["/write/1", "/read/1"])
def test_request_that_runs_at_the_end_of_the_grace_gets_an_answer(slow_fleet, path):
    fleet = slow_fleet
    sock = connect(fleet)
    fleet.routers[ROUTER].send_signal(signal.SIGTERM)
    started_s = time.monotonic()
    eventlet.sleep(LATE_S - 0.7)
    sock.sendall(make_request("POST", path, "late-1"))
    answer = read_answer(sock)
    assert time.monotonic() - started_s < GRACE_S
    assert answer.status == UNKNOWN_OUTCOME
    assert b"unknown" in answer.body
    assert fleet.routers[ROUTER].wait(GRACE_S) == 0
