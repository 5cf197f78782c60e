"""The leader of roll-outs: the one router that writes phases and status to the store.

A key with a lease names the leader. Its revision is the leader's term: each write is
one transaction that expects the leader's key at this revision, and status, phase and
order as the leader knows them. So a leader that froze or was cut off, and calls of it
that the store executes late, change nothing once another router has taken over. Any
router can, as all that matters is in the store and in the sums of all routers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.rollout_records import (
    LeaseLost,
    RolloutPhase,
    WriteConflict,
)
from lagoonsail_gateway.store_access import NO_REVISION, StoreItem
from lagoonsail_gateway.store_generation import StoreGeneration
from lagoonsail_rollout.phases import CANARY, Step, is_final, next_step

if TYPE_CHECKING:
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.rollout_control import RolloutControl
    from lagoonsail_gateway.rollout_records import RolloutStore
    from lagoonsail_gateway.service_rollout import ServiceRollout
    from lagoonsail_gateway.store_access import StoreRevision
    from lagoonsail_rollout.exposure import ExposureBounds
    from lagoonsail_router.context import RouterContext

STEP_INTERVAL_MS = 100.0
"""Time between two steps, as the sums change with each digest."""
LEASE_MS = 2500.0
"""Time after its last renewal for which a router remains the leader. A death of the
leader costs this and `RANK_DELAY_MS`, out of the time of the order."""
RENEW_INTERVAL_MS = 800.0
"""Time between two renewals; two of them may be lost."""
RANK_DELAY_MS = 500.0
"""Time by which a router waits longer than the one that ranks before it. Routers learn
of a new leader some 450 ms after another change, and a vain try costs three calls."""
INEXACT_DELAY_MS = 1500.0
"""Time by which a router waits longer if it didn't see the order as it came, and knows
the time limit less well."""
RETRY_MS = 300.0
"""Pause after a call that failed. Conditions may be out of date until the view has the
newest revisions."""


class RolloutLeader:
    """Stands for election while there is a roll-out, and writes as long as it leads."""

    __slots__ = (
        "_bounds",
        "_context",
        "_control",
        "_generation",
        "_key_item",
        "_last_failure",
        "_lease",
        "_pending_lease",
        "_renewed_ms",
        "_routers",
        "_store",
        "_store_generation",
        "_term",
        "_vacant_since_ms",
        "_wait_until_ms",
    )

    def __init__(
        self,
        context: RouterContext,
        bounds: ExposureBounds,
        store: RolloutStore,
        control: RolloutControl,
        routers: FleetMembers,
        store_generation: StoreGeneration | None = None,
    ) -> None:
        self._bounds = bounds
        self._context = context
        self._control = control
        self._key_item: StoreItem | None = None
        self._last_failure = ("", "")
        self._lease = ""
        self._pending_lease = ""
        self._renewed_ms = 0.0
        self._routers = routers
        self._store = store
        self._store_generation = store_generation or StoreGeneration()
        self._generation = self._store_generation.newest
        self._term = NO_REVISION
        self._vacant_since_ms: float | None = None
        self._wait_until_ms = 0.0

    def apply_item(self, item: StoreItem, _earliest_ms: float | None) -> None:
        """Take over a change of the leader's key.

        Args:
            item: Its new value or its removal.
        """
        if item.key != self._leader_key():
            return
        if self._key_item is None or item.revision > self._key_item.revision:
            self._key_item = item

    def is_leader(self) -> bool:
        """Return whether this router believes that it leads."""
        return self._term > NO_REVISION

    def run(self) -> None:
        """Stand for election and write until the task ends."""
        while True:
            self._step_safely()
            eventlet.sleep(STEP_INTERVAL_MS / 1000.0)

    def _step_safely(self) -> None:
        try:
            self.step()
        except Exception:
            self._context.count("task_errors_total", "rollout")
            self._context.logger.exception(
                "unexpected error in a roll-out; another router may take over"
            )
            self._resign("an unexpected error")

    def step(self) -> None:
        """Make the calls to the store that are due."""
        now_ms = self._context.clock.now_ms()
        if self._generation != self._store_generation.newest:
            self._begin_generation()
        active = [r for r in self._control.services.values() if r.is_active()]
        if not active:
            self._vacant_since_ms = None
            if self.is_leader():
                self._store.end_lease(self._lease)
                self._resign("no roll-out is left")
            return
        if now_ms < self._wait_until_ms:
            return
        is_replaced = self._key_item and self._key_item.revision > self._term
        if self.is_leader() and is_replaced:
            self._resign("another router leads")
        if not self.is_leader():
            self._stand(active, now_ms)
            return
        if now_ms >= self._renewed_ms + RENEW_INTERVAL_MS:
            self._renew(now_ms)
        for rollout in active:
            # Calls wait for the store, and the view may bring another phase meanwhile.
            if self.is_leader() and rollout.is_active():
                self._advance(rollout)

    def _begin_generation(self) -> None:
        """Give up what the store may no longer know, as it was restored from a copy."""
        self._generation = self._store_generation.newest
        self._resign("the store was restored")
        self._key_item = None
        self._pending_lease = ""
        self._vacant_since_ms = None

    def _leader_key(self) -> str:
        return self._store.leader_key_of(self._generation)

    # The election.

    def _stand(self, active: list[ServiceRollout], now_ms: float) -> None:
        if self._key_item is not None and self._key_item.value is not None:
            self._vacant_since_ms = None
            if self._key_item.value == self._key_value(self._pending_lease):
                # A write without an answer was made.
                self._lead(self._pending_lease, self._key_item.revision, now_ms)
            return
        if self._vacant_since_ms is None:
            self._vacant_since_ms = now_ms
        if now_ms < self._vacant_since_ms + self._delay_ms(active):
            return
        store = self._store
        # The write of an election without an answer may still be made, with its lease.
        lease = self._pending_lease or store.grant_lease(LEASE_MS)
        if isinstance(lease, Unavailable):
            self._record_failure("lease", lease)
            return
        self._pending_lease = lease
        key = self._leader_key()
        values = {key: self._key_value(lease)}
        term = store.write({key: NO_REVISION}, values, lease)
        if not isinstance(term, Unavailable):
            self._lead(lease, term, now_ms)
            return
        self._record_failure("election", term)
        if isinstance(term, LeaseLost):
            self._pending_lease = ""
        elif isinstance(term, WriteConflict):
            self._handle_lost_election(term, lease)

    def _handle_lost_election(self, conflict: WriteConflict, lease: str) -> None:
        for item in conflict.items:
            self.apply_item(item, None)
        if self._key_item and self._key_item.value == self._key_value(lease):
            # An earlier write without an answer was made: the next step leads.
            return
        self._pending_lease = ""
        self._store.end_lease(lease)

    def _lead(self, lease: str, term: StoreRevision, now_ms: float) -> None:
        self._lease, self._term, self._renewed_ms = lease, term, now_ms
        self._pending_lease = ""
        self._context.timeline.record("rollout_leader", term=str(term), leads=True)

    def _key_value(self, lease: str) -> bytes:
        return f"{self._routers.name} {lease}".encode() if lease else b""

    def _delay_ms(self, active: list[ServiceRollout]) -> float:
        delay_ms = RANK_DELAY_MS * self._routers.rank(active[0].key())
        if all(rollout.has_exact_deadline for rollout in active):
            return delay_ms
        return delay_ms + INEXACT_DELAY_MS

    def _renew(self, now_ms: float) -> None:
        kept = self._store.keep_lease(self._lease)
        if isinstance(kept, LeaseLost):
            self._resign(kept.reason)
        elif isinstance(kept, Unavailable):
            self._record_failure("renewal", kept)
        else:
            self._renewed_ms = now_ms
            self._last_failure = ("", "")

    def _resign(self, reason: str) -> None:
        if self.is_leader():
            self._context.timeline.record(
                "rollout_leader", term=str(self._term), leads=False, reason=reason
            )
        self._term = NO_REVISION
        self._lease = ""

    # The writes.

    def _advance(self, rollout: ServiceRollout) -> None:
        if not rollout.has_phase():
            # The servers may have become known after the order.
            self._control.update_rule(rollout)
            self._write(rollout, Step(CANARY, "an order"))
            return
        step = next_step(self._control.situation(rollout), self._bounds)
        if step is not None:
            self._write(rollout, step)

    def _write(self, rollout: ServiceRollout, step: Step) -> None:
        store = self._store
        now_ms = self._context.clock.now_ms()
        phase = RolloutPhase(
            rollout.order.target,
            rollout.order_revision,
            step.phase,
            tuple(sorted(rollout.rule.in_service)),
            max(0.0, rollout.deadline_ms - now_ms),
        )
        order_key = f"{store.order_prefix}{rollout.service}"
        status_key = f"{store.status_prefix}{rollout.service}"
        phase_key = f"{store.phase_prefix}{rollout.service}"
        expected = {
            self._leader_key(): self._term,
            order_key: rollout.order_revision,
            status_key: rollout.status_revision,
            phase_key: rollout.phase_revision,
        }
        values = {phase_key: store.encode_phase(phase)}
        if is_final(step.phase) or not rollout.has_phase():
            values[status_key] = store.encode_status(phase)
        situation = self._control.situation(rollout)
        revision = store.write(expected, values, "")
        if isinstance(revision, Unavailable):
            self._handle_failed_write(revision)
            return
        self._context.count("rollout_writes_total", "written")
        # The view gets these changes later, and the next write expects them.
        for key, value in values.items():
            self._control.apply_item(StoreItem(key, value, revision), None)
        self._context.timeline.record(
            "rollout_written",
            service=rollout.service,
            version=phase.target,
            phase=phase.phase,
            reason=step.reason,
            left_ms=round(phase.remaining_ms),
            term=str(self._term),
            exposed=situation.exposed,
            requests=situation.requests,
        )

    def _handle_failed_write(self, problem: Unavailable) -> None:
        self._record_failure("write", problem)
        if not isinstance(problem, WriteConflict):
            return
        # The answer may leave out the leader's key: the next renewal tells.
        self._renewed_ms = float("-inf")
        for item in problem.items:
            self.apply_item(item, None)
            # A newer order comes by the view, which knows since when it counts.
            self._control.correct(item)

    def _record_failure(self, call: str, problem: Unavailable) -> None:
        is_conflict = isinstance(problem, WriteConflict)
        outcome = "refused" if is_conflict else "unanswered"
        self._context.count("rollout_writes_total", outcome)
        self._wait_until_ms = self._context.clock.now_ms() + RETRY_MS
        if (call, problem.reason) != self._last_failure:
            self._last_failure = (call, problem.reason)
            self._context.timeline.record(
                "rollout_call_failed", call=call, reason=problem.reason
            )
