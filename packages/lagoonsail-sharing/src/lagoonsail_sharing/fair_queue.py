"""The queue of one shard, served in order of normalised service.

The oldest request of the backlogged account with the least position goes first. A
request that starts is charged an estimate, and its cost when it ends. `gap_bound` has
the terms, and the proof that the gap between any two accounts stays bounded.

Example:
    >>> from lagoonsail_sharing.waiting import Waiting
    >>> queue = FairQueue(max_waiting_per_account=8, max_cost=10.0)
    >>> queue.set_shares({"a": 1.0, "b": 3.0})
    []
    >>> for ticket in range(4):
    ...     for account in "ab":
    ...         _ = queue.add(Waiting((account, ticket), account, 6.0, since_ms=ticket))
    >>> order = []
    >>> for slot in range(5):
    ...     waiting = queue.pick()
    ...     queue.start(waiting, slot)
    ...     _ = queue.settle(slot, 6.0)
    ...     order.append(waiting.account)
    >>> "".join(order)
    'abbba'
    >>> queue.service()
    {'a': 12.0, 'b': 6.0}
    >>> queue.gap() <= queue.bound(max_cost=10.0, slots=1)
    True
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from typing import TYPE_CHECKING

from lagoonsail_core.invariants import require
from lagoonsail_sharing.backlog import Backlog
from lagoonsail_sharing.charges import Charges
from lagoonsail_sharing.cost_estimate import CostEstimate
from lagoonsail_sharing.gap_bound import GapBound
from lagoonsail_sharing.queue_account import QueueAccount
from lagoonsail_sharing.remote_service import RemoteService

if TYPE_CHECKING:
    from collections.abc import Hashable

    from lagoonsail_sharing.waiting import Waiting

DEFAULT_COST = 1.0
"""Estimate where there is neither a hint nor any settled cost."""


class FairQueue:
    """The waiting requests of one shard and the service of its accounts.

    A pick only looks: `start` takes the request off the queue and charges it, and must
    follow before anything else is done to the queue, or the pick may be out of date.
    Operations are logarithmic in the number of backlogged accounts, but
    `set_shares`, `adopt`, `add_remote` and joining in debt are linear.
    """

    __slots__ = (
        "_accounts",
        "_backlog",
        "_bound",
        "_by_ticket",
        "_charges",
        "_picks",
        "_remote",
        "_sequence",
        "_virtual",
        "max_cost",
        "max_waiting_per_account",
    )

    max_waiting_per_account: int
    """How many requests of one account may wait."""
    max_cost: float
    """Largest cost that a request may have, in the service's unit."""

    def __init__(
        self,
        max_waiting_per_account: int,
        max_cost: float = math.inf,
        slots: int = 0,
    ) -> None:
        self.max_waiting_per_account = max_waiting_per_account
        self._accounts: dict[str, QueueAccount] = {}
        self._backlog = Backlog()
        self._bound = GapBound()
        self._charges = Charges(self._backlog, self._bound)
        self._by_ticket: dict[tuple, tuple[QueueAccount, float, int]] = {}
        self._remote = RemoteService()
        self._virtual = 0.0
        self._sequence = 0
        self._picks = 0
        self.set_limits(max_cost, slots)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._by_ticket)

    def set_limits(self, max_cost: float, slots: int) -> None:
        """Take the limits that the bound is made of.

        The queue reckons with the largest values ever set or seen: what ran under them
        still counts.

        Args:
            max_cost: Largest cost of one request, in the service's unit; infinite if
                there is no limit, then the largest cost seen counts.
            slots: Slots of the shard; of all shards of the service where these report
                to each other, so that what others report is not cut off too early.
        """
        self.max_cost = max_cost
        if max_cost < math.inf:
            self._bound.note_cost(max_cost)
        self._bound.note_running(slots)

    def set_shares(self, shares: dict[str, float]) -> list[Waiting]:
        """Take the accounts of a new document; service already counted stays.

        Args:
            shares: Share by account, each greater than 0.

        Returns:
            The requests of accounts that are gone, taken off the queue, to be refused.
        """
        for name, share in shares.items():
            require(share > 0, "share_positive", f"{name} has share {share}")
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = QueueAccount(name, share)
            else:
                account.share = share
        removed = []
        for name in self._accounts.keys() - shares.keys():
            account = self._accounts.pop(name)
            self._backlog.remove(name)
            self._remote.forget(name)
            removed.extend(waiting for _, _, waiting in account.waiting)
            account.waiting.clear()
        for waiting in removed:
            del self._by_ticket[waiting.ticket]
        self._bound.least_share = min(shares.values(), default=1.0)
        self._cut_positions()
        return removed

    def has_account(self, account: str) -> bool:
        """Return whether the account is in the current document."""
        return account in self._accounts

    def add(self, waiting: Waiting) -> bool:
        """Queue a request.

        Args:
            waiting: The request. One whose ticket waits already is not queued twice.

        Returns:
            Whether it waits now: not if its account is unknown or its queue is full.
        """
        if waiting.ticket in self._by_ticket:
            return True
        account = self._accounts.get(waiting.account)
        if account is None:
            return False
        if len(account.waiting) >= self.max_waiting_per_account:
            return False
        self._sequence += 1
        insort(account.waiting, (waiting.since_ms, self._sequence, waiting))
        place = (account, waiting.since_ms, self._sequence)
        self._by_ticket[waiting.ticket] = place
        if len(account.waiting) == 1:
            self._join(account)
        return True

    def cancel(self, ticket: tuple) -> Waiting | None:
        """Take a waiting request off the queue without charging it.

        Args:
            ticket: Ticket of the request.

        Returns:
            The request, or None if it does not wait.
        """
        place = self._by_ticket.pop(ticket, None)
        if place is None:
            return None
        account, since_ms, sequence = place
        index = bisect_left(account.waiting, (since_ms, sequence))
        waiting = account.waiting.pop(index)[2]
        if not account.waiting:
            self._backlog.remove(account.name)
        return waiting

    def pick(self) -> Waiting | None:
        """Return the request that is next, and leave it in the queue.

        Returns:
            The oldest request of the least served backlogged account, or None if
            nothing waits.

        Raises:
            InvariantError: If the gap between backlogged accounts exceeds its bound.
                Checked once for as many picks as accounts are backlogged.
        """
        account = self._backlog.least()
        if account is None:
            return None
        self._bound.check(self._backlog.accounts())
        return account.waiting[0][2]

    def oldest(self, account: str, count: int) -> list[Waiting]:
        """Return the requests of an account that have waited longest.

        Any of them may be started in place of a pick of this account.

        Args:
            account: Name of the account.
            count: How many at most.

        Returns:
            The requests, oldest first.
        """
        known = self._accounts.get(account)
        return [waiting for _, _, waiting in known.waiting[:count]] if known else []

    def start(self, waiting: Waiting, slot: Hashable) -> None:
        """Charge a request that gets a slot, and take it off the queue.

        Args:
            waiting: The request. It need not be queued: requests that an earlier owner
                started are charged in the same way.
            slot: Names the slot until it is settled.

        Raises:
            InvariantError: If a less served account is backlogged or the slot is used.
        """
        account = self._accounts.get(waiting.account)
        require(slot not in self._charges, "slot_used_once", f"slot {slot}")
        if account is None:
            return
        is_queued = waiting.ticket in self._by_ticket
        if is_queued:
            self._check_least(account)
            self._virtual = max(self._virtual, account.position)
            self.cancel(waiting.ticket)
        self._picks += 1
        account.picked = self._picks
        self._charges.start(account, slot, waiting.estimate, self.estimate(waiting))
        if not is_queued:
            # Its account need not have been the least served.
            self._cut_positions()

    def estimate(self, waiting: Waiting) -> float:
        """Return what will be charged when a request starts.

        Args:
            waiting: The request.

        Returns:
            The hint, held within a factor of the account's mean cost; the mean cost
            where there is no hint, or where hints have been further off than the mean
            was; at most the largest cost allowed.
        """
        account = self._accounts.get(waiting.account)
        estimate = account.estimate if account else CostEstimate()
        default = self._charges.mean_cost or DEFAULT_COST
        return min(estimate.of(waiting.estimate, default), self.max_cost)

    def progress(self, slot: Hashable, cost: float) -> None:
        """Charge what a running request has cost beyond its charge so far.

        Args:
            slot: The slot; one that is not in use is ignored.
            cost: Cost so far in the service's unit.
        """
        self._charges.raise_to(slot, cost)

    def settle(self, slot: Hashable, cost: float) -> bool:
        """Replace the charge of a request that has ended by its cost.

        Args:
            slot: The slot; one that is not in use is ignored, so a repeated
                settlement changes nothing.
            cost: Whole cost in the service's unit; 0 if it did not run, and less than 0
                is taken as 0.

        Returns:
            Whether the slot was in use.
        """
        return self._charges.settle(slot, max(cost, 0.0))

    def service(self) -> dict[str, float]:
        """Return the normalised service of each account in this shard.

        Returns:
            Charges divided by shares, summed since the first owner of the shard whose
            sums were adopted. They fall only when an estimate is settled.
        """
        return {name: account.served for name, account in self._accounts.items()}

    def positions(self) -> dict[str, float]:
        """Return where each account stands, for an exact take-over.

        Returns:
            Position by account; only differences have a meaning.
        """
        return {name: account.position for name, account in self._accounts.items()}

    def adopt(
        self, service: dict[str, float], positions: dict[str, float] | None = None
    ) -> None:
        """Go on from the sums of an earlier owner of the shard.

        The greater sum holds, so that adopting twice or in any order is the same.
        Without positions all accounts stand where they stood, and the differences
        that the earlier owner had run up, at most the bound, are forgotten.

        Args:
            service: What `service` gave at the earlier owner.
            positions: What `positions` gave there; taken relative to the least.
        """
        for name, served in service.items():
            account = self._accounts.get(name)
            if account is not None:
                account.served = max(account.served, served)
        if not positions:
            return
        base = min(positions.values()) - self._virtual
        for name, position in positions.items():
            account = self._accounts.get(name)
            if account is not None:
                account.position = max(account.position, position - base)
        self._cut_positions()

    def add_remote(self, shard: str, service: dict[str, float], epoch: int = 0) -> None:
        """Count the service of another shard of the same service.

        Sums count from the first report of a shard on, and the greatest report of an
        epoch holds: reports may be repeated or come late. An owner that knows less than
        the one before it counts from its own first report on.

        Args:
            shard: The shard that reports.
            service: What `service` gave at its owner, for all accounts.
            epoch: Epoch of the owner.
        """
        growth = self._remote.take(shard, service, self._accounts, epoch)
        for name, grown in growth.items():
            self._accounts[name].position += grown
        self._cut_positions()

    def gap(self) -> float:
        """Return the largest difference of position between backlogged accounts."""
        positions = [account.position for account in self._backlog.accounts()]
        return max(positions) - min(positions) if positions else 0.0

    def bound(self, max_cost: float, slots: int) -> float:
        """Return the largest gap that the policy allows; see (1) in the module's text.

        Args:
            max_cost: Largest cost of one request, in the service's unit.
            slots: Most slots of the shard in use at once.

        Returns:
            slots * max_cost / least share, in the service's unit per share.
        """
        return slots * max_cost / self._bound.least_share

    def _join(self, account: QueueAccount) -> None:
        least = self._backlog.least()
        floor = least.position if least else self._virtual
        if account.position > floor:
            ceiling = self._bound.ceiling(self._backlog.accounts(), floor)
            ceiling -= account.headroom(self._bound.largest_cost)
            account.position = min(account.position, ceiling)
        account.position = max(account.position, floor)
        account.refundable = account.position - floor
        account.episode += 1
        self._backlog.add(account)

    def _cut_positions(self) -> None:
        """Restore the bound after positions or shares were changed from outside."""
        self._bound.cut(self._backlog.accounts())
        self._backlog.reorder()

    def _check_least(self, account: QueueAccount) -> None:
        least = self._backlog.least()
        detail = (
            f"{account.name} at {account.position}, {least.name} at {least.position}"
        )
        require(account.position <= least.position, "fair_start", detail)
