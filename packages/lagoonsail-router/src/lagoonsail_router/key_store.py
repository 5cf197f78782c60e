"""Where owners write idempotency keys: the key-value service, directly or by a peer.

A router that does not reach the service asks a peer to write for it. A write is named
by shard, epoch and a number that grows in the epoch, and never replaces another one, so
that carrying it out twice or late does no harm: whoever reads goes by the names' order,
and the owner grants nothing for keys whose write it does not know to be done. A peer
writes only for the owner of the newest epoch that it has heard of.

Once a write has failed, no other one waits for the service until it has answered a
probe, which runs in a task of its own. A write that takes long makes the router ask for
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
"""How long a key is remembered at the least."""
LEASE_ROTATION_MS = 300_000.0
"""Age at which new writes go under a new lease, so that leases stay few."""
PATIENCE_MS = 300.0
"""How long a write may take before promises are asked for."""
PROMISES_LOOK_MS = 10.0
"""Time between two looks at whether they have come."""
PROBE_INTERVAL_MS = 500.0
"""Pause before each probe of a service that did not take a write."""
PEERS_RETRY_MS = 200.0
"""Pause after a write that no peer could do."""
WRITERS_AT_ONCE = 2
"""Peers that are asked at once, while none is known to reach the service."""
ANSWER_FACTOR = 1.5
"""How long peers may take, in times of a call to the service."""


def keys_prefix(store_prefix: str, shard: str) -> str:
    """Return the prefix under which the keys of a shard are stored.

    It lies outside the prefix of the settings, which every router watches.

    Args:
        store_prefix: Prefix of the settings, with a slash at its end.
        shard: The shard.

    Returns:
        The prefix.

    Example:
        >>> keys_prefix("/lagoonsail/", "cordero/registro@sierra-central")
        '/lagoonsail-keys/cordero/registro@sierra-central/'
    """
    return f"{store_prefix.rstrip('/')}-keys/{shard}/"


class KeyStore:
    """Reads and writes the keys of all shards, also for peers."""

    __slots__ = (
        "_answers",
        "_configuration",
        "_context",
        "_lease",
        "_lease_ms",
        "_nonce",
        "_on_doubt",
        "_peers",
        "_retry_ms",
        "_store",
        "_writer",
        "is_away",
    )

    is_away: bool
    """Whether a write has failed, and the service has answered no probe since."""

    def __init__(
        self,
        context: RouterContext,
        store: StoreClient,
        configuration: Configuration,
        peers: PeerDirectory,
        on_doubt: Callable[[], None],
    ) -> None:
        self._context = context
        self._store = store
        self._configuration = configuration
        self._peers = peers
        self._on_doubt = on_doubt
        self._answers: dict[int, dict[str, KeysWritten]] = {}
        self._nonce = 0
        self._writer = ""
        self._retry_ms = float("-inf")
        self._lease = 0
        self._lease_ms = float("-inf")
        self.is_away = False
        peers.handle(KeysWrite, self._take_write)
        peers.handle(KeysWritten, self._take_written)

    def read(self, shard: str) -> Listing | Unavailable:
        """Read all writes of a shard.

        Args:
            shard: The shard.

        Returns:
            The entries, or why they cannot be had.
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
            number: Number of the write, which grows in the epoch.
            changes: Pairs of key and origin.
            has_other_way: Says whether the keys can be kept elsewhere, so that peers
                are not waited for.

        Returns:
            Written, or why that is not known: the write may still be carried out.
        """
        write = KeysWrite(0, shard, epoch, number, changes)
        if not self.is_away:
            written = self._put_patiently(write, has_other_way)
            if written or not self.is_away:
                return written
        if has_other_way():
            return Unavailable("the key-value service is away")
        return self._write_through_peers(write, has_other_way)

    # Directly.

    def _put_patiently(
        self, write: KeysWrite, has_other_way: Callable[[], bool]
    ) -> Written | Unavailable:
        """Write, and give up early if that takes long and there is another way.

        The write may be carried out all the same, as one whose answer was lost.
        """
        done = eventlet.event.Event()
        start_task(self._context, "keys_write", self._put_and_tell, write, done)
        written = done.wait(PATIENCE_MS / 1000.0)
        if written is None:
            self._on_doubt()
        while written is None:
            if has_other_way():
                self._set_away()
                return Unavailable("the key-value service takes long to answer")
            written = done.wait(PROMISES_LOOK_MS / 1000.0)
        if self.is_away:
            self._on_doubt()
        return written

    def _put_and_tell(self, write: KeysWrite, done: eventlet.event.Event) -> None:
        written = Unavailable("the write ended with an error")
        try:
            written = self._put(write)
        finally:
            done.send(written)

    def _put(self, write: KeysWrite) -> Written | Unavailable:
        lease = self._find_lease()
        if not lease:
            self._set_away()
            return lease
        prefix = keys_prefix(self._context.settings.store_prefix, write.shard)
        name = f"{prefix}{write.epoch:012d}/{write.number:012d}"
        value = json.dumps(write.changes)
        written = self._store.put_if(name, value, 0, lease)
        if isinstance(written, Conflict):
            return self._read_conflict(written, value)
        if not written:
            # The lease itself may be what the service has lost.
            self._lease_ms = float("-inf")
            self._set_away()
            return written
        self._context.count("key_log_writes_total")
        return written

    def _read_conflict(self, conflict: Conflict, value: str) -> Written | Unavailable:
        entry = conflict.entry
        if entry is not None and entry.value == value:
            # Another peer, or an attempt whose answer was lost, has done it.
            return Written(entry.revision)
        self._context.count("key_log_conflicts_total")
        return Unavailable("another write has this name")

    def _find_lease(self) -> int | Unavailable:
        now_ms = self._context.clock.now_ms()
        if self._lease and now_ms - self._lease_ms < LEASE_ROTATION_MS:
            return self._lease
        lease = self._store.grant_lease(RETENTION_MS + LEASE_ROTATION_MS)
        if lease:
            self._lease, self._lease_ms = lease, now_ms
        return lease

    def _set_away(self) -> None:
        if self.is_away:
            return
        self.is_away = True
        start_task(self._context, "key_probe", self._probe)

    def _probe(self) -> None:
        while self.is_away:
            eventlet.sleep(PROBE_INTERVAL_MS / 1000.0)
            self._lease_ms = float("-inf")
            self.is_away = not self._find_lease()

    # Through peers.

    def _write_through_peers(
        self, write: KeysWrite, has_other_way: Callable[[], bool]
    ) -> Written | Unavailable:
        if self._context.clock.now_ms() < self._retry_ms:
            return Unavailable("peers were asked in vain just now")
        answers = self._ask(self._choose_writers(), write, has_other_way)
        for name, answer in answers.items():
            if answer.revision:
                self._writer = name
                self._context.count("key_writes_through_peers_total")
                return Written(answer.revision)
        self._writer = ""
        self._retry_ms = self._context.clock.now_ms() + PEERS_RETRY_MS
        reasons = {answer.reason for answer in answers.values()}
        return Unavailable(", ".join(sorted(reasons)) or "no peer answered")

    def _choose_writers(self) -> list[PeerStream]:
        """Return the stream to the peer that wrote last, else the freshest ones."""
        open_streams = [
            streams[0] for streams in self._peers.streams.values() if streams
        ]
        known = [stream for stream in open_streams if stream.name == self._writer]
        fresh = sorted(open_streams, key=lambda stream: -stream.heard_ms)
        return known or fresh[:WRITERS_AT_ONCE]

    def _ask(
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
        timeout_ms = self._context.settings.store_timeout_ms * ANSWER_FACTOR
        deadline_ms = self._context.clock.now_ms() + timeout_ms
        while len(answers) < len(streams) and not has_other_way():
            is_written = any(answer.revision for answer in answers.values())
            if is_written or self._context.clock.now_ms() > deadline_ms:
                break
            eventlet.sleep(0.002)
        del self._answers[nonce]
        return answers

    def _take_written(self, stream: PeerStream, answer: KeysWritten) -> None:
        answers = self._answers.get(answer.nonce)
        if answers is not None:
            answers[stream.name] = answer

    def _take_write(self, stream: PeerStream, write: KeysWrite) -> None:
        def write_for_peer() -> None:
            fault = self._find_fault(stream, write)
            written = Unavailable(fault) if fault else self._put(write)
            if written:
                self._context.count("key_writes_for_peers_total")
                stream.send(KeysWritten(write.nonce, written.revision, ""))
            else:
                stream.send(KeysWritten(write.nonce, 0, written.reason))

        start_task(self._context, "keys_for_peer", write_for_peer)

    def _find_fault(self, stream: PeerStream, write: KeysWrite) -> str:
        """Return why a peer's write is not done, empty if it may be."""
        if self.is_away:
            return "the peer does not reach the key-value service either"
        record = self._configuration.shards.get(write.shard)
        if record is None or record.epoch < write.epoch:
            return "the peer has not heard of this epoch yet"
        owner = (record.owner, record.incarnation, record.epoch, record.state)
        if owner != (stream.name, stream.incarnation, write.epoch, OWNED):
            return "another router owns the shard, or nobody"
        is_formed = all(
            len(change) == 2 and all(type(part) is int for part in change)
            for change in write.changes
        )
        return "" if is_formed else "malformed keys"
