"""Metrics of the byte budget of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_overload.process_memory import resident_bytes

if TYPE_CHECKING:
    from lagoonsail_core.metrics import Metrics
    from lagoonsail_overload.body_intake import BodyIntake


def declare_memory_metrics(metrics: Metrics, intake: BodyIntake) -> None:
    """Declare gauges of the budget and its use, and counters of what it caused.

    Args:
        metrics: The metrics of the router.
        intake: The intake of the process, with its budget.
    """
    budget = intake.budget
    metrics.observable_gauge(
        "byte_budget_used",
        "Bytes of the budget in use, by kind.",
        "bytes",
        "kind",
        lambda: budget.used_by_kind,
    )
    metrics.observable_gauge(
        "memory",
        "Byte budget of the process, and its resident memory.",
        "bytes",
        "kind",
        lambda: {"budget": budget.max_bytes, "resident": resident_bytes()},
    )
    metrics.observable_counter(
        "bodies_not_held",
        "Bodies refused for want of memory, and silent ones given up for others.",
        "kind",
        lambda: {"refused": intake.refusals, "given_up": intake.evictions},
    )
