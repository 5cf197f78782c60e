"""The metrics of a router on the platform: names, help texts and sources."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_gateway.answer_forwarding import HISTOGRAMS as CALL_HISTOGRAMS
from lagoonsail_overload.descriptor_metrics import declare_descriptor_metrics

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonsail_core.durations import DurationHistogram
    from lagoonsail_core.metrics import Metrics
    from lagoonsail_gateway.connection_pool import ConnectionPool
    from lagoonsail_gateway.dispatcher import Dispatcher
    from lagoonsail_overload.body_intake import BodyIntake
    from lagoonsail_overload.descriptor_budget import DescriptorBudget
    from lagoonsail_router.context import RouterContext

COUNTERS = {
    "answers_not_buffered_total": "Answers passed on unfinished for want of memory.",
    "answers_total": "Answers passed on, by outcome.",
    "cold_checks_total": "Servers asked whether they are cold, by answer.",
    "digests_malformed_total": "Digests of other routers that could not be read.",
    "digests_not_sent_total": "Digests that could not be sent.",
    "digests_too_long_total": "Digests that fit into no datagram.",
    "load_reports_total": "Load reports of servers, with and without a slowdown.",
    "problems_total": "Refusals and problem documents, by kind.",
    "records_rejected_total": "Malformed entries of the store.",
    "repeats_refused_total": "Requests not sent once more for want of a share.",
    "retries_total": "Requests sent once more, by service.",
    "rollout_exposed_total": "Requests sent to the new version, by service.",
    "rollout_requests_total": "Requests during a roll-out, by service.",
    "rollout_writes_total": "Writes of roll-outs to the store, by outcome.",
    "store_feed_total": "Changes of the store learned from another router.",
    "server_refusals_total": "Requests for which a server had no room, by service.",
    "store_failures_total": "Calls to the store without an answer.",
    "store_restores_total": "Restores of the store from an older copy that were seen.",
    "start_held_total": "Requests kept from a server in slow start, by service.",
    "start_waived_total": "Requests beyond the limits of slow start, by service.",
    "task_errors_total": "Failures inside the router's tasks, by task.",
}
"""Help texts of the counters, by metric name."""
HISTOGRAMS = CALL_HISTOGRAMS | {
    "first_part_late": "Time by which the first part of an answer came too late.",
    "loop_late": "Time by which the event loop ran a task too late.",
}
"""Help texts of the duration histograms, by metric name."""


def make_metrics(
    context: RouterContext,
    call_durations: Mapping[str, DurationHistogram],
    dispatcher: Dispatcher,
    pool: ConnectionPool,
    intake: BodyIntake,
    descriptors: DescriptorBudget,
    store_call_counts: Mapping[str, int],
) -> Metrics:
    """Return the metrics of a router, which read their sources when rendered.

    Args:
        context: Clock and counters.
        call_durations: Histograms of answers, by metric name.
        dispatcher: Speeds and slow starts of servers.
        pool: Connections to servers.
        intake: Bodies, with the byte budget of the process.
        descriptors: File descriptors of the process.
        store_call_counts: Numbers of calls to the store by purpose.
    """
    # Imported on first use, because a slow start delays serving.
    from lagoonsail_core.metrics import Metrics
    from lagoonsail_router.memory_metrics import declare_memory_metrics

    metrics = Metrics()
    durations = {
        **call_durations,
        "first_part_late": dispatcher.speeds.lateness,
        "loop_late": context.loop_lateness.durations,
    }
    metrics.declare_all(COUNTERS, context.counts_of, HISTOGRAMS, durations)
    _declare_server_connections(metrics, pool)
    declare_memory_metrics(metrics, intake)
    _declare_slow_starts(metrics, dispatcher)
    declare_descriptor_metrics(metrics, descriptors)
    _declare_store_calls(metrics, store_call_counts)
    return metrics


def _declare_server_connections(metrics: Metrics, pool: ConnectionPool) -> None:
    metrics.observable_counter(
        "server_connections",
        "Connections to backend servers, opened anew and used again.",
        "kind",
        lambda: {"opened": pool.opened, "reused": pool.reused},
    )


def _declare_slow_starts(metrics: Metrics, dispatcher: Dispatcher) -> None:
    starting = metrics.gauge("starting", "Backend servers in slow start.", "servers")
    metrics.before_render(lambda: starting.set(dispatcher.starts.count()))


def _declare_store_calls(metrics: Metrics, counts: Mapping[str, int]) -> None:
    metrics.observable_counter(
        "store_calls", "Calls to the store, by purpose.", "purpose", lambda: counts
    )
