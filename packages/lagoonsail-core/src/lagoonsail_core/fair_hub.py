"""An event loop whose rounds are short, and in which urgent tasks do not wait.

eventlet's loop handles all sockets that are ready before it looks at others or at
timers. If a thousand callers wait, that takes a second or more, during which nothing
is read of what the router must know. Here a round handles few sockets. Those on which
an urgent task waits are among them whenever they are ready.
"""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from lagoonsail_core.green import EpollHub, eventlet, getcurrent

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_SOCKETS_PER_ROUND = 16
"""Sockets handled in a round, besides urgent ones. The kernel reports ready sockets in
turn, so none is left out."""
URGENT = "is_urgent_task"
"""Attribute of the greenlets of urgent tasks."""


class FairHub(EpollHub):
    """The event loop; see `use_fair_hub`."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        super().__init__(clock)
        self._urgent_poll = select.epoll()
        self._urgent_poll_fileno = self._urgent_poll.fileno()
        self._urgent_filenos: set[int] = set()
        # Wakes the loop, which then asks the urgent sockets.
        self.poll.register(self._urgent_poll_fileno, select.EPOLLIN)

    @staticmethod
    def is_available() -> bool:
        """Return whether the hub works on this system, as eventlet asks."""
        return hasattr(select, "epoll")

    def add(self, evtype: str, fileno: int, *callbacks: object) -> object:
        """Register a listener; its socket is urgent if the current task is.

        Args:
            evtype: READ or WRITE of the hub.
            fileno: The descriptor.
            *callbacks: As of eventlet's hub.
        """
        if getattr(getcurrent(), URGENT, False) and not self._mask(fileno):
            self._urgent_filenos.add(fileno)
        return super().add(evtype, fileno, *callbacks)

    def register(self, fileno: int, new: bool = False) -> None:
        """Tell the kernel which events of a descriptor are waited for.

        Args:
            fileno: The descriptor.
            new: Whether the kernel does not know it.
        """
        is_urgent = fileno in self._urgent_filenos
        poll = self._urgent_poll if is_urgent else self.poll
        mask = self._mask(fileno)
        if not mask:
            self._unregister(fileno)
        elif new:
            poll.register(fileno, mask)
        else:
            try:
                poll.modify(fileno, mask)
            except OSError:
                # The kernel has forgotten it when it was closed.
                poll.register(fileno, mask)

    def remove_descriptor(self, fileno: int) -> None:
        """Remove all listeners of a descriptor that is closed or invalid."""
        self._unregister(fileno)
        super().remove_descriptor(fileno)

    def do_poll(self, seconds: float) -> list[tuple[int, int]]:
        """Return the sockets of a round with their events.

        Args:
            seconds: Longest wait for the first.
        """
        ready = self.poll.poll(seconds, MAX_SOCKETS_PER_ROUND)
        others = [event for event in ready if event[0] != self._urgent_poll_fileno]
        if len(others) == len(ready) < MAX_SOCKETS_PER_ROUND:
            return ready
        return self._urgent_poll.poll(0) + others

    def _mask(self, fileno: int) -> int:
        mask = 0
        if self.listeners[self.READ].get(fileno):
            mask |= self.READ_MASK | self.EXC_MASK
        if self.listeners[self.WRITE].get(fileno):
            mask |= self.WRITE_MASK | self.EXC_MASK
        return mask

    def _unregister(self, fileno: int) -> None:
        is_urgent = fileno in self._urgent_filenos
        self._urgent_filenos.discard(fileno)
        try:
            (self._urgent_poll if is_urgent else self.poll).unregister(fileno)
        except (OSError, ValueError):
            # The kernel has forgotten it when it was closed.
            return


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
