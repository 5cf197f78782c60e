"""CPU time that an entry router spends on waiting calls.

200 callers wait for a slot that is never granted, then 200 for the first byte of a
response; the connection of each caller is checked periodically. Then 33 calls a second
get their slot and the first byte of their response quickly, in an otherwise idle
process. Prints one JSON object: the CPU time per waiting call and second in ms, and the
CPU time per call that does not have to wait in us.

    python packages/lagoonsail-router/benchmarks/wait_cost.py
"""

from __future__ import annotations

import json
import socket
import time
from types import SimpleNamespace

from lagoonsail_config.document import parse_document
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import SlotGrant
from lagoonsail_lab.bare_router import DOCUMENT, SERVER, SHARD, make_context
from lagoonsail_router.call_queue import CallQueue
from lagoonsail_router.caller_watch import make_caller_watch
from lagoonsail_router.configuration import Configuration
from lagoonsail_router.entry import Entry

CALLS = 200
"""Number of calls that wait concurrently."""
CALLS_PER_S = 33.3
"""Load of a node at the target scale."""
DURATION_S = 5.0
"""Duration of each measurement."""


def make_call(document) -> SimpleNamespace:
    """Return a call that waits for as long as the benchmark runs."""
    return SimpleNamespace(
        document=document,
        account="norte",
        key_hash=0,
        estimate=0.0,
        prefix=[],
        number=1,
        arrived_ms=float("inf"),
        may_have_run=False,
        is_repeatable=True,
    )


def make_caller_checks() -> tuple[list, list]:
    """Return functions that check connections, and the connections."""
    pairs = [socket.socketpair() for _ in range(CALLS)]
    inputs = [SimpleNamespace(get_socket=lambda own=own: own) for own, _ in pairs]
    return [make_caller_watch({"eventlet.input": item}) for item in inputs], pairs


def grant_after_2_ms(*_arguments) -> SimpleNamespace:
    """Return a waiting call that gets its slot after 2 ms."""
    event = eventlet.event.Event()
    hub = eventlet.hubs.get_hub()
    grant = SlotGrant(1, 1, SHARD, 1, "s1", 0.0)
    hub.schedule_call_global(0.002, event.send, grant)
    return SimpleNamespace(event=event)


def respond_after_10_ms() -> SimpleNamespace:
    """Return a response after the time that a plain service takes."""
    eventlet.sleep(0.01)
    return SimpleNamespace(status=200)


def measure_waiting_calls(run_call, caller_checks: list) -> float:
    """Return the CPU time per call and second in ms.

    Args:
        run_call: Runs a call, given a function that checks whether its caller left.
        caller_checks: One such function per call.
    """
    tasks = [eventlet.spawn(run_call, is_gone) for is_gone in caller_checks]
    eventlet.sleep(0.5)
    start_s = time.process_time()
    eventlet.sleep(DURATION_S)
    cpu_s = time.process_time() - start_s
    for task in tasks:
        task.kill()
    return round(cpu_s * 1000.0 / CALLS / DURATION_S, 3)


def measure_passing_calls(run_call, is_gone) -> float:
    """Return the CPU time per call that does not have to wait, in us.

    Args:
        run_call: Runs a call, given a function that checks whether its caller left.
        is_gone: Such a function.
    """
    count = int(CALLS_PER_S * DURATION_S)
    start_s = time.process_time()
    for _ in range(count):
        eventlet.spawn_n(run_call, is_gone)
        eventlet.sleep(1.0 / CALLS_PER_S)
    return round((time.process_time() - start_s) * 1e6 / count)


def main() -> None:
    """Run the benchmark and print its results."""
    context = make_context("cordero-1")
    configuration = Configuration(context)
    text = DOCUMENT.format(servers=SERVER.format(number=1, port=9000), digest="0" * 64)
    configuration.apply("documents/cordero/asistente", 1, text)
    document = parse_document(text)
    document.queue_limit = 2 * CALLS
    slot_client = SimpleNamespace(
        request_slot=lambda *_: SimpleNamespace(event=eventlet.event.Event()),
        cancel=lambda waiting: None,
        is_open=lambda shard: False,
        start=lambda grant: None,
    )
    queue = CallQueue(context, configuration, slot_client, lambda: False)
    entry = Entry(context, configuration, slot_client, queue)
    attempt = SimpleNamespace(send=lambda: eventlet.sleep(3600), abort=lambda: None)
    call = make_call(document)
    caller_checks, _pairs = make_caller_checks()

    def wait(is_gone) -> None:
        queue.wait(call, is_gone)

    def run(is_gone) -> None:
        # The part of an attempt between its start and its first byte.
        entry._exchange(call, None, attempt, is_gone)

    results = {
        "waits_for_a_slot_ms_per_s": measure_waiting_calls(wait, caller_checks),
        "waits_for_an_answer_ms_per_s": measure_waiting_calls(run, caller_checks),
    }
    slot_client.request_slot = grant_after_2_ms
    attempt.send = respond_after_10_ms

    def pass_through(is_gone) -> None:
        queue.wait(call, is_gone)
        entry._exchange(call, None, attempt, is_gone)

    results["passes_us"] = measure_passing_calls(pass_through, caller_checks[0])
    print(json.dumps(results))


if __name__ == "__main__":
    main()
