"""Idempotency keys of a shard, recorded before the calls that carry them may run.

A key is written to the key-value service before a slot is granted to its call, many
keys in one write, together with the origin of the call: a hash of the entry router,
its incarnation and the call's number there. A later owner reads all of them at
take-over, so a retry of a call that may have run is recognised whichever router it
comes through, while the same call may ask the new owner again: its entry router asks
only as long as it has sent nothing.

An owner that does not reach the service lets a peer write for it. While nobody reaches
it, and so nobody can take the shard over, the keys go to the memory of the next owners
instead, which must answer before a slot is granted. They are written to the service
once it is back, by the owner or by the one that follows.
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
"""Least time between two writes of one shard."""
WAIT_LIMIT_MS = 6000.0
"""How long a call waits for its key to be recorded; longer than a lease, after which
the next owners can be told instead."""
NOTICE_WAIT_MS = 500.0
"""How long the next owners may take to answer a notice."""
MAX_NOTED_KEYS = 100_000
"""Most keys of one shard that a next owner remembers."""
MAX_WRITE_KEYS = 5000
"""Most keys of each kind in one write; the service takes 1.5 MB."""
SEVERAL_CALLS = 2
"""Origin of a key that two calls may have used; origins of calls are odd."""


def parse_keys(value: str) -> list[tuple[int, int]] | Unavailable:
    """Check and decode a record of keys.

    Args:
        value: JSON list of pairs.

    Returns:
        Pairs of key and origin, or what is wrong with the record.
    """
    try:
        pairs = json.loads(value)
    except (ValueError, RecursionError) as error:
        return Unavailable(f"record of keys that is not JSON ({error!r:.200})")
    is_list = type(pairs) is list and all(
        type(pair) is list and [type(item) for item in pair] == [int, int]
        for pair in pairs
    )
    if not is_list:
        return Unavailable("record of keys that is no list of pairs of numbers")
    return [(key, origin) for key, origin in pairs]


@dataclass(slots=True)
class _Pending:
    key: int
    origin: int
    on_recorded: Callable[[bool], None]
    since_ms: float


class KeyLog:
    """The keys of one shard at its owner."""

    __slots__ = (
        "_context",
        "_epoch",
        "_freeing",
        "_given_back",
        "_is_loading",
        "_is_running",
        "_late",
        "_noted",
        "_notice_number",
        "_pending",
        "_right",
        "_sequence",
        "_shard",
        "_store",
        "_stored",
        "_successor_streams",
        "_used",
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
        self._late: dict[int, int] = {}
        self._noted: set[str] = set()
        self._notice_number = 0
        self._stored: dict[int, int] = {}
        self._used: dict[int, tuple[int, float]] = {}
        self._pending: dict[int, _Pending] = {}
        self._given_back: set[int] = set()
        self._freeing: set[int] = set()
        self._is_loading = False
        self._is_running = False
        self._sequence = 0
        self.is_loaded = False

    def start_loading(self) -> None:
        """Read the keys that earlier owners recorded, in a task of its own.

        Whoever asks is not held up while the service is silent.
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
        # By name: a write whose answer was lost may be carried out after the next.
        entries = sorted(listing.entries, key=lambda entry: entry.key)
        recorded = [parse_keys(entry.value) for entry in entries]
        if any(isinstance(pairs, Unavailable) for pairs in recorded):
            # A key that cannot be read may have run: nothing with a key may run here.
            self._context.count("key_log_malformed_total")
            return False
        for pairs in recorded:
            stored.update(pairs)
        for key, origin in stored.items():
            self._take_stored(key, origin)
        self.is_loaded = True
        self._start_flushing()
        return True

    def _take_stored(self, key: int, origin: int) -> None:
        self._stored[key] = origin
        noted = self._late.get(key)
        if noted is None and origin:
            self._used[key] = (origin, self._context.clock.now_ms())
        elif noted is not None and origin not in (0, noted):
            # Which of both is the later one cannot be told.
            self._late[key] = SEVERAL_CALLS
            self._used[key] = (SEVERAL_CALLS, self._context.clock.now_ms())

    def adopt(self, keys: dict[int, int]) -> None:
        """Take over keys that an earlier owner could not record; call it before `load`.

        Args:
            keys: Origin by key.
        """
        now_ms = self._context.clock.now_ms()
        for key, origin in keys.items():
            self._used[key] = (origin, now_ms)
            self._late[key] = origin

    def take_noted(self, stream, noted: KeysNoted) -> None:
        """Take the answer of a next owner to a notice."""
        if noted.number == self._notice_number:
            self._noted.add(stream.name)

    def is_used(self, key: int, origin: int) -> bool:
        """Return whether another call with this key has or will get a slot.

        Args:
            key: Hash of the idempotency key.
            origin: Origin of the call that asks.
        """
        used = self._used.get(key)
        return used is not None and used[0] != origin

    def has_late(self) -> bool:
        """Return whether some keys are not at the service yet, only at next owners."""
        return bool(self._late)

    def record(
        self, key: int, origin: int, on_recorded: Callable[[bool], None]
    ) -> None:
        """Record a key, then call back with whether it is stored.

        A call that asks again takes the place of its earlier request, which is not
        called back.

        Args:
            key: Hash of the idempotency key; not in use by another call.
            origin: Origin of the call.
            on_recorded: Called with False if the service cannot store it in time, in
                which case the key is free again.
        """
        now_ms = self._context.clock.now_ms()
        self._used[key] = (origin, now_ms)
        self._given_back.discard(key)
        self._pending.pop(key, None)
        # A write that frees the key may be on the way; then it must be stored again.
        if self._stored.get(key) == origin and key not in self._freeing:
            on_recorded(True)
            return
        self._pending[key] = _Pending(key, origin, on_recorded, now_ms)
        self._start_flushing()

    def give_back(self, key: int) -> None:
        """Free the key of a call that certainly did not run."""
        self._used.pop(key, None)
        self._late.pop(key, None)
        if self._stored.get(key):
            self._given_back.add(key)
            self._start_flushing()

    def expire(self) -> None:
        """Forget keys past their retention time."""
        oldest_ms = self._context.clock.now_ms() - RETENTION_MS
        for key in [key for key, (_, ms) in self._used.items() if ms < oldest_ms]:
            del self._used[key]
            self._stored.pop(key, None)

    def _start_flushing(self) -> None:
        if self._is_running:
            return
        self._is_running = True
        start_task(self._context, "key_log", self._flush_all)

    def _flush_all(self) -> None:
        try:
            while self._pending or self._given_back or self._late:
                self._flush()
                eventlet.sleep(FLUSH_INTERVAL_MS / 1000.0)
        finally:
            self._is_running = False

    def _flush(self) -> None:
        batch = list(islice(self._pending.values(), MAX_WRITE_KEYS))
        keys = [[item.key, item.origin] for item in batch]
        if self._write(keys):
            self._finish(batch)
        elif self._share(keys):
            self._late.update(keys)
            self._finish(batch)
        else:
            self._give_up_overdue()

    def _write(self, keys: list[list[int]]) -> bool:
        has_promises = self._right.has_promises
        if self._store.is_away and has_promises():
            # The next owners answer at once; the service is probed meanwhile.
            return False
        late = dict(islice(self._late.items(), MAX_WRITE_KEYS))
        self._freeing = set(islice(self._given_back, MAX_WRITE_KEYS))
        changes = [*map(list, late.items()), *keys, *([k, 0] for k in self._freeing)]
        self._sequence += 1
        written = self._store.write(
            self._shard, self._epoch, self._sequence, changes, has_promises
        )
        freed, self._freeing = self._freeing, set()
        if not written:
            return False
        self._given_back -= freed
        self._stored.update(changes)
        for key, origin in late.items():
            if self._late.get(key) == origin:
                del self._late[key]
            elif key not in self._used:
                # Its call gave it back while it was being written.
                self._given_back.add(key)
        return True

    def _finish(self, batch: list[_Pending]) -> None:
        for item in batch:
            if self._pending.get(item.key) is item:
                del self._pending[item.key]
                item.on_recorded(True)

    def _share(self, keys: list[list[int]]) -> bool:
        """Let the next owners remember keys, while nobody can take the shard over."""
        streams = self._successor_streams()
        if not keys or not streams or not self._right.has_promises():
            return False
        self._notice_number += 1
        self._noted = set()
        for stream in streams:
            stream.send(KeysNotice(self._shard, self._notice_number, keys))
        deadline_ms = self._context.clock.now_ms() + NOTICE_WAIT_MS
        names = {stream.name for stream in streams}
        while self._context.clock.now_ms() < deadline_ms:
            if names <= self._noted:
                self._context.count("key_notices_total")
                return self._right.has_promises()
            eventlet.sleep(0.002)
        return False

    def _give_up_overdue(self) -> None:
        oldest_ms = self._context.clock.now_ms() - WAIT_LIMIT_MS
        overdue = [item for item in self._pending.values() if item.since_ms < oldest_ms]
        for item in overdue:
            # The write may have taken effect all the same, so it is taken back too.
            del self._pending[item.key]
            self._used.pop(item.key, None)
            self._late.pop(item.key, None)
            self._given_back.add(item.key)
            item.on_recorded(False)


class KeyNotices:
    """Keys that this router remembers as a possible next owner, by shard."""

    __slots__ = ("_context", "_keys")

    def __init__(self, context: RouterContext, peers: PeerDirectory) -> None:
        self._context = context
        self._keys: dict[str, dict[int, tuple[int, float]]] = {}
        peers.handle(KeysNotice, self._take)

    def find(self, shard: str) -> dict[int, int]:
        """Return the origin by key of a shard, as far as not past retention."""
        oldest_ms = self._context.clock.now_ms() - RETENTION_MS
        keys = self._keys.get(shard, {})
        return {key: origin for key, (origin, ms) in keys.items() if ms > oldest_ms}

    def _take(self, stream, notice: KeysNotice) -> None:
        keys = self._keys.setdefault(notice.shard, {})
        if len(keys) + len(notice.keys) > MAX_NOTED_KEYS:
            self._context.count("key_notices_refused_total")
            return
        now_ms = self._context.clock.now_ms()
        for key, origin in notice.keys:
            keys[int(key)] = (int(origin), now_ms)
        stream.send(KeysNoted(notice.shard, notice.number))
