"""Servers that say in their answers that they leave, or want a pause."""

from __future__ import annotations

import os
import signal
import time

import pytest

from lagoonsail_core.green import eventlet

ROUTER = "router-1"
PLAIN = ("plain-1", "plain-2")
PAUSE_S = 2.0
TIMEOUT_S = 10.0


def arrivals(server):
    return len(server.runs) + server.refusals


def ask_many(fleet, count, name="id"):
    return [
        fleet.ask(ROUTER, "GET", "/read/1", f"{name}-{number}")[0]
        for number in range(count)
    ]


def ask_until_arrival(fleet, server):
    """Ask until one more request has reached a server."""
    known = arrivals(server)
    with eventlet.Timeout(TIMEOUT_S):
        while arrivals(server) == known:
            ask_many(fleet, 1)


# DRAIN: a server that said in its answers that it leaves got further requests.
def test_server_that_says_that_it_leaves_gets_no_more_requests(fleet):
    server = fleet.servers["plain-1"]
    server.is_leaving = True
    ask_until_arrival(fleet, server)
    known = arrivals(server)
    assert set(ask_many(fleet, 20, "later")) == {200}
    assert arrivals(server) == known


def test_notice_holds_whatever_the_store_says_and_ends_with_the_incarnation(fleet):
    server = fleet.servers["plain-1"]
    server.is_leaving = True
    ask_until_arrival(fleet, server)
    known = arrivals(server)
    fleet.store.remove("servers/plain-1")
    eventlet.sleep(0.1)
    fleet.store.put_json("servers/plain-1", server.record())
    eventlet.sleep(0.1)
    ask_many(fleet, 10, "renewed")
    assert arrivals(server) == known
    server.is_leaving = False
    server.born += 1
    fleet.store.put_json("servers/plain-1", server.record())
    ask_until_arrival(fleet, server)


# BUDGET: a server that had asked for a pause got requests before its end.
def test_server_that_wants_a_pause_gets_it(fleet):
    server = fleet.servers["plain-1"]
    server.is_shedding, server.retry_after = True, str(PAUSE_S)
    ask_until_arrival(fleet, server)
    end_s = time.monotonic() + PAUSE_S
    known = arrivals(server)
    while time.monotonic() < end_s - 0.1:
        assert ask_many(fleet, 1, "paused") == [200]
    assert arrivals(server) == known
    server.is_shedding = False
    ask_until_arrival(fleet, server)


def test_callers_are_refused_at_once_while_all_servers_want_a_pause(fleet):
    for name in PLAIN:
        server = fleet.servers[name]
        server.is_shedding, server.retry_after = True, str(PAUSE_S)
    while not all(fleet.servers[name].refusals for name in PLAIN):
        ask_many(fleet, 1)
    started_s = time.monotonic()
    status, headers, _ = fleet.ask(ROUTER, "POST", "/write/1", "id-last")
    assert status == 503
    assert time.monotonic() - started_s < 0.3
    assert 1.0 < float(headers["retry-after"]) < PAUSE_S + 1.0
    assert sum(fleet.servers[name].refusals for name in PLAIN) == len(PLAIN)


@pytest.mark.parametrize("value", ["-3", "nan", "inf", "1e9", "soon", "", "9" * 5000])
def test_pause_that_cannot_be_read_is_none(fleet, value):
    for name in PLAIN:
        server = fleet.servers[name]
        server.is_shedding, server.retry_after = True, value
    ask_many(fleet, 4)
    known = sum(fleet.servers[name].refusals for name in PLAIN)
    ask_many(fleet, 4, "later")
    assert sum(fleet.servers[name].refusals for name in PLAIN) > known


def test_router_that_was_stopped_looks_again_before_it_sends(fleet):
    server = fleet.servers["plain-1"]
    server.is_leaving = True
    ask_until_arrival(fleet, server)
    known = arrivals(server)
    router = fleet.routers[ROUTER]
    os.kill(router.pid, signal.SIGSTOP)
    eventlet.sleep(1.0)
    os.kill(router.pid, signal.SIGCONT)
    ask_many(fleet, 10, "later")
    assert arrivals(server) == known
