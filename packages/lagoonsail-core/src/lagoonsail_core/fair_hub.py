"""An event loop whose rounds are short, and in which urgent tasks do not wait.

eventlet's loop handles all sockets that are ready before it looks at others or at
timers. If a thousand callers wait, that takes a second or more, during which nothing
is read of what the router must know. Here a round handles few sockets. Those on which
an urgent task waits are among them whenever they are ready.
"""

from __future__ import annotations

import select
from bisect import bisect_right
from typing import TYPE_CHECKING

from lagoonsail_core.green import EpollHub, eventlet, getcurrent

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_SOCKETS_PER_ROUND = 16
"""Sockets handled in a round, besides urgent ones, unless very many are ready."""
MAX_ROUNDS = 16
"""Rounds in which all that are ready have had their turn, since to ask for them takes
time in each."""
MAX_REPORTED_SOCKETS = 1023
"""Ready sockets that an epoll reports unless asked for more."""
MAX_DESCRIPTORS = 65_536
"""More sockets than a router has."""
Ready = tuple[int, int]
"""A descriptor and its events."""
URGENT = "is_urgent_task"
"""Attribute of the greenlets of urgent tasks."""


class FairHub(EpollHub):
    """The event loop; see `use_fair_hub`."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        super().__init__(clock)
        self._last_fileno = -1

    @staticmethod
    def is_available() -> bool:
        """Return whether the hub works on this system, as eventlet asks."""
        return hasattr(select, "epoll")

    def do_poll(self, seconds: float) -> list[Ready]:
        """Return the sockets of a round with their events.

        The kernel reports those that are left out again.

        Args:
            seconds: Longest wait for the first.
        """
        ready = self.poll.poll(seconds)
        if len(ready) <= MAX_SOCKETS_PER_ROUND:
            return ready
        if len(ready) >= MAX_REPORTED_SOCKETS:
            ready = self.poll.poll(0, MAX_DESCRIPTORS)
        urgent, others = self._split(ready)
        return urgent + self._next_in_turn(others)

    def _split(self, ready: list[Ready]) -> tuple[list[Ready], list[Ready]]:
        """Return the sockets on which urgent tasks wait, and the others."""
        readers, writers = self.listeners[self.READ], self.listeners[self.WRITE]
        urgent, others = [], []
        for event in ready:
            listener = readers.get(event[0]) or writers.get(event[0])
            # The callback of a waiting task is a method of its greenlet.
            task = getattr(listener.cb, "__self__", None) if listener else None
            (urgent if getattr(task, URGENT, False) else others).append(event)
        return urgent, others

    def _next_in_turn(self, ready: list[Ready]) -> list[Ready]:
        """Return some sockets, beginning after the last one of the round before."""
        ready.sort()
        start = bisect_right(ready, self._last_fileno, key=_fileno)
        count = max(MAX_SOCKETS_PER_ROUND, len(ready) // MAX_ROUNDS)
        chosen = (ready[start:] + ready[:start])[:count]
        if chosen:
            self._last_fileno = _fileno(chosen[-1])
        return chosen


def _fileno(event: Ready) -> int:
    return event[0]


def use_fair_hub() -> None:
    """Use `FairHub` in this process; to be called before any task is started."""
    eventlet.hubs.use_hub(FairHub)


def mark_urgent(is_urgent: bool = True) -> None:
    """Set whether the current task is urgent.

    Args:
        is_urgent: Whether the sockets that it waits for from now on are looked at in
            each round.
    """
    setattr(getcurrent(), URGENT, is_urgent)
