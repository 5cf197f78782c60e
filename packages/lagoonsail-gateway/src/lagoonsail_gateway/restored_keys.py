"""Keys of which a restored store says otherwise than it did before.

The store was restored from a copy that is some seconds old, and what was written since
is written again soon. Until then it is not believed that a key is gone which the copy
does not have yet, or that a server is there which had left.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_gateway.server_directory import REGISTRATION_GRACE_MS

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.store_access import StoreItem

HOLD_MS = 10_000.0
"""Time after which a key that was not written again is gone. An operator takes longer
than a server, and to take an evacuation back too early breaks its promise."""


def is_later_generation(item: StoreItem, known: StoreItem) -> bool:
    """Return whether an item is of a later generation of the store than another.

    Args:
        item: The item.
        known: The other one.
    """
    return item.revision.generation > known.revision.generation


@dataclass(slots=True, frozen=True)
class _Held:
    item: StoreItem
    until_ms: float


class RestoredKeys:
    """The items that are not believed yet."""

    __slots__ = ("_clock", "_held", "_server_prefix")

    def __init__(self, clock: Clock, server_prefix: str) -> None:
        """Create it without items.

        Args:
            clock: The clock.
            server_prefix: Prefix of the keys of servers.
        """
        self._clock = clock
        self._held: dict[str, _Held] = {}
        self._server_prefix = server_prefix

    def hold(self, known: StoreItem | None, item: StoreItem) -> bool:
        """Hold an item back if a restored store undoes a change by it.

        Args:
            known: The item that is believed, None if the key is not known.
            item: A later item of the same key.

        Returns:
            Whether it is held. If not, an earlier one is not held any longer.
        """
        held = self._held.get(item.key)
        if not self._is_undone(known, item) or _is_written_again(held, item):
            self.release(item.key)
            return False
        until_ms = self._clock.now_ms() + self._hold_ms(item.key)
        if held is not None and (held.item.value is None) == (item.value is None):
            until_ms = held.until_ms
        self._held[item.key] = _Held(item, until_ms)
        return True

    def release(self, key: str) -> None:
        """Forget what was held of a key, if anything was.

        Args:
            key: The key.
        """
        self._held.pop(key, None)

    def take_due(self) -> list[StoreItem]:
        """Remove and return the items that were held for long enough."""
        now_ms = self._clock.now_ms()
        due = [held.item for held in self._held.values() if held.until_ms <= now_ms]
        for item in due:
            del self._held[item.key]
        return due

    def has(self, key: str) -> bool:
        """Return whether an item of a key is held.

        Args:
            key: The key.
        """
        return key in self._held

    def keys(self) -> list[str]:
        """Return the keys of the items."""
        return sorted(self._held)

    def _is_undone(self, known: StoreItem | None, item: StoreItem) -> bool:
        if known is None or not is_later_generation(item, known):
            return False
        if item.value is None:
            return known.value is not None
        return known.value is None and item.key.startswith(self._server_prefix)

    def _hold_ms(self, key: str) -> float:
        is_server = key.startswith(self._server_prefix)
        return REGISTRATION_GRACE_MS if is_server else HOLD_MS


def _is_written_again(held: _Held | None, item: StoreItem) -> bool:
    """Return whether a key that was held because it came back has been written."""
    if held is None or item.value is None or held.item.value is None:
        return False
    is_same_generation = not is_later_generation(item, held.item)
    return is_same_generation and item.revision > held.item.revision
