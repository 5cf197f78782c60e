"""Executes the steps of a schedule on a fleet and undoes them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.names import qualify
from lagoonsail_lab import schedule
from lagoonsail_lab.checker import (
    UNCLEAN_EXIT,
    ColdTransition,
    Fault,
    Kill,
    Outage,
    PlannedStop,
)
from lagoonsail_lab.deployments import LATENCY_MS
from lagoonsail_lab.fleet import ROUTER_PREFIX
from lagoonsail_lab.processes import Process

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_lab.deployments import ServiceShape
    from lagoonsail_lab.fleet import Fleet
    from lagoonsail_lab.observer import Observer
    from lagoonsail_lab.schedule import Step
    from lagoonsail_lab.workload import Workload

COMMAND_TIMEOUT_MS = 20000.0
"""Timeout of an operator's command, milliseconds."""
RETRY_S = 0.5
"""Time before a failed command or start is retried, seconds."""
STOP_TIMEOUT_MS = 70000.0
"""Timeout of a planned stop, longer than the routers' own limit, milliseconds."""
RESTART_TIMEOUT_MS = 60000.0
"""Time allowed for a router to serve again after a kill or stop, milliseconds."""
OPERATOR_STEPS = (schedule.DOMAIN_OUT, schedule.SERVER_OUT, schedule.OPERATORS_RACE)
"""Kinds of steps in which operators change service documents."""
EXIT_ADDRESS_IN_USE = 3
"""Exit code of a router whose port is in use."""
EXIT_NO_CONFIGURATION = 4
"""Exit code of a router that received no configuration."""


class Actions:
    """Executes steps on a fleet and records what the checks need to know."""

    __slots__ = (
        "_clock",
        "_commands",
        "_fleet",
        "_locks",
        "_observer",
        "_workload",
        "faults",
        "kills",
        "load",
        "outages",
        "stops",
        "cold_transitions",
    )

    faults: list[Fault]
    """Routers that ended or failed to start unexpectedly."""
    kills: list[Kill]
    """Kills of routers."""
    load: list
    """Green threads of the callers of floods and bursts."""
    outages: list[Outage]
    """Periods in which operators had taken servers out of service."""
    stops: list[PlannedStop]
    """Planned stops."""
    cold_transitions: list[ColdTransition]
    """Servers that became cold."""

    def __init__(self, fleet: Fleet, workload: Workload, observer: Observer) -> None:
        self._fleet = fleet
        self._workload = workload
        self._observer = observer
        self._clock = Clock()
        self._commands = 0
        self._locks = defaultdict(eventlet.semaphore.Semaphore)
        self.faults = []
        self.kills = []
        self.load = []
        self.outages = []
        self.stops = []
        self.cold_transitions = []

    def execute(self, step: Step) -> None:
        """Apply a step, wait for its duration and undo it.

        Args:
            step: The step; the caller waits for its start time.
        """
        is_operator_step = step.kind in OPERATOR_STEPS
        # Concurrent operator actions of one side would undo each other.
        lock_key = step.target.split("/")[0] if is_operator_step else step.target
        with self._locks[lock_key]:
            self._observer.record_event(
                f"begin_{step.kind}", target=step.target, **step.options
            )
            self._handlers()[step.kind](step)
            self._observer.record_event(f"end_{step.kind}", target=step.target)

    def _handlers(self) -> dict[str, Callable[[Step], None]]:
        return {
            schedule.KILL: self._kill,
            schedule.FREEZE: self._freeze,
            schedule.STOP: self._stop,
            schedule.STORE: self._disturb_store,
            schedule.STORE_PATH: self._disturb_path,
            schedule.PEERS_PATH: self._disturb_path,
            schedule.PARTITION: self._disturb_path,
            schedule.DOMAIN_OUT: self._take_domain_out,
            schedule.SERVER_OUT: self._take_server_out,
            schedule.OPERATORS_RACE: self._run_operators_race,
            schedule.SERVER_COLD: self._make_cold,
            schedule.SERVER_RESTART: self._restart_server,
            schedule.SERVER_BREAKS: self._break_answers,
            schedule.SERVER_LATE: self._answer_late,
            schedule.SERVER_SILENT: self._stop_responding,
            schedule.SERVER_PATH: self._disturb_server_path,
            schedule.HOST_LAG: self._lag_hosts,
            schedule.FLOOD: self._flood,
            schedule.BURST: self._burst,
        }

    def _wait(self, step: Step) -> None:
        eventlet.sleep(step.duration_ms / 1000.0)

    # Routers.

    def _kill(self, step: Step) -> None:
        kill = Kill(step.target, self._clock.wall_ms())
        self.kills.append(kill)
        self._fleet.kill_router(step.target)
        # Until now the kernel accepted connections for it that nothing served.
        kill.ended_wall_ms = self._clock.wall_ms()
        self._wait(step)
        self._start_router(step.target)

    def _freeze(self, step: Step) -> None:
        self._fleet.freeze_router(step.target)
        self._wait(step)
        self._fleet.thaw_router(step.target)

    def _stop(self, step: Step) -> None:
        router = self._fleet.routers[step.target]
        router.host_state = "leaving"
        self._fleet.publish_hosts()
        from_ms = self._clock.wall_ms()
        code = self._fleet.stop_router(step.target, STOP_TIMEOUT_MS)
        stop = PlannedStop(step.target, from_ms, self._clock.wall_ms(), code)
        self.stops.append(stop)
        router.host_state = "live"
        self._fleet.publish_hosts()
        self._start_router(step.target)

    def _start_router(self, name: str) -> None:
        """Start a router repeatedly, as the platform would, until it is ready."""
        process = self._fleet.routers[name].process
        deadline_ms = self._clock.now_ms() + RESTART_TIMEOUT_MS
        process.start()
        while self._clock.now_ms() < deadline_ms:
            if self._fleet.is_ready(name):
                return
            if not process.is_running:
                self._observer.record_event(
                    "router_ended", target=name, code=process.exit_code
                )
                if process.exit_code not in (
                    EXIT_ADDRESS_IN_USE,
                    EXIT_NO_CONFIGURATION,
                ):
                    break
                process.start()
            eventlet.sleep(RETRY_S)
        detail = f"not ready after restart: exit code {process.exit_code}"
        self._add_unclean_exit(name, f"{detail} {process.errors()[-1000:]}")

    def _add_unclean_exit(self, name: str, detail: str) -> None:
        self.faults.append(Fault(UNCLEAN_EXIT, name, detail, self._clock.wall_ms()))

    def check_running(self) -> None:
        """Report routers that are not running after all steps have ended."""
        for name, router in self._fleet.routers.items():
            if not router.process.is_running:
                code, errors = router.process.exit_code, router.process.errors()
                detail = f"ended with exit code {code}: {errors[-1000:]}"
                self._add_unclean_exit(name, detail)

    # The platform and paths.

    def _disturb_store(self, step: Step) -> None:
        self._fleet.control_store(**step.options)
        self._wait(step)
        self._fleet.control_store(
            mode="up", delay_ms=0, lose_answers=0.0, stale_reads=False
        )

    def _disturb_path(self, step: Step) -> None:
        orders = dict(step.options)
        thaws = orders.pop("thaws", True)
        path, _, router = step.target.partition("-")
        paths = ("store", "peers") if path == "both" else (path,)
        relays = [f"{path}-{router}" for path in paths]
        for relay in relays:
            self._fleet.control_relay(relay, **orders)
        self._wait(step)
        for relay in relays:
            if not thaws:
                self._fleet.control_relay(relay, mode="cut")
            self._fleet.control_relay(relay, mode="pass", drop_new=False)

    def _disturb_server_path(self, step: Step) -> None:
        orders = dict(step.options)
        thaws, router = orders.pop("thaws", True), orders.pop("router", "")
        backend = self._fleet.backends[step.target]
        relay = f"servers-{backend.service.side}"
        path = {"target": backend.address}
        if router:
            path["source"] = self._fleet.routers[router].source
        every_ms = orders.pop("every_ms", step.duration_ms)
        deadline_ms = self._clock.now_ms() + step.duration_ms
        while self._clock.now_ms() < deadline_ms:
            self._fleet.control_relay(relay, **path, **orders)
            if every_ms < step.duration_ms:
                self._fleet.control_relay(relay, **path, mode="pass")
            eventlet.sleep(every_ms / 1000.0)
        if not thaws:
            self._fleet.control_relay(relay, **path, mode="cut")
        delay_ms = LATENCY_MS[backend.service.side]
        self._fleet.control_relay(
            relay, **path, mode="pass", drop_new=False, delay_ms=delay_ms
        )

    def _lag_hosts(self, step: Step) -> None:
        lag = {"lag_ms": step.options["lag_ms"]}
        self._fleet.fetch("POST", self._fleet.host_list, "/_control", lag)
        self._wait(step)
        self._fleet.fetch("POST", self._fleet.host_list, "/_control", {"lag_ms": 0})

    # Operators.

    def _run_command(self, command: str, target: str) -> bool:
        """Run a lagoonctl command.

        Returns:
            Whether it succeeded; a failed command may still have taken effect.
        """
        self._commands += 1
        options = ["--store", self._fleet.store, "--prefix", ROUTER_PREFIX]
        process = Process(
            f"{command}-{self._commands}",
            "lagoonsail_ctl",
            [command, target, *options],
            self._fleet.directory,
        )
        process.start()
        code = process.wait(COMMAND_TIMEOUT_MS)
        process.kill()
        self._observer.record_event(
            "lagoonctl", command=command, target=target, code=str(code)
        )
        return code == 0

    def _take_domain_out(self, step: Step) -> None:
        self._take_out("domain", step.target, step.duration_ms)

    def _take_server_out(self, step: Step) -> None:
        self._take_out("server", step.target, step.duration_ms)

    def _run_operators_race(self, step: Step) -> None:
        rival = step.options["rival"]
        if rival == "domain":
            other = eventlet.spawn(
                self._take_out, "domain", step.options["domain"], step.duration_ms
            )
            self._take_out("server", step.target, step.duration_ms)
            other.wait()
            return
        if rival == "same":
            other = eventlet.spawn(self._run_command, "server-out", step.target)
            self._take_out("server", step.target, step.duration_ms)
        else:
            other = eventlet.spawn(self._run_command, "server-in", step.target)
            self._run_command("server-out", step.target)
        other.wait()
        # Brings the server in regardless of which command took effect last.
        self._bring_in("server", step.target)

    def _take_out(self, kind: str, target: str, duration_ms: float) -> None:
        is_done = self._run_command(f"{kind}-out", target)
        from_ms = self._clock.wall_ms()
        eventlet.sleep(duration_ms / 1000.0)
        if is_done:
            # The outage ends here: the server may serve before the command has ended.
            servers = self._servers_of(kind, target)
            self.outages.append(Outage(servers, from_ms, self._clock.wall_ms()))
        self._bring_in(kind, target)

    def _bring_in(self, kind: str, target: str) -> None:
        while not self._run_command(f"{kind}-in", target):
            eventlet.sleep(RETRY_S)

    def _servers_of(self, kind: str, target: str) -> frozenset[str]:
        if kind == "server":
            side, _, name = target.split("/")
            return frozenset({qualify(side, name)})
        backends = self._fleet.backends_of(target)
        return frozenset(backend.qualified() for backend in backends)

    # Backend servers.

    def _make_cold(self, step: Step) -> None:
        self.cold_transitions.append(ColdTransition(step.target, self._clock.wall_ms()))
        self._fleet.control_backend(step.target, cold=True)
        self._wait(step)

    def _restart_server(self, step: Step) -> None:
        self.cold_transitions.append(ColdTransition(step.target, self._clock.wall_ms()))
        self._fleet.control_backend(step.target, restart=True)
        self._wait(step)

    def _break_answers(self, step: Step) -> None:
        self._fleet.control_backend(step.target, break_next=step.options["count"])
        self._wait(step)
        self._fleet.control_backend(step.target, break_next=0)

    def _answer_late(self, step: Step) -> None:
        self._fleet.control_backend(step.target, late_ms=step.options["late_ms"])
        self._wait(step)
        self._fleet.control_backend(step.target, late_ms=0)

    def _stop_responding(self, step: Step) -> None:
        self._fleet.control_backend(step.target, silent=True)
        self._wait(step)
        self._fleet.control_backend(step.target, silent=False)

    # Load.

    def _find_account(self, step: Step) -> tuple[ServiceShape, str]:
        side, name, account = step.target.split("/")
        deployment = next(d for d in self._fleet.deployments if d.side == side)
        return deployment.find(name), account

    def _flood(self, step: Step) -> None:
        service, account = self._find_account(step)
        callers = step.options["callers"]
        self.load += self._workload.flood(service, account, callers, step.duration_ms)
        self._wait(step)

    def _burst(self, step: Step) -> None:
        service, account = self._find_account(step)
        self.load += self._workload.burst(service, account, step.options["callers"])
