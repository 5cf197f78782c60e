"""After the faults: do all routers serve and show the newest configuration again?"""

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

SERVED_MS = 15000.0
"""Time after all faults in which all routers serve calls again, and all accounts get
answers again, milliseconds."""
IN_FORCE_MS = 19000.0
"""Time after all faults in which all routers show the newest configuration."""
PROBE_ACCOUNT = "probe"
"""Account whose calls show that a router serves. Nobody else calls for it: calls of an
account that wants more than its share wait for the account's turn at any router."""
PROBE_SHARE = 8.0
"""Its share, as large as that of the largest account."""
LOOK_S = 0.5
"""Time between two looks after the faults, seconds."""


class Recovery:
    """What happens from the end of the faults until all is well or the time is over."""

    __slots__ = (
        "_chance",
        "_clock",
        "_fleet",
        "_observer",
        "_over_ms",
        "_over_wall_ms",
        "_records",
        "_waiting",
        "probes",
        "served_ms",
    )

    probes: list[CallRecord]
    """The calls that were made to see whether routers serve."""
    served_ms: dict[tuple[str, str], float]
    """Time from the end of the faults until a router served a service, milliseconds."""

    def __init__(
        self,
        fleet: Fleet,
        observer: Observer,
        records: Callable[[], list[CallRecord]],
        seed: int,
    ) -> None:
        """Begin at the end of the faults.

        Args:
            fleet: The fleet under load.
            observer: Keeps the time line.
            records: Returns the calls of the load so far.
            seed: Seed of the calls that are made here.
        """
        self._fleet = fleet
        self._records = records
        self._observer = observer
        self._clock = Clock()
        self._chance = random.Random(f"probes {seed}")
        self._over_ms = self._clock.now_ms()
        self._over_wall_ms = self._clock.wall_ms()
        self._waiting: set[tuple[str, str]] = set()
        self.probes = []
        self.served_ms = {}

    def check(self) -> list[Fault]:
        """Make calls through every router until all serve, and look at what they show.

        Returns:
            Routers that did not recover in time.
        """
        self._observer.note("faults_over")
        threads = [
            eventlet.spawn(self._probe, name, service)
            for deployment in self._fleet.deployments
            for service in deployment.services
            for name, router in self._fleet.routers.items()
            if router.side == deployment.side
        ]
        threads.append(eventlet.spawn(self._check_accounts))
        looks = eventlet.spawn(self._watch_shards)
        faults = self._check_in_force()
        for thread in threads:
            faults += thread.wait()
        looks.kill()
        return faults

    def print_times(self) -> None:
        """Print for each service which router served it last, and when."""
        for service in sorted({service for _, service in self.served_ms}):
            times = {
                name: ms for (name, s), ms in self.served_ms.items() if s == service
            }
            last = max(times, key=times.get)
            print(f"{service} served again by all in {times[last]:.0f} ms, last {last}")

    def _age_ms(self) -> float:
        return self._clock.now_ms() - self._over_ms

    # Calls.

    def _probe(self, name: str, service: ServiceShape) -> list[Fault]:
        router = self._fleet.routers[name]
        balancer = Balancer({name: (router.callers, router.admin)})
        caller = Caller(balancer, keep_alive=False)
        probe = (name, service.qualified())
        self._waiting.add(probe)
        while True:
            record = caller.make(make_call(service, PROBE_ACCOUNT, self._chance))
            age_ms = self._age_ms()
            if record.is_whole or age_ms > SERVED_MS:
                break
            eventlet.sleep(LOOK_S)
        balancer.stop()
        self._waiting.discard(probe)
        self.served_ms[probe] = age_ms
        self.probes += caller.records
        if age_ms <= SERVED_MS:
            return []
        return [
            self._not_served(name, f"{service.qualified()}: {self._describe(caller)}")
        ]

    def _not_served(self, subject: str, detail: str) -> Fault:
        wall_ms = self._clock.wall_ms()
        return Fault(NOT_SERVED, subject, detail, wall_ms, self._over_wall_ms)

    def _describe(self, caller: Caller) -> str:
        """Return what became of each attempt of a probe, with its time."""
        return "; ".join(
            f"{attempt.started_wall_ms - self._over_wall_ms:.0f} ms to "
            f"{attempt.ended_wall_ms - self._over_wall_ms:.0f} ms: {attempt.status} "
            f"{attempt.ran} {attempt.reason}".rstrip()
            for record in caller.records
            for attempt in record.attempts
        )

    def _check_accounts(self) -> list[Fault]:
        """Wait until each account got a whole answer to a call of the load."""
        missing = {
            f"{service.qualified()}/{account}"
            for deployment in self._fleet.deployments
            for service in deployment.services
            for account in service.accounts
        }
        while missing and self._age_ms() <= SERVED_MS:
            eventlet.sleep(LOOK_S)
            missing -= {
                f"{record.call.side}/{record.call.service}/{record.call.account}"
                for record in self._records()
                if record.attempts
                and record.last.ended_wall_ms > self._over_wall_ms
                and record.is_whole
            }
        return [
            self._not_served(name, "no whole answer since the faults ended")
            for name in sorted(missing)
        ]

    def _watch_shards(self) -> None:
        """Note what the owners say of the services that are waited for.

        Servers are shown with running and unknown requests and their limit, accounts
        with running and waiting calls and their normalised service.
        """
        while True:
            eventlet.sleep(2 * LOOK_S)
            services = {service for _, service in self._waiting}
            if not services:
                continue
            for name in self._fleet.routers:
                status = self._fleet.status(name)
                shards = status["shards"] if status else {}
                for shard, state in shards.items():
                    if shard.split("@")[0] in services:
                        self._note_shard(name, shard, state)

    def _note_shard(self, owner: str, shard: str, state: dict) -> None:
        servers = " ".join(
            f"{name}:{server['running']}+{server['unknown']}/{server['limit']}"
            for name, server in state["servers"].items()
        )
        waiting = " ".join(
            f"{name}:{account['running']}+{account['waiting']}@{account['service']:.0f}"
            for name, account in state["accounts"].items()
            if account["waiting"] or account["running"]
        )
        self._observer.note(
            "shard_state", owner=owner, shard=shard, servers=servers, accounts=waiting
        )

    # Configuration.

    def _check_in_force(self) -> list[Fault]:
        newest = self._newest_revisions()
        lagging = list(self._fleet.routers)
        while lagging and self._age_ms() < IN_FORCE_MS:
            lagging = [name for name in lagging if not self._shows(name, newest)]
            eventlet.sleep(LOOK_S)
        wall_ms = self._clock.wall_ms()
        return [
            Fault(NOT_IN_FORCE, name, f"does not show {newest}", wall_ms)
            for name in lagging
        ]

    def _newest_revisions(self) -> dict[str, int]:
        first = f"{ROUTER_PREFIX}{DOCUMENTS}".encode()
        # The key after all that begin with the prefix.
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

    def _shows(self, name: str, newest: dict[str, int]) -> bool:
        status = self._fleet.status(name)
        if not status:
            return False
        held = status["configuration"]
        return all(held.get(key, 0) >= revision for key, revision in newest.items())
