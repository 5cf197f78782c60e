"""Which servers enter slow start at a router, and which requests it holds off."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_gateway.digest import Digest
from lagoonsail_gateway.dispatcher import Dispatcher
from lagoonsail_gateway.fleet_counts import FleetCounts
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.manifest import Engine, Limits, Manifest, Service
from lagoonsail_gateway.server_directory import ServerDirectory
from lagoonsail_gateway.server_starts import (
    ENDED_REPORT_MS,
    FLEET_START_MS,
    KEY_PREFIX,
)
from lagoonsail_sharing.first_token import Prompt
from lagoonsail_sharing.start_evidence import SUMS_AGE_MS, StartEvidence

SLOTS = 64


@pytest.fixture
def router(context, make_record, manual_clock):
    """A router that has run for some time with two engines."""
    directory = ServerDirectory(context.clock, 2000.0)
    members = FleetMembers("r1")
    members.update({"r1": "10.0.0.1:1"})
    counts = FleetCounts(context.clock)
    dispatcher = Dispatcher(context, directory, members, counts)
    dispatcher.speeds._uneven_services.add("engine")
    service = Service("engine", 100, 3000.0, 50.0, Engine(SLOTS, 400_000))
    limits = Limits(1000, 1000.0, 0.0)
    dispatcher.apply_manifest(Manifest(1, [], {"engine": service}, {}, limits, True))
    for name in ("s1", "s2"):
        directory.put(make_record(name))
    directory.settle_removals()
    dispatcher.select_server(make_call())
    manual_clock.ms += FLEET_START_MS
    events = []
    context.timeline.subscribe(lambda event: events.append((event.name, event.fields)))
    return SimpleNamespace(
        dispatcher=dispatcher,
        starts=dispatcher.starts,
        directory=directory,
        members=members,
        counts=counts,
        clock=manual_clock,
        events=events,
        context=context,
        put=lambda name, **fields: directory.put(make_record(name, **fields)),
    )


def make_call(tried_server_ids=()):
    return SimpleNamespace(
        service="engine",
        account="norte",
        prompt=Prompt((), 1_000, output_tokens=50),
        tried_server_ids=set(tried_server_ids),
        route=SimpleNamespace(objective_ms=60_000.0),
    )


def send(router, count):
    runs = []
    for _ in range(count):
        call = make_call()
        state = router.dispatcher.select_server(call)
        runs.append(router.dispatcher.start_request(call, state))
    return runs


def sent_to(runs, name):
    return [run for run in runs if run.state.server.record.server_id == name]


def exchange(router, after_ms=100.0):
    router.clock.ms += after_ms
    router.starts.update()


def reasons(router):
    return [f["reason"] for name, f in router.events if name == "slow_start_began"]


def fill(router, names, running):
    """Let other routers have requests running at servers."""
    pending = dict.fromkeys(names, (running, 0))
    router.dispatcher.replace_digest(None, Digest("r2", 1, 1, pending))


def test_servers_of_a_system_that_starts_are_not_in_slow_start(context, make_record):
    directory = ServerDirectory(context.clock, 2000.0)
    dispatcher = Dispatcher(context, directory, FleetMembers("r1"))
    dispatcher.speeds._uneven_services.add("engine")
    directory.put(make_record("s1", cold_left_ms=100.0))
    directory.settle_removals()
    directory.put(make_record("s2"))
    assert not dispatcher.starts.has_any()


def test_server_of_a_service_of_unknown_speed_starts_without_a_limit(router):
    """Guards against answers that count as late by a speed that nobody learned."""
    router.dispatcher.speeds._uneven_services.clear()
    router.put("s3")
    assert not router.dispatcher.starts.has_any()


def test_server_that_joins_is_not_flooded(router):
    """Guards against an empty server that gets the requests of all routers."""
    fill(router, ("s1", "s2"), 10)
    router.put("s3")
    runs = send(router, 100)
    assert len(sent_to(runs, "s3")) == 8
    assert 0 < router.context.counts_of("start_held_total")["engine"] <= 92
    assert reasons(router) == ["joined"]


def test_server_that_answers_in_time_leaves_slow_start(router):
    fill(router, ("s1", "s2"), 20)
    router.put("s3")
    for _ in range(16):
        runs = send(router, 110)
        router.clock.ms += 40.0
        for run in sent_to(runs, "s3"):
            run.record_first_token()
        exchange(router)
        for run in runs:
            run.finish(is_success=True)
    assert not router.starts.has_any()
    ended = [fields for name, fields in router.events if name == "slow_start_ended"]
    assert ended[0]["server"] == "s3"
    assert ended[0]["in_time"] >= 8
    assert router.counts.total(KEY_PREFIX + "s3/1")[:2] == (0, 1)
    exchange(router, ENDED_REPORT_MS)
    assert not router.counts.total(KEY_PREFIX + "s3/1")


@pytest.mark.parametrize("trouble", ["failure", "refusal"])
def test_trouble_halves_the_limit(router, trouble):
    router.put("s3")
    fill(router, ("s1", "s2"), 40)
    exchange(router)
    run = sent_to(send(router, 8), "s3")[0]
    if trouble == "refusal":
        router.dispatcher.speeds.record_refusal(run.state)
    else:
        run.finish(is_success=False)
        sent_to(send(router, 8), "s3")[0].finish(is_success=False)
    exchange(router)
    assert router.starts.find("s3").limit == 4.0


def test_service_is_not_refused_while_all_its_servers_start(router):
    for name in ("s1", "s2"):
        router.put(name, started_at_ms=2)
    runs = send(router, 60)
    assert len(runs) == 60
    assert reasons(router) == ["restarted", "restarted"]
    assert router.context.counts_of("start_waived_total")["engine"] == 44


def test_server_that_starts_while_the_others_are_full_takes_more(router):
    fill(router, ("s1", "s2"), SLOTS)
    router.put("s3")
    exchange(router, SUMS_AGE_MS)
    runs = send(router, 40)
    assert len(sent_to(runs, "s3")) == 12


def test_cold_mark_in_the_middle_begins_anew_and_only_once(router):
    router.put("s1", cold_left_ms=4000.0)
    router.put("s1", cold_left_ms=3900.0, address="127.0.0.1:2")
    assert reasons(router) == ["cold"]
    router.starts.find("s1").limit = 40.0
    router.clock.ms += 5000.0
    router.put("s1", cold_left_ms=4000.0)
    assert router.starts.find("s1").limit == 8.0


def test_cold_bound_holds_in_slow_start(router):
    """The limit of outstanding requests never replaces the bound of the rate."""
    for name in ("s1", "s2"):
        router.put(name, cold_left_ms=9000.0)
    service = Service("engine", 100, 3000.0, 2.0, Engine(SLOTS, 400_000))
    limits = Limits(1000, 1000.0, 0.0)
    router.dispatcher.apply_manifest(
        Manifest(2, [], {"engine": service}, {}, limits, True)
    )
    states = [router.dispatcher.select_server(make_call()) for _ in range(10)]
    assert sum(hasattr(state, "server") for state in states) == 4


def test_server_that_is_trusted_again_recovers_slowly(router):
    state = router.dispatcher.states.find("s1")
    for _ in range(5):
        router.dispatcher.record_result(state, False, sent_ms=router.clock.ms)
    router.clock.ms += 1000.0
    router.dispatcher.record_result(state, True, sent_ms=router.clock.ms)
    assert reasons(router) == ["recovered"]
    assert router.starts.find("s1").limit == 8.0


def test_server_that_other_routers_go_on_to_use_recovers_at_their_load(router):
    fill(router, ("s1",), 30)
    router.starts.begin_after_suspension(router.directory.find("s1"))
    assert router.starts.find("s1").limit == 30.0


def test_router_that_restarted_joins_the_slow_start_of_the_others(router):
    router.members.update({f"r{n}": f"10.0.0.{n}:1" for n in range(1, 9)})
    key = KEY_PREFIX + "s2/1"
    few = {key: StartEvidence(starting=1, limits=20).encode()}
    many = {key: StartEvidence(starting=6, limits=120).encode()}
    router.counts.replace_peer({}, few)
    exchange(router)
    assert not router.starts.has_any()
    router.counts.replace_peer(few, many)
    exchange(router)
    assert router.starts.find("s2").limit == pytest.approx(20.0)
    ended = {key: StartEvidence(ended=7).encode()}
    router.counts.replace_peer(many, ended)
    exchange(router)
    exchange(router)
    assert not router.starts.has_any()


def test_server_that_registers_again_after_an_outage_is_not_starting(router):
    router.directory.remove("s1")
    router.put("s1")
    assert not router.starts.has_any()


def test_server_that_leaves_is_forgotten(router):
    router.put("s3")
    exchange(router)
    router.directory.remove("s3")
    exchange(router)
    assert not router.starts.has_any()
    assert not router.counts.total(KEY_PREFIX + "s3/1")


def test_started_servers_do_not_get_the_load_of_many_that_start(router):
    """Guards against limits that leave one server of six for all requests."""
    for name in ("s2", "s3", "s4", "s5", "s6"):
        router.put(name, started_at_ms=2)
    runs = send(router, 200)
    assert len(sent_to(runs, "s1")) <= 60
    assert router.context.counts_of("start_waived_total")["engine"] > 0


@pytest.mark.parametrize(("usual_ms", "late"), [(40.0, 1), (400.0, 0)])
def test_answers_are_late_only_compared_with_those_of_the_others(
    router, usual_ms, late
):
    """Guards against a service of unlearned speed whose servers never finish."""
    router.put("s3")
    router.dispatcher.select_server(make_call())
    for name, times in (("s1", 5), ("s3", 1)):
        state = router.dispatcher.states.find(name)
        for _ in range(times):
            run = router.dispatcher.start_request(make_call(), state)
            router.clock.ms += usual_ms if name == "s1" else 400.0
            run.record_first_token()
            run.finish(is_success=True)
    assert router.starts.find("s3").describe(router.clock.ms)["late"] == late
