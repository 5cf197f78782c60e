"""A router with INI settings whose descriptors run short goes on accepting."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_lab.deployments import account_key, make_cordero
from lagoonsail_lab.descriptors import (
    limit_descriptors,
    open_half_heads,
    watch_descriptors,
)
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.process_usage import count_descriptors

ROUTER = "cordero-1"
SPARE_DESCRIPTORS = 40
"""Descriptors that the process may open besides those that it has at rest."""
BOUND_MARGIN = 2
"""Descriptors that are always left."""
MAX_CONNECTIONS = 60
"""Callers' connections in the settings: more than the process has descriptors for."""
CROWD = 120
"""Connections that send half a head each."""
WATCH_S = 2.0
"""How long the router's descriptors are counted while the crowd is connected."""
TIMEOUT_S = 20.0
"""Longer than a refused connection stays open."""


@pytest.fixture
def fleet():
    settings = {"limits": {"max_connections": MAX_CONNECTIONS}}
    with Fleet([make_cordero(1, 1, 1)], settings=settings) as fleet:
        yield fleet


def call(fleet):
    """Return the status of an ordinary call, 0 if it is not answered."""
    url = f"http://{fleet.routers[ROUTER].callers}/cordero/registro/search"
    key = account_key("cordero", "registro", "prensa")
    headers = {"Authorization": f"Bearer {key}", "Connection": "close"}
    with urllib3.PoolManager(retries=False, timeout=5.0) as pool:
        try:
            return pool.request("GET", url, headers=headers).status
        except urllib3.exceptions.HTTPError:
            return 0


# DESCRIPTORS: one accept that failed with EMFILE closed the port for good.
def test_router_survives_a_crowd_of_half_heads(fleet):
    assert call(fleet) == 200
    pid = fleet.routers[ROUTER].process.pid
    limit = count_descriptors(pid) + SPARE_DESCRIPTORS
    limit_descriptors(pid, limit)
    watch = eventlet.spawn(watch_descriptors, pid, WATCH_S)
    crowd = open_half_heads(fleet.routers[ROUTER].callers, CROWD)
    most = watch.wait()
    for connection in crowd:
        connection.close()
    with eventlet.Timeout(TIMEOUT_S, TimeoutError("no answer")):
        while call(fleet) != 200:
            eventlet.sleep(0.1)
        while not fleet.is_ready(ROUTER):
            eventlet.sleep(0.1)
    assert fleet.routers[ROUTER].process.pid == pid
    assert most <= limit - BOUND_MARGIN
