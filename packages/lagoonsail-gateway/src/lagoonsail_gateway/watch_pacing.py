"""How often a router calls the store: timeouts of its watches, and pauses between them.

Handles the load that a fleet puts on the store, whose calls are counted: each answer to
a watch costs one call for each router. After a failure watches are short, since the
answer to a long one may be lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_router.context import RouterContext

MIN_WATCH_MS = 3000.0
"""Minimum timeout of a watch, used also after failures: a lost answer is requested
again after this time."""
MAX_WATCH_MS = 20_000.0
"""Maximum timeout of a watch."""
WATCH_MS_PER_ROUTER = 250.0
"""Watch timeout per router of the fleet, which bounds the call rate of all routers. A
longer timeout is harmless in a larger fleet: the more routers watch, the sooner one of
them reports a change to the others."""
FIRST_WATCH_MS = 1.0
"""Timeout of the first watch after a failure. Its answer tells that the store is back,
which a longer one would tell only with the next change."""
SHORT_WATCH_PERIOD_MS = 15_000.0
"""Time after a failure in which watches use the minimum timeout."""
BATCH_MS_PER_ROUTER = 20.0
"""Pause after changes, per router of the fleet, so that the next answer contains a
batch of changes: each answer to a watch costs one call per router."""
MAX_BATCH_FRACTION = 0.4
"""Maximum of this pause, as a fraction of the time within which a change must be in
force."""
WATCHER_WATCH_MS = 1500.0
"""Timeout of the watches of a router on which others rely: a connection that has fallen
silent is noticed within the time in which a change must be in force."""
WATCHER_BATCH_FRACTION = 0.15
"""Pause of such a router after changes, as a fraction of that time."""


class WatchPacing:
    """Timeouts and pauses by the size of the fleet and the time since a failure."""

    __slots__ = ("_context", "_last_failure_ms", "_routers", "_uses_feed")

    def __init__(
        self,
        context: RouterContext,
        routers: FleetMembers,
        uses_feed: Callable[[], bool],
    ) -> None:
        """Create it without a failure.

        Args:
            context: The router's shared state.
            routers: The routers of the fleet.
            uses_feed: Returns whether few routers watch the store for the others.
        """
        self._context = context
        self._last_failure_ms = float("-inf")
        self._routers = routers
        self._uses_feed = uses_feed

    def record_failure(self) -> None:
        """Note a call that was not answered."""
        self._last_failure_ms = self._context.clock.now_ms()

    def failure_age_ms(self) -> float:
        """Return the time since the last failure, infinity if there was none."""
        return self._context.clock.now_ms() - self._last_failure_ms

    def timeout_ms(self, *, is_up: bool) -> float:
        """Return the timeout of the next watch.

        Args:
            is_up: Whether the last call was answered.
        """
        if not is_up:
            return FIRST_WATCH_MS
        if self._uses_feed():
            return WATCHER_WATCH_MS
        if self.failure_age_ms() < SHORT_WATCH_PERIOD_MS:
            return MIN_WATCH_MS
        timeout_ms = WATCH_MS_PER_ROUTER * self._routers.count()
        return min(MAX_WATCH_MS, max(MIN_WATCH_MS, timeout_ms))

    def batch_pause_ms(self) -> float:
        """Return the pause after an answer with changes."""
        bound_ms = self._context.settings.max_change_delay_ms
        if self._uses_feed():
            return WATCHER_BATCH_FRACTION * bound_ms
        pause_ms = BATCH_MS_PER_ROUTER * self._routers.count()
        return min(MAX_BATCH_FRACTION * bound_ms, pause_ms)
