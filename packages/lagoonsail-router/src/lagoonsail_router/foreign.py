"""Which shards of other regions a router takes over, and when it gives them back.

A region none of whose routers lives cannot grant the slots of its backend servers.
When that is sure, the routers of the other regions take its shards over: by the same
records, in the order of rendezvous hashing, and only until a router of the region
serves again.
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

RANKS = 3
"""Routers of other regions that may take a shard over, best first."""
RANK_MS = 5000.0
"""How much longer each of them waits than the one before; that one may not know yet."""


class ForeignShards:
    """The shards of regions without routers."""

    __slots__ = ("_configuration", "_context", "_listed", "_without_since_ms")

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        listed: ListedRegions,
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._listed = listed
        self._without_since_ms: dict[str, float] = {}

    def to_take(self) -> list[str]:
        """Return the shards that this router may claim, if nobody owns them."""
        own = self._context.settings.region
        shards = self._configuration.documented_shards()
        self._note_members({region_of(shard) for shard in shards} - {own})
        return sorted(shard for shard in shards if self._may_take(shard))

    def to_give_back(self, owned: list[str]) -> list[str]:
        """Return those owned shards whose own region has a serving router."""
        own = self._context.settings.region
        serving = {
            member.region
            for member in self._configuration.members.values()
            if member.state == SERVING
        }
        return [s for s in owned if region_of(s) != own and region_of(s) in serving]

    def _note_members(self, regions: set[str]) -> None:
        now_ms = self._context.clock.now_ms()
        found = {member.region for member in self._configuration.members.values()}
        self._without_since_ms = {
            region: self._without_since_ms.get(region, now_ms)
            for region in regions - found
        }

    def _may_take(self, shard: str) -> bool:
        region = region_of(shard)
        since_ms = self._without_since_ms.get(region)
        if since_ms is None or not self._listed.is_missing(region, since_ms):
            return False
        others = [
            member.router
            for member in self._configuration.members.values()
            if member.state == SERVING
        ]
        ranked = rank_owners(shard, others, RANKS)
        name = self._context.settings.name
        if name not in ranked:
            return False
        wait_ms = ranked.index(name) * RANK_MS
        return self._listed.is_missing(region, since_ms + wait_ms)
