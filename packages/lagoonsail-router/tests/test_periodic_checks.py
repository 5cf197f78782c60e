"""Periodic checks of many calls on one shared timer."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_router.periodic_checks import PeriodicChecks

INTERVAL_MS = 10.0


@pytest.fixture
def checks(context):
    return PeriodicChecks(context, "calls", INTERVAL_MS)


@pytest.fixture
def wait_rounds():
    """Wait for several rounds of checks."""
    return lambda: eventlet.sleep(0.1)


def test_each_check_runs_periodically_until_it_is_removed(checks, wait_rounds):
    runs = {"a": 0, "b": 0}

    def count(name):
        runs[name] += 1

    stop = checks.add(lambda: count("a"))
    checks.add(lambda: count("b"))
    wait_rounds()
    stop()
    stop()
    runs_at_stop = dict(runs)
    assert min(runs_at_stop.values()) >= 2
    wait_rounds()
    assert runs["a"] == runs_at_stop["a"]
    assert runs["b"] > runs_at_stop["b"]
    assert len(checks) == 1


def test_exception_in_a_check_is_counted_and_does_not_stop_the_others(
    checks, wait_rounds, context
):
    runs = []
    checks.add(lambda: 1 / 0)
    checks.add(lambda: runs.append(1))
    wait_rounds()
    assert context.counters["task_errors_total", "calls"] >= 2
    assert len(runs) >= 2


def test_check_that_an_earlier_one_removed_does_not_run(checks, wait_rounds):
    runs = []
    checks.add(lambda: stop())
    stop = checks.add(lambda: runs.append(1))
    wait_rounds()
    assert runs == []


def test_checks_run_again_after_all_were_removed(checks, wait_rounds):
    checks.add(lambda: None)()
    wait_rounds()
    runs = []
    checks.add(lambda: runs.append(1))
    wait_rounds()
    assert runs
