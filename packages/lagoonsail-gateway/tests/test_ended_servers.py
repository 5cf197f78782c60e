"""Servers that crash while the store is unavailable, so that their records remain.

Guards against routers that go on sending requests to such servers, each of which costs
a retry, since they seem to be idle.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_gateway.admission import Refusal
from lagoonsail_gateway.dispatcher import Dispatcher
from lagoonsail_gateway.ended_servers import REFUSED_PAUSE_MS, EndedServers
from lagoonsail_gateway.fleet_counts import FleetCounts, add_counts
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.manifest import Engine, Limits, Manifest, Service
from lagoonsail_gateway.server_directory import ServerDirectory


@pytest.fixture
def harness(context, make_record, manual_clock):
    """A dispatcher with three servers."""
    directory = ServerDirectory(context.clock, 2000.0)
    for name in ("s1", "s2", "s3"):
        directory.put(make_record(name))
    routers = FleetMembers("r1")
    counts = FleetCounts(context.clock)
    dispatcher = Dispatcher(context, directory, routers, counts)
    service = Service("engine", 100, 3000.0, 0.0, Engine(8, 400_000))
    limits = Limits(1000, 1000.0, 0.0)
    dispatcher.apply_manifest(Manifest(1, [], {"engine": service}, {}, limits, True))
    return SimpleNamespace(
        dispatcher=dispatcher, directory=directory, counts=counts, clock=manual_clock
    )


def select_all(harness):
    """Return the servers that are selected for many requests."""
    selected = set()
    for _ in range(60):
        call = SimpleNamespace(
            service="engine",
            account="norte",
            prompt=None,
            tried_server_ids=set(),
            route=SimpleNamespace(objective_ms=800.0),
        )
        result = harness.dispatcher.select_server(call)
        if not isinstance(result, Refusal):
            selected.add(result.server.record.server_id)
    return selected


def test_server_gets_no_requests_after_another_one_answered_in_its_place(
    harness, make_record
):
    ended = harness.dispatcher.ended
    ended.record_replaced(make_record("s1"), "s4")
    harness.clock.ms += 60_000.0
    ended.update()
    assert select_all(harness) == {"s2", "s3"}


def test_requests_are_refused_at_once_if_all_servers_have_been_replaced(
    harness, make_record
):
    for name in ("s1", "s2", "s3"):
        harness.dispatcher.ended.record_replaced(make_record(name), f"{name}-new")
    assert select_all(harness) == set()


def test_refusing_server_is_tried_again_after_a_pause(harness, make_record):
    ended = harness.dispatcher.ended
    ended.record_refused(make_record("s1"))
    assert select_all(harness) == {"s2", "s3"}
    harness.clock.ms += REFUSED_PAUSE_MS
    ended.update()
    assert not ended.has_any()
    assert select_all(harness) == {"s1", "s2", "s3"}


def test_refusing_servers_are_tried_if_there_are_no_others(harness, make_record):
    for name in ("s1", "s2", "s3"):
        harness.dispatcher.ended.record_refused(make_record(name))
    assert select_all(harness) == {"s1", "s2", "s3"}


def make_reports(harness, context, report, routers=1):
    """Return the counts of other routers, each of which reports the same."""
    totals = {}
    for _ in range(routers):
        counts = FleetCounts(context.clock)
        ended = EndedServers(context, harness.directory, counts)
        report(ended)
        ended.update()
        add_counts(totals, counts.own())
    return totals


def apply_reports(harness, previous, newest):
    harness.counts.replace_peer(previous, newest)
    harness.dispatcher.ended.update()


def test_router_learns_from_another_that_a_server_was_replaced(
    harness, make_record, context
):
    reports = make_reports(
        harness, context, lambda ended: ended.record_replaced(make_record("s1"), "s4")
    )
    apply_reports(harness, {}, reports)
    assert select_all(harness) == {"s2", "s3"}


def test_router_avoids_a_server_that_refuses_two_others(harness, make_record, context):
    def report(ended):
        ended.record_refused(make_record("s2"))

    one = make_reports(harness, context, report)
    apply_reports(harness, {}, one)
    assert select_all(harness) == {"s1", "s2", "s3"}
    two = make_reports(harness, context, report, routers=2)
    apply_reports(harness, one, two)
    assert select_all(harness) == {"s1", "s3"}
    # Sums that fall, and come back later, are those of routers that are not heard.
    apply_reports(harness, two, {})
    assert select_all(harness) == {"s1", "s2", "s3"}


def test_refusals_leave_the_reports_after_the_pause(harness, make_record):
    ended = harness.dispatcher.ended
    ended.record_refused(make_record("s2"))
    ended.update()
    assert harness.counts.own()
    harness.clock.ms += REFUSED_PAUSE_MS
    ended.update()
    assert not harness.counts.own()


def test_server_at_a_new_address_gets_requests(harness, make_record):
    ended = harness.dispatcher.ended
    ended.record_replaced(make_record("s1"), "s4")
    harness.directory.put(make_record("s1", address="127.0.0.1:2"))
    ended.update()
    assert select_all(harness) == {"s1", "s2", "s3"}


def test_answer_that_comes_after_the_record_has_gone_leaves_nothing(
    harness, make_record
):
    """Evidence that would be kept for the life of the process."""
    harness.directory.remove("s1")
    harness.dispatcher.ended.record_replaced(make_record("s1"), "s4")
    harness.dispatcher.ended.update()
    assert not harness.dispatcher.ended.has_any()
    assert not harness.counts.own()


def test_new_incarnation_under_the_same_id_gets_requests(harness, make_record):
    ended = harness.dispatcher.ended
    ended.record_replaced(make_record("s1"), "s4")
    harness.directory.put(make_record("s1", started_at_ms=99))
    ended.update()
    assert select_all(harness) == {"s1", "s2", "s3"}
    assert not ended.has_any()


def test_ended_engines_do_not_count_in_the_median_queue(harness, make_record):
    select_all(harness)
    record = make_record("s1")
    state = harness.dispatcher.states.find("s1")
    assert harness.dispatcher.is_usable(state)
    harness.dispatcher.ended.record_replaced(record, "s4")
    assert not harness.dispatcher.is_usable(state)
