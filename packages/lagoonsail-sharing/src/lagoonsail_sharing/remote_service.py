"""The service that other shards of the same service report.

Example:
    >>> remote = RemoteService()
    >>> remote.take("s@east", {"a": 10.0}, {"a", "b"})
    {}
    >>> remote.take("s@east", {"a": 14.0, "b": 3.0, "unknown": 1.0}, {"a", "b"})
    {'a': 4.0, 'b': 3.0}
    >>> remote.take("s@east", {"a": 12.0}, {"a", "b"})
    {}
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container


class RemoteService:
    """The greatest sums of the newest epochs, by shard and account."""

    __slots__ = ("_epochs", "_greatest")

    def __init__(self) -> None:
        self._epochs: dict[str, int] = {}
        self._greatest: dict[str, dict[str, float]] = {}

    def take(
        self,
        shard: str,
        service: dict[str, float],
        accounts: Container[str],
        epoch: int = 0,
    ) -> dict[str, float]:
        """Return by how much the sums of a shard have grown.

        Sums count from the first report of a shard on, and the greatest report of an
        epoch holds: reports may be repeated or come late. An owner that knows less than
        the one before it counts from its own first report on.

        Args:
            shard: The shard that reports.
            service: Its sum by account, for all accounts.
            accounts: Names of the known accounts; others are left out.
            epoch: Epoch of the owner.

        Returns:
            Growth by account, of those whose sum has grown.
        """
        is_first = shard not in self._epochs
        known_epoch = self._epochs.setdefault(shard, epoch)
        if epoch < known_epoch:
            return {}
        self._epochs[shard] = epoch
        greatest = self._greatest.setdefault(shard, {})
        growth = {}
        for name, served in service.items():
            if name not in accounts:
                continue
            known = greatest.get(name, served if is_first else 0.0)
            if epoch > known_epoch:
                known = min(known, served)
            greatest[name] = known
            if served > known:
                growth[name] = served - known
                greatest[name] = served
        return growth

    def forget(self, account: str) -> None:
        """Forget an account that was removed."""
        for greatest in self._greatest.values():
            greatest.pop(account, None)
