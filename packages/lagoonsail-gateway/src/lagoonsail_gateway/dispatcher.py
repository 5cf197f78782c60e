"""Selects the backend server of each request, within this router's quotas."""

from __future__ import annotations

import math
import random
from statistics import median
from typing import TYPE_CHECKING

from lagoonsail_gateway.admission import AccountLoad, Refusal, check_wait
from lagoonsail_gateway.ended_servers import EndedServers
from lagoonsail_gateway.fleet_counts import FleetCounts
from lagoonsail_gateway.running_request import RunningRequest
from lagoonsail_gateway.sent_prompts import RecentPrompts, SentPrompt, sender_number
from lagoonsail_gateway.server_health import RESTORED
from lagoonsail_gateway.server_speeds import ServerSpeeds
from lagoonsail_gateway.server_starts import ServerStarts
from lagoonsail_gateway.server_state import ServerState, ServerStates
from lagoonsail_sharing.first_token import HotPrefixes, choose_engine
from lagoonsail_sharing.server_notices import ServerNotices

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.digest import Digest
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.manifest import Engine, Manifest, Service
    from lagoonsail_gateway.rollout_control import RolloutControl
    from lagoonsail_gateway.server_directory import Server, ServerDirectory
    from lagoonsail_router.context import RouterContext

NO_SERVER_RETRY_AFTER_S = 0.5
"""Retry-After of a request for which no server is available."""
MAX_RETURN_SPREAD_MS = 500.0
"""Time over which callers return after servers wanted no requests."""
MAX_SILENCE_MS = 1000.0
"""How long a server with running requests may send nothing, beyond its prefill time."""
PREFILL_OVERRUN_FACTOR = 1.5
"""Factor by which prefill may take longer than expected."""
LARGE_PROMPT_TOKENS = 1000
"""Unread prompt tokens from which a digest is sent early: until the other routers know
of such a prompt, it noticeably delays their requests."""


class Dispatcher:
    """Selects servers for requests, based on the router's view of their load."""

    __slots__ = (
        "_directory",
        "_hot_prefixes",
        "_last_digest_ms",
        "_manifest",
        "_on_large_prompt",
        "_own_domain",
        "_rollouts",
        "_routers",
        "_sender_number",
        "accounts",
        "context",
        "ended",
        "may_connect",
        "notices",
        "recent_prompts",
        "speeds",
        "starts",
        "states",
    )

    accounts: AccountLoad
    """Demand and admitted cost of the client accounts."""
    context: RouterContext
    """Clock, counters and timeline."""
    ended: EndedServers
    """The servers that have ended, though the store lists them."""
    may_connect: Callable[[Server], bool]
    """Returns whether this router has a connection to a server, or may open one."""
    notices: ServerNotices
    """What servers say of themselves in their answers."""
    recent_prompts: RecentPrompts
    """The prompts that this router sent recently."""
    speeds: ServerSpeeds
    """How fast the servers work."""
    starts: ServerStarts
    """The servers in slow start."""
    states: ServerStates
    """What is known of each server."""

    def __init__(
        self,
        context: RouterContext,
        directory: ServerDirectory,
        routers: FleetMembers,
        counts: FleetCounts | None = None,
        own_domain: str = "",
    ) -> None:
        """Create without a manifest.

        Args:
            context: Clock, counters and timeline.
            directory: The servers.
            routers: The routers, among which quotas are divided.
            counts: Counters that are summed over all routers; own ones if None.
            own_domain: Failure domain of this router, empty if there are none.
        """
        self.context = context
        self.accounts = AccountLoad(context.clock)
        self.may_connect = lambda _server: True
        self.notices = ServerNotices(context.clock)
        self.recent_prompts = RecentPrompts(context.clock)
        self._directory = directory
        self._routers = routers
        self._sender_number = sender_number(routers.name)
        self._manifest: Manifest | None = None
        self._rollouts: RolloutControl | None = None
        self._on_large_prompt: Callable[[], None] = lambda: None
        self._own_domain = own_domain
        self._hot_prefixes = HotPrefixes()
        counts = counts or FleetCounts(context.clock)
        self.ended = EndedServers(context, directory, counts)
        self.speeds = ServerSpeeds(context, counts, own_domain)
        self.states = ServerStates(
            context.clock, self._find_engine, self.speeds.service_factor
        )
        self.starts = ServerStarts(
            context,
            directory,
            routers,
            counts,
            self.states,
            self._find_engine,
            self.speeds.is_learned,
        )
        self.speeds.on_refusal = self.starts.record_refusal
        self._last_digest_ms = float("-inf")
        directory.subscribe(self._on_server_change)

    def on_large_prompt(self, callback: Callable[[], None]) -> None:
        """Set the callback that notifies the other routers of a large prompt.

        Args:
            callback: Called whenever a large prompt is sent to an engine.
        """
        self._on_large_prompt = callback

    def apply_manifest(self, manifest: Manifest) -> None:
        """Apply the services and limits of a manifest.

        Args:
            manifest: The manifest in force.
        """
        self._manifest = manifest
        self.accounts.set_rate(manifest.limits.tokens_per_s)

    def set_rollouts(self, rollouts: RolloutControl | None) -> None:
        """Set what restricts requests to some versions of a service.

        Args:
            rollouts: The roll-outs; None if there is no order.
        """
        self._rollouts = rollouts

    def select_server(self, call: GatewayCall) -> ServerState | Refusal:
        """Return the server for a request, or a refusal if none can take it now.

        Args:
            call: The request.
        """
        service = self._manifest.services.get(call.service)
        states = [
            self.states.get(s) for s in self._directory.usable_servers(call.service)
        ]
        states = [
            s for s in states if s.server.record.server_id not in call.tried_server_ids
        ]
        if self.ended.has_any():
            states = [s for s in states if not self.ended.is_replaced(s.server.record)]
        if not states or service is None:
            return _no_server(f"no server of {call.service} is there")
        if self._rollouts is not None:
            states = self._rollouts.restrict(
                call, states, lambda state: self._is_open(state, service)
            )
            if not states:
                return _no_server(f"no server of {call.service} may be used")
        states = self._without_refusing(states)
        accepting = states
        if self.notices.has_any():
            accepting = [s for s in states if self._wants_requests(s)]
        if not accepting:
            return self._refuse_by_notices(call, states)
        allowed = [
            s for s in self._healthy(accepting) if self._has_cold_quota(s, service)
        ]
        if not allowed:
            return _no_server(f"{len(states)} servers of {call.service} are held back")
        if self.starts.has_any():
            allowed = self.starts.within_limits(call.service, allowed)
        state = self._select(call, accepting, allowed)
        if isinstance(state, ServerState) and not self.may_connect(state.server):
            # If no other may be connected to, the request waits for a connection.
            others = [s for s in allowed if self.may_connect(s.server)] or [state]
            state = self._select(call, accepting, others)
        if isinstance(state, Refusal):
            return state
        if service.cold_requests_per_s > 0.0:
            # It may turn out to have been cold already. `count` drops what is over.
            state.sent_requests.count()
            state.sent_requests.record()
        return state

    def start_request(self, call: GatewayCall, state: ServerState) -> RunningRequest:
        """Start a request at a server: update its load, cache and health.

        Args:
            call: The request.
            state: The server.
        """
        state.health.record_attempt(self.context.clock.now_ms())
        self.notices.record_sent(state.server.record.incarnation())
        unread = held = 0
        if call.prompt is not None:
            shared = state.load.cache.unread_tokens(call.prompt)
            unread = call.prompt.unshared_tokens + shared
            held = call.prompt.held_tokens()
            state.load.cache.record_prefill(call.prompt)
            self._hot_prefixes.record(call.prompt.prefix, self.context.clock.now_ms())
            sent = SentPrompt(
                state.server.record.server_id, call.prompt, self._sender_number
            )
            self.recent_prompts.add(sent.encode())
        selection_load = {
            "queue_ms": round(state.load.queue_ms()),
            "slowdown": round(state.speed.slowdown, 2),
            "told_ms_ago": self.last_digest_age_ms(),
        }
        observer = None
        if self._rollouts is not None:
            observer = self._rollouts.observe(call, state, unread)
        on_first_part = self.speeds.start_timing(state, unread)
        if self.starts.has_any():
            on_first_part = self.starts.start_request(
                state, unread, call.route.objective_ms, on_first_part
            )
        run = RunningRequest(
            self.context.clock,
            state,
            unread,
            held,
            selection_load,
            on_first_part,
            self._record_run,
        )
        run.observer = observer
        if unread >= LARGE_PROMPT_TOKENS:
            self._on_large_prompt()
        return run

    def pending_by_server(self) -> dict[str, tuple[int, int]]:
        """Return this router's running requests and unread prompt tokens by server."""
        return {
            state.server.record.server_id: (
                state.load.running,
                int(state.load.pending_tokens),
            )
            for state in self.states.all()
            if state.load.running
        }

    def record_peer_prompt(self, sent_prompt: SentPrompt) -> None:
        """Note a prompt that a router has sent, by way of others perhaps this one.

        Args:
            sent_prompt: The prompt and its engine.
        """
        state = self.states.find(sent_prompt.server_id)
        is_own = sent_prompt.sender == self._sender_number
        if state is not None and not is_own:
            state.load.cache.record_prefill(sent_prompt.prompt)
            now_ms = self.context.clock.now_ms()
            self._hot_prefixes.record(sent_prompt.prompt.prefix, now_ms)

    def replace_digest(self, previous: Digest | None, newest: Digest | None) -> None:
        """Replace the previous digest of another router with its newest one.

        Args:
            previous: The previous digest; None if there is none.
            newest: The newest digest; None if the router went silent.
        """
        self._last_digest_ms = self.context.clock.now_ms()
        self.states.replace_digest(previous, newest)
        if newest is None:
            self.accounts.remove_peer(previous.router)
        else:
            self.accounts.apply_peer_sums(
                newest.router, newest.incarnation, newest.sums
            )

    def last_digest_age_ms(self) -> int | None:
        """Return the age of the last digest change in ms, None if there was none."""
        if self._last_digest_ms == float("-inf"):
            return None
        return round(self.context.clock.now_ms() - self._last_digest_ms)

    def update_shares(self) -> None:
        """Recompute the shares of the client accounts."""
        engines = [
            state
            for state in self.states.all()
            if state.load.cache.capacity_tokens and self.is_usable(state)
        ]
        engines = self._without_refusing(engines)
        self.accounts.update(_median_queue_ms(engines) if engines else 0.0)

    def is_usable(self, state: ServerState) -> bool:
        """Return whether a server may be selected for a request."""
        return (
            self._directory.is_usable(state.server)
            and self._wants_requests(state)
            and not self.ended.is_replaced(state.server.record)
        )

    def is_still_usable(self, state: ServerState) -> bool:
        """Return whether a server that was selected may still get the request."""
        record = state.server.record
        is_out = self.notices.is_out(record.incarnation())
        has_ended = self.ended.is_replaced(record)
        return self._directory.is_usable(state.server) and not (is_out or has_ended)

    def record_leaving(self, state: ServerState) -> None:
        """Note that a server says in an answer that it is leaving.

        Args:
            state: The server.
        """
        record = state.server.record
        if self.notices.record_leaving(record.incarnation()):
            self.context.timeline.record("server_leaving", server=record.server_id)

    def update_speeds(self) -> None:
        """Publish what the answers told of the servers' speeds, and estimate them."""
        self.speeds.update(self.states.all())

    def record_answer(self, state: ServerState, backoff_ms: float | None) -> None:
        """Note that a server answered, and whether it wants a pause.

        Args:
            state: The server.
            backoff_ms: Time for which it wants no requests, None if not stated.
        """
        record = state.server.record
        if backoff_ms is None:
            self.notices.record_answer(record.incarnation())
        elif self.notices.record_backoff(record.incarnation(), backoff_ms):
            self.context.timeline.record(
                "server_paused", server=record.server_id, pause_ms=round(backoff_ms)
            )

    def _without_refusing(self, states: list[ServerState]) -> list[ServerState]:
        """Return the servers that do not refuse connections.

        If all do, all are returned: one may have restarted since.
        """
        if not self.ended.has_any():
            return states
        accepting = [s for s in states if not self.ended.is_refusing(s.server.record)]
        return accepting or states

    def _wants_requests(self, state: ServerState) -> bool:
        return self.notices.allows(state.server.record.incarnation())

    def _refuse_by_notices(
        self, call: GatewayCall, states: list[ServerState]
    ) -> Refusal:
        wait_ms = self.notices.wait_ms(s.server.record.incarnation() for s in states)
        if wait_ms == math.inf:
            return _no_server(f"all servers of {call.service} are leaving")
        # Spread, so that the callers do not return at the same moment.
        spread_ms = random.uniform(0.0, MAX_RETURN_SPREAD_MS)
        return Refusal(
            "servers_paused",
            f"the servers of {call.service} want no requests for {wait_ms:.0f} ms",
            (wait_ms + spread_ms) / 1000.0,
        )

    def _record_run(self, run: RunningRequest, is_success: bool) -> None:
        self.record_result(run.state, is_success, run.sent_ms)
        if not is_success:
            self.starts.record_failure(run.state, run.sent_ms)

    def record_result(
        self, state: ServerState, is_success: bool, sent_ms: float
    ) -> None:
        """Record the result of a request in the health of its server.

        Args:
            state: The server.
            is_success: Whether the server succeeded.
            sent_ms: When the request was sent.
        """
        change = state.health.record_result(
            self.context.clock.now_ms(), is_success, sent_ms
        )
        if change:
            self.context.timeline.record(
                change,
                server=state.server.record.server_id,
                failures=round(state.health.failure_rate, 2),
                until_ms=round(state.health.suspended_until_ms),
            )
        if change == RESTORED:
            self.starts.begin_after_suspension(state.server)

    def _healthy(self, states: list[ServerState]) -> list[ServerState]:
        now_ms = self.context.clock.now_ms()
        healthy = [
            state
            for state in states
            if state.health.allows_request(now_ms)
            and not self._is_silent(state, now_ms)
        ]
        # If more than half of the servers fail the check, the check itself is in
        # doubt, so all of them are used.
        return healthy if 2 * len(healthy) >= len(states) else states

    def _is_silent(self, state: ServerState, now_ms: float) -> bool:
        """Return whether a server with running requests has been silent for too long.

        Silence is the only sign of a server that crashed without a TCP reset or that
        is cut off from the network.
        """
        if not state.load.running:
            return False
        read_ms = state.load.queue_ms()
        return (
            now_ms - state.last_response_ms
            > MAX_SILENCE_MS + PREFILL_OVERRUN_FACTOR * read_ms
        )

    def _select(
        self, call: GatewayCall, states: list[ServerState], allowed: list[ServerState]
    ) -> ServerState | Refusal:
        if call.prompt is None:
            return self.speeds.choose_plain_server(allowed)
        by_id = {state.load.engine_id: state for state in allowed}
        choice = choose_engine(
            call.prompt,
            [state.load for state in states],
            lambda load: load.engine_id in by_id,
            call.route.objective_ms,
            self._own_domain,
            self._hot_prefixes.is_hot(call.prompt.prefix, self.context.clock.now_ms()),
        )
        usage_ratio = self.accounts.usage_ratio(call.account)
        delay_ms = choice.delay_ms
        if usage_ratio is not None and usage_ratio > 1.0:
            delay_ms = max(delay_ms, _median_queue_ms(allowed))
        refusal = check_wait(
            delay_ms, choice.prefill_ms, call.route.objective_ms, usage_ratio
        )
        return refusal or by_id[choice.load.engine_id]

    def _is_open(self, state: ServerState, service: Service) -> bool:
        """Return whether a server can take a request now."""
        return (
            self._wants_requests(state)
            and state.health.allows_request(self.context.clock.now_ms())
            and not self.ended.is_refusing(state.server.record)
            and self._has_cold_quota(state, service)
        )

    def _has_cold_quota(self, state: ServerState, service: Service) -> bool:
        if not self._directory.is_cold(state.server):
            return True
        return state.sent_requests.remaining(self._cold_quota(state, service)) > 0

    def _cold_quota(self, state: ServerState, service: Service) -> int:
        total = int(service.cold_requests_per_s)
        return self._routers.quota_of(total, state.server.record.server_id)

    def _find_engine(self, service_name: str) -> Engine | None:
        service = self._manifest and self._manifest.services.get(service_name)
        return None if service is None else service.engine

    def _on_server_change(self, kind: str, server: Server) -> None:
        record = server.record
        self.context.timeline.record(
            f"server_{kind}",
            server=record.server_id,
            service=record.service,
            state=record.state,
            cold_ms=record.cold_left_ms,
            **_kept_fields(server, self.context.clock.now_ms()),
        )
        self.starts.apply_change(kind, server)
        if kind in ("left", "restarted"):
            self.speeds.remove(record.server_id)
        if kind == "left":
            self.states.remove(server)


def _kept_fields(server: Server, now_ms: float) -> dict[str, int]:
    """Return log fields of a server that is kept without a record."""
    if server.expires_at_ms is None:
        return {}
    return {"kept_ms": round(max(0.0, server.expires_at_ms - now_ms))}


def _median_queue_ms(states: list[ServerState]) -> float:
    """Return the median queueing delay of engines.

    Accounts above their share are admitted by this value rather than by the queue of
    the best engine: an account that sends often hits every engine just as it becomes
    idle, or is estimated to be. While the other engines are busy, the idle one is left
    to other accounts.
    """
    return median(state.load.queue_ms() for state in states)


def _no_server(reason: str) -> Refusal:
    return Refusal("no_server", reason, NO_SERVER_RETRY_AFTER_S)
