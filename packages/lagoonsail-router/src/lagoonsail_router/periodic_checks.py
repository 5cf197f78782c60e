"""Checks of many calls at one interval, from one timer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_router.context import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext


class PeriodicChecks:
    """Runs the checks of the calls that are under way, one after the other.

    A timer and a switch for each call cost more than most checks do. A check must not
    wait for anything.
    """

    __slots__ = ("_checks", "_context", "_interval_ms", "_is_running", "_name", "_next")

    def __init__(self, context: RouterContext, name: str, interval_ms: float) -> None:
        self._context = context
        self._name = name
        self._interval_ms = interval_ms
        self._checks: dict[int, Callable[[], None]] = {}
        self._next = 0
        self._is_running = False

    def __len__(self) -> int:
        """Return the number of checks that run."""
        return len(self._checks)

    def add(self, check: Callable[[], None]) -> Callable[[], None]:
        """Run a check at each interval from now on.

        Args:
            check: The check; if it fails, that is counted and logged, and it goes on.

        Returns:
            A function that ends it, and may be called more than once.
        """
        self._next += 1
        number = self._next
        self._checks[number] = check
        if not self._is_running:
            self._is_running = True
            start_task(self._context, self._name, self._run)
        return lambda: self._checks.pop(number, None)

    def _run(self) -> None:
        while self._checks:
            eventlet.sleep(self._interval_ms / 1000.0)
            for number in list(self._checks):
                self._run_one(number)
        self._is_running = False

    def _run_one(self, number: int) -> None:
        check = self._checks.get(number)
        if check is None:
            # An earlier check of this round has ended it.
            return
        try:
            check()
        except Exception:
            self._context.count("task_errors_total", self._name)
            self._context.logger.exception("check {} failed", self._name)
