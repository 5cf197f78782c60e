from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_router.call import read_call
from lagoonsail_router.call_queue import CallQueue
from lagoonsail_router.problems import CallProblem


def test_waiting_call_is_refused_when_its_service_ends(
    context, configuration, make_document, make_env
):
    key = "documents/cordero/registro"
    configuration.apply(key, 1, make_document())
    cancelled = []
    waiting = SimpleNamespace(event=eventlet.event.Event())
    desk = SimpleNamespace(ask=lambda *_: waiting, cancel=cancelled.append)
    queue = CallQueue(context, configuration, desk, lambda: False)
    call = read_call(make_env(), configuration, context.clock.now_ms())
    eventlet.spawn_after(0.05, configuration.apply, key, 2, "")
    with eventlet.Timeout(5.0), pytest.raises(CallProblem) as caught:
        queue.wait(call, lambda: False)
    problem = caught.value
    assert (problem.status, problem.kind) == (404, "unknown_service")
    assert problem.ran == "no"
    assert cancelled == [waiting]
    assert not queue.waiting
