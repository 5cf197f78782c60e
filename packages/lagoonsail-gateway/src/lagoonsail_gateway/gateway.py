"""A router configured by the store of its platform: its parts, start and stop."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lagoonsail_core.decision_log import DecisionLog
from lagoonsail_gateway.call_service import CallService
from lagoonsail_gateway.cold_checks import ColdChecks
from lagoonsail_gateway.connection_pool import ConnectionPool
from lagoonsail_gateway.connection_quota import ConnectionQuota
from lagoonsail_gateway.crash_check import CrashCheck
from lagoonsail_gateway.digest import Digest
from lagoonsail_gateway.dispatcher import Dispatcher
from lagoonsail_gateway.failure_log import FailureLogHandler
from lagoonsail_gateway.fleet_counts import FleetCounts
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.gateway_metrics import make_metrics
from lagoonsail_gateway.gateway_stop import stop_as_planned
from lagoonsail_gateway.health_request import make_cold_request
from lagoonsail_gateway.membership import Membership
from lagoonsail_gateway.operator_answers import (
    make_metrics_application,
    make_readiness_application,
)
from lagoonsail_gateway.peer_digests import ROUND_INTERVAL_MS, PeerDigests
from lagoonsail_gateway.rollout_control import RolloutControl
from lagoonsail_gateway.rollout_leader import RolloutLeader
from lagoonsail_gateway.server_directory import ServerDirectory
from lagoonsail_gateway.store_access import NO_REVISION, StoreRevision
from lagoonsail_gateway.store_feed import HEARTBEAT_INTERVAL_MS, WatcherChoice
from lagoonsail_gateway.store_generation import UNNUMBERED
from lagoonsail_gateway.store_presence import StorePresence
from lagoonsail_gateway.store_view import StoreView
from lagoonsail_overload.body_intake import BodyIntake
from lagoonsail_overload.descriptor_budget import (
    IDLE_SERVERS,
    SERVERS,
    DescriptorBudget,
)
from lagoonsail_overload.process_memory import make_byte_budget
from lagoonsail_router.context import (
    SERVING,
    RouterContext,
    run_periodic_steps,
    start_later,
    start_task,
)
from lagoonsail_router.descriptor_shedding import (
    CHECK_INTERVAL_MS,
    attach_ports,
    make_accept_report,
    make_descriptor_check,
)
from lagoonsail_router.http_server import start_serving
from lagoonsail_router.listening import listen
from lagoonsail_router.open_connections import OpenConnections
from lagoonsail_router.port_limits import PortLimits
from lagoonsail_sharing.crash_suspects import CrashSuspects

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lagoonsail_core.green import green_socket
    from lagoonsail_core.metrics import Metrics
    from lagoonsail_gateway.gateway_settings import GatewaySettings
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.membership import Registration
    from lagoonsail_gateway.request_format import RequestFormat
    from lagoonsail_gateway.rollout_records import RolloutStore
    from lagoonsail_gateway.server_directory import Server
    from lagoonsail_gateway.store_access import KeyFormat, StoreCalls, StoreItem
    from lagoonsail_gateway.store_generation import StoreGeneration
    from lagoonsail_rollout.exposure import ExposureBounds

EXPIRY_CHECK_INTERVAL_MS = 200.0
"""Interval between checks for expired servers."""
IDLE_CHECK_INTERVAL_MS = 500.0
"""Interval between checks for idle connections to close."""
IDLE_TIMEOUT_MS = 20_000.0
"""Idle timeout of connections from callers."""
REGISTRATION_SPREAD_MS = 10.0
"""Time for each router over which all of them register again after a restore."""
MAX_DIGEST_AGE_MS = 1000.0
"""Age of the last digest up to which connections are borrowed by what digests show."""
MIN_HEAD_BYTES = 4096
"""Least length of a request head that is accepted, whatever the manifest says."""
MIN_TIMEOUT_MS = 500.0
"""Least time for a head, or without progress of a body, whatever the manifest says."""
MAX_OPERATOR_CONNECTIONS = 64
"""Maximum number of connections from the load balancer or from metrics scrapers."""


class Gateway:
    """A router and its parts."""

    __slots__ = (
        "_callers_port",
        "_connection_quota",
        "_membership",
        "_presence",
        "_operator_ports",
        "_settings",
        "_store_call_counts",
        "calls",
        "cold_checks",
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
        registration: Registration,
        store_generation: StoreGeneration,
        rollout_store: RolloutStore | None = None,
        store_call_counts: Mapping[str, int] | None = None,
    ) -> None:
        """Create and connect the parts without opening ports.

        Args:
            settings: Validated settings.
            request_format: Decodes and encodes heads.
            key_format: Decodes the store's keys and values.
            store_calls: Calls to the store.
            registration: Key of this router in the store.
            store_generation: The newest generation of the store, which these calls
                note.
            rollout_store: Keys and calls of roll-outs, None for a router without them.
            store_call_counts: Numbers of calls to the store by purpose.
        """
        context = self.context = RouterContext(settings)
        self._settings = settings
        self._store_call_counts = {} if store_call_counts is None else store_call_counts
        self._callers_port: green_socket.socket | None = None
        self.log = DecisionLog(settings.name, context.clock)
        context.timeline.subscribe(
            lambda event: self.log.write_change(event.name, **event.fields)
        )
        FailureLogHandler(self.log).push_application()
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
        self._follow_store(store_calls, key_format, registration, store_generation)
        self.cold_checks = self._make_cold_checks(request_format)
        self.rollouts: RolloutControl | None = None
        self.leader: RolloutLeader | None = None
        if settings.exposure is not None and rollout_store is not None:
            self._add_rollouts(settings.exposure, rollout_store, store_generation)

    def _follow_store(
        self,
        calls: StoreCalls,
        key_format: KeyFormat,
        registration: Registration,
        generation: StoreGeneration,
    ) -> None:
        self.view = StoreView(
            self.context,
            calls,
            key_format,
            self.directory,
            self.routers,
            self._apply_manifest,
            WatcherChoice(
                self.context.clock, self.routers, self._settings.failure_domain
            ),
            self.digests.send_feed,
        )
        self.digests.on_feed(self.view.apply_feed)
        self._presence = StorePresence(
            self.context,
            self.counts,
            self.routers,
            lambda: self._membership.renew_early(),
        )
        self.view.on_answer = self._presence.record_answer
        self._membership = Membership(
            registration, self._presence.record_answer, self.view.restart_silent_watch
        )
        self._follow_generations(generation, key_format)

    def _make_cold_checks(self, request_format: RequestFormat) -> ColdChecks:
        return ColdChecks(
            self.context,
            self.directory,
            self.dispatcher.states,
            self.routers,
            self.counts,
            self._presence,
            make_cold_request(self.context.clock, self.pool, request_format),
            lambda: not self._hears_others(),
            self.digests.schedule_early_send,
        )

    def _follow_generations(
        self, generation: StoreGeneration, key_format: KeyFormat
    ) -> None:
        timeline = self.context.timeline
        generation.on_refused(
            lambda answered, newest: timeline.record(
                "store_answer_refused", generation=answered, newest=newest
            )
        )
        generation.subscribe(self._on_store_generation)
        own_key = f"{key_format.router_prefix}{self._settings.name}"

        def register_if_gone(item: StoreItem, _earliest_ms: float | None) -> None:
            if item.key == own_key and item.value is None:
                self._membership.register_again()

        self.view.subscribe(own_key, register_if_gone)

    def _on_store_generation(self, previous: int, newest: int) -> None:
        self.context.timeline.record(
            "store_generation", generation=newest, previous=previous
        )
        if previous == UNNUMBERED:
            # The first answer, or a store that numbers its generations from now on.
            return
        self.view.update_peer_revision(StoreRevision(newest, 0))
        # All routers register again, which the store limits.
        delay_ms = random.uniform(0.0, REGISTRATION_SPREAD_MS * self.routers.count())
        start_later(self.context, "membership", delay_ms, self._membership.renew_early)

    def _add_rollouts(
        self,
        bounds: ExposureBounds,
        store: RolloutStore,
        generation: StoreGeneration,
    ) -> None:
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
            self.context, bounds, store, self.rollouts, self.routers, generation
        )
        for prefix in self.rollouts.prefixes():
            self.view.subscribe(prefix, self.rollouts.apply_item)
        self.view.subscribe(store.leader_key, self.leader.apply_item)

    def start(self) -> None:
        """Open all ports and start all tasks.

        Raises:
            AddressInUseError: If a port is in use.
        """
        self._open_ports()
        self._start_tasks()
        self._start_periodic_steps()
        self.context.timeline.record(
            "started",
            incarnation=self.context.incarnation,
            callers=self._settings.callers_address,
        )

    def _open_ports(self) -> None:
        settings = self._settings
        callers = self._callers_port = listen(settings.callers_address)
        readiness = listen(settings.readiness_address)
        self._serve(callers, self.calls.serve, self.context.callers)
        self._serve(
            readiness,
            make_readiness_application(settings.readiness_path, self.is_ready),
            self._operator_ports[0],
        )
        metrics = listen(settings.metrics_address)
        self._serve(
            metrics,
            make_metrics_application(settings.metrics_path, self._make_metrics),
            self._operator_ports[1],
        )
        self.digests.open(settings.digests_address)

    def _start_tasks(self) -> None:
        start_task(self.context, "digests", self.digests.receive)
        start_task(self.context, "store_view", self.view.run)
        start_task(self.context, "membership", self._membership.keep)
        if self.leader is not None:
            start_task(self.context, "rollout", self.leader.run)

    def _start_periodic_steps(self) -> None:
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

    def stop(self) -> None:
        """Stop as planned: close the port after a delay and let requests finish."""
        stop_as_planned(
            self.context,
            self.calls,
            self._callers_port,
            self._settings.stop_timeout_ms,
        )

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
            self._record_malformed_request,
            self.calls.refuse,
            make_accept_report(self.context),
            self.limits,
        )

    def _record_malformed_request(self, kind: str) -> None:
        self.context.count("problems_total", kind)
        self.log.write("request_malformed", kind=kind)

    def _others_running(self, server_id: str) -> int | None:
        """Return other routers' requests at a server, None without recent digests."""
        if self.routers.count() == 1:
            return 0
        if not self._hears_others():
            return None
        return self.dispatcher.states.others_running(server_id)

    def _hears_others(self) -> bool:
        age_ms = self.dispatcher.last_digest_age_ms()
        return age_ms is not None and age_ms <= MAX_DIGEST_AGE_MS

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
        self.cold_checks.apply_manifest(manifest)
        self.calls.apply_manifest(manifest)
        if self.rollouts is not None:
            self.rollouts.apply_manifest(manifest)

    def _exchange_digests(self) -> None:
        self.dispatcher.update_speeds()
        self.dispatcher.ended.update()
        self.dispatcher.starts.update()
        self.cold_checks.step()
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
            store_revision=self.view.revision or NO_REVISION,
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

    def is_ready(self) -> bool:
        """Return whether the router is ready to serve callers."""
        return (
            self.view.manifest is not None
            and self.context.state == SERVING
            and self.context.callers.can_accept()
        )

    def _make_metrics(self) -> Metrics:
        return make_metrics(
            self.context,
            self.calls.durations,
            self.dispatcher,
            self.pool,
            self.limits.intake,
            self.descriptors,
            self._store_call_counts,
        )
