"""The router's metrics as Prometheus text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core import invariants

if TYPE_CHECKING:
    from lagoonsail_router.daemon import Daemon

PREFIX = "lagoonsail_"
"""Beginning of every metric name."""


def render_metrics(daemon: Daemon) -> bytes:
    """Return the metrics of a router.

    Args:
        daemon: The router.

    Returns:
        Prometheus text format.
    """
    samples = dict(daemon.context.counters)
    samples["running_calls", ""] = daemon.entry.running
    samples["waiting_calls", ""] = sum(daemon.entry.waiting.values())
    samples["owned_shards", ""] = len(daemon.ownership.owned)
    for kind, count in daemon.peers.counters().items():
        samples["peer_total", kind] = count
    for (kind, result), count in daemon.platform_counters().items():
        samples["platform_total", f"{kind}_{result}"] = count
    for name, count in invariants.checks.items():
        samples["invariant_checks_total", name] = count
    for name, count in invariants.violations.items():
        samples["invariant_violations_total", name] = count
    lines = [
        f'{PREFIX}{name}{{kind="{label}"}} {value}'
        if label
        else f"{PREFIX}{name} {value}"
        for (name, label), value in sorted(samples.items())
    ]
    return ("\n".join(lines) + "\n").encode()
