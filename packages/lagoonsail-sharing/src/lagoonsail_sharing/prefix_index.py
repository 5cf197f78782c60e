"""Which backend server is likely to hold which prefix of a prompt in its cache.

The index is a hint: entries come from routing decisions and from cache events, which
arrive late and with gaps. What was known stays over a gap: a removal that was missed
costs one wrong choice among servers that may all be chosen, while forgetting costs all
that is known. Memory is bounded; the entries used least recently go first.

Example:
    >>> index = PrefixIndex()
    >>> hashes = prefix_hashes("x" * 1200)
    >>> len(hashes), hashes[:2] == prefix_hashes("x" * 600)
    (4, True)
    >>> index.add("asistente-1", hashes[:2])
    >>> index.match("asistente-1", hashes), index.match("asistente-2", hashes)
    (2, 0)
    >>> index.on_events("asistente-1", 7, stored=[hashes[2]], removed=[])
    >>> index.match("asistente-1", hashes)
    3
    >>> index.on_events("asistente-1", 9, stored=[], removed=[hashes[2]])
    >>> index.match("asistente-1", hashes), index.gaps
    (2, 1)
"""

from __future__ import annotations

from collections import OrderedDict

import xxhash

BLOCK_CHARACTERS = 256
"""Length of the blocks of a prompt that are hashed."""
MAX_BLOCKS = 64
"""Blocks after these are not hashed; bounds the size of a slot request."""
MAX_ENTRIES = 20_000
"""Hashes kept for each server."""


def prefix_hashes(text: str) -> list[int]:
    """Return a hash of each prefix of a prompt that ends at a block.

    Args:
        text: The prompt.

    Returns:
        64-bit hashes, shortest prefix first; each depends on the whole prefix.
    """
    hashes = []
    previous = 0
    last = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS) * BLOCK_CHARACTERS
    for begin in range(0, last, BLOCK_CHARACTERS):
        block = text[begin : begin + BLOCK_CHARACTERS]
        data = block.encode("utf-8", "surrogatepass")
        previous = xxhash.xxh64_intdigest(data, seed=previous)
        hashes.append(previous)
    return hashes


class PrefixIndex:
    """Prefix hashes by backend server."""

    __slots__ = ("_held", "_last_events", "gaps", "max_entries")

    max_entries: int
    """Hashes kept for each server."""
    gaps: int
    """How often events of a server were missing."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.gaps = 0
        # Least recently used first.
        self._held: dict[str, OrderedDict[int, None]] = {}
        self._last_events: dict[str, int] = {}

    def add(self, server: str, prefix: list[int]) -> None:
        """Note that a request with this prefix was sent to a server.

        Args:
            server: Name of the server.
            prefix: Hashes of the prompt's prefixes, shortest first.
        """
        held = self._held.setdefault(server, OrderedDict())
        # A prefix is of no use without the shorter ones: they are renewed last.
        for value in reversed(prefix):
            held[value] = None
            held.move_to_end(value)
        while len(held) > self.max_entries:
            held.popitem(last=False)

    def on_events(
        self, server: str, sequence: int, stored: list[int], removed: list[int]
    ) -> None:
        """Take in one numbered event of a server's cache.

        Args:
            server: Name of the server.
            sequence: Number of the event, one more than that of the event before. An
                event seen before is ignored; gaps are counted.
            stored: Hashes of prefixes that the cache holds now.
            removed: Hashes of prefixes that it holds no more.
        """
        last = self._last_events.get(server)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence > last + 1:
            self.gaps += 1
        self._last_events[server] = sequence
        held = self._held.get(server, {})
        for value in removed:
            held.pop(value, None)
        if stored:
            self.add(server, stored)

    def forget(self, server: str) -> None:
        """Drop all that is known of a server: it is gone, or has a new incarnation.

        Args:
            server: Name of the server.
        """
        self._held.pop(server, None)
        self._last_events.pop(server, None)

    def match(self, server: str, prefix: list[int]) -> int:
        """Return how many blocks of a prompt a server is likely to hold.

        Args:
            server: Name of the server.
            prefix: Hashes of the prompt's prefixes, shortest first.

        Returns:
            Number of leading hashes that the server holds.
        """
        held = self._held.get(server)
        if not held:
            return 0
        return _count_held(held, prefix)

    def matches(self, prefix: list[int]) -> dict[str, int]:
        """Return how many blocks of a prompt each server is likely to hold.

        Args:
            prefix: Hashes of the prompt's prefixes, at least one, shortest first.

        Returns:
            What `match` gives, by server; servers that hold nothing are left out.
        """
        lengths = {}
        first = prefix[0]
        for name, held in self._held.items():
            if first in held:
                lengths[name] = _count_held(held, prefix)
        return lengths

    def __len__(self) -> int:
        """Return the number of hashes kept, of all servers."""
        return sum(len(held) for held in self._held.values())


def _count_held(held: OrderedDict[int, None], prefix: list[int]) -> int:
    """Return the number of leading hashes that are held."""
    for length, value in enumerate(prefix):
        if value not in held:
            return length
    return len(prefix)
