"""The slots that the owner of a shard has granted and that are in use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True)
class Slot:
    """A slot that was granted and not yet given back."""

    epoch: int
    """Epoch of the grant."""
    number: int
    """Slot number in that epoch."""
    server: str
    """Backend server."""
    account: str
    """Client account."""
    holder: tuple[str, int]
    """Name and incarnation of the entry router."""
    stream: object
    """Stream on which the holder deals with this owner."""
    granted_ms: float
    """When it was granted."""
    key: int = 0
    """Hash of the idempotency key, 0 if there is none."""
    is_started: bool = False
    """Whether the holder said that it sent the request."""
    orphaned_ms: float | None = None
    """When the holder was lost, None while it is connected."""


class GrantedSlots:
    """The slots of one shard that are in use."""

    __slots__ = ("by_key",)

    by_key: dict[tuple[int, int], Slot]
    """Slots by epoch and number."""

    def __init__(self) -> None:
        self.by_key = {}

    def of_holder(self, holder: tuple[str, int]) -> dict[tuple[int, int], Slot]:
        """Return the slots of an entry router by epoch and number.

        Args:
            holder: Its name and incarnation.
        """
        slots = self.by_key.items()
        return {key: slot for key, slot in slots if slot.holder == holder}

    def on_server(self, name: str) -> list[Slot]:
        """Return the slots on a backend server.

        Args:
            name: Unqualified name of the server.
        """
        return [slot for slot in self.by_key.values() if slot.server == name]

    def orphan(self, stream: object, now_ms: float) -> None:
        """Note that the holders on a stream are lost.

        Args:
            stream: The stream that closed.
            now_ms: Monotonic time.
        """
        for slot in self.by_key.values():
            if slot.stream is stream:
                slot.orphaned_ms = now_ms

    def has_unstarted(self, now_ms: float, window_ms: float) -> bool:
        """Return whether a holder may still start what was granted.

        Args:
            now_ms: Monotonic time.
            window_ms: How long a grant can be started.
        """
        return any(
            not slot.is_started and now_ms - slot.granted_ms < window_ms
            for slot in self.by_key.values()
        )


def overdue_orphans(slots: list[Slot], before_ms: float) -> Iterator[Slot]:
    """Yield the slots of lost routers that were granted before a time.

    Args:
        slots: The slots to look at.
        before_ms: Monotonic time.
    """
    for slot in slots:
        if slot.orphaned_ms is not None and slot.granted_ms < before_ms:
            yield slot


def ended_orphans(slots: list[Slot], ended: int, settled_ms: float) -> list[Slot]:
    """Return the slots of lost routers that a load report shows to have ended.

    Args:
        slots: The slots on the server.
        ended: How many of them the report does not count any more.
        settled_ms: Routers that were lost before this time are counted as lost.
    """
    orphans = [
        slot
        for slot in slots
        if slot.orphaned_ms is not None and slot.orphaned_ms < settled_ms
    ]
    return orphans[: max(0, ended)]
