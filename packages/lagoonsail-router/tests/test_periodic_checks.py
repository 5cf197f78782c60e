"""Checks of many calls from one timer."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_router.periodic_checks import PeriodicChecks

INTERVAL_MS = 10.0


@pytest.fixture
def checks(context):
    return PeriodicChecks(context, "calls", INTERVAL_MS)


@pytest.fixture
def rounds():
    """Lets some rounds of checks pass."""
    return lambda: eventlet.sleep(0.1)


def test_each_check_runs_again_and_again_until_it_is_ended(checks, rounds):
    runs = {"a": 0, "b": 0}

    def count(name):
        runs[name] += 1

    stop = checks.add(lambda: count("a"))
    checks.add(lambda: count("b"))
    rounds()
    stop()
    stop()
    ended = dict(runs)
    assert min(ended.values()) >= 2
    rounds()
    assert runs["a"] == ended["a"]
    assert runs["b"] > ended["b"]
    assert len(checks) == 1


def test_a_check_that_fails_is_counted_and_holds_up_no_other(checks, rounds, context):
    runs = []
    checks.add(lambda: 1 / 0)
    checks.add(lambda: runs.append(1))
    rounds()
    assert context.counters["task_errors_total", "calls"] >= 2
    assert len(runs) >= 2


def test_a_check_that_an_earlier_one_ended_does_not_run(checks, rounds):
    runs = []
    checks.add(lambda: stop())
    stop = checks.add(lambda: runs.append(1))
    rounds()
    assert runs == []


def test_checks_begin_anew_after_all_have_ended(checks, rounds):
    checks.add(lambda: None)()
    rounds()
    runs = []
    checks.add(lambda: runs.append(1))
    rounds()
    assert runs
