"""What a router knows of each backend server: load, speed, cache, health, cold limit.

The load is that of this router's own requests and the load that other routers report
in digests. The states of a server end with its incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_gateway.fleet_share import WindowLimit
from lagoonsail_gateway.server_health import ServerHealth
from lagoonsail_sharing.first_token import EngineLoad, PrefixCache
from lagoonsail_sharing.server_load import ReportedLoad
from lagoonsail_sharing.server_speed import DEFAULT_TOKENS_PER_MS, ServerSpeed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.digest import Digest
    from lagoonsail_gateway.manifest import Engine
    from lagoonsail_gateway.server_directory import Server

COLD_WINDOW_MS = 1000.0
"""Window in which the requests to a cold server are limited."""


@dataclass(slots=True)
class ServerState:
    """State of one incarnation of a server, beyond its record."""

    server: Server
    """The server."""
    load: EngineLoad
    """Load from this router's requests and from those that other routers report."""
    health: ServerHealth
    """Recent failures of its responses."""
    sent_requests: WindowLimit
    """Requests that were sent within the last second, which are limited while it is
    cold."""
    speed: ServerSpeed
    """How fast it works."""
    reported: ReportedLoad
    """The load that it last reported to this router."""
    last_response_ms: float = 0.0
    """When it last sent data, or when its first running request was sent."""


class ServerStates:
    """The states of all servers, and the load on them that digests report."""

    __slots__ = (
        "_by_id",
        "_by_incarnation",
        "_clock",
        "_find_engine",
        "_peer_pending",
        "_service_factor",
    )

    def __init__(
        self,
        clock: Clock,
        find_engine: Callable[[str], Engine | None],
        service_factor: Callable[[str], float],
    ) -> None:
        """Create without servers.

        Args:
            clock: The clock.
            find_engine: Returns the engine properties of a service, None if it runs no
                language model.
            service_factor: Returns the speed that a new server of a service is assumed
                to have, relative to the default.
        """
        self._clock = clock
        self._find_engine = find_engine
        self._by_incarnation: dict[tuple[str, int], ServerState] = {}
        self._by_id: dict[str, ServerState] = {}
        self._peer_pending: dict[str, tuple[int, int]] = {}
        self._service_factor = service_factor

    def all(self) -> Iterable[ServerState]:
        """Return the states of all servers that were considered for a request."""
        return self._by_incarnation.values()

    def find(self, server_id: str) -> ServerState | None:
        """Return the state of a server, None if it was not considered yet.

        Args:
            server_id: Id of the server.
        """
        return self._by_id.get(server_id)

    def others_running(self, server_id: str) -> int:
        """Return the requests of other routers at a server, by their digests.

        Args:
            server_id: Id of the server.
        """
        return self._peer_pending.get(server_id, (0, 0))[0]

    def get(self, server: Server) -> ServerState:
        """Return the state of a server, which is created on first use.

        Args:
            server: The server.
        """
        state = self._by_incarnation.get(server.record.incarnation())
        return state or self._create(server)

    def remove(self, server: Server) -> None:
        """Forget a server that has left.

        Args:
            server: The server.
        """
        state = self._by_incarnation.pop(server.record.incarnation(), None)
        server_id = server.record.server_id
        if state is not None and self._by_id.get(server_id) is state:
            del self._by_id[server_id]

    def replace_digest(self, previous: Digest | None, newest: Digest | None) -> None:
        """Replace the load that another router reported.

        Args:
            previous: Its previous digest; None if there is none.
            newest: Its newest digest; None if the router went silent.
        """
        self._add_pending(previous, -1)
        self._add_pending(newest, 1)

    def _create(self, server: Server) -> ServerState:
        server_id = server.record.server_id
        engine = self._find_engine(server.record.service)
        previous = self._by_id.get(server_id)
        if previous is not None:
            # The server has restarted: its requests and cache are lost.
            self._by_incarnation.pop(previous.server.record.incarnation(), None)
        factor = self._service_factor(server.record.service)
        load = EngineLoad(
            server_id,
            PrefixCache(engine.cache_tokens if engine else 0),
            tokens_per_ms=DEFAULT_TOKENS_PER_MS * factor,
            slots=engine.slots if engine else 0,
            failure_domain=server.record.failure_domain,
        )
        state = ServerState(
            server,
            load,
            ServerHealth(),
            WindowLimit(self._clock, COLD_WINDOW_MS),
            ServerSpeed(factor, self._clock.now_ms()),
            ReportedLoad(),
        )
        state.load.set_others(*self._peer_pending.get(server_id, (0, 0)))
        self._by_incarnation[server.record.incarnation()] = state
        self._by_id[server_id] = state
        return state

    def _add_pending(self, digest: Digest | None, sign: int) -> None:
        for server_id, (running, tokens) in digest.pending.items() if digest else ():
            peer_running, peer_tokens = self._peer_pending.get(server_id, (0, 0))
            totals = (peer_running + sign * running, peer_tokens + sign * tokens)
            if totals == (0, 0):
                self._peer_pending.pop(server_id, None)
            else:
                self._peer_pending[server_id] = totals
            if server_id in self._by_id:
                self._by_id[server_id].load.set_others(*totals)
