"""Rate-limited structured log on standard output that never blocks."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

LINES_PER_S = 400.0
"""Sustained number of lines per second."""
BURST_LINES = 800.0
"""Largest number of lines in a burst."""
RESERVED_LINES = 200.0
"""Lines of a burst that requests leave to changes of what the router believes: under a
flood of requests these tell why they were decided as they were."""


class DecisionLog:
    """Writes one JSON object per line for each decision.

    Lines above the rate limit, and lines that do not fit into the output pipe because
    its reader is too slow, are dropped and counted. The next line that is written
    carries the number of dropped lines.
    """

    __slots__ = (
        "_available_lines",
        "_clock",
        "_descriptor",
        "_refilled_ms",
        "_router",
        "dropped",
    )

    dropped: int
    """Lines dropped since the last line that was written whole."""

    def __init__(
        self, router: str, clock: Clock, descriptor: int | None = None
    ) -> None:
        self._router = router
        self._clock = clock
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._available_lines = BURST_LINES
        self._refilled_ms = clock.now_ms()
        self.dropped = 0
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Write a line on a request, or drop it if the rate limit is exceeded.

        Args:
            event: Stable name of the kind of decision.
            **fields: Subject, reason and outcome of the decision, as JSON values.
        """
        self._write_above(RESERVED_LINES, event, fields)

    def write_change(self, event: str, **fields: object) -> None:
        """Write a line on a change of what the router believes, or on a failure.

        Args:
            event: Stable name of the kind of change.
            **fields: Subject, reason and outcome, as JSON values.
        """
        self._write_above(0.0, event, fields)

    def _write_above(
        self, reserved_lines: float, event: str, fields: dict[str, object]
    ) -> None:
        now_ms = self._clock.now_ms()
        refill_lines = (now_ms - self._refilled_ms) / 1000.0 * LINES_PER_S
        self._available_lines = min(BURST_LINES, self._available_lines + refill_lines)
        self._refilled_ms = now_ms
        if self._available_lines < reserved_lines + 1.0:
            self.dropped += 1
            return
        self._available_lines -= 1.0
        line = {"ms": round(now_ms, 1), "router": self._router, "event": event}
        line.update(fields)
        if self.dropped:
            line["lines_dropped"] = self.dropped
        self._write(json.dumps(line, separators=(",", ":")) + "\n")

    def _write(self, line: str) -> None:
        data = line.encode()
        try:
            written_bytes = os.write(self._descriptor, data)
        except OSError:
            self.dropped += 1
            return
        # The rest of a partial write is dropped: it would mix with the next line.
        self.dropped = 0 if written_bytes == len(data) else self.dropped + 1
