"""Records the idempotency keys of a shard before the calls that carry them may run.

A key is written to the key-value service before its call is granted a slot, many keys
per write, together with the origin of the call: a hash of the entry router, its
incarnation and the call's number there. A later owner reads all keys at take-over, so
it recognises the retry of a call that may have run, whichever router forwards it. The
same call may still ask the new owner for a slot: its entry router asks only as long as
it has sent nothing.

An owner that does not reach the service has a peer write for it. While no router
reaches the service, so that none can take the shard over, the owner sends the keys to
the next owners instead. They keep them in memory, and all must confirm before a slot
is granted. The owner or its successor writes these keys once the service is back.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_core.key_messages import KeysNoted, KeysNotice
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.context import start_task
from lagoonsail_router.key_store import RETENTION_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.key_store import KeyStore
    from lagoonsail_router.peers import PeerDirectory
    from lagoonsail_router.right import Right

FLUSH_INTERVAL_MS = 50.0
"""Minimum interval between two writes of one shard."""
RECORD_TIMEOUT_MS = 6000.0
"""Timeout for recording a call's key; longer than a lease, after which the keys can be
sent to the next owners instead."""
NOTICE_TIMEOUT_MS = 500.0
"""Timeout for the next owners to confirm a notice."""
MAX_KEYS_PER_SHARD = 100_000
"""Maximum number of keys of one shard that a next owner keeps."""
MAX_WRITE_KEYS = 5000
"""Maximum number of keys of each kind in one write; the service accepts 1.5 MB."""
AMBIGUOUS_ORIGIN = 2
"""Origin of a key that two calls may have used; real origins are odd."""


def parse_keys(value: str) -> list[tuple[int, int]] | Unavailable:
    """Check and decode a record of keys.

    Args:
        value: JSON list of pairs.

    Returns:
        Pairs of key and origin, or why the record is malformed.
    """
    try:
        pairs = json.loads(value)
    except (ValueError, RecursionError) as error:
        return Unavailable(f"the record of keys is not JSON ({error!r:.200})")
    is_list = type(pairs) is list and all(
        type(pair) is list and [type(item) for item in pair] == [int, int]
        for pair in pairs
    )
    if not is_list:
        return Unavailable("the record of keys is not a list of pairs of integers")
    return [(key, origin) for key, origin in pairs]


@dataclass(slots=True)
class _Pending:
    key: int
    origin: int
    on_recorded: Callable[[bool], None]
    requested_ms: float


class KeyLog:
    """The idempotency keys of one shard at its owner."""

    __slots__ = (
        "_confirmed_by",
        "_context",
        "_epoch",
        "_freeing",
        "_is_flushing",
        "_is_loading",
        "_notice_number",
        "_pending",
        "_right",
        "_shard",
        "_store",
        "_stored",
        "_successor_streams",
        "_to_free",
        "_unstored",
        "_used",
        "_write_number",
        "is_loaded",
    )

    is_loaded: bool
    """Whether the keys of earlier owners have been read."""

    def __init__(
        self,
        context: RouterContext,
        store: KeyStore,
        shard: str,
        epoch: int,
        right: Right,
        successor_streams: Callable[[], list],
    ) -> None:
        self._context = context
        self._store = store
        self._shard = shard
        self._epoch = epoch
        self._right = right
        self._successor_streams = successor_streams
        self._unstored: dict[int, int] = {}
        self._confirmed_by: set[str] = set()
        self._notice_number = 0
        self._stored: dict[int, int] = {}
        self._used: dict[int, tuple[int, float]] = {}
        self._pending: dict[int, _Pending] = {}
        self._to_free: set[int] = set()
        self._freeing: set[int] = set()
        self._is_loading = False
        self._is_flushing = False
        self._write_number = 0
        self.is_loaded = False

    def start_loading(self) -> None:
        """Start reading the keys that earlier owners recorded, in a new task.

        The caller does not block while the service is silent.
        """
        if not self._is_loading:
            self._is_loading = True
            start_task(self._context, "load_keys", self._load_once)

    def _load_once(self) -> None:
        try:
            self.load()
        finally:
            self._is_loading = False

    def load(self) -> bool:
        """Read the keys that earlier owners recorded.

        Returns:
            Whether the service answered.
        """
        listing = self._store.read(self._shard)
        if not listing:
            return False
        stored: dict[int, int] = {}
        # Sorted by name: a write whose answer was lost may be done after the next one.
        entries = sorted(listing.entries, key=lambda entry: entry.key)
        recorded = [parse_keys(entry.value) for entry in entries]
        if any(isinstance(pairs, Unavailable) for pairs in recorded):
            # The call of an unreadable key may have run, so no call with a key may run.
            self._context.count("key_log_malformed_total")
            return False
        for pairs in recorded:
            stored.update(pairs)
        for key, origin in stored.items():
            self._merge_stored(key, origin)
        self.is_loaded = True
        self._start_flushing()
        return True

    def _merge_stored(self, key: int, origin: int) -> None:
        self._stored[key] = origin
        unstored_origin = self._unstored.get(key)
        if unstored_origin is None and origin:
            self._used[key] = (origin, self._context.clock.now_ms())
        elif unstored_origin is not None and origin not in (0, unstored_origin):
            # The order of the two origins is unknown.
            self._unstored[key] = AMBIGUOUS_ORIGIN
            self._used[key] = (AMBIGUOUS_ORIGIN, self._context.clock.now_ms())

    def adopt(self, keys: dict[int, int]) -> None:
        """Adopt keys that an earlier owner could not store; call this before `load`.

        Args:
            keys: Origin by key.
        """
        now_ms = self._context.clock.now_ms()
        for key, origin in keys.items():
            self._used[key] = (origin, now_ms)
            self._unstored[key] = origin

    def handle_confirmation(self, stream, confirmation: KeysNoted) -> None:
        """Handle a next owner's confirmation of a notice."""
        if confirmation.number == self._notice_number:
            self._confirmed_by.add(stream.name)

    def is_used(self, key: int, origin: int) -> bool:
        """Return whether another call with this key has a slot or will get one.

        Args:
            key: Hash of the idempotency key.
            origin: Origin of the call that requests a slot.
        """
        used = self._used.get(key)
        return used is not None and used[0] != origin

    def has_unstored(self) -> bool:
        """Return whether some keys are kept only by next owners, not by the service."""
        return bool(self._unstored)

    def record(
        self, key: int, origin: int, on_recorded: Callable[[bool], None]
    ) -> None:
        """Record a key, then call back with whether it is recorded.

        A repeated request of the same call replaces the earlier one, whose callback is
        not called.

        Args:
            key: Hash of the idempotency key, not in use by another call.
            origin: Origin of the call.
            on_recorded: Called with True, or with False if the key could not be
                recorded in time; the key is then free again.
        """
        now_ms = self._context.clock.now_ms()
        self._used[key] = (origin, now_ms)
        self._to_free.discard(key)
        self._pending.pop(key, None)
        # If a write that frees the key is in progress, the key must be stored again.
        if self._stored.get(key) == origin and key not in self._freeing:
            on_recorded(True)
            return
        self._pending[key] = _Pending(key, origin, on_recorded, now_ms)
        self._start_flushing()

    def free(self, key: int) -> None:
        """Free the key of a call that certainly did not run."""
        self._used.pop(key, None)
        self._unstored.pop(key, None)
        if self._stored.get(key):
            self._to_free.add(key)
            self._start_flushing()

    def expire(self) -> None:
        """Forget keys past their retention time."""
        oldest_ms = self._context.clock.now_ms() - RETENTION_MS
        for key in [key for key, (_, ms) in self._used.items() if ms < oldest_ms]:
            del self._used[key]
            self._stored.pop(key, None)

    def _start_flushing(self) -> None:
        if self._is_flushing:
            return
        self._is_flushing = True
        start_task(self._context, "key_log", self._flush_all)

    def _flush_all(self) -> None:
        try:
            while self._pending or self._to_free or self._unstored:
                self._flush()
                eventlet.sleep(FLUSH_INTERVAL_MS / 1000.0)
        finally:
            self._is_flushing = False

    def _flush(self) -> None:
        batch = list(islice(self._pending.values(), MAX_WRITE_KEYS))
        keys = [[item.key, item.origin] for item in batch]
        if self._write(keys):
            self._confirm(batch)
        elif self._notify_successors(keys):
            self._unstored.update(keys)
            self._confirm(batch)
        else:
            self._reject_overdue()

    def _write(self, keys: list[list[int]]) -> bool:
        has_promises = self._right.has_promises
        if self._store.is_unavailable and has_promises():
            # The next owners answer immediately; the service is being probed.
            return False
        unstored = dict(islice(self._unstored.items(), MAX_WRITE_KEYS))
        self._freeing = set(islice(self._to_free, MAX_WRITE_KEYS))
        changes = [
            *map(list, unstored.items()),
            *keys,
            *([k, 0] for k in self._freeing),
        ]
        self._write_number += 1
        written = self._store.write(
            self._shard, self._epoch, self._write_number, changes, has_promises
        )
        freed, self._freeing = self._freeing, set()
        if not written:
            return False
        self._to_free -= freed
        self._stored.update(changes)
        for key, origin in unstored.items():
            if self._unstored.get(key) == origin:
                del self._unstored[key]
            elif key not in self._used:
                # The call gave the key back while it was being written.
                self._to_free.add(key)
        return True

    def _confirm(self, batch: list[_Pending]) -> None:
        for item in batch:
            if self._pending.get(item.key) is item:
                del self._pending[item.key]
                item.on_recorded(True)

    def _notify_successors(self, keys: list[list[int]]) -> bool:
        """Have the next owners keep keys while no router can take the shard over."""
        streams = self._successor_streams()
        if not keys or not streams or not self._right.has_promises():
            return False
        self._notice_number += 1
        self._confirmed_by = set()
        for stream in streams:
            stream.send(KeysNotice(self._shard, self._notice_number, keys))
        deadline_ms = self._context.clock.now_ms() + NOTICE_TIMEOUT_MS
        names = {stream.name for stream in streams}
        while self._context.clock.now_ms() < deadline_ms:
            if names <= self._confirmed_by:
                self._context.count("key_notices_total")
                return self._right.has_promises()
            eventlet.sleep(0.002)
        return False

    def _reject_overdue(self) -> None:
        oldest_ms = self._context.clock.now_ms() - RECORD_TIMEOUT_MS
        overdue = [
            item for item in self._pending.values() if item.requested_ms < oldest_ms
        ]
        for item in overdue:
            # The write may have taken effect, so the key is freed at the service too.
            del self._pending[item.key]
            self._used.pop(item.key, None)
            self._unstored.pop(item.key, None)
            self._to_free.add(item.key)
            item.on_recorded(False)


class KeyNotices:
    """Keys that this router keeps as a possible next owner, by shard."""

    __slots__ = ("_context", "_keys")

    def __init__(self, context: RouterContext, peers: PeerDirectory) -> None:
        self._context = context
        self._keys: dict[str, dict[int, tuple[int, float]]] = {}
        peers.handle(KeysNotice, self._handle_notice)

    def find(self, shard: str) -> dict[int, int]:
        """Return the origins of a shard's keys within the retention time, by key."""
        oldest_ms = self._context.clock.now_ms() - RETENTION_MS
        keys = self._keys.get(shard, {})
        return {key: origin for key, (origin, ms) in keys.items() if ms > oldest_ms}

    def _handle_notice(self, stream, notice: KeysNotice) -> None:
        keys = self._keys.setdefault(notice.shard, {})
        if len(keys) + len(notice.keys) > MAX_KEYS_PER_SHARD:
            self._context.count("key_notices_refused_total")
            return
        now_ms = self._context.clock.now_ms()
        for key, origin in notice.keys:
            keys[int(key)] = (int(origin), now_ms)
        stream.send(KeysNoted(notice.shard, notice.number))
