"""Digests of shards, for their next owners and for the service's other shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.messages import ServiceDigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_router.peers import PeerDirectory


SIBLINGS_AT_ONCE = 2
"""Owners of a service's other shards that get a digest each second, in turn."""


def choose_in_turn(names: Iterable[str], turn: int) -> list[str]:
    """Return the owners of other shards whose turn it is to get a digest.

    Args:
        names: Names of all of them.
        turn: Grows by one with each round.

    Returns:
        SIBLINGS_AT_ONCE of them, or all if there are no more. So an owner's traffic
        does not grow with the number of regions; the age of what others know does.
    """
    ordered = sorted(names)
    count = min(SIBLINGS_AT_ONCE, len(ordered))
    first = turn * SIBLINGS_AT_ONCE
    return [ordered[(first + place) % len(ordered)] for place in range(count)]


def _is_server_state(value: list) -> bool:
    return [type(item) for item in value] == [str, int]


class DigestStore:
    """The newest state of each shard, merged from the changes in its digests."""

    __slots__ = ("_merged", "_on_digest")

    def __init__(
        self, peers: PeerDirectory, on_digest: Callable[[ServiceDigest], None]
    ) -> None:
        """Take the digests that come in.

        Args:
            peers: Streams to other routers.
            on_digest: Called with the whole state of a shard after each change. Changes
                alone would not do: who begins to count needs to know where each
                account stands.
        """
        self._on_digest = on_digest
        self._merged: dict[str, ServiceDigest] = {}
        peers.handle(ServiceDigest, self._take)

    def find(self, shard: str) -> ServiceDigest | None:
        """Return what is known of a shard, None if no digest of it ever came.

        Args:
            shard: The shard.
        """
        return self._merged.get(shard)

    def _take(self, _stream, digest: ServiceDigest) -> None:
        merged = self._merged.get(digest.shard)
        if merged is None or digest.epoch > merged.epoch:
            # An owner's first digest on a stream has everything. What an earlier owner
            # knew and this one does not is lost, also for who follows it.
            merged = ServiceDigest(digest.shard, digest.epoch, 0, {}, {}, {})
            self._merged[digest.shard] = merged
        if (digest.epoch, digest.sequence) <= (merged.epoch, merged.sequence):
            return
        merged.sequence = digest.sequence
        merged.service.update(digest.service)
        merged.positions.update(digest.positions)
        for server, state in digest.servers.items():
            if _is_server_state(state):
                merged.servers[server] = state
        self._on_digest(merged)
