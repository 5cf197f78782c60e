"""Random schedules of faults and operator actions, determined by a seed."""

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
"""A router is killed and restarts without state."""
FREEZE = "freeze_router"
"""A router's process is suspended, for less or more than its lease."""
STOP = "stop_router"
"""A router is stopped as planned and restarted."""
STORE = "store"
"""The key-value service is down, silent or slow, loses answers or reads stale data."""
STORE_PATH = "store_path"
"""The path between a router and the key-value service is cut or frozen."""
PEERS_PATH = "peers_path"
"""The path from other routers to a router is cut or frozen."""
PARTITION = "partition"
"""A router cannot reach the key-value service nor, if it is the last of its side, any
router of its side."""
DOMAIN_OUT = "domain_out"
"""An operator takes a failure domain out and brings it back."""
SERVER_OUT = "server_out"
"""An operator takes a backend server out and brings it back."""
OPERATORS_RACE = "operators_race"
"""Two operators change the same document concurrently."""
SERVER_COLD = "server_cold"
"""A backend server becomes cold."""
SERVER_RESTART = "server_restart"
"""A backend server restarts and aborts its running requests."""
SERVER_BREAKS = "server_breaks"
"""A backend server aborts some answers halfway."""
SERVER_LATE = "server_late"
"""A backend server answers late."""
SERVER_SILENT = "server_silent"
"""A backend server stops responding."""
SERVER_PATH = "server_path"
"""The path to a backend server, from all routers or one, is cut once or repeatedly,
frozen or slow."""
HOST_LAG = "host_lag"
"""The host list serves outdated content."""
FLOOD = "flood"
"""Many callers of one account call continuously."""
BURST = "burst"
"""One account makes many concurrent calls."""

GROUP_INTERVAL_MS = (1500.0, 6000.0)
"""Minimum and maximum time between two groups of faults, milliseconds."""
FIRST_FAULT_MS = 2000.0
"""Time before the first fault, milliseconds."""
OUT_OF_SERVICE_MS = (4500.0, 8000.0)
"""Minimum and maximum time for which operators take something out of service,
milliseconds; longer than the time allowed for draining."""
STORE_MODES: tuple[Callable[[random.Random], dict], ...] = (
    lambda _rng: {"mode": "down"},
    lambda _rng: {"mode": "silent"},
    lambda rng: {"mode": "slow", "delay_ms": rng.randint(200, 1500)},
    lambda rng: {"lose_answers": rng.choice([0.2, 0.5])},
    lambda _rng: {"stale_reads": True},
    lambda _rng: {"lose_answers": 0.3, "stale_reads": True},
)
"""Faults of the key-value service, as values for its `/_control`."""
EXTRA_WEIGHTED_KINDS = (
    KILL,
    FREEZE,
    STOP,
    STORE,
    STORE,
    PARTITION,
    PARTITION,
    SERVER_PATH,
)
"""Kinds that get additional weight, one for each occurrence."""
RIVAL_ACTIONS = ("domain", "same", "opposite")
"""Concurrent action of the second operator: take a failure domain out, take the same
server out as well, or bring the same server in."""
PATH_MODES = (
    {"mode": "cut"},
    {"mode": "freeze"},
    {"mode": "freeze", "drop_new": True},
)
"""Faults of a path, as values for the `/_control` of its relay."""
SERVER_PATH_MODES: tuple[Callable[[random.Random], dict], ...] = (
    lambda _rng: {"mode": "cut"},
    # Cuts only existing connections, repeatedly, so that calls break while they run.
    lambda rng: {"mode": "cut", "every_ms": rng.randint(150, 400)},
    lambda rng: {"mode": "freeze", "thaws": rng.random() < 0.7},
    # Drops connections that open meanwhile: a request that the network delays for
    # longer than servers take to drain would count as new work after the drain,
    # whichever router sent it.
    lambda _rng: {"mode": "freeze", "drop_new": True, "thaws": False},
    lambda rng: {"delay_ms": rng.randint(50, 400)},
)
"""Faults of the path to a backend server, as values for its relay's `/_control`."""


@dataclass(slots=True)
class Step:
    """One fault, operator action or load peak, with its duration."""

    at_ms: float
    """Start time, relative to the start of the schedule, milliseconds."""
    duration_ms: float
    """Time until it is undone, milliseconds."""
    kind: str
    """One of the constants of this module."""
    target: str
    """Router, server, domain, path or account that it affects."""
    options: dict[str, object] = field(default_factory=dict)
    """Parameters by name."""

    @property
    def end_ms(self) -> float:
        """Time at which it is undone, relative to the start of the schedule, ms."""
        return self.at_ms + self.duration_ms

    def describe(self) -> str:
        """Return a human-readable line."""
        details = " ".join(f"{name}={value}" for name, value in self.options.items())
        return (
            f"{self.at_ms / 1000:7.2f} s {self.kind:<15} {self.target} "
            f"for {self.duration_ms / 1000:.2f} s {details}"
        ).rstrip()


class _ScheduleBuilder:
    """Builds a schedule and tracks the times at which its targets are affected."""

    __slots__ = (
        "_busy_periods",
        "_rng",
        "_deployments",
        "_relayed_routers",
        "_relayed_servers",
        "steps",
    )

    steps: list[Step]
    """Steps drawn so far."""

    def __init__(
        self,
        rng: random.Random,
        deployments: list[Deployment],
        relayed: list[str],
        relayed_servers: list[str],
    ) -> None:
        self._rng = rng
        self._deployments = deployments
        self._relayed_routers = relayed
        self._relayed_servers = relayed_servers
        self._busy_periods: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.steps = []

    def draw(self, kind: str, at_ms: float) -> None:
        """Add a random step of a kind, unless its target is already affected then."""
        step, resource = self._step_factories()[kind](at_ms)
        step.kind = kind
        if self._is_busy(resource, step) or self._affects_last_router(step):
            return
        self._busy_periods[resource].append((step.at_ms, step.end_ms))
        self.steps.append(step)

    def _step_factories(self) -> dict[str, Callable[[float], tuple[Step, str]]]:
        return {
            KILL: lambda at_ms: self._router_step(at_ms, (200, 4000)),
            FREEZE: self._freeze_step,
            STOP: lambda at_ms: self._router_step(at_ms, (2500, 5000)),
            STORE: self._store_step,
            STORE_PATH: lambda at_ms: self._path_step(at_ms, "store"),
            PEERS_PATH: lambda at_ms: self._path_step(at_ms, "peers"),
            PARTITION: lambda at_ms: self._path_step(at_ms, "both"),
            DOMAIN_OUT: self._domain_out_step,
            SERVER_OUT: self._server_out_step,
            OPERATORS_RACE: self._race_step,
            SERVER_COLD: lambda at_ms: self._server_step(at_ms, (3000, 3000)),
            SERVER_RESTART: lambda at_ms: self._server_step(at_ms, (3000, 3000)),
            SERVER_BREAKS: lambda at_ms: self._server_step(
                at_ms, (3000, 3000), count=self._rng.randint(3, 12)
            ),
            SERVER_LATE: lambda at_ms: self._server_step(
                at_ms, (2000, 6000), late_ms=self._rng.randint(300, 2000)
            ),
            SERVER_SILENT: lambda at_ms: self._server_step(at_ms, (1000, 6000)),
            SERVER_PATH: self._server_path_step,
            HOST_LAG: self._host_lag_step,
            FLOOD: lambda at_ms: self._load_step(at_ms, (2000, 6000), callers=25),
            BURST: lambda at_ms: self._load_step(at_ms, (1000, 1000), callers=60),
        }

    def kinds(self) -> list[str]:
        """Return all kinds of steps, weighted by repetition."""
        return [*self._step_factories(), *EXTRA_WEIGHTED_KINDS]

    def _is_busy(self, resource: str, step: Step) -> bool:
        return any(
            start_ms <= step.end_ms and step.at_ms <= end_ms
            for start_ms, end_ms in self._busy_periods[resource]
        )

    def _affects_last_router(self, step: Step) -> bool:
        # Callers need at least one running router of their side.
        if step.kind not in (KILL, FREEZE, STOP):
            return False
        side = step.target.rpartition("-")[0]
        affected = {
            other.target
            for other in self.steps
            if other.kind in (KILL, FREEZE, STOP)
            and other.target.startswith(f"{side}-")
            and other.at_ms <= step.end_ms
            and step.at_ms <= other.end_ms + GROUP_INTERVAL_MS[0]
        }
        routers = next(d.routers for d in self._deployments if d.side == side)
        return len(affected | {step.target}) >= routers

    def _draw_ms(self, bounds: tuple[float, float]) -> float:
        return round(self._rng.uniform(*bounds))

    def _router_step(
        self, at_ms: float, bounds: tuple[float, float], **options: object
    ) -> tuple[Step, str]:
        deployment = self._rng.choice(self._deployments)
        name = f"{deployment.side}-{self._rng.randint(1, deployment.routers)}"
        return Step(at_ms, self._draw_ms(bounds), "", name, options), f"router {name}"

    def _freeze_step(self, at_ms: float) -> tuple[Step, str]:
        bounds = self._rng.choice([(300, 2500), (3500, 7000)])
        return self._router_step(at_ms, bounds)

    def _store_step(self, at_ms: float) -> tuple[Step, str]:
        options = self._rng.choice(STORE_MODES)(self._rng)
        return Step(
            at_ms, self._draw_ms((1500, 9000)), "", "key_value", options
        ), "store"

    def _path_step(self, at_ms: float, path: str) -> tuple[Step, str]:
        router = self._rng.choice(self._relayed_routers)
        options = dict(self._rng.choice(PATH_MODES))
        if options["mode"] == "freeze":
            # Data held by a frozen path is delivered late if it thaws, else never.
            options["thaws"] = self._rng.random() < 0.5
        duration_ms = self._draw_ms((1500, 8000))
        step = Step(at_ms, duration_ms, "", f"{path}-{router}", options)
        return step, f"paths {router}"

    def _domain_out_step(self, at_ms: float) -> tuple[Step, str]:
        deployment = self._rng.choice(self._deployments)
        name = qualify(deployment.side, self._rng.choice(deployment.domains))
        return self._operator_step(at_ms, deployment.side, name)

    def _server_out_step(self, at_ms: float) -> tuple[Step, str]:
        service, server = self._draw_server()
        name = f"{service.qualified()}/{server}"
        return self._operator_step(at_ms, service.side, name)

    def _race_step(self, at_ms: float) -> tuple[Step, str]:
        service, server = self._draw_server()
        domain = qualify(service.side, self._rng.choice(service.domains()))
        name = f"{service.qualified()}/{server}"
        rival = self._rng.choice(RIVAL_ACTIONS)
        return self._operator_step(
            at_ms, service.side, name, domain=domain, rival=rival
        )

    def _operator_step(
        self, at_ms: float, side: str, target: str, **options: object
    ) -> tuple[Step, str]:
        step = Step(at_ms, self._draw_ms(OUT_OF_SERVICE_MS), "", target, options)
        return step, f"orders {side}"

    def _draw_server(self) -> tuple[ServiceShape, str]:
        deployment = self._rng.choice(self._deployments)
        # Skips the shared service, whose only server affects few other calls.
        service = self._rng.choice(deployment.services[:2])
        return service, self._rng.choice(service.servers).name

    def _server_step(
        self, at_ms: float, bounds: tuple[float, float], **options: object
    ) -> tuple[Step, str]:
        service, server = self._draw_server()
        name = qualify(service.side, server)
        return Step(at_ms, self._draw_ms(bounds), "", name, options), f"server {name}"

    def _server_path_step(self, at_ms: float) -> tuple[Step, str]:
        name = self._rng.choice(self._relayed_servers)
        options = self._rng.choice(SERVER_PATH_MODES)(self._rng)
        if self._rng.random() < 0.5:
            side = name.split("/")[0]
            routers = next(d.routers for d in self._deployments if d.side == side)
            options["router"] = f"{side}-{self._rng.randint(1, routers)}"
        step = Step(at_ms, self._draw_ms((1500, 8000)), "", name, options)
        # Excludes faults of the server itself: routers could not detect over a faulty
        # path that it became cold.
        return step, f"server {name}"

    def _host_lag_step(self, at_ms: float) -> tuple[Step, str]:
        options = {"lag_ms": self._rng.randint(1000, 8000)}
        step = Step(at_ms, self._draw_ms((2000, 9000)), "", "host_list", options)
        return step, "host_list"

    def _load_step(
        self, at_ms: float, bounds: tuple[float, float], **options: object
    ) -> tuple[Step, str]:
        deployment = self._rng.choice(self._deployments)
        service = self._rng.choice(deployment.services[:2])
        account = self._rng.choice(sorted(service.accounts))
        name = f"{service.qualified()}/{account}"
        return Step(at_ms, self._draw_ms(bounds), "", name, options), f"load {name}"


def draw_schedule(
    seed: int,
    deployments: list[Deployment],
    relayed: list[str],
    relayed_servers: list[str],
    duration_s: float,
    only: Collection[str] = (),
) -> list[Step]:
    """Draw a schedule of single faults, combined kinds and pairs of one kind.

    Args:
        seed: Seed that determines the schedule.
        deployments: Deployments of the fleet.
        relayed: Routers with relays in their paths.
        relayed_servers: Backend servers with relays in their paths.
        duration_s: Time by which all steps have ended, seconds.
        only: Kinds to draw; all if empty.

    Returns:
        Steps in order of their start.

    Raises:
        ValueError: If `only` contains no known kind.
    """
    rng = random.Random(seed)
    builder = _ScheduleBuilder(rng, deployments, relayed, relayed_servers)
    kinds = [kind for kind in builder.kinds() if not only or kind in only]
    if not kinds:
        raise ValueError(f"no known kind of fault among {' '.join(only)}")
    at_ms = FIRST_FAULT_MS
    while at_ms < duration_s * 1000.0:
        for kind in _draw_kinds(rng, kinds):
            # Combined faults need not start at the same instant.
            builder.draw(kind, round(at_ms + rng.choice([0.0, 0.0, 200.0, 1500.0])))
        at_ms += rng.uniform(*GROUP_INTERVAL_MS)
    steps = [step for step in builder.steps if step.end_ms <= duration_s * 1000.0]
    return sorted(steps, key=lambda step: step.at_ms)


def _draw_kinds(rng: random.Random, kinds: list[str]) -> list[str]:
    style = rng.choice(["alone", "together", "together", "twice"])
    if style == "alone":
        return [rng.choice(kinds)]
    if style == "twice":
        return [rng.choice(kinds)] * 2
    return rng.sample(kinds, min(len(kinds), rng.randint(2, 4)))
