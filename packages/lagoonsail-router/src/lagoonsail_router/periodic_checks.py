"""Periodic checks of many calls on one shared timer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_router.context import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext


class PeriodicChecks:
    """Runs the checks of all active calls one after the other at a fixed interval.

    A timer and a task switch per call would cost more than most checks. A check must
    not block.
    """

    __slots__ = (
        "_checks",
        "_context",
        "_interval_ms",
        "_is_running",
        "_last_check_id",
        "_name",
    )

    def __init__(self, context: RouterContext, name: str, interval_ms: float) -> None:
        self._context = context
        self._name = name
        self._interval_ms = interval_ms
        self._checks: dict[int, Callable[[], None]] = {}
        self._last_check_id = 0
        self._is_running = False

    def __len__(self) -> int:
        """Return the number of active checks."""
        return len(self._checks)

    def add(self, check: Callable[[], None]) -> Callable[[], None]:
        """Run a check at each interval from now on.

        Args:
            check: The check; an exception is counted and logged, and the check stays
                active.

        Returns:
            A function that removes the check, and may be called more than once.
        """
        self._last_check_id += 1
        check_id = self._last_check_id
        self._checks[check_id] = check
        if not self._is_running:
            self._is_running = True
            start_task(self._context, self._name, self._run)
        return lambda: self._checks.pop(check_id, None)

    def _run(self) -> None:
        while self._checks:
            eventlet.sleep(self._interval_ms / 1000.0)
            for check_id in list(self._checks):
                self._run_one(check_id)
        self._is_running = False

    def _run_one(self, check_id: int) -> None:
        check = self._checks.get(check_id)
        if check is None:
            # An earlier check of this round has removed it.
            return
        try:
            check()
        except Exception:
            self._context.count("task_errors_total", self._name)
            self._context.logger.exception("check {} failed", self._name)
