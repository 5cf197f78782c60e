"""Counts a port's open connections against its limit, and unanswered requests."""

from __future__ import annotations

CROWDED_RATIO = 0.5
"""Share of the limit above which answers ask callers to close their connections: idle
ones would keep new callers waiting."""


class OpenConnections:
    """The open connections of a port."""

    __slots__ = ("answering", "count", "max_count")

    answering: int
    """Requests whose head has been read and whose answer is not written yet."""
    count: int
    """Number of open connections."""
    max_count: int
    """Connections served at once; further ones wait until one ends."""

    def __init__(self, max_count: int) -> None:
        self.answering = 0
        self.count = 0
        self.max_count = max_count

    def is_crowded(self) -> bool:
        """Return whether callers should close their connections after an answer."""
        return self.count > CROWDED_RATIO * self.max_count
