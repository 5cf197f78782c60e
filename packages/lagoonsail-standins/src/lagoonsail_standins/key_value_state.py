"""Keys, revisions, leases and history of the key-value stand-in, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError

if TYPE_CHECKING:
    from collections.abc import Callable

UNBOUNDED_RANGE_END = b"\0"
"""Range end that selects all keys from the first one on."""


class StateError(LagoonsailError):
    """A refused request, with its gRPC code and HTTP status."""

    def __init__(self, problem: str, code: int, status: int) -> None:
        super().__init__(problem, "see the etcd v3 API")
        self.code = code
        """gRPC status code."""
        self.status = status
        """HTTP status to which the JSON gateway maps the code."""


@dataclass(slots=True)
class KeyRecord:
    """A key with its value and revisions; version 0 is a deletion."""

    key: bytes
    """The key."""
    value: bytes
    """The value."""
    create_revision: int
    """Revision at which the key was created."""
    mod_revision: int
    """Revision of the last change."""
    version: int
    """Number of writes since the key was created; 0 for a deletion."""
    lease: int
    """Lease that the key is attached to, or 0."""


@dataclass(slots=True)
class Lease:
    """A granted lease."""

    ttl_ms: float
    """Granted time to live, milliseconds."""
    deadline_ms: float
    """Monotonic time at which the lease expires unless renewed, milliseconds."""


@dataclass(slots=True)
class Snapshot:
    """The keys at one revision."""

    revision: int
    """Revision of the snapshot."""
    records: dict[bytes, KeyRecord]
    """Record by key."""

    def range(self, key: bytes, range_end: bytes) -> list[KeyRecord]:
        """Return the records of a key or a range of keys, sorted by key.

        Args:
            key: First key.
            range_end: Key after the last; empty for the first key alone.

        Returns:
            The records.
        """
        if not range_end:
            return [self.records[key]] if key in self.records else []
        return [
            self.records[name] for name in sorted(self._keys_in_range(key, range_end))
        ]

    def _keys_in_range(self, key: bytes, range_end: bytes) -> list[bytes]:
        if range_end == UNBOUNDED_RANGE_END:
            return [name for name in self.records if name >= key]
        return [name for name in self.records if key <= name < range_end]


class KeyValueState:
    """The state of the key-value service.

    Changes are collected until `commit`; all changes of one commit have the same
    revision, as in one transaction.
    """

    __slots__ = ("_listeners", "_pending", "current", "history", "leases")

    current: Snapshot
    """The current keys."""
    history: list[KeyRecord]
    """Every change in order; nothing is compacted."""
    leases: dict[int, Lease]
    """Lease by ID."""

    def __init__(self) -> None:
        self.current = Snapshot(1, {})
        self.history = []
        self.leases = {}
        self._pending: list[KeyRecord] = []
        self._listeners: list[Callable[[list[KeyRecord]], None]] = []

    def subscribe(self, listener: Callable[[list[KeyRecord]], None]) -> None:
        """Call the listener with the changes of each commit from now on."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: Callable[[list[KeyRecord]], None]) -> None:
        """Stop calling a listener."""
        self._listeners.remove(listener)

    def snapshot(self) -> Snapshot:
        """Return a copy of the keys that later changes do not affect."""
        return Snapshot(self.current.revision, dict(self.current.records))

    def put(self, key: bytes, value: bytes, lease: int) -> None:
        """Set a key; takes effect at once, and is published by `commit`.

        Args:
            key: The key.
            value: The value.
            lease: Lease to attach the key to, or 0.

        Raises:
            StateError: If the lease is not known.
        """
        if lease and lease not in self.leases:
            raise StateError("etcdserver: requested lease not found", 5, 404)
        revision = self.current.revision + 1
        old = self.current.records.get(key)
        created = old.create_revision if old else revision
        version = old.version + 1 if old else 1
        record = KeyRecord(key, value, created, revision, version, lease)
        self.current.records[key] = record
        self._pending.append(record)

    def delete(self, key: bytes, range_end: bytes) -> int:
        """Delete a key or a range of keys; published by `commit`.

        Args:
            key: First key.
            range_end: Key after the last; empty for the first key alone.

        Returns:
            Number of deleted keys.
        """
        records = self.current.range(key, range_end)
        revision = self.current.revision + 1
        for record in records:
            del self.current.records[record.key]
            deletion = replace(
                record,
                value=b"",
                create_revision=0,
                mod_revision=revision,
                version=0,
                lease=0,
            )
            self._pending.append(deletion)
        return len(records)

    def commit(self) -> None:
        """Publish the changes since the last commit as one new revision."""
        if not self._pending:
            return
        changes = self._pending
        self._pending = []
        self.current.revision += 1
        self.history.extend(changes)
        for listener in list(self._listeners):
            listener(changes)

    def grant(self, lease: int, ttl_ms: float, now_ms: float) -> None:
        """Grant a lease.

        Args:
            lease: ID that the client chose.
            ttl_ms: Time to live, milliseconds.
            now_ms: Monotonic time, milliseconds.

        Raises:
            StateError: If the ID is in use.
        """
        if lease in self.leases:
            raise StateError("etcdserver: lease already exists", 9, 400)
        self.leases[lease] = Lease(ttl_ms, now_ms + ttl_ms)

    def renew(self, lease: int, now_ms: float) -> float:
        """Renew a lease.

        Args:
            lease: The ID.
            now_ms: Monotonic time, milliseconds.

        Returns:
            Remaining time in milliseconds, 0 if the lease is not known.
        """
        granted = self.leases.get(lease)
        if granted is None:
            return 0.0
        granted.deadline_ms = now_ms + granted.ttl_ms
        return granted.ttl_ms

    def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys.

        Args:
            lease: The ID.

        Raises:
            StateError: If the lease is not known.
        """
        if self.leases.pop(lease, None) is None:
            raise StateError("etcdserver: requested lease not found", 5, 404)
        for record in list(self.current.records.values()):
            if record.lease == lease:
                self.delete(record.key, b"")
        self.commit()

    def expire_leases(self, now_ms: float) -> None:
        """Revoke the leases that have expired.

        Args:
            now_ms: Monotonic time, milliseconds.
        """
        for lease, granted in list(self.leases.items()):
            if granted.deadline_ms <= now_ms:
                self.revoke(lease)

    def renew_all(self, now_ms: float) -> None:
        """Renew every lease for its full time to live, as after a change of leader.

        Args:
            now_ms: Monotonic time, milliseconds.
        """
        for granted in self.leases.values():
            granted.deadline_ms = now_ms + granted.ttl_ms
