"""The newest configuration that this router has seen, from whatever source.

Every record carries its revision at the key-value service. A record only ever gives
way to one of a higher revision, so the order in which the service and the peers
deliver records does not matter, and a stale read changes nothing.
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
"""Keys of service documents begin with this."""
MEMBERS = "members/"
"""Keys of live routers begin with this."""
SHARDS = "shards/"
"""Keys of assignment records begin with this."""

SPREAD_BY_PEERS = (DOCUMENTS, MEMBERS, SHARDS)
"""Keys that are accepted from peers."""


@dataclass(slots=True)
class Record:
    """One key of the configuration."""

    key: str
    """Key, relative to the prefix of the settings."""
    revision: int
    """Revision of the last change at the key-value service."""
    value: str
    """Value, empty after a deletion."""


@dataclass(slots=True)
class Member:
    """A router that holds a lease at the key-value service."""

    router: str
    """Name."""
    incarnation: int
    """Incarnation."""
    side: str
    """Side of the merged fleet."""
    region: str
    """Region."""
    failure_domain: str
    """Failure domain."""
    peers: str
    """Address for streams between routers."""
    admin: str
    """Address for operators."""
    state: str
    """Serving or leaving."""
    lease: int
    """Lease at the key-value service."""


@dataclass(slots=True)
class ShardRecord:
    """Who owns a shard."""

    owner: str
    """Router that owns the shard, or owned it last."""
    incarnation: int
    """Incarnation of that router."""
    lease: int
    """Lease on which the ownership rests."""
    epoch: int
    """Fencing number; grows with each change of owner."""
    state: str
    """Owned or released."""
    revision: int = 0
    """Revision of the record."""


OWNED = "owned"
"""State of a shard record whose owner may grant slots."""
RELEASED = "released"
"""State of a shard record that any member may claim at once."""


def _hash_revision(key: str, revision: int) -> int:
    # Shifted to fit into a signed integer of 64 bits.
    return xxh64_intdigest(f"{key}@{revision}".encode()) >> 1


def _parse_json(value: str, kind: type, names: tuple[str, ...]) -> object | None:
    hints = get_type_hints(kind)
    try:
        fields = json.loads(value)
        found = {name: fields[name] for name in names}
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if any(type(item) is not hints[name] for name, item in found.items()):
        return None
    return kind(**found)


class Configuration:
    """Records by key, and what they say once parsed."""

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
    """How many records have been taken in."""
    records: dict[str, Record]
    """Every record, deletions included."""
    digest: int
    """Hash over all keys and revisions; equal for equal configurations."""
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
        """Take in a record if it is newer than the one held.

        Args:
            key: Key relative to the prefix.
            revision: Revision of the change.
            value: New value, empty for a deletion.

        Returns:
            Whether the record was newer.
        """
        held = self.records.get(key)
        if held and held.revision >= revision:
            return False
        if not self._interpret(key, revision, value):
            self._context.count("records_rejected_total", key.split("/")[0])
            return False
        if held:
            require(held.revision < revision, "configuration_never_reverts", key)
            self.digest ^= _hash_revision(key, held.revision)
        self.digest ^= _hash_revision(key, revision)
        self.records[key] = Record(key, revision, value)
        self.changes += 1
        for listener in self._listeners:
            listener(key)
        return True

    def apply_listing(self, prefix: str, listing: Listing) -> bool:
        """Take in a whole read of the key-value service.

        A key that is held but not listed was deleted, unless it is newer than the
        listing. A listing that is older than what is held is stale and left out.

        Args:
            prefix: Prefix of the settings, to be cut from the keys.
            listing: What the service answered.

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
        """Return the records that a peer with the given revisions lacks.

        Args:
            revisions: Revision by key at the peer.

        Returns:
            Triples of key, revision and value.
        """
        return [
            [record.key, record.revision, record.value]
            for record in self.records.values()
            if revisions.get(record.key, 0) < record.revision
        ]

    def revisions(self) -> dict[str, int]:
        """Return the revision of every key held."""
        return {key: record.revision for key, record in self.records.items()}

    def is_lapsed(self, shard_record: ShardRecord) -> bool:
        """Return whether the lease under an ownership has ended.

        Args:
            shard_record: The assignment record.

        Returns:
            True if no live member holds that lease.
        """
        member = self.members.get(shard_record.owner)
        return member is None or member.lease != shard_record.lease

    def documented_shards(self) -> set[str]:
        """Return the shards of all services by the documents in force."""
        return {
            shard for document in self.documents.values() for shard in document.shards()
        }

    def owner_of(self, shard: str) -> str:
        """Return the name of the live owner of a shard, or an empty string."""
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
