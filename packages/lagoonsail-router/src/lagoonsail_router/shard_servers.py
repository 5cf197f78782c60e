"""The backend servers of a shard, as tracked by its owner."""

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
from lagoonsail_router.load_reports import request_cache_events
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
"""How long a new owner grants no slots on a server that sends no load report."""
INITIAL_BACKOFF_MS = 250.0
"""Backoff after the first refusal of a server."""
MAX_BACKOFF_MS = 4000.0
"""Maximum backoff; it doubles with each consecutive refusal."""
IDLE_POLL_INTERVAL_MS = 5000.0
"""Interval between reads of the load report of an idle server."""
CACHE_EVENT_INTERVAL_MS = 2500.0
"""Interval between reads of an engine's cache events, which only guide placement."""


@dataclass(slots=True)
class Server:
    """A backend server as tracked by the owner of its shard."""

    entry: ServerEntry
    """Entry in the service document."""
    limit: ServerLimit
    """Current limit of running requests."""
    hold_until_ms: float
    """No grant before this time; the server may run requests unknown to this owner."""
    is_reported: bool = False
    """Whether a load report has arrived in this epoch."""
    unattributed: int = 0
    """Requests that it may still run in addition to the slots in use."""
    unattributed_since_ms: float = 0.0
    """When `unattributed` last grew; only reports measured later can lower it."""
    backoff_until_ms: float = 0.0
    """No grant before this time, because the server refused requests."""
    refusals: int = 0
    """Consecutive refusals."""
    setbacks: int = 0
    """Setbacks of its limit that are recorded in the timeline."""
    was_warm: bool = False
    """Whether it was warm at the last check."""
    was_usable: bool = True
    """Whether it was in service at the last check."""
    cache_sequence: int = 0
    """Sequence number of the last cache event that was read."""
    cache_read_ms: float = float("-inf")
    """When cache events were last read."""
    read_ms: float = float("-inf")
    """When the last read of a load report began."""
    is_reading: bool = False
    """Whether a load report is being read."""
    is_poll_skipped: bool = False
    """Whether a report was skipped because the server is idle; it may turn cold before
    the next report, so until then it is limited to its cold slots."""


class ShardServers:
    """The servers of a shard by name, and how many requests each may take."""

    __slots__ = ("_context", "_epoch", "_shard", "by_name")

    by_name: dict[str, Server]
    """Servers by unqualified name."""

    def __init__(self, context: RouterContext, shard: str, epoch: int) -> None:
        self._context = context
        self._shard = shard
        self._epoch = epoch
        self.by_name = {}

    def update(self, document: ServiceDocument) -> None:
        """Apply the servers of a document.

        Args:
            document: The document of the service.
        """
        region = region_of(self._shard)
        regional = {
            entry.name: entry
            for entry in document.servers.values()
            if (entry.region or document.region) == region
        }
        for name in set(self.by_name) - set(regional):
            del self.by_name[name]
        for entry in regional.values():
            self._update_server(entry, document)

    def _update_server(self, entry: ServerEntry, document: ServiceDocument) -> None:
        server = self.by_name.get(entry.name)
        if server and server.entry.address == entry.address:
            server.entry = entry
            server.limit.set_slots(entry.slots, entry.cold_slots)
        else:
            server = self.by_name[entry.name] = self._make_server(entry, document)
        is_usable = document.is_usable(entry)
        if is_usable != server.was_usable:
            event = "server_in" if is_usable else "server_out"
            self._record_server(event, server)
        server.was_usable = is_usable

    def _make_server(self, entry: ServerEntry, document: ServiceDocument) -> Server:
        now_ms = self._context.clock.now_ms()
        is_plain = document.kind != "engine"
        limit = ServerLimit(entry.slots, entry.cold_slots, now_ms, is_plain)
        hold_until_ms = now_ms + UNREPORTED_HOLD_MS if self._epoch > 1 else now_ms
        return Server(entry, limit, hold_until_ms)

    def restore(self, states: dict[str, list]) -> None:
        """Continue with the limits of an earlier owner.

        Args:
            states: Incarnation and limit by server.
        """
        now_ms = self._context.clock.now_ms()
        for name, (incarnation, limit) in states.items():
            server = self.by_name.get(name)
            if server:
                server.limit.restore(incarnation, limit, now_ms)

    def states(self) -> dict[str, list]:
        """Return the limits in the form that `restore` accepts."""
        return {
            name: [server.limit.incarnation, server.limit.limit]
            for name, server in self.by_name.items()
        }

    def candidates(self) -> Iterator[Candidate]:
        """Yield the servers whose limits leave a slot free."""
        for name, server in self.by_name.items():
            limit = _effective_limit(server)
            running = server.limit.running + server.unattributed
            if running < limit:
                yield Candidate(name, limit, running)

    def may_take(
        self,
        name: str,
        document: ServiceDocument,
        level: str,
        leaving: set[str],
        is_closed: Callable[[ServerEntry], bool],
    ) -> bool:
        """Return whether a server with a free slot may take another request now.

        Args:
            name: Name of the server.
            document: The document in force.
            level: Level of the owner's right.
            leaving: Addresses of leaving hosts.
            is_closed: Whether an engine order keeps a server from taking requests.
        """
        server = self.by_name[name]
        entry = server.entry
        if not document.is_usable(entry) or entry.address in leaving:
            return False
        if is_closed(entry):
            return False
        if level == GUARDED and _effective_limit(server) <= server.limit.cold_slots:
            return False
        return _is_past_holds(server, self._context.clock.now_ms())

    def skip_poll(self, server: Server) -> bool:
        """Return whether to skip the next load report of a server, and record if so.

        Args:
            server: The server.
        """
        is_idle = server.is_reported and not server.limit.running + server.unattributed
        if not is_idle or is_managed(server.entry):
            return False
        if self._context.clock.now_ms() >= server.read_ms + IDLE_POLL_INTERVAL_MS:
            return False
        server.is_poll_skipped = True
        return True

    def skipped(self) -> list[str]:
        """Return the names of the servers in service whose reports are skipped."""
        return [
            name
            for name, server in self.by_name.items()
            if server.is_poll_skipped and server.was_usable
        ]

    def read_cache(
        self, server: Server, prefixes: PrefixIndex, gets: BatchedGets
    ) -> None:
        """Request an engine's cache events if a read is due.

        Args:
            server: The engine.
            prefixes: Cached prefixes of the servers of the shard.
            gets: Sends the request.
        """
        now_ms = self._context.clock.now_ms()
        if now_ms < server.cache_read_ms + CACHE_EVENT_INTERVAL_MS:
            return
        server.cache_read_ms = now_ms

        def on_events(events: list[CacheEvent] | Unavailable) -> None:
            is_current = self.by_name.get(server.entry.name) is server
            if is_current and isinstance(events, list):
                _apply_cache_events(server, events, prefixes)

        request_cache_events(
            gets, server.entry.address, server.cache_sequence, on_events
        )

    def finish(
        self, server: Server, slot: tuple[int, int], outcome: str, done: SlotDone | None
    ) -> float:
        """Remove a request from a server and adjust its limit to the outcome.

        Args:
            server: The server.
            slot: Epoch and number of the slot.
            outcome: One of the OUTCOME constants.
            done: Message of the slot holder, None if there is none.

        Returns:
            Backoff in milliseconds, 0 if the server did not refuse the request.
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
            # The server may be slow to notice that the request was abandoned.
            server.unattributed += 1
            server.unattributed_since_ms = now_ms
        return _back_off(server, outcome, now_ms)

    def apply_report(
        self, server: Server, report: LoadReport, running: int, settled: int
    ) -> None:
        """Update a server from a load report.

        Args:
            server: The server.
            report: Its load report.
            running: Slots in use on it.
            settled: Slots that were granted early enough for the report to count them.
        """
        server.limit.on_report(report, self._context.clock.now_ms())
        self._record_warmth(server)
        if not server.is_reported:
            # Requests unknown to this new owner may run for disconnected routers.
            server.unattributed = max(server.unattributed, report.running - running)
        elif report.measured_ms >= server.unattributed_since_ms:
            server.unattributed = max(
                0, min(server.unattributed, report.running - settled)
            )
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


def _apply_cache_events(
    server: Server, events: list[CacheEvent], prefixes: PrefixIndex
) -> None:
    name = server.entry.name
    for event in events:
        server.cache_sequence = max(server.cache_sequence, event.sequence)
        if event.is_reset:
            prefixes.forget(name)
            continue
        prefixes.on_events(name, event.sequence, event.stored, event.removed)


def _effective_limit(server: Server) -> int:
    """Return how many requests may run on a server now."""
    limit = server.limit
    return limit.cold_slots if server.is_poll_skipped else limit.limit


def _is_past_holds(server: Server, now_ms: float) -> bool:
    """Return whether neither a takeover nor a refusal delays grants on a server."""
    if now_ms < server.hold_until_ms and not server.is_reported:
        return False
    return now_ms >= server.backoff_until_ms


def _back_off(server: Server, outcome: str, now_ms: float) -> float:
    if outcome == OUTCOME_WHOLE:
        server.refusals = 0
    if outcome not in (OUTCOME_UNREACHABLE, OUTCOME_REFUSED):
        return 0.0
    backoff_ms = min(INITIAL_BACKOFF_MS * 2**server.refusals, MAX_BACKOFF_MS)
    server.refusals += 1
    server.backoff_until_ms = max(server.backoff_until_ms, now_ms + backoff_ms)
    return backoff_ms


def _describe(server: Server, document: ServiceDocument | None) -> dict:
    is_usable = document is not None and document.is_usable(server.entry)
    return {
        "limit": server.limit.limit,
        "running": server.limit.running,
        "unknown": server.unattributed,
        "state": "in" if is_usable else "out",
        "failure_domain": server.entry.failure_domain,
        "warm": server.limit.is_warm,
        "setback": server.limit.last_setback,
    }
