"""A server that leaves unannounced, soon after an outage of the store.

The server's entry is removed more than `contact-ms` after the store is back. The
server serves on for `drain-ms` and a little longer, and then ends.
"""

from __future__ import annotations

import random
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from platform_standin import (  # noqa: E402
    DRAIN_MS,
    Case,
    Client,
    Server,
    put_manifest,
    route,
    run_case,
)

CLIENTS = 18
OUTAGE_S = 4.5
"""Length of the outage; `platform_down` has up to 9 s in the site files."""
CALM_S = 3.3
"""Time from the end of the outage to the removal, above `contact-ms` of 3 s."""
LINGER_S = 0.35
"""How much longer than `drain-ms` the server serves."""


def run_client(case: Case, number: int, port: int, is_over: threading.Event) -> None:
    """Send requests one after the other until the case is over."""
    client = Client(case.record, port)
    pauses = random.Random(number)
    count = 0
    while not is_over.is_set():
        count += 1
        method, name = ("POST", "assign") if number % 2 else ("GET", "lookup")
        client.ask(method, f"/{name}/{count}", f"c{number}-{count}")
        time.sleep(pauses.uniform(0.0, 0.06))
    client.close()


def body(case: Case) -> int:
    """Play the case and return its exit code."""
    record = case.record
    servers = [
        Server(record, case.store, f"i-{number}", "registro") for number in range(4)
    ]
    put_manifest(
        case.store,
        7,
        [
            route("lookup", "idempotent", "registro"),
            route("assign", "non_idempotent", "registro"),
        ],
    )
    routers = [case.start_router(f"edge-{number}") for number in range(3)]
    if not all(router.wait_ready() for router in routers):
        return 2
    is_over = threading.Event()
    clients = [
        threading.Thread(
            target=run_client,
            args=(case, number, routers[number % 3].port, is_over),
            daemon=True,
        )
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    time.sleep(4.0)
    if case.has_trouble:
        case.store.set_down(True)
    time.sleep(OUTAGE_S)
    if case.has_trouble:
        case.store.set_down(False)
    time.sleep(CALM_S)

    leaving = servers[0]
    case.store.remove(f"servers/{leaving.server_id}")
    removed_s = record.now()
    record.say(f"store: the entry of {leaving.server_id} is removed")
    time.sleep(DRAIN_MS / 1000.0 + LINGER_S)
    leaving.end()
    record.say(f"{leaving.server_id} ends")
    time.sleep(2.0)
    is_over.set()
    for client in clients:
        client.join(5.0)

    late = [
        request
        for request in leaving.requests
        if request.at > removed_s + DRAIN_MS / 1000.0
    ]
    lost = [request for request in late if not request.is_answered]
    for request in late:
        after_ms = 1000.0 * (request.at - removed_s)
        record.write(f"late: {request.request_id}, {after_ms:.0f} ms after the removal")
    for request in lost:
        record.write(f"lost with the server: {request.request_id}")
    runs = sum(len(server.requests) for server in servers)
    record.say(
        f"{runs} runs; DRAIN: {len(late)} requests reached {leaving.server_id} later "
        f"than {DRAIN_MS} ms after its removal, and {len(lost)} were lost when it ended"
    )
    if not runs:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    run_case(FOLDER, body)
