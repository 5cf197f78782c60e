"""Finds servers whose process has ended before the store removes their records.

After a crash the store lists a server until its lease expires, and for the whole length
of an outage of the store. Such a server seems to be idle, so it attracts requests, and
each of them costs a retry. Two signs show the end: connections are refused, or another
server answers at the address. Routers tell each other of both by counters in digests,
since in a large fleet each of them sends few requests to a server.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.server_directory import ServerRecord
    from lagoonsail_router.context import RouterContext

KEY_PREFIX = "ended/"
"""Prefix of the counters of this part."""
REFUSED_PAUSE_MS = 1000.0
"""Time after a refused connection in which a server gets no requests. It ends, as a
server may restart under the same id, at the same address."""
_REPLACED = 0
_REFUSED = 1


class EndedServers:
    """The incarnations of servers that have probably ended.

    Example:
        >>> from types import SimpleNamespace
        >>> from lagoonsail_core.clock import Clock
        >>> from lagoonsail_gateway.fleet_counts import FleetCounts
        >>> clock = Clock(lambda: 0.0, lambda: 0.0)
        >>> timeline = SimpleNamespace(record=lambda *_args, **_fields: None)
        >>> context = SimpleNamespace(clock=clock, timeline=timeline)
        >>> record = SimpleNamespace(server_id="s1", started_at_ms=7)
        >>> ended = EndedServers(context, FleetCounts(clock))
        >>> ended.record_replaced(record, "s2")
        >>> ended.is_replaced(record), ended.is_refusing(record)
        (True, False)
    """

    __slots__ = (
        "_context",
        "_counts",
        "_own_replaced",
        "_refused_totals",
        "_refusing_until_ms",
        "_replaced",
    )

    def __init__(self, context: RouterContext, counts: FleetCounts) -> None:
        """Start without evidence.

        Args:
            context: Clock and timeline.
            counts: Counters that are summed over all routers.
        """
        self._context = context
        self._counts = counts
        self._own_replaced: set[str] = set()
        self._replaced: set[str] = set()
        self._refused_totals: dict[str, int] = {}
        self._refusing_until_ms: dict[str, float] = {}

    def has_any(self) -> bool:
        """Return whether any server is avoided."""
        return bool(self._replaced or self._refusing_until_ms)

    def record_replaced(self, record: ServerRecord, other_id: str) -> None:
        """Record that another server answered at the address of a server.

        Args:
            record: The record of the server that was expected.
            other_id: Id of the server that answered.
        """
        key = _key(record)
        if key in self._own_replaced:
            return
        self._own_replaced.add(key)
        self._replaced.add(key)
        self._counts.add(key, _REPLACED)
        self._context.timeline.record(
            "server_replaced", server=record.server_id, by=other_id
        )

    def record_refused(self, record: ServerRecord) -> None:
        """Record that a server refused a connection.

        Args:
            record: The record of the server.
        """
        key = _key(record)
        self._counts.add(key, _REFUSED)
        self._pause(key)

    def is_replaced(self, record: ServerRecord) -> bool:
        """Return whether another server runs at the address of a server."""
        return _key(record) in self._replaced

    def is_refusing(self, record: ServerRecord) -> bool:
        """Return whether a server has just refused a connection of some router."""
        until_ms = self._refusing_until_ms.get(_key(record), -math.inf)
        return self._context.clock.now_ms() < until_ms

    def update(self) -> None:
        """Apply what the other routers report, and drop what has expired."""
        totals = {
            key: (*self._counts.total(key), 0, 0)
            for key in self._counts.reported_keys(KEY_PREFIX)
        }
        reported = {key for key, total in totals.items() if total[_REPLACED] > 0}
        self._replaced = self._own_replaced | reported
        for key, total in totals.items():
            # A sum that falls is that of a router that has gone.
            if total[_REFUSED] > self._refused_totals.get(key, 0):
                self._pause(key)
        self._refused_totals = {key: total[_REFUSED] for key, total in totals.items()}
        now_ms = self._context.clock.now_ms()
        for key, until_ms in list(self._refusing_until_ms.items()):
            if until_ms <= now_ms:
                del self._refusing_until_ms[key]

    def remove(self, record: ServerRecord) -> None:
        """Forget a server whose record was removed or names a later start.

        Args:
            record: The record of the incarnation that has ended.
        """
        key = _key(record)
        self._own_replaced.discard(key)
        self._counts.remove(key)

    def _pause(self, key: str) -> None:
        self._refusing_until_ms[key] = self._context.clock.now_ms() + REFUSED_PAUSE_MS


def _key(record: ServerRecord) -> str:
    return f"{KEY_PREFIX}{record.server_id}/{record.started_at_ms}"
