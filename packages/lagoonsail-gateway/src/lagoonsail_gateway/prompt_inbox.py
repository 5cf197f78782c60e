"""Takes each prompt of other routers' digests once, and notices missed ones."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_gateway.digest import Digest

Source = tuple[str, int]
"""A list of prompts: name of the router, and kind of the digests that carry it."""


class PromptInbox:
    """Positions up to which the prompt lists of other routers have been taken."""

    __slots__ = ("_missed", "_positions")

    def __init__(self) -> None:
        self._positions: dict[Source, tuple[int, int]] = {}
        self._missed: dict[int, set[str]] = defaultdict(set)

    def take_new(
        self, digest: Digest, max_kept: int, *, wants_missed: bool
    ) -> list[bytes]:
        """Return the prompts of a digest that have not been taken before.

        Args:
            digest: The digest.
            max_kept: Number of prompts that its sender keeps.
            wants_missed: Whether prompts that are missing should be sent again, those
                from before the first digest of the sender too.
        """
        if not digest.prompt_count:
            return []
        source = (digest.router, digest.kind)
        missing = digest.prompt_count - self._position(
            digest, wants_missed=wants_missed
        )
        count = max(0, min(missing, len(digest.prompts)))
        if wants_missed and count < min(missing, max_kept):
            self._missed[digest.kind].add(digest.router)
        else:
            self._missed[digest.kind].discard(digest.router)
            self._positions[source] = (digest.incarnation, digest.prompt_count)
        return digest.prompts[len(digest.prompts) - count :]

    def missed(self, kind: int) -> list[str]:
        """Return the routers some of whose prompts were missed.

        Args:
            kind: Kind of their digests.
        """
        return list(self._missed[kind])

    def is_empty(self, kind: int) -> bool:
        """Return whether no prompts of digests of a kind have been taken.

        Args:
            kind: Kind of the digests.
        """
        return all(known_kind != kind for _, known_kind in self._positions)

    def forget(self, source: Source) -> None:
        """Forget a list, as its router has fallen silent."""
        self._positions.pop(source, None)
        self._missed[source[1]].discard(source[0])

    def _position(self, digest: Digest, *, wants_missed: bool) -> int:
        known = self._positions.get((digest.router, digest.kind))
        if known is not None:
            return known[1] if known[0] == digest.incarnation else 0
        return 0 if wants_missed else digest.prompt_count - len(digest.prompts)
