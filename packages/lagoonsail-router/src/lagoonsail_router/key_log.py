"""Idempotency keys of a shard, recorded before the calls that carry them may run.

A key is written to the key-value service before a slot is granted to its call, many
keys in one write, together with the origin of the call: a hash of the entry router,
its incarnation and the call's number there. A later owner reads all of them at
take-over, so a retry of a call that may have run is recognised whichever router it
comes through, while the same call may ask the new owner again: its entry router asks
only as long as it has sent nothing.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_router.context import start_task
from lagoonsail_store.store_client import Conflict, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext, start_task
from lagoonsail_store.store_client import StoreClient

RETENTION_MS = 900_000.0
"""How long a key is remembered at the least."""
LEASE_ROTATION_MS = 300_000.0
"""Age at which new writes go under a new lease, so that leases stay few."""
FLUSH_INTERVAL_MS = 50.0
"""Least time between two writes of one shard."""
WAIT_LIMIT_MS = 3000.0
"""How long a call waits for its key to be recorded."""


def keys_prefix(shard: str) -> str:
    """Return the prefix under which the keys of a shard are stored."""
    return f"/lagoonsail-keys/{shard}/"


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
        "_is_running",
        "_given_back",
        "_lease",
        "_lease_ms",
        "_pending",
        "_prefix",
        "_sequence",
        "_store",
        "_stored",
        "_used",
        "is_loaded",
    )

    is_loaded: bool
    """Whether the keys of earlier owners have been read."""

    def __init__(
        self, context: RouterContext, store: StoreClient, shard: str, epoch: int
    ) -> None:
        self._context = context
        self._store = store
        self._epoch = epoch
        self._prefix = keys_prefix(shard)
        self._stored: dict[int, int] = {}
        self._used: dict[int, tuple[int, float]] = {}
        self._pending: list[_Pending] = []
        self._given_back: set[int] = set()
        self._is_running = False
        self._sequence = 0
        self._lease = 0
        self._lease_ms = float("-inf")
        self.is_loaded = False

    def load(self) -> bool:
        """Read the keys that earlier owners recorded.

        Returns:
            Whether the service answered.
        """
        listing = self._store.list(self._prefix)
        if not listing:
            return False
        now_ms = self._context.clock.now_ms()
        for entry in sorted(listing.entries, key=lambda entry: entry.revision):
            for key, origin in json.loads(entry.value):
                self._stored[key] = origin
                self._used.pop(key, None)
                if origin:
                    self._used[key] = (origin, now_ms)
        self.is_loaded = True
        return True

    def is_used(self, key: int, origin: int) -> bool:
        """Return whether another call with this key has or will get a slot.

        Args:
            key: Hash of the idempotency key.
            origin: Origin of the call that asks.
        """
        used = self._used.get(key)
        return used is not None and used[0] != origin

    def record(
        self, key: int, origin: int, on_recorded: Callable[[bool], None]
    ) -> None:
        """Record a key, then call back with whether it is stored.

        Args:
            key: Hash of the idempotency key; not in use by another call.
            origin: Origin of the call.
            on_recorded: Called with False if the service cannot store it in time, in
                which case the key is free again.
        """
        now_ms = self._context.clock.now_ms()
        self._used[key] = (origin, now_ms)
        self._given_back.discard(key)
        if self._stored.get(key) == origin:
            on_recorded(True)
            return
        self._pending.append(_Pending(key, origin, on_recorded, now_ms))
        self._start_flushing()

    def give_back(self, key: int) -> None:
        """Free the key of a call that certainly did not run."""
        self._used.pop(key, None)
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
            while self._pending or self._given_back:
                self._flush()
                eventlet.sleep(FLUSH_INTERVAL_MS / 1000.0)
        finally:
            self._is_running = False

    def _flush(self) -> None:
        batch = list(self._pending)
        freed = set(self._given_back)
        changes = [[item.key, item.origin] for item in batch]
        changes += [[key, 0] for key in freed]
        if self._write(changes):
            del self._pending[: len(batch)]
            self._given_back -= freed
            self._stored.update(changes)
            for item in batch:
                item.on_recorded(True)
            return
        self._give_up_overdue()

    def _give_up_overdue(self) -> None:
        oldest_ms = self._context.clock.now_ms() - WAIT_LIMIT_MS
        overdue = [item for item in self._pending if item.since_ms < oldest_ms]
        self._pending = [item for item in self._pending if item.since_ms >= oldest_ms]
        for item in overdue:
            # The write may have taken effect all the same, so it is taken back too.
            self._used.pop(item.key, None)
            self._given_back.add(item.key)
            item.on_recorded(False)

    def _write(self, changes: list[list[int]]) -> bool:
        if not self._renew_lease():
            return False
        self._sequence += 1
        value = json.dumps(changes)
        name = f"{self._prefix}{self._epoch:012d}/{self._sequence:012d}"
        written = self._store.put_if(name, value, 0, self._lease)
        if isinstance(written, Conflict):
            self._context.count("key_log_conflicts_total")
            return False
        if not isinstance(written, Written):
            # The lease itself may be what the service has lost.
            self._lease_ms = float("-inf")
            return False
        self._context.count("key_log_writes_total")
        return True

    def _renew_lease(self) -> bool:
        now_ms = self._context.clock.now_ms()
        if self._lease and now_ms - self._lease_ms < LEASE_ROTATION_MS:
            return True
        lease = self._store.grant_lease(RETENTION_MS + LEASE_ROTATION_MS)
        if not lease:
            return False
        self._lease, self._lease_ms = lease, now_ms
        return True
