"""Who gets an engine now, and who is told to come back.

Answers demand beyond what the engines can read. A queue at an engine helps nobody
once it is longer than callers wait, since engines take requests in order of arrival: so
what waits there is bounded by a part of the request's objective. An account above its
max-min share is held to a smaller part, down to a queue that is as good as none, so
that it gets what nobody else asks for and no more. A request that does not fit is
refused at once.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_sharing.account_shares import (
    FADE_MS,
    FadingSums,
    FleetSums,
    fair_level,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonsail_core.clock import Clock

CALM_WAIT_PART = 1.2
"""Part of its objective that a request may wait while all accounts get what they
ask for: a short burst, which is served late rather than not at all."""
IN_TIME_PART = 0.8
"""Part of its objective within which a request is read while accounts contend."""
SHORTEST_WAIT_PART = 0.3
"""Part that a request may wait though it takes long to read itself."""
FREE_PART = 0.1
"""Part of the allowed wait that is left to an account far above its share: the
engine is as good as free."""
FULL_WAIT_EXCESS = 0.85
"""What an account got, relative to its share, from which on its requests wait less."""
EXCESS_SLOPE = 2.5
"""How much less of the allowed wait is left, for each part of the share beyond that."""
SURE_PART = 0.6
"""Part of the stated rate that engines serve even while some of them are away."""
BACKLOG_MS = 300.0
"""Median queue of the engines above which more is admitted than they serve."""
BACKLOG_PART = 0.9
"""Part of what was admitted that is shared while that is so, until the queue falls."""
SHORTEST_RETRY_S = 0.2
"""Shortest Retry-After."""
LONGEST_RETRY_S = 3.0
"""Longest Retry-After."""


@dataclass(slots=True, frozen=True)
class Refusal:
    """Why a request gets no server now."""

    kind: str
    """Stable name."""
    reason: str
    """What decided it, with its figures."""
    retry_after_s: float
    """When to come back."""
    is_over_share: bool = False
    """Whether the account itself asks for more than its share."""


class AccountLoad:
    """What the accounts asked for and got, over all routers."""

    __slots__ = (
        "_admitted",
        "_asked",
        "_clock",
        "_level",
        "_others_admitted",
        "_others_asked",
        "known_capacity",
    )

    known_capacity: float
    """Sum that the engines serve at least, so that a start or an idle time, in which
    little was admitted, makes no account seem to be above its share."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._asked = FadingSums()
        self._admitted = FadingSums()
        self._others_asked = FleetSums()
        self._others_admitted = FleetSums()
        self._level = math.inf
        self.known_capacity = 0.0

    def use_rate(self, tokens_per_s: float) -> None:
        """Take over what the engines are said to serve.

        Args:
            tokens_per_s: Tokens in a second, 0 if nothing is said.
        """
        self.known_capacity = SURE_PART * tokens_per_s * FADE_MS / 1000.0

    def note_asked(self, account: str, cost: float) -> None:
        """Count what a request asks for.

        Args:
            account: The client account.
            cost: Its cost in tokens.
        """
        self._asked.add(account, cost, self._clock.now_ms())

    def note_admitted(self, account: str, cost: float) -> None:
        """Count what a request was given.

        Args:
            account: The client account.
            cost: Its cost in tokens.
        """
        self._admitted.add(account, cost, self._clock.now_ms())

    def recent_sums(self, age_ms: float) -> dict[str, tuple[int, int]]:
        """Return what accounts asked for and were admitted at this router.

        Args:
            age_ms: Accounts without a request for so long are left out; their sums
                have only faded since.
        """
        now_ms = self._clock.now_ms()
        return {
            account: (round(asked), round(self._admitted.value(account, now_ms)))
            for account, asked in self._asked.recent(now_ms, age_ms).items()
        }

    def note_told(
        self, router: str, incarnation: int, sums: Mapping[str, tuple[int, int]]
    ) -> None:
        """Take over what another router told of its accounts.

        Args:
            router: The router.
            incarnation: Number of its start.
            sums: What its `recent_sums` returned.
        """
        now_ms = self._clock.now_ms()
        asked = {account: pair[0] for account, pair in sums.items()}
        admitted = {account: pair[1] for account, pair in sums.items()}
        self._others_asked.note_told(router, incarnation, asked, now_ms)
        self._others_admitted.note_told(router, incarnation, admitted, now_ms)

    def forget(self, router: str) -> None:
        """Note that a router is not heard any more; what it told fades."""
        self._others_asked.forget(router)
        self._others_admitted.forget(router)

    def update(self, usual_queue_ms: float) -> None:
        """Compute the shares anew.

        Args:
            usual_queue_ms: Median queue of the engines.
        """
        now_ms = self._clock.now_ms()
        asked = _sum(self._asked.values(now_ms), self._others_asked.values(now_ms))
        admitted = _sum(
            self._admitted.values(now_ms), self._others_admitted.values(now_ms)
        )
        capacity = sum(admitted.values())
        if usual_queue_ms > BACKLOG_MS:
            # They serve less than was admitted, whatever they are said to serve.
            capacity *= BACKLOG_PART
        else:
            capacity = max(capacity, self.known_capacity)
        self._level = fair_level(asked.values(), capacity)

    def excess(self, account: str) -> float | None:
        """Return what an account was admitted, relative to its max-min share.

        Args:
            account: The client account.

        Returns:
            0 for an account that asks for less than its share, None while all accounts
            together ask for no more than the engines serve.
        """
        if math.isinf(self._level) or self._level <= 0:
            return None
        now_ms = self._clock.now_ms()
        asked = self._asked.value(account, now_ms)
        if asked + self._others_asked.value(account, now_ms) <= self._level:
            return 0.0
        admitted = self._admitted.value(account, now_ms)
        admitted += self._others_admitted.value(account, now_ms)
        return admitted / self._level


def longest_wait_ms(objective_ms: float, read_ms: float, excess: float | None) -> float:
    """Return how long a request may wait at an engine.

    Args:
        objective_ms: Time within which its answer should begin.
        read_ms: How long the engine reads the request itself.
        excess: What its account got, relative to its share; None if all get what they
            ask for.

    Example:
        >>> [longest_wait_ms(800.0, 40.0, excess) for excess in (None, 0.0, 1.05, 2.0)]
        [960.0, 600.0, 300.0, 60.0]
    """
    if excess is None:
        return objective_ms * CALM_WAIT_PART
    in_time_ms = objective_ms * IN_TIME_PART - read_ms
    wait_ms = max(in_time_ms, objective_ms * SHORTEST_WAIT_PART)
    left = 1.0 - EXCESS_SLOPE * (excess - FULL_WAIT_EXCESS)
    return round(wait_ms * min(1.0, max(FREE_PART, left)), 1)


def judge_wait(
    delay_ms: float, read_ms: float, objective_ms: float, excess: float | None
) -> Refusal | None:
    """Return why a request is refused, None if it may wait at the engine.

    Args:
        delay_ms: How long it would wait at the best engine.
        read_ms: How long that engine reads the request itself.
        objective_ms: Time within which its answer should begin.
        excess: What its account got, relative to its share; None if all get what they
            ask for.
    """
    allowed_ms = longest_wait_ms(objective_ms, read_ms, excess)
    if delay_ms <= allowed_ms:
        return None
    is_over_share = excess is not None and excess > 1.0
    wait_ms = delay_ms - allowed_ms
    if is_over_share:
        # Its sum must fade to the share first.
        wait_ms = max(wait_ms, FADE_MS * math.log(excess))
    return Refusal(
        "over_share" if is_over_share else "engines_full",
        f"{delay_ms:.0f} ms wait at the best engine, {allowed_ms:.0f} ms allowed "
        f"at {excess if excess is None else round(excess, 2)} of the share",
        round(min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_ms / 1000.0)), 2),
        is_over_share,
    )


def _sum(one: dict[str, float], other: dict[str, float]) -> dict[str, float]:
    accounts = one.keys() | other.keys()
    return {a: one.get(a, 0.0) + other.get(a, 0.0) for a in accounts}
