from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.messages import (
    OUTCOME_WHOLE,
    Inventory,
    SlotDone,
    SlotGrant,
    SlotRequest,
)
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router import engine_orders
from lagoonsail_router.context import RouterContext
from lagoonsail_router.engine_calls import MAX_RETRY_AFTER_MS, EngineResponse
from lagoonsail_router.engine_orders import (
    FIRST_BACKOFF_MS,
    MAX_BACKOFF_MS,
    MAX_CONCURRENT_CHANGES,
    NEW_OWNER_DELAY_MS,
    EngineOrders,
)
from lagoonsail_router.right import FULL, GUARDED
from lagoonsail_router.shard_owner import INVENTORY_WAIT_MS, ShardOwner
from lagoonsail_standins.backend import Backend, BackendOptions
from lagoonsail_standins.model_engine import Engine, make_engine_app
from lagoonsail_standins.weight_store import RateLimit, make_weight_app

SHARD = "cordero/registro@sierra-central"
CLOCK = Clock()


@pytest.fixture
def start_engine(serve):
    def start(load_ms=50.0, weight_store="", warm_after=0):
        backend = Backend(BackendOptions("e", 2, 1, warm_after, 4.0, True))
        engine = Engine(backend, 2.0, 2.0, 50.0, True, weight_store, load_ms)
        return serve(make_engine_app(backend, engine)), engine

    return start


@pytest.fixture
def make_engine_document(make_document):
    """Make a document of engines at given addresses."""

    def make(addresses, version="1", adapters="none", role="none"):
        text = make_document(kind="engine")
        start, end = text.index("[server s1]"), text.index("[account norte]")
        servers = [
            f"[server s{number}]\naddress = {address}\nfailure_domain = banos\n"
            f"slots = 2\nmodel = charla\nrole = {role}\n"
            for number, address in enumerate(addresses, 1)
        ]
        model = f"[model charla]\nversion = {version}\nadapters = {adapters}\n"
        return parse_document(text[:start] + "".join(servers) + text[end:] + model)

    return make


def reconcile(orders, server, document, may_order, on_load):
    """Reconcile an engine, and wait until all resulting orders are carried out."""

    def add(address, path, timeout_ms, on_response):
        on_response(engine_orders.exchange("GET", address, None, {}))

    orders.reconcile(server, document, SimpleNamespace(add=add), may_order, on_load)
    while server.name in orders._in_progress:
        eventlet.sleep(0)


def reconcile_all(orders, document, **options):
    """Reconcile each engine once."""
    may_order = options.get("may_order", lambda: True)
    on_load = options.get("on_load", lambda: None)
    for server in document.servers.values():
        reconcile(orders, server, document, may_order, on_load)


def closed(orders, document):
    return [name for name, s in document.servers.items() if orders.is_closed(s)]


def state_of(engine):
    return engine.model, engine.version, sorted(engine.adapters), engine.role


def test_engine_reaches_the_documented_state(
    context, start_engine, make_engine_document, wait_until
):
    address, engine = start_engine()
    document = make_engine_document([address], "2", "rutas, tiempos", "decode")
    engine.adapters.add("old")
    orders = EngineOrders(context, SHARD, 1, document)
    assert closed(orders, document) == ["s1"]
    loads = []

    def is_reconciled():
        reconcile_all(orders, document, on_load=lambda: loads.append(1))
        return not closed(orders, document)

    wait_until(is_reconciled)
    assert state_of(engine) == ("charla", "2", ["rutas", "tiempos"], "decode")
    assert engine._orders == [
        {"order": "load", "model": "charla", "version": "2", "epoch": "1"},
        {"order": "load_adapter", "adapter": "rutas", "epoch": "1"},
        {"order": "load_adapter", "adapter": "tiempos", "epoch": "1"},
        {"order": "set_role", "role": "decode", "epoch": "1"},
    ]
    assert loads == [1]
    reconcile_all(orders, document)
    assert len(engine._orders) == 4
    changed = make_engine_document([address], "2", "tiempos")
    reconcile_all(orders, changed)
    assert state_of(engine) == ("charla", "2", ["tiempos"], "decode")


def test_owners_in_turn(context, start_engine, make_engine_document, time, wait_until):
    """An order with an old epoch is refused after one with a newer epoch."""
    address, engine = start_engine(load_ms=1.0)
    old_document, document = (
        make_engine_document([address], "1"),
        make_engine_document([address], "2"),
    )
    old = EngineOrders(context, SHARD, 1, old_document)
    # Wait until the old owner has read the state that its order led to.
    wait_until(
        lambda: reconcile_all(old, old_document) or not closed(old, old_document)
    )
    assert engine.version == "1"
    later = EngineOrders(context, SHARD, 2, document)
    reconcile_all(later, document)
    assert len(engine._orders) == 1
    time.advance_ms(NEW_OWNER_DELAY_MS)
    wait_until(lambda: reconcile_all(later, document) or engine.version == "2")
    wait_until(lambda: reconcile_all(later, document) or not closed(later, document))
    order_count = len(engine._orders)
    reconcile_all(old, old_document)
    assert state_of(engine) == ("charla", "2", [], "")
    assert context.counters["engine_orders_total", "outdated"] == 1
    time.advance_ms(MAX_BACKOFF_MS * 2)
    reconcile_all(old, old_document)
    assert context.counters["engine_orders_total", "outdated"] == 1
    assert len(engine._orders) == order_count


def test_next_owner_sends_no_orders_to_a_loading_engine(
    context, start_engine, make_engine_document, wait_until
):
    address, engine = start_engine(load_ms=300.0)
    document = make_engine_document([address])
    reconcile_all(EngineOrders(context, SHARD, 1, document), document)
    later = EngineOrders(context, SHARD, 2, document)
    assert closed(later, document) == ["s1"]
    reconcile_all(later, document)
    assert closed(later, document) == ["s1"]
    wait_until(lambda: reconcile_all(later, document) or not closed(later, document))
    assert state_of(engine)[:2] == ("charla", "1")
    assert len(engine._orders) == 1


def test_concurrent_changes_are_bounded_and_wait_for_idle_engines(
    context, start_engine, make_engine_document, wait_until
):
    engines = [start_engine(load_ms=100.0) for _ in range(5)]
    document = make_engine_document([address for address, _ in engines])
    orders = EngineOrders(context, SHARD, 1, None)
    reconcile_all(orders, document, may_order=lambda: False)
    assert len(closed(orders, document)) == MAX_CONCURRENT_CHANGES
    assert all(engine._orders == [] for _, engine in engines)
    max_loading = 0

    def is_reconciled():
        nonlocal max_loading
        reconcile_all(orders, document)
        max_loading = max(
            max_loading, sum(engine._backend.is_loading for _, engine in engines)
        )
        return all(engine.model for _, engine in engines)

    wait_until(is_reconciled)
    assert max_loading == MAX_CONCURRENT_CHANGES
    assert [len(engine._orders) for _, engine in engines] == [1] * 5


def test_rate_limit_of_the_weight_store_is_respected(
    context, serve, start_engine, make_engine_document, wait_until
):
    limit = RateLimit(rate_per_s=1.0, burst=1, now_ms=CLOCK.now_ms())
    weights = make_weight_app(limit, 100, CLOCK)
    requests = []

    def recording_app(environ, start_response):
        def start(status, headers):
            requests.append((CLOCK.now_ms(), status[:3], dict(headers)))
            return start_response(status, headers)

        return weights(environ, start)

    url = f"http://{serve(recording_app)}/weights/"
    engines = [start_engine(load_ms=1.0, weight_store=url) for _ in range(4)]
    document = make_engine_document([address for address, _ in engines])
    real_time_context = RouterContext(context.settings, CLOCK)
    orders = EngineOrders(real_time_context, SHARD, 1, document)

    def is_reconciled():
        reconcile_all(orders, document)
        return all(engine.model for _, engine in engines)

    wait_until(is_reconciled, bound_s=30.0)
    limited = [(at, headers) for at, status, headers in requests if status == "429"]
    assert limited
    for limited_ms, headers in limited:
        until_ms = limited_ms + float(headers["Retry-After"]) * 1000.0
        assert not [at for at, *_ in requests if limited_ms < at < until_ms]
    assert len(requests) <= 2 * len(engines)


class FakeEngines:
    """Replaces `exchange`; `responses` holds the next response by method."""

    def __init__(self):
        self.sent = []
        self.responses = {"GET": None, "POST": None}
        self.state = {"model": "", "version": "", "adapters": [], "role": ""}

    def exchange(self, method, address, order, headers):
        self.sent.append((method, order))
        response = self.responses[method]
        if response is not None:
            return response
        body = json.dumps({**self.state, "loading": False}).encode()
        return EngineResponse(200, body, "")

    def ordered(self):
        return [order["order"] for method, order in self.sent if method == "POST"]


@pytest.fixture
def engines(monkeypatch):
    fake = FakeEngines()
    monkeypatch.setattr(engine_orders, "exchange", fake.exchange)
    return fake


def status(code, retry_after="", body=b"{}"):
    return EngineResponse(code, body, retry_after)


@pytest.mark.parametrize("response", [status(503), Unavailable("no response")])
def test_failed_order_is_repeated_with_backoff(
    context, engines, make_engine_document, time, response
):
    document = make_engine_document(["127.0.0.1:1"])
    orders = EngineOrders(context, SHARD, 1, document)
    engines.responses["POST"] = response
    loads = []
    reconcile_all(orders, document, on_load=lambda: loads.append(1))
    # It may be loading, so it gets no requests until its state has been read.
    assert closed(orders, document) == ["s1"]
    reconcile_all(orders, document)
    assert closed(orders, document) == []
    assert engines.ordered() == ["load"]
    assert loads == [1]
    sent_ms = []
    while len(engines.ordered()) < 5:
        before = len(engines.ordered())
        time.advance_ms(50.0)
        reconcile_all(orders, document)
        if len(engines.ordered()) > before:
            sent_ms.append(time.now_ms)
    gaps = [late - early for early, late in zip(sent_ms, sent_ms[1:], strict=False)]
    for index, gap in enumerate(gaps, 1):
        mean_ms = FIRST_BACKOFF_MS * 2**index
        assert mean_ms * 0.5 <= gap <= mean_ms * 1.5 + 100.0


def test_engine_that_refuses_an_order_keeps_serving(
    context, engines, make_engine_document, time
):
    document = make_engine_document(["127.0.0.1:1"])
    orders = EngineOrders(context, SHARD, 1, document)
    engines.responses["POST"] = status(400)
    reconcile_all(orders, document)
    assert closed(orders, document) == []
    time.advance_ms(MAX_BACKOFF_MS * 0.49)
    reconcile_all(orders, document)
    assert engines.ordered() == ["load"]


@pytest.mark.parametrize(
    "response", [status(404), status(200), status(200, body=b"[" * 9999)]
)
def test_engine_that_does_not_support_orders_keeps_serving(
    context, engines, make_engine_document, response
):
    document = make_engine_document(["127.0.0.1:1"])
    orders = EngineOrders(context, SHARD, 1, document)
    engines.responses["GET"] = response
    reconcile_all(orders, document)
    assert closed(orders, document) == []
    assert engines.ordered() == []


def test_unreachable_engine_is_closed_and_does_not_count_as_changing(
    context, engines, make_engine_document
):
    document = make_engine_document([f"127.0.0.1:{port}" for port in (1, 2, 3)])
    orders = EngineOrders(context, SHARD, 1, None)
    reconcile_all(orders, document, may_order=lambda: False)
    assert closed(orders, document) == ["s1", "s2"]
    first, *others = document.servers.values()
    orders.on_unreachable(first)
    engines.responses["GET"] = Unavailable("no response")
    for server in others:
        reconcile(orders, server, document, lambda: True, lambda: None)
    assert closed(orders, document) == ["s1", "s2", "s3"]
    assert orders._changing == set()


@pytest.mark.parametrize("text", ["", "x", "nan", "-5", "inf", "1e9"])
def test_malformed_retry_after_still_delays_the_next_order(
    context, engines, make_engine_document, time, text
):
    document = make_engine_document(["127.0.0.1:1"])
    orders = EngineOrders(context, SHARD, 1, document)
    engines.responses["POST"] = status(429, text)
    reconcile_all(orders, document)
    time.advance_ms(FIRST_BACKOFF_MS * 0.99)
    reconcile_all(orders, document)
    assert engines.ordered() == ["load"]
    time.advance_ms(MAX_RETRY_AFTER_MS * 1.2)
    reconcile_all(orders, document)
    assert engines.ordered() == ["load"] * 2


def test_unmanaged_engine_gets_no_orders(context, engines, make_engine_document):
    document = make_engine_document(["127.0.0.1:1"])
    orders = EngineOrders(context, SHARD, 1, document)
    document.servers["s1"].model = ""
    reconcile_all(orders, document)
    assert engines.sent == []
    assert closed(orders, document) == []


def test_loading_engine_gets_no_requests(
    context,
    key_store,
    start_engine,
    make_engine_document,
    make_stream,
    time,
    wait_until,
):
    """An owner drains the engine, has it load, and treats it as cold afterwards."""
    address, engine = start_engine(load_ms=1000.0)
    documents = [make_engine_document([address], "1")]
    level = [FULL]
    right = SimpleNamespace(level=lambda: level[0], leaving=set())
    owner = ShardOwner(
        context, right, key_store, SHARD, 1, lambda: documents[0], list, list
    )
    time.advance_ms(INVENTORY_WAIT_MS)
    stream = make_stream("cordero-2")
    owner.handle_inventory(stream, Inventory(SHARD, []))

    def request_slot(ticket):
        owner.handle_request(
            stream, SlotRequest(ticket, SHARD, "norte", 0.0, [], 0, ticket, 0.0)
        )

    def grants():
        return [grant.ticket for grant in stream.of(SlotGrant)]

    def poll():
        owner.poll()
        eventlet.sleep(0.02)

    request_slot(1)
    assert grants() == []
    wait_until(lambda: poll() or grants())
    assert engine.version == "1"
    documents[0] = make_engine_document([address], "2")
    owner.update_document()
    poll()
    request_slot(2)
    for _ in range(5):
        poll()
    # The engine is drained first, so the running request completes.
    assert grants() == [1]
    assert len(engine._orders) == 1
    (grant,) = stream.of(SlotGrant)
    level[0] = GUARDED
    owner.handle_done(SlotDone(SHARD, 1, grant.slot, OUTCOME_WHOLE, 1.0, "", 1.0, 2.0))
    poll()
    assert len(engine._orders) == 1
    level[0] = FULL
    wait_until(lambda: poll() or engine._backend.is_loading)
    assert grants() == [1]
    while engine._backend.is_loading:
        poll()
        assert grants() == [1] or not engine._backend.is_loading
    wait_until(lambda: poll() or grants() == [1, 2])
    assert engine.version == "2"
    request_slot(3)
    poll()
    assert owner.servers["s1"].limit.limit == 1
    assert grants() == [1, 2]
    response = urllib3.request("GET", f"http://{address}/_record", retries=False).json()
    assert response["overloads"] == 0
