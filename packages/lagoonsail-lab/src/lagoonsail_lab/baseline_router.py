"""Baseline routers for measurements.

Run one with `python -m lagoonsail_lab.baseline_router --settings FILE`.

Each router queues calls in order of arrival and sends the first to a random server. It
may use an equal part of each server's slots. Routers do not communicate.
"""

from __future__ import annotations

import json
import random
import sys
from collections import Counter
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING

import defopt

from lagoonsail_config.settings import load_settings
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import SlotGrant
from lagoonsail_router.backend import Attempt, IncompleteAnswerError, NotSentError
from lagoonsail_router.call import read_call
from lagoonsail_router.configuration import Configuration
from lagoonsail_router.context import RouterContext, run_periodically
from lagoonsail_router.listening import BACKLOG
from lagoonsail_router.problems import UNKNOWN, CallProblem
from lagoonsail_router.store_sync import StoreSync
from lagoonsail_sharing.baseline import FifoQueue, choose_random_server
from lagoonsail_sharing.placement import Candidate
from lagoonsail_sharing.waiting import WaitingRequest
from lagoonsail_store.host_list import HostList
from lagoonsail_store.store_client import StoreClient

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from lagoonsail_config.document import ServiceDocument
    from lagoonsail_config.settings import RouterSettings
    from lagoonsail_router.backend import Answer
    from lagoonsail_router.call import Call

PUMP_INTERVAL_MS = 100.0
"""Interval of checking the queues, in addition to the check after each change."""
IDLE_SLEEP_S = 3600.0
"""Sleep interval of the idle main task, seconds."""
RETRY_AFTER_S = 1
"""Delay after which a refused caller should retry, seconds."""


def slots_of_router(slots: int, routers: int, index: int) -> int:
    """Return the number of slots of a server that one of several routers may use.

    Args:
        slots: Slots of the server.
        routers: Number of routers that share the server.
        index: Index of the router, from 0.

    Returns:
        The router's part of evenly divided slots, at least 1.

    Example:
        >>> [slots_of_router(8, 6, index) for index in range(6)]
        [1, 1, 2, 1, 1, 2]
        >>> slots_of_router(8, 48, 0)
        1
    """
    return max(1, slots * (index + 1) // routers - slots * index // routers)


class BaselineRouter:
    """A baseline router."""

    __slots__ = (
        "_configuration",
        "_context",
        "_host_list",
        "_queues",
        "_random",
        "_running",
        "_sync",
        "_tickets",
    )

    def __init__(self, settings: RouterSettings) -> None:
        context = self._context = RouterContext(settings)
        clock, timeout_ms = context.clock, settings.store_timeout_ms
        store = StoreClient(settings.store_endpoints, timeout_ms, clock)
        self._configuration = Configuration(context)
        self._sync = StoreSync(context, store, self._configuration)
        self._host_list = HostList(settings.host_list_url, timeout_ms, clock)
        self._random = random.Random(settings.name)
        self._queues: dict[str, FifoQueue] = {}
        # Number of running calls by service and server.
        self._running: Counter[tuple[str, str]] = Counter()
        self._tickets = count(1)

    def start(self) -> None:
        """Start reading the configuration and the host list, and open the ports."""
        settings = self._context.settings
        eventlet.spawn_n(self._sync.run)
        poll_ms = settings.host_list_poll_ms
        run_periodically(self._context, poll_ms, self._host_list.read, "host_list")
        run_periodically(self._context, PUMP_INTERVAL_MS, self._pump_all, "pump")
        _listen(settings.callers_address, self.serve)
        _listen(settings.admin_address, self.serve_admin)
        print(json.dumps({"event": "listening", "router": settings.name}), flush=True)

    def serve_admin(self, env: dict, start_response: Callable) -> list[bytes]:
        """Answer readiness checks, as a WSGI application."""
        is_ready = bool(self._configuration.documents and self._host_list.hosts)
        status = "200 OK" if is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def serve(self, env: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one call, as a WSGI application."""
        request_id = env.get("HTTP_X_REQUEST_ID", "")
        try:
            call = read_call(env, self._configuration, self._context.clock.now_ms())
            attempt, server, answer = self._answer(call)
        except CallProblem as problem:
            body = problem.body(request_id)
            start_response(problem.status_line(), problem.headers(request_id, body))
            return [body]
        headers = [*answer.headers, ("X-Request-Id", call.request_id)]
        if call.is_stream and answer.status == 200:
            start_response("200 OK", headers)
            return self._stream(call, server, attempt)
        self._finish(call, server, attempt)
        headers.append(("Content-Length", str(len(answer.body))))
        start_response(f"{answer.status} Answer", headers)
        return [answer.body]

    def _answer(self, call: Call) -> tuple[Attempt, str, Answer]:
        while True:
            server = self._wait_for_server(call)
            grant = SlotGrant(0, 0, call.document.shards()[0], 1, server, 0.0)
            address = call.document.servers[server].address
            attempt = Attempt(call, grant, address, self._context.clock)
            try:
                attempt.connect()
                return attempt, server, attempt.send()
            except NotSentError:
                self._finish(call, server, attempt)
                eventlet.sleep(PUMP_INTERVAL_MS / 1000.0)
            except IncompleteAnswerError as error:
                self._finish(call, server, attempt)
                raise CallProblem(
                    502, "answer_broken", str(error), "look up its effect", UNKNOWN
                ) from error

    def _stream(self, call: Call, server: str, attempt: Attempt) -> Iterator[bytes]:
        try:
            yield from attempt.events()
        finally:
            self._finish(call, server, attempt)

    def _wait_for_server(self, call: Call) -> str:
        service = call.document.qualified()
        queue = self._queue(service)
        event = eventlet.event.Event()
        now_ms = self._context.clock.now_ms()
        ticket = (next(self._tickets),)
        waiting = WaitingRequest(
            ticket, call.account, 1.0, since_ms=now_ms, reply_to=event
        )
        if not queue.add(waiting):
            raise _refusal(429, "queue_full", "the account's queue is full")
        self._pump(service)
        server = event.wait(timeout=call.document.queue_timeout_ms / 1000.0)
        if server is None:
            queue.cancel(ticket)
            raise _refusal(503, "no_slot_in_time", "no server was free in time")
        return server

    def _queue(self, service: str) -> FifoQueue:
        document = self._configuration.documents[service]
        queue = self._queues.setdefault(service, FifoQueue(document.queue_limit))
        queue.set_shares({a.name: a.share for a in document.accounts.values()})
        return queue

    def _pump_all(self) -> None:
        for service in list(self._queues):
            self._pump(service)

    def _pump(self, service: str) -> None:
        queue = self._queues[service]
        document = self._configuration.documents[service]
        while waiting := queue.pick():
            server = choose_random_server(self._candidates(document), self._random)
            if server is None:
                return
            queue.start(waiting, waiting.ticket)
            queue.settle(waiting.ticket, 1.0)
            self._running[service, server] += 1
            waiting.reply_to.send(server)

    def _candidates(self, document: ServiceDocument) -> list[Candidate]:
        service = document.qualified()
        settings = self._context.settings
        hosts = self._host_list.hosts or []
        names = sorted({host.name for host in hosts} | {settings.name})
        index = names.index(settings.name)
        return [
            Candidate(
                server.name,
                slots_of_router(server.slots, len(names), index),
                self._running[service, server.name],
            )
            for server in document.servers.values()
            if document.is_usable(server)
        ]

    def _finish(self, call: Call, server: str, attempt: Attempt) -> None:
        attempt.close()
        service = call.document.qualified()
        self._running[service, server] -= 1
        self._pump(service)


def _refusal(status: int, kind: str, problem: str) -> CallProblem:
    return CallProblem(status, kind, problem, "try again", retry_after_s=RETRY_AFTER_S)


def _listen(address: str, application: Callable) -> None:
    host, port = address.rsplit(":", 1)
    sock = eventlet.listen((host, int(port)), backlog=BACKLOG)
    eventlet.spawn_n(
        eventlet.wsgi.server,
        sock,
        application,
        max_size=10_000,
        log_output=False,
        debug=False,
        minimum_chunk_size=1,
    )


def main(*, settings: Path) -> None:
    """Run a baseline router until the process is stopped.

    Args:
        settings: Settings file in the format of the router's.
    """
    BaselineRouter(load_settings(settings)).start()
    while True:
        eventlet.sleep(IDLE_SLEEP_S)


if __name__ == "__main__":
    sys.exit(defopt.run(main, cli_options="all"))
