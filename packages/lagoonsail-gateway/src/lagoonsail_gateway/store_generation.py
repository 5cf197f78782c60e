"""The generation of the platform's store, as its answers name it.

A store that is restored from an older copy begins a new generation. An answer of an
earlier one may arrive later, on another connection, and must not be believed: what it
tells was undone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

UNNUMBERED = 0
"""Generation of a store that does not number its generations."""


class StoreGeneration:
    """The newest generation that this process knows of.

    Example:
        >>> generation = StoreGeneration()
        >>> generation.accept(3), generation.accept(2), generation.accept(None)
        (True, False, False)
        >>> generation.newest
        3
    """

    __slots__ = ("_listeners", "_is_refusing", "_on_refused", "newest")

    newest: int
    """Number of the generation."""

    def __init__(self) -> None:
        """Create it for a store that does not number its generations."""
        self._listeners: list[Callable[[int, int], None]] = []
        self._on_refused: Callable[[int | None, int], None] = lambda *_: None
        self._is_refusing = False
        self.newest = UNNUMBERED

    def subscribe(self, listener: Callable[[int, int], None]) -> None:
        """Register a callback for new generations.

        Args:
            listener: Called with the generation before and the new one. It must not
                block, as it is called while an answer is being read.
        """
        self._listeners.append(listener)

    def on_refused(self, callback: Callable[[int | None, int], None]) -> None:
        """Set the callback for refused answers.

        Args:
            callback: Called when answers begin to be refused, with their generation and
                the newest one.
        """
        self._on_refused = callback

    def accept(self, generation: int | None) -> bool:
        """Note the generation that an answer names; return whether it may be believed.

        An answer without a number is believed only as long as none had one.

        Args:
            generation: The number, None if the answer has none that can be read.
        """
        if generation is None and self.newest == UNNUMBERED:
            return True
        if generation is None or generation < self.newest:
            if not self._is_refusing:
                self._on_refused(generation, self.newest)
            self._is_refusing = True
            return False
        self._is_refusing = False
        if generation > self.newest:
            previous, self.newest = self.newest, generation
            for listener in self._listeners:
                listener(previous, generation)
        return True
