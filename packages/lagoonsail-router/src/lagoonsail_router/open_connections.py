"""The open connections of a port, its limit, and whether it accepts further ones."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING

from lagoonsail_overload.caller_connections import decide_caller, idle_in_order
from lagoonsail_overload.descriptor_levels import Level

if TYPE_CHECKING:
    from lagoonsail_core.green import green_socket
    from lagoonsail_overload.byte_budget import ByteBudget
    from lagoonsail_overload.descriptor_budget import DescriptorBudget

CROWDED_RATIO = 0.5
"""Share of the limit above which answers ask callers to close their connections: idle
ones would keep new callers waiting."""
FRUITLESS_SEARCH_MS = 50.0
"""Time for which idle connections are not looked for again if there were none: to look
at thousands for each new caller would take more time than to refuse it."""


class CallerConnection(list):
    """The state of a connection that eventlet's server keeps, and what is added to it.

    The server reads address, socket and its own state as items of a list.
    """

    __slots__ = (
        "idle_since_ms",
        "is_busy",
        "is_closing",
        "is_refused",
        "requests",
    )

    idle_since_ms: float
    """When it was accepted, or its last answer was written."""
    is_busy: bool
    """Whether a request has been read and is not answered yet."""
    is_closing: bool
    """Whether it has been shut down."""
    is_refused: bool
    """Whether its request is refused."""
    requests: int
    """Requests that it has carried."""

    def __init__(
        self, address: tuple, sock: green_socket.socket, state: str, now_ms: float
    ) -> None:
        super().__init__([address, sock, state])
        self.idle_since_ms = now_ms
        self.is_busy = False
        self.is_closing = False
        self.is_refused = False
        self.requests = 0

    def __hash__(self) -> int:
        return id(self)

    def __eq__(self, other: object) -> bool:
        return self is other

    def shut(self) -> None:
        """End the connection; the task that reads from it closes it."""
        self.is_closing = True
        try:
            self[1].shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller has closed it, or its task has.
            return

    def close(self) -> None:
        """Close the connection at once.

        The library's files hold the descriptor of a connection whose last write failed
        until they are collected as garbage.
        """
        self.shut()
        descriptor = self[1].fd.detach()
        if descriptor >= 0:
            os.close(descriptor)


class OpenConnections:
    """The open connections of a port."""

    __slots__ = (
        "_fruitless_until_ms",
        "answering",
        "budget",
        "count",
        "is_accepting",
        "max_count",
        "memory",
        "open",
        "refusing",
    )

    answering: int
    """Requests whose head has been read and whose answer is not written yet."""
    budget: DescriptorBudget | None
    """Descriptors of the process; None if this port is served from their reserve."""
    count: int
    """Connections whose task runs."""
    is_accepting: bool
    """Whether the port waits for connections, or has just accepted one."""
    max_count: int
    """Connections served at once."""
    memory: ByteBudget | None
    """Bytes of the process, None if they do not bound connections."""
    open: set[CallerConnection]
    """Connections that were accepted and are not closed yet."""
    refusing: int
    """Connections among them whose request is refused."""

    def __init__(self, max_count: int) -> None:
        self._fruitless_until_ms = float("-inf")
        self.answering = 0
        self.budget = None
        self.count = 0
        self.is_accepting = True
        self.max_count = max_count
        self.memory = None
        self.open = set()
        self.refusing = 0

    def is_crowded(self) -> bool:
        """Return whether callers should close their connections after an answer."""
        if self.count > CROWDED_RATIO * self.max_count:
            return True
        return self.budget is not None and self.budget.level() >= Level.ASK_TO_CLOSE

    def can_accept(self) -> bool:
        """Return whether a new connection would be accepted now."""
        return self.is_accepting and self.has_room()

    def has_room(self) -> bool:
        """Return whether one more connection may be accepted, served or refused."""
        if self.budget is None:
            return len(self.open) < self.max_count
        self.budget.update_limit()
        if self.refusing >= self.budget.max_refusals():
            return False
        return self.budget.level() < Level.STOP_ACCEPTING

    def decide(self, now_ms: float) -> tuple[str, CallerConnection | None]:
        """Return what happens to a connection that was just accepted.

        Args:
            now_ms: Monotonic time.

        Returns:
            SERVE, REPLACE or REFUSE, and the idle connection that is to be closed.
        """
        served = len(self.open) - self.refusing
        max_served, free, reserve = self.max_count, 1, 0
        if self.budget is not None:
            max_served = min(max_served, self.budget.max_callers())
            # The new connection is not among the open ones yet.
            free, reserve = self.budget.free() - 1, self.budget.thresholds.reserve
            if self.memory is not None and not self.memory.may_connect():
                max_served = 0
        idle = None
        if served >= max_served or free < reserve:
            idle = self._find_idle(now_ms)
        decision = decide_caller(
            served, max_served, free, reserve, has_idle=idle is not None
        )
        return decision, idle

    def close_idle(self, count: int, now_ms: float) -> int:
        """Close connections that have been idle for long.

        Args:
            count: How many to close at most.
            now_ms: Monotonic time.

        Returns:
            How many were closed.
        """
        idle = idle_in_order(self.open, now_ms, is_refusing=False)[:count]
        for connection in idle:
            connection.shut()
        return len(idle)

    def _find_idle(self, now_ms: float) -> object | None:
        if now_ms < self._fruitless_until_ms:
            return None
        found = next(iter(idle_in_order(self.open, now_ms, is_refusing=True)), None)
        if found is None:
            self._fruitless_until_ms = now_ms + FRUITLESS_SEARCH_MS
        return found
