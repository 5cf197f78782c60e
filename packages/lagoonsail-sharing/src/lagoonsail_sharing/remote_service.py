"""Service reported by other shards of the same service.

Example:
    >>> remote = RemoteService()
    >>> remote.update("s@east", {"a": 10.0}, {"a", "b"})
    {}
    >>> remote.update("s@east", {"a": 14.0, "b": 3.0, "unknown": 1.0}, {"a", "b"})
    {'a': 4.0, 'b': 3.0}
    >>> remote.update("s@east", {"a": 12.0}, {"a", "b"})
    {}
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container


class RemoteService:
    """Largest sums reported in the newest epoch, by shard and account."""

    __slots__ = ("_epochs", "_max_sums")

    def __init__(self) -> None:
        self._epochs: dict[str, int] = {}
        self._max_sums: dict[str, dict[str, float]] = {}

    def update(
        self,
        shard: str,
        service: dict[str, float],
        accounts: Container[str],
        epoch: int = 0,
    ) -> dict[str, float]:
        """Merge a report and return how much the sums of the shard have increased.

        Only growth since the first report of a shard counts. Within an epoch the
        greatest report wins, so reports may be repeated or arrive late. If a new owner
        reports smaller sums than its predecessor, growth counts from its first report.

        Args:
            shard: The reporting shard.
            service: Normalised service in that shard, for all accounts.
            accounts: Names of the known accounts; others are ignored.
            epoch: Epoch of the owner of that shard.

        Returns:
            Increase by account, only of accounts whose sum has increased.
        """
        is_first = shard not in self._epochs
        known_epoch = self._epochs.setdefault(shard, epoch)
        if epoch < known_epoch:
            return {}
        self._epochs[shard] = epoch
        max_sums = self._max_sums.setdefault(shard, {})
        increases = {}
        for name, reported in service.items():
            if name not in accounts:
                continue
            known = max_sums.get(name, reported if is_first else 0.0)
            if epoch > known_epoch:
                known = min(known, reported)
            max_sums[name] = known
            if reported > known:
                increases[name] = reported - known
                max_sums[name] = reported
        return increases

    def forget(self, account: str) -> None:
        """Drop the sums of a removed account."""
        for max_sums in self._max_sums.values():
            max_sums.pop(account, None)
