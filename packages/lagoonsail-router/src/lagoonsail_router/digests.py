"""Digests of shards: which owners get them, and the state merged from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.messages import ServiceDigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_router.peers import PeerDirectory


SIBLINGS_PER_ROUND = 2
"""Owners of a service's other shards that get a digest each second, round robin."""


def choose_round_robin(names: Iterable[str], round_number: int) -> list[str]:
    """Return the owners of other shards that get a digest in a round.

    Args:
        names: Names of all owners of other shards.
        round_number: Number of the round; increases by one each time.

    Returns:
        SIBLINGS_PER_ROUND of the names, or all if there are fewer. Thus an owner's
        traffic does not grow with the number of regions, but the age of digests does.
    """
    ordered = sorted(names)
    count = min(SIBLINGS_PER_ROUND, len(ordered))
    first = round_number * SIBLINGS_PER_ROUND
    return [ordered[(first + offset) % len(ordered)] for offset in range(count)]


def _is_server_state(value: list) -> bool:
    return [type(item) for item in value] == [str, int]


class DigestStore:
    """The newest known state of each shard, merged from the changes in its digests."""

    __slots__ = ("_merged", "_on_digest")

    def __init__(
        self, peers: PeerDirectory, on_digest: Callable[[ServiceDigest], None]
    ) -> None:
        """Register the handler of digests.

        Args:
            peers: Streams to other routers.
            on_digest: Called with the complete merged state of a shard after each
                digest. The changes alone do not suffice: a queue that starts to count
                a shard's service needs the total of each account.
        """
        self._on_digest = on_digest
        self._merged: dict[str, ServiceDigest] = {}
        peers.handle(ServiceDigest, self._handle_digest)

    def find(self, shard: str) -> ServiceDigest | None:
        """Return the merged state of a shard, None if no digest has been received.

        Args:
            shard: The shard.
        """
        return self._merged.get(shard)

    def _handle_digest(self, _stream, digest: ServiceDigest) -> None:
        merged = self._merged.get(digest.shard)
        if merged is None or digest.epoch > merged.epoch:
            # An owner's first digest on a stream is complete. State that an earlier
            # owner had and this one lacks is dropped, also for its successors.
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
