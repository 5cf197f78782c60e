from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import Balancer, Caller, make_prompt
from lagoonsail_lab.deployments import make_cordero
from lagoonsail_lab.fleet import Fleet

SHARD = "cordero/asistente@sierra-central"
WARM_MS = 30_000.0
RELEASE_S = 4.0


def make_call(tokens):
    return make_prompt("cordero", "asistente", "prensa", tokens, False, "whole")


@pytest.fixture(scope="module")
def fleet():
    deployment = make_cordero(2, 1, 1)
    # A single shard is never handed over for rebalancing, so its owner stays the same.
    deployment.services = [deployment.find("asistente")]
    deployment.find("asistente").options.update(warm_after=2)
    with Fleet([deployment]) as fleet:
        yield fleet


@pytest.fixture
def make_caller(fleet):
    balancers = []

    def make(name):
        router = fleet.routers[name]
        balancers.append(Balancer({name: (router.callers, router.admin)}))
        return Caller(balancers[-1], keep_alive=False)

    yield make
    for balancer in balancers:
        balancer.stop()


def find_owner(fleet):
    for name in fleet.routers:
        status = fleet.status(name)
        if status and SHARD in status["shards"]:
            return name, status["shards"][SHARD]["servers"]["asistente-1"]
    return "", {"warm": False}


def warm_up(fleet, caller):
    clock = Clock()
    until_ms = clock.now_ms() + WARM_MS
    while clock.now_ms() < until_ms:
        calls = [eventlet.spawn(caller.make, make_call(20)) for _ in range(8)]
        for call in calls:
            call.wait()
        owner, server = find_owner(fleet)
        if server["warm"]:
            return owner
    raise AssertionError(f"server did not become warm in time: {server}")


def test_server_stays_warm_when_a_caller_goes_away(fleet, make_caller):
    caller = make_caller("cordero-1")
    warm_up(fleet, caller)
    before = find_owner(fleet)[1]["setback"]
    assert caller.abandon(make_call(400), 0.3).last.ran == "gone"
    eventlet.sleep(1.0)
    _, server = find_owner(fleet)
    assert server["running"] == 0
    assert (server["warm"], server["setback"]) == (True, before)


def test_server_stays_warm_when_an_entry_router_is_killed(fleet, make_caller):
    owner = warm_up(fleet, make_caller("cordero-1"))
    other = next(name for name in fleet.routers if name != owner)
    before = find_owner(fleet)[1]["setback"]
    call = eventlet.spawn(make_caller(other).make, make_call(400))
    eventlet.sleep(0.3)
    assert find_owner(fleet)[1]["running"] == 1
    fleet.kill_router(other)
    call.wait()
    eventlet.sleep(RELEASE_S)
    _, server = find_owner(fleet)
    assert server["running"] == 0
    assert (server["warm"], server["setback"]) == (True, before)
