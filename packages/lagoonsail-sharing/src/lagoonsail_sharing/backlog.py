"""Priority queue of the accounts with waiting requests, ordered by position."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from lagoonsail_sharing.queue_account import QueueAccount


class Backlog:
    """A heap of the backlogged accounts with lazy updates.

    An increased position is detected when its entry reaches the head of the heap. Call
    `decrease_key` after a position has decreased, and `rebuild` after any other change
    of positions. All operations except `rebuild` are logarithmic in the number of
    accounts.
    """

    __slots__ = ("_accounts", "_heap")

    def __init__(self) -> None:
        self._accounts: dict[str, QueueAccount] = {}
        # Lowest position first. Entries may be outdated if a position has increased.
        self._heap: list[tuple[float, int, str]] = []

    def __len__(self) -> int:
        """Return the number of backlogged accounts."""
        return len(self._accounts)

    def accounts(self) -> Collection[QueueAccount]:
        """Return the backlogged accounts, in no particular order."""
        return self._accounts.values()

    def add(self, account: QueueAccount) -> None:
        """Add an account that became backlogged."""
        self._accounts[account.name] = account
        self.decrease_key(account)

    def remove(self, name: str) -> None:
        """Remove an account; ignored if it is not backlogged."""
        self._accounts.pop(name, None)

    def decrease_key(self, account: QueueAccount) -> None:
        """Update the heap after the position of an account has decreased."""
        account.heap_entry = (account.position, account.last_start_number, account.name)
        heapq.heappush(self._heap, account.heap_entry)
        if len(self._heap) > 4 * len(self._accounts) + 64:
            self.rebuild()

    def rebuild(self) -> None:
        """Rebuild the heap from the current positions of all accounts."""
        self._heap.clear()
        for account in self._accounts.values():
            account.heap_entry = (
                account.position,
                account.last_start_number,
                account.name,
            )
            self._heap.append(account.heap_entry)
        heapq.heapify(self._heap)

    def least(self) -> QueueAccount | None:
        """Return the account with the lowest position, or None if there is none."""
        heap = self._heap
        while heap:
            entry = heap[0]
            account = self._accounts.get(entry[2])
            if account is None or account.heap_entry is not entry:
                heapq.heappop(heap)
                continue
            if account.position == entry[0] and account.last_start_number == entry[1]:
                return account
            account.heap_entry = (
                account.position,
                account.last_start_number,
                account.name,
            )
            heapq.heapreplace(heap, account.heap_entry)
        return None
