"""A server that turns cold is detected from its load reports alone, within 4 s."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import Inventory
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.context import run_periodically
from lagoonsail_router.daemon import POLL_INTERVAL_MS
from lagoonsail_router.load_reports import REPORT_LAG_MS, REPORT_TIMEOUT_MS
from lagoonsail_router.right import FULL
from lagoonsail_router.shard_owner import ShardOwner
from lagoonsail_standins.backend import Backend, BackendOptions
from lagoonsail_standins.model_engine import Engine, make_engine_app

SHARD = "cordero/registro@sierra-central"
DETECTION_LIMIT_MS = 4000.0
CLOCK = Clock()


@pytest.fixture
def start_owner(real_time_context, key_store, make_document, make_stream):
    """Starts an owner that polls at the router's interval, with one call per server."""
    owners = []

    def start(addresses):
        text = make_document(kind="engine")
        for number, address in enumerate(addresses, 1):
            text = text.replace(f"127.0.0.1:900{number}", address)
        document = parse_document(text)
        right = SimpleNamespace(level=lambda: FULL, leaving=set())
        owner = ShardOwner(
            real_time_context, right, key_store, SHARD, 1, lambda: document, list, list
        )
        owners.append(owner)
        running = [[1, n, f"s{n}", "norte", 0.0, 0.0] for n in (1, 2)]
        owner.handle_inventory(make_stream("cordero-2"), Inventory(SHARD, running))
        run_periodically(
            real_time_context,
            POLL_INTERVAL_MS,
            lambda: owner._is_stopped or owner.poll(),
            "poll",
        )
        return owner

    yield start
    for owner in owners:
        owner.stop()


def test_time_to_detect_a_cold_server_is_within_the_limit():
    assert REPORT_TIMEOUT_MS < POLL_INTERVAL_MS
    assert REPORT_LAG_MS + POLL_INTERVAL_MS + REPORT_TIMEOUT_MS < DETECTION_LIMIT_MS


@pytest.mark.parametrize("report_ms", [0.0, 500.0])
@pytest.mark.parametrize("fault", ["none", "other server silent", "store silent"])
def test_cold_server_in_use_is_detected_from_its_reports(
    serve, start_owner, wait_until, store, monkeypatch, report_ms, fault
):
    backend = Backend(BackendOptions("e", 2, 1, 0, 4.0, True))
    app = make_engine_app(backend, Engine(backend, 2.0, 2.0, REPORT_LAG_MS, True))
    asked = []

    def slow_app(environ, start_response):
        if environ["PATH_INFO"] == "/metrics":
            asked.append(1)
            eventlet.sleep(report_ms / 1000.0)
        return app(environ, start_response)

    def silent_app(environ, start_response):
        eventlet.sleep(60.0)

    def wait_long(_shard):
        eventlet.sleep(60.0)
        return Unavailable("silent")

    if fault == "store silent":
        monkeypatch.setattr(store, "list", wait_long)
    other = silent_app if fault == "other server silent" else app
    owner = start_owner([serve(slow_app), serve(other)])
    limit = owner.servers["s1"].limit
    limit.restore("", 2, CLOCK.now_ms())
    # A report is only considered if it was made after the last change of the limit.
    eventlet.sleep((REPORT_LAG_MS + POLL_INTERVAL_MS) / 1000.0)
    assert limit.limit == 2
    # The worst case: the next report is requested almost one interval from now.
    before = len(asked)
    wait_until(lambda: len(asked) > before)
    cold_since_ms = CLOCK.now_ms()
    backend.turn_cold()
    wait_until(lambda: limit.limit == 1, bound_s=DETECTION_LIMIT_MS / 500.0)
    assert limit.last_setback == "reported_cold"
    assert REPORT_LAG_MS <= CLOCK.now_ms() - cold_since_ms <= DETECTION_LIMIT_MS
