"""Processor time that calls cost an entry router while they wait.

200 callers wait for a slot that nobody grants, and 200 for the first byte of an answer;
each has a connection that is looked at again and again. Then 33 calls a second get
their slot and the first byte of their answer soon, in a process that is otherwise idle.
Prints one JSON object: the milliseconds of processor time for a waiting call and
second, and the microseconds for a call that need not wait.

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
"""Calls that wait at once."""
CALLS_PER_S = 33.3
"""What a node takes at the target."""
DURATION_S = 5.0
"""How long they wait."""


def make_call(document) -> SimpleNamespace:
    """Return a call that waits for as long as the benchmark takes."""
    return SimpleNamespace(
        document=document,
        account="norte",
        key_hash=0,
        estimate=0.0,
        prefix=[],
        number=1,
        since_ms=float("inf"),
        may_have_run=False,
        is_repeatable=True,
    )


def make_watches() -> tuple[list, list]:
    """Return functions that look at connections, and the connections."""
    pairs = [socket.socketpair() for _ in range(CALLS)]
    inputs = [SimpleNamespace(get_socket=lambda own=own: own) for own, _ in pairs]
    return [make_caller_watch({"eventlet.input": item}) for item in inputs], pairs


def grant_soon(*_arguments) -> SimpleNamespace:
    """Return a waiting call that gets its slot after 2 ms."""
    event = eventlet.event.Event()
    hub = eventlet.hubs.get_hub()
    grant = SlotGrant(1, 1, SHARD, 1, "s1", 0.0)
    hub.schedule_call_global(0.002, event.send, grant)
    return SimpleNamespace(event=event)


def answer_soon() -> SimpleNamespace:
    """Return an answer after the time that a plain service takes."""
    eventlet.sleep(0.01)
    return SimpleNamespace(status=200)


def measure(begin, watches: list) -> float:
    """Return the milliseconds of a call and second.

    Args:
        begin: Runs a call; takes the function that looks at its caller.
        watches: One such function for each call.
    """
    tasks = [eventlet.spawn(begin, is_gone) for is_gone in watches]
    eventlet.sleep(0.5)
    before_s = time.process_time()
    eventlet.sleep(DURATION_S)
    spent_s = time.process_time() - before_s
    for task in tasks:
        task.kill()
    return round(spent_s * 1000.0 / CALLS / DURATION_S, 3)


def measure_rate(begin, is_gone) -> float:
    """Return the microseconds of a call that need not wait.

    Args:
        begin: Runs a call; takes the function that looks at its caller.
        is_gone: Such a function.
    """
    count = int(CALLS_PER_S * DURATION_S)
    before_s = time.process_time()
    for _ in range(count):
        eventlet.spawn_n(begin, is_gone)
        eventlet.sleep(1.0 / CALLS_PER_S)
    return round((time.process_time() - before_s) * 1e6 / count)


def main() -> None:
    """Print the figures."""
    context = make_context("cordero-1")
    configuration = Configuration(context)
    text = DOCUMENT.format(servers=SERVER.format(number=1, port=9000), digest="0" * 64)
    configuration.apply("documents/cordero/asistente", 1, text)
    document = parse_document(text)
    document.queue_limit = 2 * CALLS
    desk = SimpleNamespace(
        ask=lambda *_: SimpleNamespace(event=eventlet.event.Event()),
        cancel=lambda waiting: None,
        is_open=lambda shard: False,
        start=lambda grant: None,
    )
    queue = CallQueue(context, configuration, desk, lambda: False)
    entry = Entry(context, configuration, desk, queue)
    attempt = SimpleNamespace(send=lambda: eventlet.sleep(3600), abort=lambda: None)
    call = make_call(document)
    watches, _pairs = make_watches()

    def wait(is_gone) -> None:
        queue.wait(call, is_gone)

    def run(is_gone) -> None:
        # The part of an attempt between its start and its first byte.
        entry._exchange(call, None, attempt, is_gone)

    figures = {
        "waits_for_a_slot_ms_per_s": measure(wait, watches),
        "waits_for_an_answer_ms_per_s": measure(run, watches),
    }
    desk.ask = grant_soon
    attempt.send = answer_soon

    def pass_through(is_gone) -> None:
        queue.wait(call, is_gone)
        entry._exchange(call, None, attempt, is_gone)

    figures["passes_us"] = measure_rate(pass_through, watches[0])
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
