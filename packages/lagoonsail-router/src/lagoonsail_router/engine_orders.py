"""Orders that bring the engines of a shard to the state that the document wants.

The owner of a shard reads what each engine has loaded and orders what is missing, one
order after the other. An order names the wanted state, so that a repeated one changes
nothing, and carries the owner's epoch, so that an engine refuses it once it has seen a
later owner. An engine gets no new requests from the moment at which its change begins,
and its first order when nothing runs on it any more.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.names import service_of
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.backend import CONNECTION_ERRORS
from lagoonsail_router.batched_gets import AnswerTooLong
from lagoonsail_router.context import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServerEntry, ServiceDocument
    from lagoonsail_core.clock import Clock
    from lagoonsail_router.batched_gets import BatchedGets, GetAnswer
    from lagoonsail_router.context import RouterContext

ORDERS_PATH = "/orders"
"""Path at an engine for its state and its orders."""
ORDER_TIMEOUT_S = 5.0
"""Time for the whole answer to an order, in seconds as urllib3 takes it."""
MAX_STATE_BYTES = 262_144
"""Longest state that is read."""
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
LONGEST_LIMIT_MS = 600_000.0
"""Longest time for which the weight store's limit is believed."""

LOADING_ORDERS = ("load", "load_adapter")
"""Orders for which an engine fetches weights."""

TAKEN = "taken"
"""The engine has carried the order out, or loads."""
BUSY = "busy"
"""The engine loads already."""
LIMITED = "limited"
"""The weight store limits its rate."""
OUTDATED = "outdated"
"""The engine has seen a later owner."""
REFUSED = "refused"
"""The engine cannot carry the order out."""
FAILED = "failed"
"""No answer, or a fault of the engine or the weight store."""
WITHOUT_EFFECT = "without_effect"
"""The engine took the order, and afterwards had not changed."""

_RESULTS = {200: TAKEN, 202: TAKEN, 409: BUSY, 412: OUTDATED, 429: LIMITED}


@dataclass(slots=True)
class EngineState:
    """What an engine has loaded, as far as orders can change it."""

    model: str
    """Model, empty for the one that it started with."""
    version: str
    """Version of the model."""
    adapters: frozenset[str]
    """Adapters."""
    role: str
    """Role, empty if none was ordered."""
    is_loading: bool = False
    """Whether it loads weights now."""


@dataclass(slots=True)
class _Answer:
    status: int
    body: bytes
    retry_after: str


@dataclass(slots=True)
class _Pause:
    failures: int = 0
    until_ms: float = float("-inf")


def wanted_state(server: ServerEntry, document: ServiceDocument) -> EngineState:
    """Return the state that a document wants of an engine.

    Args:
        server: The engine's part of the document.
        document: The document.

    Returns:
        The state; an empty model or role stands for any.
    """
    model = document.models.get(server.model)
    if model is None:
        return EngineState("", "", frozenset(), server.role)
    return EngineState(model.name, model.version, model.adapters, server.role)


def next_order(wanted: EngineState, state: EngineState) -> dict[str, str] | None:
    """Return the order that brings an engine nearer to the wanted state.

    Args:
        wanted: What the document wants.
        state: What the engine has.

    Returns:
        The order, or None if there is nothing to do.

    Example:
        >>> wanted = EngineState("m", "2", frozenset({"a"}), "")
        >>> next_order(wanted, EngineState("m", "2", frozenset(), "mixed"))
        {'order': 'load_adapter', 'adapter': 'a'}
    """
    if wanted.model:
        if (wanted.model, wanted.version) != (state.model, state.version):
            return {"order": "load", "model": wanted.model, "version": wanted.version}
        for adapter in sorted(state.adapters - wanted.adapters):
            return {"order": "unload_adapter", "adapter": adapter}
        for adapter in sorted(wanted.adapters - state.adapters):
            return {"order": "load_adapter", "adapter": adapter}
    if wanted.role and wanted.role != state.role:
        return {"order": "set_role", "role": wanted.role}
    return None


def is_managed(server: ServerEntry) -> bool:
    """Return whether the document says what an engine is to have loaded."""
    return bool(server.model or server.role)


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
            may_order: As for `step`.
            on_load: As for `step`.
        """
        if not self._begin(server, document):
            return

        def on_answer(answer: GetAnswer | Unavailable) -> None:
            state = self._take_state(server, answer)
            # Closed before anything else runs, so that it gets no request meanwhile.
            if state is None or not self._due_order(server, document, state, may_order):
                self._at_work.discard(server.name)
                return
            arguments = (server, document, may_order, on_load, state)
            start_task(self._context, "engine_orders", self._work, *arguments)

        gets.add(server.address, ORDERS_PATH, ORDER_TIMEOUT_S * 1000.0, on_answer)

    def step(
        self,
        server: ServerEntry,
        document: ServiceDocument,
        may_order: Callable[[], bool],
        on_load: Callable[[], None],
    ) -> None:
        """Read an engine's state and give it the orders that are due.

        Args:
            server: The engine's part of the document.
            document: The document in force.
            may_order: Says whether this router surely owns the shard now, and nothing
                runs on the engine; asked right before each order.
            on_load: Called when the engine loads, or may load, another model, after
                which it is cold.
        """
        if self._begin(server, document):
            self._work(server, document, may_order, on_load, None)

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

    def _work(
        self,
        server: ServerEntry,
        document: ServiceDocument,
        may_order: Callable[[], bool],
        on_load: Callable[[], None],
        state: EngineState | None,
    ) -> None:
        try:
            self._bring(server, document, may_order, on_load, state)
        finally:
            self._at_work.discard(server.name)

    def _bring(
        self,
        server: ServerEntry,
        document: ServiceDocument,
        may_order: Callable[[], bool],
        on_load: Callable[[], None],
        state: EngineState | None,
    ) -> None:
        for _ in range(ORDERS_IN_A_ROW):
            if state is None:
                answer = _exchange("GET", server.address, None, {})
                state = self._take_state(server, answer)
            if state is None:
                return
            order = self._due_order(server, document, state, may_order)
            if order is None or self._send(server, order, on_load) != TAKEN:
                return
            state = None

    def _due_order(
        self,
        server: ServerEntry,
        document: ServiceDocument,
        state: EngineState,
        may_order: Callable[[], bool],
    ) -> dict[str, str] | None:
        """Return the order that may be given now; one that is due closes the engine."""
        order = next_order(wanted_state(server, document), state)
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
        if not self._may_change(server.name, order) or not may_order():
            return None
        return order

    def _take_state(
        self, server: ServerEntry, answer: GetAnswer | _Answer | Unavailable
    ) -> EngineState | None:
        """Return the state of an engine that can be given orders now."""
        name = server.name
        is_too_long = isinstance(answer, AnswerTooLong)
        if not is_too_long and _judge(answer) == FAILED:
            self.on_unreachable(server)
            return None
        self._unread.discard(name)
        state = None if is_too_long else _parse_state(answer)
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

    def _send(
        self, server: ServerEntry, order: dict[str, str], on_load: Callable[[], None]
    ) -> str:
        headers = {
            "Content-Type": "application/json",
            "X-Lagoonsail-Epoch": str(self._epoch),
            "X-Lagoonsail-Shard": self._shard,
        }
        answer = _exchange("POST", server.address, order, headers)
        result = _judge(answer)
        if order["order"] == "load" and result in (TAKEN, FAILED):
            on_load()
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
        answer: _Answer | Unavailable,
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
            wait_ms = _read_retry_after_ms(answer.retry_after, self._context.clock)
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


def _judge(answer: GetAnswer | _Answer | Unavailable) -> str:
    if isinstance(answer, Unavailable) or answer.status >= 500:
        return FAILED
    return _RESULTS.get(answer.status, REFUSED)


def _read_retry_after_ms(text: str, clock: Clock) -> float:
    """Return the time of a Retry-After header, which is in seconds or a date."""
    try:
        wait_ms = float(text) * 1000.0
    except ValueError:
        wait_ms = _time_until_ms(text, clock)
    if not wait_ms >= 0:
        wait_ms = FIRST_PAUSE_MS
    return min(wait_ms, LONGEST_LIMIT_MS)


def _time_until_ms(date: str, clock: Clock) -> float:
    try:
        return parsedate_to_datetime(date).timestamp() * 1000.0 - clock.wall_ms()
    except (ValueError, TypeError, IndexError, OverflowError, OSError):
        return FIRST_PAUSE_MS


def _exchange(
    method: str, address: str, order: dict | None, headers: dict[str, str]
) -> _Answer | Unavailable:
    # A fresh connection each time: one that went silent must not hide the engine.
    host, port = address.rsplit(":", 1)
    pool = urllib3.HTTPConnectionPool(
        host, int(port), timeout=ORDER_TIMEOUT_S, retries=False
    )
    body = None if order is None else json.dumps(order)
    try:
        # The timeout of the socket starts anew with each byte that comes.
        with eventlet.Timeout(ORDER_TIMEOUT_S, TimeoutError("no whole answer in time")):
            response = pool.request(
                method, ORDERS_PATH, body=body, headers=headers, preload_content=False
            )
            data = response.read(MAX_STATE_BYTES)
    except CONNECTION_ERRORS as error:
        return Unavailable(f"no answer from {address}{ORDERS_PATH}: {error}")
    finally:
        pool.close()
    return _Answer(response.status, data, response.headers.get("Retry-After", ""))


def _parse_state(answer: GetAnswer | _Answer) -> EngineState | None:
    """Return the state that an engine shows, None unless each field is of its type."""
    try:
        fields = json.loads(answer.body)
        adapters = fields["adapters"]
        texts = [fields[name] for name in ("model", "version", "role")]
        is_loading = fields["loading"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if answer.status != 200 or type(is_loading) is not bool:
        return None
    # Of a text in place of the list each character would be an adapter to unload.
    if type(adapters) is not list or any(type(t) is not str for t in texts + adapters):
        return None
    model, version, role = texts
    return EngineState(model, version, frozenset(adapters), role, is_loading)
