"""Charges of a fair queue's accounts for their running requests.

A running request is charged max(estimate, progress). When it ends, its actual cost
replaces the charge, so a position decreases only when an estimate is settled.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_sharing.cost_estimate import update_mean

if TYPE_CHECKING:
    from collections.abc import Hashable

    from lagoonsail_sharing.backlog import Backlog
    from lagoonsail_sharing.gap_bound import GapBound
    from lagoonsail_sharing.queue_account import QueueAccount


@dataclass(slots=True)
class RunningRequest:
    """A running request and the charge to its account."""

    account: QueueAccount
    """Account of the request."""
    backlog_period: int
    """Backlog period of the account in which the request started."""
    hint: float = 0.0
    """Cost hint of the caller; 0 if none."""
    charge: float = 0.0
    """Current charge, in the service's unit."""
    normalised_charge: float = 0.0
    """Amount added to the account's service, at the shares in force at the time."""


class Charges:
    """Running requests of one shard by slot."""

    __slots__ = ("_backlog", "_bound", "_running", "mean_cost")

    mean_cost: float
    """Moving average of the cost of finished requests; 0 if there are none."""

    def __init__(self, backlog: Backlog, bound: GapBound) -> None:
        self._backlog = backlog
        self._bound = bound
        self._running: dict[Hashable, RunningRequest] = {}
        self.mean_cost = 0.0

    def __contains__(self, slot: Hashable) -> bool:
        """Return whether a slot is in use."""
        return slot in self._running

    def start(
        self, account: QueueAccount, slot: Hashable, hint: float, charge: float
    ) -> None:
        """Register a request that starts and charge its account.

        Args:
            account: Account of the request.
            slot: Identifies the slot until it is settled.
            hint: Cost hint of the caller; 0 if none.
            charge: Initial charge, in the service's unit.
        """
        self._running[slot] = RunningRequest(account, account.backlog_period, hint)
        self._bound.record_running(len(self._running))
        account.running += 1
        self.raise_to(slot, charge)

    def raise_to(self, slot: Hashable, cost: float) -> None:
        """Raise the charge of a request to its cost so far.

        Args:
            slot: The slot; ignored if not in use.
            cost: Cost so far, in the service's unit. A cost below the current charge
                has no effect.
        """
        running = self._running.get(slot)
        if running is None or cost <= running.charge:
            return
        account = running.account
        increase = cost - running.charge
        normalised = increase / account.share
        running.charge = cost
        running.normalised_charge += normalised
        self._bound.record_cost(cost)
        account.running_charge += increase
        account.service += normalised
        account.position += normalised

    def settle(self, slot: Hashable, cost: float) -> bool:
        """Replace the charge of a finished request with its actual cost.

        Args:
            slot: The slot; ignored if not in use.
            cost: Total cost, in the service's unit; 0 if the request did not run.

        Returns:
            Whether the slot was in use.
        """
        self.raise_to(slot, cost)
        running = self._running.pop(slot, None)
        if running is None:
            return False
        account = running.account
        account.running -= 1
        account.running_charge = (
            account.running_charge - running.charge if account.running else 0.0
        )
        self._refund(running, running.charge - cost)
        if cost > 0:
            account.estimate.update(running.hint, cost)
            self.mean_cost = update_mean(self.mean_cost, cost)
        return True

    def _refund(self, running: RunningRequest, excess_charge: float) -> None:
        if excess_charge <= 0:
            return
        account = running.account
        normalised = running.normalised_charge * excess_charge / running.charge
        account.service -= normalised
        # A charge made at a smaller share may exceed the bound at the current share.
        normalised = min(normalised, excess_charge / account.share)
        if running.backlog_period != account.backlog_period:
            normalised = min(normalised, account.refundable)
            account.refundable -= normalised
        account.position -= normalised
        if account.waiting:
            self._backlog.decrease_key(account)
