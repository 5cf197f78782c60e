"""The messages by which the owner of a shard has idempotency keys kept."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class KeysNotice:
    """Idempotency keys that their owner cannot record at the key-value service now."""

    shard: str
    """The shard."""
    number: int
    """Number of the notice at the sender."""
    keys: list[list]
    """Pairs of key hash and origin."""


@dataclass(slots=True)
class KeysNoted:
    """Says that the sender remembers the keys of a notice."""

    shard: str
    """The shard."""
    number: int
    """Number of the notice."""


@dataclass(slots=True)
class KeysWrite:
    """Asks a peer to write keys of a shard that the sender owns to the service."""

    nonce: int
    """Number of the question."""
    shard: str
    """The shard."""
    epoch: int
    """Epoch of the sender's ownership."""
    number: int
    """Number of the write, which grows in the epoch."""
    changes: list[list]
    """Pairs of key hash and origin; origin 0 frees a key."""


@dataclass(slots=True)
class KeysWritten:
    """Answer to a write through a peer."""

    nonce: int
    """Number of the question."""
    revision: int
    """Revision of the write; 0 if it is not known to be done."""
    reason: str
    """Why it is not known to be done, else empty."""
