"""Detects that the view of the store lags behind those of other routers.

Handles a connection to the store that has fallen silent: its watch waits for changes
that never come, while other routers report a newer revision in their digests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_gateway.store_access import NO_REVISION
from lagoonsail_gateway.watch_pacing import MIN_WATCH_MS

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.store_access import StoreRevision

LAG_TIMEOUT_MS = 400.0
"""Time within which a pending watch should bring a change that another router knows: a
small part of the time within which it must be in force."""


class ViewLag:
    """Since when a newer revision is known than that of the view."""

    __slots__ = ("_behind_since_ms", "_clock", "_timeout_ms", "peer_revision")

    peer_revision: StoreRevision
    """The newest revision that another router reported."""

    def __init__(self, clock: Clock) -> None:
        """Create it for a view that is not behind.

        Args:
            clock: The clock.
        """
        self._behind_since_ms = float("inf")
        self._clock = clock
        self._timeout_ms = LAG_TIMEOUT_MS
        self.peer_revision = NO_REVISION

    def update(self, revision: StoreRevision | None) -> None:
        """Note the revision of the view.

        Args:
            revision: The revision; None while a listing is needed.
        """
        # A listing in progress returns at least the revision that the peers have.
        is_behind = revision is not None and self.peer_revision > revision
        now_ms = self._clock.now_ms()
        since_ms = min(self._behind_since_ms, now_ms)
        self._behind_since_ms = since_ms if is_behind else float("inf")

    def behind_ms(self) -> float:
        """Return for how long the view has been behind, negative if it is not."""
        return self._clock.now_ms() - self._behind_since_ms

    def is_overdue(self, watch_sent_ms: float) -> bool:
        """Return whether a pending watch should have brought the change by now.

        Args:
            watch_sent_ms: When it was sent, infinity if none is pending.
        """
        late_since_ms = max(self._behind_since_ms, watch_sent_ms)
        return self._clock.now_ms() - late_since_ms >= self._timeout_ms

    def back_off(self) -> None:
        """Wait longer next time, so that a slow store can answer first."""
        self._behind_since_ms = self._clock.now_ms()
        self._timeout_ms = min(2 * self._timeout_ms, MIN_WATCH_MS)

    def end_back_off(self) -> None:
        """Use the usual time again, as the store has answered."""
        self._timeout_ms = LAG_TIMEOUT_MS
