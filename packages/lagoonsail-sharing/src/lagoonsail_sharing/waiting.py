"""A request waiting for a slot, as queued by the owner of its shard."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class WaitingRequest:
    """A request waiting for a slot."""

    ticket: tuple
    """Identifies the request: sender, incarnation of the sender, number."""
    account: str
    """Client account, unqualified."""
    estimate: float
    """Cost hint of the caller, in the service's unit; 0 if none."""
    prefix: list[int] = field(default_factory=list)
    """Hashes of the prompt's prefixes, shortest first."""
    key: int = 0
    """Hash of the idempotency key of a non-repeatable call, otherwise 0."""
    since_ms: float = 0.0
    """Local monotonic time at which the request began to wait."""
    reply_to: object = None
    """Destination of the grant; opaque to the queue."""
    passed_over: int = 0
    """Number of later requests of its account started before this one."""
