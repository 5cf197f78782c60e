"""The messages by which a router without the key-value service keeps its right."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RenewRequest:
    """Asks a peer to renew the sender's lease at the key-value service."""

    nonce: int
    """Number of the attempt."""
    lease: int
    """Lease at the key-value service."""


@dataclass(slots=True)
class RenewResult:
    """Answer to a renewal through a peer."""

    nonce: int
    """Number of the attempt."""
    ttl_ms: float
    """Remaining time of the lease; 0 if it has lapsed, -1 if the service is down."""


@dataclass(slots=True)
class PromiseRequest:
    """Asks a member not to take over the sender's shards for a while."""

    nonce: int
    """Number of the attempt."""
    duration_ms: float
    """How long, from the receipt of this message."""


@dataclass(slots=True)
class PromiseResult:
    """Answer to a promise request."""

    nonce: int
    """Number of the attempt."""
    promised: bool
    """Whether the sender will take over nothing from the receiver meanwhile."""
    reason: str
    """Why it was not promised, else empty."""
