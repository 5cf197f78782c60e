"""Metrics of the file descriptors of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_core.metrics import Metrics
    from lagoonsail_overload.descriptor_budget import DescriptorBudget


def declare_descriptor_metrics(metrics: Metrics, budget: DescriptorBudget) -> None:
    """Declare the metrics of a budget.

    Args:
        metrics: The metrics of the process.
        budget: The budget.
    """
    metrics.observable_counter(
        "descriptor_actions",
        "What was done for want of file descriptors, by action.",
        "kind",
        lambda: budget.actions,
    )
    metrics.observable_gauge(
        "used", "File descriptors in use, by kind.", "descriptors", "kind", budget.use
    )
    free = metrics.gauge("free", "File descriptors that are left.", "descriptors")
    level = metrics.gauge(
        "shedding", "Level of load shedding by file descriptors, 0 for none.", "level"
    )

    def update() -> None:
        free.set(budget.free())
        level.set(int(budget.level()))

    metrics.before_render(update)
