"""Limit of connections that are not authenticated yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_core.green import eventlet

MAX_HANDSHAKES = 128
"""Maximum number of concurrent handshakes; one more evicts the oldest."""
HANDSHAKE_TIMEOUT_MS = 1000.0
"""Timeout of a handshake, unless the silence timeout is shorter."""


class PendingHandshakes:
    """Handshakes in progress, counted apart from the streams.

    A legitimate handshake takes a few milliseconds, so that the oldest one is the
    least likely to succeed.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        # A dictionary keeps the insertion order.
        self._tasks: dict[eventlet.greenthread.GreenThread, None] = {}

    def add(self, task: eventlet.greenthread.GreenThread) -> bool:
        """Add a handshake; at the limit the oldest one is killed.

        Args:
            task: The green thread of the handshake.

        Returns:
            Whether the oldest handshake was evicted.
        """
        oldest = None
        if len(self._tasks) >= MAX_HANDSHAKES:
            oldest = next(iter(self._tasks))
            del self._tasks[oldest]
        self._tasks[task] = None
        if oldest is not None:
            oldest.kill()
        return oldest is not None

    def remove(self, task: eventlet.greenthread.GreenThread) -> None:
        """Remove a handshake.

        Args:
            task: The green thread of the handshake.
        """
        self._tasks.pop(task, None)
