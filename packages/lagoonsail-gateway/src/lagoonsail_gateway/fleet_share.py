"""Splits fleet-wide limits into quotas for this router.

Each fleet-wide limit is divided by the number of routers, so that it holds even though
every router decides on its own. No request waits for a call to another router.
"""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lagoonsail_gateway.addresses import parse_address

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lagoonsail_core.clock import Clock

ASSUMED_ROUTERS = 8
"""Assumed number of routers until the members are known."""
WINDOW_MARGIN_MS = 150.0
"""Added to each window, because network delays differ between requests."""


class FleetMembers:
    """The routers among which fleet-wide limits are split."""

    __slots__ = ("_domains", "_members", "_names", "_peers", "name", "version")

    name: str
    """Name of this router."""
    version: int
    """Number that grows with each update, for what is calculated from the members."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 0
        self._names: set[str] = {name}
        self._peers: dict[str, tuple[str, int]] = {}
        self._domains: dict[str, list[str]] = {}
        self._members = 0

    def update(self, locations: Mapping[str, str]) -> None:
        """Replace the members with those listed in the store.

        Args:
            locations: Location of each router with a lease, by router name; see
                `format_location`.
        """
        self.version += 1
        self._names = {*locations, self.name}
        self._members = len(self._names)
        self._peers = {}
        domains = defaultdict(list)
        for name, location in sorted(locations.items()):
            address, _, domain = location.partition(" ")
            domains[domain].append(name)
            peer = parse_address(address)
            if name != self.name and peer is not None:
                self._peers[name] = peer
        self._domains = {
            domain: rank_routers(domain, names) for domain, names in domains.items()
        }

    def peer_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses at which the other routers receive digests."""
        return list(self._peers.values())

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return the address at which another router receives digests."""
        return self._peers.get(name)

    def routers_by_domain(self) -> Mapping[str, list[str]]:
        """Return the names of the routers of each failure domain, by rank in it."""
        return self._domains

    def count(self) -> int:
        """Return how many routers share a limit."""
        return self._members or ASSUMED_ROUTERS

    def quota_of(self, total: int, key: str) -> int:
        """Return this router's quota of a fleet-wide number of permits.

        The remainder of the division goes to the routers that rank first for the key.

        Args:
            total: Permits of the whole fleet.
            key: Resource that the permits are for; the ranking differs by key.
        """
        count = self.count()
        quota, remainder = divmod(total, count)
        if not remainder or not self._members:
            return quota
        return quota + (self.rank(key) < remainder)

    def rank(self, key: str) -> int:
        """Return the rank of this router among all, from 0.

        Args:
            key: What the ranking is for; it differs by key.
        """
        return rank_routers(key, self._names).index(self.name)


def rank_routers(key: str, names: Iterable[str]) -> list[str]:
    """Return routers in an order that differs by key (rendezvous hashing).

    Args:
        key: What the ranking is for.
        names: Names of the routers.
    """
    return sorted(names, key=lambda name: xxh64_intdigest(f"{key}\0{name}".encode()))


def format_location(address: str, failure_domain: str) -> str:
    """Return what a member's key in the store says about the router.

    Args:
        address: IP address and port at which it receives digests.
        failure_domain: Its failure domain.

    Example:
        >>> format_location("10.0.0.1:7400", "north")
        '10.0.0.1:7400 north'
    """
    return f"{address} {failure_domain}"


class WindowLimit:
    """Sliding-window rate limit: bounds the permits used in any window.

    Example:
        >>> from lagoonsail_core.clock import Clock
        >>> now = [0.0]
        >>> limit = WindowLimit(Clock(lambda: now[0], lambda: 0.0), window_ms=1000.0)
        >>> limit.try_acquire(2), limit.try_acquire(2), limit.try_acquire(2)
        (True, True, False)
        >>> now[0] = 2000.0
        >>> limit.try_acquire(2)
        True
    """

    __slots__ = ("_clock", "_acquired_ms", "_window_ms")

    def __init__(self, clock: Clock, window_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms + WINDOW_MARGIN_MS
        self._acquired_ms: deque[float] = deque()

    def count(self) -> int:
        """Return how many permits were used in the last window."""
        start_ms = self._clock.now_ms() - self._window_ms
        while self._acquired_ms and self._acquired_ms[0] < start_ms:
            self._acquired_ms.popleft()
        return len(self._acquired_ms)

    def remaining(self, limit: int) -> int:
        """Return how many permits remain in the current window.

        Args:
            limit: Permits allowed in one window.
        """
        return limit - self.count()

    def record(self) -> None:
        """Count a permit as used, even beyond the limit."""
        self._acquired_ms.append(self._clock.now_ms())

    def try_acquire(self, limit: int) -> bool:
        """Use one permit if one remains.

        Args:
            limit: Permits allowed in one window.

        Returns:
            Whether a permit was available.
        """
        if self.remaining(limit) <= 0:
            return False
        self.record()
        return True


class RetryQuota:
    """Limits how many requests of one service this router retries."""

    __slots__ = ("_retries", "_requests", "_routers", "ratio", "slack", "window_ms")

    ratio: float
    """Retries allowed per request."""
    slack: float
    """Additional retries allowed per window, for the whole fleet."""
    window_ms: float
    """Length of the window in which requests and retries are counted."""

    def __init__(
        self,
        clock: Clock,
        routers: FleetMembers,
        ratio: float,
        slack: float,
        window_ms: float,
    ) -> None:
        self._requests = WindowLimit(clock, window_ms)
        self._retries = WindowLimit(clock, window_ms)
        self._routers = routers
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms

    def record_request(self) -> None:
        """Count a request received from a caller."""
        # count() discards expired entries, which bounds the memory to one window.
        self._requests.count()
        self._requests.record()

    def try_acquire(self) -> bool:
        """Use one retry if one remains.

        Returns:
            Whether a retry was available.
        """
        requests = self._requests.count()
        # The fleet-wide limit applies to complete windows, but the requests here are
        # counted only up to now: 0.8 leaves a margin.
        max_retries = 0.8 * (self.ratio * requests + self.slack / self._routers.count())
        return self._retries.try_acquire(int(max_retries))
