"""The planned stop of a router: no request is cut, and its shards are handed over."""

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

UNWRITTEN_HANDOVER_MS = 2000.0
"""How long a planned stop tries to hand shards over without the service."""


class PlannedStop:
    """Lets the work of a router end, once."""

    __slots__ = (
        "_context",
        "_entry",
        "_ownership",
        "_right",
        "_stopped_ms",
        "is_begun",
    )

    is_begun: bool
    """Whether the router stops."""

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
        self._stopped_ms = float("-inf")
        self.is_begun = False

    def run(self, close_port: Callable[[], None]) -> None:
        """Hand shards over, and return when no call runs or the time is over.

        Args:
            close_port: Closes the port of the callers.
        """
        settings = self._context.settings
        deadline_ms = self._context.clock.now_ms() + settings.stop_timeout_ms
        self.is_begun = True
        self._stopped_ms = self._context.clock.now_ms()
        self._context.state = LEAVING
        self._context.timeline.record("leaving")
        self._right.write_state()
        self._wait_while(lambda: self._ownership.owned, self._handover_deadline_ms())
        # Callers and balancer notice with a lag; until then their calls are served.
        self._wait_while(lambda: not self._is_quiet(), deadline_ms)
        close_port()
        self._wait_while(lambda: self._entry.running, deadline_ms)

    def _is_quiet(self) -> bool:
        last_ms = max(self._entry.last_call_ms, self._stopped_ms)
        quiet_ms = self._context.clock.now_ms() - last_ms
        is_long = quiet_ms > self._context.settings.drain_lag_ms
        return is_long and not self._entry.running

    def _handover_deadline_ms(self) -> float:
        # Without the service no other router can take a shard over, so that a longer
        # wait would help nobody; the slots already granted stay valid.
        settings = self._context.settings
        wait_ms = settings.stop_timeout_ms / 2
        if not self._right.hears_store():
            wait_ms = min(wait_ms, UNWRITTEN_HANDOVER_MS)
        return self._context.clock.now_ms() + wait_ms

    def _wait_while(self, condition: Callable[[], object], deadline_ms: float) -> None:
        while condition() and self._context.clock.now_ms() < deadline_ms:
            eventlet.sleep(0.02)
