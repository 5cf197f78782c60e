"""Which answers may be read on while those that are held use up their share.

Answers the load of many long answers that must be whole before they are passed on. An
answer that may not be read on holds back its server. The one that is held for longest
always goes on, so that the others cannot keep each other waiting for ever.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_overload.byte_budget import ANSWERS

if TYPE_CHECKING:
    from lagoonsail_overload.byte_budget import ByteBudget


class AnswerRoom:
    """The answers that are held, in the order in which they began.

    Example:
        >>> from lagoonsail_overload.byte_budget import ByteBudget
        >>> room = AnswerRoom(ByteBudget(1000))
        >>> room.hold("first", 100), room.hold("second", 100)
        (True, False)
        >>> room.hold("first", 100), room.may_go_on("second")
        (True, False)
        >>> room.release("first")
        >>> room.may_go_on("second")
        True
    """

    __slots__ = ("_budget", "_held_bytes")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._held_bytes: dict[object, int] = {}

    def hold(self, holder: object, size: int) -> bool:
        """Count bytes of an answer.

        Args:
            holder: Identifies the answer.
            size: Number of bytes.

        Returns:
            Whether it may be read on.
        """
        self._held_bytes[holder] = self._held_bytes.get(holder, 0) + size
        self._budget.add(ANSWERS, size)
        return self.may_go_on(holder)

    def may_go_on(self, holder: object) -> bool:
        """Return whether an answer may be read on.

        Args:
            holder: Identifies the answer.
        """
        is_first = next(iter(self._held_bytes), holder) == holder
        return is_first or self._budget.add(ANSWERS, 0)

    def release(self, holder: object) -> None:
        """Return the bytes of an answer to the budget; harmless if done already.

        Args:
            holder: Identifies the answer.
        """
        size = self._held_bytes.pop(holder, 0)
        if size:
            self._budget.remove(ANSWERS, size)
