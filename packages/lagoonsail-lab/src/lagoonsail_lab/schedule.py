"""Random schedules of faults and operators' orders, wholly given by a seed."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoonsail_core.names import qualify

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from lagoonsail_lab.deployments import Deployment, ServiceShape

KILL = "kill_router"
"""A router ends at once and comes back with no state."""
FREEZE = "freeze_router"
"""A router's process is paused, shorter or longer than its lease."""
STOP = "stop_router"
"""A planned stop of a router, and its restart."""
STORE = "store"
"""The key-value service is down, silent, slow, loses answers or reads stale."""
STORE_PATH = "store_path"
"""The path between a router and the key-value service is cut or frozen."""
PEERS_PATH = "peers_path"
"""The path from other routers to a router is cut or frozen."""
PARTITION = "partition"
"""A router reaches neither the key-value service nor, if it is the last of its side,
any router of its side."""
DOMAIN_OUT = "domain_out"
"""An operator takes a failure domain out and brings it back."""
SERVER_OUT = "server_out"
"""An operator takes a backend server out and brings it back."""
OPERATORS_RACE = "operators_race"
"""Two operators change the same document at the same moment."""
SERVER_COLD = "server_cold"
"""A backend server turns cold."""
SERVER_RESTART = "server_restart"
"""A backend server restarts and breaks what it runs."""
SERVER_BREAKS = "server_breaks"
"""A backend server breaks some answers halfway."""
SERVER_LATE = "server_late"
"""A backend server answers late."""
SERVER_SILENT = "server_silent"
"""A backend server goes silent."""
SERVER_PATH = "server_path"
"""The path to a backend server from all routers, or one, is cut, once or again and
again, frozen or slow."""
HOST_LAG = "host_lag"
"""The host list lags."""
FLOOD = "flood"
"""One account calls all the time with many callers."""
BURST = "burst"
"""One account makes many calls at once."""

ROUND_MS = (1500.0, 6000.0)
"""Shortest and longest time between two groups of faults."""
FIRST_MS = 2000.0
"""Time before the first fault."""
OUT_MS = (4500.0, 8000.0)
"""How long operators leave something out; longer than drains may take."""
STORE_MODES: tuple[Callable[[random.Random], dict], ...] = (
    lambda _chance: {"mode": "down"},
    lambda _chance: {"mode": "silent"},
    lambda chance: {"mode": "slow", "delay_ms": chance.randint(200, 1500)},
    lambda chance: {"lose_answers": chance.choice([0.2, 0.5])},
    lambda _chance: {"stale_reads": True},
    lambda _chance: {"lose_answers": 0.3, "stale_reads": True},
)
"""What the key-value service may suffer."""
FREQUENT = (KILL, FREEZE, STOP, STORE, STORE, PARTITION, PARTITION, SERVER_PATH)
"""Kinds that are drawn more often than others."""
RIVALS = ("domain", "same", "opposite")
"""What a second operator orders at the same moment: a failure domain out, the same
server out as well, or the same server in."""
PATH_MODES = (
    {"mode": "cut"},
    {"mode": "freeze"},
    {"mode": "freeze", "drop_new": True},
)
"""What a path may suffer."""
SERVER_PATH_MODES: tuple[Callable[[random.Random], dict], ...] = (
    lambda _chance: {"mode": "cut"},
    # Only what exists is cut, again and again, so that calls break under way.
    lambda chance: {"mode": "cut", "every_ms": chance.randint(150, 400)},
    lambda chance: {"mode": "freeze", "thaws": chance.random() < 0.7},
    # What connects meanwhile is never delivered: a request that the network holds back
    # for longer than servers take to drain is new work for them, whoever sends it.
    lambda _chance: {"mode": "freeze", "drop_new": True, "thaws": False},
    lambda chance: {"delay_ms": chance.randint(50, 400)},
)
"""What the path to a backend server may suffer."""


@dataclass(slots=True)
class Step:
    """One fault, order or burst with its end."""

    at_ms: float
    """When it begins, from the start of the schedule."""
    duration_ms: float
    """How long it lasts until it is undone."""
    kind: str
    """One of the constants of this module."""
    target: str
    """What it strikes."""
    options: dict[str, object] = field(default_factory=dict)
    """Its details by name."""

    @property
    def end_ms(self) -> float:
        """When it is undone, from the start of the schedule."""
        return self.at_ms + self.duration_ms

    def describe(self) -> str:
        """Return one line for people."""
        details = " ".join(f"{name}={value}" for name, value in self.options.items())
        return (
            f"{self.at_ms / 1000:7.2f} s {self.kind:<15} {self.target} "
            f"for {self.duration_ms / 1000:.2f} s {details}"
        ).rstrip()


class _Draft:
    """A schedule in the making, with the times at which its targets are struck."""

    __slots__ = ("_busy", "_chance", "_deployments", "_relayed", "_servers", "steps")

    steps: list[Step]
    """What was drawn so far."""

    def __init__(
        self,
        chance: random.Random,
        deployments: list[Deployment],
        relayed: list[str],
        relayed_servers: list[str],
    ) -> None:
        self._chance = chance
        self._deployments = deployments
        self._relayed = relayed
        self._servers = relayed_servers
        self._busy: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.steps = []

    def draw(self, kind: str, at_ms: float) -> None:
        """Add a step of a kind, unless its target is struck at that time already."""
        step, resource = self._makers()[kind](at_ms)
        step.kind = kind
        if self._is_busy(resource, step) or self._strikes_last_router(step):
            return
        self._busy[resource].append((step.at_ms, step.end_ms))
        self.steps.append(step)

    def _makers(self) -> dict[str, Callable[[float], tuple[Step, str]]]:
        return {
            KILL: lambda at_ms: self._router(at_ms, (200, 4000)),
            FREEZE: self._freeze,
            STOP: lambda at_ms: self._router(at_ms, (2500, 5000)),
            STORE: self._store,
            STORE_PATH: lambda at_ms: self._path(at_ms, "store"),
            PEERS_PATH: lambda at_ms: self._path(at_ms, "peers"),
            PARTITION: lambda at_ms: self._path(at_ms, "both"),
            DOMAIN_OUT: self._domain_out,
            SERVER_OUT: self._server_out,
            OPERATORS_RACE: self._race,
            SERVER_COLD: lambda at_ms: self._server(at_ms, (3000, 3000)),
            SERVER_RESTART: lambda at_ms: self._server(at_ms, (3000, 3000)),
            SERVER_BREAKS: lambda at_ms: self._server(
                at_ms, (3000, 3000), count=self._chance.randint(3, 12)
            ),
            SERVER_LATE: lambda at_ms: self._server(
                at_ms, (2000, 6000), late_ms=self._chance.randint(300, 2000)
            ),
            SERVER_SILENT: lambda at_ms: self._server(at_ms, (1000, 6000)),
            SERVER_PATH: self._server_path,
            HOST_LAG: self._host_lag,
            FLOOD: lambda at_ms: self._load(at_ms, (2000, 6000), callers=25),
            BURST: lambda at_ms: self._load(at_ms, (1000, 1000), callers=60),
        }

    def kinds(self) -> list[str]:
        """Return all kinds of steps, frequent ones more often."""
        return [*self._makers(), *FREQUENT]

    def _is_busy(self, resource: str, step: Step) -> bool:
        return any(
            begin_ms <= step.end_ms and step.at_ms <= end_ms
            for begin_ms, end_ms in self._busy[resource]
        )

    def _strikes_last_router(self, step: Step) -> bool:
        # Callers need one router of their side that runs.
        if step.kind not in (KILL, FREEZE, STOP):
            return False
        side = step.target.rpartition("-")[0]
        struck = {
            other.target
            for other in self.steps
            if other.kind in (KILL, FREEZE, STOP)
            and other.target.startswith(f"{side}-")
            and other.at_ms <= step.end_ms
            and step.at_ms <= other.end_ms + ROUND_MS[0]
        }
        routers = next(d.routers for d in self._deployments if d.side == side)
        return len(struck | {step.target}) >= routers

    def _span(self, bounds: tuple[float, float]) -> float:
        return round(self._chance.uniform(*bounds))

    def _router(
        self, at_ms: float, bounds: tuple[float, float], **options: object
    ) -> tuple[Step, str]:
        deployment = self._chance.choice(self._deployments)
        name = f"{deployment.side}-{self._chance.randint(1, deployment.routers)}"
        return Step(at_ms, self._span(bounds), "", name, options), f"router {name}"

    def _freeze(self, at_ms: float) -> tuple[Step, str]:
        bounds = self._chance.choice([(300, 2500), (3500, 7000)])
        return self._router(at_ms, bounds)

    def _store(self, at_ms: float) -> tuple[Step, str]:
        options = self._chance.choice(STORE_MODES)(self._chance)
        return Step(at_ms, self._span((1500, 9000)), "", "key_value", options), "store"

    def _path(self, at_ms: float, path: str) -> tuple[Step, str]:
        router = self._chance.choice(self._relayed)
        options = dict(self._chance.choice(PATH_MODES))
        if options["mode"] == "freeze":
            # What was frozen is delivered late, or never.
            options["thaws"] = self._chance.random() < 0.5
        span_ms = self._span((1500, 8000))
        step = Step(at_ms, span_ms, "", f"{path}-{router}", options)
        return step, f"paths {router}"

    def _domain_out(self, at_ms: float) -> tuple[Step, str]:
        deployment = self._chance.choice(self._deployments)
        name = qualify(deployment.side, self._chance.choice(deployment.domains))
        return self._order(at_ms, deployment.side, name)

    def _server_out(self, at_ms: float) -> tuple[Step, str]:
        service, server = self._pick_server()
        name = f"{service.qualified()}/{server}"
        return self._order(at_ms, service.side, name)

    def _race(self, at_ms: float) -> tuple[Step, str]:
        service, server = self._pick_server()
        domain = qualify(service.side, self._chance.choice(service.domains()))
        name = f"{service.qualified()}/{server}"
        rival = self._chance.choice(RIVALS)
        return self._order(at_ms, service.side, name, domain=domain, rival=rival)

    def _order(
        self, at_ms: float, side: str, target: str, **options: object
    ) -> tuple[Step, str]:
        step = Step(at_ms, self._span(OUT_MS), "", target, options)
        return step, f"orders {side}"

    def _pick_server(self) -> tuple[ServiceShape, str]:
        deployment = self._chance.choice(self._deployments)
        # The shared service has one server only, which others hardly miss.
        service = self._chance.choice(deployment.services[:2])
        return service, self._chance.choice(service.servers).name

    def _server(
        self, at_ms: float, bounds: tuple[float, float], **options: object
    ) -> tuple[Step, str]:
        service, server = self._pick_server()
        name = qualify(service.side, server)
        return Step(at_ms, self._span(bounds), "", name, options), f"server {name}"

    def _server_path(self, at_ms: float) -> tuple[Step, str]:
        name = self._chance.choice(self._servers)
        options = self._chance.choice(SERVER_PATH_MODES)(self._chance)
        if self._chance.random() < 0.5:
            side = name.split("/")[0]
            routers = next(d.routers for d in self._deployments if d.side == side)
            options["router"] = f"{side}-{self._chance.randint(1, routers)}"
        step = Step(at_ms, self._span((1500, 8000)), "", name, options)
        # Whether a server turned cold is not learned over a path that is struck.
        return step, f"server {name}"

    def _host_lag(self, at_ms: float) -> tuple[Step, str]:
        options = {"lag_ms": self._chance.randint(1000, 8000)}
        step = Step(at_ms, self._span((2000, 9000)), "", "host_list", options)
        return step, "host_list"

    def _load(
        self, at_ms: float, bounds: tuple[float, float], **options: object
    ) -> tuple[Step, str]:
        deployment = self._chance.choice(self._deployments)
        service = self._chance.choice(deployment.services[:2])
        account = self._chance.choice(sorted(service.accounts))
        name = f"{service.qualified()}/{account}"
        return Step(at_ms, self._span(bounds), "", name, options), f"load {name}"


def draw_schedule(
    seed: int,
    deployments: list[Deployment],
    relayed: list[str],
    relayed_servers: list[str],
    duration_s: float,
    only: Collection[str] = (),
) -> list[Step]:
    """Draw a schedule: faults alone, several kinds together, and one kind twice.

    Args:
        seed: The same seed gives the same schedule.
        deployments: What runs.
        relayed: Routers whose paths lead through relays.
        relayed_servers: Backend servers whose paths lead through relays.
        duration_s: All steps have ended by then, seconds.
        only: Kinds that are drawn; all if empty.

    Returns:
        Steps by their beginning.

    Raises:
        ValueError: If there is no such kind.
    """
    chance = random.Random(seed)
    draft = _Draft(chance, deployments, relayed, relayed_servers)
    kinds = [kind for kind in draft.kinds() if not only or kind in only]
    if not kinds:
        raise ValueError(f"no kind among {' '.join(only)}")
    at_ms = FIRST_MS
    while at_ms < duration_s * 1000.0:
        for kind in _draw_kinds(chance, kinds):
            # Together is seldom in the same instant.
            draft.draw(kind, round(at_ms + chance.choice([0.0, 0.0, 200.0, 1500.0])))
        at_ms += chance.uniform(*ROUND_MS)
    steps = [step for step in draft.steps if step.end_ms <= duration_s * 1000.0]
    return sorted(steps, key=lambda step: step.at_ms)


def _draw_kinds(chance: random.Random, kinds: list[str]) -> list[str]:
    style = chance.choice(["alone", "together", "together", "twice"])
    if style == "alone":
        return [chance.choice(kinds)]
    if style == "twice":
        return [chance.choice(kinds)] * 2
    return chance.sample(kinds, min(len(kinds), chance.randint(2, 4)))
