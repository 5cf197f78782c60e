"""A router configured by the store of its platform: its parts, start and stop."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import logbook

from lagoonsail_core.decision_log import DecisionLog
from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.answer_forwarding import HISTOGRAMS as CALL_HISTOGRAMS
from lagoonsail_gateway.call_service import CallService
from lagoonsail_gateway.connection_pool import ConnectionPool
from lagoonsail_gateway.connection_quota import ConnectionQuota
from lagoonsail_gateway.crash_check import CrashCheck
from lagoonsail_gateway.digest import Digest
from lagoonsail_gateway.dispatcher import Dispatcher
from lagoonsail_gateway.fleet_counts import FleetCounts
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.peer_digests import ROUND_INTERVAL_MS, PeerDigests
from lagoonsail_gateway.rollout_control import RolloutControl
from lagoonsail_gateway.rollout_leader import RolloutLeader
from lagoonsail_gateway.server_directory import ServerDirectory
from lagoonsail_gateway.store_feed import HEARTBEAT_INTERVAL_MS, WatcherChoice
from lagoonsail_gateway.store_view import StoreView
from lagoonsail_overload.body_intake import BodyIntake
from lagoonsail_overload.descriptor_budget import (
    IDLE_SERVERS,
    SERVERS,
    DescriptorBudget,
)
from lagoonsail_overload.descriptor_metrics import declare_descriptor_metrics
from lagoonsail_overload.process_memory import make_byte_budget
from lagoonsail_router.context import (
    LEAVING,
    SERVING,
    RouterContext,
    run_periodic_steps,
    start_task,
)
from lagoonsail_router.descriptor_shedding import (
    CHECK_INTERVAL_MS,
    attach_ports,
    make_accept_report,
    make_descriptor_check,
)
from lagoonsail_router.http_server import listen, start_serving
from lagoonsail_router.open_connections import OpenConnections
from lagoonsail_router.port_limits import PortLimits
from lagoonsail_sharing.crash_suspects import CrashSuspects

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from lagoonsail_core.green import green_socket
    from lagoonsail_core.metrics import Metrics
    from lagoonsail_gateway.gateway_settings import GatewaySettings
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.request_format import RequestFormat
    from lagoonsail_gateway.rollout_records import RolloutStore
    from lagoonsail_gateway.server_directory import Server
    from lagoonsail_gateway.store_access import KeyFormat, StoreCalls
    from lagoonsail_rollout.exposure import ExposureBounds

COUNTERS = {
    "answers_not_buffered_total": "Answers passed on unfinished for want of memory.",
    "answers_total": "Answers passed on, by outcome.",
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
EXPIRY_CHECK_INTERVAL_MS = 200.0
"""Interval between checks for expired servers."""
MEMBERSHIP_RETRY_MS = 1000.0
"""Delay after a failed registration or lease renewal."""
IDLE_CHECK_INTERVAL_MS = 500.0
"""Interval between checks for idle connections to close."""
IDLE_TIMEOUT_MS = 20_000.0
"""Idle timeout of connections from callers."""
MAX_DIGEST_AGE_MS = 1000.0
"""Age of the last digest up to which connections are borrowed by what digests show."""
MIN_HEAD_BYTES = 4096
"""Least length of a request head that is accepted, whatever the manifest says."""
MIN_TIMEOUT_MS = 500.0
"""Least time for a head, or without progress of a body, whatever the manifest says."""
MAX_OPERATOR_CONNECTIONS = 64
"""Maximum number of connections from the load balancer or from metrics scrapers."""
BALANCER_REACTION_MS = 3000.0
"""Time until the load balancer detects that a router is no longer ready."""
STOP_MARGIN_MS = 700.0
"""Time between the last moment of a stop at which requests run, and the moment at which
the process would be killed."""
LAST_ANSWERS_MS = 400.0
"""Time within that in which callers of requests that still run get an answer."""
STOP_CHECK_INTERVAL_S = 0.02
"""Polling interval while waiting during a stop."""


class _DecisionLogHandler(logbook.Handler):
    """Writes warnings and errors of all parts to the decision log."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__(level=logbook.WARNING)
        self._log = log

    def emit(self, record: logbook.LogRecord) -> None:
        self._log.write_change(
            "failure",
            message=record.message,
            traceback=record.formatted_exception or "",
        )


class Gateway:
    """A router and its parts."""

    __slots__ = (
        "_callers_port",
        "_connection_quota",
        "_membership",
        "_metrics",
        "_operator_ports",
        "_settings",
        "_store_call_counts",
        "calls",
        "context",
        "counts",
        "crash_check",
        "descriptors",
        "digests",
        "directory",
        "dispatcher",
        "leader",
        "limits",
        "log",
        "pool",
        "rollouts",
        "routers",
        "view",
    )

    context: RouterContext
    """Clock, counters and timeline."""
    counts: FleetCounts
    """Counters that are summed over all routers."""
    descriptors: DescriptorBudget
    """File descriptors of the process."""
    directory: ServerDirectory
    """The backend servers."""
    limits: PortLimits
    """Limits on what connections may send, with the byte budget of the process."""
    view: StoreView
    """View of the store's content."""
    calls: CallService
    """Serves the callers."""

    def __init__(
        self,
        settings: GatewaySettings,
        request_format: RequestFormat,
        key_format: KeyFormat,
        store_calls: StoreCalls,
        membership: Callable[[], float | Unavailable],
        rollout_store: RolloutStore | None = None,
        store_call_counts: Mapping[str, int] | None = None,
    ) -> None:
        """Create and connect the parts without opening ports.

        Args:
            settings: Validated settings.
            request_format: Decodes and encodes heads.
            key_format: Decodes the store's keys and values.
            store_calls: Calls to the store.
            membership: Registers the router or renews its lease. Returns the
                milliseconds until the next call, or the reason of a failure.
            rollout_store: Keys and calls of roll-outs, None for a router without them.
            store_call_counts: Numbers of calls to the store by purpose.
        """
        context = self.context = RouterContext(settings)
        self._settings = settings
        self._membership = membership
        self._store_call_counts = {} if store_call_counts is None else store_call_counts
        self._callers_port: green_socket.socket | None = None
        self._metrics: Metrics | None = None
        self.log = DecisionLog(settings.name, context.clock)
        context.timeline.subscribe(
            lambda event: self.log.write_change(event.name, **event.fields)
        )
        _DecisionLogHandler(self.log).push_application()
        self.routers = FleetMembers(settings.name)
        self.counts = FleetCounts(context.clock)
        self.directory = ServerDirectory(context.clock, settings.max_change_delay_ms)
        budget = make_byte_budget(settings.memory_limit_bytes)
        self.limits = PortLimits(BodyIntake(budget, context.clock))
        self.descriptors = DescriptorBudget(context.clock, settings.max_descriptors)
        self.pool = ConnectionPool(
            context.clock,
            budget,
            self.descriptors,
        )
        self._connection_quota = ConnectionQuota(self.routers, self._others_running)
        self.pool.max_kept_to = self._connection_quota.max_kept_to
        self.pool.max_open_to = self._connection_quota.max_open_to
        self._operator_ports = [
            OpenConnections(MAX_OPERATOR_CONNECTIONS) for _ in range(2)
        ]
        self._register_descriptors()
        self.dispatcher = Dispatcher(
            context,
            self.directory,
            self.routers,
            self.counts,
            settings.failure_domain,
        )
        self.dispatcher.may_connect = self.pool.may_connect
        self.crash_check = CrashCheck(context, CrashSuspects(context.clock))
        self.calls = CallService(
            context,
            settings,
            request_format,
            self.dispatcher,
            self.pool,
            self.routers,
            self.crash_check,
            self.log,
        )
        self.digests = PeerDigests(
            context,
            self.routers,
            settings.failure_domain,
            self.dispatcher.recent_prompts,
            self.crash_check,
            self._make_digest,
            self._replace_digest,
            self.dispatcher.record_peer_prompt,
        )
        self.dispatcher.on_large_prompt(self.digests.schedule_early_send)
        self.directory.subscribe(self._on_server_change)
        self.view = StoreView(
            context,
            store_calls,
            key_format,
            self.directory,
            self.routers,
            self._apply_manifest,
            WatcherChoice(context.clock, self.routers, settings.failure_domain),
            self.digests.send_feed,
        )
        self.digests.on_feed(self.view.apply_feed)
        self.rollouts: RolloutControl | None = None
        self.leader: RolloutLeader | None = None
        if settings.exposure is not None and rollout_store is not None:
            self._add_rollouts(settings.exposure, rollout_store)

    def _add_rollouts(self, bounds: ExposureBounds, store: RolloutStore) -> None:
        self.rollouts = RolloutControl(
            self.context,
            bounds,
            store,
            self.directory,
            self.dispatcher,
            self.routers,
            self.counts,
        )
        self.leader = RolloutLeader(
            self.context, bounds, store, self.rollouts, self.routers
        )
        for prefix in self.rollouts.prefixes():
            self.view.subscribe(prefix, self.rollouts.apply_item)
        self.view.subscribe(store.leader_key, self.leader.apply_item)

    def start(self) -> None:
        """Open all ports and start all tasks.

        Raises:
            AddressInUseError: If a port is in use.
        """
        settings = self._settings
        callers = self._callers_port = listen(settings.callers_address)
        readiness = listen(settings.readiness_address)
        self._serve(callers, self.calls.serve, self.context.callers)
        self._serve(readiness, self._serve_readiness, self._operator_ports[0])
        metrics = listen(settings.metrics_address)
        self._serve(metrics, self._serve_metrics, self._operator_ports[1])
        self.digests.open(settings.digests_address)
        start_task(self.context, "digests", self.digests.receive)
        start_task(self.context, "store_view", self.view.run)
        start_task(self.context, "membership", self._keep_membership)
        if self.leader is not None:
            start_task(self.context, "rollout", self.leader.run)
        run_periodic_steps(
            self.context,
            [
                (ROUND_INTERVAL_MS, self._exchange_digests, "digests"),
                (EXPIRY_CHECK_INTERVAL_MS, self.directory.expire, "expiry"),
                (EXPIRY_CHECK_INTERVAL_MS, self.view.check_lag, "store_view"),
                (HEARTBEAT_INTERVAL_MS, self.view.send_heartbeat, "store_feed"),
                (IDLE_CHECK_INTERVAL_MS, self.pool.close_expired, "stale"),
                (
                    CHECK_INTERVAL_MS,
                    make_descriptor_check(self.context, self.descriptors),
                    "descriptors",
                ),
            ],
        )
        self.context.timeline.record(
            "started",
            incarnation=self.context.incarnation,
            callers=settings.callers_address,
        )

    def stop(self) -> None:
        """Stop as planned: close the port after a delay and let requests finish."""
        context = self.context
        started_ms = self.calls.stop_started_ms = context.clock.now_ms()
        deadline_ms = started_ms + self._settings.stop_timeout_ms - STOP_MARGIN_MS
        context.state = LEAVING
        context.timeline.record("leaving", running=context.callers.answering)
        # Until the load balancer reacts, callers still connect to this router.
        accept_until_ms = started_ms + BALANCER_REACTION_MS
        self._wait_while(lambda: True, min(accept_until_ms, deadline_ms))
        self._callers_port.close()
        self._wait_while(lambda: context.callers.answering, deadline_ms)
        unfinished = context.callers.answering
        self.calls.answer_running()
        self._wait_while(
            lambda: context.callers.answering, deadline_ms + LAST_ANSWERS_MS
        )
        context.timeline.record("stopped", unfinished=unfinished)

    def _wait_while(self, condition: Callable[[], object], deadline_ms: float) -> None:
        while condition() and self.context.clock.now_ms() < deadline_ms:
            eventlet.sleep(STOP_CHECK_INTERVAL_S)

    def _serve(
        self,
        sock: green_socket.socket,
        application: Callable,
        connections: OpenConnections,
    ) -> None:
        start_serving(
            sock,
            application,
            connections,
            IDLE_TIMEOUT_MS,
            lambda kind: self.context.count("problems_total", kind),
            self.calls.refuse,
            make_accept_report(self.context),
            self.limits,
        )

    def _others_running(self, server_id: str) -> int | None:
        """Return other routers' requests at a server, None without recent digests."""
        if self.routers.count() == 1:
            return 0
        age_ms = self.dispatcher.last_digest_age_ms()
        if age_ms is None or age_ms > MAX_DIGEST_AGE_MS:
            return None
        return self.dispatcher.states.others_running(server_id)

    def _register_descriptors(self) -> None:
        pool, budget = self.pool, self.descriptors
        budget.register(SERVERS, lambda: pool.open_count - pool.idle_count)
        budget.register(IDLE_SERVERS, lambda: pool.idle_count)
        budget.add_closer("idle_servers_closed", pool.close_oldest_idle)
        attach_ports(self.context, budget, self._operator_ports)

    def _apply_manifest(self, manifest: Manifest) -> None:
        self._connection_quota.apply_manifest(manifest)
        limits = manifest.limits
        self.limits.max_head_bytes = max(MIN_HEAD_BYTES, limits.max_head_bytes)
        self.limits.head_timeout_ms = max(MIN_TIMEOUT_MS, limits.head_timeout_ms)
        self.limits.intake.stall_ms = max(MIN_TIMEOUT_MS, limits.idle_timeout_ms)
        self.dispatcher.apply_manifest(manifest)
        self.calls.apply_manifest(manifest)
        if self.rollouts is not None:
            self.rollouts.apply_manifest(manifest)

    def _exchange_digests(self) -> None:
        self.dispatcher.update_speeds()
        self.dispatcher.starts.update()
        self.digests.send_round()
        self.dispatcher.update_shares()
        if self.rollouts is not None:
            self.rollouts.step()

    def _make_digest(self, number: int, sums_age_ms: float) -> Digest:
        return Digest(
            self._settings.name,
            self.context.incarnation,
            number,
            self.dispatcher.pending_by_server(),
            self.dispatcher.accounts.recent_sums(sums_age_ms),
            store_revision=self.view.revision or 0,
            counts=self.counts.own(),
        )

    def _replace_digest(self, previous: Digest | None, newest: Digest | None) -> None:
        self.dispatcher.replace_digest(previous, newest)
        self.counts.replace_peer(
            previous.counts if previous else {}, newest.counts if newest else {}
        )
        if newest is not None:
            self.view.update_peer_revision(newest.store_revision)

    def _on_server_change(self, kind: str, server: Server) -> None:
        if kind in ("left", "restarted"):
            self.pool.remove_server(server)

    def _keep_membership(self) -> None:
        mark_urgent()
        while True:
            delay_ms = self._membership()
            if isinstance(delay_ms, Unavailable):
                self.view.restart_silent_watch(delay_ms.reason)
                delay_ms = MEMBERSHIP_RETRY_MS
            # Jitter, because all routers of a fleet may have started at the same time.
            eventlet.sleep(delay_ms * random.uniform(0.75, 1.0) / 1000.0)

    def is_ready(self) -> bool:
        """Return whether the router is ready to serve callers."""
        return (
            self.view.manifest is not None
            and self.context.state == SERVING
            and self.context.callers.can_accept()
        )

    def _serve_readiness(self, env: dict, start_response: Callable) -> Iterable[bytes]:
        is_known = env["PATH_INFO"] == self._settings.readiness_path
        if not is_known:
            status = "404 Not Found"
        elif self.is_ready():
            status = "200 OK"
        else:
            status = "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def _serve_metrics(self, env: dict, start_response: Callable) -> Iterable[bytes]:
        if env["PATH_INFO"] != self._settings.metrics_path:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        if self._metrics is None:
            self._metrics = self._make_metrics()
        text = self._metrics.render()
        start_response(
            "200 OK",
            [("Content-Type", "text/plain"), ("Content-Length", str(len(text)))],
        )
        return [text]

    def _make_metrics(self) -> Metrics:
        # Imported on first use, because a slow start delays serving.
        from lagoonsail_core.metrics import Metrics
        from lagoonsail_router.memory_metrics import declare_memory_metrics

        metrics = Metrics()
        metrics.declare_all(
            COUNTERS,
            self.context.counts_of,
            HISTOGRAMS,
            self.calls.durations
            | {
                "first_part_late": self.dispatcher.speeds.lateness,
                "loop_late": self.context.loop_lateness.durations,
            },
        )
        metrics.observable_counter(
            "server_connections",
            "Connections to backend servers, opened anew and used again.",
            "kind",
            lambda: {"opened": self.pool.opened, "reused": self.pool.reused},
        )
        declare_memory_metrics(metrics, self.limits.intake)
        starting = metrics.gauge(
            "starting", "Backend servers in slow start.", "servers"
        )
        metrics.before_render(lambda: starting.set(self.dispatcher.starts.count()))
        declare_descriptor_metrics(metrics, self.descriptors)
        metrics.observable_counter(
            "store_calls",
            "Calls to the store, by purpose.",
            "purpose",
            lambda: self._store_call_counts,
        )
        return metrics
