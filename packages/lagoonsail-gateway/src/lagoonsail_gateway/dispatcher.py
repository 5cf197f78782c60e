"""Chooses the backend server of each request, within this router's share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_gateway.fleet_share import WindowLimit
from lagoonsail_gateway.server_health import ServerHealth
from lagoonsail_sharing.first_token import EngineLoad, choose_engine, unread_tokens

if TYPE_CHECKING:
    from lagoonsail_gateway.fleet_share import RouterCount
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.manifest import Manifest, Service
    from lagoonsail_gateway.request_format import ServerLoad
    from lagoonsail_gateway.server_directory import Server, ServerDirectory
    from lagoonsail_router.context import RouterContext

PREFILL_TOKENS_PER_MS = 45.0
"""Prompt tokens that an engine is assumed to read in a millisecond."""
COLD_WINDOW_MS = 1000.0
"""Window in which the requests to a cold server are counted."""


@dataclass(slots=True)
class ServerState:
    """What this router knows of one start of a server, beyond its record."""

    server: Server
    """The server."""
    load: EngineLoad
    """Work that this router has sent there."""
    health: ServerHealth
    """How its answers went."""
    cold: WindowLimit
    """Requests sent while it was cold."""
    reported: ServerLoad | None = None
    """Load that it told last."""
    reported_ms: float = float("-inf")
    """When it told it."""


class Run:
    """One request at one server, from its sending to its end."""

    __slots__ = ("_dispatcher", "_is_read", "_unread", "call", "sent_ms", "state")

    def __init__(self, dispatcher: Dispatcher, call: GatewayCall, state: ServerState):
        self._dispatcher = dispatcher
        self.call = call
        self.state = state
        self.sent_ms = dispatcher.context.clock.now_ms()
        self._is_read = False
        self._unread = 0
        if call.prompt is not None:
            is_held = state.load.holds(call.prompt.prefix)
            self._unread = unread_tokens(call.prompt, state.load, is_home=is_held)
            state.load.pending_tokens += self._unread
        state.load.running += 1

    def note_first(self) -> None:
        """Note that the first part of the answer has come."""
        if self._is_read:
            return
        self._is_read = True
        self.state.load.pending_tokens -= self._unread

    def end(self, *, is_good: bool | None) -> None:
        """Note the end.

        Args:
            is_good: Whether the server did well; None if it shows nothing.
        """
        self.note_first()
        self.state.load.running -= 1
        if is_good is not None:
            self._dispatcher.judge(self.state, is_good)


class Dispatcher:
    """The router's view of all servers, by which it places requests."""

    __slots__ = ("_directory", "_manifest", "_routers", "_states", "context")

    context: RouterContext
    """Clock, counters and time line."""

    def __init__(
        self, context: RouterContext, directory: ServerDirectory, routers: RouterCount
    ) -> None:
        self.context = context
        self._directory = directory
        self._routers = routers
        self._manifest: Manifest | None = None
        self._states: dict[tuple[str, int], ServerState] = {}
        directory.subscribe(self._on_change)

    def use(self, manifest: Manifest) -> None:
        """Take over the services of a manifest.

        Args:
            manifest: The manifest in force.
        """
        self._manifest = manifest

    def choose(self, call: GatewayCall) -> ServerState | None:
        """Return the server to which a request goes, None if none may get it now.

        Args:
            call: The request.
        """
        service = self._manifest.services.get(call.service)
        states = [self._state(s) for s in self._directory.usable(call.service)]
        states = [s for s in states if s.server.record.server_id not in call.tried]
        if not states or service is None:
            return None
        now_ms = self.context.clock.now_ms()
        healthy = [s for s in states if s.health.may_get(now_ms)]
        # With most servers in doubt the doubt itself is doubtful.
        if 2 * len(healthy) < len(states):
            healthy = states
        allowed = [s for s in healthy if self._has_room(s, service)]
        if not allowed:
            return None
        state = self._place(call, states, allowed)
        if self._directory.is_cold(state.server):
            state.cold.take(self._cold_part(state, service))
        return state

    def begin(self, call: GatewayCall, state: ServerState) -> Run:
        """Note that a request is being sent.

        Args:
            call: The request.
            state: The server.
        """
        state.health.note_try(self.context.clock.now_ms())
        run = Run(self, call, state)
        service = self._manifest.services.get(call.service)
        if call.prompt is not None and service is not None and service.engine:
            state.load.note_held(call.prompt, service.engine.cache_tokens)
        return run

    def is_usable(self, state: ServerState) -> bool:
        """Return whether a server that was chosen may still get the request."""
        return self._directory.is_usable(state.server)

    def note_load(self, state: ServerState, load: ServerLoad) -> None:
        """Take over what a server says of its load."""
        state.reported = load
        state.reported_ms = self.context.clock.now_ms()

    def judge(self, state: ServerState, is_good: bool) -> None:
        """Take over how a request went at a server."""
        change = state.health.note(self.context.clock.now_ms(), is_good)
        if change:
            self.context.timeline.record(
                change,
                server=state.server.record.server_id,
                failures=round(state.health.failure_share, 2),
                until_ms=round(state.health.suspended_until_ms),
            )

    def _place(
        self, call: GatewayCall, states: list[ServerState], allowed: list[ServerState]
    ) -> ServerState:
        if call.prompt is None:
            return min(allowed, key=self._plain_load)
        by_load = {id(state.load): state for state in states}
        allowed_loads = {id(state.load) for state in allowed}
        load = choose_engine(
            call.prompt,
            [state.load for state in states],
            PREFILL_TOKENS_PER_MS,
            lambda load: id(load) in allowed_loads,
        )
        return by_load[id(load)]

    def _plain_load(self, state: ServerState) -> tuple[float, float]:
        age_ms = self.context.clock.now_ms() - state.reported_ms
        reported = state.reported if age_ms < 300.0 else None
        seen = reported.running + reported.waiting if reported else 0
        return state.load.running + seen, -age_ms

    def _has_room(self, state: ServerState, service: Service) -> bool:
        if not self._directory.is_cold(state.server):
            return True
        return state.cold.left(self._cold_part(state, service)) > 0

    def _cold_part(self, state: ServerState, service: Service) -> int:
        total = int(service.cold_requests_per_s)
        return self._routers.part_of(total, state.server.record.server_id)

    def _state(self, server: Server) -> ServerState:
        key = server.record.incarnation()
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = ServerState(
                server,
                EngineLoad(server.record.server_id),
                ServerHealth(),
                WindowLimit(self.context.clock, COLD_WINDOW_MS),
            )
        return state

    def _on_change(self, kind: str, server: Server) -> None:
        record = server.record
        self.context.timeline.record(
            f"server_{kind}",
            server=record.server_id,
            service=record.service,
            state=record.state,
            cold_ms=record.cold_left_ms,
        )
        if kind == "left":
            self._states.pop(record.incarnation(), None)
