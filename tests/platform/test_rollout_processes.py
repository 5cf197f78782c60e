"""Roll-outs by router processes: a leader that dies, freezes or is cut off."""

from __future__ import annotations

import itertools
import json
import os
import signal
import time
from types import SimpleNamespace

import pytest

from lagoonsail_core.green import eventlet

LIMIT_S = 12.0
ROUTERS = 3
CALLERS = 4
PAUSE_S = 0.02
STATUS_KEY = "status/rollout/plain"


@pytest.fixture
def play(make_fleet):
    """A fleet with callers at all routers, until the test ends."""
    fleet = make_fleet(ROUTERS, has_store_ports=True)
    play = SimpleNamespace(
        fleet=fleet, statuses=[], frozen=set(), is_over=False, ordered_s=0.0
    )

    def call(number):
        names = list(fleet.routers)
        for turn in itertools.count(number):
            if play.is_over:
                return
            name = names[turn % len(names)]
            if fleet.routers[name].poll() is None and name not in play.frozen:
                request_id = f"id-{number}-{turn}"
                answer = fleet.ask(name, "GET", f"/read/{request_id}", request_id)
                play.statuses.append(answer[0])
            eventlet.sleep(PAUSE_S)

    for number in range(CALLERS):
        eventlet.spawn(call, number)
    yield play
    play.is_over = True
    for name in play.frozen:
        os.kill(fleet.routers[name].pid, signal.SIGCONT)


def give_order(play):
    order = {"service": "plain", "to": "v2", "finish-by-s": LIMIT_S}
    play.fleet.store.put_json("op/rollout/plain", order)
    play.ordered_s = time.monotonic()
    for number in (1, 2):
        play.fleet.add_server(f"new-{number}", "plain", "v2")


def wait_until(play, seconds):
    """Wait until a time after the order."""
    eventlet.sleep(max(0.0, play.ordered_s + seconds - time.monotonic()))


def status(play):
    item = play.fleet.store.items.get(STATUS_KEY)
    return json.loads(item.value) if item else {}


def leader_of(play):
    store = play.fleet.store
    item = store.items[f"lagoonsail/rollout-leader/{store.generation}"]
    return item.value.decode().split()[0]


def runs_of(play, prefix):
    return sum(
        len(server.runs)
        for server_id, server in play.fleet.servers.items()
        if server_id.startswith(prefix)
    )


def test_good_version_is_completed_and_then_gets_all_requests(play):
    fleet = play.fleet
    give_order(play)
    wait_until(play, 4.0)
    assert status(play)["state"] == "running"
    assert 0 < runs_of(play, "new-") < runs_of(play, "plain-")
    wait_until(play, LIMIT_S)
    assert status(play)["state"] == "completed"
    assert status(play)["to"] == "v2"
    old = runs_of(play, "plain-")
    for server_id in ("plain-1", "plain-2"):
        fleet.servers[server_id].crash()
    eventlet.sleep(1.0)
    assert runs_of(play, "plain-") == old
    assert set(play.statuses) == {200}


def test_bad_version_is_rolled_back_and_gets_nothing_more(play):
    fleet = play.fleet
    give_order(play)
    for number in (1, 2):
        fleet.servers[f"new-{number}"].is_losing = True
    wait_until(play, LIMIT_S - 2.0)
    assert status(play)["state"] == "rolled_back"
    bad = runs_of(play, "new-")
    assert bad < 50
    eventlet.sleep(1.0)
    assert runs_of(play, "new-") == bad


# A leader that is lost in the middle must not leave a good version unfinished.
@pytest.mark.parametrize("fault", ["death", "freeze", "partition"])
def test_another_router_completes_after_the_leader_is_lost(play, fault):
    fleet = play.fleet
    give_order(play)
    wait_until(play, 2.5)
    first = leader_of(play)
    if fault == "death":
        fleet.routers[first].kill()
        fleet.routers[first].wait()
    elif fault == "freeze":
        play.frozen.add(first)
        os.kill(fleet.routers[first].pid, signal.SIGSTOP)
    else:
        fleet.store.cut_ports.add(fleet.store_ports[first])
    wait_until(play, 7.5)
    assert leader_of(play) != first
    if fault == "freeze":
        os.kill(fleet.routers[first].pid, signal.SIGCONT)
        play.frozen.clear()
    wait_until(play, LIMIT_S)
    assert status(play)["state"] == "completed"
    written = [
        (line["phase"], line["router"])
        for name in fleet.routers
        for line in fleet.read_log(name)
        if line["event"] == "rollout_written"
    ]
    # Each phase is written once, and the last ones not by the lost leader.
    assert len(written) == len({phase for phase, _ in written}) == 3
    assert {router for phase, router in written if phase != "canary"} != {first}


def test_store_outage_during_a_roll_out_only_delays_it(play):
    fleet = play.fleet
    give_order(play)
    wait_until(play, 2.5)
    fleet.store.is_down = True
    wait_until(play, 5.5)
    fleet.store.is_down = False
    wait_until(play, LIMIT_S)
    assert status(play)["state"] == "completed"
    assert set(play.statuses) == {200}
