"""Keeps a router a member of its fleet, by a lease in the store that it renews."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

MEMBERSHIP_RETRY_MS = 1000.0
"""Delay after a failed registration or lease renewal."""


def keep_membership(
    renew: Callable[[], float | Unavailable], on_failure: Callable[[str], None]
) -> None:
    """Register the router and renew its lease until the task ends.

    Args:
        renew: Registers the router or renews its lease. Returns the milliseconds until
            the next call, or the reason of a failure.
        on_failure: Called with the reason of each failure.
    """
    mark_urgent()
    while True:
        delay_ms = renew()
        if isinstance(delay_ms, Unavailable):
            on_failure(delay_ms.reason)
            delay_ms = MEMBERSHIP_RETRY_MS
        # Jitter, because all routers of a fleet may have started at the same time.
        eventlet.sleep(delay_ms * random.uniform(0.75, 1.0) / 1000.0)
