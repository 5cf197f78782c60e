"""The bound of the gap between two accounts of a fair queue, and its proof.

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
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.invariants import require

if TYPE_CHECKING:
    from collections.abc import Collection

    from lagoonsail_sharing.queue_account import QueueAccount

ROUNDING = 1e-9
"""Relative error allowed for sums of floating-point numbers."""


class GapBound:
    """What the bound is made of; the largest values ever set or seen count."""

    __slots__ = ("_most_running", "_unchecked", "largest_cost", "least_share")

    largest_cost: float
    """Largest cost of one request, in the service's unit."""
    least_share: float
    """Least share of an account."""

    def __init__(self) -> None:
        self.largest_cost = 0.0
        self.least_share = 1.0
        self._most_running = 0
        self._unchecked = 0

    def note_cost(self, cost: float) -> None:
        """Count a cost that a request has or may have."""
        if cost > self.largest_cost:
            self.largest_cost = cost

    def note_running(self, slots: int) -> None:
        """Count slots that are or may be in use at once."""
        if slots > self._most_running:
            self._most_running = slots

    def value(self) -> float:
        """Return the bound, in the service's unit per share."""
        return self._most_running * self.largest_cost / self.least_share

    def ceiling(self, accounts: Collection[QueueAccount], default: float) -> float:
        """Return the least lower limit of a position, plus the bound.

        Args:
            accounts: The backlogged accounts.
            default: The least lower limit where there are none.
        """
        lower = (a.position - a.charged / a.share for a in accounts)
        lowest = min(lower, default=default)
        return lowest + self.value()

    def cut(self, accounts: Collection[QueueAccount]) -> None:
        """Restore the bound after positions or shares were changed from outside.

        Args:
            accounts: The backlogged accounts; the order of their positions may change.
        """
        ceiling = self.ceiling(accounts, 0.0)
        for account in accounts:
            excess = account.position + account.headroom(self.largest_cost) - ceiling
            if excess > 0:
                account.position -= excess

    def check(self, accounts: Collection[QueueAccount]) -> None:
        """Check the bound, once for as many calls as there are accounts.

        A check is linear; one for each round of picks costs no more than the picks.

        Args:
            accounts: The backlogged accounts.

        Raises:
            InvariantError: If the gap between two of them exceeds the bound.
        """
        self._unchecked += 1
        if self._unchecked < len(accounts):
            return
        self._unchecked = 0
        positions = [account.position for account in accounts]
        gap = max(positions) - min(positions)
        bound = self.value()
        allowed = bound + ROUNDING * (abs(max(positions)) + bound)
        require(gap <= allowed, "fair_gap", f"gap {gap} exceeds {bound}")
