"""Idempotency keys of a shard, recorded before the calls that carry them may run.

A key is written to the key-value service before a slot is granted to its call, many
keys in one write. A later owner reads all of them at take-over, so a retry of a call
that may have run is recognised whichever router it comes through.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_store.store_client import Conflict, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext
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


class KeyLog:
    """The keys of one shard at its owner."""

    __slots__ = (
        "_context",
        "_epoch",
        "_is_running",
        "_known",
        "_lease",
        "_lease_ms",
        "_pending",
        "_prefix",
        "_sequence",
        "_store",
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
        self._known: dict[int, float] = {}
        self._used: dict[int, float] = {}
        self._pending: list[tuple[int, Callable[[bool], None], float]] = []
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
            for key, is_used in json.loads(entry.value):
                self._known[key] = now_ms
                if is_used:
                    self._used[key] = now_ms
                else:
                    self._used.pop(key, None)
        self.is_loaded = True
        return True

    def is_used(self, key: int) -> bool:
        """Return whether a call with this key was granted a slot or is about to be."""
        return key in self._used

    def record(self, key: int, on_recorded: Callable[[bool], None]) -> None:
        """Record a key, then call back with whether it is stored.

        Args:
            key: Hash of the idempotency key; must not be in use.
            on_recorded: Called with False if the service cannot store it in time, in
                which case the key is free again.
        """
        now_ms = self._context.clock.now_ms()
        self._used[key] = now_ms
        if key in self._known:
            # An earlier attempt stored the key and was then known not to have run.
            self._known[key] = now_ms
            on_recorded(True)
            return
        self._pending.append((key, on_recorded, now_ms))
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._flush_all)

    def give_back(self, key: int) -> None:
        """Free the key of a call that certainly did not run."""
        self._used.pop(key, None)

    def expire(self) -> None:
        """Forget keys past their retention time."""
        oldest_ms = self._context.clock.now_ms() - RETENTION_MS
        for table in (self._known, self._used):
            for key in [key for key, ms in table.items() if ms < oldest_ms]:
                del table[key]

    def _flush_all(self) -> None:
        try:
            while self._pending:
                self._flush()
                eventlet.sleep(FLUSH_INTERVAL_MS / 1000.0)
        finally:
            self._is_running = False

    def _flush(self) -> None:
        batch = list(self._pending)
        if self._write([key for key, _, _ in batch]):
            del self._pending[: len(batch)]
            self._finish(batch, True)
            return
        oldest_ms = self._context.clock.now_ms() - WAIT_LIMIT_MS
        expired = [item for item in self._pending if item[2] < oldest_ms]
        self._pending = [item for item in self._pending if item[2] >= oldest_ms]
        self._finish(expired, False)

    def _finish(self, batch: list, is_stored: bool) -> None:
        now_ms = self._context.clock.now_ms()
        for key, on_recorded, _ in batch:
            if is_stored:
                self._known[key] = now_ms
            else:
                self._used.pop(key, None)
            on_recorded(is_stored)

    def _write(self, keys: list[int]) -> bool:
        if not self._renew_lease():
            return False
        self._sequence += 1
        value = json.dumps([[key, 1] for key in keys])
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
