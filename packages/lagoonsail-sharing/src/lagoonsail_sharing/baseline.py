"""Baseline policy for measurements: FIFO queue and random choice of server.

Each router independently queues requests in order of arrival and sends the first one to
a random server that it considers free. Not used by the router itself.

Example:
    >>> queue = FifoQueue(max_waiting_per_account=2)
    >>> queue.set_shares({"a": 1.0, "b": 1.0})
    []
    >>> from lagoonsail_sharing.waiting import WaitingRequest
    >>> for number, account in enumerate("aab"):
    ...     waiting = WaitingRequest((number,), account, 1.0, since_ms=float(number))
    ...     _ = queue.add(waiting)
    >>> for slot in range(2):
    ...     queue.start(queue.pick(), slot)
    >>> queue.pick().account, queue.gap(), queue.service()
    ('b', 0.0, {'a': 2.0, 'b': 0.0})
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable
    from random import Random

    from lagoonsail_sharing.placement import Candidate
    from lagoonsail_sharing.waiting import WaitingRequest


class FifoQueue:
    """A queue with the methods of `FairQueue` that serves in order of arrival."""

    __slots__ = (
        "_queue",
        "_served",
        "_shares",
        "_slots",
        "_waiting_counts",
        "max_waiting_per_account",
    )

    max_waiting_per_account: int
    """Maximum number of waiting requests per account."""

    def __init__(self, max_waiting_per_account: int) -> None:
        self.max_waiting_per_account = max_waiting_per_account
        self._shares: dict[str, float] = {}
        self._served: dict[str, float] = {}
        # By ticket, in order of arrival.
        self._queue: dict[tuple, WaitingRequest] = {}
        self._waiting_counts: Counter[str] = Counter()
        self._slots: dict[Hashable, tuple[str, float]] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def set_shares(self, shares: dict[str, float]) -> list[WaitingRequest]:
        """Set the accounts; shares are used only to report the service."""
        self._shares = dict(shares)
        self._served = {name: self._served.get(name, 0.0) for name in shares}
        removed = [
            waiting for waiting in self._queue.values() if waiting.account not in shares
        ]
        for waiting in removed:
            self.cancel(waiting.ticket)
        return removed

    def add(self, waiting: WaitingRequest) -> bool:
        """Queue a request and return whether it was accepted."""
        if waiting.account not in self._shares:
            return False
        if self._waiting_counts[waiting.account] >= self.max_waiting_per_account:
            return False
        self._waiting_counts[waiting.account] += 1
        self._queue[waiting.ticket] = waiting
        return True

    def cancel(self, ticket: tuple) -> WaitingRequest | None:
        """Remove a waiting request."""
        waiting = self._queue.pop(ticket, None)
        if waiting is not None:
            self._waiting_counts[waiting.account] -= 1
        return waiting

    def pick(self) -> WaitingRequest | None:
        """Return the request that arrived first without removing it."""
        return next(iter(self._queue.values()), None)

    def start(self, waiting: WaitingRequest, slot: Hashable) -> None:
        """Remove a request from the queue and count its estimate."""
        self.cancel(waiting.ticket)
        self._slots[slot] = (waiting.account, 0.0)
        self.progress(slot, waiting.estimate)

    def progress(self, slot: Hashable, cost: float) -> None:
        """Count the cost so far of a running request."""
        account, counted_cost = self._slots[slot]
        self._slots[slot] = (account, cost)
        if account in self._served:
            self._served[account] += (cost - counted_cost) / self._shares[account]

    def settle(self, slot: Hashable, cost: float) -> None:
        """Count the total cost of a finished request."""
        self.progress(slot, cost)
        del self._slots[slot]

    def service(self) -> dict[str, float]:
        """Return the normalised service of each account."""
        return dict(self._served)

    def gap(self) -> float:
        """Return the largest difference of service between backlogged accounts."""
        backlogged = [name for name, count in self._waiting_counts.items() if count]
        served = [self._served[name] for name in backlogged]
        return max(served) - min(served) if served else 0.0


def choose_random_server(candidates: Iterable[Candidate], random: Random) -> str | None:
    """Choose a random server with a free slot.

    Args:
        candidates: The servers known to the router.
        random: Random number generator, seeded by the caller.

    Returns:
        Name of the server, or None if none is free.
    """
    free = [
        candidate.name
        for candidate in candidates
        if candidate.running < candidate.limit
    ]
    return random.choice(free) if free else None
