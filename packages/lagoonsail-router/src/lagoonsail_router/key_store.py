"""Writes idempotency keys to the key-value service, directly or through a peer.

A router that does not reach the service asks a peer to write for it. A write is stored
under its shard, its epoch and a number that increases within the epoch, and never
replaces another write. Carrying it out twice or late is therefore harmless: readers
apply writes in the order of their names, and the owner grants no slot for a key until
it knows that the write is done. A peer writes only for the owner of the newest epoch
that it knows.

After a failed write, no other write waits for the service until the service has
answered a probe, which runs in its own task. A slow write makes the router ask for
promises, and counts as failed as soon as the keys can be kept elsewhere.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_core.key_messages import KeysWrite, KeysWritten
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.configuration import OWNED
from lagoonsail_router.context import start_task
from lagoonsail_store.store_client import Conflict, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_peer.stream import PeerStream
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.peers import PeerDirectory
    from lagoonsail_store.store_client import Listing, StoreClient

RETENTION_MS = 900_000.0
"""Minimum time for which a key is kept."""
LEASE_ROTATION_MS = 300_000.0
"""Age at which a lease is replaced for new writes; sharing leases keeps them few."""
SLOW_WRITE_MS = 300.0
"""Duration of a write after which promises are requested."""
PROMISE_CHECK_INTERVAL_MS = 10.0
"""Interval of checks for promises during a slow write."""
PROBE_INTERVAL_MS = 500.0
"""Pause before each probe of a service that failed a write."""
PEERS_RETRY_MS = 200.0
"""Pause after a write that no peer could do, before peers are asked again."""
MAX_PARALLEL_WRITERS = 2
"""Peers asked in parallel while none is known to reach the service."""
PEER_TIMEOUT_FACTOR = 1.5
"""Timeout of a write by a peer, as a multiple of the timeout of the service."""


def keys_prefix(store_prefix: str, shard: str) -> str:
    """Return the prefix under which the keys of a shard are stored.

    It is outside the prefix of the settings, which every router watches.

    Args:
        store_prefix: Prefix of the settings, with a trailing slash.
        shard: The shard.

    Returns:
        The prefix.

    Example:
        >>> keys_prefix("/lagoonsail/", "cordero/registro@sierra-central")
        '/lagoonsail-keys/cordero/registro@sierra-central/'
    """
    return f"{store_prefix.rstrip('/')}-keys/{shard}/"


class KeyStore:
    """Reads and writes the keys of all shards, including writes for peers."""

    __slots__ = (
        "_answers",
        "_configuration",
        "_context",
        "_last_writer",
        "_lease",
        "_lease_granted_ms",
        "_nonce",
        "_on_store_suspected",
        "_peers",
        "_peers_retry_ms",
        "_store",
        "is_unavailable",
    )

    is_unavailable: bool
    """Whether a write has failed and no probe has succeeded since."""

    def __init__(
        self,
        context: RouterContext,
        store: StoreClient,
        configuration: Configuration,
        peers: PeerDirectory,
        on_store_suspected: Callable[[], None],
    ) -> None:
        self._context = context
        self._store = store
        self._configuration = configuration
        self._peers = peers
        self._on_store_suspected = on_store_suspected
        self._answers: dict[int, dict[str, KeysWritten]] = {}
        self._nonce = 0
        self._last_writer = ""
        self._peers_retry_ms = float("-inf")
        self._lease = 0
        self._lease_granted_ms = float("-inf")
        self.is_unavailable = False
        peers.handle(KeysWrite, self._handle_write)
        peers.handle(KeysWritten, self._handle_written)

    def read(self, shard: str) -> Listing | Unavailable:
        """Read all writes of a shard.

        Args:
            shard: The shard.

        Returns:
            The entries, or why they are unavailable.
        """
        return self._store.list(keys_prefix(self._context.settings.store_prefix, shard))

    def write(
        self,
        shard: str,
        epoch: int,
        number: int,
        changes: list[list[int]],
        has_other_way: Callable[[], bool],
    ) -> Written | Unavailable:
        """Write keys of a shard that this router owns.

        Args:
            shard: The shard.
            epoch: Epoch of the ownership.
            number: Number of the write, increasing within the epoch.
            changes: Pairs of key and origin.
            has_other_way: Returns whether the keys can be kept elsewhere, in which case
                the write waits for no peer.

        Returns:
            Written, or why the result is unknown: the write may still be carried out.
        """
        write = KeysWrite(0, shard, epoch, number, changes)
        if not self.is_unavailable:
            written = self._put_unless_slow(write, has_other_way)
            if written or not self.is_unavailable:
                return written
        if has_other_way():
            return Unavailable(
                "the key-value service failed a write and is being probed"
            )
        return self._write_through_peers(write, has_other_way)

    # Directly.

    def _put_unless_slow(
        self, write: KeysWrite, has_other_way: Callable[[], bool]
    ) -> Written | Unavailable:
        """Write, and stop waiting if the write is slow and there is another way.

        The write may still be carried out, like one whose answer was lost.
        """
        done = eventlet.event.Event()
        start_task(self._context, "keys_write", self._put_and_notify, write, done)
        written = done.wait(SLOW_WRITE_MS / 1000.0)
        if written is None:
            self._on_store_suspected()
        while written is None:
            if has_other_way():
                self._mark_unavailable()
                return Unavailable(
                    "the key-value service is slow; the write may still be done"
                )
            written = done.wait(PROMISE_CHECK_INTERVAL_MS / 1000.0)
        if self.is_unavailable:
            self._on_store_suspected()
        return written

    def _put_and_notify(self, write: KeysWrite, done: eventlet.event.Event) -> None:
        written = Unavailable("the write failed with an unexpected error")
        try:
            written = self._put(write)
        finally:
            done.send(written)

    def _put(self, write: KeysWrite) -> Written | Unavailable:
        lease = self._find_lease()
        if not lease:
            self._mark_unavailable()
            return lease
        prefix = keys_prefix(self._context.settings.store_prefix, write.shard)
        name = f"{prefix}{write.epoch:012d}/{write.number:012d}"
        value = json.dumps(write.changes)
        written = self._store.put_if(name, value, 0, lease)
        if isinstance(written, Conflict):
            return self._read_conflict(written, value)
        if not written:
            # The service may have lost the lease itself.
            self._lease_granted_ms = float("-inf")
            self._mark_unavailable()
            return written
        self._context.count("key_log_writes_total")
        return written

    def _read_conflict(self, conflict: Conflict, value: str) -> Written | Unavailable:
        entry = conflict.entry
        if entry is not None and entry.value == value:
            # A peer, or an attempt whose answer was lost, has done this write.
            return Written(entry.revision)
        self._context.count("key_log_conflicts_total")
        return Unavailable("another write has this name")

    def _find_lease(self) -> int | Unavailable:
        now_ms = self._context.clock.now_ms()
        if self._lease and now_ms - self._lease_granted_ms < LEASE_ROTATION_MS:
            return self._lease
        lease = self._store.grant_lease(RETENTION_MS + LEASE_ROTATION_MS)
        if lease:
            self._lease, self._lease_granted_ms = lease, now_ms
        return lease

    def _mark_unavailable(self) -> None:
        if self.is_unavailable:
            return
        self.is_unavailable = True
        start_task(self._context, "key_probe", self._probe)

    def _probe(self) -> None:
        while self.is_unavailable:
            eventlet.sleep(PROBE_INTERVAL_MS / 1000.0)
            self._lease_granted_ms = float("-inf")
            self.is_unavailable = not self._find_lease()

    # Through peers.

    def _write_through_peers(
        self, write: KeysWrite, has_other_way: Callable[[], bool]
    ) -> Written | Unavailable:
        if self._context.clock.now_ms() < self._peers_retry_ms:
            return Unavailable(
                "no peer could do the last write; waiting before asking again"
            )
        answers = self._ask_peers(self._choose_writers(), write, has_other_way)
        for name, answer in answers.items():
            if answer.revision:
                self._last_writer = name
                self._context.count("key_writes_through_peers_total")
                return Written(answer.revision)
        self._last_writer = ""
        self._peers_retry_ms = self._context.clock.now_ms() + PEERS_RETRY_MS
        reasons = {answer.reason for answer in answers.values()}
        return Unavailable(", ".join(sorted(reasons)) or "no peer answered")

    def _choose_writers(self) -> list[PeerStream]:
        """Return the stream to the last writer, else those with the newest frames."""
        open_streams = [
            streams[0] for streams in self._peers.streams.values() if streams
        ]
        last_writer = [
            stream for stream in open_streams if stream.name == self._last_writer
        ]
        freshest = sorted(open_streams, key=lambda stream: -stream.last_received_ms)
        return last_writer or freshest[:MAX_PARALLEL_WRITERS]

    def _ask_peers(
        self,
        streams: list[PeerStream],
        write: KeysWrite,
        has_other_way: Callable[[], bool],
    ) -> dict[str, KeysWritten]:
        self._nonce += 1
        nonce = self._nonce
        answers = self._answers[nonce] = {}
        request = KeysWrite(
            nonce, write.shard, write.epoch, write.number, write.changes
        )
        for stream in streams:
            stream.send(request)
        timeout_ms = self._context.settings.store_timeout_ms * PEER_TIMEOUT_FACTOR
        deadline_ms = self._context.clock.now_ms() + timeout_ms
        while len(answers) < len(streams) and not has_other_way():
            is_written = any(answer.revision for answer in answers.values())
            if is_written or self._context.clock.now_ms() > deadline_ms:
                break
            eventlet.sleep(0.002)
        del self._answers[nonce]
        return answers

    def _handle_written(self, stream: PeerStream, answer: KeysWritten) -> None:
        answers = self._answers.get(answer.nonce)
        if answers is not None:
            answers[stream.name] = answer

    def _handle_write(self, stream: PeerStream, write: KeysWrite) -> None:
        def write_for_peer() -> None:
            rejection = self._rejection_reason(stream, write)
            written = Unavailable(rejection) if rejection else self._put(write)
            if written:
                self._context.count("key_writes_for_peers_total")
                stream.send(KeysWritten(write.nonce, written.revision, ""))
            else:
                stream.send(KeysWritten(write.nonce, 0, written.reason))

        start_task(self._context, "keys_for_peer", write_for_peer)

    def _rejection_reason(self, stream: PeerStream, write: KeysWrite) -> str:
        """Return why a peer's write is rejected, empty if it is accepted."""
        if self.is_unavailable:
            return "the peer does not reach the key-value service either"
        record = self._configuration.shards.get(write.shard)
        if record is None or record.epoch < write.epoch:
            return "the peer has not heard of this epoch yet"
        ownership = (record.owner, record.incarnation, record.epoch, record.state)
        if ownership != (stream.name, stream.incarnation, write.epoch, OWNED):
            return "another router owns the shard, or nobody"
        is_well_formed = all(
            len(change) == 2 and all(type(part) is int for part in change)
            for change in write.changes
        )
        return "" if is_well_formed else "malformed keys"
