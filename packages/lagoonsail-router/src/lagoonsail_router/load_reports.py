"""Reads the load reports and cache events of backend servers."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_sharing.server_limit import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_router.batched_gets import BatchedGets, GetResponse

REPORT_TIMEOUT_MS = 900.0
"""Timeout for a report. Shorter than the poll interval, so that a lost report does not
delay the next one."""
MAX_RUNNING = 1_000_000
"""Largest number of running requests that is accepted in a report."""
REPORT_LAG_MS = 2000.0
"""Assumed greatest age of the values in a report."""


@dataclass(slots=True)
class CacheEvent:
    """A change of an engine's prefix cache."""

    sequence: int
    """Sequence number of the event."""
    is_reset: bool
    """Whether the cache was emptied."""
    stored: list[int]
    """Hashes of prefixes that were added."""
    removed: list[int]
    """Hashes of prefixes that were evicted."""


def _find_last(name: bytes) -> Callable[[bytes], bytes | None]:
    """Return a function that finds the last sample of a metric in a report."""
    # A report has hundreds of samples. `re` searches fastest for a pattern that begins
    # with a literal, so the check for the start of the line comes after the name.
    pattern = rb"%b(?<![^\n]%b)(?:\{[^}]*\})? (\S+)" % (name, name)
    find_all = re.compile(pattern).findall

    def find(body: bytes) -> bytes | None:
        values = find_all(body)
        return values[-1] if values else None

    return find


_find_running = _find_last(b"engine:num_requests_running")
_find_warm = _find_last(b"engine:warm")


def request_load_report(
    gets: BatchedGets,
    address: str,
    clock: Clock,
    on_report: Callable[[LoadReport | Unavailable], None],
) -> None:
    """Request the load report of a backend server.

    Args:
        gets: Sends the request.
        address: Address of the server.
        clock: The router's clock.
        on_report: Called with the report, or with why there is none.
    """

    def on_response(response: GetResponse | Unavailable) -> None:
        body = _body_of(response)
        if isinstance(body, Unavailable):
            on_report(body)
            return
        incarnation = response.headers.get("x-server-incarnation", "")
        on_report(parse_load(body, incarnation, clock.now_ms() - REPORT_LAG_MS))

    gets.add(address, "/metrics", REPORT_TIMEOUT_MS, on_response)


def _body_of(response: GetResponse | Unavailable) -> bytes | Unavailable:
    if isinstance(response, Unavailable):
        return response
    if response.status != 200:
        return Unavailable(f"unexpected HTTP status {response.status}")
    return response.body


def parse_load(
    body: bytes, incarnation: str, measured_ms: float
) -> LoadReport | Unavailable:
    """Parse and validate a load report.

    Args:
        body: Metrics in the Prometheus text format.
        incarnation: Incarnation of the server that sent it.
        measured_ms: Monotonic time for which its values hold.

    Returns:
        The report, or why it is rejected.
    """
    running_text, warm_text = _find_running(body), _find_warm(body)
    if running_text is None:
        return Unavailable("load report lacks engine:num_requests_running")
    try:
        running = int(float(running_text))
        is_warm = None if warm_text is None else float(warm_text) > 0
    except (ValueError, OverflowError) as error:
        return Unavailable(f"malformed load report ({error!r:.200})")
    if not 0 <= running <= MAX_RUNNING:
        return Unavailable(f"load report out of range: {running:.3g} running requests")
    return LoadReport(incarnation, running, is_warm, measured_ms)


def request_cache_events(
    gets: BatchedGets,
    address: str,
    after: int,
    on_events: Callable[[list[CacheEvent] | Unavailable], None],
) -> None:
    """Request the prefix-cache events of a model engine.

    Args:
        gets: Sends the request.
        address: Address of the engine.
        after: Sequence number of the last event that was read.
        on_events: Called with the events in order, or with why there are none.
    """

    def on_response(response: GetResponse | Unavailable) -> None:
        body = _body_of(response)
        is_success = isinstance(body, bytes)
        on_events(parse_cache_events(body) if is_success else body)

    gets.add(address, f"/cache_events?after={after}", REPORT_TIMEOUT_MS, on_response)


def parse_cache_events(body: bytes) -> list[CacheEvent] | Unavailable:
    """Parse and validate the prefix-cache events of a model engine.

    Args:
        body: Events as JSON.

    Returns:
        The events in order, or why they are rejected.
    """
    try:
        return [_parse_event(event) for event in json.loads(body)["events"]]
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
        return Unavailable(f"malformed cache events ({error!r:.200})")


def _parse_event(event: dict) -> CacheEvent:
    kind, item = event["kind"], int(event["hash"])
    stored = [item] if kind == "stored" else []
    removed = [item] if kind == "removed" else []
    return CacheEvent(int(event["sequence"]), kind == "cleared", stored, removed)
