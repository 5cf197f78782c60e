"""Reads of the host list: their interval, and the state of this router's own host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_router.context import LEAVING, SERVING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.right import Right

READ_INTERVAL_PER_HOST_MS = 10.0
"""Interval between two reads of the host list, per host in it."""
MAX_READ_INTERVAL_FRACTION = 0.3
"""Longest such interval, as a fraction of the age up to which the list is valid."""


def host_list_pause_ms(host_count: int, poll_ms: float, max_lag_ms: float) -> float:
    """Return the additional wait after a read of the host list.

    The size of a read grows with the list, so a long list is read less often, but often
    enough that it does not become too old.

    Args:
        host_count: Hosts in the list.
        poll_ms: Regular interval between two reads.
        max_lag_ms: Age up to which the list is valid.

    Returns:
        Milliseconds to wait in addition to the regular interval.

    Example:
        >>> [host_list_pause_ms(hosts, 1000.0, 10_000.0) for hosts in (100, 200, 900)]
        [0.0, 1000.0, 2000.0]
    """
    interval_ms = min(
        host_count * READ_INTERVAL_PER_HOST_MS, max_lag_ms * MAX_READ_INTERVAL_FRACTION
    )
    return max(0.0, interval_ms - poll_ms)


def make_host_reader(
    context: RouterContext, right: Right, is_stopping: Callable[[], bool]
) -> Callable[[], None]:
    """Return the step that reads the host list and applies this host's state.

    Args:
        context: The router's shared state.
        right: Reads the list and publishes the router's state.
        is_stopping: Returns whether the router is stopping, which the list cannot undo.
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
