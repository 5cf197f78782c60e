"""What the store says of roll-outs: orders, phases, and the versions that may be used.

Keys may come in any order, late or twice: a change counts only if its revision is later
than the one known. Orders and phases of several orders overlap, so which versions
requests may use is derived anew from both after each change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.service_rollout import ServiceRollout
from lagoonsail_gateway.store_access import NO_REVISION
from lagoonsail_rollout.phases import CANARY
from lagoonsail_rollout.version_choice import VersionRule, in_service_after

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.rollout_records import RolloutStore
    from lagoonsail_gateway.server_directory import ServerDirectory
    from lagoonsail_gateway.store_access import StoreItem
    from lagoonsail_router.context import RouterContext


class RolloutView:
    """The orders and phases of all services."""

    __slots__ = ("_context", "_directory", "_on_rules", "_store", "services")

    services: dict[str, ServiceRollout]
    """Services with an order or a phase, by name."""

    def __init__(
        self,
        context: RouterContext,
        store: RolloutStore,
        directory: ServerDirectory,
        on_rules: Callable[[bool], None],
    ) -> None:
        """Create a view without orders.

        Args:
            context: The router's shared state.
            store: Keys and decoders.
            directory: The servers.
            on_rules: Called after each change with whether any service has a rule.
        """
        self._context = context
        self._directory = directory
        self._on_rules = on_rules
        self._store = store
        self.services = {}

    def prefixes(self) -> tuple[str, ...]:
        """Return the prefixes of the keys that `apply_item` wants."""
        store = self._store
        return store.order_prefix, store.status_prefix, store.phase_prefix

    def apply_item(self, item: StoreItem, earliest_ms: float | None) -> None:
        """Take over a change of a key.

        Args:
            item: The key's new value or its removal.
            earliest_ms: Monotonic time before which the change was not made, None if
                that is not known.
        """
        prefix, rollout = self._find(item)
        if prefix == self._store.order_prefix:
            self._apply_order_item(rollout, item, earliest_ms)
        elif prefix == self._store.status_prefix:
            self._apply_status_item(rollout, item)
        else:
            self._apply_phase_item(rollout, item)
        self.update_rule(rollout)

    def correct(self, item: StoreItem) -> None:
        """Take over the current value of a key from a write that was refused.

        Args:
            item: The key as it is now, whatever revision was expected.
        """
        if not item.key.startswith(
            (self._store.status_prefix, self._store.phase_prefix)
        ):
            return
        prefix, rollout = self._find(item)
        if prefix == self._store.status_prefix:
            rollout.status_revision = item.revision
        elif rollout.phase_revision != item.revision:
            self._apply_phase(rollout, item)
            self.update_rule(rollout)

    def update_rule(self, rollout: ServiceRollout) -> None:
        """Derive which versions requests may use from order and phase.

        Args:
            rollout: The roll-out.
        """
        rollout.rule = self._make_rule(rollout)
        self._on_rules(any(known.rule for known in self.services.values()))

    def _make_rule(self, rollout: ServiceRollout) -> VersionRule | None:
        phase, order = rollout.phase, rollout.order
        if phase is None and order is None:
            return None
        if rollout.has_phase() or order is None:
            # Of a withdrawn order the phase is kept; only `completed` is final.
            is_stopped = rollout.is_stopped or order is None
            in_service = frozenset(phase.in_service)
            return VersionRule(phase.target, in_service, phase.phase, is_stopped)
        in_service = self._in_service_before(rollout)
        return VersionRule(order.target, in_service, CANARY, rollout.is_stopped)

    def _in_service_before(self, rollout: ServiceRollout) -> frozenset[str]:
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

    def _find(self, item: StoreItem) -> tuple[str, ServiceRollout]:
        """Return the prefix of a key and the roll-out of the service that it names."""
        store = self._store
        prefix = store.phase_prefix
        for other in (store.order_prefix, store.status_prefix):
            if item.key.startswith(other):
                prefix = other
                break
        service = item.key.removeprefix(prefix)
        rollout = self.services.get(service)
        if rollout is None:
            rollout = self.services[service] = ServiceRollout(service)
        return prefix, rollout

    def _apply_order_item(
        self, rollout: ServiceRollout, item: StoreItem, earliest_ms: float | None
    ) -> None:
        if item.revision > rollout.order_revision:
            self._apply_order(rollout, item, earliest_ms)

    def _apply_status_item(self, rollout: ServiceRollout, item: StoreItem) -> None:
        if item.value is None:
            rollout.status_revision = NO_REVISION
        else:
            rollout.status_revision = max(rollout.status_revision, item.revision)

    def _apply_phase_item(self, rollout: ServiceRollout, item: StoreItem) -> None:
        if item.value is None:
            rollout.phase, rollout.phase_revision = None, NO_REVISION
        elif item.revision > rollout.phase_revision:
            self._apply_phase(rollout, item)

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
        rollout.start_order(now_ms)
        if rollout.has_phase():
            rollout.limit_deadline(self._context.clock.now_ms())
        order = rollout.order
        self._context.timeline.record(
            "rollout_order",
            service=rollout.service,
            version=order.target if order else None,
            revision=str(item.revision),
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
            rollout.limit_deadline(self._context.clock.now_ms())
        self._context.timeline.record(
            "rollout_phase",
            service=rollout.service,
            version=phase.target,
            phase=phase.phase,
            order=str(phase.order),
            left_ms=round(phase.remaining_ms),
        )

    def _reject(self, item: StoreItem, problem: Unavailable) -> None:
        self._context.count("records_rejected_total")
        self._context.timeline.record(
            "record_rejected",
            key=item.key,
            revision=str(item.revision),
            reason=problem.reason,
        )
