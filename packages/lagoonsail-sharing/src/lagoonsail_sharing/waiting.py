"""A request that waits for a slot, as the owner of its shard queues it."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Waiting:
    """A request that waits for a slot."""

    ticket: tuple
    """Identifies the request: sender, sender's incarnation, number."""
    account: str
    """Client account, unqualified."""
    estimate: float
    """The caller's hint in the service's unit; 0 where there is none."""
    prefix: list[int] = field(default_factory=list)
    """Hashes of the prompt's prefixes, shortest first."""
    key: int = 0
    """Hash of the idempotency key of a call that may not be repeated, else 0."""
    since_ms: float = 0.0
    """Local monotonic time since which the request waits."""
    source: object = None
    """Where the grant is to go."""
    passed: int = 0
    """How many later requests of its account were started before it."""
