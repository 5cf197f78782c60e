"""Keeps a router a member of its fleet, by a lease in the store that it renews."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    class Registration(Protocol):
        """The key of this router in the store, under a lease."""

        def renew(self) -> float | Unavailable:
            """Renew the lease; register if there is none, or the key is gone.

            Returns:
                The milliseconds until the next call, or the reason of a failure.
            """

        def forget(self) -> None:
            """Register anew with the next call."""


MEMBERSHIP_RETRY_MS = 1000.0
"""Delay after a failed registration or lease renewal."""


class Membership:
    """The registration of this router, and its renewals."""

    __slots__ = ("_due", "_is_due_early", "_on_answer", "_on_failure", "_registration")

    def __init__(
        self,
        registration: Registration,
        on_answer: Callable[[], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Create it without calling the store.

        Args:
            registration: Makes the calls to the store.
            on_answer: Called when the store has carried out a call.
            on_failure: Called with the reason of each failure.
        """
        self._due = eventlet.semaphore.Semaphore(0)
        self._is_due_early = False
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._registration = registration

    def keep(self) -> None:
        """Register the router and renew its lease until the task ends."""
        mark_urgent()
        while True:
            delay_ms = self._registration.renew()
            self._is_due_early = False
            if isinstance(delay_ms, Unavailable):
                self._on_failure(delay_ms.reason)
                delay_ms = MEMBERSHIP_RETRY_MS
            else:
                self._on_answer()
            # Jitter, because all routers of a fleet may have started at the same time.
            delay_ms *= random.uniform(0.75, 1.0)
            self._due.acquire(timeout=delay_ms / 1000.0)

    def register_again(self) -> None:
        """Register now, as the key of this router is not in the store."""
        self._registration.forget()
        self.renew_early()

    def renew_early(self) -> None:
        """Renew the lease now, to see whether the store answers."""
        if not self._is_due_early:
            self._is_due_early = True
            self._due.release()
