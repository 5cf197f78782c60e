"""Randomized fault injection run: `python -m lagoonsail_lab.prove --seed N`."""

from __future__ import annotations

import os
import sys
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import defopt

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.invariants import FATAL_VARIABLE
from lagoonsail_core.names import qualify
from lagoonsail_lab.actions import Actions
from lagoonsail_lab.call_record import RAN_GONE
from lagoonsail_lab.checker import Fault, check_all
from lagoonsail_lab.deployments import LATENCY_MS, make_cordero, make_kalapati
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.observer import Observer
from lagoonsail_lab.recovery import PROBE_ACCOUNT, PROBE_SHARE, Recovery
from lagoonsail_lab.schedule import draw_schedule
from lagoonsail_lab.workload import Workload

if TYPE_CHECKING:
    from lagoonsail_lab.call_record import CallRecord
    from lagoonsail_lab.deployments import Deployment
    from lagoonsail_lab.schedule import Step

ENGINE_OPTIONS = {
    "token_ms": 30.0,
    "first_ms": 40.0,
    "warm_after": 3,
    "cold_factor": 2.0,
}
"""Options of the engines: slow enough to run on one machine, and soon warm."""
LIMITS = {"queue_timeout_ms": 10000, "request_timeout_ms": 20000}
"""Limits in the service documents, short enough for a run to end soon."""
RELAYED_ROUTERS = 2
"""Number of routers of each side, the last ones, with relays in their paths."""
RELAYED_SERVERS = 2
"""Number of servers of each large service, the last ones, with relays in their path."""
PLAIN_TIMEOUT_MS = 4000
"""Request timeout of plain services, shorter than some path faults, milliseconds."""
DRAIN_TIMEOUT_MS = 3000.0
"""Time after which a server taken out receives no new work, milliseconds."""
DETECTION_MS = 3000.0
"""Time to detect that a server became cold, milliseconds: one second each for the lag
of its report, the next read of the report and the slots granted before."""
CALLERS_TIMEOUT_MS = 90000.0
"""Time allowed for the last calls to end, milliseconds."""
MAX_TIMELINES_PER_KIND = 5
"""Number of faults of each kind to print with the surrounding timeline."""
TIMELINE_MARGIN_MS = 4000.0
"""Length of the timeline printed before and after a fault, milliseconds."""


def make_deployments(small: bool) -> list[Deployment]:
    """Return the deployments of both sides in default or reduced size.

    Args:
        small: Whether to use only three routers per side and fewer servers.

    Returns:
        The deployments.
    """
    if small:
        deployments = [make_cordero(3, 4, 2), make_kalapati(3, 3, 2)]
    else:
        deployments = [make_cordero(), make_kalapati()]
    for deployment in deployments:
        for service in deployment.services:
            service.limits.update(LIMITS)
            service.quiet_accounts[PROBE_ACCOUNT] = PROBE_SHARE
            if service.kind == "engine":
                service.options.update(ENGINE_OPTIONS)
            else:
                service.limits["request_timeout_ms"] = PLAIN_TIMEOUT_MS
    return deployments


def relayed_routers(deployments: list[Deployment]) -> list[str]:
    """Return the routers with relays in their paths."""
    return [
        f"{deployment.side}-{number}"
        for deployment in deployments
        for number in range(1, deployment.routers + 1)[-RELAYED_ROUTERS:]
    ]


def relayed_servers(deployments: list[Deployment]) -> list[str]:
    """Return the backend servers with relays in their paths."""
    return [
        qualify(deployment.side, server.name)
        for deployment in deployments
        for service in deployment.services[:2]
        for server in service.servers[-RELAYED_SERVERS:]
    ]


class FaultRun:
    """A fault injection run on a started fleet."""

    __slots__ = ("_actions", "_clock", "_fleet", "_observer", "_seed", "_workload")

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._clock = Clock()
        self._seed = seed
        self._observer = Observer(fleet)
        self._workload = Workload(fleet, seed)
        self._actions = Actions(fleet, self._workload, self._observer)

    def run(self, steps: list[Step]) -> list[Fault]:
        """Execute a schedule under load and check the records.

        Args:
            steps: The schedule.

        Returns:
            The faults that the checks found.
        """
        callers = self._workload.start()
        self._execute(steps)
        recovery = Recovery(
            self._fleet, self._observer, self._workload.records, self._seed
        )
        faults = recovery.check()
        self._workload.end()
        self._wait_for_callers([*callers, *self._actions.load])
        self._workload.stop()
        self._observer.stop()
        for name in self._fleet.routers:
            self._observer.poll(name)
        self._actions.check_running()
        recovery.print_times()
        records = [*self._workload.records(), *recovery.probes]
        return [*faults, *self._check_records(records)]

    def _execute(self, steps: list[Step]) -> None:
        started_ms = self._clock.now_ms()
        threads = []
        for step in steps:
            wait_ms = started_ms + step.at_ms - self._clock.now_ms()
            eventlet.sleep(max(0.0, wait_ms) / 1000.0)
            threads.append(eventlet.spawn(self._actions.execute, step))
        for thread in threads:
            thread.wait()

    def _wait_for_callers(self, threads: list) -> None:
        # A call that does not end in time remains unfinished in the records.
        with eventlet.Timeout(CALLERS_TIMEOUT_MS / 1000.0, False):
            for thread in threads:
                thread.wait()

    # Checks and output.

    def _check_records(self, records: list[CallRecord]) -> list[Fault]:
        actions = self._actions
        servers = self._fleet.records()
        missing = sorted(set(self._fleet.backends) - set(servers))
        if missing:
            raise RuntimeError(
                f"no run record of {missing}; read the output of these processes"
            )
        print_calls(records)
        return [
            *self._observer.faults,
            *actions.faults,
            *check_all(
                records,
                servers,
                actions.outages,
                DRAIN_TIMEOUT_MS,
                actions.kills,
                actions.cold_transitions,
                DETECTION_MS,
                actions.stops,
            ),
        ]

    def print_faults(self, faults: list[Fault]) -> None:
        """Print faults, the first ones of each kind with the surrounding timeline.

        Args:
            faults: The faults that the checks found.
        """
        counts = Counter()
        for fault in sorted(faults, key=lambda fault: fault.wall_ms):
            counts[fault.kind] += 1
            print(f"\nfault {fault.kind} {fault.subject}: {fault.detail}")
            if counts[fault.kind] <= MAX_TIMELINES_PER_KIND and fault.wall_ms:
                print(self._render(fault))
        print(f"faults {dict(counts) or 'none'}", flush=True)

    def _render(self, fault: Fault) -> str:
        since_ms = fault.since_wall_ms or fault.wall_ms
        return self._observer.render_between(
            since_ms - TIMELINE_MARGIN_MS, fault.wall_ms + TIMELINE_MARGIN_MS
        )


def print_calls(records: list[CallRecord]) -> None:
    """Print the number of calls by outcome.

    Args:
        records: All calls.
    """
    counts = Counter(_describe_outcome(record) for record in records if record.attempts)
    print(f"{len(records)} calls")
    for outcome, count in counts.most_common(12):
        print(f"{count:>8} {outcome}")


def _describe_outcome(record: CallRecord) -> str:
    last = record.last
    if record.is_whole:
        return "whole"
    if last.ran == RAN_GONE:
        return "the caller disconnected"
    return f"{last.status} {last.ran} {last.reason[:60]}"


def main(
    *,
    seed: int = 1,
    duration_s: float = 60.0,
    small: bool = False,
    directory: Path | None = None,
    only: list[str] | None = None,
) -> int:
    """Run a random schedule of faults on both sides and check the records.

    Args:
        seed: Seed of the schedule and the calls.
        duration_s: Time by which all faults have ended, seconds.
        small: Run three routers per side and fewer servers.
        directory: Directory that keeps the output of all processes; removed if not
            given.
        only: Kinds of faults to draw, as named in the schedule; default all.

    Returns:
        0 if the checks found no fault, else 1.
    """
    os.environ[FATAL_VARIABLE] = "1"
    deployments = make_deployments(small)
    relayed = relayed_routers(deployments)
    servers = relayed_servers(deployments)
    steps = draw_schedule(seed, deployments, relayed, servers, duration_s, only or ())
    print(f"seed {seed}, {duration_s:g} s, {'small' if small else 'full'} size")
    for step in steps:
        print(step.describe())
    sys.stdout.flush()
    with Fleet(
        deployments,
        directory,
        relayed_store=relayed,
        relayed_peers=relayed,
        relayed_backends=servers,
    ) as fleet:
        for name in relayed:
            delay_ms = LATENCY_MS[fleet.routers[name].side]
            fleet.control_relay(f"peers-{name}", delay_ms=delay_ms)
        for deployment in deployments:
            side = deployment.side
            fleet.control_relay(f"servers-{side}", delay_ms=LATENCY_MS[side])
        run = FaultRun(fleet, seed)
        faults = run.run(steps)
        run.print_faults(faults)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
