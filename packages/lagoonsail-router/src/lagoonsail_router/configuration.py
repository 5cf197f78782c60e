"""The newest configuration that this router has received, from any source.

Every record carries its revision at the key-value service. A record is only replaced by
one with a higher revision, so the key-value service and the peers may deliver records
in any order, and a stale read changes nothing.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, get_type_hints

from xxhash import xxh64_intdigest

from lagoonsail_config.document import parse_document
from lagoonsail_config.document_schema import DocumentError
from lagoonsail_core.invariants import require

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServiceDocument
    from lagoonsail_router.context import RouterContext
    from lagoonsail_store.store_client import Listing

DOCUMENTS = "documents/"
"""Prefix of the keys of service documents."""
MEMBERS = "members/"
"""Prefix of the keys of live routers."""
SHARDS = "shards/"
"""Prefix of the keys of assignment records."""

PEER_REPLICATED_PREFIXES = (DOCUMENTS, MEMBERS, SHARDS)
"""Prefixes of the keys that are accepted from peers."""


@dataclass(slots=True)
class Record:
    """One key of the configuration."""

    key: str
    """Key, relative to the store prefix in the settings."""
    revision: int
    """Revision of its last change at the key-value service."""
    value: str
    """Value, empty after a deletion."""


@dataclass(slots=True)
class Member:
    """A router that holds a lease at the key-value service."""

    router: str
    """Name of the router."""
    incarnation: int
    """Incarnation of the router."""
    side: str
    """Side of the merged fleet."""
    region: str
    """Region of the router."""
    failure_domain: str
    """Failure domain of the router."""
    peers: str
    """Address for streams between routers."""
    admin: str
    """Address for operators."""
    state: str
    """`SERVING` or `LEAVING`."""
    lease: int
    """ID of the router's lease at the key-value service."""


@dataclass(slots=True)
class ShardRecord:
    """The assignment of a shard to its owner."""

    owner: str
    """Router that owns the shard, or was the last to own it."""
    incarnation: int
    """Incarnation of that router."""
    lease: int
    """ID of the lease that the ownership depends on."""
    epoch: int
    """Fencing token; increases with each change of owner."""
    state: str
    """`OWNED` or `RELEASED`."""
    revision: int = 0
    """Revision of the record."""


OWNED = "owned"
"""State of a shard record whose owner may grant slots."""
RELEASED = "released"
"""State of a shard record that any member may claim at once."""


def _hash_revision(key: str, revision: int) -> int:
    # Shifted to fit into a signed 64-bit integer.
    return xxh64_intdigest(f"{key}@{revision}".encode()) >> 1


def _parse_json(value: str, record_type: type, names: tuple[str, ...]) -> object | None:
    hints = get_type_hints(record_type)
    try:
        fields = json.loads(value)
        found = {name: fields[name] for name in names}
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if any(type(item) is not hints[name] for name, item in found.items()):
        return None
    return record_type(**found)


class Configuration:
    """Records by key, and the parsed values of those in force."""

    __slots__ = (
        "_context",
        "_listeners",
        "changes",
        "digest",
        "documents",
        "members",
        "records",
        "shards",
    )

    changes: int
    """Number of records that have been applied."""
    records: dict[str, Record]
    """All records by key, including deletions."""
    digest: int
    """Hash of all keys and revisions; equal for equal configurations."""
    documents: dict[str, ServiceDocument]
    """Documents in force by qualified service name."""
    members: dict[str, Member]
    """Live routers by name."""
    shards: dict[str, ShardRecord]
    """Assignment records by shard."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._listeners: list[Callable[[str], None]] = []
        self.changes = 0
        self.records = {}
        self.digest = 0
        self.documents = {}
        self.members = {}
        self.shards = {}

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call the listener with the key of every record that changes."""
        self._listeners.append(listener)

    def apply(self, key: str, revision: int, value: str) -> bool:
        """Apply a record if it is valid and newer than the current one.

        Args:
            key: Key relative to the store prefix.
            revision: Revision of the change.
            value: New value, empty for a deletion.

        Returns:
            Whether the record was applied.
        """
        current = self.records.get(key)
        if current and current.revision >= revision:
            return False
        if not self._interpret(key, revision, value):
            self._context.count("records_rejected_total", key.split("/")[0])
            return False
        if current:
            require(current.revision < revision, "configuration_never_reverts", key)
            self.digest ^= _hash_revision(key, current.revision)
        self.digest ^= _hash_revision(key, revision)
        self.records[key] = Record(key, revision, value)
        self.changes += 1
        for listener in self._listeners:
            listener(key)
        return True

    def apply_listing(self, prefix: str, listing: Listing) -> bool:
        """Apply a complete listing of the key-value service.

        A key that is missing from the listing was deleted, unless its record is newer
        than the listing. A listing older than the newest record is stale and ignored.

        Args:
            prefix: Store prefix in the settings, which is removed from the keys.
            listing: All entries at one revision.

        Returns:
            False if the listing was stale.
        """
        newest = max((record.revision for record in self.records.values()), default=0)
        if listing.revision < newest:
            self._context.count("stale_listings_total")
            return False
        listed = set()
        for entry in listing.entries:
            key = entry.key.removeprefix(prefix)
            listed.add(key)
            self.apply(key, entry.revision, entry.value)
        for key, record in list(self.records.items()):
            if key not in listed and record.value:
                self.apply(key, listing.revision, "")
        return True

    def newer_than(self, revisions: dict[str, int]) -> list[list]:
        """Return the records that are missing or older at a peer.

        Args:
            revisions: Revisions by key at the peer.

        Returns:
            Triples of key, revision and value.
        """
        return [
            [record.key, record.revision, record.value]
            for record in self.records.values()
            if revisions.get(record.key, 0) < record.revision
        ]

    def revisions(self) -> dict[str, int]:
        """Return the current revision of every key."""
        return {key: record.revision for key, record in self.records.items()}

    def is_lease_expired(self, shard_record: ShardRecord) -> bool:
        """Return whether the lease that an ownership depends on has ended.

        Args:
            shard_record: The assignment record.

        Returns:
            True if the owner is not a live member with that lease.
        """
        member = self.members.get(shard_record.owner)
        return member is None or member.lease != shard_record.lease

    def documented_shards(self) -> set[str]:
        """Return the shards of all services in the documents in force."""
        return {
            shard for document in self.documents.values() for shard in document.shards()
        }

    def owner_of(self, shard: str) -> str:
        """Return the name of the owner of a shard, empty if it has none."""
        record = self.shards.get(shard)
        if record is None or record.state != OWNED:
            return ""
        return record.owner

    def _interpret(self, key: str, revision: int, value: str) -> bool:
        if key.startswith(DOCUMENTS):
            return self._interpret_document(key, revision, value)
        if key.startswith(MEMBERS):
            return self._interpret_member(key, value)
        if key.startswith(SHARDS):
            return self._interpret_shard(key, revision, value)
        return False

    def _interpret_document(self, key: str, revision: int, value: str) -> bool:
        name = key.removeprefix(DOCUMENTS)
        if not value:
            if self.documents.pop(name, None):
                self._context.timeline.record(
                    "document_deleted", key=key, revision=revision
                )
            return True
        try:
            document = parse_document(value)
        except DocumentError:
            return False
        if document.qualified() != name:
            return False
        self.documents[name] = document
        self._context.timeline.record("document_applied", key=key, revision=revision)
        return True

    def _interpret_member(self, key: str, value: str) -> bool:
        name = key.removeprefix(MEMBERS)
        if not value:
            if self.members.pop(name, None):
                self._context.timeline.record("member_lost", member=name)
            return True
        member = _parse_json(value, Member, tuple(Member.__slots__))
        if member is None or member.router != name:
            return False
        if name not in self.members:
            self._context.timeline.record("member_joined", member=name)
        self.members[name] = member
        return True

    def _interpret_shard(self, key: str, revision: int, value: str) -> bool:
        shard = key.removeprefix(SHARDS)
        if not value:
            self.shards.pop(shard, None)
            return True
        names = ("owner", "incarnation", "lease", "epoch", "state")
        record = _parse_json(value, ShardRecord, names)
        if record is None:
            return False
        record.revision = revision
        self.shards[shard] = record
        return True
