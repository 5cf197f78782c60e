"""CPU time that a shard's owner spends on reading the load of its backend servers.

The owner has the 42 engines of a shard at the target scale, all served by one stand-in
in a separate process, and polls once a second as a router does: first idle, then with
one request on each engine, then with a role for each in the document, so that their
states are read too. Prints one JSON object after about 36 s.

    python packages/lagoonsail-router/benchmarks/report_cost.py
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

from lagoonsail_config.document import parse_document
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import Inventory
from lagoonsail_lab.bare_router import DOCUMENT, SERVER, SHARD, make_context
from lagoonsail_router.right import FULL
from lagoonsail_router.shard_owner import ShardOwner

SERVERS = 42
"""Number of engines of the shard."""
ROLE = "mixed"
"""Role of the engines."""
POLLS = 11
"""Polls per phase; the first one is not measured."""
METRICS = "".join(f'engine:m_{n}{{model="m"}} {n}.0\n' for n in range(20))
EVENTS = '{"events": []}'
STATE = {"model": "m", "version": "1", "adapters": ["a"], "role": ROLE}
ORDERS = json.dumps({**STATE, "loading": False, "orders": []})


def serve() -> None:
    """Print the port, then serve load reports, cache events and engine states."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    print(listener.getsockname()[1], flush=True)
    running = 0
    while True:
        connection, _ = listener.accept()
        path = connection.recv(65_536).split(b" ", 2)[1]
        if path == b"/run":
            running = 1
        body = f"engine:num_requests_running {running}\n{METRICS}"
        if path.startswith(b"/cache_events"):
            body = EVENTS
        elif path == b"/orders":
            body = ORDERS
        head = "HTTP/1.1 200 OK\r\nX-Server-Incarnation: i1\r\nConnection: close\r\n"
        response = f"{head}Content-Length: {len(body)}\r\n\r\n{body}"
        connection.sendall(response.encode())
        connection.close()


def make_owner(port: int) -> ShardOwner:
    """Return the owner of a shard whose servers all listen on this port."""
    context = make_context("cordero-1")
    servers = "".join(SERVER.format(number=n, port=9000 + n) for n in range(SERVERS))
    document = parse_document(DOCUMENT.format(servers=servers, digest="0" * 64))
    for entry in document.servers.values():
        entry.address = f"127.0.0.1:{port}"
    right = SimpleNamespace(level=lambda: FULL, leaving=set())
    owner = ShardOwner(
        context, right, None, SHARD, 1, lambda: document, lambda: [], lambda: []
    )
    # Without a key-value service there are no keys to load.
    owner.keys.is_loaded = True
    return owner


def run_polls(owner: ShardOwner) -> float:
    """Poll as a router does, and return the CPU time per server and poll in us."""
    for number in range(POLLS):
        if number == 1:
            start_s = time.process_time()
        owner.poll()
        owner.grant_waiting()
        eventlet.sleep(1.0)
    cpu_s = time.process_time() - start_s
    return round(cpu_s * 1e6 / SERVERS / (POLLS - 1), 1)


def measure(port: int) -> dict:
    """Run all phases and return their CPU times in us per server and poll."""
    owner = make_owner(port)
    idle_us = run_polls(owner)
    socket.create_connection(("127.0.0.1", port)).sendall(b"GET /run HTTP/1.1\r\n\r\n")
    stream = SimpleNamespace(name="cordero-2", incarnation=1, send=lambda message: None)
    running = [[1, n + 1, f"s{n}", "norte", 0.0, 0.0] for n in range(SERVERS)]
    owner.handle_inventory(stream, Inventory(SHARD, running))
    in_use_us = run_polls(owner)
    for server in owner.servers.values():
        server.entry.role = ROLE
    managed_us = run_polls(owner)
    return {
        "idle_us": idle_us,
        "in_use_us": in_use_us,
        "managed_us": managed_us,
        "servers": SERVERS,
    }


def main() -> None:
    """Run the stand-in or the benchmark."""
    if sys.argv[1:] == ["serve"]:
        serve()
        return
    command = [sys.executable, __file__, "serve"]
    server = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        result = {"load_before": os.getloadavg()}
        result |= measure(int(server.stdout.readline()))
        result["load_after"] = os.getloadavg()
    finally:
        server.kill()
        server.wait()
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
