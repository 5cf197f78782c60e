"""Router processes that serve callers over sockets."""

from __future__ import annotations

import base64
import json
import re
import signal

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_lab.deployments import account_key, make_cordero
from lagoonsail_lab.fleet import Fleet

CLOCK = Clock()
TOKEN_MS = 40
COMPLETIONS = "/cordero/asistente/v1/completions"
NAMES = ["cordero-1", "cordero-2"]


@pytest.fixture(scope="module")
def fleet():
    deployment = make_cordero(2, 1, 1)
    engine = {"token_ms": TOKEN_MS, "cold_factor": 1, "warm_after": 1}
    deployment.find("asistente").options.update(engine)
    deployment.find("asistente").slots = 1
    deployment.find("registro").options["warm_after"] = 1
    deployment.find("registro").limits["max_body_bytes"] = 10_000
    limits = {"drain_lag_ms": 200}
    with Fleet([deployment], settings={"limits": limits}) as fleet:
        yield fleet


@pytest.fixture
def send(fleet):
    """Send a request to a router, and return the response with its body unread."""
    pool = urllib3.PoolManager(retries=False, timeout=20.0)

    def send_one(
        path, body=None, router="cordero-1", account="prensa", method="POST", **headers
    ):
        service = path.split("/")[2]
        key = account_key("cordero", service, account)
        all_headers = {"Authorization": f"Bearer {key}", **headers}
        if isinstance(body, dict):
            body = json.dumps(body)
        url = f"http://{fleet.routers[router].callers}{path}"
        return pool.request(
            method, url, body=body, headers=all_headers, preload_content=False
        )

    yield send_one
    pool.clear()


@pytest.fixture
def stream(send):
    def begin(tokens, router="cordero-1", prompt="a"):
        body = {"prompt": f"{prompt} #tokens={tokens}", "stream": True}
        response = send(COMPLETIONS, body, router)
        assert response.status == 200, response.data
        return response

    return begin


@pytest.fixture
def runs(fleet):
    """Return the runs that a backend server has recorded."""

    def read(name="cordero/asistente-1"):
        return fleet.records()[name]["runs"]

    return read


def problem_of(response, status, kind):
    body = response.json()
    assert response.status == status, body
    assert response.headers["Content-Type"] == "application/problem+json"
    assert body["status"] == status
    assert body["type"] == f"urn:lagoonsail:problem:{kind}"
    assert body["ran"] == "no"
    assert "; " in body["detail"]
    assert response.headers["X-Request-Id"] == body["request_id"]
    return body


@pytest.mark.parametrize("router", NAMES)
def test_stream_arrives_chunk_by_chunk(stream, router):
    """Chunks arrive one by one whether or not the entry router owns the shard.

    One of the two routers owns it.
    """
    tokens = 20
    arrivals = []
    received = b""
    for chunk in stream(tokens, router).read_chunked():
        arrivals.append(CLOCK.now_ms())
        received += chunk
    assert received.count(b'"text"') == tokens
    assert received.endswith(b"data: [DONE]\n\n")
    gaps = [late - early for early, late in zip(arrivals, arrivals[1:], strict=False)]
    separate_chunks = sum(gap > TOKEN_MS / 2 for gap in gaps)
    # Chunks that arrive in one piece show as one long gap and no others.
    assert separate_chunks >= tokens * 3 / 4, gaps


def test_durations_are_exposed_as_histograms(fleet, send):
    address = fleet.routers["cordero-1"].admin
    pool = urllib3.PoolManager(retries=False, timeout=20.0)

    def count(name):
        lines = pool.request("GET", f"http://{address}/metrics").data.decode()
        found = re.findall(rf"^lagoonsail_{name}_ms_count (\S+)$", lines, re.MULTILINE)
        return float(found[0])

    names = ("slot_wait", "answer_first", "answer")
    before = [count(name) for name in names]
    response = send("/cordero/registro/bibs", {"work_ms": 5})
    assert (response.status, response.data[:1]) == (200, b"{")
    after = [count(name) for name in names]
    assert [new - old for new, old in zip(after, before, strict=True)] == [1, 1, 1]
    pool.clear()


def test_idle_connections_do_not_block_operators(fleet):
    host, port = fleet.routers["cordero-1"].admin.split(":")
    idle = [eventlet.connect((host, int(port))) for _ in range(200)]
    eventlet.sleep(0.1)
    url = f"http://{host}:{port}/healthz"
    assert urllib3.PoolManager(retries=False).request("GET", url, timeout=2.0).data
    # The router closes idle connections after a while, so that it can accept others.
    with eventlet.Timeout(15.0):
        assert idle[0].recv(1) == b""
    for connection in idle:
        connection.close()


def test_request_is_cancelled_when_its_caller_disconnects(stream, runs, wait_until):
    response = stream(tokens=2000)
    next(response.read_chunked())
    response.close()
    wait_until(lambda: runs()[-1]["state"] == "cancelled")
    assert runs()[-1]["cost"] < 200


def test_waiting_request_does_not_run_after_its_caller_disconnects(
    fleet, send, stream, runs, wait_until
):
    def waiting():
        return fleet.status("cordero-2")["waiting"]

    running = stream(60)
    before = len(runs())
    host, port = fleet.routers["cordero-2"].callers.split(":")
    body = json.dumps({"prompt": "b"})
    key = account_key("cordero", "asistente", "prensa")
    connection = eventlet.connect((host, int(port)))
    connection.sendall(
        f"POST {COMPLETIONS} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    wait_until(lambda: sum(waiting().values()) == 1)
    connection.close()
    wait_until(lambda: not sum(waiting().values()))
    assert b"[DONE]" in running.data
    assert len(runs()) == before


def test_caller_cannot_act_for_another_account(fleet, send, runs):
    other = account_key("cordero", "registro", "federacion")
    for path, key in [
        ("/cordero/avisos/x", other),
        ("/cordero/registro/x", account_key("cordero", "avisos", "federacion")),
        ("/cordero/registro/x", account_key("kalapati", "registro", "federacion")),
        ("/cordero/registro/x", "federacion"),
    ]:
        response = send(path, Authorization=f"Bearer {key}")
        problem_of(response, 401, "unknown_account")

    def services():
        shard = "cordero/registro@sierra-central"
        for name in NAMES:
            owned = fleet.status(name)["shards"].get(shard)
            if owned:
                accounts = owned["accounts"]
                return {name: accounts[name]["service"] for name in accounts}
        return {}

    before = services()
    headers = {"X-Account": "federacion", "X-Lagoonsail-Account": "federacion"}
    response = send("/cordero/registro/bibs", {"work_ms": 30}, **headers)
    assert response.status == 200, response.data
    response.drain_conn()
    after = services()
    assert {name for name in after if after[name] != before[name]} == {"prensa"}


def test_malformed_requests_get_problems_and_do_not_run(send, runs):
    registro, engine = "cordero/registro-1", "cordero/asistente-1"
    before = [len(runs(registro)), len(runs(engine))]
    cases = [
        (("/cordero/none/x",), {}, 404, "unknown_service"),
        (("/cordero/registro/x",), {"account": "x"}, 401, "unknown_account"),
        (("/cordero/registro/x", "x" * 10_001), {}, 413, "body_too_large"),
        (
            ("/cordero/registro/x", iter([b"x" * 6000, b"y" * 6000])),
            {},
            413,
            "body_too_large",
        ),
        (
            ("/cordero/registro/x",),
            {"Idempotency-Key": "a b"},
            400,
            "malformed_idempotency_key",
        ),
        (
            ("/cordero/registro/x",),
            {"X-Cost-Hint": "many"},
            400,
            "malformed_cost_hint",
        ),
        ((COMPLETIONS, "no JSON"), {}, 400, "malformed_completion"),
    ]
    for arguments, options, status, kind in cases:
        problem_of(send(*arguments, **options), status, kind)
    assert [len(runs(registro)), len(runs(engine))] == before


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ("Content-Length: 50", b"half"),
        ("Transfer-Encoding: chunked", b"4\r\nhalf\r\n"),
        ("Transfer-Encoding: chunked", b"zz\r\nhalf\r\n"),
    ],
)
def test_request_with_a_truncated_body_does_not_run(fleet, runs, headers, body):
    before = len(runs("cordero/registro-1"))
    host, port = fleet.routers["cordero-1"].callers.split(":")
    key = account_key("cordero", "registro", "prensa")
    connection = eventlet.connect((host, int(port)))
    connection.sendall(
        f"POST /cordero/registro/bibs HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {key}\r\n{headers}\r\n\r\n".encode()
        + body
    )
    connection.shutdown(1)
    response = b""
    while part := connection.recv(65536):
        response += part
    head, _, problem = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 400 "), response
    assert json.loads(problem)["type"] == "urn:lagoonsail:problem:truncated_body"
    assert json.loads(problem)["ran"] == "no"
    assert len(runs("cordero/registro-1")) == before


def test_owner_has_its_engine_load_the_documented_model(fleet, stream, wait_until):
    service = fleet.deployments[0].find("asistente")
    text = fleet.document(service).replace(
        "[server asistente-1]\n", "[server asistente-1]\nmodel = charla\n"
    )
    text += "[model charla]\nversion = 7\nadapters = rutas\n"
    key, value = (
        base64.b64encode(part.encode()).decode()
        for part in ("/lagoonsail/documents/cordero/asistente", text)
    )
    fleet.fetch("POST", fleet.store, "/v3/kv/put", {"key": key, "value": value})
    address = fleet.backends["cordero/asistente-1"].address

    def loaded():
        state = fleet.fetch("GET", address, "/orders")
        return (state["version"], state["adapters"]) == ("7", ["rutas"])

    wait_until(loaded, bound_s=20.0)
    assert b"[DONE]" in stream(3, prompt="model").data
    orders = fleet.fetch("GET", address, "/orders")["orders"]
    assert [order["order"] for order in orders] == ["load", "load_adapter"]
    assert all(int(order["epoch"]) >= 1 for order in orders)
    assert fleet.records()["cordero/asistente-1"]["overloads"] == 0
    events = [
        event
        for name in NAMES
        for event in fleet.fetch("GET", fleet.routers[name].admin, "/timeline")
        if event["event"] == "server_cold"
    ]
    reasons = [e["reason"] for e in events if e["server"].endswith("/asistente-1")]
    assert "loading" in reasons
    assert "connection_refused" not in reasons


def test_planned_stop_completes_running_calls(fleet, stream, runs):
    response = stream(tokens=60, router="cordero-2", prompt="stop")
    chunks = response.read_chunked()
    received = next(chunks)
    stopped = eventlet.spawn(fleet.stop_router, "cordero-2")
    received += b"".join(chunks)
    assert received.count(b'"text"') == 60
    assert received.endswith(b"data: [DONE]\n\n")
    assert stopped.wait() == 0
    assert runs()[-1]["state"] == "whole"
    # The other router keeps serving, including shards that the stopped one owned.
    assert b"[DONE]" in stream(3, "cordero-1").data


def test_second_signal_aborts_a_planned_stop(fleet, stream, wait_until):
    chunks = stream(tokens=500, prompt="signals").read_chunked()
    next(chunks)
    process = fleet.routers["cordero-1"].process
    process.signal(signal.SIGTERM)
    wait_until(lambda: fleet.status("cordero-1")["state"] == "leaving")
    next(chunks)
    assert process.is_running
    process.signal(signal.SIGTERM)
    assert process.wait(5000.0) == 5
    # The stream that was cut off must not look complete.
    with pytest.raises(urllib3.exceptions.HTTPError):
        b"".join(chunks)
