from __future__ import annotations

import hashlib
import json
import time

import pytest

from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_standins.backend import Backend, BackendOptions
from lagoonsail_standins.completions import hash_prompt
from lagoonsail_standins.model_engine import Engine, make_engine_app
from lagoonsail_standins.plain_service import make_plain_app
from lagoonsail_standins.serving import listen, serve_listener

PROMPT = "one two #tokens=6"
TEXT = "".join(f"{hash_prompt(PROMPT)}-{i} " for i in range(6))


class Client:
    """HTTP client of a stand-in that runs in this process."""

    def __init__(self, port: int) -> None:
        self.base = f"http://127.0.0.1:{port}"
        self.pool = urllib3.PoolManager(retries=False, maxsize=20, timeout=10.0)

    def call(self, method, path, value=None, **options):
        body = None if value is None else json.dumps(value)
        return self.pool.request(method, self.base + path, body=body, **options)

    def control(self, **orders):
        return self.call("POST", "/_control", orders).json()

    def record(self):
        return self.call("GET", "/_record").json()

    def runs(self, *names):
        return [tuple(run[name] for name in names) for run in self.record()["runs"]]

    def prompt(self, prompt=PROMPT, stream=False, request_id="r1", **options):
        return self.call(
            "POST",
            "/v1/completions",
            {"prompt": prompt, "stream": stream},
            headers={"X-Request-Id": request_id, **options.pop("headers", {})},
            **options,
        )


@pytest.fixture
def start():
    threads = []

    def start_app(app):
        listener = listen(0)
        threads.append(eventlet.spawn(serve_listener, listener, app))
        return Client(listener.getsockname()[1])

    yield start_app
    for thread in threads:
        thread.kill()


@pytest.fixture
def start_engine(start):
    def start_with(warm_after=0, weight_store="", **options):
        backend = Backend(BackendOptions("e1", 4, 1, warm_after, 4.0, True))
        engine = Engine(backend, 2.0, 2.0, 50.0, True, weight_store)
        engine.start()
        return start(make_engine_app(backend, engine))

    return start_with


@pytest.fixture
def start_plain(start):
    def start_with(warm_after=0):
        backend = Backend(BackendOptions("p1", 4, 1, warm_after, 4.0))
        return start(make_plain_app(backend, "p1", 5.0, 50.0))

    return start_with


def read_stream(answer):
    events = answer.data.decode().split("\n\n")
    assert events[-1] == ""
    assert all(event.startswith("data: ") for event in events[:-1])
    assert events[-2] == "data: [DONE]"
    return [json.loads(event[6:]) for event in events[:-2]]


def test_whole_and_streamed_answers_match_the_prompt(start_engine):
    client = start_engine()
    whole = client.prompt()
    assert whole.json()["choices"][0]["text"] == TEXT
    assert whole.json()["usage"] == {"prompt_tokens": 3, "completion_tokens": 6}
    streamed = client.prompt(stream=True)
    events = read_stream(streamed)
    assert "".join(e["choices"][0]["text"] for e in events[:-1]) == TEXT
    assert events[-1]["usage"]["completion_tokens"] == 6
    incarnation = client.record()["incarnation"]
    assert streamed.headers["X-Server-Incarnation"] == incarnation
    assert client.runs("state", "cost", "request_id") == [("whole", 6.0, "r1")] * 2


def test_plain_answer_echoes_the_request(start_plain):
    client = start_plain()
    body = json.dumps({"work_ms": 1, "bib": 7}).encode()
    headers = {"X-Request-Id": "r7", "Idempotency-Key": "k7", "X-Lagoonsail-Epoch": "3"}
    answer = client.pool.request(
        "POST", client.base + "/bibs", body=body, headers=headers
    )
    echo = hashlib.sha256(body).hexdigest()
    assert answer.json() == {
        "server": "p1",
        "run": 1,
        "echo": echo,
        "request_id": "r7",
        "path": "/bibs",
    }
    fields = ("idempotency_key", "path", "body_sha256", "epoch", "state")
    assert client.runs(*fields) == [("k7", "/bibs", echo, 3, "whole")]
    assert client.call("HEAD", "/bibs").data == b""
    assert client.call("GET", "/bibs").json()["run"] == 3


@pytest.mark.parametrize("kind", ["engine", "plain"])
def test_cold_server_is_overloaded_by_concurrent_requests(
    kind, start_engine, start_plain
):
    if kind == "engine":
        client = start_engine(warm_after=2)
        call = client.prompt
    else:
        client = start_plain(warm_after=2)

        def call():
            return client.call("POST", "/x", {"work_ms": 50})

    first = eventlet.spawn(call)
    eventlet.sleep(0.02)
    for thread in (first, eventlet.spawn(call)):
        with pytest.raises(urllib3.exceptions.ProtocolError):
            thread.wait()
    assert call().status == 503
    record = client.record()
    assert (record["overloads"], record["max_running_cold"]) == (1, 2)
    states = [run["state"] for run in record["runs"]]
    assert states == ["broken", "broken", "refused"]


def test_server_warms_up_after_some_answers_until_restarted(start_plain):
    client = start_plain(warm_after=2)
    for _ in range(2):
        assert client.call("GET", "/x").status == 200
    threads = [
        eventlet.spawn(client.call, "POST", "/x", {"work_ms": 20}) for _ in range(6)
    ]
    assert [thread.wait().status for thread in threads] == [200] * 6
    assert [cold for (cold,) in client.runs("cold")] == [True] * 2 + [False] * 6
    # Two of the six requests waited in the server for one of its four slots.
    assert max(n for (n,) in client.runs("running_at_start")) == 4
    old_incarnation = client.record()["incarnation"]
    running = eventlet.spawn(client.call, "POST", "/x", {"work_ms": 500})
    eventlet.sleep(0.02)
    assert client.control(restart=True)["incarnation"] != old_incarnation
    with pytest.raises(urllib3.exceptions.ProtocolError):
        running.wait()
    client.call("GET", "/x")
    assert client.runs("state", "cold")[-2:] == [("broken", False), ("whole", True)]
    assert client.record()["overloads"] == 0


def test_turning_cold_keeps_the_incarnation_and_slows_runs(start_plain):
    client = start_plain(warm_after=1)
    client.call("GET", "/x")
    old_incarnation = client.record()["incarnation"]
    assert client.control(cold=True)["incarnation"] == old_incarnation
    client.call("POST", "/x", {"work_ms": 50})
    ((cold, cost),) = client.runs("cold", "cost")[-1:]
    assert cold
    assert cost >= 200.0


@pytest.mark.parametrize("stream", [False, True])
def test_broken_answer_is_detected_and_can_be_resumed(start_engine, stream):
    client = start_engine()
    client.control(break_next=1)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        client.prompt(stream=stream)
    assert client.runs("state") == [("broken",)]
    answer = client.call("POST", "/v1/completions/r1/resume?after=4")
    if stream:
        text = "".join(e["choices"][0]["text"] for e in read_stream(answer)[:-1])
    else:
        text = answer.json()["choices"][0]["text"]
    assert text == "".join(TEXT.split(" ")[4] + " " + TEXT.split(" ")[5] + " ")
    assert client.runs("state", "cost") == [("whole", 6.0)]


def test_closing_the_connection_cancels_the_run(start_engine, start_plain):
    engine, plain = start_engine(), start_plain()
    with pytest.raises(urllib3.exceptions.TimeoutError):
        engine.prompt("#tokens=5000", timeout=0.1)
    with pytest.raises(urllib3.exceptions.TimeoutError):
        plain.call("POST", "/x", {"work_ms": 5000}, timeout=0.1)
    stream = engine.prompt("#tokens=5000", stream=True, preload_content=False)
    next(stream.stream(10))
    stream.close()
    eventlet.sleep(0.1)
    assert engine.runs("state") == [("cancelled",)] * 2
    assert plain.runs("state") == [("cancelled",)]


def test_cancel_by_id_breaks_the_stream(start_engine):
    client = start_engine()
    thread = eventlet.spawn(client.prompt, "#tokens=5000", True, "r5")
    eventlet.sleep(0.05)
    answer = client.call("POST", "/v1/completions/r5/cancel")
    assert answer.json() == {"state": "cancelled"}
    with pytest.raises(urllib3.exceptions.ProtocolError):
        thread.wait()
    assert client.call("POST", "/v1/completions/r5/resume").status == 404
    assert client.call("POST", "/v1/completions/r6/cancel").status == 404


def test_outdated_epoch_is_refused_in_its_shard_only(start_engine):
    client = start_engine()

    def prompt(shard, epoch):
        headers = {"X-Lagoonsail-Shard": shard, "X-Lagoonsail-Epoch": str(epoch)}
        return client.prompt(headers=headers).status

    calls = [("a", 5), ("a", 4), ("b", 4), ("a", 5)]
    assert [prompt(*call) for call in calls] == [200, 412, 200, 200]
    assert client.runs("state", "epoch")[1] == ("refused", 4)


def test_silent_server_does_not_answer_and_late_one_is_delayed(start_engine):
    client = start_engine()
    client.control(late_ms=100)
    start_s = time.monotonic()
    client.prompt()
    assert time.monotonic() - start_s >= 0.1
    client.control(silent=True)
    for path in ("/metrics", "/cache_events"):
        with pytest.raises(urllib3.exceptions.TimeoutError):
            client.call("GET", path, timeout=0.1)
    with pytest.raises(urllib3.exceptions.TimeoutError):
        client.prompt(timeout=0.1)
    client.control(silent=False, late_ms=0)
    assert client.prompt().status == 200


def test_engine_reports_load_and_applies_orders(start_engine):
    client = start_engine()
    thread = eventlet.spawn(client.prompt, "x" * 300 + "#tokens=100")
    eventlet.sleep(0.15)
    metrics = client.call("GET", "/metrics").data.decode()
    assert "\nengine:num_requests_running 1\n" in metrics
    assert "\nprocess_start_time_seconds 1" in metrics
    thread.wait()
    assert client.call("POST", "/orders", {"order": "evict"}).status == 200
    assert client.call("POST", "/orders", {"order": "dance"}).status == 400
    eventlet.sleep(0.06)
    events = client.call("GET", "/cache_events?after=0").json()["events"]
    assert [e["kind"] for e in events] == ["stored", "cleared"]


def send_order(client, epoch=1, **fields):
    headers = {"X-Lagoonsail-Epoch": str(epoch), "X-Lagoonsail-Shard": "s"}
    return client.call("POST", "/orders", fields, headers=headers)


def wait_loaded(client):
    for _ in range(200):
        state = client.call("GET", "/orders").json()
        if not state["loading"]:
            return state
        eventlet.sleep(0.02)
    raise AssertionError(state)


def test_engine_applies_load_and_role_orders(start_engine):
    client = start_engine()
    answer = send_order(client, order="load", model="m", version="2")
    assert (answer.status, answer.json()["loading"]) == (200, True)
    assert client.prompt().status == 503
    assert send_order(client, order="load", model="m", version="3").status == 409
    assert wait_loaded(client)["version"] == "2"
    assert client.prompt().status == 200
    # A loaded model is not loaded again.
    assert not send_order(client, order="load", model="m", version="2").json()[
        "loading"
    ]
    send_order(client, order="load_adapter", adapter="a")
    assert wait_loaded(client)["adapters"] == ["a"]
    send_order(client, order="unload_adapter", adapter="a")
    send_order(client, order="set_role", role="decode")
    state = client.call("GET", "/orders").json()
    assert (state["model"], state["adapters"], state["role"]) == ("m", [], "decode")
    client.control(restart=True)
    assert client.call("GET", "/orders").json()["model"] == ""


def test_order_from_an_earlier_owner_is_refused(start_engine):
    client = start_engine()
    assert send_order(client, 5, order="set_role", role="mixed").status == 200
    assert send_order(client, 4, order="set_role", role="decode").status == 412
    assert client.call("GET", "/orders").json()["role"] == "mixed"
    outdated_headers = {"X-Lagoonsail-Epoch": "4", "X-Lagoonsail-Shard": "s"}
    assert client.prompt(headers=outdated_headers).status == 412


def test_order_returns_the_rate_limit_of_the_weight_store(start, start_engine):
    statuses = ["200 -", "429 -", "200 -"]
    paths = []

    def weights(environ, start_response):
        paths.append(environ["PATH_INFO"])
        start_response(statuses.pop(0), [("Retry-After", "7")])
        return []

    store = start(weights)
    client = start_engine(weight_store=f"{store.base}/weights/first")
    wait_loaded(client)
    answer = send_order(client, order="load", model="m", version="2")
    assert (answer.status, answer.headers["Retry-After"]) == (429, "7")
    assert wait_loaded(client)["model"] == ""
    send_order(client, order="load", model="m", version="2")
    assert wait_loaded(client)["model"] == "m"
    assert paths == ["/weights/first", "/weights/m-2", "/weights/m-2"]


def test_malformed_requests_are_refused(start_engine):
    client = start_engine()
    assert client.call("POST", "/v1/completions", {"prompt": 3}).status == 400
    assert client.call("GET", "/nothing").status == 404
    assert client.call("POST", "/v1/completions/r1/resume?after=x").status == 404
    client.prompt()
    assert client.call("POST", "/v1/completions/r1/resume?after=7").status == 400


def test_engine_refuses_until_its_weights_are_loaded(start, start_engine):
    statuses = ["429 -", "200 -"]

    def weights(_environ, start_response):
        start_response(statuses.pop(0), [("Retry-After", "0.2")])
        return [b"weights"]

    store = start(weights)
    client = start_engine(weight_store=f"{store.base}/weights/m")
    eventlet.sleep(0.05)
    assert client.prompt().status == 503
    eventlet.sleep(0.3)
    assert client.prompt().status == 200
    assert client.runs("state") == [("refused",), ("whole",)]
