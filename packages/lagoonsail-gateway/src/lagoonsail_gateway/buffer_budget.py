"""Limits the memory of the answers that a router holds for its callers."""

from __future__ import annotations


class BufferBudget:
    """Bytes held by all requests together.

    Example:
        >>> budget = BufferBudget(100)
        >>> budget.add(80), budget.add(40)
        (True, False)
        >>> budget.remove(80)
        >>> budget.add(10)
        True
    """

    __slots__ = ("max_bytes", "used_bytes")

    max_bytes: int
    """Bytes from which no request holds more."""
    used_bytes: int
    """Bytes that are held."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def add(self, size: int) -> bool:
        """Count bytes that a request holds from now on.

        Args:
            size: Number of bytes.

        Returns:
            Whether it may hold more.
        """
        self.used_bytes += size
        return self.used_bytes <= self.max_bytes

    def remove(self, size: int) -> None:
        """Count bytes that are no longer held.

        Args:
            size: Number of bytes.
        """
        self.used_bytes -= size
