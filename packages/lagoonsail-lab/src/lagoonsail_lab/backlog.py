"""Callers that keep a service backlogged, and what servers ran for them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import ceil, inf
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import Caller, call_in_loop, make_prompt
from lagoonsail_lab.deployments import make_cordero
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.processes import ProcessError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_lab.call_record import Call
    from lagoonsail_lab.caller import Balancer
    from lagoonsail_lab.deployments import Deployment, ServiceShape

BASELINE_MODULE = "lagoonsail_lab.baseline_router"
"""Module of the routers of the baseline."""
SERVICE = "asistente"
"""The service that is measured."""
ENGINE_OPTIONS = {"token_ms": 20.0, "first_ms": 40.0, "warm_after": 0}
"""Engines that are warm at once."""
TOKENS = (20, 60)
"""Shortest and longest answer, tokens."""
BACKLOG_FACTOR = 2.0
"""Callers of an account per slot that its share would give it."""
SPARE_CALLERS = 2
"""Further callers of each account, so that one of its calls always waits."""
FLOOD_FACTOR = 20.0
"""Callers of the flooding account per slot that its share would give it."""
HINT_FACTOR = 4.0
"""By how much hints are wrong, upwards or downwards."""
ARRIVAL_MS = 50.0
"""Time that a call may need from its caller to the queue, milliseconds."""
QUEUE_LIMIT = 1000
"""Calls of one account that may wait at one router."""

FULL_LIMITS_MS = 60_000.0
"""Time for an owner to raise the limits of all servers, milliseconds."""
SETTLE_S = 2.0
"""Time before anything is measured, after all servers may run at their full."""


@dataclass(slots=True)
class Work:
    """One attempt of a call and what a server ran for it."""

    account: str
    """Client account, unqualified."""
    asked_ms: float
    """When the caller asked, wall time."""
    started_ms: float
    """When the server started, or the attempt ended without; wall time."""
    ended_ms: float
    """When the server ended; equal to `started_ms` if nothing ran."""
    cost: float
    """Tokens that were made."""
    server: str
    """Qualified name of the server, empty if nothing ran."""

    def cost_until(self, wall_ms: float) -> float:
        """Return the tokens made until a time, as if made evenly.

        Args:
            wall_ms: Wall time.

        Returns:
            Tokens.

        Example:
            >>> Work("a", 0.0, 10.0, 20.0, 40.0, "s").cost_until(15.0)
            20.0
        """
        if wall_ms >= self.ended_ms:
            return self.cost
        part = (wall_ms - self.started_ms) / max(1.0, self.ended_ms - self.started_ms)
        return self.cost * max(0.0, part)

    def busy_ms(self, from_ms: float, until_ms: float) -> float:
        """Return for how long a slot was busy in a window, milliseconds."""
        return max(0.0, min(self.ended_ms, until_ms) - max(self.started_ms, from_ms))


class UnevenBalancer:
    """Sends half of an account's calls to one router, a quarter to the next, and so on.

    It looks at no readiness, so all routers have to live.
    """

    __slots__ = ("_addresses", "_names", "_random", "_weights")

    def __init__(self, routers: dict[str, str], home: int, seed: int) -> None:
        """Prepare the choice.

        Args:
            routers: Callers' address by name.
            home: Number of the router that gets half.
            seed: Seed of the choices.
        """
        names = sorted(routers)
        self._addresses = routers
        self._names = [names[(home + i) % len(names)] for i in range(len(names))]
        self._weights = [0.5**i for i in range(len(names))]
        self._random = random.Random(seed)

    def choose(self, _avoid: str, _preferred: object = "") -> tuple[str, str]:
        """Return name and address of a router."""
        name = self._random.choices(self._names, self._weights)[0]
        return name, self._addresses[name]


def make_deployment(**options: float) -> Deployment:
    """Return Cordero with its engines only, warm at once.

    Args:
        options: Further options of the engines.

    Returns:
        The deployment.
    """
    deployment = make_cordero()
    service = deployment.find(SERVICE)
    service.options.update(ENGINE_OPTIONS, **options)
    service.limits["queue_limit"] = QUEUE_LIMIT
    deployment.services = [service]
    return deployment


def make_fleet(is_baseline: bool, **engine: float) -> Fleet:
    """Return a fleet with the routers of the project or of the baseline.

    Args:
        is_baseline: Whether routers are those of the baseline.
        engine: Further options of the engines.

    Returns:
        The fleet, not started yet.
    """
    options = {"router_module": BASELINE_MODULE} if is_baseline else {}
    return Fleet([make_deployment(**engine)], **options)


def find_owner(fleet: Fleet, service: ServiceShape) -> tuple[str, dict]:
    """Return the owner of a service's shard and what it says of the shard.

    Args:
        fleet: The fleet.
        service: The service.

    Returns:
        Name of the router and its status of the shard.

    Raises:
        ProcessError: If no router owns the shard.
    """
    shard = f"{service.qualified()}@{service.region}"
    for name in fleet.routers:
        status = fleet.status(name)
        if status and shard in status["shards"]:
            return name, status["shards"][shard]
    raise ProcessError(f"no owner of {shard}", "look at the routers' output")


def wait_until_full(fleet: Fleet, service: ServiceShape) -> None:
    """Wait until the owner runs all servers of a service at their full.

    Args:
        fleet: The fleet, with calls going on.
        service: The service.

    Raises:
        ProcessError: If the time is over.
    """
    clock = Clock()
    until_ms = clock.now_ms() + FULL_LIMITS_MS
    while clock.now_ms() < until_ms:
        if _is_full(fleet, service):
            eventlet.sleep(SETTLE_S)
            return
        eventlet.sleep(0.25)
    raise ProcessError("limits are not raised", "look at the status of the owner")


def _is_full(fleet: Fleet, service: ServiceShape) -> bool:
    try:
        _, shard = find_owner(fleet, service)
    except ProcessError:
        # A shard that is given away for balance has no owner for a moment.
        return False
    servers = shard["servers"].values()
    return all(s["warm"] and s["limit"] == service.slots for s in servers)


def count_callers(service: ServiceShape, account: str, factor: float) -> int:
    """Return how many callers ask for a multiple of an account's share."""
    slots = service.slots * len(service.servers)
    part = service.accounts[account] / sum(service.accounts.values())
    return ceil(part * slots * factor) + SPARE_CALLERS


def next_call(
    service: ServiceShape, account: str, chance: random.Random
) -> Callable[[], Call]:
    """Return a function that makes calls whose hints are wrong."""

    def make() -> Call:
        tokens = chance.randint(*TOKENS)
        text = f"{account} {chance.getrandbits(64):x}"
        call = make_prompt(service.side, service.name, account, tokens, False, text)
        call.cost_hint = tokens * chance.choice([HINT_FACTOR, 1.0 / HINT_FACTOR])
        return call

    return make


def start_backlog(
    service: ServiceShape,
    balancers: Callable[[int], Balancer | UnevenBalancer],
    seed: int,
    flooding: str = "",
) -> tuple[list[Caller], list]:
    """Start callers of all accounts.

    Args:
        service: The service.
        balancers: Returns the balancer of an account by its number.
        seed: Seed of what is called.
        flooding: The account that floods, if any.

    Returns:
        Callers with their records, and green threads to kill in the end.
    """
    callers, threads = [], []
    for number, account in enumerate(service.accounts):
        caller = Caller(balancers(number))
        callers.append(caller)
        factor = FLOOD_FACTOR if account == flooding else BACKLOG_FACTOR
        for index in range(count_callers(service, account, factor)):
            chance = random.Random(f"{seed} {account} {index}")
            calls = next_call(service, account, chance)
            threads.append(eventlet.spawn(call_in_loop, caller, calls, inf))
    return callers, threads


def collect_work(callers: Iterable[Caller], servers: dict[str, dict]) -> list[Work]:
    """Match what callers asked for with what servers ran.

    Args:
        callers: The callers.
        servers: Record of each backend server by qualified name.

    Returns:
        One piece of work for each attempt.
    """
    now_ms = Clock().wall_ms()
    runs = {
        run["request_id"]: (name, run)
        for name, record in servers.items()
        for run in record["runs"]
        if run["state"] != "refused"
    }
    work = []
    for caller in callers:
        for record in caller.records:
            for attempt in record.attempts:
                server, run = runs.get(attempt.request_id, ("", None))
                asked_ms = attempt.started_wall_ms
                if run is None:
                    ended_ms = attempt.ended_wall_ms or now_ms
                    span = (ended_ms, ended_ms, 0.0)
                else:
                    ended_ms = run["ended_wall_ms"] or now_ms
                    span = (run["started_wall_ms"], ended_ms, run["cost"])
                work.append(Work(record.call.account, asked_ms, *span, server))
    return work


def waiting_spans(work: Iterable[Work]) -> list[tuple[float, float]]:
    """Return the spans in which at least one of several pieces of work waited.

    A piece counts as waiting once it has had time to reach the queue.

    Args:
        work: The pieces.

    Returns:
        Begin and end of each span in order, wall time; they do not touch.

    Example:
        >>> waiting_spans([Work("a", 0.0, 100.0, 200.0, 1.0, "s"),
        ...                Work("a", 40.0, 300.0, 400.0, 1.0, "s"),
        ...                Work("a", 300.0, 320.0, 400.0, 1.0, "s")])
        [(50.0, 300.0)]
    """
    spans: list[tuple[float, float]] = []
    for item in sorted(work, key=lambda item: item.asked_ms):
        begin_ms, end_ms = item.asked_ms + ARRIVAL_MS, item.started_ms
        if end_ms <= begin_ms:
            continue
        if spans and begin_ms <= spans[-1][1]:
            spans[-1] = (spans[-1][0], max(spans[-1][1], end_ms))
        else:
            spans.append((begin_ms, end_ms))
    return spans


def is_within(spans: Iterable[tuple[float, float]], from_ms: float, until_ms: float):
    """Return whether a window lies within one of several spans."""
    return any(begin <= from_ms and until_ms <= end for begin, end in spans)
