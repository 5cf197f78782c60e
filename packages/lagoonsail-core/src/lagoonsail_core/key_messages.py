"""Messages with which a shard's owner stores idempotency keys through its peers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class KeysNotice:
    """Idempotency keys that the owner cannot write to the key-value service now."""

    shard: str
    """The shard."""
    number: int
    """Number of the notice at the sender."""
    keys: list[list]
    """Pairs of key hash and origin."""


@dataclass(slots=True)
class KeysNoted:
    """Confirms that the sender keeps the keys of a notice in memory."""

    shard: str
    """The shard."""
    number: int
    """Number of the notice."""


@dataclass(slots=True)
class KeysWrite:
    """Asks a peer to write keys of the sender's shard to the key-value service."""

    nonce: int
    """Number of the request."""
    shard: str
    """The shard."""
    epoch: int
    """Epoch of the sender's ownership."""
    number: int
    """Number of the write, increasing within the epoch."""
    changes: list[list]
    """Pairs of key hash and origin; origin 0 deletes a key."""


@dataclass(slots=True)
class KeysWritten:
    """Answer to a KeysWrite."""

    nonce: int
    """Number of the request."""
    revision: int
    """Revision of the write; 0 if the write is not confirmed."""
    reason: str
    """Why the write is not confirmed, else empty."""
