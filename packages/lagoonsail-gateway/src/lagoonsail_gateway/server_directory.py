"""The backend servers that may get new work."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock

READY = "ready"
"""State of a server that takes new work."""
DRAINING = "draining"
"""State of a server that is about to leave."""
REGISTRATION_GRACE_MS = 2500.0
"""After an outage of the store, live servers have registered again within this time."""


@dataclass(slots=True, frozen=True)
class ServerRecord:
    """What a backend server says of itself."""

    server_id: str
    """Name of the server; may be the same after a restart."""
    service: str
    """Service that it belongs to."""
    address: str
    """IP number and port."""
    failure_domain: str
    """Failure domain that it stands in."""
    state: str
    """READY or DRAINING."""
    cold_left_ms: float
    """How much longer it is cold, as of the time it was written."""
    born_ms: int
    """Unix time of its start, which tells its incarnations apart."""

    def incarnation(self) -> tuple[str, int]:
        """Return what names this start of the server."""
        return self.server_id, self.born_ms


@dataclass(slots=True)
class Server:
    """A backend server as this router sees it."""

    record: ServerRecord
    """Its newest record."""
    cold_until_ms: float
    """Monotonic time until which it bears only little work."""
    gone_at_ms: float | None = None
    """When it is to be taken as gone, unless it registers again."""


class ServerDirectory:
    """Servers by id, kept up to date from the store."""

    __slots__ = (
        "_by_service",
        "_clock",
        "_listeners",
        "_servers",
        "_store_trouble_ms",
        "evacuated",
    )

    evacuated: set[str]
    """Failure domains that get no new work."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] | None = None
        self._store_trouble_ms = float("-inf")
        self._listeners: list[Callable[[str, Server], None]] = []
        self.evacuated = set()

    def subscribe(self, listener: Callable[[str, Server], None]) -> None:
        """Call a function with `joined`, `changed`, `restarted` and `left` servers."""
        self._listeners.append(listener)

    def note_store_trouble(self) -> None:
        """Remember that the store did not answer, so that records may have lapsed."""
        self._store_trouble_ms = self._clock.now_ms()

    def put(self, record: ServerRecord) -> None:
        """Take over a record.

        Args:
            record: What the server wrote.
        """
        now_ms = self._clock.now_ms()
        known = self._servers.get(record.server_id)
        cold_until_ms = now_ms + record.cold_left_ms
        if known is None or known.record.incarnation() != record.incarnation():
            server = Server(record, cold_until_ms)
            self._servers[record.server_id] = server
            kind = "joined" if known is None else "restarted"
        else:
            server, kind = known, "changed"
            is_same = known.record == record and known.gone_at_ms is None
            server.record = record
            server.gone_at_ms = None
            server.cold_until_ms = cold_until_ms
            if is_same:
                return
        self._by_service = None
        self._notify(kind, server)

    def remove(self, server_id: str) -> None:
        """Note that a record is no longer in the store.

        While the store had trouble a short while ago, the record may have lapsed though
        the server lives; it then has some time to register again.

        Args:
            server_id: The server.
        """
        server = self._servers.get(server_id)
        if server is None or server.gone_at_ms is not None:
            return
        now_ms = self._clock.now_ms()
        end_ms = self._store_trouble_ms + REGISTRATION_GRACE_MS
        server.gone_at_ms = max(now_ms, end_ms)
        self._by_service = None
        self.expire()

    def expire(self) -> None:
        """Drop the servers whose time to register again is over."""
        now_ms = self._clock.now_ms()
        for server_id, server in list(self._servers.items()):
            if server.gone_at_ms is not None and server.gone_at_ms <= now_ms:
                del self._servers[server_id]
                self._by_service = None
                self._notify("left", server)

    def evacuate(self, failure_domains: set[str]) -> None:
        """Set the failure domains that get no new work.

        Args:
            failure_domains: All of them.
        """
        self.evacuated = failure_domains
        self._by_service = None

    def usable(self, service: str) -> list[Server]:
        """Return the servers of a service that may get new work.

        Args:
            service: The service.
        """
        if self._by_service is None:
            self._by_service = self._group()
        return self._by_service.get(service, [])

    def is_usable(self, server: Server) -> bool:
        """Return whether a server may still get new work."""
        return (
            server.record.state == READY
            and server.record.failure_domain not in self.evacuated
            and self._servers.get(server.record.server_id) is server
        )

    def is_cold(self, server: Server) -> bool:
        """Return whether a server bears only little work now."""
        return self._clock.now_ms() < server.cold_until_ms

    def count(self) -> int:
        """Return the number of servers that are known."""
        return len(self._servers)

    def _group(self) -> dict[str, list[Server]]:
        groups = defaultdict(list)
        for server in self._servers.values():
            if self.is_usable(server):
                groups[server.record.service].append(server)
        return dict(groups)

    def _notify(self, kind: str, server: Server) -> None:
        for listener in self._listeners:
            listener(kind, server)
