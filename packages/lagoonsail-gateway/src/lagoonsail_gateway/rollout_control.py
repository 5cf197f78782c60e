"""Roll-outs at one router: which servers a request may use, and what the answers say.

Orders and phases come through the view of the store. Each router counts what it sees,
judges the sums of all routers, and stops sending to a bad version without waiting for
the leader, which writes the phases (`rollout_leader`). Without an order nothing of this
is called for a request.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.fleet_share import rank_routers
from lagoonsail_gateway.rollout_answers import (
    NEW,
    OLD,
    RolloutAnswers,
    answers_key,
    crash_key,
)
from lagoonsail_gateway.server_directory import READY
from lagoonsail_rollout.answer_counts import AnswerCounts, subtract_answer_counts
from lagoonsail_rollout.exposure import canary_chance, canary_servers, route_chance
from lagoonsail_rollout.judgement import Judgement, combine, is_rare_route, judge
from lagoonsail_rollout.phases import CANARY, Situation, is_final
from lagoonsail_rollout.version_choice import (
    VersionRule,
    choose_servers,
    in_service_after,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lagoonsail_gateway.dispatcher import Dispatcher
    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.rollout_answers import AnswerObserver
    from lagoonsail_gateway.rollout_records import (
        RolloutOrder,
        RolloutPhase,
        RolloutStore,
    )
    from lagoonsail_gateway.server_directory import Server, ServerDirectory
    from lagoonsail_gateway.server_state import ServerState
    from lagoonsail_gateway.store_view import StoreItem
    from lagoonsail_rollout.exposure import ExposureBounds
    from lagoonsail_router.context import RouterContext

REQUESTS = 0
"""Number of a service's key: requests that reached the service since the order."""
EXPOSED = 1
"""Number of a service's key: requests that were sent to the new version."""
VOTES = 2
"""Number of a service's key: routers that stopped sending to the new version."""
MIN_VOTE_FRACTION = 0.5
"""Fraction of the routers whose evidence condemns a version, even if the sums don't:
the counts of routers that died are missing in them."""
WINDOW_MS = 3000.0
"""Length of the windows whose answers are judged apart from all since the order. A
window is judged until the next one has ended, so it grows to twice this."""
AnswersByRoute = dict[str, AnswerCounts]
"""Counts of one version by route."""


class ServiceRollout:
    """The order, status and phase of one service, and what is known of its versions."""

    __slots__ = (
        "chances",
        "crashes",
        "deadline_ms",
        "has_exact_deadline",
        "is_stopped",
        "judgement",
        "order",
        "order_revision",
        "phase",
        "phase_revision",
        "phase_since_ms",
        "rule",
        "service",
        "started_ms",
        "status_revision",
        "trial_ids",
        "window_starts",
        "windows",
    )

    chances: dict[str, float]
    """Chance of a request to be sent to the new version as a trial, by route."""
    crashes: dict[str, int]
    """Crashes since the order, by version."""
    deadline_ms: float
    """Monotonic time of the limit."""
    has_exact_deadline: bool
    """Whether the order was seen as it came; else the limit is an estimate."""
    is_stopped: bool
    """Whether this router has seen evidence against the new version."""
    judgement: Judgement
    """What the answers say so far."""
    order: RolloutOrder | None
    """The newest order, None if it is withdrawn."""
    order_revision: int
    """Revision of the order, or of its removal."""
    phase: RolloutPhase | None
    """The phase in the store, perhaps of an earlier order."""
    phase_revision: int
    """Revision of its key, 0 if there is none."""
    phase_since_ms: float
    """When this router saw the phase, or the order if that is newer."""
    rule: VersionRule | None
    """Which versions requests may use; None for all."""
    service: str
    """Name of the service."""
    started_ms: float
    """When this router saw the order."""
    status_revision: int
    """Revision of the status, 0 if there is none."""
    trial_ids: frozenset[str]
    """Servers of the new version that the canary uses."""
    window_starts: list[tuple[float, AnswersByRoute, AnswersByRoute]]
    """Time and counts of old and new version at the start of the last two windows."""
    windows: int
    """Number of windows since the order."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.chances = {}
        self.crashes = {}
        self.deadline_ms = float("inf")
        self.has_exact_deadline = False
        self.is_stopped = False
        self.judgement = Judgement()
        self.order = None
        self.order_revision = 0
        self.phase = None
        self.phase_revision = 0
        self.phase_since_ms = 0.0
        self.rule = None
        self.started_ms = 0.0
        self.status_revision = 0
        self.trial_ids = frozenset()
        self.window_starts = []
        self.windows = 0

    def key(self) -> str:
        """Return the key of its counts, which differs by order."""
        return f"rollout/{self.service}/{self.order_revision}"

    def has_phase(self) -> bool:
        """Return whether the phase in the store belongs to the newest order."""
        return self.phase is not None and self.phase.order == self.order_revision

    def current_phase(self) -> str:
        """Return the phase of the newest order."""
        return self.phase.phase if self.has_phase() else CANARY

    def is_active(self) -> bool:
        """Return whether there is an order that is neither completed nor undone."""
        return self.order is not None and not is_final(self.current_phase())


class RolloutControl:
    """The roll-outs of all services."""

    __slots__ = (
        "_bounds",
        "_context",
        "_counts",
        "_directory",
        "_dispatcher",
        "_routers",
        "_routes",
        "_store",
        "answers",
        "services",
    )

    answers: RolloutAnswers
    """Counts of answers."""
    services: dict[str, ServiceRollout]
    """Services with an order or a phase, by name."""

    def __init__(
        self,
        context: RouterContext,
        bounds: ExposureBounds,
        store: RolloutStore,
        directory: ServerDirectory,
        dispatcher: Dispatcher,
        routers: FleetMembers,
        counts: FleetCounts,
    ) -> None:
        self._context = context
        self._bounds = bounds
        self._counts = counts
        self._directory = directory
        self._dispatcher = dispatcher
        self._routers = routers
        self._routes: dict[str, list[str]] = {}
        self._store = store
        self.answers = RolloutAnswers(
            context.clock, counts, context.loop_lateness.recent_ms
        )
        self.services = {}
        directory.subscribe(self._on_server_change)

    def prefixes(self) -> tuple[str, ...]:
        """Return the prefixes of the keys that `apply_item` wants."""
        store = self._store
        return store.order_prefix, store.status_prefix, store.phase_prefix

    def apply_manifest(self, manifest: Manifest) -> None:
        """Take over the routes of a manifest.

        Args:
            manifest: The manifest in force.
        """
        self._routes = {}
        for route in manifest.routes:
            for destination in route.destinations:
                names = self._routes.setdefault(destination.service, [])
                names.append(route.name)

    # What the store says.

    def apply_item(self, item: StoreItem, earliest_ms: float | None) -> None:
        """Take over a change of a key.

        Args:
            item: The key's new value or its removal.
            earliest_ms: Monotonic time before which the change was not made, None if
                that is not known.
        """
        store = self._store
        if item.key.startswith(store.order_prefix):
            rollout = self._find(item.key.removeprefix(store.order_prefix))
            if item.revision > rollout.order_revision:
                self._apply_order(rollout, item, earliest_ms)
        elif item.key.startswith(store.status_prefix):
            rollout = self._find(item.key.removeprefix(store.status_prefix))
            if item.value is None:
                rollout.status_revision = 0
            else:
                rollout.status_revision = max(rollout.status_revision, item.revision)
        else:
            rollout = self._find(item.key.removeprefix(store.phase_prefix))
            if item.value is None:
                rollout.phase, rollout.phase_revision = None, 0
            elif item.revision > rollout.phase_revision:
                self._apply_phase(rollout, item)
        self.update_rule(rollout)

    def correct(self, item: StoreItem) -> None:
        """Take over the current value of a key from a write that was refused.

        Args:
            item: The key as it is now, whatever revision was expected.
        """
        if item.key.startswith(self._store.status_prefix):
            rollout = self._find(item.key.removeprefix(self._store.status_prefix))
            rollout.status_revision = item.revision
        elif item.key.startswith(self._store.phase_prefix):
            rollout = self._find(item.key.removeprefix(self._store.phase_prefix))
            if rollout.phase_revision != item.revision:
                self._apply_phase(rollout, item)
                self.update_rule(rollout)

    def _apply_order(
        self, rollout: ServiceRollout, item: StoreItem, earliest_ms: float | None
    ) -> None:
        now_ms = self._context.clock.now_ms()
        previous = rollout.rule
        rollout.order_revision = item.revision
        rollout.order = None
        if item.value is not None:
            order = self._store.decode_order(rollout.service, item.value)
            if isinstance(order, Unavailable):
                self._reject(item, order)
                return
            rollout.order = order
            rollout.has_exact_deadline = earliest_ms is not None
            start_ms = now_ms if earliest_ms is None else earliest_ms
            rollout.deadline_ms = start_ms + order.limit_ms
        rollout.started_ms = rollout.phase_since_ms = now_ms
        rollout.is_stopped = False
        rollout.judgement = Judgement()
        rollout.chances = {}
        rollout.crashes = {}
        rollout.window_starts = []
        rollout.windows = 0
        if rollout.has_phase():
            self._use_remaining_time(rollout)
        order = rollout.order
        self._context.timeline.record(
            "rollout_order",
            service=rollout.service,
            version=order.target if order else None,
            revision=item.revision,
            left_ms=round(rollout.deadline_ms - now_ms) if order else None,
            in_service=",".join(sorted(previous.in_service)) if previous else None,
        )

    def _apply_phase(self, rollout: ServiceRollout, item: StoreItem) -> None:
        phase = self._store.decode_phase(item.value)
        if isinstance(phase, Unavailable):
            self._reject(item, phase)
            return
        rollout.phase_revision = item.revision
        rollout.phase = phase
        rollout.phase_since_ms = self._context.clock.now_ms()
        if rollout.has_phase():
            self._use_remaining_time(rollout)
        self._context.timeline.record(
            "rollout_phase",
            service=rollout.service,
            version=phase.target,
            phase=phase.phase,
            order=phase.order,
            left_ms=round(phase.remaining_ms),
        )

    def _use_remaining_time(self, rollout: ServiceRollout) -> None:
        """Take over the remaining time of a router that saw the order as it came."""
        if not rollout.has_exact_deadline:
            now_ms = self._context.clock.now_ms()
            deadline_ms = now_ms + rollout.phase.remaining_ms
            rollout.deadline_ms = min(rollout.deadline_ms, deadline_ms)

    def update_rule(self, rollout: ServiceRollout) -> None:
        """Derive which versions requests may use from order and phase.

        Args:
            rollout: The roll-out.
        """
        if rollout.phase is None and rollout.order is None:
            rollout.rule = None
        elif rollout.has_phase() or rollout.order is None:
            phase = rollout.phase
            # Of a withdrawn order the phase is kept; only `completed` is final.
            is_stopped = rollout.is_stopped or rollout.order is None
            rollout.rule = VersionRule(
                phase.target, frozenset(phase.in_service), phase.phase, is_stopped
            )
        else:
            rollout.rule = VersionRule(
                rollout.order.target,
                self.in_service_before(rollout),
                CANARY,
                rollout.is_stopped,
            )
        self._dispatcher.set_rollouts(
            self if any(r.rule for r in self.services.values()) else None
        )

    def in_service_before(self, rollout: ServiceRollout) -> frozenset[str]:
        """Return the versions that were in service when the newest order came.

        Args:
            rollout: A roll-out whose phase of the newest order is not in the store yet.
        """
        if rollout.phase is not None:
            phase = rollout.phase
            rule = VersionRule(phase.target, frozenset(phase.in_service), phase.phase)
            return in_service_after(rule)
        target = rollout.order.target
        servers = self._directory.usable_servers(rollout.service)
        versions = frozenset(server.record.version for server in servers)
        return versions - {target} or versions

    def _find(self, service: str) -> ServiceRollout:
        rollout = self.services.get(service)
        if rollout is None:
            rollout = self.services[service] = ServiceRollout(service)
        return rollout

    def _reject(self, item: StoreItem, problem: Unavailable) -> None:
        self._context.count("records_rejected_total")
        self._context.timeline.record(
            "record_rejected",
            key=item.key,
            revision=item.revision,
            reason=problem.reason,
        )

    # What a request may use.

    def restrict(
        self,
        call: GatewayCall,
        states: Sequence[ServerState],
        is_open: Callable[[ServerState], bool],
    ) -> Sequence[ServerState]:
        """Return those servers that a request may use.

        Args:
            call: The request.
            states: The servers that it could use without a roll-out.
            is_open: Returns whether a server can take a request now.
        """
        rollout = self.services.get(call.service)
        if rollout is None or rollout.rule is None:
            return states
        is_trial = None
        if not call.tried_server_ids:
            if rollout.is_active():
                self._counts.add(rollout.key(), REQUESTS)
                self._context.count("rollout_requests_total", call.service)
            # Retries don't go to the new version: callers have waited long enough.
            if random.random() < rollout.chances.get(call.route.name, 0.0):
                is_trial = self._make_trial_check(rollout)
        return choose_servers(rollout.rule, states, _version_of, is_open, is_trial)

    def _make_trial_check(self, rollout: ServiceRollout) -> Callable:
        return lambda state: state.server.record.server_id in rollout.trial_ids

    def observe(
        self, call: GatewayCall, state: ServerState, unread_tokens: int
    ) -> AnswerObserver | None:
        """Note that a request is being sent; return its observer if it counts.

        Args:
            call: The request.
            state: The server.
            unread_tokens: Prompt tokens that the server has yet to prefill.
        """
        rollout = self.services.get(call.service)
        if rollout is None or not rollout.is_active():
            return None
        is_new = _version_of(state) == rollout.rule.target
        if is_new:
            self._counts.add(rollout.key(), EXPOSED)
            self._context.count("rollout_exposed_total", call.service)
        key = answers_key(rollout.key(), NEW if is_new else OLD, call.route.name)
        return self.answers.observe(key, call, state, unread_tokens)

    # What the answers say.

    def step(self) -> None:
        """Judge all active roll-outs by the sums of all routers."""
        if not self.services:
            return
        self.answers.step()
        active = [r for r in self.services.values() if r.is_active()]
        for rollout in active:
            self._judge(rollout)
        if not active:
            self.answers.forget_crashes()

    def _judge(self, rollout: ServiceRollout) -> None:
        requests, exposed, votes = self._totals(rollout)
        old = self._answers_by_route(rollout, OLD)
        new = self._answers_by_route(rollout, NEW)
        rollout.judgement = self._judge_answers(rollout, old, new)
        max_chance = self._pick_trial_servers(rollout)
        is_good = rollout.judgement.is_good
        chance = canary_chance(self._bounds, requests, exposed, is_good=is_good)
        old_answers = sum(counts.answers for counts in old.values())
        rollout.chances = {
            route: route_chance(
                min(chance, max_chance),
                counts.answers,
                max_chance,
                is_rare=is_rare_route(old[route].answers, old_answers),
            )
            for route, counts in new.items()
        }
        is_outvoted = votes >= MIN_VOTE_FRACTION * self._routers.count()
        is_bad = rollout.judgement.is_bad or is_outvoted
        if is_bad and not rollout.is_stopped and not self._is_in_service(rollout):
            rollout.is_stopped = True
            self._counts.add(rollout.key(), VOTES)
            self.update_rule(rollout)
            self._context.timeline.record(
                "rollout_stopped",
                service=rollout.service,
                version=rollout.order.target,
                reason=rollout.judgement.reason,
                exposed=exposed,
                requests=requests,
                votes=votes,
            )

    def _judge_answers(
        self, rollout: ServiceRollout, old: AnswersByRoute, new: AnswersByRoute
    ) -> Judgement:
        new_crashes = rollout.crashes.get(rollout.order.target, 0)
        old_crashes = sum(rollout.crashes.values()) - new_crashes
        overall = judge(old, new, old_crashes, new_crashes)
        now_ms = self._context.clock.now_ms()
        starts = rollout.window_starts
        if not starts or now_ms >= starts[-1][0] + WINDOW_MS:
            starts.append((now_ms, old, new))
            rollout.windows += 1
            del starts[:-2]
        _, old_start, new_start = starts[0]
        recent = judge(
            _since(old, old_start), _since(new, new_start), window=rollout.windows
        )
        return combine(overall, recent)

    def situation(self, rollout: ServiceRollout) -> Situation:
        """Return what is known of an active roll-out, for its next phase.

        Args:
            rollout: The roll-out.
        """
        now_ms = self._context.clock.now_ms()
        requests, exposed, _ = self._totals(rollout)
        judgement = rollout.judgement
        if rollout.is_stopped and not judgement.is_bad:
            judgement = Judgement(is_bad=True, reason="evidence of other routers")
        if self._is_in_service(rollout):
            judgement = Judgement(is_good=True)
        servers = self._directory.usable_servers(rollout.service)
        new = [s for s in servers if s.record.version == rollout.order.target]
        limit_ms = rollout.order.limit_ms
        remaining_ms = rollout.deadline_ms - now_ms
        return Situation(
            phase=rollout.current_phase(),
            remaining_ms=remaining_ms,
            in_phase_ms=now_ms - rollout.phase_since_ms,
            judgement=judgement,
            requests=requests,
            exposed=exposed,
            rate_per_ms=requests / max(1.0, limit_ms - remaining_ms),
            new_servers=len(new),
            old_servers=len(servers) - len(new),
            old_running=self._old_running(rollout),
            is_in_service=self._is_in_service(rollout),
        )

    def _is_in_service(self, rollout: ServiceRollout) -> bool:
        return rollout.rule.in_service == {rollout.order.target}

    def _old_running(self, rollout: ServiceRollout) -> int:
        return sum(
            state.load.total_running()
            for state in self._dispatcher.states.all()
            if state.server.record.service == rollout.service
            and _version_of(state) != rollout.order.target
        )

    def _totals(self, rollout: ServiceRollout) -> tuple[int, int, int]:
        numbers = (*self._counts.total(rollout.key()), 0, 0, 0)
        return numbers[REQUESTS], numbers[EXPOSED], numbers[VOTES]

    def _answers_by_route(self, rollout: ServiceRollout, side: str) -> AnswersByRoute:
        return {
            route: self.answers.total(answers_key(rollout.key(), side, route))
            for route in self._routes.get(rollout.service, ())
        }

    def _pick_trial_servers(self, rollout: ServiceRollout) -> float:
        """Pick the canary's servers; return the chance that gives them usual load."""
        servers = self._directory.usable_servers(rollout.service)
        target = rollout.order.target
        ids = [s.record.server_id for s in servers if s.record.version == target]
        old_servers = len(servers) - len(ids)
        # The same ones at all routers, however many there are.
        ranked = rank_routers(rollout.key(), ids)
        count = canary_servers(ranked, old_servers, self._bounds.share)
        rollout.trial_ids = frozenset(ranked[:count])
        return min(self._bounds.share, count / max(1, old_servers))

    def _on_server_change(self, kind: str, server: Server) -> None:
        # After a restart the record is that of the new process.
        record = server.previous if kind == "restarted" else server.record
        if kind not in ("restarted", "left") or record is None:
            return
        rollout = self.services.get(record.service)
        if rollout is None or not rollout.is_active():
            return
        # A server that drains is stopped by its operator.
        if record.state == READY:
            crashes = rollout.crashes
            crashes[record.version] = crashes.get(record.version, 0) + 1
            self.answers.record_crash(crash_key(rollout.key(), record))


def _since(counts: AnswersByRoute, start: AnswersByRoute) -> AnswersByRoute:
    return {
        route: subtract_answer_counts(number, start.get(route, AnswerCounts()))
        for route, number in counts.items()
    }


def _version_of(state: ServerState) -> str:
    return state.server.record.version
