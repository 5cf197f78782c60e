"""Reported load, and the choice of plain servers under bursts and stale reports."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from lagoonsail_sharing.server_load import (
    MAX_REPORTED_REQUESTS,
    REPORT_EXPIRY_MS,
    LoadReport,
    PlainLoad,
    ReportedLoad,
    choose_plain,
)


@pytest.fixture
def count_choices():
    """Return a function that counts the choices of many routers from the same view."""
    rng = random.Random(3)
    return lambda loads: Counter(choose_plain(loads, rng.random) for _ in range(1000))


def test_burst_goes_to_the_server_whose_slots_are_free(count_choices):
    """A burst of another kind of request queues at a server that few routers use."""
    reported = ReportedLoad()
    reported.record(LoadReport(6, 9, 6), own_running=1, now_ms=0.0)
    busy = reported.requests_there(own_running=1, others_running=0, now_ms=50.0)
    loads = [PlainLoad(busy, 0, 6, 50.0), PlainLoad(3.0, 0, 6, 50.0)]
    assert count_choices(loads) == {1: 1000}


def test_burst_is_divided_by_the_speeds_of_the_servers(count_choices):
    requests = [0, 0]
    answer_ms = (20.0, 80.0)
    for _ in range(40):
        loads = [PlainLoad(n, 0, 6, answer_ms[i]) for i, n in enumerate(requests)]
        requests[count_choices(loads).most_common(1)[0][0]] += 1
    assert requests[0] > 2 * requests[1] > 0


def test_report_is_overtaken_by_what_was_sent_since_and_expires():
    reported = ReportedLoad()
    reported.record(LoadReport(2, 0, 6), own_running=1, now_ms=0.0)
    assert reported.requests_there(5, 0, now_ms=0.0) == 6.0
    assert reported.requests_there(5, 1, now_ms=REPORT_EXPIRY_MS) == 6.0
    reported.record(LoadReport(12, 0, 6), own_running=1, now_ms=1000.0)
    halfway = reported.requests_there(1, 1, now_ms=1000.0 + REPORT_EXPIRY_MS / 2)
    assert 2.0 < halfway < 12.0


def test_false_report_is_bounded():
    reported = ReportedLoad()
    reported.record(LoadReport(10**9, 10**9, 10**9), own_running=0, now_ms=0.0)
    assert reported.slots == MAX_REPORTED_REQUESTS
    assert reported.requests_there(0, 0, now_ms=0.0) == MAX_REPORTED_REQUESTS
    assert reported.requests_there(0, 4, now_ms=REPORT_EXPIRY_MS) == 4.0


def test_routers_with_the_same_stale_view_do_not_all_choose_the_same_server(
    count_choices,
):
    loads = [PlainLoad(n, n, 6, 50.0) for n in (4, 5, 5)]
    counts = count_choices(loads)
    assert max(counts.values()) < 700
    assert counts[0] == max(counts.values())
    loads[1] = PlainLoad(30.0, 30, 6, 50.0)
    assert count_choices(loads)[1] == 0


def test_router_that_knows_all_requests_chooses_the_least_loaded(count_choices):
    """A single router, whose figures have no error, is served as before."""
    loads = [PlainLoad(n, 0, 6, 50.0) for n in (4, 3, 5)]
    assert count_choices(loads) == {1: 1000}
    equal = count_choices([PlainLoad(3, 0, 6, 50.0)] * 3)
    assert min(equal.values()) > 250


def test_server_is_not_left_out_for_a_small_difference_of_speed(count_choices):
    """Guards against a server that gets nothing, so that it is never measured again."""
    loads = [PlainLoad(0, 0, 6, 4.0), PlainLoad(0, 0, 6, 6.5)]
    assert min(count_choices(loads).values()) > 400


def test_own_failure_domain_is_preferred_among_equal_servers(count_choices):
    loads = [PlainLoad(1, 0, 6, 50.0, is_near=False), PlainLoad(1, 0, 6, 50.0)]
    assert count_choices(loads) == {1: 1000}
    loads[1] = PlainLoad(4, 0, 6, 50.0)
    assert count_choices(loads) == {0: 1000}
