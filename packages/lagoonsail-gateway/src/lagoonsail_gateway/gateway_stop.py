"""Planned stop of a router on the platform: no caller loses an answer by it.

The load balancer goes on sending callers for some time after the router is no longer
ready, and running requests may take longer than the platform waits.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_router.context import LEAVING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.green import green_socket
    from lagoonsail_gateway.call_service import CallService
    from lagoonsail_router.context import RouterContext

BALANCER_REACTION_MS = 3000.0
"""Time until the load balancer detects that a router is no longer ready."""
STOP_MARGIN_MS = 700.0
"""Time between the last moment of a stop at which requests run, and the moment at which
the process would be killed."""
LAST_ANSWERS_MS = 400.0
"""Time within that in which callers of requests that still run get an answer."""
STOP_CHECK_INTERVAL_S = 0.02
"""Polling interval while waiting during a stop."""


def stop_as_planned(
    context: RouterContext,
    calls: CallService,
    callers_port: green_socket.socket,
    stop_timeout_ms: float,
) -> None:
    """Close the port for callers after a delay, and let their requests finish.

    Args:
        context: The router's shared state, which is not ready from now on.
        calls: Serves the callers.
        callers_port: The listening socket.
        stop_timeout_ms: Time after which the platform kills the process.
    """

    def wait_while(condition: Callable[[], object], deadline_ms: float) -> None:
        while condition() and context.clock.now_ms() < deadline_ms:
            eventlet.sleep(STOP_CHECK_INTERVAL_S)

    started_ms = calls.stop_started_ms = context.clock.now_ms()
    deadline_ms = started_ms + stop_timeout_ms - STOP_MARGIN_MS
    context.state = LEAVING
    context.timeline.record("leaving", running=context.callers.answering)
    # Until the load balancer reacts, callers still connect to this router.
    accept_until_ms = started_ms + BALANCER_REACTION_MS
    wait_while(lambda: True, min(accept_until_ms, deadline_ms))
    callers_port.close()
    wait_while(lambda: context.callers.answering, deadline_ms)
    unfinished = context.callers.answering
    calls.answer_running()
    wait_while(lambda: context.callers.answering, deadline_ms + LAST_ANSWERS_MS)
    context.timeline.record("stopped", unfinished=unfinished)
