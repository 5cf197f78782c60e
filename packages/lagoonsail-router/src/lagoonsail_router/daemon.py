"""Assembles a router from its parts, starts it and stops it gracefully."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.green import eventlet
from lagoonsail_overload.body_intake import BodyIntake
from lagoonsail_overload.descriptor_budget import SERVERS, DescriptorBudget
from lagoonsail_overload.descriptor_metrics import declare_descriptor_metrics
from lagoonsail_overload.process_memory import make_byte_budget
from lagoonsail_router.admin import Admin, unready_reason
from lagoonsail_router.call_queue import CallQueue
from lagoonsail_router.configuration import Configuration
from lagoonsail_router.context import (
    RouterContext,
    run_periodic_steps,
    run_periodically,
    start_task,
)
from lagoonsail_router.descriptor_shedding import (
    CHECK_INTERVAL_MS,
    attach_ports,
    make_accept_report,
    make_descriptor_check,
)
from lagoonsail_router.entry import Entry
from lagoonsail_router.host_state import host_list_pause_ms, make_host_reader
from lagoonsail_router.http_server import start_serving
from lagoonsail_router.key_store import KeyStore
from lagoonsail_router.listening import listen
from lagoonsail_router.local_stream import LocalStream
from lagoonsail_router.memory_metrics import declare_memory_metrics
from lagoonsail_router.metrics import declare_gauges, make_metrics
from lagoonsail_router.open_connections import OpenConnections
from lagoonsail_router.ownership import Ownership
from lagoonsail_router.peers import PeerDirectory
from lagoonsail_router.planned_stop import PlannedStop
from lagoonsail_router.port_limits import PortLimits
from lagoonsail_router.right import RENEWALS_PER_TTL, Right
from lagoonsail_router.shard_messages import ShardMessages
from lagoonsail_router.slot_client import SlotClient
from lagoonsail_router.store_sync import StoreSync
from lagoonsail_store.host_list import HostList
from lagoonsail_store.store_client import StoreClient

if TYPE_CHECKING:
    from lagoonsail_config.settings import RouterSettings

OWNERSHIP_INTERVAL_MS = 100.0
"""Interval of checks of shard ownership."""
SLOT_CLIENT_INTERVAL_MS = 100.0
"""Interval of checks of the owners that calls wait for."""
POLL_INTERVAL_MS = 1000.0
"""Interval of reads of the backend servers' load reports."""
DIGEST_INTERVAL_MS = 1000.0
"""Interval of digests to the successors of an owner."""
ISOLATION_INTERVAL_MS = 300.0
"""Interval of checks of the right to act as an owner and of isolation."""
PEERS_INTERVAL_MS = 500.0
"""Interval of checks of which routers to dial."""
MAX_ADMIN_CONNECTIONS = 512
"""Connections of operators, balancers and others served at once on the admin port."""
ADMIN_IDLE_TIMEOUT_MS = 5000.0
"""How long a connection to the admin port may stay idle."""
CONFIGURATION_TIMEOUT_MS = 10_000.0
"""How long a starting router tries to obtain the configuration."""
MAX_BOOTSTRAP_PEERS = 8
"""Listed routers that a starting router dials without the key-value service."""


class StartError(LagoonsailError):
    """The router could not obtain the configuration at its start."""


class Daemon:
    """A router, assembled from its parts."""

    __slots__ = (
        "_admin_connections",
        "_gauges",
        "_host_list",
        "_last_contact_ms",
        "_listeners",
        "_local_stream",
        "_metrics",
        "_planned_stop",
        "_read_hosts",
        "_shard_messages",
        "_store",
        "_store_sync",
        "configuration",
        "context",
        "descriptors",
        "entry",
        "limits",
        "ownership",
        "peers",
        "right",
        "slot_client",
    )

    context: RouterContext
    """State shared by all parts."""
    configuration: Configuration
    """The newest known configuration."""
    descriptors: DescriptorBudget
    """File descriptors of the process."""
    peers: PeerDirectory
    """Streams to other routers."""
    right: Right
    """The right to act as an owner."""
    ownership: Ownership
    """The shards that this router owns."""
    slot_client: SlotClient
    """Requests slots for the calls that this router received."""
    entry: Entry
    """Serves callers."""
    limits: PortLimits
    """Limits on what callers may send, with the byte budget of the process."""

    def __init__(self, settings: RouterSettings) -> None:
        context = self.context = RouterContext(settings)
        budget = make_byte_budget(settings.memory_mb * 1e6)
        self.limits = PortLimits(BodyIntake(budget, context.clock))
        self.configuration = Configuration(context)
        self.peers = PeerDirectory(context, self.configuration)
        self._store = StoreClient(
            settings.store_endpoints, settings.store_timeout_ms, context.clock
        )
        host_list = self._host_list = HostList(
            settings.host_list_url, settings.store_timeout_ms, context.clock
        )
        self._store_sync = StoreSync(context, self._store, self.configuration)
        self.ownership = Ownership(
            context,
            self.configuration,
            self._store,
            lambda shard, epoch: self._shard_messages.make_owner(shard, epoch),
            lambda: self._store_sync.revision,
            self.peers.is_connected,
        )
        self.right = Right(
            context,
            self.configuration,
            self._store,
            host_list,
            self.peers,
            self.ownership.drop_all,
        )
        self.ownership.attach(self.right)
        self._local_stream = LocalStream(context, self.peers.dispatch)
        self.slot_client = SlotClient(
            context, self.configuration, self.peers, self._local_stream
        )
        queue = CallQueue(
            context, self.configuration, self.slot_client, self.is_isolated
        )
        self.entry = Entry(context, self.configuration, self.slot_client, queue, budget)
        self.descriptors = DescriptorBudget(context.clock, None)
        self._admin_connections = OpenConnections(MAX_ADMIN_CONNECTIONS)
        self.entry.descriptors = self.descriptors
        self.descriptors.register(SERVERS, lambda: len(self.entry.open_attempts))
        attach_ports(context, self.descriptors, [self._admin_connections])
        key_store = KeyStore(
            context,
            self._store,
            self.configuration,
            self.peers,
            self.right.report_store_failure,
        )
        self._shard_messages = ShardMessages(
            context,
            self.configuration,
            self.peers,
            self._local_stream,
            self.ownership,
            self.right,
            key_store,
        )
        self._planned_stop = PlannedStop(
            context, self.ownership, self.right, self.entry
        )
        self._read_hosts = make_host_reader(
            context, self.right, lambda: self._planned_stop.is_stopping
        )
        self._last_contact_ms = context.clock.now_ms()
        self._listeners: list = []
        self._metrics = make_metrics(self)
        self._gauges = declare_gauges(self._metrics)
        declare_memory_metrics(self._metrics, self.limits.intake)
        declare_descriptor_metrics(self._metrics, self.descriptors)

    # Health.

    def is_store_reachable(self) -> bool:
        """Return whether the router currently reaches the key-value service."""
        return self.right.has_recent_renewal()

    def _update_isolation(self) -> None:
        """Update the right and the isolation state even if no call queries them."""
        self.right.level()
        self.is_isolated()

    def is_isolated(self) -> bool:
        """Return whether service and peers were out of reach for `reject_after_ms`."""
        now_ms = self.context.clock.now_ms()
        if self.right.has_recent_renewal() or self.peers.has_streams():
            self._last_contact_ms = now_ms
        return now_ms - self._last_contact_ms > self.context.settings.reject_after_ms

    def unready_reason(self) -> str:
        """Return why callers should use another router, empty if this one is ready."""
        return unready_reason(self)

    def platform_counters(self) -> Counter:
        """Return the calls and bytes of the platform's services, by kind and result."""
        total = Counter(self._store.counters)
        for (kind, result), count in self._host_list.counters.items():
            total[f"hosts_{kind}", result] = count
        return total

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        self._gauges["running"](self.entry.running)
        self._gauges["waiting"](sum(self.entry.queue.waiting.values()))
        self._gauges["owned"](len(self.ownership.owned))
        self._gauges["known"](len(self.configuration.members))
        return self._metrics.render()

    # Start and stop.

    def start(self) -> None:
        """Open all ports and start all tasks.

        Raises:
            AddressInUseError: If the router cannot listen on an address.
            StartError: If neither the key-value service nor a peer provides the
                configuration.
        """
        settings = self.context.settings
        callers_socket = listen(settings.callers_address)
        admin_socket = listen(settings.admin_address)
        self._listeners = [callers_socket, admin_socket]
        self.peers.start()
        self._fetch_configuration()
        self._start_tasks()
        admin = Admin(self)
        count = self.context.count
        start_serving(
            callers_socket,
            self.entry.serve,
            self.context.callers,
            settings.stop_timeout_ms,
            lambda kind: count("problems_total", kind),
            self.entry.refuse,
            make_accept_report(self.context),
            self.limits,
        )
        start_serving(
            admin_socket,
            admin.serve,
            self._admin_connections,
            ADMIN_IDLE_TIMEOUT_MS,
            admin.count_refused,
            on_accept_failed=make_accept_report(self.context),
            limits=self.limits,
        )
        self.context.timeline.record("started", incarnation=self.context.incarnation)
        print(json.dumps({"event": "listening", "router": settings.name}), flush=True)

    def _fetch_configuration(self) -> None:
        deadline_ms = self.context.clock.now_ms() + CONFIGURATION_TIMEOUT_MS
        while self.context.clock.now_ms() < deadline_ms:
            if self._store_sync.list_once() or self.configuration.documents:
                return
            self._dial_listed_routers()
            eventlet.sleep(0.1)
        raise StartError(
            "neither the key-value service nor another router answered",
            "check endpoints in [store] of the settings and start the router again",
        )

    def _dial_listed_routers(self) -> None:
        self.right.read_hosts()
        hosts = sorted(self.right.router_hosts().items())
        for name, address in hosts[:MAX_BOOTSTRAP_PEERS]:
            self.peers.dial(name, address)

    def _start_tasks(self) -> None:
        context, settings = self.context, self.context.settings
        renew_ms = settings.lease_ttl_ms / RENEWALS_PER_TTL
        self.right.read_hosts()
        self.right.register()
        start_task(self.context, "store_sync", self._store_sync.run)
        run_periodically(context, renew_ms, self.right.renew, "renew")
        run_periodically(
            context, 500.0, self.right.renew_through_peers, "renew_by_peers"
        )
        run_periodically(context, 500.0, self.right.gather_promises, "promises")
        run_periodically(
            context, settings.host_list_poll_ms, self._poll_host_list, "host_list"
        )
        run_periodically(context, POLL_INTERVAL_MS, self._shard_messages.poll, "poll")
        run_periodic_steps(
            context,
            [
                (OWNERSHIP_INTERVAL_MS, self.ownership.reconcile, "ownership"),
                (SLOT_CLIENT_INTERVAL_MS, self.slot_client.update_attachments, "desk"),
                (PEERS_INTERVAL_MS, self.peers.update_links, "peers"),
                (DIGEST_INTERVAL_MS, self._shard_messages.send_digests, "digests"),
                (ISOLATION_INTERVAL_MS, self._update_isolation, "isolation"),
                (
                    CHECK_INTERVAL_MS,
                    make_descriptor_check(context, self.descriptors),
                    "descriptors",
                ),
            ],
        )

    def _poll_host_list(self) -> None:
        self._read_hosts()
        settings = self.context.settings
        pause_ms = host_list_pause_ms(
            len(self._host_list.hosts or []),
            settings.host_list_poll_ms,
            settings.host_list_max_lag_ms,
        )
        eventlet.sleep(pause_ms / 1000.0)

    def stop(self) -> None:
        """Stop gracefully: hand shards over and let the running calls end."""
        self._planned_stop.run(self._listeners[0].close)
        self.right.revoke()
        self.peers.stop()
        self.context.timeline.record("stopped", unfinished=self.entry.running)
