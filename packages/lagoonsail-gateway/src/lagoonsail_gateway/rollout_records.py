"""Records of roll-outs in the platform's store, and the calls that write them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.store_generation import UNNUMBERED

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lagoonsail_gateway.store_access import StoreItem, StoreRevision


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """An operator's order to move a service to another version."""

    service: str
    """Name of the service."""
    target: str
    """Version that the service is moved to."""
    limit_ms: float
    """Time within which it must be in service, from the order."""


@dataclass(slots=True, frozen=True)
class RolloutPhase:
    """The phase of a roll-out, which all routers read and the leader writes."""

    target: str
    """Version that the order names."""
    order: StoreRevision
    """Revision of the order."""
    phase: str
    """One of `lagoonsail_rollout.phases.PHASES`."""
    in_service: tuple[str, ...]
    """Versions in service when the order came."""
    remaining_ms: float
    """Time until the limit when the record was written."""


class WriteConflict(Unavailable):
    """A write was not made, as one of its keys has another revision."""

    __slots__ = ("items",)

    def __init__(self, items: list[StoreItem]) -> None:
        super().__init__("a key has another revision")
        self.items = items
        """The keys of the condition that exist, as they are now."""


class LeaseLost(Unavailable):
    """The store knows no such lease."""


@dataclass(slots=True, frozen=True)
class RolloutStore:
    """Keys and calls of the platform's store that roll-outs need."""

    order_prefix: str
    """Prefix of the operator's orders."""
    status_prefix: str
    """Prefix of the status of roll-outs, for the operator."""
    phase_prefix: str
    """Prefix of the phases, for the routers."""
    leader_key: str
    """Key that names the router that writes phases and status; see `leader_key_of`."""
    decode_order: Callable[[str, bytes], RolloutOrder | Unavailable]
    """Decodes an order, given its service."""
    decode_phase: Callable[[bytes], RolloutPhase | Unavailable]
    """Decodes a phase."""
    encode_phase: Callable[[RolloutPhase], bytes]
    """Encodes a phase."""
    encode_status: Callable[[RolloutPhase], bytes]
    """Encodes the status that belongs to a phase."""
    grant_lease: Callable[[float], str | Unavailable]
    """Returns a lease with a time to live in milliseconds."""
    keep_lease: Callable[[str], None | Unavailable]
    """Renews a lease; returns LeaseLost if there is none."""
    end_lease: Callable[[str], None | Unavailable]
    """Ends a lease, with the keys under it."""
    write: Callable[
        [Mapping[str, StoreRevision], Mapping[str, bytes], str],
        StoreRevision | Unavailable,
    ]
    """Sets keys in one transaction, if other keys have the expected revisions
    (`NO_REVISION`: the key does not exist), under a lease or none. Returns the
    revision, WriteConflict, LeaseLost, or another reason, in which case it may have
    been made."""

    def leader_key_of(self, generation: int) -> str:
        """Return the leader's key in a generation of the store.

        Each has its own: a restored store gives out revisions once more, and a write of
        a former leader that is carried out late must not find its term again.

        Args:
            generation: Number of the generation.
        """
        if generation == UNNUMBERED:
            return self.leader_key
        return f"{self.leader_key}/{generation}"
