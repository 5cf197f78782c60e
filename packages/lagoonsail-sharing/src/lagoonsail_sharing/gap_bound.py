"""Bound on the gap between two accounts of a fair queue, with its proof.

Terms. The normalised service of an account is the cost charged to it divided by its
share. The position of an account is its normalised service in this shard, plus the
service reported by other shards, plus an offset that the queue sets when the account
returns from idle. The queue serves the oldest waiting request of the backlogged account
with the lowest position.

Charges. A running request is charged max(estimate, progress). When it ends, its actual
cost replaces the charge, so a position decreases only when an estimate is settled.

Bound. Let L be the largest cost of one request, S the largest number of slots in use at
once, w the shares, and n_a the number of slots that account a uses. At any time define

    hi_a = position_a + sum over running requests of a of (L - charge) / w_a
    lo_a = position_a - sum over running requests of a of charge / w_a

The position computed from actual costs lies between lo_a and hi_a, whatever the
estimates were. Unless a starts a request, hi_a never increases and lo_a never
decreases, because hi_a counts an unsettled request at L and lo_a counts it at 0. When a
starts a request it has the lowest position, so just afterwards, for each backlogged b,

    hi_a - lo_b <= n_a * L / w_a + n_b * L / w_b <= S * L / min(w_a, w_b)

and hence, for any two accounts while both are backlogged,

    |position_a - position_b| <= S * L / min(w_a, w_b)            (1)

for charges as well as for actual costs. Over an interval in which both are backlogged
throughout, the normalised service received differs by at most twice that bound, and by
(1) itself if the interval begins when they join at the same position. A wrong estimate
contributes only through L, once for each running request.

Joining preserves (1). An account that returns from idle joins at no less than the
lowest position of the backlogged accounts (or, if there are none, the highest position
at which a request was started so far), and later refunds for requests started before
cannot move it below that. It joins at no more than min(lo) + S * L / min(w), so neither
credit nor debt beyond (1) survives an idle period. Service reported by other shards,
new shares and a take-over change positions externally; afterwards positions are clamped
to the same ceiling. The published service does not include these offsets.

With K shards that exchange digests, the lowest position is determined from values up to
T ms old. For accounts backlogged in every shard, the total service over all shards
differs by at most the sum of (1) over the shards plus T * R / min(w), where R is the
cost that the other shards run per ms: at the last start of an account in any shard, the
other accounts had at least its service as known there. This holds while no single
report adds more than the sum of (1), the ceiling above which remote service is
discarded.
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
    """Parameters of the bound: the largest values ever set or observed."""

    __slots__ = ("_max_running", "_calls_since_check", "largest_cost", "smallest_share")

    largest_cost: float
    """Largest cost of one request, in the service's unit."""
    smallest_share: float
    """Smallest share of an account."""

    def __init__(self) -> None:
        self.largest_cost = 0.0
        self.smallest_share = 1.0
        self._max_running = 0
        self._calls_since_check = 0

    def record_cost(self, cost: float) -> None:
        """Record an observed cost or a configured maximum cost."""
        if cost > self.largest_cost:
            self.largest_cost = cost

    def record_running(self, slots: int) -> None:
        """Record a number of slots that are, or may be, in use at once."""
        if slots > self._max_running:
            self._max_running = slots

    def value(self) -> float:
        """Return the bound, in the service's unit per share."""
        return self._max_running * self.largest_cost / self.smallest_share

    def ceiling(self, accounts: Collection[QueueAccount], default: float) -> float:
        """Return the lowest lower limit (`lo`) of the positions, plus the bound.

        Args:
            accounts: The backlogged accounts.
            default: Lower limit used if there are none.
        """
        lower_limits = (a.position - a.running_charge / a.share for a in accounts)
        lowest = min(lower_limits, default=default)
        return lowest + self.value()

    def clamp(self, accounts: Collection[QueueAccount]) -> None:
        """Clamp positions to the ceiling after an external change.

        Args:
            accounts: The backlogged accounts. Their order may change.
        """
        ceiling = self.ceiling(accounts, 0.0)
        for account in accounts:
            excess = account.position + account.headroom(self.largest_cost) - ceiling
            if excess > 0:
                account.position -= excess

    def check(self, accounts: Collection[QueueAccount]) -> None:
        """Check the bound once every N calls, where N is the number of accounts.

        The check takes linear time, so on average it adds constant time to a call.

        Args:
            accounts: The backlogged accounts.

        Raises:
            InvariantError: If the gap between two of them exceeds the bound.
        """
        self._calls_since_check += 1
        if self._calls_since_check < len(accounts):
            return
        self._calls_since_check = 0
        positions = [account.position for account in accounts]
        gap = max(positions) - min(positions)
        bound = self.value()
        allowed = bound + ROUNDING * (abs(max(positions)) + bound)
        require(gap <= allowed, "fair_gap", f"gap {gap} exceeds bound {bound}")
