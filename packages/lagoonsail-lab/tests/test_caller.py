from __future__ import annotations

import hashlib
import json

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.answers import check_answer, expected_text
from lagoonsail_lab.call_record import Attempt
from lagoonsail_lab.caller import (
    Balancer,
    Caller,
    call_at_rate,
    call_in_loop,
    make_plain,
    make_prompt,
)
from lagoonsail_standins.serving import (
    Answer,
    BrokenAnswerError,
    answer_json,
    listen,
    make_app,
    serve_listener,
)

SETUP_TIMEOUT_MS = 5000.0
"""Time within which the balancer sees that a router is not ready."""


class ScriptedRouter:
    """Gives prepared answers and has a settable readiness."""

    def __init__(self) -> None:
        self.answers = []
        self.requests = []
        self.is_ready = True
        listener = listen(0)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        app = make_app({("GET", "/readyz"): self.show_ready}, self.answer)
        self.thread = eventlet.spawn(serve_listener, listener, app)

    def show_ready(self, _request):
        return Answer(200 if self.is_ready else 503)

    def answer(self, request):
        self.requests.append(request)
        answer = self.answers.pop(0)
        return answer(request) if callable(answer) else answer


@pytest.fixture
def routers():
    pair = {"a": ScriptedRouter(), "b": ScriptedRouter()}
    yield pair
    for router in pair.values():
        router.thread.kill()


@pytest.fixture
def balancer(routers):
    balancer = Balancer({n: (r.address, r.address) for n, r in routers.items()})
    yield balancer
    balancer.stop()


@pytest.fixture
def only_a(routers, balancer):
    routers["b"].is_ready = False
    clock = Clock()
    deadline_ms = clock.now_ms() + SETUP_TIMEOUT_MS
    while balancer.ready != {"a"} and clock.now_ms() < deadline_ms:
        eventlet.sleep(0.05)
    assert balancer.ready == {"a"}
    return routers["a"]


def prompt(is_stream=False):
    return make_prompt("cordero", "asistente", "prensa", 3, is_stream, "hello")


def refuse(ran, status=503, retry_after="0"):
    problem = {"title": "no", "ran": ran}
    return answer_json(problem, status, {"Retry-After": retry_after})


def complete(request):
    text = expected_text(request.json()["prompt"])
    return answer_json({"choices": [{"text": text}]})


def stream_of(chunks, breaks=False):
    def chunks_then_break():
        yield from chunks
        if breaks:
            raise BrokenAnswerError

    return Answer(200, chunks_then_break(), {"Content-Type": "text/event-stream"})


def events(text, last="data: [DONE]\n\n"):
    head = [
        f"data: {json.dumps({'choices': [{'text': token + ' '}]})}\n\n"
        for token in text.split()
    ]
    return [chunk.encode() for chunk in [*head, last]]


def test_call_is_sent_with_its_account_key_and_is_complete(balancer, only_a):
    only_a.answers = [complete]
    record = Caller(balancer).make(prompt())
    assert record.is_whole
    assert record.last.cost == 3.0
    assert 0 < record.first_ms <= record.latency_ms
    (request,) = only_a.requests
    assert request.path == "/cordero/asistente/v1/completions"
    assert request.headers["authorization"] == "Bearer cordero-asistente-prensa-key"
    assert request.headers["x-request-id"] == record.last.request_id
    assert request.headers["x-cost-hint"] == "3"


def test_only_calls_that_did_not_run_are_retried(balancer, only_a):
    caller = Caller(balancer)
    only_a.answers = [refuse("no"), complete]
    record = caller.make(prompt())
    assert [attempt.ran for attempt in record.attempts] == ["no", ""]
    ids = [request.headers["x-request-id"] for request in only_a.requests]
    assert len(set(ids)) == 2
    for answer in (refuse("unknown"), refuse("unknown", 502), refuse("no", 404)):
        only_a.answers = [answer, complete]
        record = caller.make(prompt())
        assert len(record.attempts) == 1
        assert not record.is_whole
    error = {"error": "without status of execution"}
    of_server = answer_json(error, 503, {"X-Server-Incarnation": "i1"})
    only_a.answers = [answer_json(error, 500), of_server]
    assert caller.make(prompt()).last.ran == "lost"
    assert caller.make(prompt()).last.ran == "unknown"


def test_retry_after_is_honoured_up_to_a_limit(balancer, only_a):
    only_a.answers = [
        refuse("no", retry_after="0.2"),
        refuse("no", 429, "60"),
        complete,
    ]
    record = Caller(balancer).make(prompt())
    assert record.is_whole
    assert 700.0 <= record.latency_ms < 5000.0


def test_call_goes_to_another_router_when_one_cannot_be_reached(routers, balancer):
    balancer.stop()
    routers["a"].thread.kill()
    eventlet.sleep(0)
    routers["b"].answers = [complete] * 5
    balancer.ready = {"a", "b"}
    caller = Caller(balancer, keep_alive=False)
    for _ in range(5):
        assert caller.make(prompt()).last.router == "b"


def test_streams_must_end_with_done_event_and_last_chunk(balancer, only_a):
    caller = Caller(balancer)
    text = expected_text(json.loads(prompt().body)["prompt"])
    error = 'event: error\ndata: {"title": "gone", "ran": "unknown"}\n\n'
    only_a.answers = [
        stream_of(events(text)),
        stream_of(events(text, last="")),
        stream_of(events(text[:9], last=""), breaks=True),
        stream_of(events(text[:9], last=error), breaks=True),
        stream_of(events("another-0 another-1")),
    ]
    calls = [caller.make(prompt(is_stream=True)) for _ in range(5)]
    assert [call.is_whole for call in calls] == [True] + [False] * 4
    assert [c.last.ran for c in calls] == ["", "", "unknown", "unknown", ""]
    assert caller.whole() == calls[:1]


def test_plain_answer_must_be_that_of_the_call():
    call = make_plain("cordero", "registro", "prensa", 5, "/bibs", False)
    assert call.idempotency_key

    def check(**changes):
        attempt = Attempt("q1", "r1", status=200)
        good = {"echo": echo, "request_id": "q1", "path": "/bibs"}
        check_answer(call, attempt, json.dumps({**good, **changes}).encode(), {})
        return attempt.reason

    echo = hashlib.sha256(call.body).hexdigest()
    assert check() == ""
    assert check(echo="0" * 64) == "echo of another body"
    assert check(request_id="q2") == "answer to another request"
    assert check(path="/other") == "answer to another path"


def test_loops_end_at_their_deadline(balancer, only_a):
    only_a.answers = [complete] * 10000
    clock = Clock()
    caller = Caller(balancer)
    call_in_loop(caller, prompt, clock.now_ms() + 100.0, lambda: 0.01)
    in_loop = len(caller.records)
    assert 1 <= in_loop <= 11
    call_at_rate(caller, prompt, clock.now_ms() + 200.0, 100.0, seed=1)
    assert len(caller.records) > in_loop
    assert len(caller.whole()) == len(caller.records)
