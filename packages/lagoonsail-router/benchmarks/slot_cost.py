"""Processor time of the slot messages of a call at its entry router and the owner.

Runs two processes: the owner of one shard, and this process with entry routers that run
calls through it, each on its own stream. A call requests a slot, starts, reports its
cost twice and returns the slot; nothing is sent to a backend server. The cost of the
same calls without messages, on the same idle streams, is subtracted. In a second phase,
the routers run calls back to back, so that both processes are always busy, as on a node
that relays tokens; an idle process also pays for each wake-up. In a third phase, there
are more calls than slots, so that calls wait at the owner. Prints one JSON object after
about 35 s.

    python packages/lagoonsail-router/benchmarks/slot_cost.py

With `--before`, this file measures the packages of another checkout alternately with
those of this one, and prints the costs of both and their ratio. The other checkout must
define the names that this file imports and calls:

    python packages/lagoonsail-router/benchmarks/slot_cost.py --before CHECKOUT
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

from lagoonsail_config.document import parse_document
from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import (
    OUTCOME_WHOLE,
    Heartbeat,
    Hello,
    Inventory,
    SlotCancel,
    SlotDone,
    SlotProgress,
    SlotRequest,
    SlotStart,
)
from lagoonsail_lab.bare_router import DOCUMENT, SERVER, SHARD, make_context
from lagoonsail_peer.heartbeats import HeartbeatScheduler
from lagoonsail_peer.link import PeerLink
from lagoonsail_peer.server import PeerServer
from lagoonsail_peer.stream import StreamOptions
from lagoonsail_peer.wire import TRANSPORT_TCP
from lagoonsail_router.configuration import Configuration
from lagoonsail_router.context import RouterContext
from lagoonsail_router.held_slot import make_done
from lagoonsail_router.right import FULL
from lagoonsail_router.shard_owner import INVENTORY_WAIT_MS, ShardOwner
from lagoonsail_router.slot_client import SlotClient

STREAMS = 24
"""Entry routers, each with its own stream: calls are spread over 24 owners."""
CALLS_PER_S = 33.3
"""Calls that all routers start per second: the target rate of a node."""
PHASE_MS = 8000.0
"""Duration of the phase without messages and of the phase with calls."""
BUSY_MS = 4000.0
"""Duration of a phase in which calls run back to back."""
PROGRESS_INTERVAL_MS = 700.0
"""Interval between cost reports of a call; longer than a heartbeat, as in practice."""
PROGRESS_COSTS = (128.0, 256.0)
"""Costs that a call reports while it runs."""
TOTAL_COST = 382.0
"""Total cost of a call: the mean at the target load."""
BACKLOG_CALLERS = 20
"""Callers of each router in the last phase: 480 calls for the 336 slots, as at the
target, where 38 calls of 13 s each per second need slots of a shard."""
OWNER = "cordero-1"
SHARED_KEY = b"benchmark"


def stream_options(context: RouterContext, name: str, dispatch) -> StreamOptions:
    """Return the stream options of a server or a link, with the default settings.

    Args:
        context: The router's shared state.
        name: Name of the router on the stream.
        dispatch: Takes a stream and its messages.
    """
    settings, clock = context.settings, context.clock
    return StreamOptions(
        make_hello=lambda: Hello(name, 1, settings.region, clock.now_ms()),
        timeline=context.timeline,
        on_open=lambda stream, hello: None,
        on_messages=dispatch,
        on_close=lambda stream: None,
        flush_ms=settings.flush_ms,
        silence_ms=settings.silence_ms,
        make_heartbeat=lambda: Heartbeat(clock.now_ms(), 2**63),
        heartbeats=HeartbeatScheduler(settings.heartbeat_ms, clock),
        clock=clock,
    )


def make_dispatch(handlers: dict):
    """Return a function that dispatches messages to handlers by type."""

    def dispatch(stream, messages) -> None:
        for message in messages:
            handler = handlers.get(type(message))
            if handler:
                handler(stream, message)

    return dispatch


def serve_owner() -> None:
    """Run the owner of the shard, and print its port."""
    context = make_context(OWNER)
    # 42 servers, as a shard has at the target.
    servers = "".join(
        SERVER.format(number=number, port=9000 + number) for number in range(42)
    )
    document = parse_document(DOCUMENT.format(servers=servers, digest="0" * 64))
    right = SimpleNamespace(level=lambda: FULL, leaving=set())
    owner = ShardOwner(
        context, right, None, SHARD, 1, lambda: document, lambda: [], lambda: []
    )
    handlers = {
        Inventory: owner.handle_inventory,
        SlotRequest: owner.handle_request,
        SlotCancel: owner.handle_cancel,
        SlotStart: lambda stream, message: owner.handle_start(message),
        SlotProgress: lambda stream, message: owner.handle_progress(message),
        SlotDone: lambda stream, message: owner.handle_done(message),
    }
    options = stream_options(context, OWNER, make_dispatch(handlers))
    server = PeerServer("127.0.0.1:0", SHARED_KEY, options, TRANSPORT_TCP)
    server.start()
    print(server.port, flush=True)
    while True:
        eventlet.sleep(60)


class EntryRouter:
    """An entry router: a link to the owner and a slot client."""

    __slots__ = ("handlers", "link", "slot_client")

    def __init__(self, context, configuration, number: int, address: str) -> None:
        name = f"cordero-{number + 2}"
        self.handlers: dict = {}
        options = stream_options(context, name, make_dispatch(self.handlers))
        self.link = PeerLink(address, SHARED_KEY, options, TRANSPORT_TCP)
        self.link.start()
        peers = SimpleNamespace(
            handle=self.handlers.__setitem__,
            subscribe=lambda on_open, on_close: None,
            stream_to=lambda owner: self.link.stream,
        )
        self.slot_client = SlotClient(context, configuration, peers, None)

    def call(
        self, number: int, now_ms: float, interval_ms: float = PROGRESS_INTERVAL_MS
    ) -> None:
        """Run one call."""
        slot_client = self.slot_client
        call = slot_client.request_slot(
            SHARD, "norte", 382.0, [2**63 + 1, 2**63 + 2], 0, number, now_ms
        )
        grant = call.event.wait()
        slot_client.start(grant)
        for cost in PROGRESS_COSTS:
            eventlet.sleep(interval_ms / 1000.0)
            slot_client.progress(grant, cost)
        eventlet.sleep(interval_ms / 1000.0)
        slot_client.finish(
            make_done(grant, OUTCOME_WHOLE, TOTAL_COST, "i1", 1400.0, 12860.0)
        )


def sleep_for_call() -> None:
    """Sleep for the duration of a call, without messages."""
    for _ in range(len(PROGRESS_COSTS) + 1):
        eventlet.sleep(PROGRESS_INTERVAL_MS / 1000.0)


def run_phase(run_call) -> int:
    """Start calls at the rate of a node, and return their number after all have ended.

    Args:
        run_call: Runs a call; takes its number.
    """
    count = int(PHASE_MS / 1000.0 * CALLS_PER_S)
    running = []
    for number in range(count):
        running.append(eventlet.spawn(run_call, number))
        eventlet.sleep(1.0 / CALLS_PER_S)
    for task in running:
        task.wait()
    return count


def run_busy(routers: list[EntryRouter], clock: Clock, callers: int) -> int:
    """Run calls back to back on each router, and return their number.

    Args:
        routers: The entry routers.
        clock: The clock.
        callers: Concurrent calls of each router.
    """
    until_ms = clock.now_ms() + BUSY_MS
    count = 0

    def loop(router: EntryRouter) -> None:
        nonlocal count
        while clock.now_ms() < until_ms:
            count += 1
            router.call(count, clock.now_ms(), 0.0)

    for task in [eventlet.spawn(loop, router) for router in routers * callers]:
        task.wait()
    return count


def processor_us(pid: int) -> float:
    """Return the processor time that a process has used, in microseconds."""
    # The ID of another process's CPU clock, as clock_getcpuclockid computes it.
    return time.clock_gettime((~pid << 3) | 2) * 1e6


def count_messages(routers: list[EntryRouter]) -> Counter:
    """Return the sums of the counters of all links."""
    total: Counter = Counter()
    for router in routers:
        total.update(router.link.counters)
    return total


def measure(port: int, pids: dict[str, int]) -> dict:
    """Run all phases and return the costs of a call.

    Args:
        port: Port of the owner.
        pids: Processes by role.
    """
    context = make_context("cordero-2")
    configuration = Configuration(context)
    fields = {"owner": OWNER, "incarnation": 1, "lease": 7, "epoch": 1}
    record = json.dumps({**fields, "state": "owned"})
    configuration.apply(f"shards/{SHARD}", 1, record)
    address = f"127.0.0.1:{port}"
    routers = [
        EntryRouter(context, configuration, number, address)
        for number in range(STREAMS)
    ]
    while not all(item.link.stream and item.link.stream.name for item in routers):
        eventlet.sleep(0.01)
    # A new owner grants no slots before then.
    eventlet.sleep(INVENTORY_WAIT_MS / 1000.0 + 0.2)
    # The setup of each router's session with the owner is not part of a call.
    for item in routers:
        item.slot_client.request_slot(
            SHARD, "norte", 1.0, [], 0, 0, context.clock.now_ms()
        ).event.wait()

    def call(number: int) -> None:
        routers[number % STREAMS].call(number, context.clock.now_ms())

    samples = [({role: processor_us(pid) for role, pid in pids.items()}, Counter())]
    for run_call in (lambda number: sleep_for_call(), call):
        before = count_messages(routers)
        calls = run_phase(run_call)
        used = {role: processor_us(pid) for role, pid in pids.items()}
        samples.append((used, count_messages(routers) - before))
    (start, _), (middle, idle), (end, loaded) = samples
    result = {
        f"{role}_us_per_call": round(
            (end[role] + start[role] - 2 * middle[role]) / calls
        )
        for role in pids
    }
    result["sum_us_per_call"] = sum(result.values())
    result["ms_per_s_of_a_node"] = round(
        result["sum_us_per_call"] * CALLS_PER_S / 1000.0, 1
    )
    for key in ("frames_sent", "frames_received", "messages_sent", "bytes_sent"):
        result[f"{key}_per_call"] = round((loaded[key] - idle[key]) / calls, 2)
    seconds = PHASE_MS / 1000.0 * STREAMS
    result["idle_us_per_stream_and_second"] = {
        role: round((middle[role] - start[role]) / seconds) for role in pids
    }
    result["busy"] = measure_busy(routers, context.clock, pids, 1)
    result["backlogged"] = measure_busy(routers, context.clock, pids, BACKLOG_CALLERS)
    return result


def measure_busy(
    routers: list[EntryRouter], clock: Clock, pids: dict[str, int], callers: int
) -> dict:
    """Run calls back to back and return the costs of a call.

    Args:
        routers: The entry routers.
        clock: The clock.
        pids: Processes by role.
        callers: Concurrent calls of each router.
    """
    before = {role: processor_us(pid) for role, pid in pids.items()}
    calls = run_busy(routers, clock, callers)
    costs = {
        f"{role}_us_per_call": round((processor_us(pid) - before[role]) / calls)
        for role, pid in pids.items()
    }
    costs["sum_us_per_call"] = sum(costs.values())
    costs["ms_per_s_of_a_node"] = round(costs["sum_us_per_call"] * CALLS_PER_S / 1e3, 1)
    return costs


def run_benchmark(checkout: str) -> dict:
    """Run the benchmark with the packages of a checkout, and return its result.

    Args:
        checkout: Root of the checkout.
    """
    sources = sorted(str(path) for path in Path(checkout).glob("packages/*/src"))
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sources)}
    command = [sys.executable, __file__]
    run = subprocess.run(command, stdout=subprocess.PIPE, env=environment, check=True)
    return json.loads(run.stdout)


def compare(before: str, rounds: int) -> dict:
    """Measure two checkouts alternately.

    Args:
        before: Root of the other checkout.
        rounds: Number of measurements of each.

    Returns:
        Microseconds per call of both, and the ratio of their minima: other work on the
        machine can only increase a cost.
    """
    results: dict[str, list[dict]] = {"before": [], "after": []}
    for _ in range(rounds):
        results["before"].append(run_benchmark(before))
        results["after"].append(run_benchmark(str(Path(__file__).parents[3])))
    summary: dict = {"load": os.getloadavg()}
    for phase in ("paced", "busy", "backlogged"):
        for key in ("entry_us_per_call", "owner_us_per_call", "sum_us_per_call"):
            costs = {
                side: [
                    run[key] if phase == "paced" else run[phase][key] for run in runs
                ]
                for side, runs in results.items()
            }
            costs["ratio"] = round(min(costs["after"]) / min(costs["before"]), 2)
            summary[f"{phase}_{key}"] = costs
    return summary


def main() -> None:
    """Run the part named on the command line, by default the whole benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("part", nargs="?", choices=("owner",))
    parser.add_argument("--before", help="another checkout to compare with")
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    if options.part == "owner":
        serve_owner()
        return
    if options.before:
        print(json.dumps(compare(options.before, options.rounds), indent=2))
        return
    owner = subprocess.Popen(
        [sys.executable, __file__, "owner"], stdout=subprocess.PIPE, text=True
    )
    try:
        port = int(owner.stdout.readline())
        result = {"load_before": os.getloadavg()}
        result |= measure(port, {"entry": os.getpid(), "owner": owner.pid})
        result["load_after"] = os.getloadavg()
    finally:
        owner.kill()
        owner.wait()
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
