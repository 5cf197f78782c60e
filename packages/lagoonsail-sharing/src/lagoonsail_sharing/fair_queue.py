"""Weighted fair queue of one shard, ordered by normalised service.

The next request is the oldest one of the backlogged account with the lowest position.
A request is charged its estimated cost when it starts and its actual cost when it ends.
`gap_bound` defines the terms and proves that the gap between any two accounts is
bounded.

Example:
    >>> from lagoonsail_sharing.waiting import WaitingRequest
    >>> queue = FairQueue(max_waiting_per_account=8, max_cost=10.0)
    >>> queue.set_shares({"a": 1.0, "b": 3.0})
    []
    >>> for ticket in range(4):
    ...     for account in "ab":
    ...         ticket_id = (account, ticket)
    ...         waiting = WaitingRequest(ticket_id, account, 6.0, since_ms=ticket)
    ...         _ = queue.add(waiting)
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

    from lagoonsail_sharing.waiting import WaitingRequest

DEFAULT_COST = 1.0
"""Estimate used without a hint and before any request has been settled."""


class FairQueue:
    """Waiting requests of one shard and the service received by its accounts.

    `pick` does not change the queue: `start` removes the request and charges it. Call
    `start` before any other operation, otherwise the pick may be outdated. Operations
    are logarithmic in the number of backlogged accounts, except `set_shares`, `adopt`,
    `add_remote` and adding a request of an account that returns from idle with a
    position above the lowest; these are linear.
    """

    __slots__ = (
        "_accounts",
        "_backlog",
        "_bound",
        "_by_ticket",
        "_charges",
        "_start_count",
        "_remote",
        "_sequence",
        "_virtual_time",
        "max_cost",
        "max_waiting_per_account",
    )

    max_waiting_per_account: int
    """Maximum number of waiting requests per account."""
    max_cost: float
    """Largest cost allowed for one request, in the service's unit."""

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
        self._virtual_time = 0.0
        self._sequence = 0
        self._start_count = 0
        self.set_limits(max_cost, slots)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_ticket)

    def set_limits(self, max_cost: float, slots: int) -> None:
        """Set the limits from which the bound is computed.

        The bound uses the largest values ever set or observed, because requests that
        ran under earlier limits still count.

        Args:
            max_cost: Largest cost of one request, in the service's unit; infinite for
                no limit, in which case the largest observed cost is used.
            slots: Slots of the shard. If the shards of the service report to each
                other, the slots of all of them, so that reported service is not
                clamped too early.
        """
        self.max_cost = max_cost
        if max_cost < math.inf:
            self._bound.record_cost(max_cost)
        self._bound.record_running(slots)

    def set_shares(self, shares: dict[str, float]) -> list[WaitingRequest]:
        """Apply the accounts of a new service document; keeps the service counted.

        Args:
            shares: Share by account, each greater than 0.

        Returns:
            Requests of removed accounts. They are no longer queued; the caller must
            refuse them.
        """
        for name, share in shares.items():
            require(
                share > 0,
                "share_positive",
                f"share of account {name} is {share}, not above 0",
            )
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
        self._bound.smallest_share = min(shares.values(), default=1.0)
        self._clamp_positions()
        return removed

    def has_account(self, account: str) -> bool:
        """Return whether the account is in the current document."""
        return account in self._accounts

    def add(self, waiting: WaitingRequest) -> bool:
        """Queue a request.

        Args:
            waiting: The request. A ticket that is already queued is not queued twice.

        Returns:
            True if the request is queued; False if its account is unknown or the
            queue of the account is full.
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
        entry = (account, waiting.since_ms, self._sequence)
        self._by_ticket[waiting.ticket] = entry
        if len(account.waiting) == 1:
            self._join(account)
        return True

    def cancel(self, ticket: tuple) -> WaitingRequest | None:
        """Remove a waiting request without charging it.

        Args:
            ticket: Ticket of the request.

        Returns:
            The request, or None if it is not queued.
        """
        entry = self._by_ticket.pop(ticket, None)
        if entry is None:
            return None
        account, since_ms, sequence = entry
        index = bisect_left(account.waiting, (since_ms, sequence))
        waiting = account.waiting.pop(index)[2]
        if not account.waiting:
            self._backlog.remove(account.name)
        return waiting

    def pick(self) -> WaitingRequest | None:
        """Return the next request without removing it.

        Returns:
            The oldest request of the backlogged account with the lowest position, or
            None if the queue is empty.

        Raises:
            InvariantError: If the gap between backlogged accounts exceeds its bound.
                Checked once every N picks, where N is the number of backlogged
                accounts.
        """
        account = self._backlog.least()
        if account is None:
            return None
        self._bound.check(self._backlog.accounts())
        return account.waiting[0][2]

    def oldest(self, account: str, count: int) -> list[WaitingRequest]:
        """Return the longest-waiting requests of an account.

        Any of them may be started instead of the picked request of this account.

        Args:
            account: Name of the account.
            count: Maximum number of requests to return.

        Returns:
            The requests, oldest first.
        """
        queue_account = self._accounts.get(account)
        return (
            [waiting for _, _, waiting in queue_account.waiting[:count]]
            if queue_account
            else []
        )

    def start(self, waiting: WaitingRequest, slot: Hashable) -> None:
        """Remove a request from the queue and charge it, because it gets a slot.

        Args:
            waiting: The request. It need not be queued: requests started by an earlier
                owner of the shard are charged in the same way.
            slot: Identifies the slot until it is settled.

        Raises:
            InvariantError: If a backlogged account has a lower position, or if the
                slot is already in use.
        """
        account = self._accounts.get(waiting.account)
        require(
            slot not in self._charges,
            "slot_used_once",
            f"slot {slot} is already in use",
        )
        if account is None:
            return
        is_queued = waiting.ticket in self._by_ticket
        if is_queued:
            self._check_least(account)
            self._virtual_time = max(self._virtual_time, account.position)
            self.cancel(waiting.ticket)
        self._start_count += 1
        account.last_start_number = self._start_count
        self._charges.start(account, slot, waiting.estimate, self.estimate(waiting))
        if not is_queued:
            # The account may not have had the lowest position.
            self._clamp_positions()

    def estimate(self, waiting: WaitingRequest) -> float:
        """Return the amount charged when a request starts.

        Args:
            waiting: The request.

        Returns:
            The hint, clamped to within a factor of the account's mean cost. The mean
            cost if there is no hint or if hints have been less accurate than the mean.
            At most `max_cost`.
        """
        account = self._accounts.get(waiting.account)
        estimate = account.estimate if account else CostEstimate()
        default = self._charges.mean_cost or DEFAULT_COST
        return min(estimate.expected_cost(waiting.estimate, default), self.max_cost)

    def progress(self, slot: Hashable, cost: float) -> None:
        """Raise the charge of a running request to its cost so far.

        Args:
            slot: The slot; ignored if not in use.
            cost: Cost so far, in the service's unit. A cost below the current charge
                has no effect.
        """
        self._charges.raise_to(slot, cost)

    def settle(self, slot: Hashable, cost: float) -> bool:
        """Replace the charge of a finished request with its actual cost.

        Args:
            slot: The slot; ignored if not in use, so settling is idempotent.
            cost: Total cost, in the service's unit; 0 if the request did not run.
                Negative values count as 0.

        Returns:
            Whether the slot was in use.
        """
        return self._charges.settle(slot, max(cost, 0.0))

    def service(self) -> dict[str, float]:
        """Return the normalised service of each account in this shard.

        Returns:
            Sum of charges divided by shares, including the sums adopted from earlier
            owners of the shard. It decreases only when an estimate is settled.
        """
        return {name: account.service for name, account in self._accounts.items()}

    def positions(self) -> dict[str, float]:
        """Return the position of each account, for an exact take-over.

        Returns:
            Position by account; only differences between positions are meaningful.
        """
        return {name: account.position for name, account in self._accounts.items()}

    def adopt(
        self, service: dict[str, float], positions: dict[str, float] | None = None
    ) -> None:
        """Merge the sums of an earlier owner of the shard.

        The greater sum wins, so merging is idempotent and independent of order.
        Without `positions`, positions stay as they are, and the differences between
        accounts at the earlier owner, at most the bound, are lost.

        Args:
            service: Result of `service` at the earlier owner.
            positions: Result of `positions` there; used relative to the lowest.
        """
        for name, sum_so_far in service.items():
            account = self._accounts.get(name)
            if account is not None:
                account.service = max(account.service, sum_so_far)
        if not positions:
            return
        base = min(positions.values()) - self._virtual_time
        for name, position in positions.items():
            account = self._accounts.get(name)
            if account is not None:
                account.position = max(account.position, position - base)
        self._clamp_positions()

    def add_remote(self, shard: str, service: dict[str, float], epoch: int = 0) -> None:
        """Add service reported by another shard of the same service.

        Only growth since the first report of a shard counts. Within an epoch the
        greatest report wins, so reports may be repeated or arrive late. If a new owner
        reports smaller sums than its predecessor, growth counts from its first report.

        Args:
            shard: The reporting shard.
            service: Result of `service` at the owner of that shard, for all accounts.
            epoch: Epoch of that owner.
        """
        growth = self._remote.update(shard, service, self._accounts, epoch)
        for name, increase in growth.items():
            self._accounts[name].position += increase
        self._clamp_positions()

    def gap(self) -> float:
        """Return the largest position difference between backlogged accounts."""
        positions = [account.position for account in self._backlog.accounts()]
        return max(positions) - min(positions) if positions else 0.0

    def bound(self, max_cost: float, slots: int) -> float:
        """Return the largest gap that the policy allows; see (1) in `gap_bound`.

        Args:
            max_cost: Largest cost of one request, in the service's unit.
            slots: Largest number of slots of the shard in use at once.

        Returns:
            slots * max_cost / smallest share, in the service's unit per share.
        """
        return slots * max_cost / self._bound.smallest_share

    def _join(self, account: QueueAccount) -> None:
        least = self._backlog.least()
        floor = least.position if least else self._virtual_time
        if account.position > floor:
            ceiling = self._bound.ceiling(self._backlog.accounts(), floor)
            ceiling -= account.headroom(self._bound.largest_cost)
            account.position = min(account.position, ceiling)
        account.position = max(account.position, floor)
        account.refundable = account.position - floor
        account.backlog_period += 1
        self._backlog.add(account)

    def _clamp_positions(self) -> None:
        """Restore the bound after an external change of positions or shares."""
        self._bound.clamp(self._backlog.accounts())
        self._backlog.rebuild()

    def _check_least(self, account: QueueAccount) -> None:
        least = self._backlog.least()
        detail = (
            f"{account.name} at position {account.position} is not the lowest: "
            f"{least.name} is at {least.position}"
        )
        require(account.position <= least.position, "fair_start", detail)
