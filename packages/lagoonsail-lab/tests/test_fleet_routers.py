from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_lab.caller import Balancer, Caller, make_plain, make_prompt
from lagoonsail_lab.checker import check_all
from lagoonsail_lab.deployments import make_cordero, make_kalapati
from lagoonsail_lab.fleet import Fleet


@pytest.fixture(scope="module")
def fleet():
    names = ["cordero-1", "cordero-2", "kalapati-1"]
    deployments = [make_cordero(2, 1, 1), make_kalapati(1, 1, 1)]
    with Fleet(deployments, relayed_store=names[:1], relayed_peers=names[1:2]) as fleet:
        assert list(fleet.routers) == names
        yield fleet


def test_calls_go_through_routers_and_pass_the_checker(fleet):
    addresses = {n: (r.callers, r.admin) for n, r in fleet.routers.items()}
    balancer = Balancer(addresses)
    caller = Caller(balancer)
    try:
        for number in range(4):
            is_stream = number % 2 == 0
            call = make_prompt(
                "cordero", "asistente", "prensa", 3, is_stream, str(number)
            )
            assert caller.make(call).is_whole
            call = make_plain("kalapati", "avisos", "club-norte", 1, "/search", True)
            assert caller.make(call).is_whole
    finally:
        balancer.stop()
    assert check_all(caller.records, fleet.records()) == []


def test_frozen_router_is_not_ready_until_it_resumes(fleet):
    fleet.freeze_router("cordero-2")
    assert not fleet.is_ready("cordero-2")
    fleet.thaw_router("cordero-2")
    fleet.wait_ready(["cordero-2"])


def test_restarted_router_has_a_new_incarnation(fleet):
    before = fleet.status("cordero-2")["incarnation"]
    fleet.kill_router("cordero-2")
    assert isinstance(fleet.status("cordero-2"), Unavailable)
    fleet.restart_router("cordero-2")
    assert fleet.status("cordero-2")["incarnation"] != before


def test_router_behind_relays_is_reached_through_them(fleet):
    clock = Clock()
    until_ms = clock.now_ms() + 5000.0
    for name in ("store-cordero-1", "peers-cordero-2"):
        control = fleet.relays[name].control
        while not fleet.fetch("GET", control, "/_record").get("accepted"):
            assert clock.now_ms() < until_ms, name
            eventlet.sleep(0.1)


def test_router_stops_as_planned(fleet):
    assert fleet.stop_router("kalapati-1") == 0
    assert not fleet.is_ready("kalapati-1")
