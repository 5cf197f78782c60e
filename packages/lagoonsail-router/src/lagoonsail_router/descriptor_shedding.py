"""Connects the budget of file descriptors to a router: ports, checks, log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_overload.descriptor_budget import CALLERS, OPERATORS
from lagoonsail_overload.descriptor_levels import LEVEL_NAMES

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_overload.descriptor_budget import DescriptorBudget
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.open_connections import OpenConnections

CHECK_INTERVAL_MS = 200.0
"""Interval at which idle connections are closed and the level is logged."""


def attach_ports(
    context: RouterContext,
    budget: DescriptorBudget,
    operator_ports: list[OpenConnections],
) -> None:
    """Let a budget bound the connections of callers.

    Operators' ports are served from the reserve, so that the router can be observed.

    Args:
        context: The router's shared state.
        budget: The budget; functions that close idle connections to servers have been
            added before, since those are closed first.
        operator_ports: Connections of the ports for operators and the load balancer.
    """
    callers = context.callers
    callers.budget = budget
    budget.register(CALLERS, lambda: len(callers.open))
    budget.register(OPERATORS, lambda: sum(len(port.open) for port in operator_ports))
    budget.add_closer(
        "idle_callers_closed",
        lambda count: callers.close_idle(count, context.clock.now_ms()),
    )


def make_descriptor_check(
    context: RouterContext, budget: DescriptorBudget
) -> Callable[[], None]:
    """Return a periodic step that closes idle connections and logs the level.

    Args:
        context: The router's shared state.
        budget: The budget.
    """

    def check() -> None:
        budget.refresh()
        budget.shed_idle()
        level = budget.changed_level()
        if level is not None:
            context.timeline.record(
                "descriptor_level",
                level=LEVEL_NAMES[level],
                free=budget.free(),
                limit=budget.limit,
                **budget.use(),
            )

    return check


def make_accept_report(context: RouterContext) -> Callable[[str, int], None]:
    """Return a function that logs failures to accept connections.

    Args:
        context: The router's shared state.
    """

    def report(reason: str, count: int) -> None:
        context.timeline.record("accept_failed", reason=reason, count=count)

    return report
