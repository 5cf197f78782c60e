"""Copies of earlier refusals: what proves that a server did not run a request."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_gateway.connection_pool import ConnectionPool
from lagoonsail_gateway.request_format import RequestFormat, ResponseHead
from lagoonsail_gateway.server_attempt import (
    LOST,
    NOT_RUN_BY_SERVER,
    AttemptFailedError,
    ServerAttempt,
)
from lagoonsail_gateway.server_directory import Server
from lagoonsail_router.context import RouterContext

TIMEOUT_MS = 1500.0


def refusal(request_id: str, body: bytes = b"") -> bytes:
    lines = ["HTTP/1.1 503 Full", "Not-Run: 1", f"Content-Length: {len(body)}"]
    if request_id:
        lines.append(f"Id: {request_id}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def read_response(_status, headers):
    fields = dict(headers)
    return ResponseHead(
        fields.get("Id", ""), "Not-Run" in fields, False, is_sealed=True, load=None
    )


def write_request(head, *_others):
    return [("Id", head.request_id)]


FORMAT = RequestFormat(lambda env: None, write_request, read_response)


class StubDispatcher:
    """Accepts each request and takes no notes."""

    speeds = SimpleNamespace(record_refusal=lambda _state: None)

    def start_request(self, _call, _state):
        return SimpleNamespace(
            describe=dict,
            record_sent=lambda: None,
            record_data=lambda: None,
            record_first_token=lambda: None,
            finish=lambda is_success: None,
        )

    def is_still_usable(self, _state):
        return True

    def record_answer(self, _state, _backoff_ms):
        pass


@pytest.fixture
def ask(serve_script, make_record):
    """Send requests to one scripted server, all on one kept connection if possible."""
    clock = Clock()
    pool = ConnectionPool(clock)
    context = RouterContext(SimpleNamespace(name="r1", max_connections=100), clock)
    servers = []

    def send(request_id, script=None):
        if script is not None:
            record = make_record(address=serve_script(script).address)
            servers.append(Server(record, 0.0))
        call = SimpleNamespace(
            head=SimpleNamespace(request_id=request_id),
            route=SimpleNamespace(is_retryable=lambda: False, is_resumable=False),
            method="POST",
            target="/",
            body=b"",
            account="norte",
            deadline_ms=clock.now_ms() + TIMEOUT_MS,
            last_event_id="",
            tried_server_ids=set(),
            send_count=0,
            possible_runs=0,
        )
        state = SimpleNamespace(server=servers[-1])
        attempt = ServerAttempt(context, FORMAT, StubDispatcher(), pool, call, state)
        kind = ""
        try:
            attempt.send()
            attempt.buffer_body()
        except AttemptFailedError as failure:
            kind = failure.kind
        return SimpleNamespace(
            kind=kind, body=attempt.body, possible_runs=call.possible_runs, pool=pool
        )

    return send


def answer_each(steps, *copies):
    """Return a script: the first request gets `copies[0]`, and so on."""
    remaining = list(copies)

    def script(_head):
        yield from remaining.pop(0)

    return script


def test_refusal_with_the_id_of_the_request_is_believed(ask):
    result = ask("1", lambda _: [refusal("1")])
    assert (result.kind, result.possible_runs) == (NOT_RUN_BY_SERVER, 0)


@pytest.mark.parametrize("copied_id", ["1", ""])
def test_copy_of_an_earlier_refusal_is_not_believed(ask, steps, copied_id):
    script = answer_each(
        steps,
        [refusal("1")],
        [refusal(copied_id), steps.response("2", b"mine")],
    )
    assert ask("1", script).kind == NOT_RUN_BY_SERVER
    result = ask("2")
    assert (result.kind, result.body) == ("", b"mine")
    assert result.pool.reused == 1


def test_copy_without_an_id_and_no_other_answer_leaves_the_outcome_unknown(ask, steps):
    script = answer_each(steps, [steps.response("1", b"a")], [refusal(""), steps.CLOSE])
    assert ask("1", script).kind == ""
    result = ask("2")
    assert (result.kind, result.possible_runs) == (LOST, 1)


def test_refusal_without_an_id_leaves_the_outcome_unknown(ask):
    result = ask("1", lambda _: [refusal("")])
    assert (result.kind, result.possible_runs) == (LOST, 1)


def test_refusal_that_claims_success_leaves_the_outcome_unknown(ask):
    head = b"HTTP/1.1 200 OK\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
    result = ask("1", lambda _: [head])
    assert (result.kind, result.possible_runs) == (LOST, 1)


def test_id_that_is_used_again_gets_another_connection(ask, steps):
    script = answer_each(steps, [refusal("1")], [steps.response("1", b"mine")])
    assert ask("1", script).kind == NOT_RUN_BY_SERVER
    result = ask("1")
    assert result.body == b"mine"
    assert (result.pool.opened, result.pool.reused) == (2, 0)


def test_refusal_whose_body_never_ends_does_not_hold_the_request(ask):
    def script(_head):
        yield refusal("1", b"x" * 100)[:-90]
        while True:
            time.sleep(0.01)
            yield b"x"

    started_s = time.monotonic()
    result = ask("1", script)
    assert (result.kind, result.possible_runs) == (NOT_RUN_BY_SERVER, 0)
    assert time.monotonic() - started_s < 0.5
