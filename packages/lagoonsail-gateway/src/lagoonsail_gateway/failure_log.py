"""Writes warnings and errors of all parts of a router to its decision log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from lagoonsail_core.decision_log import DecisionLog


class FailureLogHandler(logbook.Handler):
    """Writes a line for each warning and error that any part logs."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__(level=logbook.WARNING)
        self._log = log

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the line of a record.

        Args:
            record: The record.
        """
        self._log.write_change(
            "failure",
            message=record.message,
            traceback=record.formatted_exception or "",
        )
