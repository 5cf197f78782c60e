"""Permits of one router for a server that starts: its part of the room that is left.

Handles routers that all send at once to a server with little room: none of them sees
what the others send before the next digests.
"""

from __future__ import annotations

import math

from lagoonsail_sharing.start_evidence import SUMS_AGE_MS

USED_PER_UPDATE = 0.25
"""Fraction of the room that all routers use in one update: the sums that they see are
up to three updates old, and are used until the next."""
MAX_OVERCOMMIT = 3.0
"""Maximum factor of the permits of all routers to the room. Many permits are unused: a
router has one, but its requests are sent to the servers that know their prompts."""
OVERCOMMIT_GROWTH = 1.1
"""Growth of that factor in each update in which requests are held off, although less
than half of the limit is outstanding."""
PROBE_INTERVAL_MS = 1000.0
"""Interval in which all routers with a part of 0 send about as many requests as the
limit is."""


class StartPermits:
    """Requests that one router may send to a server before the next update."""

    __slots__ = (
        "_credit",
        "_draw",
        "_drawn_ms",
        "_granted",
        "_overcommit",
        "_probed_ms",
        "left",
    )

    left: int
    """Permits that are not used yet; negative if more requests were sent."""

    def __init__(self, now_ms: float) -> None:
        """Create it without permits.

        Args:
            now_ms: The time.
        """
        self._credit = self._draw = 0.0
        self._drawn_ms = -math.inf
        self._granted = 0
        self._overcommit = 1.0
        self._probed_ms = now_ms
        self.left = 0

    def update_overcommit(self, *, is_half_used: bool, is_holding: bool) -> None:
        """Adapt the factor of all routers' permits to the room.

        Args:
            is_half_used: Whether half of the limit is outstanding.
            is_holding: Whether any router holds off requests because of the limit.
        """
        if is_half_used:
            self._overcommit = 1.0
        elif is_holding:
            self._overcommit = min(MAX_OVERCOMMIT, self._overcommit * OVERCOMMIT_GROWTH)

    def grant_part(self, now_ms: float, part: float, random_value: float) -> None:
        """Grant a part of the room, of which a fraction is used in one update.

        Args:
            now_ms: The time.
            part: This router's part of the room, by its demand.
            random_value: A random number from 0 up to 1.
        """
        part *= self._overcommit
        # What was granted beyond the part is owed.
        used = self._granted - max(0, self.left)
        credit = max(-1.0, self._credit - used)
        self._credit = min(part, credit + part * USED_PER_UPDATE)
        if now_ms - self._drawn_ms >= SUMS_AGE_MS:
            self._drawn_ms = now_ms
            self._draw = random_value
        # Rounded at random, so that small parts add up over the routers.
        self.left = max(0, math.floor(self._credit + self._draw))
        self._granted = self.left

    def grant_fixed(
        self,
        now_ms: float,
        quota: int,
        own_running: int,
        probe_interval_ms: float,
        random_value: float,
    ) -> None:
        """Grant a fixed part of the limit, as the sums of all routers are not usable.

        Args:
            now_ms: The time.
            quota: This router's fixed part.
            own_running: Requests of this router at the server.
            probe_interval_ms: Mean interval in which a router with a part of 0 sends a
                request.
            random_value: A random number from 0 up to 1.
        """
        self._granted = 0
        self.left = quota - own_running
        is_due = now_ms - self._probed_ms >= probe_interval_ms * (0.5 + random_value)
        if not quota and not own_running and is_due:
            self.left = 1
            self._probed_ms = now_ms
