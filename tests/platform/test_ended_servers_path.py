"""Servers that crash and return under another id, while the store lists the old one.

Guards against routers that go on sending requests to the address of the old server:
each costs a retry, and the retry budget of the service is soon used up.
"""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet

ROUTERS = ("router-1", "router-2", "router-3")
DIGESTS_S = 0.5
"""Time in which each router hears of what the others have counted."""
RETRIES = 4
"""Requests that may reach the address before the routers have told each other."""


@pytest.fixture
def fleet(make_fleet):
    return make_fleet(len(ROUTERS))


def ask_all(fleet, count, name):
    return [
        fleet.ask(router, "POST", "/write/1", f"{name}-{router}-{number}")[0]
        for number in range(count)
        for router in ROUTERS
    ]


def test_address_of_a_replaced_server_gets_no_more_requests(fleet):
    server = fleet.servers["plain-1"]
    server.server_id = "plain-1-again"
    # Until a router has been told by the server, or by another router.
    assert set(ask_all(fleet, 6, "first")) == {200}
    assert 1 <= server.misdirected <= RETRIES
    eventlet.sleep(DIGESTS_S)
    known = server.misdirected
    assert set(ask_all(fleet, 10, "later")) == {200}
    assert server.misdirected == known
    fleet.store.remove("servers/plain-1")
    fleet.store.put_json("servers/plain-1-again", server.record())
    eventlet.sleep(DIGESTS_S)
    ask_all(fleet, 10, "registered")
    assert server.runs and server.misdirected == known


def test_server_that_returns_under_its_own_id_gets_requests_again(fleet):
    server = fleet.servers["plain-1"]
    server.crash()
    assert set(ask_all(fleet, 5, "crashed")) == {200}
    server.restart()
    # The store still has the record of the former start.
    server.born -= 1
    with eventlet.Timeout(10.0):
        while not server.runs:
            ask_all(fleet, 1, "restarted")
