"""Bad responses of engines and of their weight store, over real connections."""

from __future__ import annotations

import json
from email.utils import formatdate

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_router import engine_calls, engine_orders
from lagoonsail_router.batched_gets import BatchedGets
from lagoonsail_router.engine_calls import MAX_RETRY_AFTER_MS
from lagoonsail_router.engine_orders import (
    FIRST_BACKOFF_MS,
    MAX_BACKOFF_MS,
    EngineOrders,
)
from lagoonsail_standins.backend import Backend, BackendOptions
from lagoonsail_standins.model_engine import Engine, make_engine_app
from lagoonsail_standins.serving import listen, serve_listener

SHARD = "cordero/registro@sierra-central"
TIMEOUT_S = 0.4


def http(body=b"{}", status=b"200 OK", more=b""):
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), more)
    return head + body


def state_of(**fields):
    state = {"model": "charla", "version": "1", "adapters": [], "role": ""}
    return http(json.dumps({**state, "loading": False, **fields}).encode())


class FakeEngine:
    """Responds with the bytes in `responses`, by method; a list is sent slowly."""

    def __init__(self):
        self.responses = {"GET": state_of(version="0"), "POST": http()}
        self.requests = []
        self.address = ""

    def handle(self, connection):
        request = connection.recv(65_536)
        method = request[: request.index(b" ")].decode()
        self.requests.append(method)
        response = self.responses[method]
        if isinstance(response, bytes):
            connection.sendall(response)
        elif response is None:
            eventlet.sleep(60.0)
        else:
            for part in response:
                connection.sendall(part)
                eventlet.sleep(TIMEOUT_S / 4)
        connection.close()

    def orders(self):
        return self.requests.count("POST")


@pytest.fixture
def threads():
    threads = []
    yield threads
    for thread in threads:
        thread.kill()


@pytest.fixture
def engine(threads, monkeypatch):
    monkeypatch.setattr(engine_orders, "ORDER_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(engine_calls, "ORDER_TIMEOUT_S", TIMEOUT_S)
    engine, listener = FakeEngine(), listen(0)

    def handle(connection):
        try:
            engine.handle(connection)
        except OSError:
            connection.close()

    def accept():
        while True:
            connection, _ = listener.accept()
            threads.append(eventlet.spawn(handle, connection))

    threads.append(eventlet.spawn(accept))
    engine.address = f"127.0.0.1:{listener.getsockname()[1]}"
    return engine


@pytest.fixture
def make_engine_document(make_document):
    """Make a document of one engine with model charla, by default in version 1."""

    def make(address, version="1"):
        text = make_document(kind="engine")
        start, end = text.index("[server s1]"), text.index("[account norte]")
        server = f"[server s1]\naddress = {address}\nfailure_domain = banos\n"
        model = f"slots = 2\nmodel = charla\n[model charla]\nversion = {version}\n"
        model, more = model.split("[", 1)
        return parse_document(f"{text[:start]}{server}{model}{text[end:]}[{more}")

    return make


@pytest.fixture
def bench(context, engine, make_engine_document, time, wait_until):
    """An owner's orders to the engine; `reconcile` waits until it has finished."""

    class Bench:
        def __init__(self):
            self.document = make_engine_document(engine.address)
            self.orders = EngineOrders(context, SHARD, 1, self.document)
            self.gets = BatchedGets(context, lambda: None)
            self.loads = 0
            self.is_silent = False

        def on_load(self):
            self.loads += 1

        def reconcile(self):
            (server,) = self.document.servers.values()
            self.orders.reconcile(
                server, self.document, self.gets, lambda: True, self.on_load
            )
            wait_until(self.is_done)

        def is_done(self):
            if self.is_silent:
                time.advance_ms(10.0)
            return not self.orders._in_progress

        @property
        def is_closed(self):
            return self.orders.is_closed(self.document.servers["s1"])

    return Bench()


MALFORMED_STATES = {
    "not an object": http(b"[]"),
    "not JSON": http(b"\xff{"),
    "deeply nested": http(b"[" * 100_000),
    "adapters as string": state_of(adapters="abc"),
    "adapters as object": state_of(adapters={"abc": 1}),
    "adapter not a string": state_of(adapters=[1]),
    "model not a string": state_of(model=None),
    "version not a string": state_of(version=1),
    "role not a string": state_of(role=["decode"]),
    "loading not a boolean": state_of(loading="yes"),
    "unknown path": http(status=b"404 Not Found"),
    "redirect": http(status=b"302 Found", more=b"Location: /elsewhere\r\n"),
    "too long": http(json.dumps({"orders": ["x" * 100] * 10_000}).encode()),
}


@pytest.mark.parametrize("kind", MALFORMED_STATES)
def test_malformed_state_is_counted_and_changes_nothing(bench, engine, context, kind):
    engine.responses["GET"] = MALFORMED_STATES[kind]
    for count in (1, 2):
        bench.reconcile()
        assert context.counters["engine_states_malformed_total", ""] == count
    assert engine.requests == ["GET", "GET"]
    assert (bench.is_closed, bench.loads) == (False, 0)


FAILED_RESPONSES = {
    "closed without response": b"",
    "truncated": state_of()[:-3],
    "not HTTP": b"\x00" * 100,
    "silent": None,
    "slow": [b"HTTP/1.1 200 OK\r\n", *[b"X: 1\r\n"] * 30],
    "server error": http(status=b"500 Internal Server Error"),
    "unavailable": http(status=b"503 Service Unavailable"),
}


@pytest.mark.parametrize("kind", FAILED_RESPONSES)
def test_engine_whose_state_cannot_be_read_is_closed_and_gets_no_orders(
    bench, engine, kind
):
    engine.responses["GET"] = state_of()
    bench.reconcile()
    assert not bench.is_closed
    engine.responses["GET"] = FAILED_RESPONSES[kind]
    bench.is_silent = kind == "silent"
    bench.reconcile()
    assert bench.is_closed
    assert (engine.orders(), bench.loads) == (0, 0)
    engine.responses["GET"] = state_of()
    bench.reconcile()
    assert not bench.is_closed


@pytest.mark.parametrize("kind", FAILED_RESPONSES)
def test_order_without_a_complete_response_is_repeated_with_backoff(
    bench, engine, context, time, kind
):
    engine.responses["POST"] = FAILED_RESPONSES[kind]
    bench.reconcile()
    # It may be loading, so it gets no requests until its state has been read.
    assert (bench.is_closed, bench.loads, engine.orders()) == (True, 1, 1)
    assert context.counters["engine_orders_total", "failed"] == 1
    bench.reconcile()
    assert (bench.is_closed, engine.orders()) == (False, 1)
    time.advance_ms(FIRST_BACKOFF_MS * 1.5)
    bench.reconcile()
    assert engine.orders() == 2
    time.advance_ms(FIRST_BACKOFF_MS * 0.99)
    bench.reconcile()
    assert engine.orders() == 2


def test_slow_response_to_an_order_times_out(bench, engine):
    """Each byte arrives within the socket timeout, the complete response does not."""
    engine.responses["POST"] = [b"HTTP/1.1 200 OK\r\n", *[b"X: 1\r\n"] * 1000]
    start_ms = Clock().now_ms()
    bench.reconcile()
    assert Clock().now_ms() - start_ms < TIMEOUT_S * 1000.0 * 4
    assert engine.orders() == 1


@pytest.mark.parametrize("status", [b"400 Bad", b"404 Not Found", b"302 Found"])
def test_refused_order_waits_for_the_longest_backoff_and_the_engine_keeps_serving(
    bench, engine, context, time, status
):
    engine.responses["POST"] = http(b"\xff" * 300_000, status, b"Location: /x\r\n")
    bench.reconcile()
    assert context.counters["engine_orders_total", "refused"] == 1
    for _ in range(3):
        time.advance_ms(MAX_BACKOFF_MS * 0.16)
        bench.reconcile()
    assert (engine.orders(), bench.is_closed, bench.loads) == (1, False, 0)


def test_accepted_order_without_effect_is_repeated_with_backoff(
    bench, engine, context, time
):
    """An engine that fails to load must not fetch its weights again at every poll."""
    sent_ms = []
    while len(sent_ms) < 6:
        before = engine.orders()
        bench.reconcile()
        assert engine.orders() <= before + 1
        if engine.orders() > before:
            sent_ms.append(time.now_ms)
        time.advance_ms(50.0)
    gaps = [late - early for early, late in zip(sent_ms, sent_ms[1:], strict=False)]
    for index, gap in enumerate(gaps):
        mean_ms = min(FIRST_BACKOFF_MS * 2**index, MAX_BACKOFF_MS)
        assert mean_ms * 0.5 <= gap <= mean_ms * 1.5 + 200.0
    assert context.counters["engine_orders_total", "without_effect"] >= 5
    bench.reconcile()
    assert not bench.is_closed
    engine.responses["GET"] = state_of()
    bench.reconcile()
    assert bench.orders._backoffs == {}


@pytest.mark.parametrize("wait_s", [7.0, 100.0, 100_000.0])
@pytest.mark.parametrize("is_date", [False, True])
def test_retry_after_is_respected_in_seconds_and_as_a_date(
    bench, engine, time, wait_s, is_date
):
    until_s = time.clock.wall_ms() / 1000.0 + wait_s
    text = formatdate(until_s, usegmt=True) if is_date else f"{wait_s}"
    status = b"429 Too Many Requests"
    engine.responses["POST"] = http(b"", status, f"Retry-After: {text}\r\n".encode())
    bench.reconcile()
    assert (engine.orders(), bench.is_closed, bench.loads) == (1, False, 0)
    wait_ms = min(wait_s * 1000.0, MAX_RETRY_AFTER_MS)
    time.advance_ms(wait_ms * 0.99 - 1000.0 * is_date)
    bench.reconcile()
    assert engine.orders() == 1
    time.advance_ms(wait_ms * 0.25 + 2000.0)
    bench.reconcile()
    assert engine.orders() == 2


@pytest.mark.parametrize(
    "text", ["Fri, 99 Zzz 2026 00:00:00 GMT", "Thu, 01 Jan 1970 00:00:00 GMT", "\xff"]
)
def test_malformed_retry_after_still_delays_the_next_order(bench, engine, time, text):
    more = f"Retry-After: {text}\r\n".encode("latin1")
    engine.responses["POST"] = http(b"", b"429 Too Many Requests", more)
    bench.reconcile()
    time.advance_ms(FIRST_BACKOFF_MS * 0.99)
    bench.reconcile()
    assert engine.orders() == 1
    time.advance_ms(FIRST_BACKOFF_MS)
    bench.reconcile()
    assert engine.orders() == 2


BAD_STORE_RESPONSES = {
    "closed without response": b"",
    "server error": http(status=b"500 Internal Server Error"),
    "refused": http(status=b"403 Forbidden"),
    "not HTTP": b"\x00" * 100,
    "truncated": http(b"weights")[:-3],
    "silent": None,
}


@pytest.mark.parametrize("kind", BAD_STORE_RESPONSES)
def test_order_that_fails_at_the_weight_store_is_repeated_with_backoff(
    context, threads, engine, make_engine_document, bench, time, wait_until, kind
):
    """The weight store behind the engine fails; its orders keep to their backoff."""
    engine.responses["GET"] = BAD_STORE_RESPONSES[kind]
    backend = Backend(BackendOptions("e", 2, 1, 0, 4.0, True))
    url = f"http://{engine.address}/weights/"
    model = Engine(backend, 2.0, 2.0, 50.0, True, url, 1.0)
    app = make_engine_app(backend, model)
    listener = listen(0)
    threads.append(eventlet.spawn(serve_listener, listener, app))
    bench.document = make_engine_document(f"127.0.0.1:{listener.getsockname()[1]}")
    for _ in range(20):
        bench.reconcile()
        eventlet.sleep(0.01)
    assert engine.requests == ["GET"]
    results = [
        context.counters["engine_orders_total", r] for r in ("failed", "refused")
    ]
    assert sorted(results) == [0, 1]
    assert context.counters["engine_orders_total", "taken"] == 0
    if kind == "silent":
        # The engine is still waiting for the weight store, so it gets no requests.
        assert bench.is_closed
        return
    assert not bench.is_closed
    engine.responses["GET"] = http(b"weights")
    time.advance_ms(MAX_BACKOFF_MS * 1.5)
    wait_until(lambda: bench.reconcile() or model.version == "1")
    assert engine.requests == ["GET", "GET"]
