from __future__ import annotations

import json

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.messages import SlotGrant
from lagoonsail_router import backend
from lagoonsail_router.backend import (
    AnswerTimeoutError,
    Attempt,
    FencedError,
    IncompleteAnswerError,
    NotSentError,
)
from lagoonsail_router.call import read_call

CLOCK = Clock()
TIMEOUT_MS = 1000.0
EVENT_BYTES = 256 * 1024
EVENTS = 200
SOCKET_BUFFERS_BYTES = 16 * 1024 * 1024
DONE = b"data: [DONE]\n\n"
GRANT = SlotGrant(1, 2, "cordero/registro@sierra-central", 3, "s1", 0.0)


@pytest.fixture
def serve():
    """Plays one script per connection; a step is bytes to send or a function."""
    listeners = []
    threads = []

    def start(*scripts):
        listener = eventlet.listen(("127.0.0.1", 0))
        listeners.append(listener)
        requests = []

        def answer():
            for script in scripts:
                connection, _ = listener.accept()
                threads.append(eventlet.spawn(play, connection, script))

        def play(connection, script):
            received = b""
            while b"\r\n\r\n" not in received:
                received += connection.recv(65536)
            requests.append(received)
            for step in script:
                if callable(step):
                    step()
                    continue
                try:
                    connection.sendall(step)
                except OSError:
                    break
            connection.close()

        threads.append(eventlet.spawn(answer))
        return f"127.0.0.1:{listener.getsockname()[1]}", requests

    yield start
    for thread in threads:
        thread.kill()
    for listener in listeners:
        listener.close()


@pytest.fixture
def make_call(configuration, make_document, make_env):
    def make(kind="plain", fencing="yes", **headers):
        document = make_document(kind=kind).replace(
            "slots = 2", f"slots = 2\nchecks_fencing = {fencing}"
        )
        configuration.apply("documents/cordero/registro", 1, document)
        body = json.dumps({"prompt": "a", "stream": kind == "engine"}).encode()
        path = "/cordero/registro/v1/completions"
        env = make_env(path, "POST", body, HTTP_X_REQUEST_ID="r-1", **headers)
        return read_call(env, configuration, 0.0)

    return make


@pytest.fixture
def make_attempt(make_call):
    def make(address, call=None, **options):
        attempt = Attempt(call or make_call(**options), GRANT, address, CLOCK)
        attempt.connect()
        return attempt

    return make


def pause(duration_s):
    return lambda: eventlet.sleep(duration_s)


def head(*headers, status="200 OK"):
    lines = [f"HTTP/1.1 {status}", "X-Server-Incarnation: i-1", *headers]
    return "\r\n".join([*lines, "", ""]).encode()


def whole(body, *headers, status="200 OK"):
    return head(f"Content-Length: {len(body)}", *headers, status=status) + body


def token(index):
    payload = {"id": "c-1", "choices": [{"text": f"t{index} "}]}
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


def usage(tokens):
    payload = {"id": "c-1", "choices": [], "usage": {"completion_tokens": tokens}}
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


STREAM = head("Transfer-Encoding: chunked", "Content-Type: text/event-stream")


def test_whole_answer_is_measured_and_passed_back(serve, make_attempt):
    address, requests = serve([whole(b"abc", "X-More: m", status="201 Created")])
    attempt = make_attempt(address, HTTP_IDEMPOTENCY_KEY="k-1")
    answer = attempt.send()
    attempt.close()
    assert (answer.status, answer.body) == (201, b"abc")
    assert ("X-More", "m") in answer.headers
    assert "content-length" not in {name.lower() for name, _ in answer.headers}
    assert attempt.measurement.server_incarnation == "i-1"
    assert attempt.measurement.cost == attempt.measurement.duration_ms > 0
    sent = requests[0].decode().lower()
    assert sent.startswith("post /v1/completions http/1.1\r\n")
    for line in (
        "x-request-id: r-1",
        "x-lagoonsail-epoch: 3",
        "x-lagoonsail-shard: cordero/registro@sierra-central",
        "idempotency-key: k-1",
        "connection: close",
    ):
        assert f"\r\n{line}\r\n" in sent
    assert "authorization" not in sent


def test_unreachable_server_got_nothing(make_attempt):
    listener = eventlet.listen(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    with pytest.raises(NotSentError):
        make_attempt(address)


@pytest.mark.parametrize(
    "script",
    [
        [],
        [b"garbage\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 70_000 + b"\r\n\r\n"],
        [head("Content-Length: 10") + b"abc"],
        [head("Content-Length: abc") + b"abc"],
        [head("Content-Length: -3") + b"abc"],
        [head("Content-Length: 3", "Content-Length: 4") + b"abcd"],
        [head("Transfer-Encoding: chunked") + b"5\r\nabcde\r\n"],
        [head("Transfer-Encoding: chunked") + b"zz\r\nabcde\r\n"],
        [head() + b"how long is it?"],
    ],
    ids=[
        "nothing",
        "garbage",
        "endless header",
        "truncated",
        "length no number",
        "negative length",
        "two lengths",
        "no last chunk",
        "malformed chunk",
        "no length",
    ],
)
def test_answer_that_may_not_be_whole_is_broken(serve, make_attempt, script):
    address, _ = serve(script)
    attempt = make_attempt(address)
    with pytest.raises(IncompleteAnswerError) as caught:
        attempt.send()
    assert not isinstance(caught.value, AnswerTimeoutError)
    attempt.close()


def test_bytes_beyond_the_length_are_not_passed_on(serve, make_attempt):
    address, _ = serve([head("Content-Length: 3") + b"abcdef"])
    assert make_attempt(address).send().body == b"abc"


@pytest.mark.parametrize(
    "script", [[], [head("Content-Length: 9") + b"abc"]], ids=["head", "body"]
)
def test_silent_server_is_overdue(serve, make_attempt, script):
    address, _ = serve([*script, pause(5.0)])
    start_ms = CLOCK.now_ms()
    attempt = make_attempt(address)
    with pytest.raises(AnswerTimeoutError):
        attempt.send()
    attempt.close()
    assert CLOCK.now_ms() - start_ms >= TIMEOUT_MS * 0.99


@pytest.mark.parametrize("begin", [b"", head("Content-Length: 100")])
def test_server_that_drips_its_answer_is_overdue(serve, make_attempt, begin):
    drips = [pause(0.3), b"x"] * 10
    address, _ = serve([begin, *drips])
    start_ms = CLOCK.now_ms()
    with pytest.raises(AnswerTimeoutError):
        make_attempt(address).send()
    assert CLOCK.now_ms() - start_ms < 2 * TIMEOUT_MS


def test_late_answer_does_not_reach_the_next_call(serve, make_attempt):
    late = [pause(1.2), whole(b"late")]
    address, requests = serve(late, [pause(0.4), whole(b"own")])
    first = make_attempt(address)
    with pytest.raises(AnswerTimeoutError):
        first.send()
    first.close()
    assert make_attempt(address).send().body == b"own"
    assert len(requests) == 2


def test_answer_above_the_limit_is_broken(serve, make_attempt, monkeypatch):
    monkeypatch.setattr(backend, "MAX_ANSWER_BYTES", 100)
    address, _ = serve([whole(b"x" * 100)], [whole(b"x" * 101)])
    assert len(make_attempt(address).send().body) == 100
    with pytest.raises(IncompleteAnswerError):
        make_attempt(address).send()


def test_refused_epoch_is_known_not_to_have_run(serve, make_attempt):
    refused = whole(b"", status="412 Precondition Failed")
    address, _ = serve([refused], [refused])
    with pytest.raises(FencedError):
        make_attempt(address).send()


def test_412_of_a_server_without_fencing_is_its_answer(serve, make_attempt):
    address, _ = serve([whole(b"", status="412 Precondition Failed")])
    assert make_attempt(address, fencing="no").send().status == 412


def test_stream_comes_in_whole_events(serve, make_attempt):
    data = token(0) + token(1)
    script = [
        STREAM + chunk(data[:9]),
        pause(0.02),
        chunk(data[9:]),
        pause(0.02),
        chunk(usage(2) + DONE) + b"0\r\n\r\n",
    ]
    address, _ = serve(script)
    attempt = make_attempt(address, kind="engine")
    assert attempt.send().status == 200
    parts = list(attempt.events())
    assert parts == [data, usage(2) + DONE]
    assert attempt.measurement.cost == 2.0
    assert attempt.measurement.duration_ms > 0


def test_event_is_passed_on_before_the_next_one_comes(serve, make_attempt):
    released = eventlet.event.Event()
    script = [
        STREAM + chunk(token(0)),
        released.wait,
        chunk(token(1) + DONE),
    ]
    address, _ = serve(script)
    attempt = make_attempt(address, kind="engine")
    attempt.send()
    events = attempt.events()
    assert next(events) == token(0)
    released.send(None)
    assert list(events) == [token(1) + DONE]


@pytest.mark.parametrize("null_usage", [False, True])
def test_broken_stream_is_resumed_after_the_events_that_came(
    serve, make_attempt, null_usage
):
    def event(index):
        data = token(index)
        return data.replace(b"]}\n", b'], "usage": null}\n') if null_usage else data

    broken = STREAM + chunk(event(0)) + chunk(event(1) + event(2)[:-5])
    rest = STREAM + chunk(event(2)) + chunk(usage(3) + DONE) + b"0\r\n\r\n"
    address, requests = serve([broken], [rest])
    attempt = make_attempt(address, kind="engine")
    attempt.send()
    received = b"".join(attempt.events())
    assert received == event(0) + event(1) + event(2) + usage(3) + DONE
    path = b"POST /v1/completions/c-1/resume?after=2 HTTP/1.1\r\n"
    assert requests[1].startswith(path)
    assert b"X-Lagoonsail-Epoch: 3" in requests[1]
    assert attempt.measurement.cost == 3.0


def test_stream_that_cannot_be_resumed_is_broken(serve, make_attempt):
    gone = whole(b"", status="404 Not Found")
    address, requests = serve([STREAM + chunk(token(0))], [gone])
    attempt = make_attempt(address, kind="engine")
    attempt.send()
    received = []
    with pytest.raises(IncompleteAnswerError):
        received.extend(attempt.events())
    assert received == [token(0)]
    assert len(requests) == 2


def test_stream_is_resumed_a_bounded_number_of_times(serve, make_attempt):
    scripts = [[STREAM + chunk(token(index))] for index in range(9)]
    address, requests = serve(*scripts)
    attempt = make_attempt(address, kind="engine")
    attempt.send()
    with pytest.raises(IncompleteAnswerError):
        list(attempt.events())
    assert len(requests) == 1 + backend.MAX_RESUMES


def test_stream_without_its_last_event_is_broken(serve, make_attempt):
    ended = STREAM + chunk(token(0)) + b"0\r\n\r\n"
    address, _ = serve([ended], [whole(b"", status="404 Not Found")])
    attempt = make_attempt(address, kind="engine")
    attempt.send()
    with pytest.raises(IncompleteAnswerError):
        list(attempt.events())


def test_stream_that_falls_silent_is_broken_in_time(serve, make_attempt):
    gone = whole(b"", status="404 Not Found")
    address, _ = serve([STREAM + chunk(token(0)), pause(5.0)], [gone])
    attempt = make_attempt(address, kind="engine")
    attempt.send()
    start_ms = CLOCK.now_ms()
    with pytest.raises(IncompleteAnswerError):
        list(attempt.events())
    assert TIMEOUT_MS * 0.99 <= CLOCK.now_ms() - start_ms < 4 * TIMEOUT_MS


def test_aborted_attempt_wakes_its_reader(serve, make_attempt):
    address, _ = serve([pause(5.0)])
    attempt = make_attempt(address)
    start_ms = CLOCK.now_ms()
    eventlet.spawn_after(0.05, attempt.abort)
    with pytest.raises(IncompleteAnswerError):
        attempt.send()
    assert CLOCK.now_ms() - start_ms < TIMEOUT_MS


def test_engine_answer_in_one_piece_costs_its_tokens(serve, make_attempt, make_call):
    call = make_call("engine")
    call.is_stream = False
    body = json.dumps({"usage": {"completion_tokens": 5}}).encode()
    address, _ = serve([whole(body)], [whole(b"no JSON")])
    attempt = make_attempt(address, call)
    assert attempt.send().body == body
    assert attempt.measurement.cost == 5.0
    attempt = make_attempt(address, call)
    attempt.send()
    assert attempt.measurement.cost == 0.0


def test_server_is_read_no_faster_than_the_caller_takes_the_stream(serve, make_attempt):
    sent = []
    event_chunk = chunk(b"data: " + b"x" * EVENT_BYTES + b"\n\n")
    steps = [
        step
        for _ in range(EVENTS)
        for step in (event_chunk, lambda: sent.append(event_chunk))
    ]
    address, _ = serve([STREAM, *steps, chunk(usage(2) + DONE) + b"0\r\n\r\n"])
    attempt = make_attempt(address, kind="engine")
    assert attempt.send().status == 200
    events = attempt.events()
    next(events)
    eventlet.sleep(0.5)
    # The buffers of both sockets and one read bound what the server can send.
    assert len(sent) * EVENT_BYTES <= SOCKET_BUFFERS_BYTES
    received = sum(event_chunk.count(b"x") for event_chunk in events)
    assert received >= (EVENTS - 1) * EVENT_BYTES


# EVAC: a request that was given up in a partition reached its server afterwards.
def test_request_that_is_given_up_does_not_arrive_later(make_call):
    listener = green_socket.socket()
    listener.setsockopt(green_socket.SOL_SOCKET, green_socket.SO_RCVBUF, 2048)
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    call = make_call()
    call.body = b"x" * 30_000
    call.document.request_timeout_ms = 200.0
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    attempt = Attempt(call, GRANT, address, CLOCK)
    attempt.connect()
    peer, _ = listener.accept()
    with pytest.raises(AnswerTimeoutError):
        attempt.send()
    attempt.close()
    eventlet.sleep(0.05)
    with pytest.raises(ConnectionResetError):
        while peer.fd.recv(1000):
            continue
