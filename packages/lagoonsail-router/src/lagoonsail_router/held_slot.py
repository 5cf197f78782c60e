"""A slot that this router holds, and the message that gives it back."""

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
    """What could not be delivered to the owner yet."""


def make_done(
    grant: SlotGrant,
    outcome: str,
    cost: float = 0.0,
    server_incarnation: str = "",
    first_ms: float = 0.0,
    duration_ms: float = 0.0,
) -> SlotDone:
    """Return the message that gives a slot back.

    Args:
        grant: The grant of the slot.
        outcome: One of the OUTCOME constants.
        cost: Whole cost in the service's unit.
        server_incarnation: Incarnation that the server reported.
        first_ms: Time until the first byte.
        duration_ms: Time until the end.

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
