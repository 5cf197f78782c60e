"""How many connections a port serves, and when callers should close theirs."""

from __future__ import annotations

CROWDED_PART = 0.5
"""Part of a port's connections above which answers ask callers to close theirs: idle
ones would keep new callers waiting."""


class OpenConnections:
    """How many connections a port serves now."""

    __slots__ = ("count", "most")

    count: int
    """Connections that are open."""
    most: int
    """Connections that are served at once; others wait until one ends."""

    def __init__(self, most: int) -> None:
        self.count = 0
        self.most = most

    def is_crowded(self) -> bool:
        """Return whether callers should close their connections after an answer."""
        return self.count > CROWDED_PART * self.most
