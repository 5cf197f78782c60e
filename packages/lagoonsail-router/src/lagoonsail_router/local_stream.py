"""The stream from a router to itself, for the shards that it owns."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext


class LocalStream:
    """Delivers messages in order from a task of its own, never inside `send`."""

    __slots__ = (
        "_context",
        "_deliver",
        "_is_draining",
        "_queue",
        "incarnation",
        "name",
    )

    name: str
    """Name of this router."""
    incarnation: int
    """Incarnation of this router."""

    def __init__(
        self, context: RouterContext, deliver: Callable[[LocalStream, list], None]
    ) -> None:
        self._context = context
        self._deliver = deliver
        self._queue: deque = deque()
        self._is_draining = False
        self.name = context.settings.name
        self.incarnation = context.incarnation

    @property
    def remote_sent_ms(self) -> float:
        """Current monotonic time: the remote side is this router."""
        return self._context.clock.now_ms()

    def send(self, message: object) -> None:
        """Queue a message for delivery to this router."""
        self._queue.append(message)
        if self._is_draining:
            return
        self._is_draining = True
        eventlet.spawn_n(self._drain)

    def send_with_next_frame(self, message: object) -> None:
        """Queue a message for delivery; there are no frames to share locally."""
        self.send(message)

    def _drain(self) -> None:
        try:
            while self._queue:
                self._deliver_one(self._queue.popleft())
        finally:
            self._is_draining = False

    def _deliver_one(self, message: object) -> None:
        try:
            self._deliver(self, [message])
        except Exception:
            # A failing message must not block the ones after it.
            self._context.count("task_errors_total", "local_stream")
            self._context.logger.exception(
                "handling a local message failed; continuing with the next one"
            )
