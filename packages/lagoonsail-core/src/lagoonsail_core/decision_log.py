"""Structured log lines on standard output, bounded in volume, that never block."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

LINES_PER_S = 400.0
"""Lines that are written in a second, on average."""
BURST_LINES = 800.0
"""Lines that may come at once."""


class DecisionLog:
    """Writes one JSON object for each decision.

    Lines beyond the bound, and lines that the reader of standard output is too slow
    for, are dropped and counted; the next line that is written says how many.
    """

    __slots__ = (
        "_allowance",
        "_clock",
        "_descriptor",
        "_refilled_ms",
        "_router",
        "dropped",
    )

    dropped: int
    """Lines that were not written."""

    def __init__(
        self, router: str, clock: Clock, descriptor: int | None = None
    ) -> None:
        self._router = router
        self._clock = clock
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._allowance = BURST_LINES
        self._refilled_ms = clock.now_ms()
        self.dropped = 0
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Write a line.

        Args:
            event: Stable name of the kind of decision.
            **fields: What it was about, what decided it, and the outcome.
        """
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._refilled_ms) / 1000.0 * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._refilled_ms = now_ms
        if self._allowance < 1.0:
            self.dropped += 1
            return
        self._allowance -= 1.0
        line = {"ms": round(now_ms, 1), "router": self._router, "event": event}
        line.update(fields)
        if self.dropped:
            line["lines_dropped"] = self.dropped
        self._write(json.dumps(line, separators=(",", ":")) + "\n")

    def _write(self, line: str) -> None:
        data = line.encode()
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            self.dropped += 1
            return
        # A line that is cut short is not taken up again: it would mix with the next.
        self.dropped = 0 if written == len(data) else self.dropped + 1
