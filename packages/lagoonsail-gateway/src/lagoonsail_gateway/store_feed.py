"""Distribution of store changes: few routers watch the store and tell the others.

The store counts each call, and a change that every router fetches by itself costs one
call for each. In a large fleet only the watchers of each failure domain follow the
store: the routers that rank first for the domain (rendezvous hashing). They send what
they learn to the other routers of the domain, the followers, as datagrams, and a
heartbeat with their revision while nothing changes.

Nobody has to agree on who watches. A router watches unless it hears enough watchers
that rank before it, so a watcher that dies, is cut off or loses the store is replaced
by the next in rank. A follower that misses a change sees a gap between revisions and
asks the store itself.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgpack

from lagoonsail_gateway.sent_prompts import DECODE_ERRORS
from lagoonsail_gateway.store_access import StoreItem, StoreRevision

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.fleet_share import FleetMembers

WATCHERS_PER_DOMAIN = 2
"""Watchers of one failure domain: a second one hides the death of the first."""
HEARTBEAT_INTERVAL_MS = 200.0
"""Interval of a watcher's heartbeats."""
MAX_WATCHER_SILENCE_MS = 700.0
"""Silence after which a watcher no longer counts: some lost heartbeats, and a small
part of the time within which a change must be in force."""
MIN_FEED_ROUTERS = 14
"""Routers from which the feed is used. In smaller fleets all routers watch, so that no
change depends on another router."""
FEED_MARK = b"lagoonsail-feed-2:"
"""First bytes of a datagram of the feed."""


@dataclass(slots=True, frozen=True)
class FeedMessage:
    """What a watcher tells its followers."""

    router: str
    """Name of the watcher."""
    after: StoreRevision
    """Revision after which `items` has all changes."""
    revision: StoreRevision
    """Revision up to which it has them; equal to `after` in a heartbeat."""
    items: list[StoreItem]
    """The changes in order."""
    failure_age_ms: float = math.inf
    """Time since the store last failed to answer the watcher, in milliseconds."""

    def encode(self) -> bytes:
        """Return the datagram payload."""
        is_known = math.isfinite(self.failure_age_ms)
        fields = [
            self.router,
            *self.after,
            *self.revision,
            [[item.key, item.value, *item.revision] for item in self.items],
            round(self.failure_age_ms) if is_known else None,
        ]
        return FEED_MARK + msgpack.packb(fields)

    def encode_within(self, max_bytes: int) -> bytes:
        """Return the payload, as a heartbeat if the changes do not fit.

        Args:
            max_bytes: Maximum size of a datagram.
        """
        data = self.encode()
        if len(data) <= max_bytes:
            return data
        return replace(self, after=self.revision, items=[]).encode()


def is_feed_message(data: bytes) -> bool:
    """Return whether a datagram belongs to the feed.

    Args:
        data: The datagram payload.
    """
    return data.startswith(FEED_MARK)


def decode_feed_message(data: bytes) -> FeedMessage | None:
    """Decode a datagram of the feed.

    Args:
        data: The datagram payload.

    Returns:
        The message, None if the data is malformed.

    Example:
        >>> before, after = StoreRevision(1, 4), StoreRevision(1, 5)
        >>> message = FeedMessage("r1", before, after, [StoreItem("a", b"1", after)])
        >>> decode_feed_message(message.encode()) == message
        True
        >>> decode_feed_message(FEED_MARK + b"garbage") is None
        True
    """
    try:
        fields = msgpack.unpackb(data[len(FEED_MARK) :])
        router, *numbers, items, age_ms = fields
        after_generation, after, generation, revision = map(int, numbers)
        return FeedMessage(
            str(router),
            StoreRevision(after_generation, after),
            StoreRevision(generation, revision),
            [
                StoreItem(
                    str(key),
                    None if value is None else bytes(value),
                    StoreRevision(int(item_generation), int(number)),
                )
                for key, value, item_generation, number in items
            ],
            math.inf if age_ms is None else float(age_ms),
        )
    except DECODE_ERRORS:
        return None


class WatcherChoice:
    """Decides whether this router watches the store or follows the watchers.

    Example:
        >>> from lagoonsail_core.clock import Clock
        >>> from lagoonsail_gateway.fleet_share import FleetMembers
        >>> routers = FleetMembers("r1")
        >>> routers.update({f"r{n}": f"10.0.0.{n}:1 north" for n in range(1, 21)})
        >>> choice = WatcherChoice(Clock(lambda: 0.0, lambda: 0.0), routers, "north")
        >>> choice.is_watcher()
        True
        >>> for name in routers.routers_by_domain()["north"][:2]:
        ...     choice.record_heard(name)
        >>> choice.is_watcher()
        False
    """

    __slots__ = ("_clock", "_domain", "_heard_ms", "_routers")

    def __init__(self, clock: Clock, routers: FleetMembers, domain: str) -> None:
        """Create it without having heard of any watcher.

        Args:
            clock: The clock.
            routers: The routers of the fleet.
            domain: Failure domain of this router.
        """
        self._clock = clock
        self._routers = routers
        self._domain = domain
        self._heard_ms: dict[str, float] = {}

    def record_heard(self, router: str) -> None:
        """Note a message of a watcher.

        Args:
            router: Name of the watcher.
        """
        self._heard_ms[router] = self._clock.now_ms()

    def uses_feed(self) -> bool:
        """Return whether the fleet is large enough for a feed."""
        return self._routers.count() >= MIN_FEED_ROUTERS

    def is_watcher(self) -> bool:
        """Return whether this router follows the store itself."""
        if not self.uses_feed():
            return True
        expiry_ms = self._clock.now_ms() - MAX_WATCHER_SILENCE_MS
        heard = 0
        for name in self._ranked():
            if name == self._routers.name:
                return True
            heard += self._heard_ms.get(name, -math.inf) >= expiry_ms
            if heard == WATCHERS_PER_DOMAIN:
                return False
        return True

    def _ranked(self) -> list[str]:
        return self._routers.routers_by_domain().get(self._domain, [])
