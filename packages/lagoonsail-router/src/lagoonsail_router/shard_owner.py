"""The owner of a shard, which serves entry routers and tracks backend servers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.messages import (
    OUTCOME_CANCELLED,
    OUTCOME_NOT_RUN,
    OUTCOME_UNREACHABLE,
    REFUSED_ACCOUNT,
    InventoryTaken,
)
from lagoonsail_router.batched_gets import BatchedGets
from lagoonsail_router.context import start_later
from lagoonsail_router.digest_sender import DigestSender
from lagoonsail_router.engine_orders import EngineOrders
from lagoonsail_router.granted_slots import (
    GrantedSlots,
    Slot,
    ended_orphans,
    overdue_orphans,
)
from lagoonsail_router.grants import Grants
from lagoonsail_router.key_log import KeyLog
from lagoonsail_router.load_reports import REPORT_LAG_MS
from lagoonsail_router.right import FULL
from lagoonsail_router.server_polls import ServerPolls
from lagoonsail_router.shard_servers import ShardServers
from lagoonsail_router.shard_state import ShardState
from lagoonsail_router.waiting_requests import WaitingRequests
from lagoonsail_sharing.fair_queue import FairQueue
from lagoonsail_sharing.prefix_index import PrefixIndex
from lagoonsail_sharing.waiting import WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServiceDocument
    from lagoonsail_core.messages import (
        Inventory,
        ServiceDigest,
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
"""How long a new owner waits for the inventories of entry routers; if one is late, the
load report still counts the requests that no inventory names."""
QUEUE_FACTOR = 16
"""Queue limit of an account at the owner, as a multiple of that of one router."""


class ShardOwner:
    """Queue, servers and slots of a shard, as managed by its owner."""

    __slots__ = (
        "_context",
        "_digests",
        "_find_document",
        "_granted",
        "_grants",
        "_inventory_until_ms",
        "_is_stopped",
        "_polls",
        "_requests",
        "_right",
        "_servers",
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
    """Fencing token of this ownership."""
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
        self._is_stopped = False
        self._inventory_until_ms = context.clock.now_ms() + INVENTORY_WAIT_MS
        self.shard = shard
        self.epoch = epoch
        self.keys = KeyLog(context, key_store, shard, epoch, right, successor_streams)
        self.is_releasing = False
        document = find_document()
        self.orders = EngineOrders(context, shard, epoch, document)
        self.queue = FairQueue(QUEUE_FACTOR * (document.queue_limit if document else 1))
        self._granted = GrantedSlots()
        self.slots = self._granted.by_key
        self._servers = ShardServers(context, shard, epoch)
        self.servers = self._servers.by_name
        state = ShardState(
            shard,
            epoch,
            find_document,
            self.queue,
            self._granted,
            self._servers,
            self.orders,
            PrefixIndex(),
        )
        self._requests = WaitingRequests(
            context, self.queue, self.keys, self._is_accepting, self.grant_waiting
        )
        self._digests = DigestSender(state, digest_streams)
        self._polls = ServerPolls(
            context,
            state,
            BatchedGets(context, self.grant_waiting),
            lambda: self._is_stopped,
            self._may_order,
            self._apply_report,
            self._free_overdue_orphans,
        )
        self._grants = Grants(context, right, state, self._requests, self._polls)
        self.update_document()

    def stop(self) -> None:
        """Stop granting; the entry routers turn to the next owner."""
        self.refuse_waiting()
        self._is_stopped = True

    def _is_accepting(self) -> bool:
        return not self._is_stopped and not self.is_releasing

    def adopt(self, digest: ServiceDigest) -> None:
        """Continue from the last digest of an earlier owner.

        Args:
            digest: The newest digest that this router received, merged.
        """
        self.queue.adopt(digest.service, digest.positions)
        self._servers.restore(digest.servers)
        self._grants.on_capacity_change()

    def update_document(self) -> None:
        """Apply changes of the service document."""
        document = self._find_document()
        if document is None:
            self.refuse_waiting()
            self.servers.clear()
            return
        shares = {account.name: account.share for account in document.accounts.values()}
        for waiting in self.queue.set_shares(shares):
            self._requests.withdraw(waiting)
            self._requests.refuse(waiting, REFUSED_ACCOUNT)
        total = sum(entry.slots for entry in document.servers.values())
        self.queue.set_limits(document.max_cost, total)
        self._servers.update(document)
        self._grants.on_capacity_change()
        self.grant_waiting()

    # Messages from entry routers.

    def handle_inventory(self, stream, inventory: Inventory) -> None:
        """Start or restart the session of an entry router.

        Args:
            stream: Stream of the entry router.
            inventory: The requests that it runs on this shard.
        """
        holder = (stream.name, stream.incarnation)
        self._requests.sessions[holder] = stream
        # The close of the previous stream may not have been noticed yet.
        self._requests.withdraw_if(
            lambda w: w.ticket[:2] == holder and w.reply_to is not stream
        )
        held = {}
        for item in inventory.running:
            slot = self._make_slot(item, holder, stream)
            held[slot.epoch, slot.number] = slot
        for key, slot in self._granted.of_holder(holder).items():
            if key not in held:
                # Its SlotDone was lost with the previous stream, which says nothing
                # about the server.
                self._free(slot, OUTCOME_CANCELLED, 0.0, None)
        for key, slot in held.items():
            self._adopt_slot(key, slot)
        stream.send(InventoryTaken(self.shard, self.epoch))
        self.grant_waiting()

    def _make_slot(self, item: list, holder, stream) -> Slot:
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
            server.unattributed = max(0, server.unattributed - 1)
        self.queue.start(WaitingRequest(("taken over", *key), slot.account, 0.0), key)

    def on_stream_closed(self, stream) -> None:
        """Withdraw the waiting requests of a closed stream; running ones may continue.

        Args:
            stream: The stream that closed.
        """
        sessions = self._requests.sessions
        for holder in [h for h, s in sessions.items() if s is stream]:
            del sessions[holder]
        self._digests.discard_stream(stream)
        self._requests.withdraw_if(lambda waiting: waiting.reply_to is stream)
        self._granted.mark_orphaned(stream, self._context.clock.now_ms())

    def handle_request(self, stream, request: SlotRequest) -> None:
        """Queue a request for a slot.

        Args:
            stream: Stream of the entry router.
            request: The request.
        """
        self._requests.add(stream, request)

    def handle_cancel(self, stream, cancel: SlotCancel) -> None:
        """Withdraw a waiting request."""
        ticket = (stream.name, stream.incarnation, cancel.ticket)
        waiting = self._requests.by_ticket.get(ticket)
        if waiting:
            self._requests.withdraw(waiting)

    def handle_start(self, message: SlotStart) -> None:
        """Record that a granted request was sent to its server."""
        slot = self.slots.get((message.epoch, message.slot))
        if slot:
            slot.is_started = True

    def handle_progress(self, message: SlotProgress) -> None:
        """Charge the cost of a running request so far."""
        key = (message.epoch, message.slot)
        if key in self.slots:
            self.queue.progress(key, message.cost)

    def handle_done(self, message: SlotDone) -> None:
        """Free a slot and settle its cost."""
        slot = self.slots.get((message.epoch, message.slot))
        if slot is None:
            self._context.count("unknown_slots_total")
            return
        self._free(slot, message.outcome, message.cost, message)
        self.grant_waiting()

    def _free(
        self, slot: Slot, outcome: str, cost: float, done: SlotDone | None
    ) -> None:
        key = (slot.epoch, slot.number)
        del self.slots[key]
        self.queue.settle(key, cost)
        if slot.key and outcome in (OUTCOME_NOT_RUN, OUTCOME_UNREACHABLE):
            self.keys.free(slot.key)
        server = self.servers.get(slot.server)
        if server is None:
            return
        pause_ms = self._servers.finish(server, key, outcome, done)
        self._grants.on_capacity_change()
        if pause_ms:
            start_later(self._context, "pump", pause_ms, self.grant_waiting)

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests, so that their entry routers retry."""
        self._requests.refuse_all()

    def has_unstarted_grants(self) -> bool:
        """Return whether a granted request may still be started."""
        window_ms = self._context.settings.start_window_ms * 1.1
        return self._granted.has_unstarted(self._context.clock.now_ms(), window_ms)

    def has_unwritten_keys(self) -> bool:
        """Return whether successors hold keys that the service does not have yet."""
        return self.keys.has_unstored()

    def grant_waiting(self) -> None:
        """Grant free slots to waiting requests until either runs out."""
        if not self._is_accepting():
            return
        if self._context.clock.now_ms() < self._inventory_until_ms:
            return
        self._grants.grant_all()

    # Periodic work.

    def poll(self) -> None:
        """Read load reports and cache events, and free slots of lost routers."""
        if not self.keys.is_loaded:
            self.keys.start_loading()
        self.keys.expire()
        self._polls.poll()
        self._grants.check_capacity()

    def _may_order(self) -> bool:
        return self._is_accepting() and self._right.level() == FULL

    def _free_overdue_orphans(self, server: Server) -> None:
        """Free slots of disconnected routers on a server that sends no load reports."""
        # The limit of a server whose reports were skipped may rise again.
        self._grants.on_capacity_change()
        document = self._find_document()
        if document is None:
            return
        window_ms = self._context.settings.start_window_ms
        age_ms = window_ms + document.request_timeout_ms
        overdue_ms = self._context.clock.now_ms() - age_ms
        slots = self._granted.on_server(server.entry.name)
        for slot in overdue_orphans(slots, overdue_ms):
            self._free(slot, OUTCOME_CANCELLED, 0.0, None)

    def _apply_report(self, server: Server, report: LoadReport) -> None:
        now_ms = self._context.clock.now_ms()
        settled_ms = now_ms - REPORT_LAG_MS - self._context.settings.start_window_ms
        slots = self._granted.on_server(server.entry.name)
        settled = sum(slot.granted_ms < settled_ms for slot in slots)
        self._servers.apply_report(server, report, len(slots), settled)
        self._grants.on_capacity_change()
        for slot in ended_orphans(slots, settled - report.running, settled_ms):
            # The loss of a router says nothing about the server.
            self._free(slot, OUTCOME_CANCELLED, 0.0, None)
        self._polls.read_engine(server)

    def send_digests(self) -> None:
        """Send changes to the successors and to the service's other shards."""
        self._digests.send()

    def describe(self) -> dict:
        """Return the state of the shard for operators."""
        document = self._find_document()
        running = Counter(slot.account for slot in self.slots.values())
        waiting = Counter(item.account for item in self._requests.by_ticket.values())
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
