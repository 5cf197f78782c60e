"""Ring buffer of events, ordered across processes by a Lamport clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

RING_CAPACITY = 4096
"""Number of events that a process keeps; older ones are overwritten."""


@dataclass(slots=True)
class Event:
    """A state change in one process."""

    logical: int
    """Lamport time; greater than that of every event that may have caused this one."""
    wall_ms: float
    """Wall time in milliseconds since the Unix epoch."""
    router: str
    """Name of the process that recorded the event."""
    name: str
    """Stable name of the kind of event."""
    fields: dict[str, str | int | float] = field(default_factory=dict)
    """Subject of the event: request, server, account, failure_domain and others."""

    def as_dict(self) -> dict[str, object]:
        """Return the event as a flat dictionary for JSON."""
        return {
            "logical": self.logical,
            "wall_ms": round(self.wall_ms, 3),
            "router": self.router,
            "event": self.name,
            **self.fields,
        }


class Timeline:
    """The most recent events of one process.

    Example:
        >>> from lagoonsail_core.clock import Clock
        >>> timeline = Timeline("r1", Clock(lambda: 0.0, lambda: 7.0))
        >>> timeline.observe(41)
        >>> timeline.record("lease_lost", shard="s").logical
        42
    """

    __slots__ = ("_clock", "_listeners", "_ring", "logical", "router")

    def __init__(self, router: str, clock: Clock, capacity: int = RING_CAPACITY):
        self.router = router
        self.logical = 0
        self._clock = clock
        self._ring: deque[Event] = deque(maxlen=capacity)
        self._listeners = []

    def subscribe(self, listener) -> None:
        """Call a listener with every event that is recorded from now on."""
        self._listeners.append(listener)

    def observe(self, logical: int) -> None:
        """Advance the logical clock past a time received from another process.

        Args:
            logical: The sender's logical time.
        """
        self.logical = max(self.logical, logical)

    def record(self, name: str, **fields: str | int | float) -> Event:
        """Append an event.

        Args:
            name: Stable name of the kind of event.
            **fields: Subject of the event.

        Returns:
            The recorded event.
        """
        self.logical += 1
        event = Event(self.logical, self._clock.wall_ms(), self.router, name, fields)
        self._ring.append(event)
        for listener in self._listeners:
            listener(event)
        return event

    def since(self, logical: int) -> list[Event]:
        """Return the kept events after a logical time.

        Args:
            logical: Events at or before this logical time are omitted.

        Returns:
            Events in the order in which they were recorded.
        """
        return [event for event in self._ring if event.logical > logical]
