"""Messages by which a router without the key-value service keeps its shards.

It has a peer renew its lease, or collects promises of members not to take over.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RenewRequest:
    """Asks a peer to renew the sender's lease at the key-value service."""

    nonce: int
    """Number of the attempt."""
    lease: int
    """Identifier of the lease at the key-value service."""


@dataclass(slots=True)
class RenewResult:
    """Answer to a RenewRequest."""

    nonce: int
    """Number of the attempt."""
    ttl_ms: float
    """Remaining time of the lease; 0 if it has expired, -1 if the service is down."""


@dataclass(slots=True)
class PromiseRequest:
    """Asks a member to promise not to take over the sender's shards for a time."""

    nonce: int
    """Number of the attempt."""
    duration_ms: float
    """Duration of the promise, from the receipt of this message."""


@dataclass(slots=True)
class PromiseResult:
    """Answer to a PromiseRequest."""

    nonce: int
    """Number of the attempt."""
    promised: bool
    """Whether the sender will take over no shard of the receiver in that time."""
    reason: str
    """Why the promise was refused, else empty."""
