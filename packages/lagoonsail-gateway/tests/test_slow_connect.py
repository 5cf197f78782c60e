"""What changes while a connection to a server is opened, or if none may be."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.connection_pool import NoConnectionError
from lagoonsail_gateway.server_attempt import (
    CALLER_GONE,
    NO_CONNECTION,
    UNREACHABLE,
    AttemptFailedError,
    ServerAttempt,
)
from lagoonsail_router.context import RouterContext


@pytest.fixture
def send():
    """Send a request over a new connection; return how it failed.

    With `results`, what was noted of the server's success is added to it.
    """
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

    def run(
        *,
        leaves_caller=False,
        leaves_server=False,
        is_reset=False,
        is_limit=False,
        is_short=False,
        results=None,
    ):
        has_connected = []
        connection = SimpleNamespace(
            request_count=1,
            close=lambda: None,
            is_closed_by_peer=lambda: is_reset,
            send=lambda *_: pytest.fail("sent"),
        )

        def acquire(*_arguments, **_options):
            has_connected.append(True)
            if is_short:
                raise NoConnectionError("no descriptors")
            return connection

        def finish(is_success):
            if results is not None:
                results.append(is_success)

        pool = SimpleNamespace(
            acquire=acquire, record_lost=lambda *_, is_timeout: is_limit
        )
        run_notes = SimpleNamespace(describe=dict, finish=finish)
        dispatcher = SimpleNamespace(
            start_request=lambda *_: run_notes,
            is_still_usable=lambda _: not (leaves_server and has_connected),
        )
        attempt = ServerAttempt(
            context,
            None,
            dispatcher,
            pool,
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


# SLOW SERVERS: one that took no more connections was suspended as failed.
@pytest.mark.parametrize(("is_limit", "is_success"), [(True, None), (False, False)])
def test_request_is_not_sent_on_a_connection_that_was_reset(send, is_limit, is_success):
    results = []
    assert send(is_reset=True, is_limit=is_limit, results=results) == UNREACHABLE
    assert results == [is_success]


# BLAME: a router without descriptors suspended servers that were in order.
def test_shortage_of_connections_is_no_failure_of_the_server(send):
    results = []
    assert send(is_short=True, results=results) == NO_CONNECTION
    assert results == [None]
