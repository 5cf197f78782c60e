"""One router: its parts, put together, and its start and planned stop."""

from __future__ import annotations

import errno
import json
from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.messages import (
    REFUSED_NOT_OWNER,
    Inventory,
    InventoryTaken,
    KeysNoted,
    SlotCancel,
    SlotDone,
    SlotProgress,
    SlotRefusal,
    SlotRequest,
    SlotStart,
)
from lagoonsail_core.names import service_of
from lagoonsail_router.admin import Admin, unready_reason
from lagoonsail_router.configuration import DOCUMENTS, Configuration
from lagoonsail_router.context import (
    LEAVING,
    SERVING,
    RouterContext,
    repeat,
    run_in_turn,
    start_task,
)
from lagoonsail_router.digests import DigestStore, choose_in_turn
from lagoonsail_router.entry import Entry
from lagoonsail_router.http_port import make_protocol
from lagoonsail_router.key_log import KeyNotices
from lagoonsail_router.key_store import KeyStore
from lagoonsail_router.local_stream import LocalStream
from lagoonsail_router.metrics import declare_gauges, make_metrics
from lagoonsail_router.ownership import Ownership
from lagoonsail_router.peers import PeerDirectory
from lagoonsail_router.right import RENEWALS_PER_TTL, Right
from lagoonsail_router.shard_owner import ShardOwner
from lagoonsail_router.store_sync import StoreSync
from lagoonsail_router.ticket_desk import TicketDesk
from lagoonsail_store.host_list import HostList
from lagoonsail_store.store_client import StoreClient

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_config.settings import RouterSettings
    from lagoonsail_core.messages import ServiceDigest

OWNERSHIP_INTERVAL_MS = 100.0
"""Time between two looks at who owns what."""
DESK_INTERVAL_MS = 100.0
"""Time between two looks at the owners that calls wait for."""
POLL_INTERVAL_MS = 1000.0
"""Time between two reads of the backend servers' load reports."""
DIGEST_INTERVAL_MS = 1000.0
"""Time between two digests to the successors of an owner."""
ISOLATION_INTERVAL_MS = 300.0
"""Time between two looks at the right and at whether anybody is heard."""
PEERS_INTERVAL_MS = 500.0
"""Time between two looks at which routers to dial."""
UNWRITTEN_HANDOVER_MS = 2000.0
"""How long a planned stop tries to hand shards over without the service."""
HOST_READ_MS = 10.0
"""Time between two reads of the host list for each host in it."""
HOST_LIST_AGE_PART = 0.3
"""Longest such time, as a part of the age up to which the list may be relied upon."""
MAX_ADMIN_CONNECTIONS = 512
"""Connections of operators, balancers and whoever else reaches that port."""
ADMIN_SILENCE_MS = 5000.0
"""How long such a connection may be silent."""
BACKLOG = 1024
"""Connections that wait to be accepted."""
LEARNING_MS = 10_000.0
"""How long a starting router tries to learn the configuration."""
BOOTSTRAP_PEERS = 8
"""Routers of the host list that a starting router dials without the service."""


def host_list_pause_ms(hosts: int, poll_ms: float, max_lag_ms: float) -> float:
    """Return how much longer than usual to wait after a host list was read.

    The bytes of one read grow with the list, so a long list is read more seldom, but
    often enough that what is known of it is not too old.

    Args:
        hosts: Hosts in the list.
        poll_ms: Usual time between two reads.
        max_lag_ms: Age above which the list may not be relied upon.

    Returns:
        Milliseconds to wait beyond the usual time.

    Example:
        >>> [host_list_pause_ms(hosts, 1000.0, 10_000.0) for hosts in (100, 200, 900)]
        [0.0, 1000.0, 2000.0]
    """
    interval_ms = min(hosts * HOST_READ_MS, max_lag_ms * HOST_LIST_AGE_PART)
    return max(0.0, interval_ms - poll_ms)


class AddressInUseError(LagoonsailError):
    """An address of the settings cannot be listened on."""


class StartError(LagoonsailError):
    """The router cannot learn the configuration at its start."""


def _listen(address: str) -> green_socket.socket:
    host, port = address.rsplit(":", 1)
    sock = green_socket.socket()
    sock.setsockopt(green_socket.SOL_SOCKET, green_socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError as error:
        what = "in use" if error.errno == errno.EADDRINUSE else str(error)
        raise AddressInUseError(
            f"cannot listen on {address}: {what}",
            "free the address or choose another in [listen] of the settings",
        ) from error
    sock.listen(BACKLOG)
    return sock


class Daemon:
    """A router with all its parts."""

    __slots__ = (
        "_digest_turn",
        "_digests",
        "_heard_ms",
        "_host_list",
        "_is_stopping",
        "_stopped_ms",
        "_key_notices",
        "_key_store",
        "_listeners",
        "_gauges",
        "_local_stream",
        "_metrics",
        "_store",
        "_sync",
        "configuration",
        "context",
        "desk",
        "entry",
        "ownership",
        "peers",
        "right",
    )

    context: RouterContext
    """What all parts share."""
    configuration: Configuration
    """The newest configuration seen."""
    peers: PeerDirectory
    """Streams to other routers."""
    right: Right
    """The right to act as an owner."""
    ownership: Ownership
    """The shards that this router owns."""
    desk: TicketDesk
    """Slots for the calls that came in here."""
    entry: Entry
    """The callers' side."""

    def __init__(self, settings: RouterSettings) -> None:
        context = self.context = RouterContext(settings)
        self.configuration = Configuration(context)
        self.peers = PeerDirectory(context, self.configuration)
        self._store = StoreClient(
            settings.store_endpoints, settings.store_timeout_ms, context.clock
        )
        host_list = self._host_list = HostList(
            settings.host_list_url, settings.store_timeout_ms, context.clock
        )
        self._sync = StoreSync(context, self._store, self.configuration)
        self.ownership = Ownership(
            context,
            self.configuration,
            self._store,
            self._make_owner,
            lambda: self._sync.revision,
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
        self.desk = TicketDesk(
            context, self.configuration, self.peers, self._local_stream
        )
        self.entry = Entry(context, self.configuration, self.desk, self.is_isolated)
        self._digest_turn = 0
        self._digests = DigestStore(self.peers, self._on_digest)
        self._key_notices = KeyNotices(context, self.peers)
        self._key_store = KeyStore(context, self._store, self.configuration, self.peers)
        self._is_stopping = False
        self._stopped_ms = float("-inf")
        self._heard_ms = context.clock.now_ms()
        self._listeners: list = []
        self._metrics = make_metrics(self)
        self._gauges = declare_gauges(self._metrics)
        self._register_handlers()
        self.configuration.subscribe(self._on_record)

    def _register_handlers(self) -> None:
        self.peers.handle(Inventory, self._take_inventory)
        self.peers.handle(SlotRequest, self._take_request)
        self.peers.handle(SlotCancel, self._take_cancel)
        self.peers.handle(SlotStart, self._to_owner(ShardOwner.take_start))
        self.peers.handle(SlotProgress, self._to_owner(ShardOwner.take_progress))
        self.peers.handle(SlotDone, self._to_owner(ShardOwner.take_done))
        self.peers.handle(KeysNoted, self._take_noted)
        self.peers.subscribe(lambda stream: None, self._lose_stream)

    # Owner's side of the messages.

    def _make_owner(self, shard: str, epoch: int) -> ShardOwner:
        service = service_of(shard)
        owner = ShardOwner(
            self.context,
            self.right,
            self._key_store,
            shard,
            epoch,
            lambda: self.configuration.documents.get(service),
            lambda: self._successor_streams(shard),
            lambda: self._digest_streams(shard),
        )
        digest = self._digests.find(shard)
        if digest:
            owner.adopt(digest)
        owner.keys.adopt(self._key_notices.find(shard))
        start_task(self.context, "first_poll", owner.poll)
        return owner

    def _successor_streams(self, shard: str) -> list:
        names = self.ownership.successors(shard)
        others = [name for name in names if name != self.context.settings.name]
        return self._streams_to(others[:2])

    def _digest_streams(self, shard: str) -> list:
        """Return the streams to the next owners and to the other shards' owners.

        This router is among them: it may own another shard, or this one once more.
        """
        document = self.configuration.documents.get(service_of(shard))
        siblings = document.shards() if document else []
        owners = {self.configuration.owner_of(other) for other in siblings}
        owners -= {"", self.context.settings.name}
        streams = [self._local_stream, *self._successor_streams(shard)]
        chosen = self._streams_to(choose_in_turn(owners, self._digest_turn))
        return streams + [stream for stream in chosen if stream not in streams]

    def _streams_to(self, names: Iterable[str]) -> list:
        streams = [self.peers.stream_to(name) for name in names]
        return [stream for stream in streams if stream]

    def _on_digest(self, digest: ServiceDigest) -> None:
        """Count what another shard of a service served, in the shards owned here."""
        service = service_of(digest.shard)
        for shard, owner in self.ownership.owned.items():
            if shard != digest.shard and service_of(shard) == service:
                owner.queue.add_remote(digest.shard, digest.service, digest.epoch)

    def _take_inventory(self, stream, inventory: Inventory) -> None:
        owner = self.ownership.owned.get(inventory.shard)
        if owner is None or owner.is_releasing:
            stream.send(InventoryTaken(inventory.shard, 0))
            return
        owner.take_inventory(stream, inventory)

    def _take_request(self, stream, request: SlotRequest) -> None:
        owner = self.ownership.owned.get(request.shard)
        if owner is None:
            stream.send(SlotRefusal(request.ticket, REFUSED_NOT_OWNER))
            return
        owner.take_request(stream, request)

    def _take_cancel(self, stream, cancel: SlotCancel) -> None:
        for owner in self.ownership.owned.values():
            owner.take_cancel(stream, cancel)

    def _to_owner(self, take):
        def handler(_stream, message) -> None:
            owner = self.ownership.owned.get(message.shard)
            if owner:
                take(owner, message)

        return handler

    def _take_noted(self, stream, noted: KeysNoted) -> None:
        owner = self.ownership.owned.get(noted.shard)
        if owner:
            owner.keys.take_noted(stream, noted)

    def _lose_stream(self, stream) -> None:
        for owner in self.ownership.owned.values():
            owner.lose_stream(stream)

    def _on_record(self, key: str) -> None:
        if not key.startswith(DOCUMENTS):
            return
        service = key.removeprefix(DOCUMENTS)
        for shard, owner in self.ownership.owned.items():
            if service_of(shard) == service:
                owner.update_document()

    # Health.

    def store_is_up(self) -> bool:
        """Return whether this router reaches the key-value service now."""
        return self.right.hears_store()

    def _watch_isolation(self) -> None:
        """Notice changes of the right and of isolation also while nobody asks."""
        self.right.level()
        self.is_isolated()

    def is_isolated(self) -> bool:
        """Return whether neither the service nor any peer was heard for a while."""
        now_ms = self.context.clock.now_ms()
        if self.right.hears_store() or self.peers.has_streams():
            self._heard_ms = now_ms
        return now_ms - self._heard_ms > self.context.settings.reject_after_ms

    def unready_reason(self) -> str:
        """Return why callers should go to another router, empty if they need not."""
        return unready_reason(self)

    def platform_counters(self) -> Counter:
        """Return calls and bytes at the platform's services by kind and result."""
        total = Counter(self._store.counters)
        for (kind, result), count in self._host_list.counters.items():
            total[f"hosts_{kind}", result] = count
        return total

    def render_metrics(self) -> bytes:
        """Return the metrics as Prometheus text."""
        self._gauges["running"](self.entry.running)
        self._gauges["waiting"](sum(self.entry.queue.waiting.values()))
        self._gauges["owned"](len(self.ownership.owned))
        self._gauges["known"](len(self.configuration.members))
        return self._metrics.render()

    # Start and stop.

    def start(self) -> None:
        """Open all ports and start all tasks.

        Raises:
            AddressInUseError: If a port is taken.
            StartError: If neither the service nor any peer tells the configuration.
        """
        settings = self.context.settings
        callers = _listen(settings.callers_address)
        admin = _listen(settings.admin_address)
        self._listeners = [callers, admin]
        self.peers.start()
        self._learn_configuration()
        self._start_tasks()
        operators = Admin(self)
        count = self.context.count
        self._serve(
            callers,
            self.entry.serve,
            settings.max_connections,
            settings.stop_timeout_ms,
            lambda kind: count("problems_total", kind),
        )
        self._serve(
            admin,
            operators.serve,
            MAX_ADMIN_CONNECTIONS,
            ADMIN_SILENCE_MS,
            operators.count_refused,
        )
        self.context.timeline.record("started", incarnation=self.context.incarnation)
        print(json.dumps({"event": "listening", "router": settings.name}), flush=True)

    def _learn_configuration(self) -> None:
        deadline_ms = self.context.clock.now_ms() + LEARNING_MS
        while self.context.clock.now_ms() < deadline_ms:
            if self._sync.list_once() or self.configuration.documents:
                return
            self._dial_hosts()
            eventlet.sleep(0.1)
        raise StartError(
            "neither the key-value service nor another router answered",
            "check endpoints in [store] of the settings and start the router again",
        )

    def _dial_hosts(self) -> None:
        self.right.read_hosts()
        hosts = sorted(self.right.router_hosts().items())
        for name, address in hosts[:BOOTSTRAP_PEERS]:
            self.peers.dial(name, address)

    def _start_tasks(self) -> None:
        context, settings = self.context, self.context.settings
        renew_ms = settings.lease_ttl_ms / RENEWALS_PER_TTL
        self.right.read_hosts()
        self.right.register()
        start_task(self.context, "store_sync", self._sync.run)
        repeat(context, renew_ms, self.right.renew, "renew")
        repeat(context, 500.0, self.right.renew_through_peers, "renew_by_peers")
        repeat(context, 500.0, self.right.gather_promises, "promises")
        repeat(context, settings.host_list_poll_ms, self._tend_hosts, "host_list")
        repeat(context, POLL_INTERVAL_MS, self._poll, "poll")
        run_in_turn(
            context,
            [
                (OWNERSHIP_INTERVAL_MS, self.ownership.step, "ownership"),
                (DESK_INTERVAL_MS, self.desk.maintain, "desk"),
                (PEERS_INTERVAL_MS, self.peers.maintain, "peers"),
                (DIGEST_INTERVAL_MS, self._send_digests, "digests"),
                (ISOLATION_INTERVAL_MS, self._watch_isolation, "isolation"),
            ],
        )

    def _tend_hosts(self) -> None:
        self._read_hosts()
        settings = self.context.settings
        pause_ms = host_list_pause_ms(
            len(self._host_list.hosts or []),
            settings.host_list_poll_ms,
            settings.host_list_max_lag_ms,
        )
        eventlet.sleep(pause_ms / 1000.0)

    def _read_hosts(self) -> None:
        """Read the host list, and leave or serve as it says of this host."""
        self.right.read_hosts()
        if self._is_stopping:
            return
        is_leaving = self.context.settings.name in self.right.leaving
        state = LEAVING if is_leaving else SERVING
        if state == self.context.state:
            return
        self.context.state = state
        self.context.timeline.record("host_state_changed", state=state)
        self.right.write_state()

    def _poll(self) -> None:
        for owner in list(self.ownership.owned.values()):
            owner.poll()
            owner.pump()

    def _send_digests(self) -> None:
        self._digest_turn += 1
        for owner in list(self.ownership.owned.values()):
            owner.send_digests()

    def _serve(
        self, sock, application, max_size: int, silence_ms: float, on_refused
    ) -> None:
        eventlet.spawn_n(
            eventlet.wsgi.server,
            sock,
            application,
            max_size=max_size,
            protocol=make_protocol(on_refused),
            log_output=False,
            debug=False,
            minimum_chunk_size=1,
            socket_timeout=silence_ms / 1000.0,
        )

    def stop(self) -> None:
        """Stop as planned: take no new work, let all work end, hand shards over."""
        settings = self.context.settings
        deadline_ms = self.context.clock.now_ms() + settings.stop_timeout_ms
        self._is_stopping = True
        self._stopped_ms = self.context.clock.now_ms()
        self.context.state = LEAVING
        self.context.timeline.record("leaving")
        self.right.write_state()
        self._wait_while(lambda: self.ownership.owned, self._handover_deadline_ms())
        # Callers and balancer notice with a lag; until then their calls are served.
        self._wait_while(lambda: not self._is_quiet(), deadline_ms)
        self._listeners[0].close()
        self._wait_while(lambda: self.entry.running, deadline_ms)
        self.right.revoke()
        self.peers.stop()
        self.context.timeline.record("stopped", unfinished=self.entry.running)

    def _is_quiet(self) -> bool:
        last_ms = max(self.entry.taken_ms, self._stopped_ms)
        quiet_ms = self.context.clock.now_ms() - last_ms
        is_long = quiet_ms > self.context.settings.drain_lag_ms
        return is_long and not self.entry.running

    def _handover_deadline_ms(self) -> float:
        # Without the service no other router can take a shard over, so that a longer
        # wait would help nobody; the slots already granted stay valid.
        settings = self.context.settings
        wait_ms = settings.stop_timeout_ms / 2
        if not self.right.hears_store():
            wait_ms = min(wait_ms, UNWRITTEN_HANDOVER_MS)
        return self.context.clock.now_ms() + wait_ms

    def _wait_while(self, condition, deadline_ms: float) -> None:
        while condition() and self.context.clock.now_ms() < deadline_ms:
            eventlet.sleep(0.02)
