"""Roll-outs at one router: which servers a request may use, and what the answers say.

Orders and phases come through the view of the store (`rollout_view`). Each router
counts what it sees, judges the sums of all routers (`rollout_evidence`), and stops
sending to a bad version without waiting for the leader, which writes the phases
(`rollout_leader`). Without an order nothing of this is called for a request.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lagoonsail_gateway.fleet_share import rank_routers
from lagoonsail_gateway.rollout_answers import NEW, OLD
from lagoonsail_gateway.rollout_evidence import RolloutEvidence
from lagoonsail_gateway.rollout_view import RolloutView
from lagoonsail_gateway.server_directory import READY
from lagoonsail_rollout.exposure import canary_chance, canary_servers, route_chance
from lagoonsail_rollout.judgement import Judgement, is_rare_route
from lagoonsail_rollout.phases import Situation
from lagoonsail_rollout.version_choice import choose_servers

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lagoonsail_gateway.dispatcher import Dispatcher
    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.rollout_answers import AnswerObserver
    from lagoonsail_gateway.rollout_records import RolloutStore
    from lagoonsail_gateway.server_directory import Server, ServerDirectory
    from lagoonsail_gateway.server_state import ServerState
    from lagoonsail_gateway.service_rollout import AnswersByRoute, ServiceRollout
    from lagoonsail_gateway.store_access import StoreItem
    from lagoonsail_rollout.exposure import ExposureBounds
    from lagoonsail_router.context import RouterContext


class RolloutControl:
    """The roll-outs of all services."""

    __slots__ = (
        "_bounds",
        "_context",
        "_directory",
        "_dispatcher",
        "_evidence",
        "_view",
        "services",
    )

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
        self._directory = directory
        self._dispatcher = dispatcher
        self._evidence = RolloutEvidence(context, routers, counts)
        self._view = RolloutView(context, store, directory, self._use_rules)
        self.services = self._view.services
        directory.subscribe(self._on_server_change)

    def apply_manifest(self, manifest: Manifest) -> None:
        """Take over the routes of a manifest.

        Args:
            manifest: The manifest in force.
        """
        self._evidence.apply_manifest(manifest)

    # What the store says; see `rollout_view`.

    def prefixes(self) -> tuple[str, ...]:
        """Return the prefixes of the keys that `apply_item` wants."""
        return self._view.prefixes()

    def apply_item(self, item: StoreItem, earliest_ms: float | None) -> None:
        """Take over a change of a key.

        Args:
            item: The key's new value or its removal.
            earliest_ms: Monotonic time before which the change was not made, None if
                that is not known.
        """
        self._view.apply_item(item, earliest_ms)

    def correct(self, item: StoreItem) -> None:
        """Take over the current value of a key from a write that was refused.

        Args:
            item: The key as it is now, whatever revision was expected.
        """
        self._view.correct(item)

    def update_rule(self, rollout: ServiceRollout) -> None:
        """Derive which versions requests may use from order and phase.

        Args:
            rollout: The roll-out.
        """
        self._view.update_rule(rollout)

    def _use_rules(self, has_rules: bool) -> None:
        self._dispatcher.set_rollouts(self if has_rules else None)

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
                self._evidence.record_request(rollout)
            # Retries don't go to the new version: callers have waited long enough.
            if random.random() < rollout.chances.get(call.route.name, 0.0):
                is_trial = _make_trial_check(rollout)
        return choose_servers(rollout.rule, states, _version_of, is_open, is_trial)

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
        return self._evidence.observe(rollout, call, state, unread_tokens)

    # What the answers say.

    def step(self) -> None:
        """Judge all active roll-outs by the sums of all routers."""
        if not self.services:
            return
        self._evidence.step()
        active = [r for r in self.services.values() if r.is_active()]
        for rollout in active:
            self._judge(rollout)
        if not active:
            self._evidence.forget_crashes()

    def _judge(self, rollout: ServiceRollout) -> None:
        requests, exposed, votes = self._evidence.totals(rollout)
        old = self._evidence.answers_by_route(rollout, OLD)
        new = self._evidence.answers_by_route(rollout, NEW)
        rollout.judgement = self._evidence.judge(rollout, old, new)
        self._set_chances(rollout, requests, exposed, old, new)
        is_bad = rollout.judgement.is_bad or self._evidence.is_outvoted(votes)
        if is_bad and not rollout.is_stopped and not rollout.is_in_service():
            self._stop_sending(rollout, requests, exposed, votes)

    def _set_chances(
        self,
        rollout: ServiceRollout,
        requests: int,
        exposed: int,
        old: AnswersByRoute,
        new: AnswersByRoute,
    ) -> None:
        """Set the chance of a request of each route to be a trial."""
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

    def _stop_sending(
        self, rollout: ServiceRollout, requests: int, exposed: int, votes: int
    ) -> None:
        """Send nothing more to the new version, and vote against it."""
        rollout.is_stopped = True
        self._evidence.record_vote(rollout)
        self._view.update_rule(rollout)
        self._context.timeline.record(
            "rollout_stopped",
            service=rollout.service,
            version=rollout.order.target,
            reason=rollout.judgement.reason,
            exposed=exposed,
            requests=requests,
            votes=votes,
        )

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
            self._evidence.record_crash(rollout, record)

    # What the leader needs for the next phase.

    def situation(self, rollout: ServiceRollout) -> Situation:
        """Return what is known of an active roll-out, for its next phase.

        Args:
            rollout: The roll-out.
        """
        now_ms = self._context.clock.now_ms()
        requests, exposed, _ = self._evidence.totals(rollout)
        servers = self._directory.usable_servers(rollout.service)
        new = [s for s in servers if s.record.version == rollout.order.target]
        limit_ms = rollout.order.limit_ms
        remaining_ms = rollout.deadline_ms - now_ms
        return Situation(
            phase=rollout.current_phase(),
            remaining_ms=remaining_ms,
            in_phase_ms=now_ms - rollout.phase_since_ms,
            judgement=_final_judgement(rollout),
            requests=requests,
            exposed=exposed,
            rate_per_ms=requests / max(1.0, limit_ms - remaining_ms),
            new_servers=len(new),
            old_servers=len(servers) - len(new),
            old_running=self._old_running(rollout),
            is_in_service=rollout.is_in_service(),
        )

    def _old_running(self, rollout: ServiceRollout) -> int:
        return sum(
            state.load.total_running()
            for state in self._dispatcher.states.all()
            if state.server.record.service == rollout.service
            and _version_of(state) != rollout.order.target
        )


def _final_judgement(rollout: ServiceRollout) -> Judgement:
    """Return the judgement that counts for the next phase."""
    if rollout.is_in_service():
        return Judgement(is_good=True)
    if rollout.is_stopped and not rollout.judgement.is_bad:
        return Judgement(is_bad=True, reason="evidence of other routers")
    return rollout.judgement


def _make_trial_check(rollout: ServiceRollout) -> Callable[[ServerState], bool]:
    return lambda state: state.server.record.server_id in rollout.trial_ids


def _version_of(state: ServerState) -> str:
    return state.server.record.version
