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
    "callers_gone_total": "Callers that disconnected before their answer.",
    "calls_total": "Calls accepted, by service.",
    "claim_conflicts_total": "Shard claims lost to another router.",
    "config_offers_total": "Configuration offers to peers with another digest.",
    "engine_orders_total": "Orders to engines, by outcome.",
    "engine_states_malformed_total": "Answers of engines without a valid state.",
    "grants_too_old_total": "Grants whose start window had passed.",
    "host_list_reads_failed_total": "Failed reads of the host list.",
    "key_log_conflicts_total": "Idempotency key writes that conflicted with another.",
    "key_log_malformed_total": "Idempotency key reads that found a malformed record.",
    "key_log_writes_total": "Idempotency key writes.",
    "key_notices_refused_total": "Idempotency key notices refused over the key limit.",
    "key_notices_total": "Idempotency key notices that the next owners confirmed.",
    "key_writes_for_peers_total": "Idempotency key writes done for peers.",
    "key_writes_through_peers_total": "Idempotency key writes done by peers.",
    "lease_renewals_failed_total": "Lease renewals that the service did not answer.",
    "lease_renewals_through_peers_total": "Lease renewals through a peer.",
    "load_reports_failed_total": "Load reports that could not be read.",
    "malformed_pushes_total": "Malformed configuration entries from peers.",
    "problems_total": "Problem documents sent to callers, by kind.",
    "records_from_peers_total": "Configuration records received from peers.",
    "records_rejected_total": "Malformed configuration records.",
    "refused_operators_total": "Refused admin requests, by reason.",
    "retries_total": "Retried calls, by service.",
    "slot_refusals_total": "Slot requests refused, by reason.",
    "slots_granted_total": "Slots granted.",
    "stale_listings_total": "Key-value service reads older than the known state.",
    "task_errors_total": "Unexpected errors in the router's tasks, by task.",
    "unexpected_messages_total": "Peer messages without a handler.",
    "unknown_slots_total": "Returned slots that the owner did not know.",
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
        "invariant_checks", "Invariant checks.", "kind", lambda: invariants.checks
    )
    metrics.observable_counter(
        "invariant_violations",
        "Violated invariants.",
        "kind",
        lambda: invariants.violations,
    )
    metrics.observable_counter(
        "peer",
        "Frames, messages, bytes and closures of streams to other routers.",
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
        "running": ("calls", "Calls accepted and not yet answered."),
        "waiting": ("calls", "Calls that wait for a slot."),
        "owned": ("shards", "Shards that this router owns."),
        "known": ("members", "Routers that hold a lease."),
    }
    return {
        name: metrics.gauge(name, doc, unit).set for name, (unit, doc) in names.items()
    }
