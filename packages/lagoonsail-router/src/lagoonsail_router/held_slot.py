"""A slot that this router holds, and the message that returns it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.messages import SlotDone

if TYPE_CHECKING:
    from lagoonsail_core.messages import SlotGrant


@dataclass(slots=True)
class HeldSlot:
    """A slot that this router holds."""

    grant: SlotGrant
    """The grant."""
    account: str
    """Client account."""
    granted_ms: float
    """When the grant arrived."""
    cost: float = 0.0
    """Cost so far."""
    done: SlotDone | None = None
    """Message that could not be sent to the owner yet, None if there is none."""


def make_done(
    grant: SlotGrant,
    outcome: str,
    cost: float = 0.0,
    server_incarnation: str = "",
    first_ms: float = 0.0,
    duration_ms: float = 0.0,
) -> SlotDone:
    """Return the message that returns a slot to its owner.

    Args:
        grant: The grant of the slot.
        outcome: One of the OUTCOME constants.
        cost: Total cost in the service's unit.
        server_incarnation: Incarnation reported by the server.
        first_ms: Milliseconds until the first byte.
        duration_ms: Milliseconds until the end.

    Returns:
        The message.
    """
    return SlotDone(
        grant.shard,
        grant.epoch,
        grant.slot,
        outcome,
        float(cost),
        server_incarnation,
        float(first_ms),
        float(duration_ms),
    )
