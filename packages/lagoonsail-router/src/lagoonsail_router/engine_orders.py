"""Reconciles the engines of a shard with the state that the document specifies.

The owner of a shard reads what each engine has loaded and sends orders for what is
missing, one at a time. An order names the desired state, so it is idempotent, and
carries the owner's epoch, so that an engine that has seen a later owner refuses it. An
engine that is to change gets no new requests, and its first order once it is idle.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.names import service_of
from lagoonsail_router.batched_gets import ResponseTooLong
from lagoonsail_router.context import start_task
from lagoonsail_router.engine_calls import (
    ACCEPTED,
    BUSY,
    FAILED,
    ORDER_TIMEOUT_S,
    ORDERS_PATH,
    OUTDATED,
    RATE_LIMITED,
    REFUSED,
    classify_response,
    exchange,
    read_retry_after_ms,
)
from lagoonsail_router.engine_state import (
    desired_state,
    is_managed,
    next_order,
    parse_state,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServerEntry, ServiceDocument
    from lagoonsail_core.unavailable import Unavailable
    from lagoonsail_router.batched_gets import BatchedGets, GetResponse
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.engine_calls import EngineResponse
    from lagoonsail_router.engine_state import EngineState

WITHOUT_EFFECT = "without_effect"
"""The engine accepted the order, but its state did not change."""
MAX_CONCURRENT_CHANGES = 2
"""Engines of one shard that change at the same time; the others keep serving."""
MAX_CONSECUTIVE_ORDERS = 16
"""Most orders that are sent to one engine in one run of `reconcile`."""
NEW_OWNER_DELAY_MS = 4000.0
"""Time before a new owner sends orders. By then the load reports include the last slots
that the previous owner granted."""
FIRST_BACKOFF_MS = 1000.0
"""Mean backoff after the first failed order."""
MAX_BACKOFF_MS = 30_000.0
"""Longest mean backoff; it doubles with each consecutive failure."""
FETCHING_ORDERS = ("load", "load_adapter")
"""Orders for which an engine fetches weights from the weight store."""


@dataclass(slots=True)
class _Backoff:
    failures: int = 0
    until_ms: float = float("-inf")


@dataclass(slots=True, frozen=True)
class _Change:
    """An engine to reconcile, with the callbacks for its orders."""

    server: ServerEntry
    document: ServiceDocument
    may_order: Callable[[], bool]
    on_load: Callable[[], None]


class EngineOrders:
    """Orders from one owner to the engines of its shard."""

    __slots__ = (
        "_backoffs",
        "_changing",
        "_context",
        "_epoch",
        "_in_progress",
        "_is_outdated",
        "_last_accepted",
        "_orders_from_ms",
        "_rate_limited_until_ms",
        "_shard",
        "_state_unknown",
    )

    def __init__(
        self,
        context: RouterContext,
        shard: str,
        epoch: int,
        document: ServiceDocument | None,
    ) -> None:
        """Start without knowing the state of any engine.

        Args:
            context: The router's shared state.
            shard: The shard.
            epoch: Fencing token of this owner.
            document: The document in force, if any.
        """
        self._context = context
        self._shard = shard
        self._epoch = epoch
        now_ms = context.clock.now_ms()
        self._orders_from_ms = now_ms + NEW_OWNER_DELAY_MS if epoch > 1 else now_ms
        self._rate_limited_until_ms = float("-inf")
        self._is_outdated = False
        self._in_progress: set[str] = set()
        self._changing: set[str] = set()
        self._backoffs: dict[str, _Backoff] = {}
        # The last accepted order of each engine, until its state has been read again.
        self._last_accepted: dict[str, dict[str, str]] = {}
        servers = document.servers.values() if document else ()
        # They may still be loading on the order of an earlier owner.
        self._state_unknown = {server.name for server in servers if is_managed(server)}

    def is_closed(self, server: ServerEntry) -> bool:
        """Return whether an engine gets no new requests, because of its orders.

        Args:
            server: The engine's entry in the document.
        """
        if not is_managed(server):
            return False
        return server.name in self._changing or server.name in self._state_unknown

    def on_unreachable(self, server: ServerEntry) -> None:
        """Close an unreachable engine until its state has been read again.

        Args:
            server: The engine's entry in the document.
        """
        # It may be loading, or have restarted, by the time it is reachable again.
        if is_managed(server):
            self._state_unknown.add(server.name)
        self._changing.discard(server.name)

    def reconcile(
        self,
        server: ServerEntry,
        document: ServiceDocument,
        gets: BatchedGets,
        may_order: Callable[[], bool],
        on_load: Callable[[], None],
    ) -> None:
        """Read an engine's state, and send it the orders that follow from it.

        Does not block: the state is read in a batch, and orders are sent in a task of
        their own.

        Args:
            server: The engine's entry in the document.
            document: The document in force.
            gets: Sends the request.
            may_order: Returns whether this router certainly owns the shard now and the
                engine is idle; called right before each order.
            on_load: Called when the engine loads, or may be loading, another model,
                after which it is cold.
        """
        if not self._try_begin(server, document):
            return
        change = _Change(server, document, may_order, on_load)

        def on_response(response: GetResponse | Unavailable) -> None:
            state = self._handle_state(server, response)
            # `_due_order` closes the engine before any other task can grant a slot.
            if state is None or not self._due_order(change, state):
                self._in_progress.discard(server.name)
                return
            start_task(self._context, "engine_orders", self._run_change, change, state)

        gets.add(server.address, ORDERS_PATH, ORDER_TIMEOUT_S * 1000.0, on_response)

    def _try_begin(self, server: ServerEntry, document: ServiceDocument) -> bool:
        """Mark an engine as in progress unless it is unmanaged or already is."""
        name = server.name
        self._changing.intersection_update(document.servers)
        if not is_managed(server):
            self._changing.discard(name)
            return False
        if name in self._in_progress:
            return False
        self._in_progress.add(name)
        return True

    def _run_change(self, change: _Change, state: EngineState) -> None:
        try:
            self._send_orders(change, state)
        finally:
            self._in_progress.discard(change.server.name)

    def _send_orders(self, change: _Change, state: EngineState | None) -> None:
        for _ in range(MAX_CONSECUTIVE_ORDERS):
            if state is None:
                return
            order = self._due_order(change, state)
            if order is None or self._send(change, order) != ACCEPTED:
                return
            response = exchange("GET", change.server.address, None, {})
            state = self._handle_state(change.server, response)

    def _due_order(self, change: _Change, state: EngineState) -> dict[str, str] | None:
        """Return the order that may be sent now; close the engine if one is due."""
        server = change.server
        order = next_order(desired_state(server, change.document), state)
        last_accepted = self._last_accepted.pop(server.name, None)
        if order is None or (last_accepted and order != last_accepted):
            self._backoffs.pop(server.name, None)
        if order is None:
            self._changing.discard(server.name)
            return None
        if order == last_accepted:
            # Without a backoff the engine would fetch its weights again at every poll.
            self._context.count("engine_orders_total", WITHOUT_EFFECT)
            self._changing.discard(server.name)
            self._back_off(server.name, WITHOUT_EFFECT, self._context.clock.now_ms())
            return None
        if not self._may_change(server.name, order) or not change.may_order():
            return None
        return order

    def _handle_state(
        self, server: ServerEntry, response: GetResponse | EngineResponse | Unavailable
    ) -> EngineState | None:
        """Return an engine's state, or None if it can get no orders now."""
        name = server.name
        is_too_long = isinstance(response, ResponseTooLong)
        if not is_too_long and classify_response(response) == FAILED:
            self.on_unreachable(server)
            return None
        self._state_unknown.discard(name)
        state = None if is_too_long else parse_state(response.status, response.body)
        if state is None:
            # It does not support orders, so it keeps serving what it has loaded.
            self._context.count("engine_states_malformed_total")
            self._changing.discard(name)
            return None
        if state.is_loading:
            self._changing.add(name)
            return None
        return state

    def _may_change(self, name: str, order: dict[str, str]) -> bool:
        now_ms = self._context.clock.now_ms()
        backoff = self._backoffs.get(name)
        fetches_weights = order["order"] in FETCHING_ORDERS
        if (
            self._is_outdated
            or now_ms < self._orders_from_ms
            or (backoff and now_ms < backoff.until_ms)
            or (fetches_weights and now_ms < self._rate_limited_until_ms)
        ):
            self._changing.discard(name)
            return False
        if name not in self._changing and len(self._changing) >= MAX_CONCURRENT_CHANGES:
            return False
        self._changing.add(name)
        return True

    def _send(self, change: _Change, order: dict[str, str]) -> str:
        server = change.server
        headers = {
            "Content-Type": "application/json",
            "X-Lagoonsail-Epoch": str(self._epoch),
            "X-Lagoonsail-Shard": self._shard,
        }
        response = exchange("POST", server.address, order, headers)
        result = classify_response(response)
        if order["order"] == "load" and result in (ACCEPTED, FAILED):
            change.on_load()
        self._context.count("engine_orders_total", result)
        service = service_of(self._shard)
        self._context.timeline.record(
            "engine_order",
            server=f"{service}/{server.name}",
            failure_domain=server.failure_domain,
            epoch=self._epoch,
            result=result,
            **order,
        )
        self._handle_result(server.name, order, result, response)
        return result

    def _handle_result(
        self,
        name: str,
        order: dict[str, str],
        result: str,
        response: EngineResponse | Unavailable,
    ) -> None:
        now_ms = self._context.clock.now_ms()
        if result == ACCEPTED:
            self._last_accepted[name] = order
            return
        if result == BUSY:
            return
        self._changing.discard(name)
        if result == OUTDATED:
            self._is_outdated = True
        elif result == RATE_LIMITED:
            wait_ms = read_retry_after_ms(response.retry_after, self._context.clock)
            until_ms = now_ms + wait_ms * random.uniform(1.0, 1.2)
            self._rate_limited_until_ms = max(self._rate_limited_until_ms, until_ms)
        else:
            self._back_off(name, result, now_ms)

    def _back_off(self, name: str, result: str, now_ms: float) -> None:
        # An order may be repeated, since it names the state rather than the change.
        backoff = self._backoffs.setdefault(name, _Backoff())
        backoff_ms = min(FIRST_BACKOFF_MS * 2**backoff.failures, MAX_BACKOFF_MS)
        if result == REFUSED:
            backoff_ms = MAX_BACKOFF_MS
        elif result == FAILED:
            # It may be loading; that is known only after its state has been read.
            self._state_unknown.add(name)
        backoff.failures = min(backoff.failures + 1, 10)
        backoff.until_ms = now_ms + backoff_ms * random.uniform(0.5, 1.5)
