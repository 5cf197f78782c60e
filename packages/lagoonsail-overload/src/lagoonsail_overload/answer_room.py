"""Which answers may be read further while those that are held use up their share.

Protects against many long answers that must be whole before they are passed on. An
answer that may not be read further holds back its server. The oldest one that is still
being read always goes on, so that answers cannot keep each other waiting for ever, nor
callers that do not read theirs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_overload.byte_budget import ANSWERS, SHORT_BODY_BYTES

if TYPE_CHECKING:
    from lagoonsail_overload.byte_budget import ByteBudget


class AnswerRoom:
    """The answers that are held, in the order in which they began.

    Example:
        >>> from lagoonsail_overload.byte_budget import ByteBudget
        >>> room = AnswerRoom(ByteBudget(1_000_000))
        >>> room.hold("first", 100_000), room.hold("second", 100_000)
        (True, False)
        >>> room.hold("first", 100_000), room.may_go_on("second")
        (True, False)
        >>> room.hold("short", 1000)
        True
        >>> room.finish("first")
        >>> room.may_go_on("second")
        True
    """

    __slots__ = ("_budget", "_finished", "_held_bytes")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._finished: set[object] = set()
        self._held_bytes: dict[object, int] = {}

    def hold(self, holder: object, size: int) -> bool:
        """Count bytes of an answer.

        Args:
            holder: Identifies the answer.
            size: Number of bytes.

        Returns:
            Whether it may be read further.
        """
        self._held_bytes[holder] = self._held_bytes.get(holder, 0) + size
        self._budget.add(ANSWERS, size)
        return self.may_go_on(holder)

    def may_go_on(self, holder: object) -> bool:
        """Return whether an answer may be read further.

        Args:
            holder: Identifies the answer.
        """
        if self._held_bytes.get(holder, 0) <= SHORT_BODY_BYTES:
            return True
        if self._budget.may_hold_more(ANSWERS):
            return True
        unfinished = (
            other for other in self._held_bytes if other not in self._finished
        )
        return next(unfinished, holder) == holder

    def finish(self, holder: object) -> None:
        """Note that an answer is whole; its bytes count until they are released.

        Args:
            holder: Identifies the answer.
        """
        if holder in self._held_bytes:
            self._finished.add(holder)

    def release(self, holder: object) -> None:
        """Return the bytes of an answer to the budget; harmless if done already.

        Args:
            holder: Identifies the answer.
        """
        self._finished.discard(holder)
        size = self._held_bytes.pop(holder, 0)
        if size:
            self._budget.remove(ANSWERS, size)
