"""Callers that keep a service backlogged, and the work that servers did for them."""

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
"""Module of the baseline routers."""
SERVICE = "asistente"
"""The measured service."""
ENGINE_OPTIONS = {"token_ms": 20.0, "first_ms": 40.0, "warm_after": 0}
"""Options of engines that are warm immediately."""
TOKENS = (20, 60)
"""Minimum and maximum length of an answer, tokens."""
BACKLOG_FACTOR = 2.0
"""Callers of an account per slot of its share."""
SPARE_CALLERS = 2
"""Additional callers of each account, so that at least one of its calls waits."""
FLOOD_FACTOR = 20.0
"""Callers of the flooding account per slot of its share."""
HINT_FACTOR = 4.0
"""Factor by which cost hints are too high or too low."""
ARRIVAL_MS = 50.0
"""Time allowed for a call to reach the queue, milliseconds."""
QUEUE_LIMIT = 1000
"""Maximum number of queued calls of one account at one router."""

FULL_LIMITS_TIMEOUT_MS = 60_000.0
"""Time allowed for an owner to raise the limits of all servers, milliseconds."""
SETTLE_S = 2.0
"""Time between all servers being at their full limit and the measurement, seconds."""


@dataclass(slots=True)
class Work:
    """One attempt of a call and the run on a server that resulted from it."""

    account: str
    """Client account, unqualified."""
    requested_ms: float
    """When the caller sent the request, wall time."""
    started_ms: float
    """When the server started, or the attempt ended without a run; wall time."""
    ended_ms: float
    """When the server finished; equal to `started_ms` if nothing ran; wall time."""
    cost: float
    """Generated tokens."""
    server: str
    """Qualified name of the server, empty if nothing ran."""

    def cost_until(self, wall_ms: float) -> float:
        """Return the tokens generated until a time, assuming a constant rate.

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
        fraction = (wall_ms - self.started_ms) / max(
            1.0, self.ended_ms - self.started_ms
        )
        return self.cost * max(0.0, fraction)

    def busy_ms(self, from_ms: float, until_ms: float) -> float:
        """Return how long the run kept a slot busy in a window, milliseconds."""
        return max(0.0, min(self.ended_ms, until_ms) - max(self.started_ms, from_ms))


class UnevenBalancer:
    """Sends half of an account's calls to one router, a quarter to the next, and so on.

    It ignores readiness, so all routers must be running.
    """

    __slots__ = ("_addresses", "_names", "_random", "_weights")

    def __init__(self, routers: dict[str, str], home: int, seed: int) -> None:
        """Initialise the balancer.

        Args:
            routers: Address for callers by router name.
            home: Index of the router that gets half of the calls.
            seed: Seed of the choices.
        """
        names = sorted(routers)
        self._addresses = routers
        self._names = [names[(home + i) % len(names)] for i in range(len(names))]
        self._weights = [0.5**i for i in range(len(names))]
        self._random = random.Random(seed)

    def choose(self, _avoid: str, _preferred: object = "") -> tuple[str, str]:
        """Return the name and address of a router."""
        name = self._random.choices(self._names, self._weights)[0]
        return name, self._addresses[name]


def make_deployment(**options: float) -> Deployment:
    """Return the Cordero deployment with its engines only, warm immediately.

    Args:
        options: Additional engine options.

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
    """Return a fleet with the project's routers or with baseline routers.

    Args:
        is_baseline: Whether to run baseline routers instead of the project's.
        engine: Additional engine options.

    Returns:
        The fleet, not yet started.
    """
    options = {"router_module": BASELINE_MODULE} if is_baseline else {}
    return Fleet([make_deployment(**engine)], **options)


def find_owner(fleet: Fleet, service: ServiceShape) -> tuple[str, dict]:
    """Return the owner of a service's shard and its status of the shard.

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
    raise ProcessError(
        f"no router reports that it owns shard {shard}",
        "check the output of the routers for errors",
    )


def wait_until_full(fleet: Fleet, service: ServiceShape) -> None:
    """Wait until all servers of a service are warm and at their full limit.

    Args:
        fleet: The fleet, with calls in progress.
        service: The service.

    Raises:
        ProcessError: If that takes longer than FULL_LIMITS_TIMEOUT_MS.
    """
    clock = Clock()
    until_ms = clock.now_ms() + FULL_LIMITS_TIMEOUT_MS
    while clock.now_ms() < until_ms:
        if _is_full(fleet, service):
            eventlet.sleep(SETTLE_S)
            return
        eventlet.sleep(0.25)
    raise ProcessError(
        "the owner did not raise the limits of all servers in time",
        "check the status of the owner",
    )


def _is_full(fleet: Fleet, service: ServiceShape) -> bool:
    try:
        _, shard = find_owner(fleet, service)
    except ProcessError:
        # A shard briefly has no owner while it is handed over for rebalancing.
        return False
    servers = shard["servers"].values()
    return all(s["warm"] and s["limit"] == service.slots for s in servers)


def count_callers(service: ServiceShape, account: str, factor: float) -> int:
    """Return the number of callers that demand a multiple of an account's share."""
    slots = service.slots * len(service.servers)
    share_fraction = service.accounts[account] / sum(service.accounts.values())
    return ceil(share_fraction * slots * factor) + SPARE_CALLERS


def call_factory(
    service: ServiceShape, account: str, rng: random.Random
) -> Callable[[], Call]:
    """Return a function that creates calls with wrong cost hints."""

    def make() -> Call:
        tokens = rng.randint(*TOKENS)
        text = f"{account} {rng.getrandbits(64):x}"
        call = make_prompt(service.side, service.name, account, tokens, False, text)
        call.cost_hint = tokens * rng.choice([HINT_FACTOR, 1.0 / HINT_FACTOR])
        return call

    return make


def start_backlog(
    service: ServiceShape,
    balancers: Callable[[int], Balancer | UnevenBalancer],
    seed: int,
    flooding: str = "",
) -> tuple[list[Caller], list]:
    """Start the callers of all accounts.

    Args:
        service: The service.
        balancers: Returns the balancer for an account's index.
        seed: Seed of the calls.
        flooding: The account that floods the service, if any.

    Returns:
        Callers with their records, and the green threads, to be killed at the end.
    """
    callers, threads = [], []
    for number, account in enumerate(service.accounts):
        caller = Caller(balancers(number))
        callers.append(caller)
        factor = FLOOD_FACTOR if account == flooding else BACKLOG_FACTOR
        for index in range(count_callers(service, account, factor)):
            rng = random.Random(f"{seed} {account} {index}")
            make_call = call_factory(service, account, rng)
            threads.append(eventlet.spawn(call_in_loop, caller, make_call, inf))
    return callers, threads


def collect_work(callers: Iterable[Caller], servers: dict[str, dict]) -> list[Work]:
    """Match the attempts of callers with the runs of servers.

    Args:
        callers: The callers.
        servers: Record of each backend server by qualified name.

    Returns:
        One item for each attempt.
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
                requested_ms = attempt.started_wall_ms
                if run is None:
                    ended_ms = attempt.ended_wall_ms or now_ms
                    span = (ended_ms, ended_ms, 0.0)
                else:
                    ended_ms = run["ended_wall_ms"] or now_ms
                    span = (run["started_wall_ms"], ended_ms, run["cost"])
                work.append(Work(record.call.account, requested_ms, *span, server))
    return work


def waiting_spans(work: Iterable[Work]) -> list[tuple[float, float]]:
    """Return the time spans in which at least one attempt was waiting.

    An attempt counts as waiting after it has had ARRIVAL_MS to reach the queue.

    Args:
        work: The attempts.

    Returns:
        Start and end of each span in order, wall time; the spans are disjoint.

    Example:
        >>> waiting_spans([Work("a", 0.0, 100.0, 200.0, 1.0, "s"),
        ...                Work("a", 40.0, 300.0, 400.0, 1.0, "s"),
        ...                Work("a", 300.0, 320.0, 400.0, 1.0, "s")])
        [(50.0, 300.0)]
    """
    spans: list[tuple[float, float]] = []
    for item in sorted(work, key=lambda item: item.requested_ms):
        begin_ms, end_ms = item.requested_ms + ARRIVAL_MS, item.started_ms
        if end_ms <= begin_ms:
            continue
        if spans and begin_ms <= spans[-1][1]:
            spans[-1] = (spans[-1][0], max(spans[-1][1], end_ms))
        else:
            spans.append((begin_ms, end_ms))
    return spans


def is_within(spans: Iterable[tuple[float, float]], from_ms: float, until_ms: float):
    """Return whether a window lies entirely within one of the spans."""
    return any(begin <= from_ms and until_ms <= end for begin, end in spans)
