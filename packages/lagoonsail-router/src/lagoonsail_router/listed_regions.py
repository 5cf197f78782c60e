"""What the host list shows of regions, for a take-over from a region without routers.

Without the key-value service the owners of a region go on by promises of each other. A
router of another region is not asked for one; it may take a shard over only when the
host list has shown no router of that region for so long that each of them that still
lives has noticed it, and holds promises for nothing. Let a read of the list show what
was true at most `lag` before. A router trusts promises for `SURE_LAGS` lags after its
last renewal and after each read that shows it, if that comes within this time of the
one before. If the region is missing in all reads from t on, no read of its routers
after t + lag shows them, so that they trust promises until

    t + lag + SURE_LAGS * lag < t + MISSING_LAGS * lag

at the latest, and after that only with a lease of their own. This holds as long as an
entry that comes back to the list stays for longer than the time between two reads.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_router.context import RouterContext
    from lagoonsail_store.host_list import Host

SURE_LAGS = 3.0
"""How long a router that the list does not show trusts promises, in longest lags."""
MISSING_LAGS = 5.0
"""How long a region is missing until others may take over, in longest lags."""
GAP_LAGS = 0.5
"""Time between two reads, in longest lags, after which a missing region counts anew."""
UNNAMED = ""
"""Region of hosts whose label is missing; they may belong to any."""


class ListedRegions:
    """Which regions the host list has shown, and since when it does not."""

    __slots__ = ("_context", "_missing_since_ms", "_read_ms", "_sure_ms")

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._missing_since_ms: dict[str, float] = {}
        self._read_ms = -math.inf
        self._sure_ms = -math.inf

    def take(self, routers: list[Host], sent_ms: float) -> None:
        """Take in a read of the host list.

        Args:
            routers: The routers in it, whatever their state.
            sent_ms: When the list was asked for.
        """
        name = self._context.settings.name
        is_listed = any(host.name == name for host in routers)
        if is_listed and self._is_within(sent_ms, self._sure_ms):
            self._sure_ms = max(self._sure_ms, sent_ms)
        shown = {host.labels.get("region", UNNAMED) for host in routers}
        lag_ms = self._context.settings.host_list_max_lag_ms
        is_gap = sent_ms - self._read_ms > GAP_LAGS * lag_ms
        for region, since_ms in self._missing_since_ms.items():
            is_new = is_gap or since_ms == math.inf
            self._missing_since_ms[region] = sent_ms if is_new else since_ms
        self._missing_since_ms.update(dict.fromkeys(shown, math.inf))
        self._read_ms = max(self._read_ms, sent_ms)

    def note_renewed(self, sent_ms: float) -> None:
        """Note that this router held its lease when its renewal was sent."""
        self._sure_ms = max(self._sure_ms, sent_ms)

    def may_trust_promises(self, now_ms: float) -> bool:
        """Return whether surely no router of another region has taken over."""
        return self._is_within(now_ms, self._sure_ms)

    def is_missing(self, region: str, from_ms: float) -> bool:
        """Return whether no router of a region can act by promises.

        Args:
            region: The region; one that the list has never shown is not missing.
            from_ms: Since when the region has no member.

        Returns:
            Whether the list has shown none of its routers for long enough, nor any
            whose region is not known.
        """
        since_ms = max(
            from_ms,
            self._missing_since_ms.get(region, math.inf),
            self._missing_since_ms.get(UNNAMED, -math.inf),
        )
        lag_ms = self._context.settings.host_list_max_lag_ms
        return self._read_ms - since_ms > MISSING_LAGS * lag_ms

    def _is_within(self, now_ms: float, since_ms: float) -> bool:
        lag_ms = self._context.settings.host_list_max_lag_ms
        return now_ms - since_ms <= SURE_LAGS * lag_ms
