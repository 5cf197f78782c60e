"""Server selection, and the load summed up from digests of other routers."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_gateway.admission import Refusal
from lagoonsail_gateway.dispatcher import MAX_SILENCE_MS, Dispatcher
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.manifest import Engine, Limits, Manifest, Service
from lagoonsail_gateway.peer_digests import Digest
from lagoonsail_gateway.server_directory import ServerDirectory
from lagoonsail_sharing.first_token import Prompt, SharedPart


def make_manifest(cold_requests_per_s=0.0):
    service = Service("engine", 100, 3000.0, cold_requests_per_s, Engine(8, 400_000))
    return Manifest(1, [], {"engine": service}, {}, Limits(1000, 1000.0, 0.0), True)


@pytest.fixture
def harness(context, make_record, manual_clock):
    """A dispatcher with three servers."""
    directory = ServerDirectory(context.clock, 2000.0)
    for name in ("s1", "s2", "s3"):
        directory.put(make_record(name))
    routers = FleetMembers("r1")
    routers.update({"r1": "10.0.0.1:1"})
    dispatcher = Dispatcher(context, directory, routers)
    dispatcher.apply_manifest(make_manifest())
    return SimpleNamespace(
        dispatcher=dispatcher, directory=directory, clock=manual_clock, routers=routers
    )


def make_call(prompt=None, tried_server_ids=()):
    return SimpleNamespace(
        service="engine",
        account="norte",
        prompt=prompt,
        tried_server_ids=set(tried_server_ids),
        route=SimpleNamespace(objective_ms=800.0),
    )


PROMPT = Prompt((SharedPart(7, 13_000),), 3_000)


def send(harness, call):
    state = harness.dispatcher.select_server(call)
    return state, harness.dispatcher.start_request(call, state)


def server_id(state):
    return state.server.record.server_id


def test_work_of_others_moves_a_prompt_away(harness):
    home, _ = send(harness, make_call(PROMPT))
    pending = {server_id(home): (30, 80_000)}
    harness.dispatcher.replace_digest(None, Digest("r2", 1, 1, pending))
    assert harness.dispatcher.select_server(make_call(PROMPT)) is not home
    harness.dispatcher.replace_digest(Digest("r2", 1, 1, pending), None)
    assert harness.dispatcher.select_server(make_call(PROMPT)) is home


def test_digests_add_up_over_routers_and_end_at_zero(harness):
    state, run = send(harness, make_call(PROMPT))
    digests = [Digest(f"r{n}", 1, 1, {server_id(state): (1, 100)}) for n in (2, 3)]
    for digest in digests:
        harness.dispatcher.replace_digest(None, digest)
    assert state.load.others_running == 2
    for digest in digests:
        harness.dispatcher.replace_digest(digest, None)
    run.finish(is_success=True)
    load = state.load
    assert (load.others_running, load.others_pending_tokens) == (0, 0)
    assert (load.running, load.pending_tokens) == (0, 0)


def test_digest_that_names_a_server_without_work_is_borne(harness):
    idle = Digest("r2", 1, 1, {"s1": (0, 0), "unknown": (0, 0)})
    harness.dispatcher.replace_digest(None, idle)
    harness.dispatcher.replace_digest(idle, None)


def test_much_work_is_told_at_once(harness):
    notifications = []
    harness.dispatcher.on_large_prompt(lambda: notifications.append(1))
    send(harness, make_call(Prompt((), 10)))
    assert not notifications
    send(harness, make_call(PROMPT))
    assert notifications


def test_silent_server_gets_no_more_work(harness):
    state, run = send(harness, make_call(PROMPT))
    run.record_sent()
    run.record_first_token()
    harness.clock.ms += MAX_SILENCE_MS + 1.0
    assert harness.dispatcher.select_server(make_call(PROMPT)) is not state
    run.record_data()
    assert harness.dispatcher.select_server(make_call(PROMPT)) is state


def test_server_that_was_tried_is_left_out(harness):
    first = harness.dispatcher.select_server(make_call(PROMPT))
    call = make_call(PROMPT, tried_server_ids=[server_id(first)])
    assert harness.dispatcher.select_server(call) is not first
    refusal = harness.dispatcher.select_server(
        make_call(PROMPT, tried_server_ids=["s1", "s2", "s3"])
    )
    assert isinstance(refusal, Refusal)


def test_servers_in_doubt_are_used_if_most_are(harness):
    for _ in range(3):
        state = harness.dispatcher.select_server(make_call(PROMPT))
        for _ in range(9):
            harness.dispatcher.record_result(state, False, sent_ms=0.0)
    assert not isinstance(harness.dispatcher.select_server(make_call(PROMPT)), Refusal)


def test_server_that_started_again_keeps_nothing_of_before(harness, make_record):
    before, run = send(harness, make_call(PROMPT))
    harness.directory.put(make_record(server_id(before), started_at_ms=2))
    after = harness.dispatcher.select_server(make_call(PROMPT))
    run.finish(is_success=False)
    assert after is not before
    assert (after.load.running, after.load.pending_tokens) == (0, 0)
    assert len(list(harness.dispatcher.states.all())) == 3


def test_cold_server_gets_no_more_than_the_routers_part(harness, make_record):
    for name in ("s1", "s2", "s3"):
        harness.directory.put(make_record(name, cold_left_ms=5000.0))
    harness.dispatcher.apply_manifest(make_manifest(cold_requests_per_s=2.0))
    chosen = [harness.dispatcher.select_server(make_call()) for _ in range(10)]
    sent = [state for state in chosen if not isinstance(state, Refusal)]
    assert len(sent) == 6
    assert max(sent.count(state) for state in sent) == 2


def test_flood_finds_no_engine_in_the_moment_in_which_it_falls_idle(harness):
    """Guards against a flooding account taking every engine that becomes idle.

    While two of three engines are busy, the idle third is left to other accounts.
    """
    accounts = harness.dispatcher.accounts
    pending = dict.fromkeys(("s1", "s2"), (3, 20000))
    harness.dispatcher.select_server(make_call(PROMPT))
    harness.dispatcher.replace_digest(None, Digest("r2", 1, 1, pending))
    accounts.record_demand("norte", 90_000.0)
    accounts.record_admitted("norte", 60_000.0)
    accounts.record_demand("sur", 10_000.0)
    accounts.record_admitted("sur", 10_000.0)
    harness.dispatcher.update_shares()
    assert accounts.usage_ratio("norte") > 1.0
    refusal = harness.dispatcher.select_server(make_call(PROMPT))
    assert isinstance(refusal, Refusal)
    assert refusal.is_over_share
    small = make_call(PROMPT)
    small.account = "sur"
    assert server_id(harness.dispatcher.select_server(small)) == "s3"
