"""Estimates which backend server has which prefix of a prompt in its cache.

The index is approximate: entries come from routing decisions and from cache events,
which arrive late and with gaps. Entries are kept across a gap: a missed removal costs
one suboptimal choice among servers that are all allowed, whereas dropping the entries
would lose all information. Memory is bounded; the least recently used entries are
evicted first.

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
"""Length of the hashed blocks of a prompt."""
MAX_BLOCKS = 64
"""Maximum number of hashed blocks, which bounds the size of a slot request."""
MAX_ENTRIES = 20_000
"""Maximum number of hashes kept for each server."""


def prefix_hashes(text: str) -> list[int]:
    """Return a hash of each prefix of a prompt that ends at a block boundary.

    Args:
        text: The prompt.

    Returns:
        64-bit hashes, shortest prefix first; each covers the entire prefix.
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

    __slots__ = ("_hashes_by_server", "_last_sequences", "gaps", "max_entries")

    max_entries: int
    """Maximum number of hashes kept for each server."""
    gaps: int
    """Number of gaps in the event sequences of all servers."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.gaps = 0
        # Least recently used first.
        self._hashes_by_server: dict[str, OrderedDict[int, None]] = {}
        self._last_sequences: dict[str, int] = {}

    def add(self, server: str, prefix: list[int]) -> None:
        """Record that a request with this prefix was sent to a server.

        Args:
            server: Name of the server.
            prefix: Hashes of the prompt's prefixes, shortest first.
        """
        hashes = self._hashes_by_server.setdefault(server, OrderedDict())
        # A prefix is useless without the shorter ones, so these are refreshed last.
        for prefix_hash in reversed(prefix):
            hashes[prefix_hash] = None
            hashes.move_to_end(prefix_hash)
        while len(hashes) > self.max_entries:
            hashes.popitem(last=False)

    def on_events(
        self, server: str, sequence: int, stored: list[int], removed: list[int]
    ) -> None:
        """Apply one cache event of a server.

        Args:
            server: Name of the server.
            sequence: Sequence number of the event; consecutive events have consecutive
                numbers. Repeated and late events are ignored; gaps are counted.
            stored: Hashes of prefixes added to the cache.
            removed: Hashes of prefixes removed from the cache.
        """
        last_sequence = self._last_sequences.get(server)
        if last_sequence is not None and sequence <= last_sequence:
            return
        if last_sequence is not None and sequence > last_sequence + 1:
            self.gaps += 1
        self._last_sequences[server] = sequence
        hashes = self._hashes_by_server.get(server, {})
        for prefix_hash in removed:
            hashes.pop(prefix_hash, None)
        if stored:
            self.add(server, stored)

    def forget(self, server: str) -> None:
        """Drop all entries of a server that was removed or has a new incarnation.

        Args:
            server: Name of the server.
        """
        self._hashes_by_server.pop(server, None)
        self._last_sequences.pop(server, None)

    def match(self, server: str, prefix: list[int]) -> int:
        """Return the number of blocks of a prompt that a server probably has cached.

        Args:
            server: Name of the server.
            prefix: Hashes of the prompt's prefixes, shortest first.

        Returns:
            Number of leading hashes in the index for the server.
        """
        hashes = self._hashes_by_server.get(server)
        if not hashes:
            return 0
        return _count_leading(hashes, prefix)

    def matches(self, prefix: list[int]) -> dict[str, int]:
        """Return the number of blocks of a prompt that each server probably has cached.

        Args:
            prefix: Hashes of the prompt's prefixes, at least one, shortest first.

        Returns:
            Result of `match` by server; servers without a match are omitted.
        """
        lengths = {}
        first = prefix[0]
        for name, hashes in self._hashes_by_server.items():
            if first in hashes:
                lengths[name] = _count_leading(hashes, prefix)
        return lengths

    def __len__(self) -> int:
        """Return the number of hashes kept for all servers."""
        return sum(len(hashes) for hashes in self._hashes_by_server.values())


def _count_leading(hashes: OrderedDict[int, None], prefix: list[int]) -> int:
    """Return the number of leading hashes of a prefix that are in the index."""
    for length, prefix_hash in enumerate(prefix):
        if prefix_hash not in hashes:
            return length
    return len(prefix)
