"""What changes while a connection to a server is opened."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.server_attempt import (
    CALLER_GONE,
    UNREACHABLE,
    AttemptFailedError,
    ServerAttempt,
)
from lagoonsail_router.context import RouterContext


@pytest.fixture
def send():
    """Send a request over a new connection; return how it failed and what was sent."""
    context = RouterContext(SimpleNamespace(name="r1", max_connections=100), Clock())
    call = SimpleNamespace(
        head=SimpleNamespace(request_id="1"),
        route=SimpleNamespace(is_retryable=lambda: True),
        tried_server_ids=set(),
        send_count=0,
        possible_runs=0,
    )
    state = SimpleNamespace(
        server=SimpleNamespace(record=SimpleNamespace(server_id="s1"))
    )

    def run(*, leaves_caller=False, leaves_server=False):
        has_connected = []
        connection = SimpleNamespace(
            request_count=1, close=lambda: None, send=lambda *_: pytest.fail("sent")
        )

        def acquire(*_arguments, **_options):
            has_connected.append(True)
            return connection

        run_notes = SimpleNamespace(describe=dict, finish=lambda is_success: None)
        dispatcher = SimpleNamespace(
            start_request=lambda *_: run_notes,
            is_still_usable=lambda _: not (leaves_server and has_connected),
        )
        attempt = ServerAttempt(
            context,
            None,
            dispatcher,
            SimpleNamespace(acquire=acquire),
            call,
            state,
            lambda: leaves_caller and bool(has_connected),
        )
        with pytest.raises(AttemptFailedError) as failure:
            attempt.send()
        return failure.value.kind

    return run


# GONE: a caller left while its router opened a connection, and its request was sent.
def test_request_of_a_caller_that_left_meanwhile_is_not_sent(send):
    assert send(leaves_caller=True) == CALLER_GONE


# DRAIN: a server left while the router opened a connection to it.
def test_server_that_left_meanwhile_gets_no_request(send):
    assert send(leaves_server=True) == UNREACHABLE
