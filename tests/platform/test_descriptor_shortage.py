"""A router whose descriptors run short goes on accepting and answering."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_lab.descriptors import (
    limit_descriptors,
    open_half_heads,
    watch_descriptors,
)

ROUTER = "router-1"
MAX_DESCRIPTORS = 300
"""Descriptors in the router's settings, 200 of them for files."""
PROCESS_LIMIT = 56
"""Descriptors that the kernel grants the router's process."""
BOUND = 54
"""Descriptors that the router may have open at any time: some are always left."""
CROWD = 120
"""Connections that send half a head each, more than the router may have open."""
SLOW_CALLERS = 60
"""Callers that wait for slow answers; each needs a connection to a server too."""
SERVICE_TIME_S = 1.0
"""Time that a server takes for an answer."""
WATCH_S = 2.0
"""How long the router's descriptors are counted while the crowd is connected."""
TIMEOUT_S = 20.0
"""Longer than the router keeps an idle connection."""


@pytest.fixture
def short_fleet(make_fleet):
    """A router that has few descriptors, by its settings and by its process's limit."""
    fleet = make_fleet(1, max_descriptors=MAX_DESCRIPTORS)
    limit_descriptors(fleet.routers[ROUTER].pid, PROCESS_LIMIT)
    return fleet


def wait_answered(fleet):
    """Wait until an ordinary request is answered; fail if none is."""
    with eventlet.Timeout(TIMEOUT_S, TimeoutError("no answer")):
        while fleet.ask(ROUTER, "GET", "/read/1", "ordinary")[0] != 200:
            eventlet.sleep(0.1)


def ask_readiness(fleet):
    """Return the status of the readiness check, 0 if it is not answered."""
    text = (fleet.directory / f"{ROUTER}.conf").read_text()
    address = text.partition("listen.readiness=")[2].splitlines()[0]
    host, port = address.split(":")
    try:
        with green_socket.create_connection((host, int(port))) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(b"GET /-/readiness HTTP/1.1\r\nConnection: close\r\n\r\n")
            return int(sock.recv(1000).split()[1])
    except (OSError, IndexError):
        return 0


def wait_ready(fleet):
    with eventlet.Timeout(TIMEOUT_S, TimeoutError("no answer")):
        while ask_readiness(fleet) != 200:
            eventlet.sleep(0.1)


# DESCRIPTORS: one accept that failed with EMFILE closed the port for good.
def test_port_survives_a_crowd_of_half_heads(short_fleet):
    process = short_fleet.routers[ROUTER]
    address = f"127.0.0.1:{short_fleet.ports[ROUTER]}"
    watch = eventlet.spawn(watch_descriptors, process.pid, WATCH_S)
    crowd = open_half_heads(address, CROWD)
    most = watch.wait()
    for connection in crowd:
        connection.close()
    wait_answered(short_fleet)
    wait_ready(short_fleet)
    assert process.poll() is None
    assert most <= BOUND


# DESCRIPTORS: nothing bounded connections to servers. Opening one failed as an internal
# error, and the port could not accept any more.
def test_port_survives_many_slow_answers(short_fleet):
    process = short_fleet.routers[ROUTER]
    for server in short_fleet.servers.values():
        server.service_time_s = SERVICE_TIME_S
    watch = eventlet.spawn(watch_descriptors, process.pid, WATCH_S)
    callers = [
        eventlet.spawn(short_fleet.ask, ROUTER, "GET", "/read/1", f"slow-{number}")
        for number in range(SLOW_CALLERS)
    ]
    statuses = [caller.wait()[0] for caller in callers]
    most = watch.wait()
    for server in short_fleet.servers.values():
        server.service_time_s = 0.0
    wait_answered(short_fleet)
    wait_ready(short_fleet)
    assert process.poll() is None
    assert set(statuses) <= {200, 503}
    assert 200 in statuses
    assert most <= BOUND


# READINESS: a router whose port was closed for good still called itself ready.
def test_ready_router_accepts_connections(short_fleet):
    for server in short_fleet.servers.values():
        server.service_time_s = SERVICE_TIME_S
    callers = [
        eventlet.spawn(short_fleet.ask, ROUTER, "GET", "/read/1", f"slow-{number}")
        for number in range(SLOW_CALLERS)
    ]
    answered = []
    while any(not caller.dead for caller in callers):
        if ask_readiness(short_fleet) == 200:
            answered.append(short_fleet.ask(ROUTER, "GET", "/read/1", "probe")[0])
        eventlet.sleep(0.05)
    assert 0 not in answered
    wait_ready(short_fleet)
    wait_answered(short_fleet)
