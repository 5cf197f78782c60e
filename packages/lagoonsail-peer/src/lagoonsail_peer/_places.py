"""Places for connections that have not proven yet who they are."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_core.green import eventlet

MAX_HANDSHAKES = 128
"""Handshakes at once; with one more the oldest is dropped."""
HANDSHAKE_MS = 1000.0
"""Longest time of a handshake, if the silence time is not shorter."""


class HandshakePlaces:
    """The handshakes that are under way, apart from the streams.

    Whoever proves itself needs a few milliseconds, so that the oldest handshake is
    the one least likely to succeed.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        # A dictionary keeps the order in which they came.
        self._tasks: dict[eventlet.greenthread.GreenThread, None] = {}

    def enter(self, task: eventlet.greenthread.GreenThread) -> bool:
        """Take a place, from the oldest handshake if there is no other.

        Args:
            task: The green thread of the handshake.

        Returns:
            Whether another handshake was dropped for it.
        """
        oldest = None
        if len(self._tasks) >= MAX_HANDSHAKES:
            oldest = next(iter(self._tasks))
            del self._tasks[oldest]
        self._tasks[task] = None
        if oldest is not None:
            oldest.kill()
        return oldest is not None

    def leave(self, task: eventlet.greenthread.GreenThread) -> None:
        """Give the place back.

        Args:
            task: The green thread of the handshake.
        """
        self._tasks.pop(task, None)
