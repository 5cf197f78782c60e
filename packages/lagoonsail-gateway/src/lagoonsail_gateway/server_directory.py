"""The known backend servers and whether they may get new requests.

Handles records that the store carries out late: to the store they are newer than those
that the server wrote afterwards, and they must not undo these.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock

READY = "ready"
"""State of a server that accepts new requests."""
DRAINING = "draining"
"""State of a server that is shutting down and accepts no new requests."""
REGISTRATION_GRACE_MS = 2500.0
"""Time after an outage of the store within which live servers register again."""
MAX_KEPT_FRACTION = 0.8
"""Maximum time for which a removed server is kept, as a fraction of the time within
which its removal must be in force."""
MAX_FORMER_SERVERS = 4096
"""Servers that have left whose last record is remembered."""


@dataclass(slots=True, frozen=True)
class ServerRecord:
    """The registration record that a backend server writes."""

    server_id: str
    """Name of the server; may stay the same across restarts."""
    service: str
    """Service that it belongs to."""
    address: str
    """IP address and port."""
    failure_domain: str
    """Failure domain of the server."""
    state: str
    """READY or DRAINING."""
    cold_left_ms: float
    """Remaining cold time when the record was written."""
    started_at_ms: int
    """Unix time of its start; distinguishes its incarnations."""
    version: str = ""
    """Version of its software."""

    def incarnation(self) -> tuple[str, int]:
        """Return the key of this incarnation of the server."""
        return self.server_id, self.started_at_ms

    def is_outdated_by(self, known: ServerRecord) -> bool:
        """Return whether the server wrote this record before another one.

        It does not start again with an earlier time, and does not return from draining.
        Its clock must not be set back by more than the time that a restart takes.

        Args:
            known: Another record of the server.
        """
        if self.started_at_ms != known.started_at_ms:
            return self.started_at_ms < known.started_at_ms
        return known.state == DRAINING and self.state != DRAINING


@dataclass(slots=True)
class Server:
    """A backend server as this router sees it."""

    record: ServerRecord
    """Its newest record."""
    cold_until_ms: float
    """Monotonic time until which it gets only a limited rate of requests."""
    told_cold_until_ms: float = float("-inf")
    """The same by what other routers tell."""
    was_cold: bool = False
    """Whether it was cold when its record last changed."""
    expires_at_ms: float | None = None
    """Monotonic time at which it is removed unless it registers again; None if
    registered."""
    previous: ServerRecord | None = None
    """Last record of the incarnation that it replaced, None if there was none."""


class ServerDirectory:
    """Servers by id, kept up to date from the store."""

    __slots__ = (
        "_by_service",
        "_clock",
        "_former",
        "_listeners",
        "_max_kept_ms",
        "_servers",
        "_last_outage_ms",
        "_removed",
        "evacuated",
        "listed_ms",
    )

    evacuated: set[str]
    """Failure domains that get no new requests."""
    listed_ms: float | None
    """Monotonic time of the first complete list of servers, None before."""

    def __init__(self, clock: Clock, max_change_delay_ms: float) -> None:
        """Create an empty directory.

        Args:
            clock: The clock.
            max_change_delay_ms: Time within which a removal must be in force.
        """
        self._clock = clock
        self._max_kept_ms = MAX_KEPT_FRACTION * max_change_delay_ms
        self._removed: list[Server] = []
        self._servers: dict[str, Server] = {}
        self._former: OrderedDict[str, ServerRecord] = OrderedDict()
        self._by_service: dict[str, list[Server]] | None = None
        self._last_outage_ms = float("-inf")
        self._listeners: list[Callable[[str, Server], None]] = []
        self.evacuated = set()
        self.listed_ms = None

    def subscribe(self, listener: Callable[[str, Server], None]) -> None:
        """Register a callback for servers and what happened to them.

        That is `joined`, `changed`, `restarted`, `left`, `kept` without a record, or
        `outdated` for a record that is not taken over.

        Args:
            listener: Called with the kind of the change and the server.
        """
        self._listeners.append(listener)

    def record_store_outage(self) -> None:
        """Record that the store did not answer, so that leases may have expired."""
        self._last_outage_ms = self._clock.now_ms()

    def put(self, record: ServerRecord) -> None:
        """Add or update a server, unless the record is older than a known one.

        Args:
            record: The record that the server wrote.
        """
        now_ms = self._clock.now_ms()
        known = self._servers.get(record.server_id)
        cold_until_ms = now_ms + record.cold_left_ms
        last = self._former.get(record.server_id) if known is None else known.record
        if last is not None and record.is_outdated_by(last):
            self._notify("outdated", Server(record, cold_until_ms))
            return
        if known is None or known.record.incarnation() != record.incarnation():
            server = Server(record, cold_until_ms)
            server.previous = None if known is None else known.record
            self._servers[record.server_id] = server
            kind = "joined" if known is None else "restarted"
        else:
            server, kind = known, "changed"
            is_same = known.record == record and known.expires_at_ms is None
            server.record = record
            server.was_cold = now_ms < server.cold_until_ms
            server.expires_at_ms = None
            # A late record may be from before the server became cold.
            server.cold_until_ms = max(server.cold_until_ms, cold_until_ms)
            if is_same:
                return
        self._by_service = None
        self._notify(kind, server)

    def record_cold(self, server: Server, cold_left_ms: float) -> None:
        """Note that a server says it is cold, other than in its record.

        Args:
            server: The server.
            cold_left_ms: Its remaining cold time.
        """
        now_ms = self._clock.now_ms()
        server.was_cold = self.is_cold(server)
        server.record = replace(server.record, cold_left_ms=cold_left_ms)
        server.cold_until_ms = max(server.cold_until_ms, now_ms + cold_left_ms)
        self._notify("changed", server)

    def record_told_cold(self, server: Server, cold_left_ms: float) -> None:
        """Note that another router knows a server to be cold.

        Args:
            server: The server.
            cold_left_ms: Its remaining cold time.
        """
        server.told_cold_until_ms = self._clock.now_ms() + cold_left_ms

    def remove(self, server_id: str) -> None:
        """Remove a server whose record is no longer in the store.

        Shortly after a store outage the record may have expired although the server is
        alive. Whether it is kept is decided by `settle_removals`.

        Args:
            server_id: The server.
        """
        server = self._servers.get(server_id)
        if server is None or server.expires_at_ms is not None:
            return
        now_ms = self._clock.now_ms()
        end_ms = self._last_outage_ms + REGISTRATION_GRACE_MS
        if end_ms <= now_ms:
            self._drop(server)
            return
        server.expires_at_ms = min(end_ms, now_ms + self._max_kept_ms)
        self._removed.append(server)

    def settle_removals(self) -> None:
        """Decide which of the servers that were removed at the same time are kept.

        After an outage most records of a service have expired, and its live servers
        register again. A server that left is one of few. Without knowing which is the
        case, only a service that would lose most of its servers keeps them for a time.
        """
        if self.listed_ms is None:
            self.listed_ms = self._clock.now_ms()
        removed, self._removed = self._removed, []
        for server in removed:
            is_registered = server.expires_at_ms is None
            if (
                is_registered
                or self._servers.get(server.record.server_id) is not server
            ):
                continue
            if self._has_lost_most(server.record.service):
                self._notify("kept", server)
            else:
                self._drop(server)

    def expire(self) -> None:
        """Remove the servers that did not register again in time."""
        now_ms = self._clock.now_ms()
        for server in list(self._servers.values()):
            if server.expires_at_ms is not None and server.expires_at_ms <= now_ms:
                self._drop(server)

    def _has_lost_most(self, service: str) -> bool:
        records = [s for s in self._servers.values() if s.record.service == service]
        lost = sum(server.expires_at_ms is not None for server in records)
        return 2 * lost > len(records)

    def _drop(self, server: Server) -> None:
        del self._servers[server.record.server_id]
        self._remember(server.record)
        self._by_service = None
        self._notify("left", server)

    def _remember(self, record: ServerRecord) -> None:
        self._former[record.server_id] = record
        self._former.move_to_end(record.server_id)
        if len(self._former) > MAX_FORMER_SERVERS:
            self._former.popitem(last=False)

    def evacuate(self, failure_domains: set[str]) -> None:
        """Replace the failure domains that get no new requests.

        Args:
            failure_domains: All evacuated failure domains.
        """
        self.evacuated = failure_domains
        self._by_service = None

    def usable_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that may get new requests.

        Args:
            service: The service.
        """
        if self._by_service is None:
            self._by_service = self._group_by_service()
        return self._by_service.get(service, [])

    def is_usable(self, server: Server) -> bool:
        """Return whether a server may still get new requests."""
        return (
            server.record.state == READY
            and server.record.failure_domain not in self.evacuated
            and self._servers.get(server.record.server_id) is server
        )

    def is_cold(self, server: Server) -> bool:
        """Return whether a server is cold and gets only a limited rate of requests."""
        until_ms = max(server.cold_until_ms, server.told_cold_until_ms)
        return self._clock.now_ms() < until_ms

    def find(self, server_id: str) -> Server | None:
        """Return a known server, None if it is not known.

        Args:
            server_id: The server.
        """
        return self._servers.get(server_id)

    def count(self) -> int:
        """Return the number of known servers."""
        return len(self._servers)

    def _group_by_service(self) -> dict[str, list[Server]]:
        groups = defaultdict(list)
        for server in self._servers.values():
            if self.is_usable(server):
                groups[server.record.service].append(server)
        return dict(groups)

    def _notify(self, kind: str, server: Server) -> None:
        for listener in self._listeners:
            listener(kind, server)
