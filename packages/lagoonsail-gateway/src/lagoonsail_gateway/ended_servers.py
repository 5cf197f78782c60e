"""Finds servers that have ended before the store removes their records.

After a crash the store lists a server until its lease expires, and for the whole length
of an outage of the store. Such a server seems to be idle, so it attracts requests, and
each of them costs a retry or a connection attempt. Two signs show the end: another
server answers at the address, or connections are refused. Routers tell each other of
both in digests, since in a large fleet each of them sends few requests to a server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.server_directory import ServerDirectory, ServerRecord
    from lagoonsail_router.context import RouterContext

KEY_PREFIX = "ended/"
"""Prefix of the counters of this part."""
REFUSED_PAUSE_MS = 1000.0
"""Time after a refused connection in which a server gets no requests. It ends, as a
server may restart under the same id, at the same address."""
MIN_REFUSED_ROUTERS = 2
"""Routers with refused connections from which others avoid a server too: a single one
may be unable to reach it."""
_REPLACED = 0
_REFUSED = 1


class EndedServers:
    """The servers that another one has replaced, or that refuse connections."""

    __slots__ = (
        "_context",
        "_counts",
        "_directory",
        "_own_refused",
        "_own_replaced",
        "_refusing",
        "_replaced",
    )

    def __init__(
        self, context: RouterContext, directory: ServerDirectory, counts: FleetCounts
    ) -> None:
        """Start without evidence.

        Args:
            context: Clock and timeline.
            directory: The servers that the store lists.
            counts: Counters that are summed over all routers.
        """
        self._context = context
        self._counts = counts
        self._directory = directory
        self._own_refused: dict[str, tuple[ServerRecord, float]] = {}
        self._own_replaced: dict[str, ServerRecord] = {}
        self._refusing: set[str] = set()
        self._replaced: set[str] = set()

    def has_any(self) -> bool:
        """Return whether any server is avoided."""
        return bool(self._replaced or self._refusing)

    def record_replaced(self, record: ServerRecord, other_id: str) -> None:
        """Record that another server answered at the address of a server.

        Args:
            record: The record of the server that was expected.
            other_id: Id of the server that answered.
        """
        key = _key(record)
        if key in self._own_replaced:
            return
        self._own_replaced[key] = record
        self._replaced.add(key)
        self._context.timeline.record(
            "server_replaced", server=record.server_id, by=other_id
        )

    def record_refused(self, record: ServerRecord) -> None:
        """Record that a server refused a connection.

        Args:
            record: The record of the server.
        """
        key = _key(record)
        until_ms = self._context.clock.now_ms() + REFUSED_PAUSE_MS
        self._own_refused[key] = (record, until_ms)
        self._refusing.add(key)

    def is_replaced(self, record: ServerRecord) -> bool:
        """Return whether another server runs at the address of a server."""
        return _key(record) in self._replaced

    def is_refusing(self, record: ServerRecord) -> bool:
        """Return whether a server has just refused connections."""
        return _key(record) in self._refusing

    def update(self) -> None:
        """Publish what this router saw, and apply what the others report."""
        self._drop_own()
        self._publish()
        totals = {
            key: (*self._counts.total(key), 0, 0)
            for key in self._counts.reported_keys(KEY_PREFIX)
        }
        replaced = {key for key, total in totals.items() if total[_REPLACED] > 0}
        refusing = {
            key
            for key, total in totals.items()
            if total[_REFUSED] >= MIN_REFUSED_ROUTERS
        }
        self._replaced = replaced | self._own_replaced.keys()
        self._refusing = refusing | self._own_refused.keys()

    def _drop_own(self) -> None:
        """Drop what has expired, or is about records that have gone or changed."""
        now_ms = self._context.clock.now_ms()
        for key, record in list(self._own_replaced.items()):
            if not self._is_listed(key, record):
                del self._own_replaced[key]
                self._counts.remove(key)
        for key, (record, until_ms) in list(self._own_refused.items()):
            if until_ms <= now_ms or not self._is_listed(key, record):
                del self._own_refused[key]
                self._counts.remove(key)

    def _publish(self) -> None:
        for key in self._own_replaced.keys() | self._own_refused.keys():
            numbers = (int(key in self._own_replaced), int(key in self._own_refused))
            self._counts.put(key, numbers)

    def _is_listed(self, key: str, record: ServerRecord) -> bool:
        server = self._directory.find(record.server_id)
        return server is not None and _key(server.record) == key


def _key(record: ServerRecord) -> str:
    return f"{KEY_PREFIX}{record.server_id}/{record.started_at_ms}/{record.address}"
