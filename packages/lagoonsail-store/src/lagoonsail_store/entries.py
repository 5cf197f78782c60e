"""Entries of the key-value service and results of calls to it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Entry:
    """A key with its value, or a deleted key."""

    key: str
    """The key, including the prefix from the settings."""
    value: str
    """The value; bytes that are not UTF-8 are surrogate escapes."""
    revision: int
    """Revision of the last change of the key."""
    lease: int
    """ID of the lease that the key is attached to, or 0."""
    deleted: bool = False
    """Whether the key was deleted; the value is empty then."""


@dataclass(slots=True)
class Absent:
    """The key does not exist."""

    key: str
    """The key."""


@dataclass(slots=True)
class Listing:
    """All entries under a prefix at one revision."""

    revision: int
    """Revision of the list; a watch starts at the next one."""
    entries: list[Entry]
    """Entries sorted by key."""


@dataclass(slots=True)
class Written:
    """The write was executed exactly once."""

    revision: int
    """Revision of the write."""


@dataclass(slots=True)
class Conflict:
    """The write did not take effect: the key has an unexpected revision."""

    entry: Entry | None
    """The newer entry; None if the key does not exist."""
    in_doubt: bool = False
    """Whether the write may have taken effect and been overwritten by the newer
    entry, because an answer was lost."""


@dataclass(slots=True)
class Write:
    """One write of an atomic transaction."""

    key: str
    """The key."""
    value: str
    """The value."""
    expected_revision: int
    """Required revision of the key; 0 if it must not exist."""
    lease: int = 0
    """ID of the lease to attach the key to, or 0."""


@dataclass(slots=True)
class WatchBatch:
    """Changes that a watch delivers in one message."""

    revision: int
    """Newest revision of the changes; a new watch starts at the next one."""
    entries: list[Entry]
    """Changed entries in the order of their changes."""
