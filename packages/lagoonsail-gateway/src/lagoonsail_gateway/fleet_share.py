"""This router's part of what all routers together may do.

Each bound of the fleet is split by the number of routers, so that the sum holds also if
every router decides alone. Nothing is asked of another router before a request.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonsail_core.clock import Clock

ASSUMED_ROUTERS = 8
"""Routers that are assumed until the members are known."""
WINDOW_MARGIN_MS = 150.0
"""By how much a window is longer here, as requests take unequal times on their way."""


class RouterCount:
    """The routers among which the fleet's bounds are split."""

    __slots__ = ("_addresses", "_members", "_names", "name")

    name: str
    """Name of this router."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._names: set[str] = {name}
        self._addresses: list[tuple[str, int]] = []
        self._members = 0

    def update(self, addresses: Mapping[str, str]) -> None:
        """Take over the members that the store shows.

        Args:
            addresses: IP number and port of each router with a lease, by its name.
        """
        self._names = {*addresses, self.name}
        self._members = len(self._names)
        others = [a for name, a in sorted(addresses.items()) if name != self.name]
        pairs = [address.rpartition(":") for address in others]
        self._addresses = [
            (host, int(port)) for host, _, port in pairs if host and port.isdigit()
        ]

    def peer_addresses(self) -> list[tuple[str, int]]:
        """Return where the other routers take digests."""
        return self._addresses

    def count(self) -> int:
        """Return how many routers share a bound."""
        return self._members or ASSUMED_ROUTERS

    def part_of(self, total: int, key: str) -> int:
        """Return this router's part of a number of turns.

        What cannot be split evenly goes to the routers that rank first for the key.

        Args:
            total: Turns of the whole fleet.
            key: What the turns are for; other keys favour other routers.
        """
        count = self.count()
        part, rest = divmod(total, count)
        if not rest or not self._members:
            return part
        ranked = sorted(
            self._names, key=lambda n: xxh64_intdigest(f"{key}\0{n}".encode())
        )
        return part + (self.name in ranked[:rest])


class WindowLimit:
    """Allows a number of turns in any window of a fixed length.

    Example:
        >>> from lagoonsail_core.clock import Clock
        >>> now = [0.0]
        >>> limit = WindowLimit(Clock(lambda: now[0], lambda: 0.0), window_ms=1000.0)
        >>> limit.take(2), limit.take(2), limit.take(2)
        (True, True, False)
        >>> now[0] = 2000.0
        >>> limit.take(2)
        True
    """

    __slots__ = ("_clock", "_taken_ms", "_window_ms")

    def __init__(self, clock: Clock, window_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms + WINDOW_MARGIN_MS
        self._taken_ms: deque[float] = deque()

    def count(self) -> int:
        """Return how many turns were taken in the last window."""
        start_ms = self._clock.now_ms() - self._window_ms
        while self._taken_ms and self._taken_ms[0] < start_ms:
            self._taken_ms.popleft()
        return len(self._taken_ms)

    def left(self, most: int) -> int:
        """Return how many turns are left.

        Args:
            most: Turns allowed in one window.
        """
        return most - self.count()

    def note(self) -> None:
        """Count a turn, whether or not there is one left."""
        self._taken_ms.append(self._clock.now_ms())

    def take(self, most: int) -> bool:
        """Use one turn.

        Args:
            most: Turns allowed in one window.

        Returns:
            Whether there was one.
        """
        if self.left(most) <= 0:
            return False
        self.note()
        return True


class RepeatShare:
    """Bounds how often requests of one service are sent once more by this router."""

    __slots__ = ("_repeats", "_requests", "_routers", "ratio", "slack", "window_ms")

    ratio: float
    """Repeats allowed for each request."""
    slack: float
    """Repeats allowed beyond those, for the whole fleet."""
    window_ms: float
    """Length of the window in which both are counted."""

    def __init__(
        self,
        clock: Clock,
        routers: RouterCount,
        ratio: float,
        slack: float,
        window_ms: float,
    ) -> None:
        self._requests = WindowLimit(clock, window_ms)
        self._repeats = WindowLimit(clock, window_ms)
        self._routers = routers
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms

    def note_request(self) -> None:
        """Count a request that a caller sent."""
        # Counted first, so that only the turns of one window are kept.
        self._requests.count()
        self._requests.note()

    def take(self) -> bool:
        """Use one repeat.

        Returns:
            Whether there was one.
        """
        requests = self._requests.count()
        # The requests of a window are counted up to now, the fleet's over all of it.
        most = 0.8 * (self.ratio * requests + self.slack / self._routers.count())
        return self._repeats.take(int(most))
