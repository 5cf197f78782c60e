"""The metrics of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core import invariants
from lagoonsail_core.metrics import Metrics
from lagoonsail_router.entry import HISTOGRAMS

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.daemon import Daemon

COUNTERS = {
    "attempts_total": "Requests sent to backend servers, by outcome.",
    "callers_gone_total": "Callers that closed their connection before an answer.",
    "calls_total": "Calls taken, by service.",
    "claim_conflicts_total": "Claims of a shard that another router won.",
    "config_offers_total": "Offers of configuration to peers with another digest.",
    "engine_orders_total": "Orders to engines, by what came of them.",
    "engine_states_malformed_total": "Engines that do not tell what they have loaded.",
    "grants_too_old_total": "Grants that came after their start window.",
    "host_list_reads_failed_total": "Failed reads of the host list.",
    "key_log_conflicts_total": "Writes of idempotency keys that met another writer.",
    "key_log_malformed_total": "Reads of idempotency keys that met a malformed record.",
    "key_log_writes_total": "Writes of idempotency keys.",
    "key_notices_refused_total": "Notices of keys refused because too many are held.",
    "key_notices_total": "Notices of keys to the next owners, without the service.",
    "key_writes_for_peers_total": "Writes of idempotency keys done for others.",
    "key_writes_through_peers_total": "Writes of idempotency keys done by others.",
    "lease_renewals_failed_total": "Lease renewals that the service did not answer.",
    "lease_renewals_through_peers_total": "Lease renewals through a peer.",
    "load_reports_failed_total": "Load reports that could not be read.",
    "malformed_pushes_total": "Malformed entries of configuration from peers.",
    "problems_total": "Problem documents sent to callers, by kind.",
    "records_from_peers_total": "Records of configuration learned from peers.",
    "records_rejected_total": "Malformed records of configuration.",
    "refused_operators_total": "Operators' requests that were refused, by reason.",
    "retries_total": "Calls sent again, by service.",
    "slot_refusals_total": "Slot requests refused, by reason.",
    "slots_granted_total": "Slots granted.",
    "stale_listings_total": "Reads of the service older than what was known.",
    "task_errors_total": "Failures inside the router's tasks, by task.",
    "unexpected_messages_total": "Messages that no part of the router handles.",
    "unknown_slots_total": "Slots given back that the owner did not know.",
}
"""Help texts of the counters, by name."""


def make_metrics(daemon: Daemon) -> Metrics:
    """Declare the counters and histograms of a router.

    Args:
        daemon: The router.

    Returns:
        Metrics that read the router's values when they are rendered.
    """
    metrics = Metrics()
    metrics.declare_all(
        COUNTERS, daemon.context.counts_of, HISTOGRAMS, daemon.entry.durations
    )
    metrics.observable_counter(
        "invariant_checks", "Checks of invariants.", "kind", lambda: invariants.checks
    )
    metrics.observable_counter(
        "invariant_violations",
        "Invariants that did not hold.",
        "kind",
        lambda: invariants.violations,
    )
    metrics.observable_counter(
        "peer",
        "Frames, messages and bytes on streams to other routers, and their ends.",
        "kind",
        daemon.peers.counters,
    )
    metrics.observable_counter(
        "platform",
        "Calls and bytes at the key-value service and the host list, by kind.",
        "kind",
        lambda: {"_".join(key): n for key, n in daemon.platform_counters().items()},
    )
    return metrics


def declare_gauges(metrics: Metrics) -> dict[str, Callable[[float], None]]:
    """Declare the gauges of a router.

    Args:
        metrics: The metrics of the router.

    Returns:
        Functions that set each gauge, by name.
    """
    names = {
        "running": ("calls", "Calls taken and not yet answered."),
        "waiting": ("calls", "Calls that wait for a slot."),
        "owned": ("shards", "Shards that this router owns."),
        "known": ("members", "Routers that hold a lease."),
    }
    return {
        name: metrics.gauge(name, doc, unit).set for name, (unit, doc) in names.items()
    }
