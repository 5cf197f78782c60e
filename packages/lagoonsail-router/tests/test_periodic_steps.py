"""Several short steps that share one task and one timer."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_router.context import RouterContext, run_periodic_steps


@pytest.fixture
def context():
    return RouterContext(SimpleNamespace(name="r1", max_connections=10), Clock())


def test_steps_that_share_a_task_name_all_run(context):
    """Guards against a step that never runs because another one has its name."""
    runs = []
    run_periodic_steps(
        context,
        [
            (5.0, lambda: runs.append("first"), "view"),
            (5.0, lambda: runs.append("second"), "view"),
        ],
    )
    with eventlet.Timeout(5.0):
        while "second" not in runs:
            eventlet.sleep(0.005)
    assert "first" in runs
