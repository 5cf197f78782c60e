"""The queue of one shard, served in order of normalised service.

Terms. The normalised service of an account is the cost charged to it divided by its
share. The position of an account is its normalised service in this shard, plus what
other shards report, plus an offset that this queue sets when the account comes back
from idle. The waiting request at the head of the backlogged account with the least
position goes first.

Charges. A running request is charged max(estimate, progress); when it ends, the real
cost replaces the charge. So a position falls only when an estimate is settled.

Bound. Let L be the largest cost of one request, S the most slots in use at once, w the
shares, n_a the slots that account a has in use. At any time write

    hi_a = position_a + sum over running requests of a of (L - charge) / w_a
    lo_a = position_a - sum over running requests of a of charge / w_a

The cost really run lies between, whatever the estimates were. Without a new start of a,
hi_a never grows and lo_a never falls: each settled charge was counted in full. When a
starts a request it has the least position, so for each backlogged b just after it

    hi_a - lo_b <= n_a * L / w_a + n_b * L / w_b <= S * L / min(w_a, w_b)

and hence, for any two accounts while both are backlogged,

    |position_a - position_b| <= S * L / min(w_a, w_b)            (1)

both by charges and by real costs. Over an interval in which both were backlogged from
its beginning to its end, the normalised service received differs by at most twice that,
and by (1) itself if the interval begins when they join at the same position. A wrong
estimate enters only through L, once for each running request.

Joining keeps (1). An account that comes back joins at no less than the least position
among the backlogged (with none, at the greatest position picked so far), which no
later refund for requests started before can undercut, and at no more than
min(lo) + S * L / min(w): neither credit nor debt beyond (1) outlives an idle time.
Service reported by other shards, a new set of shares and a take-over move positions
from outside; after them positions are cut down to the same ceiling. The service that
is published is not touched by these offsets.

Over K shards that exchange digests, the least position is chosen by values up to T ms
old. For accounts backlogged in every shard, the service in all shards together differs
by at most the sum of (1) over the shards plus T * R / min(w), where R is the cost that
the other shards run in one ms: at the last start of an account anywhere the others had
at least its service as it was known there. This holds while no report brings more than
the sum of (1), the ceiling above which service elsewhere is forgotten.

Example:
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

import heapq
import math
from bisect import bisect_left, insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoonsail_core.invariants import require

if TYPE_CHECKING:
    from collections.abc import Hashable

HINT_FACTOR = 4.0
"""A hint is used within this factor of the account's mean cost."""
LEARNING_RATE = 0.1
"""Weight of the newest cost in the mean cost of an account."""
DEFAULT_COST = 1.0
"""Estimate where there is neither a hint nor any settled cost."""
ROUNDING = 1e-9
"""Relative error allowed for sums of floating-point numbers."""


@dataclass(slots=True)
class Waiting:
    """A request that waits for a slot."""

    ticket: tuple
    """Identifies the request: sender, sender's incarnation, number."""
    account: str
    """Client account, unqualified."""
    estimate: float
    """The caller's hint in the service's unit; 0 where there is none."""
    prefix: list[int] = field(default_factory=list)
    """Hashes of the prompt's prefixes, shortest first."""
    key: int = 0
    """Hash of the idempotency key of a call that may not be repeated, else 0."""
    since_ms: float = 0.0
    """Local monotonic time since which the request waits."""
    source: object = None
    """Where the grant is to go."""
    passed: int = 0
    """How many later requests of its account were started before it."""


class _Account:
    """What the queue knows of one account."""

    __slots__ = (
        "charged",
        "entry",
        "episode",
        "hint_error",
        "mean_cost",
        "mean_error",
        "name",
        "picked",
        "position",
        "refundable",
        "remote",
        "running",
        "served",
        "share",
        "waiting",
    )

    def __init__(self, name: str, share: float) -> None:
        self.name = name
        self.share = share
        self.served = 0.0
        # Unlike served, this includes remote service and the offset.
        self.position = 0.0
        self.waiting: list[tuple[float, int, Waiting]] = []
        self.entry: tuple | None = None
        self.picked = 0
        # Counts the times the account became backlogged.
        self.episode = 0
        # What requests of earlier episodes may still give back, normalised.
        self.refundable = 0.0
        self.running = 0
        # Sum of the charges of running requests, not normalised.
        self.charged = 0.0
        self.mean_cost = 0.0
        # Mean absolute logarithms of how far hints and the mean cost were off.
        self.hint_error = 0.0
        self.mean_error = 0.0
        # By shard: the service first reported and the greatest reported.
        self.remote: dict[str, list[float]] = {}


@dataclass(slots=True)
class _Slot:
    """A running request."""

    account: _Account
    episode: int
    """Episode of the account in which it started."""
    hint: float = 0.0
    """The caller's hint; 0 where there was none."""
    charge: float = 0.0
    """What is charged, in the service's unit."""
    normalised: float = 0.0
    """The same as counted in the account's service, by the shares of the time."""


class FairQueue:
    """The waiting requests of one shard and the service of its accounts.

    A pick only looks: `start` takes the request off the queue and charges it, and must
    follow before anything else is done to the queue, or the pick may be out of date.
    Operations are logarithmic in the number of backlogged accounts, but
    `set_shares`, `adopt`, `add_remote` and joining in debt are linear.
    """

    __slots__ = (
        "_accounts",
        "_backlogged",
        "_by_ticket",
        "_heap",
        "_largest_cost",
        "_least_share",
        "_mean_cost",
        "_most_running",
        "_picks",
        "_sequence",
        "_shards",
        "_slots",
        "_unchecked",
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
        self._accounts: dict[str, _Account] = {}
        self._backlogged: dict[str, _Account] = {}
        # Lowest position first. An entry may lag behind a position that has grown.
        self._heap: list[tuple[float, int, str]] = []
        self._by_ticket: dict[tuple, tuple[_Account, float, int]] = {}
        self._slots: dict[Hashable, _Slot] = {}
        # Epoch of the last report by shard.
        self._shards: dict[str, int] = {}
        self._virtual = 0.0
        self._largest_cost = 0.0
        self._most_running = 0
        self._least_share = 1.0
        self._mean_cost = 0.0
        self._sequence = 0
        self._picks = 0
        self._unchecked = 0
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
            self._largest_cost = max(self._largest_cost, max_cost)
        self._most_running = max(self._most_running, slots)

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
                self._accounts[name] = _Account(name, share)
            else:
                account.share = share
        removed = []
        for name in self._accounts.keys() - shares.keys():
            account = self._accounts.pop(name)
            self._backlogged.pop(name, None)
            removed.extend(waiting for _, _, waiting in account.waiting)
            account.waiting.clear()
        for waiting in removed:
            del self._by_ticket[waiting.ticket]
        self._least_share = min(shares.values(), default=1.0)
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
            del self._backlogged[account.name]
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
        account = self._least()
        if account is None:
            return None
        self._check_gap()
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
        require(slot not in self._slots, "slot_used_once", f"slot {slot}")
        if account is None:
            return
        is_queued = waiting.ticket in self._by_ticket
        if is_queued:
            self._check_least(account)
            self._virtual = max(self._virtual, account.position)
            self.cancel(waiting.ticket)
        self._picks += 1
        account.picked = self._picks
        self._slots[slot] = _Slot(account, account.episode, waiting.estimate)
        self._most_running = max(self._most_running, len(self._slots))
        account.running += 1
        self.progress(slot, self.estimate(waiting))
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
        mean = account.mean_cost if account else 0.0
        hint = waiting.estimate
        if account and account.hint_error > account.mean_error:
            hint = 0.0
        cost = hint or mean or self._mean_cost or DEFAULT_COST
        if mean:
            cost = min(max(cost, mean / HINT_FACTOR), mean * HINT_FACTOR)
        return min(cost, self.max_cost)

    def progress(self, slot: Hashable, cost: float) -> None:
        """Charge what a running request has cost beyond its charge so far.

        Args:
            slot: The slot; one that is not in use is ignored.
            cost: Cost so far in the service's unit.
        """
        running = self._slots.get(slot)
        if running is None or cost <= running.charge:
            return
        account = running.account
        grown = cost - running.charge
        normalised = grown / account.share
        running.charge = cost
        running.normalised += normalised
        self._largest_cost = max(self._largest_cost, cost)
        account.charged += grown
        account.served += normalised
        account.position += normalised

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
        cost = max(cost, 0.0)
        self.progress(slot, cost)
        running = self._slots.pop(slot, None)
        if running is None:
            return False
        account = running.account
        account.running -= 1
        account.charged = account.charged - running.charge if account.running else 0.0
        self._refund(running, running.charge - cost)
        if cost > 0:
            _learn_errors(account, running.hint, cost)
            account.mean_cost = _learn(account.mean_cost, cost)
            self._mean_cost = _learn(self._mean_cost, cost)
        return True

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
        is_first = shard not in self._shards
        known_epoch = self._shards.setdefault(shard, epoch)
        if epoch < known_epoch:
            return
        self._shards[shard] = epoch
        for name, served in service.items():
            account = self._accounts.get(name)
            if account is None:
                continue
            seen = account.remote.get(shard)
            if seen is None:
                seen = account.remote[shard] = [served if is_first else 0.0] * 2
            if epoch > known_epoch:
                seen[1] = min(seen[1], served)
            if served > seen[1]:
                account.position += served - seen[1]
                seen[1] = served
        self._cut_positions()

    def gap(self) -> float:
        """Return the largest difference of position between backlogged accounts."""
        positions = [account.position for account in self._backlogged.values()]
        return max(positions) - min(positions) if positions else 0.0

    def bound(self, max_cost: float, slots: int) -> float:
        """Return the largest gap that the policy allows; see (1) in the module's text.

        Args:
            max_cost: Largest cost of one request, in the service's unit.
            slots: Most slots of the shard in use at once.

        Returns:
            slots * max_cost / least share, in the service's unit per share.
        """
        return slots * max_cost / self._least_share

    def _refund(self, slot: _Slot, cost: float) -> None:
        if cost <= 0:
            return
        account = slot.account
        normalised = slot.normalised * cost / slot.charge
        account.served -= normalised
        # What was charged at a smaller share may exceed what the bound reckons with.
        normalised = min(normalised, cost / account.share)
        if slot.episode != account.episode:
            normalised = min(normalised, account.refundable)
            account.refundable -= normalised
        account.position -= normalised
        if account.waiting:
            self._push(account)

    def _push(self, account: _Account) -> None:
        account.entry = (account.position, account.picked, account.name)
        heapq.heappush(self._heap, account.entry)
        if len(self._heap) > 4 * len(self._backlogged) + 64:
            self._rebuild()

    def _rebuild(self) -> None:
        self._heap.clear()
        for account in self._backlogged.values():
            account.entry = (account.position, account.picked, account.name)
            self._heap.append(account.entry)
        heapq.heapify(self._heap)

    def _least(self) -> _Account | None:
        heap = self._heap
        while heap:
            entry = heap[0]
            account = self._backlogged.get(entry[2])
            if account is None or account.entry is not entry:
                heapq.heappop(heap)
                continue
            if account.position == entry[0] and account.picked == entry[1]:
                return account
            account.entry = (account.position, account.picked, account.name)
            heapq.heapreplace(heap, account.entry)
        return None

    def _join(self, account: _Account) -> None:
        least = self._least()
        floor = least.position if least else self._virtual
        if account.position > floor:
            ceiling = self._ceiling(floor) - self._headroom(account)
            account.position = min(account.position, ceiling)
        account.position = max(account.position, floor)
        account.refundable = account.position - floor
        account.episode += 1
        self._backlogged[account.name] = account
        self._push(account)

    def _headroom(self, account: _Account) -> float:
        """Return by how much a position can grow without a new start."""
        room = account.running * self._largest_cost - account.charged
        return max(room, 0.0) / account.share

    def _ceiling(self, default: float) -> float:
        """Return the least lower limit of a position, plus the bound."""
        lowest = min(
            (a.position - a.charged / a.share for a in self._backlogged.values()),
            default=default,
        )
        return lowest + self.bound(self._largest_cost, self._most_running)

    def _cut_positions(self) -> None:
        """Restore the bound after positions or shares were changed from outside."""
        ceiling = self._ceiling(0.0)
        for account in self._backlogged.values():
            excess = account.position + self._headroom(account) - ceiling
            if excess > 0:
                account.position -= excess
        self._rebuild()

    def _check_least(self, account: _Account) -> None:
        least = self._least()
        detail = (
            f"{account.name} at {account.position}, {least.name} at {least.position}"
        )
        require(account.position <= least.position, "fair_start", detail)

    def _check_gap(self) -> None:
        # A check is linear; one for each round of picks costs no more than the picks.
        self._unchecked += 1
        if self._unchecked < len(self._backlogged):
            return
        self._unchecked = 0
        positions = [account.position for account in self._backlogged.values()]
        gap = max(positions) - min(positions)
        bound = self.bound(self._largest_cost, self._most_running)
        allowed = bound + ROUNDING * (abs(max(positions)) + bound)
        require(gap <= allowed, "fair_gap", f"gap {gap} exceeds {bound}")


def _learn_errors(account: _Account, hint: float, cost: float) -> None:
    """Note how far the hint and the account's mean were from a cost."""
    if not 0.0 < hint < math.inf or not account.mean_cost:
        return
    hint_error = abs(math.log(cost / hint))
    mean_error = abs(math.log(cost / account.mean_cost))
    account.hint_error += LEARNING_RATE * (hint_error - account.hint_error)
    account.mean_error += LEARNING_RATE * (mean_error - account.mean_error)


def _learn(mean: float, cost: float) -> float:
    """Return the mean cost after one more cost."""
    return mean + LEARNING_RATE * (cost - mean) if mean else cost
