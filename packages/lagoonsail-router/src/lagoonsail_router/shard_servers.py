"""The backend servers of one shard, as its owner sees them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.messages import (
    OUTCOME_BROKEN,
    OUTCOME_CANCELLED,
    OUTCOME_REFUSED,
    OUTCOME_UNREACHABLE,
    OUTCOME_WHOLE,
)
from lagoonsail_core.names import region_of, service_of
from lagoonsail_router.engine_orders import is_managed
from lagoonsail_router.load_reports import ask_cache_events
from lagoonsail_router.right import GUARDED
from lagoonsail_sharing.placement import Candidate
from lagoonsail_sharing.server_limit import ServerLimit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonsail_config.document import ServerEntry, ServiceDocument
    from lagoonsail_core.messages import SlotDone
    from lagoonsail_core.unavailable import Unavailable
    from lagoonsail_router.batched_gets import BatchedGets
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.load_reports import CacheEvent
    from lagoonsail_sharing.prefix_index import PrefixIndex
    from lagoonsail_sharing.server_limit import LoadReport

UNREPORTED_HOLD_MS = 10_000.0
"""How long a new owner leaves a server alone that does not report its load."""
FIRST_PAUSE_MS = 250.0
"""How long a server gets nothing after its first refusal."""
LONGEST_PAUSE_MS = 4000.0
"""Longest such pause; it doubles with each refusal in a row."""
IDLE_READ_MS = 5000.0
"""Time between two load reports that are read of a server on which nothing runs."""
CACHE_READ_MS = 2500.0
"""Time between two reads of an engine's cache events, which only guide the choice."""


@dataclass(slots=True)
class Server:
    """A backend server as its owner sees it."""

    entry: ServerEntry
    """Its part of the service document."""
    limit: ServerLimit
    """How much it may run now."""
    hold_until_ms: float
    """No grant before this time; the server may run what this owner does not know."""
    is_reported: bool = False
    """Whether a load report has come in this epoch."""
    unknown: int = 0
    """Requests beyond the slots in use that it may still run."""
    unknown_since_ms: float = 0.0
    """When the last of these was added; only later reports can take them away."""
    paused_until_ms: float = 0.0
    """No grant before this time, since the server refused requests."""
    refusals: int = 0
    """Refusals in a row."""
    setbacks: int = 0
    """Setbacks of its limit that were recorded on the time line."""
    was_warm: bool = False
    """Whether it was warm at the last look."""
    was_usable: bool = True
    """Whether it was in service at the last look."""
    cache_sequence: int = 0
    """Sequence of the last cache event that was read."""
    cache_read_ms: float = float("-inf")
    """When cache events were last read."""
    read_ms: float = float("-inf")
    """When the last read of a load report began."""
    is_reading: bool = False
    """Whether a load report is being read."""
    is_resting: bool = False
    """Whether a report was left out since nothing runs on it; until the next one it may
    have turned cold, and takes no more than then."""


class ShardServers:
    """The servers of a shard by name, and what each may take now."""

    __slots__ = ("_context", "_epoch", "_shard", "by_name")

    by_name: dict[str, Server]
    """Servers by unqualified name."""

    def __init__(self, context: RouterContext, shard: str, epoch: int) -> None:
        self._context = context
        self._shard = shard
        self._epoch = epoch
        self.by_name = {}

    def update(self, document: ServiceDocument) -> None:
        """Take over the servers of a document.

        Args:
            document: The document of the service.
        """
        region = region_of(self._shard)
        mine = {
            entry.name: entry
            for entry in document.servers.values()
            if (entry.region or document.region) == region
        }
        for name in set(self.by_name) - set(mine):
            del self.by_name[name]
        for entry in mine.values():
            self._update_one(entry, document)

    def _update_one(self, entry: ServerEntry, document: ServiceDocument) -> None:
        server = self.by_name.get(entry.name)
        if server and server.entry.address == entry.address:
            server.entry = entry
            server.limit.set_slots(entry.slots, entry.cold_slots)
        else:
            server = self.by_name[entry.name] = self._make(entry, document)
        is_usable = document.is_usable(entry)
        if is_usable != server.was_usable:
            event = "server_in" if is_usable else "server_out"
            self._record_server(event, server)
        server.was_usable = is_usable

    def _make(self, entry: ServerEntry, document: ServiceDocument) -> Server:
        now_ms = self._context.clock.now_ms()
        is_plain = document.kind != "engine"
        limit = ServerLimit(entry.slots, entry.cold_slots, now_ms, is_plain)
        hold_until_ms = now_ms + UNREPORTED_HOLD_MS if self._epoch > 1 else now_ms
        return Server(entry, limit, hold_until_ms)

    def restore(self, states: dict[str, list]) -> None:
        """Go on from the limits that an earlier owner had found.

        Args:
            states: Incarnation and limit by server.
        """
        now_ms = self._context.clock.now_ms()
        for name, (incarnation, limit) in states.items():
            server = self.by_name.get(name)
            if server:
                server.limit.restore(incarnation, limit, now_ms)

    def states(self) -> dict[str, list]:
        """Return what `restore` takes at the next owner."""
        return {
            name: [server.limit.incarnation, server.limit.limit]
            for name, server in self.by_name.items()
        }

    def candidates(self) -> Iterator[Candidate]:
        """Yield the servers that have a free slot by their limits."""
        for name, server in self.by_name.items():
            limit = _limit(server)
            taken = server.limit.running + server.unknown
            if taken < limit:
                yield Candidate(name, limit, taken)

    def may_take(
        self,
        name: str,
        document: ServiceDocument,
        level: str,
        leaving: set[str],
        is_closed: Callable[[ServerEntry], bool],
    ) -> bool:
        """Return whether a server with a free slot may take one more request now.

        Args:
            name: Name of the server.
            document: The document in force.
            level: Level of the owner's right.
            leaving: Addresses of leaving hosts.
            is_closed: Tells whether an order keeps a server from taking requests.
        """
        server = self.by_name[name]
        entry = server.entry
        if not document.is_usable(entry) or entry.address in leaving:
            return False
        if is_closed(entry):
            return False
        if level == GUARDED and _limit(server) <= server.limit.cold_slots:
            return False
        return _is_rested(server, self._context.clock.now_ms())

    def rest(self, server: Server) -> bool:
        """Return whether the next load report of a server may be left out.

        Args:
            server: The server.
        """
        is_idle = server.is_reported and not server.limit.running + server.unknown
        if not is_idle or is_managed(server.entry):
            return False
        if self._context.clock.now_ms() >= server.read_ms + IDLE_READ_MS:
            return False
        server.is_resting = True
        return True

    def resting(self) -> list[str]:
        """Return the names of the servers in service whose reports are left out."""
        return [
            name
            for name, server in self.by_name.items()
            if server.is_resting and server.was_usable
        ]

    def read_cache(
        self, server: Server, prefixes: PrefixIndex, gets: BatchedGets
    ) -> None:
        """Ask for an engine's cache events if that is due.

        Args:
            server: The engine.
            prefixes: What the servers of the shard hold.
            gets: Sends the request.
        """
        now_ms = self._context.clock.now_ms()
        if now_ms < server.cache_read_ms + CACHE_READ_MS:
            return
        server.cache_read_ms = now_ms

        def on_events(events: list[CacheEvent] | Unavailable) -> None:
            is_current = self.by_name.get(server.entry.name) is server
            if is_current and isinstance(events, list):
                _take_events(server, events, prefixes)

        ask_cache_events(gets, server.entry.address, server.cache_sequence, on_events)

    def finish(
        self, server: Server, slot: tuple[int, int], outcome: str, done: SlotDone | None
    ) -> float:
        """Take a request off a server and learn from how it went.

        Args:
            server: The server.
            slot: Epoch and number of the slot.
            outcome: One of the OUTCOME constants.
            done: What the holder told, None if it told nothing.

        Returns:
            Milliseconds for which the server gets nothing; 0 if it did not refuse.
        """
        now_ms = self._context.clock.now_ms()
        server.limit.finish(
            slot,
            outcome,
            done.server_incarnation if done else "",
            done.first_ms if done else 0.0,
            done.duration_ms if done else 0.0,
            done.cost if done else 0.0,
            now_ms,
        )
        if outcome == OUTCOME_UNREACHABLE:
            server.limit.on_refused(now_ms)
        self._record_warmth(server)
        if outcome in (OUTCOME_BROKEN, OUTCOME_CANCELLED) and not server.limit.is_warm:
            # The server may notice late that nobody waits for the answer any more.
            server.unknown += 1
            server.unknown_since_ms = now_ms
        return _pause(server, outcome, now_ms)

    def take_report(
        self, server: Server, report: LoadReport, running: int, settled: int
    ) -> None:
        """Compare a load report with what the owner knows.

        Args:
            server: The server.
            report: What it said.
            running: Slots in use on it.
            settled: Slots that were granted so long ago that the report counts them.
        """
        server.limit.on_report(report, self._context.clock.now_ms())
        self._record_warmth(server)
        if not server.is_reported:
            # What this new owner does not know of may be run for lost routers.
            server.unknown = max(server.unknown, report.running - running)
        elif report.measured_ms >= server.unknown_since_ms:
            server.unknown = max(0, min(server.unknown, report.running - settled))
        server.is_reported = True

    def _record_warmth(self, server: Server) -> None:
        limit = server.limit
        setbacks = sum(limit.setbacks.values())
        if setbacks > server.setbacks:
            self._record_server("server_cold", server, reason=limit.last_setback)
        elif limit.is_warm and not server.was_warm:
            self._record_server("server_warm", server, limit=limit.limit)
        server.setbacks = setbacks
        server.was_warm = limit.is_warm

    def _record_server(self, name: str, server: Server, **fields: str | int) -> None:
        service = service_of(self._shard)
        self._context.timeline.record(
            name,
            server=f"{service}/{server.entry.name}",
            failure_domain=f"{service.split('/')[0]}/{server.entry.failure_domain}",
            **fields,
        )

    def describe(self, document: ServiceDocument | None) -> dict:
        """Return the state of the servers for operators."""
        return {
            name: _describe(server, document) for name, server in self.by_name.items()
        }


def _take_events(
    server: Server, events: list[CacheEvent], prefixes: PrefixIndex
) -> None:
    name = server.entry.name
    for event in events:
        server.cache_sequence = max(server.cache_sequence, event.sequence)
        if event.is_reset:
            prefixes.forget(name)
            continue
        prefixes.on_events(name, event.sequence, event.stored, event.removed)


def _limit(server: Server) -> int:
    """Return how many requests may run on a server by what is known now."""
    limit = server.limit
    return limit.cold_slots if server.is_resting else limit.limit


def _is_rested(server: Server, now_ms: float) -> bool:
    """Return whether neither a take-over nor a refusal keeps a server from work."""
    if now_ms < server.hold_until_ms and not server.is_reported:
        return False
    return now_ms >= server.paused_until_ms


def _pause(server: Server, outcome: str, now_ms: float) -> float:
    if outcome == OUTCOME_WHOLE:
        server.refusals = 0
    if outcome not in (OUTCOME_UNREACHABLE, OUTCOME_REFUSED):
        return 0.0
    pause_ms = min(FIRST_PAUSE_MS * 2**server.refusals, LONGEST_PAUSE_MS)
    server.refusals += 1
    server.paused_until_ms = max(server.paused_until_ms, now_ms + pause_ms)
    return pause_ms


def _describe(server: Server, document: ServiceDocument | None) -> dict:
    is_usable = document is not None and document.is_usable(server.entry)
    return {
        "limit": server.limit.limit,
        "running": server.limit.running,
        "unknown": server.unknown,
        "state": "in" if is_usable else "out",
        "failure_domain": server.entry.failure_domain,
        "warm": server.limit.is_warm,
        "setback": server.limit.last_setback,
    }
