"""The state of a shard at its owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServiceDocument
    from lagoonsail_router.engine_orders import EngineOrders
    from lagoonsail_router.granted_slots import GrantedSlots
    from lagoonsail_router.shard_servers import ShardServers
    from lagoonsail_sharing.fair_queue import FairQueue
    from lagoonsail_sharing.prefix_index import PrefixIndex


@dataclass(slots=True)
class ShardState:
    """Queue, slots and servers of one shard in one epoch."""

    shard: str
    """Name of the shard."""
    epoch: int
    """Fencing token of the ownership."""
    find_document: Callable[[], ServiceDocument | None]
    """Returns the service document in force, None if it was deleted."""
    queue: FairQueue
    """Requests that wait for a slot."""
    granted: GrantedSlots
    """Slots in use."""
    servers: ShardServers
    """Backend servers."""
    orders: EngineOrders
    """Orders to the engines."""
    prefixes: PrefixIndex
    """Prefixes that the servers' caches are likely to hold."""
