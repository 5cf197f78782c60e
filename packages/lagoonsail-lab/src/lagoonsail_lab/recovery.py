"""Checks that all routers serve calls and are up to date after the faults."""

from __future__ import annotations

import base64
import random
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import Balancer, Caller
from lagoonsail_lab.checker import NOT_IN_FORCE, NOT_SERVED, Fault
from lagoonsail_lab.fleet import ROUTER_PREFIX
from lagoonsail_lab.observer import DOCUMENTS
from lagoonsail_lab.workload import make_call

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_lab.call_record import CallRecord
    from lagoonsail_lab.deployments import ServiceShape
    from lagoonsail_lab.fleet import Fleet
    from lagoonsail_lab.observer import Observer

SERVE_TIMEOUT_MS = 15000.0
"""Time after all faults within which all routers serve calls and all accounts get
answers again, milliseconds."""
CONFIGURATION_TIMEOUT_MS = 19000.0
"""Time after all faults within which all routers apply the newest configuration,
milliseconds."""
PROBE_ACCOUNT = "probe"
"""Account of the calls that probe whether a router serves. Nothing else uses it: calls
of an account whose demand exceeds its share are queued at every router."""
PROBE_SHARE = 8.0
"""Share of the probe account, equal to that of the largest account."""
POLL_INTERVAL_S = 0.5
"""Time between two checks after the faults, seconds."""


class Recovery:
    """Observes a fleet from the end of the faults until it recovers or times out."""

    __slots__ = (
        "_rng",
        "_clock",
        "_fleet",
        "_observer",
        "_faults_ended_ms",
        "_faults_ended_wall_ms",
        "_records",
        "_pending_probes",
        "probes",
        "served_ms",
    )

    probes: list[CallRecord]
    """The calls that probed whether routers serve."""
    served_ms: dict[tuple[str, str], float]
    """Time from the end of the faults to the last probe of a router and service,
milliseconds."""

    def __init__(
        self,
        fleet: Fleet,
        observer: Observer,
        records: Callable[[], list[CallRecord]],
        seed: int,
    ) -> None:
        """Start measuring; called at the end of the faults.

        Args:
            fleet: The fleet under load.
            observer: Records events in the timeline.
            records: Returns the calls of the workload so far.
            seed: Seed of the probe calls.
        """
        self._fleet = fleet
        self._records = records
        self._observer = observer
        self._clock = Clock()
        self._rng = random.Random(f"probes {seed}")
        self._faults_ended_ms = self._clock.now_ms()
        self._faults_ended_wall_ms = self._clock.wall_ms()
        self._pending_probes: set[tuple[str, str]] = set()
        self.probes = []
        self.served_ms = {}

    def check(self) -> list[Fault]:
        """Probe every router until all serve, and check their configuration.

        Returns:
            Faults for routers and accounts that did not recover in time.
        """
        self._observer.record_event("faults_over")
        threads = [
            eventlet.spawn(self._probe, name, service)
            for deployment in self._fleet.deployments
            for service in deployment.services
            for name, router in self._fleet.routers.items()
            if router.side == deployment.side
        ]
        threads.append(eventlet.spawn(self._check_accounts))
        shard_thread = eventlet.spawn(self._watch_shards)
        faults = self._check_configuration()
        for thread in threads:
            faults += thread.wait()
        shard_thread.kill()
        return faults

    def print_times(self) -> None:
        """Print for each service the router that recovered last, and its time."""
        for service in sorted({service for _, service in self.served_ms}):
            times = {
                name: ms for (name, s), ms in self.served_ms.items() if s == service
            }
            last = max(times, key=times.get)
            print(f"{service} served again by all in {times[last]:.0f} ms, last {last}")

    def _elapsed_ms(self) -> float:
        return self._clock.now_ms() - self._faults_ended_ms

    # Calls.

    def _probe(self, name: str, service: ServiceShape) -> list[Fault]:
        router = self._fleet.routers[name]
        balancer = Balancer({name: (router.callers, router.admin)})
        caller = Caller(balancer, keep_alive=False)
        probe = (name, service.qualified())
        self._pending_probes.add(probe)
        while True:
            record = caller.make(make_call(service, PROBE_ACCOUNT, self._rng))
            elapsed_ms = self._elapsed_ms()
            if record.is_whole or elapsed_ms > SERVE_TIMEOUT_MS:
                break
            eventlet.sleep(POLL_INTERVAL_S)
        balancer.stop()
        self._pending_probes.discard(probe)
        self.served_ms[probe] = elapsed_ms
        self.probes += caller.records
        if elapsed_ms <= SERVE_TIMEOUT_MS:
            return []
        return [
            self._not_served_fault(
                name, f"{service.qualified()}: {self._describe(caller)}"
            )
        ]

    def _not_served_fault(self, subject: str, detail: str) -> Fault:
        wall_ms = self._clock.wall_ms()
        return Fault(NOT_SERVED, subject, detail, wall_ms, self._faults_ended_wall_ms)

    def _describe(self, caller: Caller) -> str:
        """Return the times and the outcome of each attempt of a probe."""
        return "; ".join(
            f"{attempt.started_wall_ms - self._faults_ended_wall_ms:.0f} ms to "
            f"{attempt.ended_wall_ms - self._faults_ended_wall_ms:.0f} ms: "
            f"{attempt.status} {attempt.ran} {attempt.reason}".rstrip()
            for record in caller.records
            for attempt in record.attempts
        )

    def _check_accounts(self) -> list[Fault]:
        """Wait until each account has received a complete answer from the workload."""
        missing = {
            f"{service.qualified()}/{account}"
            for deployment in self._fleet.deployments
            for service in deployment.services
            for account in service.accounts
        }
        is_time_left = True
        # The last look comes after the timeout, even if this process stood still.
        while missing and is_time_left:
            eventlet.sleep(POLL_INTERVAL_S)
            is_time_left = self._elapsed_ms() <= SERVE_TIMEOUT_MS
            missing -= {
                f"{record.call.side}/{record.call.service}/{record.call.account}"
                for record in self._records()
                if record.attempts
                and record.last.ended_wall_ms > self._faults_ended_wall_ms
                and record.is_whole
            }
        return [
            self._not_served_fault(name, "no complete answer since the faults ended")
            for name in sorted(missing)
        ]

    def _watch_shards(self) -> None:
        """Record the shard states of the services whose probes are pending.

        Servers are listed with running and unknown requests and their limit, accounts
        with running and waiting calls and their normalised service.
        """
        while True:
            eventlet.sleep(2 * POLL_INTERVAL_S)
            services = {service for _, service in self._pending_probes}
            if not services:
                continue
            for name in self._fleet.routers:
                status = self._fleet.status(name)
                shards = status["shards"] if status else {}
                for shard, state in shards.items():
                    if shard.split("@")[0] in services:
                        self._record_shard_state(name, shard, state)

    def _record_shard_state(self, owner: str, shard: str, state: dict) -> None:
        servers = " ".join(
            f"{name}:{server['running']}+{server['unknown']}/{server['limit']}"
            for name, server in state["servers"].items()
        )
        waiting = " ".join(
            f"{name}:{account['running']}+{account['waiting']}@{account['service']:.0f}"
            for name, account in state["accounts"].items()
            if account["waiting"] or account["running"]
        )
        self._observer.record_event(
            "shard_state", owner=owner, shard=shard, servers=servers, accounts=waiting
        )

    # Configuration.

    def _check_configuration(self) -> list[Fault]:
        newest = self._newest_revisions()
        lagging = list(self._fleet.routers)
        while lagging and self._elapsed_ms() < CONFIGURATION_TIMEOUT_MS:
            lagging = [name for name in lagging if not self._has_applied(name, newest)]
            eventlet.sleep(POLL_INTERVAL_S)
        wall_ms = self._clock.wall_ms()
        return [
            Fault(NOT_IN_FORCE, name, f"did not apply {newest} in time", wall_ms)
            for name in lagging
        ]

    def _newest_revisions(self) -> dict[str, int]:
        first = f"{ROUTER_PREFIX}{DOCUMENTS}".encode()
        # The first key after all keys with this prefix.
        end = first[:-1] + bytes([first[-1] + 1])
        query = {
            "key": base64.b64encode(first).decode(),
            "range_end": base64.b64encode(end).decode(),
        }
        found = self._fleet.fetch("POST", self._fleet.store, "/v3/kv/range", query)
        return {
            base64.b64decode(entry["key"]).decode().removeprefix(ROUTER_PREFIX): int(
                entry["mod_revision"]
            )
            for entry in found["kvs"]
        }

    def _has_applied(self, name: str, newest: dict[str, int]) -> bool:
        status = self._fleet.status(name)
        if not status:
            return False
        applied = status["configuration"]
        return all(applied.get(key, 0) >= revision for key, revision in newest.items())
