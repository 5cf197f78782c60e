"""Holds whole answers within the byte budget, which holds back their servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from lagoonsail_overload.answer_room import AnswerRoom

ANSWER_KEY = "lagoonsail.answer"
"""Key of the held answer in the WSGI environment; the port releases it."""
ROOM_CHECK_INTERVAL_S = 0.01
"""Interval of the checks of an answer that waits for room."""


class HeldAnswer:
    """The answer to one request."""

    __slots__ = ("_room",)

    def __init__(self, room: AnswerRoom) -> None:
        self._room = room

    def hold(self, size: int) -> None:
        """Count bytes of the answer, and wait until it may be read on.

        Args:
            size: Number of bytes.
        """
        may_go_on = self._room.hold(self, size)
        while not may_go_on:
            eventlet.sleep(ROOM_CHECK_INTERVAL_S)
            may_go_on = self._room.may_go_on(self)

    def finish(self) -> None:
        """Note that the answer is whole."""
        self._room.finish(self)

    def release(self) -> None:
        """Return the bytes of the answer to the budget."""
        self._room.release(self)
