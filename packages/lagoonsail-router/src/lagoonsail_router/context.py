"""State that all parts of a router share: settings, clock, counters and timeline."""

from __future__ import annotations

import secrets
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from logbook import Logger

from lagoonsail_core.clock import Clock
from lagoonsail_core.events import Timeline
from lagoonsail_core.green import eventlet
from lagoonsail_router.loop_lateness import LoopLateness
from lagoonsail_router.open_connections import OpenConnections

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.settings import RouterSettings
    from lagoonsail_router.problems import CallProblem

SERVING = "serving"
"""State of a router that accepts new work."""
LEAVING = "leaving"
"""State of a router during its planned stop."""

INCARNATION_RANDOM_BITS = 16
"""Random low bits of an incarnation number; the high bits are the start time in ms."""


def make_incarnation(clock: Clock) -> int:
    """Return a number that is unique to each start of a router and grows over time."""
    start_ms = int(clock.wall_ms())
    return start_ms << INCARNATION_RANDOM_BITS | secrets.randbits(
        INCARNATION_RANDOM_BITS
    )


class RouterContext:
    """State that is shared by all modules of a router."""

    __slots__ = (
        "callers",
        "clock",
        "counters",
        "incarnation",
        "logger",
        "loop_lateness",
        "settings",
        "state",
        "timeline",
    )

    settings: RouterSettings
    """Validated settings of this router."""
    callers: OpenConnections
    """Open connections of callers."""
    clock: Clock
    """Clock of this router."""
    incarnation: int
    """Number that is unique to each start."""
    loop_lateness: LoopLateness
    """How late the event loop is; measured by the periodic steps."""
    timeline: Timeline
    """State changes, for operators."""
    counters: Counter
    """Counter values by (name, label)."""
    state: str
    """SERVING or LEAVING."""

    def __init__(self, settings: RouterSettings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.callers = OpenConnections(settings.max_connections)
        self.clock = clock or Clock()
        self.incarnation = make_incarnation(self.clock)
        self.timeline = Timeline(settings.name, self.clock)
        self.loop_lateness = LoopLateness(self.clock, self.timeline)
        self.counters = Counter()
        self.logger = Logger("lagoonsail")
        self.state = SERVING
        self.timeline.subscribe(self._log_event)

    def _log_event(self, event) -> None:
        details = " ".join(f"{key}={value}" for key, value in event.fields.items())
        self.logger.info("{}", details, extra={"event": event.name})

    def add_connection_close(
        self, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Add `Connection: close` while leaving or near the connection limit.

        Args:
            headers: The headers of a response, which are changed in place.

        Returns:
            The same headers.
        """
        if self.state == LEAVING or self.callers.is_crowded():
            headers.append(("Connection", "close"))
        return headers

    def respond_with_problem(
        self, problem: CallProblem, request_id: str, start_response: Callable
    ) -> list[bytes]:
        """Count a problem and respond with its document, as a WSGI application.

        Args:
            problem: Problem to report to the caller.
            request_id: ID of the request, empty if it has none.
            start_response: WSGI callable that starts the response.

        Returns:
            The body.
        """
        self.count("problems_total", problem.kind)
        body = problem.body(request_id)
        headers = self.add_connection_close(problem.headers(request_id, body))
        start_response(problem.status_line(), headers)
        return [body]

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Add to a counter.

        Args:
            name: Metric name without prefix.
            label: Value of the metric's label, from a bounded set.
            amount: Amount to add.
        """
        self.counters[name, label] += amount

    def counts_of(self, name: str) -> dict[str, float]:
        """Return the values of a counter by label, `all` for an empty label.

        Args:
            name: Metric name without prefix.
        """
        values: dict[str, float] = defaultdict(float)
        for (counter, label), value in self.counters.items():
            if counter == name:
                values[label or "all"] += value
        return values


def start_task(
    context: RouterContext, name: str, function: Callable, *arguments: object
) -> None:
    """Run a function in a task of its own; count and log an exception.

    Args:
        context: The router's shared state.
        name: Name of the task in metrics and logs.
        function: Function to run.
        *arguments: Arguments of the function.
    """
    eventlet.spawn_n(_run_guarded, context, name, function, *arguments)


def start_later(
    context: RouterContext, name: str, delay_ms: float, function: Callable[[], None]
) -> None:
    """Run a function after a delay; count and log an exception."""
    eventlet.spawn_after(delay_ms / 1000.0, _run_guarded, context, name, function)


def _run_guarded(
    context: RouterContext, name: str, function: Callable, *arguments: object
) -> None:
    try:
        function(*arguments)
    except Exception:
        context.count("task_errors_total", name)
        context.logger.exception("task {} failed", name)


def run_periodic_steps(
    context: RouterContext, steps: list[tuple[float, Callable[[], None], str]]
) -> None:
    """Run several short steps in one task, each at its own interval.

    The steps share one timer, as waking an idle process costs more than a step does. A
    step must not block; one that does needs a task of its own (`run_periodically`).

    Args:
        context: The router's shared state.
        steps: Interval in milliseconds, function and task name of each step.
    """
    # By position, because steps may share a task name.
    due_ms = [context.clock.now_ms()] * len(steps)
    shortest_ms = min(interval_ms for interval_ms, _, _ in steps)

    def loop() -> None:
        while True:
            now_ms = context.clock.now_ms()
            for index, (interval_ms, step, name) in enumerate(steps):
                if now_ms >= due_ms[index]:
                    due_ms[index] = now_ms + interval_ms - shortest_ms / 2
                    _run_guarded(context, name, step)
            slept_ms = context.clock.now_ms()
            eventlet.sleep(shortest_ms / 1000.0)
            late_ms = context.clock.now_ms() - slept_ms - shortest_ms
            context.loop_lateness.record(late_ms)

    eventlet.spawn_n(loop)


def run_periodically(
    context: RouterContext, interval_ms: float, step: Callable[[], None], name: str
) -> None:
    """Run a step periodically in a task of its own.

    An exception is counted and logged, and the step runs again after the interval.

    Args:
        context: The router's shared state.
        interval_ms: Time between the end of a run and the start of the next.
        step: Function to run.
        name: Name of the task in metrics and logs.
    """

    def loop() -> None:
        while True:
            _run_guarded(context, name, step)
            eventlet.sleep(interval_ms / 1000.0)

    eventlet.spawn_n(loop)
