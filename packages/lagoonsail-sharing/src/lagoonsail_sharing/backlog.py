"""The accounts that have requests waiting, in the order of their positions."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from lagoonsail_sharing.queue_account import QueueAccount


class Backlog:
    """A heap over the backlogged accounts.

    A position that has grown is noticed when its entry is at the head; one that has
    fallen must be told by `lower`, and positions that were changed otherwise by
    `reorder`. All but `reorder` is logarithmic in the number of accounts.
    """

    __slots__ = ("_accounts", "_heap")

    def __init__(self) -> None:
        self._accounts: dict[str, QueueAccount] = {}
        # Lowest position first. An entry may lag behind a position that has grown.
        self._heap: list[tuple[float, int, str]] = []

    def __len__(self) -> int:
        """Return the number of backlogged accounts."""
        return len(self._accounts)

    def accounts(self) -> Collection[QueueAccount]:
        """Return the backlogged accounts, in no particular order."""
        return self._accounts.values()

    def add(self, account: QueueAccount) -> None:
        """Add an account that has become backlogged."""
        self._accounts[account.name] = account
        self.lower(account)

    def remove(self, name: str) -> None:
        """Remove an account; one that is not backlogged is ignored."""
        self._accounts.pop(name, None)

    def lower(self, account: QueueAccount) -> None:
        """Take over a position that has fallen."""
        account.entry = (account.position, account.picked, account.name)
        heapq.heappush(self._heap, account.entry)
        if len(self._heap) > 4 * len(self._accounts) + 64:
            self.reorder()

    def reorder(self) -> None:
        """Take over all positions."""
        self._heap.clear()
        for account in self._accounts.values():
            account.entry = (account.position, account.picked, account.name)
            self._heap.append(account.entry)
        heapq.heapify(self._heap)

    def least(self) -> QueueAccount | None:
        """Return the account with the least position, None if nothing waits."""
        heap = self._heap
        while heap:
            entry = heap[0]
            account = self._accounts.get(entry[2])
            if account is None or account.entry is not entry:
                heapq.heappop(heap)
                continue
            if account.position == entry[0] and account.picked == entry[1]:
                return account
            account.entry = (account.position, account.picked, account.name)
            heapq.heapreplace(heap, account.entry)
        return None
