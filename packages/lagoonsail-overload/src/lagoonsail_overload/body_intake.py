"""Admits the bodies of requests to the byte budget while they arrive.

Handles the load of callers that announce or send more than the budget holds, and of
callers that stop sending and keep what they sent in memory. An announced body is
reserved as a whole before it is read, a chunked one in steps. A body that does not fit
is refused at once. Bodies that make no progress are given up when others need their
bytes, the longest silent one first, and without need after a longer time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lagoonsail_overload.byte_budget import BODIES, SHORT_BODY_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_core.clock import Clock
    from lagoonsail_overload.byte_budget import ByteBudget

STEP_BYTES = 65_536
"""Bytes by which the reservation of a chunked body grows."""
PROGRESS_BYTES = 1024
"""Bytes that count as progress of a body; fewer may be sent to keep it alive."""
STALL_MS = 15_000.0
"""Time without progress after which a body is given up, unless set otherwise."""
EVICTION_STALL_MS = 1000.0
"""Time without progress after which a body is given up if others need its bytes.
Callers that send at all make progress within it."""


class ArrivingBody:
    """A body that is being received, or held until its request is served."""

    __slots__ = (
        "cancel",
        "is_arriving",
        "is_evicted",
        "length",
        "progress_bytes",
        "progress_ms",
        "received_bytes",
        "reserved_bytes",
    )

    cancel: Callable[[], None]
    """Wakes the task that receives the body."""
    is_arriving: bool
    """Whether it is not whole yet."""
    is_evicted: bool
    """Whether it was given up for other bodies."""
    length: int | None
    """Announced length, None if the body is chunked."""
    progress_bytes: int
    """Received bytes at the time of the last progress."""
    progress_ms: float
    """Monotonic time of the last progress."""
    received_bytes: int
    """Bytes received."""
    reserved_bytes: int
    """Bytes reserved."""

    def __init__(
        self, length: int | None, cancel: Callable[[], None], now_ms: float
    ) -> None:
        self.cancel = cancel
        self.is_arriving = True
        self.is_evicted = False
        self.length = length
        self.progress_bytes = 0
        self.progress_ms = now_ms
        self.received_bytes = 0
        self.reserved_bytes = 0


class BodyIntake:
    """Reserves bytes for bodies, and tells which body is given up."""

    __slots__ = ("_arriving", "_clock", "budget", "evictions", "refusals", "stall_ms")

    budget: ByteBudget
    """The budget of the process."""
    evictions: int
    """Bodies that were given up for others."""
    refusals: int
    """Bodies that were refused for want of room."""
    stall_ms: float
    """Time without progress after which a body is given up."""

    def __init__(
        self, budget: ByteBudget, clock: Clock, stall_ms: float = STALL_MS
    ) -> None:
        """Create the intake of a process.

        Args:
            budget: The budget of the process.
            clock: The clock.
            stall_ms: Time without progress after which a body is given up.
        """
        self._arriving: dict[ArrivingBody, None] = {}
        self._clock = clock
        self.budget = budget
        self.evictions = 0
        self.refusals = 0
        self.stall_ms = stall_ms

    def begin(
        self, length: int | None, cancel: Callable[[], None]
    ) -> ArrivingBody | None:
        """Admit a body before it is read.

        Args:
            length: Announced length, None if the body is chunked.
            cancel: Wakes the task that receives the body, if it is given up.

        Returns:
            The body, or None if the budget has no room for it.
        """
        body = ArrivingBody(length, cancel, self._clock.now_ms())
        size = SHORT_BODY_BYTES if length is None else length
        if not self._reserve(body, size):
            return None
        self._arriving[body] = None
        return body

    def record(self, body: ArrivingBody, size: int) -> bool:
        """Count received bytes, and reserve more for a chunked body.

        Args:
            body: The body.
            size: Number of bytes received.

        Returns:
            Whether the body may go on.
        """
        if body.is_evicted:
            return False
        body.received_bytes += size
        if body.received_bytes - body.progress_bytes >= PROGRESS_BYTES:
            body.progress_bytes = body.received_bytes
            body.progress_ms = self._clock.now_ms()
        shortage = body.received_bytes - body.reserved_bytes
        if shortage <= 0:
            return True
        return self._reserve(body, max(STEP_BYTES, shortage))

    def remaining_ms(self, body: ArrivingBody, deadline_ms: float = math.inf) -> float:
        """Return how long a body may go on without further progress.

        Args:
            body: The body.
            deadline_ms: Monotonic time at which it must be whole in any case.
        """
        end_ms = min(body.progress_ms + self.stall_ms, deadline_ms)
        return end_ms - self._clock.now_ms()

    def finish(self, body: ArrivingBody) -> None:
        """Note that a body is whole; only what it needs stays reserved.

        Args:
            body: The body.
        """
        body.is_arriving = False
        self._arriving.pop(body, None)
        surplus = body.reserved_bytes - body.received_bytes
        if surplus > 0:
            self.budget.remove(BODIES, surplus)
            body.reserved_bytes -= surplus

    def release(self, body: ArrivingBody) -> None:
        """Return all bytes of a body to the budget; harmless if done already.

        Args:
            body: The body.
        """
        body.is_arriving = False
        self._arriving.pop(body, None)
        if body.reserved_bytes:
            self.budget.remove(BODIES, body.reserved_bytes)
            body.reserved_bytes = 0

    def _reserve(self, body: ArrivingBody, size: int) -> bool:
        total = body.reserved_bytes + size
        is_reserved = self.budget.try_reserve_body(size, total)
        if not is_reserved and self._evict_for(body, size, total):
            is_reserved = self.budget.try_reserve_body(size, total)
        if is_reserved:
            body.reserved_bytes = total
        else:
            self.refusals += 1
        return is_reserved

    def _evict_for(self, body: ArrivingBody, size: int, total: int) -> bool:
        """Give up silent bodies for another one; return whether any was."""
        victims = choose_victims(
            (other for other in self._arriving if other is not body),
            self.budget.body_shortage(size, total),
            self._clock.now_ms(),
        )
        for victim in victims:
            victim.is_evicted = True
            self.release(victim)
            self.evictions += 1
            victim.cancel()
        return bool(victims)


def choose_victims(
    arriving: Iterable[ArrivingBody], needed_bytes: int, now_ms: float
) -> list[ArrivingBody]:
    """Return the bodies to give up for another one, the longest silent one first.

    Args:
        arriving: Bodies that are not whole yet.
        needed_bytes: Bytes that must be released.
        now_ms: Monotonic time.

    Returns:
        Silent bodies that release enough together; none if they do not.
    """
    silent = [
        body for body in arriving if now_ms - body.progress_ms >= EVICTION_STALL_MS
    ]
    silent.sort(key=lambda body: body.progress_ms)
    victims = []
    for body in silent:
        victims.append(body)
        needed_bytes -= body.reserved_bytes
        if needed_bytes <= 0:
            return victims
    return []
