"""Regions that are missing from the host list, for the take-over of their shards.

Without the key-value service the owners of a region continue on promises from each
other. Routers of other regions are not asked for promises. One of them may take over a
shard only after the host list has shown no router of that region for so long that each
live router there has noticed and no longer trusts promises.

Let `lag` be the greatest age of what a read of the list shows. A router trusts promises
for `PROMISE_TRUST_LAGS` lags after its last lease renewal, and after each read that
shows the router itself, if that read comes within this time of the previous one. If the
region is missing in all reads from t on, no read by its routers after t + lag shows
them, so they trust promises until

    t + lag + PROMISE_TRUST_LAGS * lag < t + TAKE_OVER_LAGS * lag

at the latest, and after that only with a lease of their own. This holds as long as an
entry that returns to the list stays for longer than the time between two reads.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_router.context import RouterContext
    from lagoonsail_store.host_list import Host

PROMISE_TRUST_LAGS = 3.0
"""How long a router missing from the list trusts promises, in maximum lags."""
TAKE_OVER_LAGS = 5.0
"""How long a region is missing before others may take over, in maximum lags."""
MAX_READ_GAP_LAGS = 0.5
"""Time between two reads, in maximum lags, after which missing regions start over."""
UNKNOWN_REGION = ""
"""Region of hosts without a region label; they may belong to any region."""


class ListedRegions:
    """The regions that the host list has shown, and since when each is missing."""

    __slots__ = ("_confirmed_ms", "_context", "_missing_since_ms", "_read_ms")

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._missing_since_ms: dict[str, float] = {}
        self._read_ms = -math.inf
        self._confirmed_ms = -math.inf

    def apply_read(self, routers: list[Host], sent_ms: float) -> None:
        """Apply a read of the host list.

        Args:
            routers: The routers in the list, in any state.
            sent_ms: Time at which the list was requested.
        """
        name = self._context.settings.name
        is_listed = any(host.name == name for host in routers)
        if is_listed and self._is_within(sent_ms, self._confirmed_ms):
            self._confirmed_ms = max(self._confirmed_ms, sent_ms)
        listed_regions = {host.labels.get("region", UNKNOWN_REGION) for host in routers}
        lag_ms = self._context.settings.host_list_max_lag_ms
        is_gap = sent_ms - self._read_ms > MAX_READ_GAP_LAGS * lag_ms
        for region, since_ms in self._missing_since_ms.items():
            restarts = is_gap or since_ms == math.inf
            self._missing_since_ms[region] = sent_ms if restarts else since_ms
        self._missing_since_ms.update(dict.fromkeys(listed_regions, math.inf))
        self._read_ms = max(self._read_ms, sent_ms)

    def on_lease_renewed(self, sent_ms: float) -> None:
        """Record that this router held its lease when the renewal was sent.

        Args:
            sent_ms: Time at which the renewal was sent.
        """
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)

    def may_trust_promises(self, now_ms: float) -> bool:
        """Return whether no router of another region can have taken over.

        Args:
            now_ms: Current time.
        """
        return self._is_within(now_ms, self._confirmed_ms)

    def is_missing(self, region: str, from_ms: float) -> bool:
        """Return whether no router of a region can act on promises any more.

        Args:
            region: The region; one that the list has never shown is not missing.
            from_ms: Time since which the region has no member.

        Returns:
            Whether for long enough the list has shown no router of the region and none
            of an unknown region.
        """
        since_ms = max(
            from_ms,
            self._missing_since_ms.get(region, math.inf),
            self._missing_since_ms.get(UNKNOWN_REGION, -math.inf),
        )
        lag_ms = self._context.settings.host_list_max_lag_ms
        return self._read_ms - since_ms > TAKE_OVER_LAGS * lag_ms

    def _is_within(self, now_ms: float, since_ms: float) -> bool:
        lag_ms = self._context.settings.host_list_max_lag_ms
        return now_ms - since_ms <= PROMISE_TRUST_LAGS * lag_ms
