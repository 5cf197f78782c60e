"""Orders that bring the engines of a shard to the state that the document wants.

The owner of a shard reads what each engine has loaded and orders what is missing, one
order after the other. An order names the wanted state, so that a repeated one changes
nothing, and carries the owner's epoch, so that an engine refuses it once it has seen a
later owner. An engine gets no new requests from the moment at which its change begins,
and its first order when nothing runs on it any more.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.names import service_of
from lagoonsail_router.batched_gets import AnswerTooLong
from lagoonsail_router.context import start_task
from lagoonsail_router.engine_calls import (
    BUSY,
    FAILED,
    LIMITED,
    ORDER_TIMEOUT_S,
    ORDERS_PATH,
    OUTDATED,
    REFUSED,
    TAKEN,
    exchange,
    judge,
    read_retry_after_ms,
)
from lagoonsail_router.engine_state import (
    is_managed,
    next_order,
    parse_state,
    wanted_state,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServerEntry, ServiceDocument
    from lagoonsail_core.unavailable import Unavailable
    from lagoonsail_router.batched_gets import BatchedGets, GetAnswer
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.engine_calls import EngineAnswer
    from lagoonsail_router.engine_state import EngineState

WITHOUT_EFFECT = "without_effect"
"""The engine took the order, and afterwards had not changed."""
CHANGED_AT_ONCE = 2
"""Engines of one shard that are changed at once; the others serve on."""
ORDERS_IN_A_ROW = 16
"""Orders to one engine without a pause."""
SETTLE_MS = 4000.0
"""Time after which a new owner gives orders; what an earlier owner granted last shows
in the load reports by then."""
FIRST_PAUSE_MS = 1000.0
"""Mean pause after a first failed order."""
LONGEST_PAUSE_MS = 30_000.0
"""Longest mean pause; it doubles with each failure in a row."""
LOADING_ORDERS = ("load", "load_adapter")
"""Orders for which an engine fetches weights."""


@dataclass(slots=True)
class _Pause:
    failures: int = 0
    until_ms: float = float("-inf")


@dataclass(slots=True, frozen=True)
class _Change:
    """What bringing one engine to its wanted state needs."""

    server: ServerEntry
    document: ServiceDocument
    may_order: Callable[[], bool]
    on_load: Callable[[], None]


class EngineOrders:
    """Orders of one owner to the engines of its shard."""

    __slots__ = (
        "_at_work",
        "_changing",
        "_context",
        "_epoch",
        "_is_outdated",
        "_limited_until_ms",
        "_pauses",
        "_settled_ms",
        "_shard",
        "_taken",
        "_unread",
    )

    def __init__(
        self,
        context: RouterContext,
        shard: str,
        epoch: int,
        document: ServiceDocument | None,
    ) -> None:
        """Begin with engines of which nothing is known.

        Args:
            context: The router's shared state.
            shard: The shard.
            epoch: Fencing number of this owner.
            document: The document in force, if there is one.
        """
        self._context = context
        self._shard = shard
        self._epoch = epoch
        now_ms = context.clock.now_ms()
        self._settled_ms = now_ms + SETTLE_MS if epoch > 1 else now_ms
        self._limited_until_ms = float("-inf")
        self._is_outdated = False
        self._at_work: set[str] = set()
        self._changing: set[str] = set()
        self._pauses: dict[str, _Pause] = {}
        # The last order of each engine, while nothing shows that it had an effect.
        self._taken: dict[str, dict[str, str]] = {}
        servers = document.servers.values() if document else ()
        # An earlier owner may have them loading.
        self._unread = {server.name for server in servers if is_managed(server)}

    def is_closed(self, server: ServerEntry) -> bool:
        """Return whether an engine gets no new requests, because of its orders.

        Args:
            server: The engine's part of the document.
        """
        if not is_managed(server):
            return False
        return server.name in self._changing or server.name in self._unread

    def on_unreachable(self, server: ServerEntry) -> None:
        """Close an engine that does not answer until its state has been read again.

        Args:
            server: The engine's part of the document.
        """
        # It may load, or have begun anew, when it comes back.
        if is_managed(server):
            self._unread.add(server.name)
        self._changing.discard(server.name)

    def look(
        self,
        server: ServerEntry,
        document: ServiceDocument,
        gets: BatchedGets,
        may_order: Callable[[], bool],
        on_load: Callable[[], None],
    ) -> None:
        """Ask for an engine's state, and give it the orders that are due by it.

        Waits for nothing: the state comes with a batch, orders go out in another task.

        Args:
            server: The engine's part of the document.
            document: The document in force.
            gets: Sends the request.
            may_order: Says whether this router surely owns the shard now, and nothing
                runs on the engine; asked right before each order.
            on_load: Called when the engine loads, or may load, another model, after
                which it is cold.
        """
        if not self._begin(server, document):
            return
        change = _Change(server, document, may_order, on_load)

        def on_answer(answer: GetAnswer | Unavailable) -> None:
            state = self._take_state(server, answer)
            # Closed before anything else runs, so that it gets no request meanwhile.
            if state is None or not self._due_order(change, state):
                self._at_work.discard(server.name)
                return
            start_task(self._context, "engine_orders", self._work, change, state)

        gets.add(server.address, ORDERS_PATH, ORDER_TIMEOUT_S * 1000.0, on_answer)

    def _begin(self, server: ServerEntry, document: ServiceDocument) -> bool:
        """Return whether an engine's state is to be read now, by no other task."""
        name = server.name
        self._changing.intersection_update(document.servers)
        if not is_managed(server):
            self._changing.discard(name)
            return False
        if name in self._at_work:
            return False
        self._at_work.add(name)
        return True

    def _work(self, change: _Change, state: EngineState) -> None:
        try:
            self._bring(change, state)
        finally:
            self._at_work.discard(change.server.name)

    def _bring(self, change: _Change, state: EngineState | None) -> None:
        for _ in range(ORDERS_IN_A_ROW):
            if state is None:
                return
            order = self._due_order(change, state)
            if order is None or self._send(change, order) != TAKEN:
                return
            answer = exchange("GET", change.server.address, None, {})
            state = self._take_state(change.server, answer)

    def _due_order(self, change: _Change, state: EngineState) -> dict[str, str] | None:
        """Return the order that may be given now; one that is due closes the engine."""
        server = change.server
        order = next_order(wanted_state(server, change.document), state)
        taken = self._taken.pop(server.name, None)
        if order is None or (taken and order != taken):
            self._pauses.pop(server.name, None)
        if order is None:
            self._changing.discard(server.name)
            return None
        if order == taken:
            # At once again it would fetch the weights anew, as often as it is read.
            self._context.count("engine_orders_total", WITHOUT_EFFECT)
            self._changing.discard(server.name)
            self._pause(server.name, WITHOUT_EFFECT, self._context.clock.now_ms())
            return None
        if not self._may_change(server.name, order) or not change.may_order():
            return None
        return order

    def _take_state(
        self, server: ServerEntry, answer: GetAnswer | EngineAnswer | Unavailable
    ) -> EngineState | None:
        """Return the state of an engine that can be given orders now."""
        name = server.name
        is_too_long = isinstance(answer, AnswerTooLong)
        if not is_too_long and judge(answer) == FAILED:
            self.on_unreachable(server)
            return None
        self._unread.discard(name)
        state = None if is_too_long else parse_state(answer.status, answer.body)
        if state is None:
            # It takes no orders, so it serves with what it has.
            self._context.count("engine_states_malformed_total")
            self._changing.discard(name)
            return None
        if state.is_loading:
            self._changing.add(name)
            return None
        return state

    def _may_change(self, name: str, order: dict[str, str]) -> bool:
        now_ms = self._context.clock.now_ms()
        pause = self._pauses.get(name)
        is_limited = order["order"] in LOADING_ORDERS
        if (
            self._is_outdated
            or now_ms < self._settled_ms
            or (pause and now_ms < pause.until_ms)
            or (is_limited and now_ms < self._limited_until_ms)
        ):
            self._changing.discard(name)
            return False
        if name not in self._changing and len(self._changing) >= CHANGED_AT_ONCE:
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
        answer = exchange("POST", server.address, order, headers)
        result = judge(answer)
        if order["order"] == "load" and result in (TAKEN, FAILED):
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
        self._take_result(server.name, order, result, answer)
        return result

    def _take_result(
        self,
        name: str,
        order: dict[str, str],
        result: str,
        answer: EngineAnswer | Unavailable,
    ) -> None:
        now_ms = self._context.clock.now_ms()
        if result == TAKEN:
            self._taken[name] = order
            return
        if result == BUSY:
            return
        self._changing.discard(name)
        if result == OUTDATED:
            self._is_outdated = True
        elif result == LIMITED:
            wait_ms = read_retry_after_ms(answer.retry_after, self._context.clock)
            until_ms = now_ms + wait_ms * random.uniform(1.0, 1.2)
            self._limited_until_ms = max(self._limited_until_ms, until_ms)
        else:
            self._pause(name, result, now_ms)

    def _pause(self, name: str, result: str, now_ms: float) -> None:
        # An order may be repeated, since it names the state and not the change.
        pause = self._pauses.setdefault(name, _Pause())
        pause_ms = min(FIRST_PAUSE_MS * 2**pause.failures, LONGEST_PAUSE_MS)
        if result == REFUSED:
            pause_ms = LONGEST_PAUSE_MS
        elif result == FAILED:
            # Whether it loads is not known until its state is read.
            self._unread.add(name)
        pause.failures = min(pause.failures + 1, 10)
        pause.until_ms = now_ms + pause_ms * random.uniform(0.5, 1.5)
