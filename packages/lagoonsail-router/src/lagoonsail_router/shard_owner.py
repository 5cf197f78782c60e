"""What the owner of a shard decides: which waiting request gets which free slot."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lagoonsail_core.invariants import require
from lagoonsail_core.messages import (
    OUTCOME_CANCELLED,
    OUTCOME_NOT_RUN,
    OUTCOME_UNREACHABLE,
    REFUSED_ACCOUNT,
    REFUSED_DUPLICATE,
    REFUSED_KEYS_UNAVAILABLE,
    REFUSED_NOT_OWNER,
    REFUSED_QUEUE_FULL,
    InventoryTaken,
    ServiceDigest,
    SlotGrant,
    SlotRefusal,
)
from lagoonsail_core.names import region_of
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.batched_gets import BatchedGets
from lagoonsail_router.context import start_later
from lagoonsail_router.engine_orders import EngineOrders
from lagoonsail_router.key_log import KeyLog
from lagoonsail_router.load_reports import REPORT_LAG_MS, ask_load
from lagoonsail_router.right import FULL, LAPSED
from lagoonsail_router.shard_servers import ShardServers
from lagoonsail_sharing.fair_queue import FairQueue, Waiting
from lagoonsail_sharing.placement import LOOK_AHEAD, choose_request, choose_server
from lagoonsail_sharing.prefix_index import PrefixIndex

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServiceDocument
    from lagoonsail_core.messages import (
        Inventory,
        SlotCancel,
        SlotDone,
        SlotProgress,
        SlotRequest,
        SlotStart,
    )
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.key_store import KeyStore
    from lagoonsail_router.right import Right
    from lagoonsail_router.shard_servers import Server
    from lagoonsail_sharing.server_limit import LoadReport

INVENTORY_WAIT_MS = 300.0
"""How long a new owner waits for the inventories of entry routers; one that comes later
is made up for by the load report, which counts what no inventory names."""
QUEUE_FACTOR = 16
"""Requests of one account that wait at the owner, in queue limits of one router."""


@dataclass(slots=True)
class Slot:
    """A slot that was granted and not yet given back."""

    epoch: int
    """Epoch of the grant."""
    number: int
    """Slot number in that epoch."""
    server: str
    """Backend server."""
    account: str
    """Client account."""
    holder: tuple[str, int]
    """Name and incarnation of the entry router."""
    stream: object
    """Stream on which the holder deals with this owner."""
    granted_ms: float
    """When it was granted."""
    key: int = 0
    """Hash of the idempotency key, 0 if there is none."""
    is_started: bool = False
    """Whether the holder said that it sent the request."""
    orphaned_ms: float | None = None
    """When the holder was lost, None while it is connected."""


class ShardOwner:
    """Queue, servers and slots of one shard, at its owner."""

    __slots__ = (
        "_context",
        "_digest_sent",
        "_find_document",
        "_gets",
        "_inventory_until_ms",
        "_is_foreign",
        "_is_stopped",
        "_next_slot",
        "_prefixes",
        "_right",
        "_sequence",
        "_servers",
        "_sessions",
        "_digest_streams",
        "_waiting",
        "epoch",
        "is_releasing",
        "keys",
        "orders",
        "queue",
        "servers",
        "shard",
        "slots",
    )

    shard: str
    """Name of the shard."""
    epoch: int
    """Fencing number of this ownership."""
    queue: FairQueue
    """Requests that wait for a slot."""
    servers: dict[str, Server]
    """Backend servers by name."""
    slots: dict[tuple[int, int], Slot]
    """Slots in use by epoch and number."""
    keys: KeyLog
    """Idempotency keys of the shard."""
    orders: EngineOrders
    """Orders to the engines of the shard."""
    is_releasing: bool
    """Whether the shard is being handed over."""

    def __init__(
        self,
        context: RouterContext,
        right: Right,
        key_store: KeyStore,
        shard: str,
        epoch: int,
        find_document: Callable[[], ServiceDocument | None],
        successor_streams: Callable[[], list],
        digest_streams: Callable[[], list],
    ) -> None:
        self._context = context
        self._right = right
        self._find_document = find_document
        self._digest_streams = digest_streams
        self._sessions: dict[tuple[str, int], object] = {}
        self._digest_sent: dict[object, dict] = {}
        self._waiting: dict[tuple, Waiting] = {}
        self._sequence = 0
        self._next_slot = 0
        self._is_foreign = region_of(shard) != context.settings.region
        self._is_stopped = False
        self._prefixes = PrefixIndex()
        self._gets = BatchedGets(context, self.pump)
        self._inventory_until_ms = context.clock.now_ms() + INVENTORY_WAIT_MS
        self.shard = shard
        self.epoch = epoch
        self._servers = ShardServers(context, shard, epoch)
        self.servers = self._servers.by_name
        self.slots = {}
        self.keys = KeyLog(context, key_store, shard, epoch, right, successor_streams)
        self.is_releasing = False
        document = find_document()
        self.orders = EngineOrders(context, shard, epoch, document)
        self.queue = FairQueue(QUEUE_FACTOR * (document.queue_limit if document else 1))
        self.update_document()

    def stop(self) -> None:
        """Stop deciding; the entry routers will turn to the next owner."""
        self.refuse_waiting()
        self._is_stopped = True

    def adopt(self, digest: ServiceDigest) -> None:
        """Go on from the last digest of an earlier owner.

        Args:
            digest: The newest digest that this router received, merged.
        """
        self.queue.adopt(digest.service, digest.positions)
        self._servers.restore(digest.servers)

    def update_document(self) -> None:
        """Take over changes of the service document."""
        document = self._find_document()
        if document is None:
            self.refuse_waiting()
            self.servers.clear()
            return
        shares = {account.name: account.share for account in document.accounts.values()}
        for waiting in self.queue.set_shares(shares):
            self._withdraw(waiting)
            self._refuse(waiting, REFUSED_ACCOUNT)
        total = sum(entry.slots for entry in document.servers.values())
        self.queue.set_limits(document.max_cost, total)
        self._servers.update(document)
        self.pump()

    # Dealings with entry routers.

    def take_inventory(self, stream, inventory: Inventory) -> None:
        """Begin, or begin anew, the dealings with an entry router.

        Args:
            stream: Stream of the entry router.
            inventory: What it runs on this shard.
        """
        holder = (stream.name, stream.incarnation)
        self._sessions[holder] = stream
        for waiting in list(self._waiting.values()):
            # The old stream may not be seen to close yet.
            if waiting.ticket[:2] == holder and waiting.source is not stream:
                self._withdraw(waiting)
        held = {}
        for item in inventory.running:
            slot = self._slot_of_inventory(item, holder, stream)
            held[slot.epoch, slot.number] = slot
        for key, slot in list(self.slots.items()):
            if slot.holder == holder and key not in held:
                # Its SlotDone was lost together with the old stream, which tells
                # nothing about the server.
                self._free(slot, OUTCOME_CANCELLED, 0.0, None)
        for key, slot in held.items():
            self._adopt_slot(key, slot)
        stream.send(InventoryTaken(self.shard, self.epoch))
        self.pump()

    def _slot_of_inventory(self, item: list, holder, stream) -> Slot:
        epoch, number, server, account, _cost, age_ms = item
        granted_ms = self._context.clock.now_ms() - age_ms
        return Slot(epoch, number, server, account, holder, stream, granted_ms)

    def _adopt_slot(self, key: tuple[int, int], slot: Slot) -> None:
        known = self.slots.get(key)
        if known:
            known.stream = slot.stream
            known.orphaned_ms = None
            known.is_started = True
            return
        slot.is_started = True
        self.slots[key] = slot
        server = self.servers.get(slot.server)
        if server:
            server.limit.take_over(key, self._context.clock.now_ms())
            server.unknown = max(0, server.unknown - 1)
        self.queue.start(Waiting(("taken over", *key), slot.account, 0.0), key)

    def lose_stream(self, stream) -> None:
        """Forget what waits on a closed stream; what runs there may go on.

        Args:
            stream: The stream that closed.
        """
        for holder in [h for h, s in self._sessions.items() if s is stream]:
            del self._sessions[holder]
        self._digest_sent.pop(stream, None)
        for waiting in [w for w in self._waiting.values() if w.source is stream]:
            self._withdraw(waiting)
        now_ms = self._context.clock.now_ms()
        for slot in self.slots.values():
            if slot.stream is stream:
                slot.orphaned_ms = now_ms

    def take_request(self, stream, request: SlotRequest) -> None:
        """Queue a request for a slot.

        Args:
            stream: Stream of the entry router.
            request: The request.
        """
        now_ms = self._context.clock.now_ms()
        waiting = Waiting(
            (stream.name, stream.incarnation, request.ticket),
            request.account,
            request.estimate,
            request.prefix,
            request.key,
            now_ms - max(0.0, request.age_ms),
            stream,
        )
        if self.is_releasing or self._is_stopped:
            self._refuse(waiting, REFUSED_NOT_OWNER)
            return
        if not request.key:
            self._enqueue(waiting)
            return
        origin_text = f"{stream.name}\0{stream.incarnation}\0{request.call}"
        self._record_key(waiting, (xxh64_intdigest(origin_text.encode()) >> 1) | 1)

    def _record_key(self, waiting: Waiting, origin: int) -> None:
        if not self.keys.is_loaded:
            # The entry router asks again, by when the keys will have been read.
            self._refuse(waiting, REFUSED_NOT_OWNER)
            return
        if self.keys.is_used(waiting.key, origin):
            self._refuse(waiting, REFUSED_DUPLICATE)
            return

        def on_recorded(is_stored: bool) -> None:
            if not is_stored:
                self._refuse(waiting, REFUSED_KEYS_UNAVAILABLE)
            elif self._is_current(waiting):
                self._enqueue(waiting)
            else:
                self.keys.give_back(waiting.key)

        self.keys.record(waiting.key, origin, on_recorded)

    def _is_current(self, waiting: Waiting) -> bool:
        if self._is_stopped or self.is_releasing:
            self._refuse(waiting, REFUSED_NOT_OWNER)
            return False
        name, incarnation, _ = waiting.ticket
        return self._sessions.get((name, incarnation)) is waiting.source

    def _enqueue(self, waiting: Waiting) -> None:
        if not self.queue.add(waiting):
            if waiting.key:
                self.keys.give_back(waiting.key)
            is_known = self.queue.has_account(waiting.account)
            self._refuse(waiting, REFUSED_QUEUE_FULL if is_known else REFUSED_ACCOUNT)
            return
        self._waiting[waiting.ticket] = waiting
        self.pump()

    def take_cancel(self, stream, cancel: SlotCancel) -> None:
        """Withdraw a waiting request."""
        ticket = (stream.name, stream.incarnation, cancel.ticket)
        waiting = self._waiting.get(ticket)
        if waiting:
            self._withdraw(waiting)

    def _withdraw(self, waiting: Waiting) -> None:
        del self._waiting[waiting.ticket]
        self.queue.cancel(waiting.ticket)
        if waiting.key:
            self.keys.give_back(waiting.key)

    def take_start(self, message: SlotStart) -> None:
        """Note that a granted request was sent to its server."""
        slot = self.slots.get((message.epoch, message.slot))
        if slot:
            slot.is_started = True

    def take_progress(self, message: SlotProgress) -> None:
        """Charge what a running request has cost so far."""
        key = (message.epoch, message.slot)
        if key in self.slots:
            self.queue.progress(key, message.cost)

    def take_done(self, message: SlotDone) -> None:
        """Free a slot and settle its cost."""
        slot = self.slots.get((message.epoch, message.slot))
        if slot is None:
            self._context.count("unknown_slots_total")
            return
        self._free(slot, message.outcome, message.cost, message)
        self.pump()

    def _free(
        self, slot: Slot, outcome: str, cost: float, done: SlotDone | None
    ) -> None:
        key = (slot.epoch, slot.number)
        del self.slots[key]
        self.queue.settle(key, cost)
        if slot.key and outcome in (OUTCOME_NOT_RUN, OUTCOME_UNREACHABLE):
            self.keys.give_back(slot.key)
        server = self.servers.get(slot.server)
        if server is None:
            return
        pause_ms = self._servers.finish(server, key, outcome, done)
        if pause_ms:
            start_later(self._context, "pump", pause_ms, self.pump)

    def _refuse(self, waiting: Waiting, reason: str) -> None:
        self._context.count("slot_refusals_total", reason)
        waiting.source.send(SlotRefusal(waiting.ticket[2], reason))

    def refuse_waiting(self) -> None:
        """Send every waiting request back to its entry router."""
        for waiting in list(self._waiting.values()):
            self._withdraw(waiting)
            self._refuse(waiting, REFUSED_NOT_OWNER)

    def has_unstarted_grants(self) -> bool:
        """Return whether a connected holder may still start what was granted."""
        now_ms = self._context.clock.now_ms()
        window_ms = self._context.settings.start_window_ms * 1.1
        return any(
            not slot.is_started and now_ms - slot.granted_ms < window_ms
            for slot in self.slots.values()
        )

    # Grants.

    def pump(self) -> None:
        """Grant free slots to waiting requests for as long as there are both."""
        if self._is_stopped or self.is_releasing:
            return
        if self._context.clock.now_ms() < self._inventory_until_ms:
            return
        while self._grant_one():
            pass

    def _grant_one(self) -> bool:
        # The level is read for each grant: this process may have been paused.
        level = self._right.level()
        if level == LAPSED or (self._is_foreign and level != FULL):
            # Promises count the routers of this region, not those of the shard's.
            return False
        waiting = self.queue.pick()
        if waiting is None:
            return False
        name = self._choose(waiting, level)
        if name is None:
            for resting in self._servers.resting():
                self._start_reading(resting)
            return False
        if waiting.prefix:
            requests = self.queue.oldest(waiting.account, LOOK_AHEAD)
            waiting = choose_request(requests, name, self._prefixes)
        self._grant(waiting, self.servers[name])
        return True

    def _choose(self, waiting: Waiting, level: str) -> str | None:
        document = self._find_document()
        if document is None:
            return None
        leaving, is_closed = self._right.leaving, self.orders.is_closed

        def may_take(name: str) -> bool:
            return self._servers.may_take(name, document, level, leaving, is_closed)

        candidates = self._servers.candidates()
        return choose_server(candidates, waiting.prefix, self._prefixes, may_take)

    def _grant(self, waiting: Waiting, server: Server) -> None:
        self._next_slot += 1
        now_ms = self._context.clock.now_ms()
        name = server.entry.name
        key = (self.epoch, self._next_slot)
        require(
            self._find_document().is_usable(server.entry), "no_grant_out_of_service"
        )
        self.queue.start(waiting, key)
        del self._waiting[waiting.ticket]
        server.limit.start(key, now_ms)
        stream = waiting.source
        holder = (stream.name, stream.incarnation)
        self.slots[key] = Slot(
            self.epoch,
            self._next_slot,
            name,
            waiting.account,
            holder,
            stream,
            now_ms,
            waiting.key,
        )
        self._prefixes.add(name, waiting.prefix)
        basis_ms = stream.remote_sent_ms
        grant = SlotGrant(
            waiting.ticket[2], self._next_slot, self.shard, self.epoch, name, basis_ms
        )
        stream.send(grant)
        self._context.count("slots_granted_total")
        if server.is_resting:
            self._start_reading(name)

    # Periodic work.

    def poll(self) -> None:
        """Read load reports and cache events, and free slots of lost routers."""
        if not self.keys.is_loaded:
            self.keys.start_loading()
        self.keys.expire()
        for name, server in list(self.servers.items()):
            if not self._servers.rest(server):
                self._start_reading(name)

    def _start_reading(self, name: str) -> None:
        server = self.servers[name]
        if not server.is_reading:
            server.is_reading = True
            server.read_ms = self._context.clock.now_ms()
            address, clock = server.entry.address, self._context.clock
            on_report = partial(self._on_report, name, server)
            ask_load(self._gets, address, clock, on_report)

    def _free_overdue_orphans(self, server: Server) -> None:
        """Free slots of lost routers on a server that reports nothing."""
        document = self._find_document()
        if document is None:
            return
        window_ms = self._context.settings.start_window_ms
        age_ms = window_ms + document.request_timeout_ms
        overdue_ms = self._context.clock.now_ms() - age_ms
        for slot in list(self.slots.values()):
            is_orphan = slot.orphaned_ms is not None
            is_here = slot.server == server.entry.name
            if is_orphan and is_here and slot.granted_ms < overdue_ms:
                self._free(slot, OUTCOME_CANCELLED, 0.0, None)

    def _on_report(
        self, name: str, server: Server, result: LoadReport | Unavailable
    ) -> None:
        server.is_reading = server.is_resting = False
        if self._is_stopped or self.servers.get(name) is not server:
            return
        if isinstance(result, Unavailable):
            self._context.count("load_reports_failed_total")
            self.orders.on_unreachable(server.entry)
            self._free_overdue_orphans(server)
            return
        self._take_report(name, server, result)
        document = self._find_document()
        if document and document.kind == "engine":
            self._servers.read_cache(server, self._prefixes, self._gets)
            self._give_orders(server, document)

    def _give_orders(self, server: Server, document: ServiceDocument) -> None:
        def may_order() -> bool:
            now_ms = self._context.clock.now_ms()
            is_known = server.is_reported or now_ms >= server.hold_until_ms
            is_idle = server.limit.running + server.unknown == 0
            is_owner = not self._is_stopped and not self.is_releasing
            is_owner = is_owner and self._right.level() == FULL
            return is_owner and is_known and is_idle

        def on_load() -> None:
            # It takes no requests while it loads, and is cold afterwards.
            server.limit.on_loading(self._context.clock.now_ms())

        entry, gets = server.entry, self._gets
        self.orders.look(entry, document, gets, may_order, on_load)

    def _take_report(self, name: str, server: Server, report: LoadReport) -> None:
        now_ms = self._context.clock.now_ms()
        settled_ms = now_ms - REPORT_LAG_MS - self._context.settings.start_window_ms
        slots = [slot for slot in self.slots.values() if slot.server == name]
        old = sum(slot.granted_ms < settled_ms for slot in slots)
        self._servers.take_report(server, report, len(slots), old)
        orphans = [
            slot
            for slot in slots
            if slot.orphaned_ms is not None and slot.orphaned_ms < settled_ms
        ]
        for slot in orphans[: max(0, old - report.running)]:
            # The loss of a router tells nothing about the server.
            self._free(slot, OUTCOME_CANCELLED, 0.0, None)

    def send_digests(self) -> None:
        """Tell the next owners, and the service's other shards, what changed."""
        service = self.queue.service()
        positions = self.queue.positions()
        servers = self._servers.states()
        self._sequence += 1
        for stream in self._digest_streams():
            sent = self._digest_sent.setdefault(stream, {"service": {}, "servers": {}})
            changed = {k: v for k, v in service.items() if sent["service"].get(k) != v}
            moved = {k: v for k, v in servers.items() if sent["servers"].get(k) != v}
            if not changed and not moved:
                continue
            stream.send(
                ServiceDigest(
                    self.shard,
                    self.epoch,
                    self._sequence,
                    changed,
                    {name: positions[name] for name in changed},
                    moved,
                )
            )
            sent["service"] = service
            sent["servers"] = servers

    def describe(self) -> dict:
        """Return the state of the shard for operators."""
        document = self._find_document()
        running = Counter(slot.account for slot in self.slots.values())
        waiting = Counter(item.account for item in self._waiting.values())
        service = self.queue.service()
        return {
            "epoch": self.epoch,
            "gap": self.queue.gap(),
            "servers": self._servers.describe(document),
            "accounts": {
                name: {
                    "share": account.share,
                    "service": round(service.get(name, 0.0), 3),
                    "waiting": waiting[name],
                    "running": running[name],
                }
                for name, account in (document.accounts if document else {}).items()
            },
        }
