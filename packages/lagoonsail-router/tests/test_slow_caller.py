"""A caller that does not read must stall its engine, not fill the router's memory."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_lab.deployments import account_key, make_cordero
from lagoonsail_lab.fleet import Fleet

TOKENS = 400_000
"""About 100 MB of events, each with the request's ID."""
REQUEST_ID = "r" * 128
MAX_GROWTH_MB = 30.0
"""Maximum growth of the router's memory; the answer is three times as long."""
PROGRESS_WINDOW_S = 1.0
"""Time in which an engine that is not stalled makes progress."""


@pytest.fixture
def fleet():
    deployment = make_cordero(1, 1, 1)
    service = deployment.find("asistente")
    service.options.update(token_ms=0, first_ms=0, cold_factor=1, warm_after=1)
    service.limits["max_cost"] = TOKENS
    with Fleet([deployment]) as fleet:
        yield fleet


@pytest.fixture
def start_stream(fleet):
    """Starts a stream; returns the connection without reading the answer."""
    connections = []

    def start_one():
        host, port = fleet.routers["cordero-1"].callers.split(":")
        connection = green_socket.create_connection((host, int(port)))
        connections.append(connection)
        key = account_key("cordero", "asistente", "prensa")
        body = json.dumps({"prompt": f"a #tokens={TOKENS}", "stream": True})
        connection.sendall(
            "POST /cordero/asistente/v1/completions HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {key}\r\nX-Request-Id: {REQUEST_ID}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        return connection

    yield start_one
    for connection in connections:
        connection.close()


def last_run(fleet):
    return fleet.records()["cordero/asistente-1"]["runs"][-1]


def read_memory_mb(fleet):
    pid = fleet.routers["cordero-1"].process.pid
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024.0


def test_engine_waits_for_a_caller_that_does_not_read(fleet, start_stream, wait_until):
    before_mb = read_memory_mb(fleet)
    connection = start_stream()
    assert connection.recv(1000).startswith(b"HTTP/1.1 200")
    costs = [0.0, last_run(fleet)["cost"]]
    while costs[-1] > costs[-2]:
        eventlet.sleep(PROGRESS_WINDOW_S)
        costs.append(last_run(fleet)["cost"])
    assert 0 < costs[-1] < TOKENS
    assert read_memory_mb(fleet) - before_mb < MAX_GROWTH_MB
    connection.close()
    wait_until(lambda: last_run(fleet)["state"] == "cancelled")
