"""Polls of a shard's backend servers: load reports, cache events and engine states."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.load_reports import request_load_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServiceDocument
    from lagoonsail_router.batched_gets import BatchedGets
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.shard_servers import Server
    from lagoonsail_router.shard_state import ShardState
    from lagoonsail_sharing.server_limit import LoadReport


class ServerPolls:
    """Reads load reports and cache events; reads started together form one batch."""

    __slots__ = (
        "_context",
        "_gets",
        "_is_stopped",
        "_may_order",
        "_on_report",
        "_on_failed",
        "_servers",
        "_state",
    )

    def __init__(
        self,
        context: RouterContext,
        state: ShardState,
        gets: BatchedGets,
        is_stopped: Callable[[], bool],
        may_order: Callable[[], bool],
        on_report: Callable[[Server, LoadReport], None],
        on_failed: Callable[[Server], None],
    ) -> None:
        self._context = context
        self._state = state
        self._gets = gets
        self._servers = state.servers
        self._is_stopped = is_stopped
        self._may_order = may_order
        self._on_report = on_report
        self._on_failed = on_failed

    def poll(self) -> None:
        """Read the load reports of all servers, except of those skipped this time."""
        for server in list(self._servers.by_name.values()):
            if not self._servers.skip_poll(server):
                self.start_read(server)

    def poll_skipped(self) -> None:
        """Read the load reports of the servers in service that were skipped."""
        for name in self._servers.skipped():
            self.start_read(self._servers.by_name[name])

    def start_read(self, server: Server) -> None:
        """Start to read a server's load report unless a read is in progress.

        Args:
            server: The server.
        """
        if not server.is_reading:
            server.is_reading = True
            server.read_ms = self._context.clock.now_ms()
            address, clock = server.entry.address, self._context.clock
            request_load_report(
                self._gets, address, clock, partial(self._handle_report, server)
            )

    def _handle_report(self, server: Server, result: LoadReport | Unavailable) -> None:
        server.is_reading = server.is_poll_skipped = False
        is_known = self._servers.by_name.get(server.entry.name) is server
        if self._is_stopped() or not is_known:
            return
        if isinstance(result, Unavailable):
            self._context.count("load_reports_failed_total")
            self._state.orders.on_unreachable(server.entry)
            self._on_failed(server)
            return
        self._on_report(server, result)

    def read_engine(self, server: Server) -> None:
        """Read an engine's cache events, and send it orders that are due.

        Args:
            server: The server, which has just reported its load.
        """
        document = self._state.find_document()
        if document and document.kind == "engine":
            self._servers.read_cache(server, self._state.prefixes, self._gets)
            self._reconcile_engine(server, document)

    def _reconcile_engine(self, server: Server, document: ServiceDocument) -> None:
        def may_order() -> bool:
            now_ms = self._context.clock.now_ms()
            is_known = server.is_reported or now_ms >= server.hold_until_ms
            is_idle = server.limit.running + server.unattributed == 0
            return self._may_order() and is_known and is_idle

        def on_load() -> None:
            # The engine serves no requests while it loads, and is cold afterwards.
            server.limit.on_loading(self._context.clock.now_ms())

        entry, gets = server.entry, self._gets
        self._state.orders.reconcile(entry, document, gets, may_order, on_load)
