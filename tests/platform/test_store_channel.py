"""Answers of the store that do not end."""

from __future__ import annotations

import socket
import threading
from collections import Counter

import pytest
from lagoonsail_platform_standin.fleet import serve_http
from lagoonsail_platform_standin.store import StandInStore

from lagoonsail_core.clock import Clock
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.store_access import HistoryLost
from lagoonsail_platform import store_channel
from lagoonsail_platform.store_calls import make_store_calls
from lagoonsail_platform.store_channel import CALL_TIMEOUT_MS, StoreChannel

ENDLESS_BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nA: "
WAIT_MS = 5000.0


@pytest.fixture
def serve_endless():
    """Serve connections with a start and then bytes without end."""
    servers = []

    def serve(sock: socket.socket, start: bytes) -> None:
        try:
            connection, _ = sock.accept()
            connection.recv(65_536)
            connection.sendall(start)
            while True:
                connection.sendall(b"x" * 60_000)
        except OSError:
            return

    def start_server(start: bytes) -> str:
        sock = socket.create_server(("127.0.0.1", 0))
        servers.append(sock)
        threading.Thread(target=serve, args=(sock, start), daemon=True).start()
        return f"127.0.0.1:{sock.getsockname()[1]}"

    yield start_server
    for sock in servers:
        sock.close()


# CONFIG: a router asked for the same long history again and again.
def test_history_that_is_too_long_is_listed_instead(monkeypatch):
    monkeypatch.setattr(store_channel, "MAX_ANSWER_BYTES", 100_000)
    store = StandInStore()
    calls = make_store_calls(serve_http(store.serve), Clock())
    revision = calls.list_all().revision
    for number in range(40):
        store.put("op/config", b"%d" % number * 2000)
    assert isinstance(calls.watch(revision, 1000.0), HistoryLost)
    listing = calls.list_all()
    assert listing.items[0].value == b"39" * 2000
    store.put("op/config", b"last")
    assert calls.watch(listing.revision, 1000.0).items[0].value == b"last"


@pytest.mark.parametrize("start", [ENDLESS_HEAD, ENDLESS_BODY])
def test_answer_without_end_is_given_up_before_the_timeout(serve_endless, start):
    clock = Clock()
    channel = StoreChannel(serve_endless(start), clock)
    started_ms = clock.now_ms()
    reply = channel.call("GET", "/-/kv-watch", wait_ms=WAIT_MS)
    assert isinstance(reply, Unavailable)
    assert "bytes" in reply.reason
    assert clock.now_ms() - started_ms < WAIT_MS + CALL_TIMEOUT_MS


def test_calls_are_counted_by_purpose_though_they_fail():
    """An outage must not hide the calls that were made."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    counts = Counter()
    channel = StoreChannel(address, Clock(), counts)
    for path in ("/-/kv-range?prefix=", "/-/kv-lease", "/-/kv-keep/7", "/-/kv-txn"):
        assert isinstance(channel.call("POST", path), Unavailable)
    assert counts == {"listing": 1, "lease": 1, "renewal": 1, "other": 1}
