"""The slots that the owner of a shard has granted and that are in use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(slots=True)
class Slot:
    """A slot that was granted and not yet returned."""

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
    """Stream between the holder and this owner."""
    granted_ms: float
    """When it was granted."""
    key: int = 0
    """Hash of the idempotency key, 0 if there is none."""
    is_started: bool = False
    """Whether the holder reported that it sent the request."""
    orphaned_ms: float | None = None
    """When the holder disconnected, None while it is connected."""


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

    def mark_orphaned(self, stream: object, now_ms: float) -> None:
        """Mark the slots of the holder on a closed stream as orphaned.

        Args:
            stream: The stream that closed.
            now_ms: Monotonic time.
        """
        for slot in self.by_key.values():
            if slot.stream is stream:
                slot.orphaned_ms = now_ms

    def has_unstarted(self, now_ms: float, window_ms: float) -> bool:
        """Return whether a granted request may still be started.

        Args:
            now_ms: Monotonic time.
            window_ms: How long after its grant a request can be started.
        """
        return any(
            not slot.is_started and now_ms - slot.granted_ms < window_ms
            for slot in self.by_key.values()
        )


def overdue_orphans(slots: list[Slot], before_ms: float) -> Iterator[Slot]:
    """Yield the slots of disconnected routers that were granted before a time.

    Args:
        slots: The slots to check.
        before_ms: Monotonic time.
    """
    for slot in slots:
        if slot.orphaned_ms is not None and slot.granted_ms < before_ms:
            yield slot


def ended_orphans(slots: list[Slot], ended: int, settled_ms: float) -> list[Slot]:
    """Return the slots of disconnected routers that a load report shows to have ended.

    Args:
        slots: The slots on the server.
        ended: How many of them the report no longer counts.
        settled_ms: Only routers that disconnected before this time are considered.
    """
    orphans = [
        slot
        for slot in slots
        if slot.orphaned_ms is not None and slot.orphaned_ms < settled_ms
    ]
    return orphans[: max(0, ended)]
