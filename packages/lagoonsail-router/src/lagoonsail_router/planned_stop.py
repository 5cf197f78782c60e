"""Graceful stop of a router: shards are handed over and requests run to their end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_router.context import LEAVING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.entry import Entry
    from lagoonsail_router.ownership import Ownership
    from lagoonsail_router.right import Right

STORELESS_HANDOVER_TIMEOUT_MS = 2000.0
"""How long a planned stop waits for handovers without the key-value service."""


class PlannedStop:
    """Drains a router once: hands over its shards, then waits for its calls."""

    __slots__ = (
        "_context",
        "_entry",
        "_ownership",
        "_right",
        "_stop_requested_ms",
        "is_stopping",
    )

    is_stopping: bool
    """Whether the router is stopping."""

    def __init__(
        self,
        context: RouterContext,
        ownership: Ownership,
        right: Right,
        entry: Entry,
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._right = right
        self._entry = entry
        self._stop_requested_ms = float("-inf")
        self.is_stopping = False

    def run(self, close_port: Callable[[], None]) -> None:
        """Hand shards over, and return when no call runs or the timeout has passed.

        Args:
            close_port: Closes the callers' port.
        """
        settings = self._context.settings
        deadline_ms = self._context.clock.now_ms() + settings.stop_timeout_ms
        self.is_stopping = True
        self._stop_requested_ms = self._context.clock.now_ms()
        self._context.state = LEAVING
        self._context.timeline.record("leaving")
        self._right.write_state()
        self._wait_while(lambda: self._ownership.owned, self._handover_deadline_ms())
        # Callers and balancer notice the stop late; their calls are served until then.
        self._wait_while(lambda: not self._is_drained(), deadline_ms)
        close_port()
        self._wait_while(self._is_serving, deadline_ms)

    def _is_drained(self) -> bool:
        last_ms = max(self._entry.last_call_ms, self._stop_requested_ms)
        idle_ms = self._context.clock.now_ms() - last_ms
        is_past_drain_lag = idle_ms > self._context.settings.drain_lag_ms
        return is_past_drain_lag and not self._is_serving()

    def _is_serving(self) -> bool:
        # An answer that is complete here may not be written to its caller yet.
        return bool(self._entry.running or self._context.callers.answering)

    def _handover_deadline_ms(self) -> float:
        # Without the key-value service no other router can take a shard over, so a
        # longer wait gains nothing; the slots already granted stay valid.
        settings = self._context.settings
        wait_ms = settings.stop_timeout_ms / 2
        if not self._right.has_recent_renewal():
            wait_ms = min(wait_ms, STORELESS_HANDOVER_TIMEOUT_MS)
        return self._context.clock.now_ms() + wait_ms

    def _wait_while(self, condition: Callable[[], object], deadline_ms: float) -> None:
        while condition() and self._context.clock.now_ms() < deadline_ms:
            eventlet.sleep(0.02)
