"""Whether the platform's store still answers, as the whole fleet sees it.

What only the store tells, such as that a server has become cold, is unknown from the
moment at which the store falls silent. A single router notices late, as its watch waits
for seconds. Therefore each router tells the others in digests when it gets an answer,
and if nobody has had one for some time, a router renews its lease early.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonsail_gateway.server_directory import REGISTRATION_GRACE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_router.context import RouterContext

ANSWERED_KEY = "store/answered"
"""Key under which routers count that the store has just answered them."""
UNANSWERED_KEY = "store/unanswered"
"""Key under which routers count that the store has not answered a call in time."""
ANSWER_TIME_MS = 300.0
"""Time that a call may take until the store counts as away."""
NEXT_ROUTER_MS = 100.0
"""Time after which the next router makes the call that another one should have made."""
MAX_RANK = 4
"""Rank from which the next router follows after `LAST_ROUTERS_MS` already."""
LAST_ROUTERS_MS = 20.0
"""Time between two routers of the ranks beyond `MAX_RANK`."""


class StorePresence:
    """The last sign of life of the store, of all routers."""

    __slots__ = (
        "_answered_ms",
        "_asked_ms",
        "_call_store",
        "_context",
        "_counts",
        "_heard_ms",
        "_regained_ms",
        "_routers",
        "_updated_ms",
        "is_away",
    )

    is_away: bool
    """Whether no router has had an answer for some time, though one has asked."""

    def __init__(
        self,
        context: RouterContext,
        counts: FleetCounts,
        routers: FleetMembers,
        call_store: Callable[[], None],
    ) -> None:
        """Create it as if the store had just answered.

        Args:
            context: Clock and timeline.
            counts: Counters that are summed over all routers.
            routers: The routers, one of which calls the store if it is silent.
            call_store: Starts a call to the store without waiting for its answer.
        """
        self._context = context
        self._counts = counts
        self._routers = routers
        self._call_store = call_store
        self._answered_ms = -math.inf
        # When this router asked in the present silence, infinite if it did not.
        self._asked_ms = math.inf
        self._heard_ms = self._updated_ms = context.clock.now_ms()
        self._regained_ms = -math.inf
        self.is_away = False

    def record_answer(self) -> None:
        """Note that the store has answered this router."""
        self._answered_ms = self._context.clock.now_ms()

    def is_in_doubt(self) -> bool:
        """Return whether servers may not have been able to write for some time.

        That is while the store is away, and until they have written again.
        """
        now_ms = self._context.clock.now_ms()
        return self.is_away or now_ms - self._regained_ms < REGISTRATION_GRACE_MS

    def update(self, max_silence_ms: float) -> None:
        """Exchange signs of life with the other routers; ask a silent store for one.

        Args:
            max_silence_ms: Longest time without a sign of life.
        """
        now_ms = self._context.clock.now_ms()
        self._publish(ANSWERED_KEY, is_true=self._answered_ms >= self._updated_ms)
        self._updated_ms = now_ms
        if any(self._counts.total(ANSWERED_KEY)):
            self._heard_ms, self._asked_ms = now_ms, math.inf
        silent_ms = now_ms - self._heard_ms
        is_silent = silent_ms >= max_silence_ms
        if is_silent:
            self._call_in_turn(silent_ms - max_silence_ms, now_ms)
        is_unanswered = now_ms >= self._asked_ms + ANSWER_TIME_MS
        self._publish(UNANSWERED_KEY, is_true=is_unanswered)
        # Another router may have asked.
        is_away = is_silent and any(self._counts.total(UNANSWERED_KEY))
        self._set_away(is_away, silent_ms)

    def _publish(self, key: str, *, is_true: bool) -> None:
        if is_true:
            self._counts.put(key, (1,))
        else:
            self._counts.remove(key)

    def _call_in_turn(self, overdue_ms: float, now_ms: float) -> None:
        """Ask the store once in a silence, unless another router has asked in vain."""
        has_asked = self._asked_ms <= now_ms
        if has_asked or any(self._counts.total(UNANSWERED_KEY)):
            return
        rank = self._routers.rank(ANSWERED_KEY)
        first = min(rank, MAX_RANK)
        turn_ms = first * NEXT_ROUTER_MS + (rank - first) * LAST_ROUTERS_MS
        if overdue_ms >= turn_ms:
            self._asked_ms = now_ms
            self._call_store()

    def _set_away(self, is_away: bool, silent_ms: float) -> None:
        if is_away == self.is_away:
            return
        self.is_away = is_away
        if not is_away:
            self._regained_ms = self._context.clock.now_ms()
        self._context.timeline.record(
            "store_silent" if is_away else "store_heard", silent_ms=round(silent_ms)
        )
