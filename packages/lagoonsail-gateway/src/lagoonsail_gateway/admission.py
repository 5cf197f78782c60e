"""Admission control: decides whether a request may queue at an engine.

Handles demand beyond the prefill capacity of the engines. Engines process requests in
order of arrival, so a queue that is longer than callers wait is useless to all of them.
The queueing delay of a request is therefore limited to a fraction of its time
objective. For an account above its max-min share the limit is lower, down to an almost
empty queue, so that the account gets only capacity that no other account asks for. A
request whose delay would exceed its limit is refused at once.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_sharing.account_shares import (
    DECAY_TIME_MS,
    DecayingSums,
    FleetSums,
    max_min_level,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonsail_core.clock import Clock

UNCONTENDED_WAIT_FACTOR = 1.2
"""Allowed wait, relative to the objective, while all accounts get what they ask for.
Above 1, so that a short burst is served late rather than refused."""
CONTENDED_READ_FRACTION = 0.8
"""Fraction of the objective within which the prefill of a request must end while
accounts contend for capacity."""
MIN_WAIT_FRACTION = 0.3
"""Minimum allowed wait as a fraction of the objective, for prompts whose own prefill
takes long."""
MIN_OVER_SHARE_FRACTION = 0.1
"""Fraction of the allowed wait that remains for an account far above its share: only
an almost idle engine accepts its requests."""
FULL_WAIT_USAGE_RATIO = 0.85
"""Usage, relative to the share of an account, above which its allowed wait shrinks."""
WAIT_REDUCTION_SLOPE = 2.5
"""Reduction of the allowed-wait fraction per unit of usage ratio beyond that."""
RELIABLE_RATE_FRACTION = 0.6
"""Fraction of the configured rate that engines serve even while some are down."""
BACKLOG_QUEUE_MS = 300.0
"""Median engine queue above which admission exceeds what the engines serve."""
BACKLOG_CAPACITY_FRACTION = 0.9
"""Fraction of the admitted cost that counts as capacity during a backlog, so that the
queue shrinks."""
MIN_RETRY_AFTER_S = 0.2
"""Minimum Retry-After."""
MAX_RETRY_AFTER_S = 3.0
"""Maximum Retry-After."""


@dataclass(slots=True, frozen=True)
class Refusal:
    """The reason why a request cannot be sent to a server now."""

    kind: str
    """Stable identifier of the reason."""
    reason: str
    """Explanation with the values that led to the refusal."""
    retry_after_s: float
    """Time after which the caller should retry."""
    is_over_share: bool = False
    """Whether the account is above its share."""


class AccountLoad:
    """Demand and admitted cost of the client accounts, over all routers."""

    __slots__ = (
        "_admitted",
        "_demand",
        "_clock",
        "_fair_level",
        "_peer_admitted",
        "_peer_demand",
        "min_capacity_tokens",
    )

    min_capacity_tokens: float
    """Lower bound of the engines' capacity, as a fading sum. Without it accounts would
    seem to exceed their shares after a start or an idle period, when little has been
    admitted."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._demand = DecayingSums()
        self._admitted = DecayingSums()
        self._peer_demand = FleetSums()
        self._peer_admitted = FleetSums()
        self._fair_level = math.inf
        self.min_capacity_tokens = 0.0

    def set_rate(self, tokens_per_s: float) -> None:
        """Set the configured rate of the engines.

        Args:
            tokens_per_s: Tokens per second, 0 if not configured.
        """
        self.min_capacity_tokens = (
            RELIABLE_RATE_FRACTION * tokens_per_s * DECAY_TIME_MS / 1000.0
        )

    def record_demand(self, account: str, cost: float) -> None:
        """Add the cost of an incoming request to the demand of its account.

        Args:
            account: The client account.
            cost: Its cost in tokens.
        """
        self._demand.add(account, cost, self._clock.now_ms())

    def record_admitted(self, account: str, cost: float) -> None:
        """Add the cost of an admitted request to the sum of its account.

        Args:
            account: The client account.
            cost: Its cost in tokens.
        """
        self._admitted.add(account, cost, self._clock.now_ms())

    def recent_sums(self, age_ms: float) -> dict[str, tuple[int, int]]:
        """Return demand and admitted cost by account at this router.

        Args:
            age_ms: Accounts without a request in this period are left out, because
                their sums have only decayed since.
        """
        now_ms = self._clock.now_ms()
        return {
            account: (round(asked), round(self._admitted.value(account, now_ms)))
            for account, asked in self._demand.recently_updated(now_ms, age_ms).items()
        }

    def apply_peer_sums(
        self, router: str, incarnation: int, sums: Mapping[str, tuple[int, int]]
    ) -> None:
        """Apply the account sums reported by another router.

        Args:
            router: Name of the router.
            incarnation: Number of its start.
            sums: Result of its `recent_sums`.
        """
        now_ms = self._clock.now_ms()
        asked = {account: pair[0] for account, pair in sums.items()}
        admitted = {account: pair[1] for account, pair in sums.items()}
        self._peer_demand.apply_report(router, incarnation, asked, now_ms)
        self._peer_admitted.apply_report(router, incarnation, admitted, now_ms)

    def remove_peer(self, router: str) -> None:
        """Forget a router that went silent; the sums it reported decay."""
        self._peer_demand.forget(router)
        self._peer_admitted.forget(router)

    def update(self, median_queue_ms: float) -> None:
        """Recompute the max-min shares.

        Args:
            median_queue_ms: Median queueing delay of the engines.
        """
        now_ms = self._clock.now_ms()
        asked = _add_sums(self._demand.values(now_ms), self._peer_demand.values(now_ms))
        admitted = _add_sums(
            self._admitted.values(now_ms), self._peer_admitted.values(now_ms)
        )
        capacity = sum(admitted.values())
        if median_queue_ms > BACKLOG_QUEUE_MS:
            # The engines serve less than was admitted, whatever rate is configured.
            capacity *= BACKLOG_CAPACITY_FRACTION
        else:
            capacity = max(capacity, self.min_capacity_tokens)
        self._fair_level = max_min_level(asked.values(), capacity)

    def usage_ratio(self, account: str) -> float | None:
        """Return the admitted cost of an account relative to its max-min share.

        Args:
            account: The client account.

        Returns:
            0 for an account that asks for no more than its share; None while the
            demand of all accounts does not exceed the capacity.
        """
        if math.isinf(self._fair_level) or self._fair_level <= 0:
            return None
        now_ms = self._clock.now_ms()
        asked = self._demand.value(account, now_ms)
        if asked + self._peer_demand.value(account, now_ms) <= self._fair_level:
            return 0.0
        admitted = self._admitted.value(account, now_ms)
        admitted += self._peer_admitted.value(account, now_ms)
        return admitted / self._fair_level


def max_wait_ms(
    objective_ms: float, read_ms: float, usage_ratio: float | None
) -> float:
    """Return the longest allowed queueing delay of a request at an engine.

    Args:
        objective_ms: Time within which the response should begin.
        read_ms: Expected prefill time of the request itself.
        usage_ratio: Usage of the account relative to its share; None if all accounts
            get what they ask for.

    Example:
        >>> [max_wait_ms(800.0, 40.0, ratio) for ratio in (None, 0.0, 1.05, 2.0)]
        [960.0, 600.0, 300.0, 60.0]
    """
    if usage_ratio is None:
        return objective_ms * UNCONTENDED_WAIT_FACTOR
    latest_start_ms = objective_ms * CONTENDED_READ_FRACTION - read_ms
    wait_ms = max(latest_start_ms, objective_ms * MIN_WAIT_FRACTION)
    fraction = 1.0 - WAIT_REDUCTION_SLOPE * (usage_ratio - FULL_WAIT_USAGE_RATIO)
    return round(wait_ms * min(1.0, max(MIN_OVER_SHARE_FRACTION, fraction)), 1)


def check_wait(
    delay_ms: float, read_ms: float, objective_ms: float, usage_ratio: float | None
) -> Refusal | None:
    """Return the refusal of a request, or None if it may queue at the engine.

    Args:
        delay_ms: Expected queueing delay at the best engine.
        read_ms: Expected prefill time of the request itself.
        objective_ms: Time within which the response should begin.
        usage_ratio: Usage of the account relative to its share; None if all accounts
            get what they ask for.
    """
    allowed_ms = max_wait_ms(objective_ms, read_ms, usage_ratio)
    if delay_ms <= allowed_ms:
        return None
    is_over_share = usage_ratio is not None and usage_ratio > 1.0
    wait_ms = delay_ms - allowed_ms
    if is_over_share:
        # The admitted sum of the account must first decay to its share.
        wait_ms = max(wait_ms, DECAY_TIME_MS * math.log(usage_ratio))
    return Refusal(
        "over_share" if is_over_share else "engines_full",
        f"{delay_ms:.0f} ms wait at the best engine, {allowed_ms:.0f} ms allowed at "
        f"{usage_ratio if usage_ratio is None else round(usage_ratio, 2)} of the share",
        round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_ms / 1000.0)), 2),
        is_over_share,
    )


def _add_sums(first: dict[str, float], second: dict[str, float]) -> dict[str, float]:
    accounts = first.keys() | second.keys()
    return {a: first.get(a, 0.0) + second.get(a, 0.0) for a in accounts}
