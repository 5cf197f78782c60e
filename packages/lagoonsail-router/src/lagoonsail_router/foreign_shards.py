"""Which shards of other regions a router takes over, and when it releases them.

A region without a live router cannot grant the slots of its backend servers. Once that
is certain, routers of other regions take over its shards, with the same assignment
records and in rendezvous-hash order, until a router of the region is serving again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.names import region_of
from lagoonsail_router.context import SERVING
from lagoonsail_sharing.assignment import rank_owners

if TYPE_CHECKING:
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.listed_regions import ListedRegions

MAX_CANDIDATES = 3
"""Routers of other regions that may take over a shard, highest rank first."""
CANDIDATE_DELAY_MS = 5000.0
"""Additional wait of each candidate after the one ranked before it, which may learn of
the outage later."""


class ForeignShards:
    """The shards of regions without live routers."""

    __slots__ = ("_configuration", "_context", "_listed", "_memberless_since_ms")

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        listed: ListedRegions,
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._listed = listed
        self._memberless_since_ms: dict[str, float] = {}

    def claimable(self) -> list[str]:
        """Return the shards of other regions that this router may claim if unowned."""
        own = self._context.settings.region
        shards = self._configuration.documented_shards()
        self._update_memberless_since({region_of(shard) for shard in shards} - {own})
        return sorted(shard for shard in shards if self._may_claim(shard))

    def releasable(self, owned: list[str]) -> list[str]:
        """Return the owned shards whose own region has a serving router."""
        own = self._context.settings.region
        serving = {
            member.region
            for member in self._configuration.members.values()
            if member.state == SERVING
        }
        return [s for s in owned if region_of(s) != own and region_of(s) in serving]

    def _update_memberless_since(self, regions: set[str]) -> None:
        now_ms = self._context.clock.now_ms()
        member_regions = {
            member.region for member in self._configuration.members.values()
        }
        self._memberless_since_ms = {
            region: self._memberless_since_ms.get(region, now_ms)
            for region in regions - member_regions
        }

    def _may_claim(self, shard: str) -> bool:
        region = region_of(shard)
        since_ms = self._memberless_since_ms.get(region)
        if since_ms is None or not self._listed.is_missing(region, since_ms):
            return False
        serving_routers = [
            member.router
            for member in self._configuration.members.values()
            if member.state == SERVING
        ]
        ranked = rank_owners(shard, serving_routers, MAX_CANDIDATES)
        name = self._context.settings.name
        if name not in ranked:
            return False
        wait_ms = ranked.index(name) * CANDIDATE_DELAY_MS
        return self._listed.is_missing(region, since_ms + wait_ms)
