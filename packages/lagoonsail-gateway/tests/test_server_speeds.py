"""Speeds of servers, learned by a router from its answers and from digests."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_gateway.dispatcher import MAX_SILENCE_MS, Dispatcher
from lagoonsail_gateway.fleet_counts import FleetCounts
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.manifest import Engine, Limits, Manifest, Service
from lagoonsail_gateway.server_directory import ServerDirectory
from lagoonsail_gateway.server_speeds import ESTIMATE_INTERVAL_MS, KEY_PREFIX
from lagoonsail_sharing.first_token import Prompt
from lagoonsail_sharing.server_load import LoadReport

PROMPT = Prompt((), 5_000, output_tokens=200)
ENGINES = ("s1", "s2", "s3")


@pytest.fixture
def router(context, make_record, manual_clock):
    """A dispatcher with three engines and two plain servers."""
    directory = ServerDirectory(context.clock, 2000.0)
    for name in ENGINES:
        directory.put(make_record(name))
    for name in ("p1", "p2"):
        directory.put(make_record(name, service="plain"))
    members = FleetMembers("r1")
    members.update({"r1": "10.0.0.1:1"})
    counts = FleetCounts(context.clock)
    dispatcher = Dispatcher(context, directory, members, counts)
    services = {
        "engine": Service("engine", 100, 3000.0, 0.0, Engine(8, 400_000)),
        "plain": Service("plain", 100, 3000.0, 0.0, None),
    }
    limits = Limits(1000, 1000.0, 0.0)
    dispatcher.apply_manifest(Manifest(1, [], services, {}, limits, True))
    for service in services:
        dispatcher.select_server(make_call(service))
    # As after a report of a slowdown, see `test_slowdown_of_a_host_starts_learning`.
    dispatcher.speeds._uneven_services.update(services)
    return SimpleNamespace(
        dispatcher=dispatcher,
        directory=directory,
        counts=counts,
        clock=manual_clock,
        find=dispatcher.states.find,
    )


def make_call(service="engine", prompt=PROMPT):
    return SimpleNamespace(
        service=service,
        account="norte",
        prompt=None if service == "plain" else prompt,
        tried_server_ids=set(),
        route=SimpleNamespace(objective_ms=800.0),
    )


def answer(router, name, first_ms, service="engine", is_success=True):
    """Let a server answer one request after a time."""
    run = router.dispatcher.start_request(make_call(service), router.find(name))
    run.record_sent()
    end_ms = router.clock.ms + first_ms
    while router.clock.ms < end_ms:
        router.clock.ms += min(20.0, end_ms - router.clock.ms)
        router.dispatcher.update_speeds()
    if is_success:
        run.record_first_token()
    run.finish(is_success=is_success)


def update(router):
    router.clock.ms += ESTIMATE_INTERVAL_MS
    router.dispatcher.update_speeds()


def test_slow_engine_is_learned_from_its_answers(router):
    for _ in range(20):
        for name, first_ms in zip(ENGINES, (300.0, 100.0, 102.0), strict=True):
            answer(router, name, first_ms)
    update(router)
    slow, *others = [router.find(name).load.tokens_per_ms for name in ENGINES]
    assert 5_000 / 300 < slow < 25.0
    assert [other / slow for other in others] == pytest.approx([3.0, 3.0], rel=0.3)
    assert (slow + sum(others)) / 3 == pytest.approx(50.0, rel=0.2)


def test_digests_of_other_routers_suffice_to_know_a_slow_engine(router):
    """Guards against a router that sees too few answers to learn anything."""
    for _ in range(8):
        for name, first_ms in zip(ENGINES, (300.0, 100.0, 100.0), strict=True):
            answer(router, name, first_ms)
    router.dispatcher.update_speeds()
    reported = router.counts.own()
    for name in ENGINES:
        router.counts.remove(KEY_PREFIX + name)
        router.find(name).speed.own.__init__(router.clock.ms)
    router.counts.replace_peer({}, reported)
    update(router)
    assert router.find("s1").load.tokens_per_ms < 30.0


def test_speeds_of_alike_servers_are_not_learned(router):
    """Guards against estimates that add noise where no host is shared."""
    router.dispatcher.speeds._uneven_services.clear()
    for _ in range(8):
        for name, first_ms in zip(ENGINES, (300.0, 100.0, 100.0), strict=True):
            answer(router, name, first_ms)
        update(router)
    assert {router.find(name).load.tokens_per_ms for name in ENGINES} == {50.0}


def test_slowdown_of_a_host_starts_learning(router):
    speeds = router.dispatcher.speeds
    speeds._uneven_services.clear()
    speeds.record_report(router.find("s2"), LoadReport(0, 0, 8, slowdown=1.0))
    update(router)
    assert not speeds._uneven_services
    speeds.record_report(router.find("s2"), LoadReport(0, 0, 8, slowdown=1.5))
    update(router)
    assert speeds._uneven_services == {"engine"}


def test_errors_and_short_prompts_tell_nothing_of_the_speed(router):
    """A server whose answers are failures is not taken for a fast one."""
    for _ in range(20):
        answer(router, "s1", 1.0, is_success=False)
        run = router.dispatcher.start_request(
            make_call(prompt=Prompt((), 20)), router.find("s1")
        )
        run.record_first_token()
        run.finish(is_success=True)
        update(router)
    assert router.find("s1").load.tokens_per_ms == 50.0


def test_silence_of_a_slow_engine_is_borne_for_longer(router):
    """Guards against a slow server that is taken for a crashed one."""
    state = router.find("s1")
    big = make_call(prompt=Prompt((), 40_000))
    router.dispatcher.start_request(big, state).record_sent()
    router.clock.ms += MAX_SILENCE_MS + 1.5 * 800.0 + 1.0
    assert router.dispatcher._is_silent(state, router.clock.ms)
    state.load.tokens_per_ms = 25.0
    assert not router.dispatcher._is_silent(state, router.clock.ms)


def test_reported_slowdown_counts_at_once_and_expires(router):
    state = router.find("s2")
    router.dispatcher.speeds.record_report(state, LoadReport(1, 0, 8, 4.0))
    assert state.load.tokens_per_ms < 26.0
    router.clock.ms += 1_000.0
    update(router)
    assert state.load.tokens_per_ms == pytest.approx(50.0, rel=0.1)


def test_refusals_are_known_to_all_routers_and_forgotten(router):
    """Full queue or memory at an engine, which other routers go on to choose."""
    state = router.find("s1")
    router.dispatcher.speeds.record_refusal(state)
    reported = router.counts.own()
    assert state.load.refusals == 1.0
    router.clock.ms += 2_000.0
    update(router)
    assert state.load.refusals == 0.0
    router.counts.replace_peer({}, reported)
    update(router)
    assert state.load.refusals == 1.0


def test_memory_in_use_is_known_from_all_routers(router):
    state = router.find("s3")
    run = router.dispatcher.start_request(make_call(), state)
    assert state.load.held_tokens == 5_200
    update(router)
    reported = router.counts.own()
    run.finish(is_success=True)
    router.counts.replace_peer({}, reported)
    update(router)
    assert state.load.held_tokens == 0
    assert state.load.others_held_tokens == pytest.approx(5_200, abs=64)


def test_server_that_started_again_begins_at_the_speed_of_its_service(
    router, make_record
):
    for _ in range(20):
        for name, first_ms in zip(ENGINES, (400.0, 100.0, 100.0), strict=True):
            answer(router, name, first_ms)
    update(router)
    assert router.find("s1").load.tokens_per_ms < 30.0
    router.directory.put(make_record("s1", started_at_ms=2))
    router.dispatcher.select_server(make_call())
    usual = router.find("s2").load.tokens_per_ms
    assert router.find("s1").load.tokens_per_ms == pytest.approx(usual, rel=0.2)


def test_plain_requests_go_to_the_faster_server_until_it_is_busy(router):
    for _ in range(60):
        answer(router, "p1", 120.0, "plain")
        answer(router, "p2", 30.0, "plain")
    update(router)
    for name in ("p1", "p2"):
        router.dispatcher.speeds.record_report(
            router.find(name), LoadReport(1, 0, slots=4)
        )
    chosen = []
    for _ in range(30):
        state = router.dispatcher.select_server(make_call("plain"))
        router.dispatcher.start_request(make_call("plain"), state)
        chosen.append(state.server.record.server_id)
    assert chosen[:4] == ["p2"] * 4
    assert 3 <= chosen.count("p1") <= 12
