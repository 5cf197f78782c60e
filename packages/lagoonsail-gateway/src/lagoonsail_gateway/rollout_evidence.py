"""Evidence of roll-outs: what all routers counted, and the judgement of the sums.

Handles a bad version that no router alone sees enough of, and the loss of the counts of
a router that died: routers that stopped sending to a version vote against it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_gateway.rollout_answers import (
    NEW,
    OLD,
    RolloutAnswers,
    answers_key,
    crash_key,
)
from lagoonsail_rollout.answer_counts import AnswerCounts, subtract_answer_counts
from lagoonsail_rollout.judgement import Judgement, combine, judge

if TYPE_CHECKING:
    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.rollout_answers import AnswerObserver
    from lagoonsail_gateway.server_directory import ServerRecord
    from lagoonsail_gateway.server_state import ServerState
    from lagoonsail_gateway.service_rollout import AnswersByRoute, ServiceRollout
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


class RolloutEvidence:
    """Counts requests, answers and crashes of roll-outs, and judges them."""

    __slots__ = ("_answers", "_context", "_counts", "_routers", "_routes")

    def __init__(
        self, context: RouterContext, routers: FleetMembers, counts: FleetCounts
    ) -> None:
        """Create it without counts.

        Args:
            context: The router's shared state.
            routers: The routers of the fleet.
            counts: Counters that are summed over all routers.
        """
        self._context = context
        self._counts = counts
        self._routers = routers
        self._routes: dict[str, list[str]] = {}
        self._answers = RolloutAnswers(
            context.clock, counts, context.loop_lateness.recent_ms
        )

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

    # What this router counts.

    def record_request(self, rollout: ServiceRollout) -> None:
        """Count a request that reached the service.

        Args:
            rollout: The roll-out.
        """
        self._counts.add(rollout.key(), REQUESTS)
        self._context.count("rollout_requests_total", rollout.service)

    def observe(
        self,
        rollout: ServiceRollout,
        call: GatewayCall,
        state: ServerState,
        unread_tokens: int,
    ) -> AnswerObserver:
        """Count a request that is being sent to a server; return its observer.

        Args:
            rollout: An active roll-out.
            call: The request.
            state: The server.
            unread_tokens: Prompt tokens that the server has yet to prefill.
        """
        is_new = state.server.record.version == rollout.rule.target
        if is_new:
            self._counts.add(rollout.key(), EXPOSED)
            self._context.count("rollout_exposed_total", rollout.service)
        key = answers_key(rollout.key(), NEW if is_new else OLD, call.route.name)
        return self._answers.observe(key, call, state, unread_tokens)

    def record_vote(self, rollout: ServiceRollout) -> None:
        """Tell the other routers that this one stopped sending to the new version.

        Args:
            rollout: The roll-out.
        """
        self._counts.add(rollout.key(), VOTES)

    def record_crash(self, rollout: ServiceRollout, record: ServerRecord) -> None:
        """Count a server that crashed.

        Args:
            rollout: An active roll-out.
            record: The record of the process that ended.
        """
        rollout.record_crash(record.version)
        self._answers.record_crash(crash_key(rollout.key(), record))

    def step(self) -> None:
        """Count the answers that are settled or overdue by now."""
        self._answers.step()

    def forget_crashes(self) -> None:
        """Forget crashes, as no roll-out is active."""
        self._answers.forget_crashes()

    # What all routers counted.

    def totals(self, rollout: ServiceRollout) -> tuple[int, int, int]:
        """Return the requests, those sent to the new version, and the votes.

        Args:
            rollout: The roll-out.
        """
        numbers = (*self._counts.total(rollout.key()), 0, 0, 0)
        return numbers[REQUESTS], numbers[EXPOSED], numbers[VOTES]

    def is_outvoted(self, votes: int) -> bool:
        """Return whether enough routers have evidence against a version.

        Args:
            votes: Routers that stopped sending to it.
        """
        return votes >= MIN_VOTE_FRACTION * self._routers.count()

    def answers_by_route(self, rollout: ServiceRollout, side: str) -> AnswersByRoute:
        """Return the counts of the old versions or of the new one.

        Args:
            rollout: The roll-out.
            side: `OLD` or `NEW`.
        """
        return {
            route: self._answers.total(answers_key(rollout.key(), side, route))
            for route in self._routes.get(rollout.service, ())
        }

    def judge(
        self, rollout: ServiceRollout, old: AnswersByRoute, new: AnswersByRoute
    ) -> Judgement:
        """Judge the answers since the order, and those of the last windows alone.

        Args:
            rollout: An active roll-out, whose windows are moved on.
            old: Counts of the old versions.
            new: Counts of the new version.
        """
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


def _since(counts: AnswersByRoute, start: AnswersByRoute) -> AnswersByRoute:
    return {
        route: subtract_answer_counts(number, start.get(route, AnswerCounts()))
        for route, number in counts.items()
    }
