"""What the key-value service holds and answers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Entry:
    """A key with its value, or the deletion of a key."""

    key: str
    """The key, with the prefix of the settings."""
    value: str
    """The value; bytes that are not UTF-8 appear as surrogate escapes."""
    revision: int
    """Revision of the last change of the key."""
    lease: int
    """Lease that the key is attached to, or 0."""
    deleted: bool = False
    """Whether this tells of a deletion; the value is empty then."""


@dataclass(slots=True)
class Absent:
    """The key does not exist."""

    key: str
    """The key."""


@dataclass(slots=True)
class Listing:
    """All entries under a prefix at one revision."""

    revision: int
    """Revision of the list; watch from the next one on."""
    entries: list[Entry]
    """Entries sorted by key."""


@dataclass(slots=True)
class Written:
    """The write was carried out, once."""

    revision: int
    """Revision of the write."""


@dataclass(slots=True)
class Conflict:
    """The write is not in force, since the key has another revision than expected."""

    entry: Entry | None
    """The newer entry; None if the key does not exist."""
    in_doubt: bool = False
    """Whether the write may have been in force before the newer entry came, since an
    answer was lost."""


@dataclass(slots=True)
class Write:
    """One of several writes that are carried out together or not at all."""

    key: str
    """The key."""
    value: str
    """The value."""
    expected_revision: int
    """Revision that the key must have; 0 if it must not exist."""
    lease: int = 0
    """Lease to attach the key to, or 0."""


@dataclass(slots=True)
class WatchBatch:
    """Changes that a watch delivers together."""

    revision: int
    """Newest revision among the changes; watch again from the next one on."""
    entries: list[Entry]
    """Changed entries in order."""
