"""What the accounts of a fair queue are charged for their running requests.

A running request is charged max(estimate, progress); when it ends, the real cost
replaces the charge. So a position falls only when an estimate is settled.
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
    """A running request and what its account is charged for it."""

    account: QueueAccount
    """Its account."""
    episode: int
    """Episode of the account in which it started."""
    hint: float = 0.0
    """The caller's hint; 0 where there was none."""
    charge: float = 0.0
    """What is charged, in the service's unit."""
    normalised: float = 0.0
    """The same as counted in the account's service, by the shares of the time."""


class Charges:
    """The running requests of one shard by slot."""

    __slots__ = ("_backlog", "_bound", "_running", "mean_cost")

    mean_cost: float
    """Mean cost of all requests that have ended, 0 if there are none."""

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
        """Charge a request that starts.

        Args:
            account: Its account.
            slot: Names the slot until it is settled.
            hint: The caller's hint; 0 where there was none.
            charge: What is charged at first, in the service's unit.
        """
        self._running[slot] = RunningRequest(account, account.episode, hint)
        self._bound.note_running(len(self._running))
        account.running += 1
        self.raise_to(slot, charge)

    def raise_to(self, slot: Hashable, cost: float) -> None:
        """Charge what a request has cost beyond its charge so far.

        Args:
            slot: The slot; one that is not in use is ignored.
            cost: Cost so far in the service's unit.
        """
        running = self._running.get(slot)
        if running is None or cost <= running.charge:
            return
        account = running.account
        grown = cost - running.charge
        normalised = grown / account.share
        running.charge = cost
        running.normalised += normalised
        self._bound.note_cost(cost)
        account.charged += grown
        account.served += normalised
        account.position += normalised

    def settle(self, slot: Hashable, cost: float) -> bool:
        """Replace the charge of a request that has ended by its cost.

        Args:
            slot: The slot; one that is not in use is ignored.
            cost: Whole cost in the service's unit; 0 if it did not run.

        Returns:
            Whether the slot was in use.
        """
        self.raise_to(slot, cost)
        running = self._running.pop(slot, None)
        if running is None:
            return False
        account = running.account
        account.running -= 1
        account.charged = account.charged - running.charge if account.running else 0.0
        self._refund(running, running.charge - cost)
        if cost > 0:
            account.estimate.learn(running.hint, cost)
            self.mean_cost = update_mean(self.mean_cost, cost)
        return True

    def _refund(self, running: RunningRequest, cost: float) -> None:
        if cost <= 0:
            return
        account = running.account
        normalised = running.normalised * cost / running.charge
        account.served -= normalised
        # What was charged at a smaller share may exceed what the bound reckons with.
        normalised = min(normalised, cost / account.share)
        if running.episode != account.episode:
            normalised = min(normalised, account.refundable)
            account.refundable -= normalised
        account.position -= normalised
        if account.waiting:
            self._backlog.lower(account)
