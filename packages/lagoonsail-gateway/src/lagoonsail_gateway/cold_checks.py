"""Finds servers that become cold while the store cannot tell of it.

A cold server tolerates few requests, and all routers together must not exceed them. The
store tells which servers are cold. While it is away, servers that get more requests
than a cold one may are asked directly, as often as is needed to notice in time: one
router asks each of them, and tells the others in digests. Routers to which the store
answers tell what they know in the same way to those that it turns away.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_gateway.server_state import COLD_WINDOW_MS
from lagoonsail_router.context import start_task

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.manifest import Manifest, Service
    from lagoonsail_gateway.server_directory import Server, ServerDirectory
    from lagoonsail_gateway.server_state import ServerStates
    from lagoonsail_gateway.store_presence import StorePresence
    from lagoonsail_router.context import RouterContext

KEY_PREFIX = "cold/"
"""Prefix of the keys of the counters; id and start time of the server follow."""
MIN_INTERVAL_MS = 100.0
"""Minimum time between two checks of a server."""
MAX_SILENCE_MS = 1000.0
"""Longest silence of the store that is not examined, however few requests there are."""
MIN_SILENCE_MS = 200.0
"""Longest silence that is never examined: some rounds of digests."""
UNEVEN_LOAD_FACTOR = 1.5
"""Requests to the busiest server of a service, relative to the mean of all."""
STEPS_PER_ESTIMATE = 10
"""Steps after which the longest silence is estimated anew."""
REPORT_DELAY_MS = 150.0
"""Time until the other routers know what a check has shown."""
NEXT_ROUTER_MS = 250.0
"""Time after which the next router makes a check that another one should have made."""
MAX_RANK = 4
"""Rank from which the next router follows after `LAST_ROUTERS_MS` already: the first
ones have failed, and the check is urgent."""
LAST_ROUTERS_MS = 20.0
"""Time between two routers of the ranks beyond `MAX_RANK`."""


@dataclass(slots=True, frozen=True)
class ColdReport:
    """What the routers tell each other of a server; the sum of all routers."""

    routers: int = 0
    """Routers that know at first hand that it is cold."""
    cold_left_ms: int = 0
    """Remaining cold time, added up over these routers."""
    requests: int = 0
    """Requests that were sent to it recently."""
    checks: int = 0
    """Checks that it has answered."""

    def numbers(self) -> tuple[int, ...]:
        """Return the numbers for the counters of digests."""
        return self.routers, self.cold_left_ms, self.requests, self.checks


@dataclass(slots=True)
class _Checked:
    """Checks of one server, as this router knows of them."""

    total: int
    changed_ms: float
    asked_ms: float = -math.inf
    own: int = 0
    is_running: bool = False


class ColdChecks:
    """Checks of servers while the store is away, and what other routers tell."""

    __slots__ = (
        "_ask_cold_left",
        "_checked",
        "_cold",
        "_context",
        "_counts",
        "_directory",
        "_is_alone",
        "_manifest",
        "_max_silence_ms",
        "_on_found",
        "_presence",
        "_published",
        "_ranks",
        "_ranks_version",
        "_routers",
        "_states",
        "_steps",
    )

    def __init__(
        self,
        context: RouterContext,
        directory: ServerDirectory,
        states: ServerStates,
        routers: FleetMembers,
        counts: FleetCounts,
        presence: StorePresence,
        ask_cold_left: Callable[[Server, str], float | None],
        is_alone: Callable[[], bool],
        on_found: Callable[[], None],
    ) -> None:
        """Create without a manifest.

        Args:
            context: Clock, counters and timeline.
            directory: The servers.
            states: What is known of the servers, with the requests sent to them.
            routers: The routers, among which the checks are divided.
            counts: Counters that are summed over all routers.
            presence: Whether the store answers.
            ask_cold_left: Asks a server at its health path for its remaining cold time
                in milliseconds, None if it does not say; blocks until it answers.
            is_alone: Returns whether no other router is heard.
            on_found: Called when a check has found a cold server.
        """
        self._context = context
        self._directory = directory
        self._states = states
        self._routers = routers
        self._counts = counts
        self._presence = presence
        self._ask_cold_left = ask_cold_left
        self._is_alone = is_alone
        self._on_found = on_found
        self._manifest: Manifest | None = None
        self._checked: dict[str, _Checked] = {}
        self._cold: dict[str, Server] = {}
        self._published: set[str] = set()
        self._max_silence_ms = MAX_SILENCE_MS
        self._ranks: dict[str, int] = {}
        self._ranks_version = routers.version
        self._steps = 0
        directory.subscribe(self.record_change)

    def apply_manifest(self, manifest: Manifest) -> None:
        """Apply the services of a manifest.

        Args:
            manifest: The manifest in force.
        """
        self._manifest = manifest

    def record_change(self, kind: str, server: Server) -> None:
        """Note a server that the store tells to be cold, to tell the other routers.

        Args:
            kind: Kind of the change; see `ServerDirectory.subscribe`.
            server: The server.
        """
        if kind in ("joined", "restarted", "changed") and self._left_ms(server) > 0.0:
            self._cold[_key(server)] = server

    def step(self) -> None:
        """Exchange reports with the other routers and start the checks that are due."""
        if self._steps % STEPS_PER_ESTIMATE == 0:
            self._max_silence_ms = self._estimate_max_silence_ms()
        self._steps += 1
        self._presence.update(self._max_silence_ms)
        is_in_doubt = self._presence.is_in_doubt()
        limited = list(self._limited()) if is_in_doubt else []
        servers = self._cold | {_key(server): server for _, server in limited}
        self._publish_all(servers, is_in_doubt)
        self._adopt_all()
        for service, server in limited:
            if not self._directory.is_cold(server):
                self._check_if_due(service, server)

    def _limited(self) -> Iterator[tuple[Service, Server]]:
        """Yield the servers that would get a limited rate if they were cold."""
        for service in self._limited_services():
            for server in self._directory.usable_servers(service.name):
                yield service, server

    def _limited_services(self) -> list[Service]:
        services = self._manifest.services.values() if self._manifest else ()
        return [service for service in services if service.cold_requests_per_s > 0.0]

    def _estimate_max_silence_ms(self) -> float:
        """Return how long the store may be silent before it is asked for a sign."""
        max_silence_ms = MAX_SILENCE_MS
        for service in self._limited_services():
            servers = self._directory.usable_servers(service.name)
            if servers:
                own = sum(map(self._own_requests, servers)) / len(servers)
                requests = UNEVEN_LOAD_FACTOR * own * self._routers.count()
                silence_ms = _time_to_limit_ms(service, requests)
                max_silence_ms = min(max_silence_ms, silence_ms)
        return max(MIN_SILENCE_MS, max_silence_ms)

    def _publish_all(self, servers: dict[str, Server], is_in_doubt: bool) -> None:
        for key, server in servers.items():
            self._publish(key, server, is_in_doubt)
        for key in self._published - servers.keys():
            self._withdraw(key)

    def _publish(self, key: str, server: Server, is_in_doubt: bool) -> None:
        left_ms = self._left_ms(server)
        if left_ms <= 0.0:
            self._cold.pop(key, None)
            if not is_in_doubt:
                self._withdraw(key)
                return
        report = ColdReport(
            routers=int(left_ms > 0.0),
            cold_left_ms=max(0, round(left_ms)),
            requests=self._own_requests(server),
            checks=self._checked[key].own if key in self._checked else 0,
        )
        self._published.add(key)
        self._counts.put(key, report.numbers())

    def _withdraw(self, key: str) -> None:
        self._published.discard(key)
        self._checked.pop(key, None)
        self._counts.remove(key)

    def _total(self, key: str) -> ColdReport:
        return ColdReport(*self._counts.total(key)[:4])

    def _adopt_all(self) -> None:
        """Take over what other routers know at first hand."""
        for key in self._counts.reported_keys(KEY_PREFIX):
            total = self._total(key)
            server = self._find(key)
            if total.routers > 0 and server is not None:
                left_ms = total.cold_left_ms / total.routers
                self._directory.record_told_cold(server, left_ms)

    def _find(self, key: str) -> Server | None:
        server_id = key.removeprefix(KEY_PREFIX).rpartition("/")[0]
        server = self._directory.find(server_id)
        return server if server is not None and _key(server) == key else None

    def _check_if_due(self, service: Service, server: Server) -> None:
        now_ms = self._context.clock.now_ms()
        key = _key(server)
        total = self._total(key)
        interval_ms = _check_interval_ms(service, total.requests)
        if not math.isfinite(interval_ms):
            return
        checked = self._checked.get(key)
        if checked is None:
            # The first router in turn checks at once, the others wait for it.
            checked = _Checked(total.checks, now_ms - interval_ms)
            self._checked[key] = checked
        if total.checks != checked.total:
            checked.total, checked.changed_ms = total.checks, now_ms
        since_ms = max(checked.changed_ms, checked.asked_ms)
        if checked.is_running or now_ms < since_ms + interval_ms:
            return
        if now_ms < checked.changed_ms + interval_ms + self._turn_ms(key):
            return
        checked.is_running, checked.asked_ms = True, now_ms
        start_task(
            self._context,
            "cold_check",
            self._check,
            checked,
            server,
            service.health_path,
        )

    def _turn_ms(self, key: str) -> float:
        """Return how long this router waits for others to check a server."""
        if self._is_alone():
            return 0.0
        if self._ranks_version != self._routers.version:
            self._ranks_version = self._routers.version
            self._ranks = {}
        rank = self._ranks.get(key)
        if rank is None:
            rank = self._ranks[key] = self._routers.rank(key)
        first = min(rank, MAX_RANK)
        return first * NEXT_ROUTER_MS + (rank - first) * LAST_ROUTERS_MS

    def _check(self, checked: _Checked, server: Server, path: str) -> None:
        try:
            left_ms = self._ask_cold_left(server, path)
        finally:
            checked.is_running = False
        if left_ms is None:
            self._context.count("cold_checks_total", "unanswered")
            return
        checked.own += 1
        self._context.count("cold_checks_total", "cold" if left_ms > 0.0 else "warm")
        if left_ms <= 0.0:
            return
        self._context.timeline.record(
            "server_found_cold",
            server=server.record.server_id,
            cold_ms=round(left_ms),
            requests=self._total(_key(server)).requests,
        )
        self._directory.record_cold(server, left_ms)
        self._cold[_key(server)] = server
        self._publish(_key(server), server, is_in_doubt=True)
        self._on_found()

    def _left_ms(self, server: Server) -> float:
        """Return the cold time that this router knows of at first hand."""
        return server.cold_until_ms - self._context.clock.now_ms()

    def _own_requests(self, server: Server) -> int:
        state = self._states.find(server.record.server_id)
        return state.sent_requests.count() if state is not None else 0


def _key(server: Server) -> str:
    return f"{KEY_PREFIX}{server.record.server_id}/{server.record.started_at_ms}"


def _time_to_limit_ms(service: Service, requests: float) -> float:
    """Return in what time a server gets as many requests as a cold one may in 1 s.

    Args:
        service: The service of the server.
        requests: Requests that it got from all routers in the last window.
    """
    requests_per_s = 1000.0 * requests / COLD_WINDOW_MS
    if requests_per_s <= service.cold_requests_per_s:
        return MAX_SILENCE_MS
    return 1000.0 * service.cold_requests_per_s / requests_per_s


def _check_interval_ms(service: Service, requests: int) -> float:
    """Return how often a server must be checked; infinite if it gets few requests."""
    requests_per_s = 1000.0 * requests / COLD_WINDOW_MS
    if requests_per_s <= service.cold_requests_per_s:
        return math.inf
    return max(MIN_INTERVAL_MS, _time_to_limit_ms(service, requests) - REPORT_DELAY_MS)
