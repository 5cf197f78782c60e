"""Creates shard owners, and dispatches the messages of other routers to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.messages import (
    REFUSED_NOT_OWNER,
    Inventory,
    InventoryTaken,
    KeysNoted,
    SlotCancel,
    SlotDone,
    SlotProgress,
    SlotRefusal,
    SlotRequest,
    SlotStart,
)
from lagoonsail_core.names import service_of
from lagoonsail_router.configuration import DOCUMENTS
from lagoonsail_router.context import start_task
from lagoonsail_router.digests import DigestStore, choose_round_robin
from lagoonsail_router.key_log import KeyNotices
from lagoonsail_router.shard_owner import ShardOwner

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_core.messages import ServiceDigest
    from lagoonsail_peer.stream import PeerStream
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.key_store import KeyStore
    from lagoonsail_router.local_stream import LocalStream
    from lagoonsail_router.ownership import Ownership
    from lagoonsail_router.peers import PeerDirectory
    from lagoonsail_router.right import Right


class ShardMessages:
    """Creates shard owners, and dispatches the messages of other routers to them."""

    __slots__ = (
        "_configuration",
        "_context",
        "_digest_round",
        "_digests",
        "_key_notices",
        "_key_store",
        "_local_stream",
        "_ownership",
        "_peers",
        "_right",
    )

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        peers: PeerDirectory,
        local_stream: LocalStream,
        ownership: Ownership,
        right: Right,
        key_store: KeyStore,
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._peers = peers
        self._local_stream = local_stream
        self._ownership = ownership
        self._right = right
        self._key_store = key_store
        self._digest_round = 0
        self._digests = DigestStore(peers, self._on_digest)
        self._key_notices = KeyNotices(context, peers)
        peers.handle(Inventory, self._handle_inventory)
        peers.handle(SlotRequest, self._handle_request)
        peers.handle(SlotCancel, self._handle_cancel)
        peers.handle(SlotStart, self._forward_to_owner(ShardOwner.handle_start))
        peers.handle(SlotProgress, self._forward_to_owner(ShardOwner.handle_progress))
        peers.handle(SlotDone, self._forward_to_owner(ShardOwner.handle_done))
        peers.handle(KeysNoted, self._handle_keys_noted)
        peers.subscribe(lambda stream: None, self._handle_stream_closed)
        configuration.subscribe(self._on_record)

    def make_owner(self, shard: str, epoch: int) -> ShardOwner:
        """Return the owner of a shard that this router has claimed.

        Args:
            shard: The shard.
            epoch: Fencing token of the ownership.

        Returns:
            The owner, with the state received from the previous owner.
        """
        service = service_of(shard)
        owner = ShardOwner(
            self._context,
            self._right,
            self._key_store,
            shard,
            epoch,
            lambda: self._configuration.documents.get(service),
            lambda: self._successor_streams(shard),
            lambda: self._digest_streams(shard),
        )
        digest = self._digests.find(shard)
        if digest:
            owner.adopt(digest)
        owner.keys.adopt(self._key_notices.find(shard))
        start_task(self._context, "first_poll", owner.poll)
        return owner

    def poll(self) -> None:
        """Read the load reports of all owned shards, and grant free slots."""
        for owner in list(self._ownership.owned.values()):
            owner.poll()
            owner.grant_waiting()

    def send_digests(self) -> None:
        """Send the digests of all owned shards."""
        self._digest_round += 1
        for owner in list(self._ownership.owned.values()):
            owner.send_digests()

    def _successor_streams(self, shard: str) -> list[PeerStream]:
        names = self._ownership.successors(shard)
        others = [name for name in names if name != self._context.settings.name]
        return self._streams_to(others[:2])

    def _digest_streams(self, shard: str) -> list[PeerStream]:
        """Return the streams to the successors and to owners of the other shards.

        The local stream is included: this router may own another shard of the service,
        or own this one again later.
        """
        document = self._configuration.documents.get(service_of(shard))
        siblings = document.shards() if document else []
        owners = {self._configuration.owner_of(other) for other in siblings}
        owners -= {"", self._context.settings.name}
        streams = [self._local_stream, *self._successor_streams(shard)]
        chosen = self._streams_to(choose_round_robin(owners, self._digest_round))
        return streams + [stream for stream in chosen if stream not in streams]

    def _streams_to(self, names: Iterable[str]) -> list[PeerStream]:
        streams = [self._peers.stream_to(name) for name in names]
        return [stream for stream in streams if stream]

    def _on_digest(self, digest: ServiceDigest) -> None:
        """Add the service of another shard to the queues of the shards owned here."""
        service = service_of(digest.shard)
        for shard, owner in self._ownership.owned.items():
            if shard != digest.shard and service_of(shard) == service:
                owner.queue.add_remote(digest.shard, digest.service, digest.epoch)

    def _handle_inventory(self, stream: PeerStream, inventory: Inventory) -> None:
        owner = self._ownership.owned.get(inventory.shard)
        if owner is None or owner.is_releasing:
            stream.send(InventoryTaken(inventory.shard, 0))
            return
        owner.handle_inventory(stream, inventory)

    def _handle_request(self, stream: PeerStream, request: SlotRequest) -> None:
        owner = self._ownership.owned.get(request.shard)
        if owner is None:
            stream.send(SlotRefusal(request.ticket, REFUSED_NOT_OWNER))
            return
        owner.handle_request(stream, request)

    def _handle_cancel(self, stream: PeerStream, cancel: SlotCancel) -> None:
        for owner in self._ownership.owned.values():
            owner.handle_cancel(stream, cancel)

    def _forward_to_owner(self, method: Callable) -> Callable:
        def handler(_stream: PeerStream, message) -> None:
            owner = self._ownership.owned.get(message.shard)
            if owner:
                method(owner, message)

        return handler

    def _handle_keys_noted(self, stream: PeerStream, noted: KeysNoted) -> None:
        owner = self._ownership.owned.get(noted.shard)
        if owner:
            owner.keys.handle_confirmation(stream, noted)

    def _handle_stream_closed(self, stream: PeerStream) -> None:
        for owner in self._ownership.owned.values():
            owner.on_stream_closed(stream)

    def _on_record(self, key: str) -> None:
        if not key.startswith(DOCUMENTS):
            return
        service = key.removeprefix(DOCUMENTS)
        for shard, owner in self._ownership.owned.items():
            if service_of(shard) == service:
                owner.update_document()
