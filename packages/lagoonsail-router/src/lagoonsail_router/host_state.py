"""What the host list says of this router's own host, and how often it is read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_router.context import LEAVING, SERVING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.right import Right

HOST_READ_MS = 10.0
"""Time between two reads of the host list for each host in it."""
HOST_LIST_AGE_PART = 0.3
"""Longest such time, as a part of the age up to which the list may be relied upon."""


def host_list_pause_ms(hosts: int, poll_ms: float, max_lag_ms: float) -> float:
    """Return how much longer than usual to wait after a host list was read.

    The bytes of one read grow with the list, so a long list is read more seldom, but
    often enough that what is known of it is not too old.

    Args:
        hosts: Hosts in the list.
        poll_ms: Usual time between two reads.
        max_lag_ms: Age above which the list may not be relied upon.

    Returns:
        Milliseconds to wait beyond the usual time.

    Example:
        >>> [host_list_pause_ms(hosts, 1000.0, 10_000.0) for hosts in (100, 200, 900)]
        [0.0, 1000.0, 2000.0]
    """
    interval_ms = min(hosts * HOST_READ_MS, max_lag_ms * HOST_LIST_AGE_PART)
    return max(0.0, interval_ms - poll_ms)


def make_host_reader(
    context: RouterContext, right: Right, is_stopping: Callable[[], bool]
) -> Callable[[], None]:
    """Return the step that reads the host list, and leaves or serves as it says.

    Args:
        context: The router's shared state.
        right: Reads the list.
        is_stopping: Whether the router stops, which the list cannot undo.
    """

    def read() -> None:
        right.read_hosts()
        if is_stopping():
            return
        state = LEAVING if context.settings.name in right.leaving else SERVING
        if state == context.state:
            return
        context.state = state
        context.timeline.record("host_state_changed", state=state)
        right.write_state()

    return read
