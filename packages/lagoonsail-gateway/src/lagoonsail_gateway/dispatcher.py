"""Chooses the backend server of each request, within this router's share."""

from __future__ import annotations

import random
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from lagoonsail_gateway.admission import AccountLoad, Refusal, judge_wait
from lagoonsail_gateway.fleet_share import WindowLimit
from lagoonsail_gateway.prompt_reads import PromptRead, RecentReads
from lagoonsail_gateway.server_health import ServerHealth
from lagoonsail_sharing.first_token import EngineLoad, PrefixCache, choose_engine

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.fleet_share import RouterCount
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.manifest import Manifest, Service
    from lagoonsail_gateway.peer_digests import Digest
    from lagoonsail_gateway.server_directory import Server, ServerDirectory
    from lagoonsail_router.context import RouterContext

PREFILL_TOKENS_PER_MS = 50.0
"""Prompt tokens that an engine is assumed to read in a millisecond."""
RETRY_AFTER_NO_SERVER_S = 0.5
"""When to try again where no server may get a request now."""
SILENCE_MS = 1000.0
"""How long a server with work may send nothing, beyond the time that it reads."""
SILENCE_READ_FACTOR = 1.5
"""By how much reading may take longer than expected."""
MUCH_WORK_TOKENS = 1000
"""Tokens of a prompt that delay others noticeably until their routers know of them."""
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
    heard_ms: float = 0.0
    """When something came from it, or the first of its running requests was sent."""


class Run:
    """One request at one server, from its sending to its end."""

    __slots__ = (
        "_dispatcher",
        "_is_read",
        "_queue_ms",
        "_unread",
        "sent_ms",
        "state",
    )

    sent_ms: float
    """When it was sent."""
    state: ServerState
    """The server."""

    def __init__(self, dispatcher: Dispatcher, state: ServerState, unread: int) -> None:
        self._dispatcher = dispatcher
        self._is_read = False
        self._queue_ms = state.load.queue_ms(PREFILL_TOKENS_PER_MS)
        self._unread = unread
        self.sent_ms = dispatcher.context.clock.now_ms()
        self.state = state
        state.load.pending_tokens += unread
        state.load.running += 1

    def describe(self) -> dict[str, object]:
        """Return what the choice of the server was based on."""
        load = self.state.load
        return {
            "queue_ms": round(self._queue_ms),
            "unread_tokens": self._unread,
            "running_here": load.running,
            "running_elsewhere": load.others_running,
            "told_ms_ago": self._dispatcher.told_ms_ago(),
        }

    def note_sent(self) -> None:
        """Note that the request leaves; from now on the server owes an answer."""
        state = self.state
        if state.load.running == 1:
            state.heard_ms = self._dispatcher.context.clock.now_ms()

    def note_heard(self) -> None:
        """Note that something came from the server."""
        self.state.heard_ms = self._dispatcher.context.clock.now_ms()

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
            self._dispatcher.judge(self.state, is_good, self.sent_ms)


class Dispatcher:
    """The router's view of all servers, by which it places requests."""

    __slots__ = (
        "_by_id",
        "_directory",
        "_manifest",
        "_on_much_work",
        "_others",
        "_routers",
        "_states",
        "_told_ms",
        "accounts",
        "context",
        "reads",
    )

    accounts: AccountLoad
    """What the client accounts asked for and got."""
    context: RouterContext
    """Clock, counters and time line."""
    reads: RecentReads
    """The prompts that this router sent."""

    def __init__(
        self, context: RouterContext, directory: ServerDirectory, routers: RouterCount
    ) -> None:
        self.context = context
        self.accounts = AccountLoad(context.clock)
        self.reads = RecentReads(context.clock)
        self._directory = directory
        self._routers = routers
        self._manifest: Manifest | None = None
        self._on_much_work: Callable[[], None] = lambda: None
        self._states: dict[tuple[str, int], ServerState] = {}
        self._by_id: dict[str, ServerState] = {}
        self._others: dict[str, tuple[int, int]] = {}
        self._told_ms = float("-inf")
        directory.subscribe(self._on_change)

    def on_much_work(self, tell: Callable[[], None]) -> None:
        """Have the other routers told of work that is worth it.

        Args:
            tell: Called whenever much work was sent to an engine.
        """
        self._on_much_work = tell

    def use(self, manifest: Manifest) -> None:
        """Take over the services of a manifest.

        Args:
            manifest: The manifest in force.
        """
        self._manifest = manifest
        self.accounts.use_rate(manifest.limits.tokens_per_s)

    def choose(self, call: GatewayCall) -> ServerState | Refusal:
        """Return the server to which a request goes, or why none may get it now.

        Args:
            call: The request.
        """
        service = self._manifest.services.get(call.service)
        states = [self._state(s) for s in self._directory.usable(call.service)]
        states = [s for s in states if s.server.record.server_id not in call.tried]
        if not states or service is None:
            return _no_server(f"no server of {call.service} is there")
        allowed = [s for s in self._healthy(states) if self._has_room(s, service)]
        if not allowed:
            return _no_server(f"{len(states)} servers of {call.service} are held back")
        state = self._place(call, states, allowed)
        if isinstance(state, Refusal):
            return state
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
        unread = 0
        if call.prompt is not None:
            shared = state.load.cache.unread_tokens(call.prompt)
            unread = call.prompt.own_tokens + shared
            state.load.cache.note_read(call.prompt)
            server_id = state.server.record.server_id
            self.reads.add(PromptRead(server_id, call.prompt))
        run = Run(self, state, unread)
        if unread >= MUCH_WORK_TOKENS:
            self._on_much_work()
        return run

    def pending(self) -> dict[str, tuple[int, int]]:
        """Return running requests and unread tokens of this router by server."""
        return {
            state.server.record.server_id: (
                state.load.running,
                int(state.load.pending_tokens),
            )
            for state in self._states.values()
            if state.load.running
        }

    def note_read(self, read: PromptRead) -> None:
        """Take over that another router has sent a prompt.

        Args:
            read: The prompt and its engine.
        """
        state = self._by_id.get(read.server_id)
        if state is not None:
            state.load.cache.note_read(read.prompt)

    def replace_digest(self, former: Digest | None, newest: Digest | None) -> None:
        """Take over what another router told, in place of what it told before.

        Args:
            former: Its former digest.
            newest: Its newest digest; None if it is not heard any more.
        """
        self._told_ms = self.context.clock.now_ms()
        self._add_pending(former, -1)
        self._add_pending(newest, 1)
        if newest is None:
            self.accounts.forget(former.router)
        else:
            self.accounts.note_told(newest.router, newest.incarnation, newest.sums)

    def told_ms_ago(self) -> int | None:
        """Return the age of what another router told last, None if none told."""
        if self._told_ms == float("-inf"):
            return None
        return round(self.context.clock.now_ms() - self._told_ms)

    def _add_pending(self, digest: Digest | None, sign: int) -> None:
        for server_id, (running, tokens) in digest.pending.items() if digest else ():
            known_running, known_tokens = self._others.get(server_id, (0, 0))
            others = (known_running + sign * running, known_tokens + sign * tokens)
            if others == (0, 0):
                self._others.pop(server_id, None)
            else:
                self._others[server_id] = others
            if server_id in self._by_id:
                self._by_id[server_id].load.set_others(*others)

    def update_shares(self) -> None:
        """Compute the shares of the client accounts anew."""
        engines = [
            state
            for state in self._states.values()
            if state.load.cache.capacity_tokens and self.is_usable(state)
        ]
        self.accounts.update(_usual_queue_ms(engines) if engines else 0.0)

    def is_usable(self, state: ServerState) -> bool:
        """Return whether a server that was chosen may still get the request."""
        return self._directory.is_usable(state.server)

    def judge(self, state: ServerState, is_good: bool, sent_ms: float) -> None:
        """Take over how a request went at a server.

        Args:
            state: The server.
            is_good: Whether it did well.
            sent_ms: When the request was sent.
        """
        change = state.health.note(self.context.clock.now_ms(), is_good, sent_ms)
        if change:
            self.context.timeline.record(
                change,
                server=state.server.record.server_id,
                failures=round(state.health.failure_share, 2),
                until_ms=round(state.health.suspended_until_ms),
            )

    def _healthy(self, states: list[ServerState]) -> list[ServerState]:
        now_ms = self.context.clock.now_ms()
        healthy = [
            state
            for state in states
            if state.health.may_get(now_ms) and not self._is_silent(state, now_ms)
        ]
        # With most servers in doubt the doubt itself is doubtful.
        return healthy if 2 * len(healthy) >= len(states) else states

    def _is_silent(self, state: ServerState, now_ms: float) -> bool:
        """Return whether a server with work has sent nothing for longer than it may.

        A server that crashed without a reset, or that is cut off, shows only that.
        """
        if not state.load.running:
            return False
        read_ms = state.load.queue_ms(PREFILL_TOKENS_PER_MS)
        return now_ms - state.heard_ms > SILENCE_MS + SILENCE_READ_FACTOR * read_ms

    def _place(
        self, call: GatewayCall, states: list[ServerState], allowed: list[ServerState]
    ) -> ServerState | Refusal:
        if call.prompt is None:
            return min(allowed, key=self._plain_load)
        by_id = {state.load.engine_id: state for state in allowed}
        choice = choose_engine(
            call.prompt,
            [state.load for state in states],
            PREFILL_TOKENS_PER_MS,
            lambda load: load.engine_id in by_id,
        )
        excess = self.accounts.excess(call.account)
        delay_ms = choice.delay_ms
        if excess is not None and excess > 1.0:
            delay_ms = max(delay_ms, _usual_queue_ms(allowed))
        refusal = judge_wait(delay_ms, choice.read_ms, call.route.objective_ms, excess)
        return refusal or by_id[choice.load.engine_id]

    def _plain_load(self, state: ServerState) -> tuple[float, float]:
        load = state.load
        return load.running + load.others_running, random.random()

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
            server_id = server.record.server_id
            former = self._by_id.get(server_id)
            if former is not None:
                # It has started again, and keeps and knows nothing of before.
                self._states.pop(former.server.record.incarnation(), None)
            cache = PrefixCache(self._cache_tokens(server.record.service))
            state = self._states[key] = self._by_id[server_id] = ServerState(
                server,
                EngineLoad(server_id, cache),
                ServerHealth(),
                WindowLimit(self.context.clock, COLD_WINDOW_MS),
            )
            state.load.set_others(*self._others.get(server_id, (0, 0)))
        return state

    def _cache_tokens(self, service_name: str) -> int:
        service = self._manifest.services.get(service_name)
        has_engine = service is not None and service.engine is not None
        return service.engine.cache_tokens if has_engine else 0

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
            state = self._states.pop(record.incarnation(), None)
            if state is not None and self._by_id.get(record.server_id) is state:
                del self._by_id[record.server_id]


def _usual_queue_ms(states: list[ServerState]) -> float:
    """Return the median queue of engines.

    An account that asks often finds each engine in the moment in which it falls idle,
    or is thought to; if the others are not idle, this one belongs to other accounts.
    """
    return median(state.load.queue_ms(PREFILL_TOKENS_PER_MS) for state in states)


def _no_server(reason: str) -> Refusal:
    return Refusal("no_server", reason, RETRY_AFTER_NO_SERVER_S)
