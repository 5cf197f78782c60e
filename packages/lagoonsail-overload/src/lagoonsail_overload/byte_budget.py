"""One budget of bytes for all that a process holds of requests and answers.

Handles the load of callers that send, or leave unread, more than the memory of the host
holds: a router ran out of memory under chunked bodies that it held without a bound. The
kinds of use share the budget. Long bodies are refused first: when they have used up
their share, requests with a short body and answers of running requests still have room.
"""

from __future__ import annotations

CONNECTIONS = "connections"
"""Callers' open connections with their buffers and tasks."""
HEADS = "heads"
"""Heads of the requests that are being served, and those that have begun to arrive."""
BODIES = "bodies"
"""Bodies of requests, announced or received."""
ANSWERS = "answers"
"""Answers that are held until they are whole or written."""
UNREAD = "unread"
"""Parts of answers that callers have not read yet."""
KINDS = (CONNECTIONS, HEADS, BODIES, ANSWERS, UNREAD)
"""Kinds of use, also labels in the metrics."""

SHORT_BODY_BYTES = 16_384
"""Longest body that may use the part of the budget that long ones leave free."""
LONG_BODY_SHARE = 0.8
"""Share of the budget up to which a long body may be taken in."""
SHORT_BODY_SHARE = 0.95
"""Share of the budget up to which a short body may be taken in."""
ANSWER_SHARE = 0.15
"""Share of the budget that answers may use, whatever the others use."""
AMPLE_SHARE = 0.5
"""Share of the budget up to which large parts of answers are read at once."""

USABLE_SHARE = 0.9
"""Share of a memory limit that is used at most, since the limit ends the process."""
GROWTH_BYTES = 16_000_000
"""Memory that a process needs beyond what it has at its start: the known servers and
routers, the metrics, and the work on one request at a time."""
OVERHEAD = 1.1
"""Resident bytes for each counted byte: growing buffers and a fragmented heap."""
MIN_BUDGET_BYTES = 8_000_000
"""Least budget, of which one body of the usual longest length fits into its share."""


def budget_bytes(memory_limit_bytes: float, resident_bytes: int) -> int:
    """Return the budget that follows from a memory limit.

    Args:
        memory_limit_bytes: Memory above which the process is killed.
        resident_bytes: Memory of the process at its start.

    Example:
        >>> budget_bytes(160e6, 34_000_000)
        85454545
        >>> budget_bytes(60e6, 34_000_000) == MIN_BUDGET_BYTES
        True
    """
    usable = USABLE_SHARE * memory_limit_bytes - resident_bytes - GROWTH_BYTES
    return max(MIN_BUDGET_BYTES, int(usable / OVERHEAD))


class ByteBudget:
    """Bytes held by all requests together, by kind of use.

    Example:
        >>> budget = ByteBudget(1_000_000)
        >>> budget.try_reserve_body(750_000, total=750_000)
        True
        >>> budget.try_reserve_body(100_000, total=100_000)
        False
        >>> budget.try_reserve_body(10_000, total=10_000)
        True
        >>> budget.add(ANSWERS, 140_000), budget.add(ANSWERS, 20_000)
        (True, False)
        >>> budget.remove(BODIES, 750_000)
        >>> budget.used_bytes
        170000
    """

    __slots__ = ("max_bytes", "used_by_kind", "used_bytes")

    max_bytes: int
    """Size of the budget."""
    used_by_kind: dict[str, int]
    """Bytes in use, by kind."""
    used_bytes: int
    """Bytes in use."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_by_kind = dict.fromkeys(KINDS, 0)
        self.used_bytes = 0

    def try_reserve_body(self, size: int, total: int) -> bool:
        """Reserve bytes of a body if its share of the budget has room for them.

        Args:
            size: Number of bytes.
            total: Length of the body as far as it is known, with these bytes.

        Returns:
            Whether they are reserved.
        """
        if self.body_shortage(size, total) > 0:
            return False
        self.add(BODIES, size)
        return True

    def body_shortage(self, size: int, total: int) -> int:
        """Return how many bytes must be released before a body has room.

        Args:
            size: Number of bytes to reserve.
            total: Length of the body as far as it is known, with these bytes.

        Returns:
            Number of bytes, not above 0 if there is room.
        """
        is_short = total <= SHORT_BODY_BYTES
        share = SHORT_BODY_SHARE if is_short else LONG_BODY_SHARE
        return self.used_bytes + size - int(share * self.max_bytes)

    def add(self, kind: str, size: int) -> bool:
        """Count bytes that are held from now on, also beyond the budget.

        Args:
            kind: Kind of use.
            size: Number of bytes.

        Returns:
            Whether a request may hold more of this kind.
        """
        self.used_by_kind[kind] += size
        self.used_bytes += size
        return self.may_hold_more(kind)

    def may_hold_more(self, kind: str) -> bool:
        """Return whether a request may hold more of a kind.

        Args:
            kind: Kind of use.
        """
        if kind == ANSWERS:
            return self.used_by_kind[kind] <= ANSWER_SHARE * self.max_bytes
        return self.used_bytes <= self.max_bytes

    def may_connect(self) -> bool:
        """Return whether connections and heads leave room for a further one.

        Bodies have no room long before.
        """
        used = self.used_by_kind[CONNECTIONS] + self.used_by_kind[HEADS]
        return used <= self.max_bytes

    def remove(self, kind: str, size: int) -> None:
        """Count bytes that are no longer held.

        Args:
            kind: Kind of use.
            size: Number of bytes.
        """
        self.used_by_kind[kind] -= size
        self.used_bytes -= size

    def is_ample(self) -> bool:
        """Return whether large parts of answers may be read at once."""
        return self.used_bytes <= AMPLE_SHARE * self.max_bytes
