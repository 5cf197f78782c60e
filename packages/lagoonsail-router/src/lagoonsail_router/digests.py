"""Digests that this router received as a possible next owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.messages import ServiceDigest

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.peers import PeerDirectory


def _is_server_state(value: list) -> bool:
    return [type(item) for item in value] == [str, int]


class DigestStore:
    """The newest state of each shard, merged from the changes in its digests."""

    __slots__ = ("_merged", "_on_digest")

    def __init__(
        self, peers: PeerDirectory, on_digest: Callable[[ServiceDigest], None]
    ) -> None:
        self._on_digest = on_digest
        self._merged: dict[str, ServiceDigest] = {}
        peers.handle(ServiceDigest, self._take)

    def find(self, shard: str) -> ServiceDigest | None:
        """Return what is known of a shard, None if this router never was a successor.

        Args:
            shard: The shard.
        """
        return self._merged.get(shard)

    def _take(self, _stream, digest: ServiceDigest) -> None:
        merged = self._merged.setdefault(
            digest.shard, ServiceDigest(digest.shard, 0, 0, {}, {}, {})
        )
        if (digest.epoch, digest.sequence) <= (merged.epoch, merged.sequence):
            return
        self._on_digest(digest)
        merged.epoch, merged.sequence = digest.epoch, digest.sequence
        merged.service.update(digest.service)
        merged.positions.update(digest.positions)
        for server, state in digest.servers.items():
            if _is_server_state(state):
                merged.servers[server] = state
