"""Counters that are summed over all routers, exchanged in digests.

Some decisions need more evidence than one router sees: whether a server that has just
started keeps up, or whether a new version of a service fails. Each router counts what
it sees, and digests carry the counts. A router that dies takes its counts with it, so a
sum may fall.
"""

from __future__ import annotations

from itertools import zip_longest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonsail_core.clock import Clock

Counts = dict[str, tuple[int, ...]]
"""Counts by key. Sums have as many numbers as the longest of their parts."""
COUNTS_EXPIRY_MS = 300_000.0
"""Time without a change after which a router drops the counts of a key: longer than a
roll-out, in which a rare route may have no request for minutes."""


def add_counts(totals: Counts, counts: Mapping[str, tuple[int, ...]]) -> None:
    """Add counts to totals, key by key and number by number.

    Args:
        totals: The totals, which are changed.
        counts: The counts to add.

    Example:
        >>> totals = {"a": (1, 2)}
        >>> add_counts(totals, {"a": (1, 1, 4), "b": (3,)})
        >>> totals
        {'a': (2, 3, 4), 'b': (3,)}
    """
    for key, numbers in counts.items():
        totals[key] = _sum(totals.get(key, ()), numbers)


def subtract_counts(totals: Counts, counts: Mapping[str, tuple[int, ...]]) -> None:
    """Subtract counts that were added before; see `add_counts`.

    Args:
        totals: The totals, which are changed; keys whose numbers are all 0 are dropped.
        counts: The counts to subtract.
    """
    for key, numbers in counts.items():
        rest = _sum(totals.get(key, ()), tuple(-number for number in numbers))
        if any(rest):
            totals[key] = rest
        else:
            totals.pop(key, None)


class FleetCounts:
    """Counts of this router and the totals of the fleet.

    Example:
        >>> from lagoonsail_core.clock import Clock
        >>> counts = FleetCounts(Clock(lambda: 0.0, lambda: 0.0))
        >>> counts.add("rollout/a", index=1)
        >>> counts.replace_peer({}, {"rollout/a": (4, 2)})
        >>> counts.total("rollout/a"), counts.total("rollout/b")
        ((4, 3), ())
    """

    __slots__ = ("_changed_ms", "_clock", "_own", "_peers")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: Counts = {}
        self._changed_ms: dict[str, float] = {}
        self._peers: Counts = {}

    def add(self, key: str, index: int, amount: int = 1) -> None:
        """Count something that this router saw.

        Args:
            key: What the counts are about; begins with the name of the part that reads
                them.
            index: Which of the numbers of the key.
            amount: How much to add.
        """
        numbers = (0,) * index + (amount,)
        add_counts(self._own, {key: numbers})
        self._changed_ms[key] = self._clock.now_ms()

    def put(self, key: str, numbers: tuple[int, ...]) -> None:
        """Replace this router's numbers of a key, for sums of values that also fall.

        Args:
            key: What the numbers are about; see `add`.
            numbers: The new numbers, which may be negative.
        """
        self._own[key] = numbers
        self._changed_ms[key] = self._clock.now_ms()

    def remove(self, key: str) -> None:
        """Drop this router's numbers of a key, if there are any.

        Args:
            key: The key.
        """
        if self._own.pop(key, None) is not None:
            del self._changed_ms[key]

    def total(self, key: str) -> tuple[int, ...]:
        """Return the counts of all routers, as new as their digests.

        Args:
            key: The key.

        Returns:
            The numbers of the key; empty if nobody has counted. Later ones may be
            missing and are 0 then.
        """
        return _sum(self._own.get(key, ()), self._peers.get(key, ()))

    def reported_keys(self, prefix: str) -> list[str]:
        """Return the keys that other routers report.

        Args:
            prefix: Beginning of the keys.
        """
        return [key for key in self._peers if key.startswith(prefix)]

    def own(self) -> Counts:
        """Return this router's counts, for its digest."""
        expiry_ms = self._clock.now_ms() - COUNTS_EXPIRY_MS
        for key, changed_ms in list(self._changed_ms.items()):
            if changed_ms < expiry_ms:
                del self._changed_ms[key], self._own[key]
        return dict(self._own)

    def replace_peer(self, previous: Counts, newest: Counts) -> None:
        """Replace the counts that another router, or a relay, reported.

        Args:
            previous: What it reported before.
            newest: What it reports now, empty if it went silent.
        """
        subtract_counts(self._peers, previous)
        add_counts(self._peers, newest)


def _sum(first: tuple[int, ...], second: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(map(sum, zip_longest(first, second, fillvalue=0)))
