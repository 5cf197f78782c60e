"""Reads the load that backend servers report, for the owner of their shard."""

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
    from lagoonsail_router.batched_gets import BatchedGets, GetAnswer

REPORT_TIMEOUT_MS = 900.0
"""Time after which a report is given up; below the time between two reads, so that a
lost report does not keep the next one from being read in time."""
MAX_RUNNING = 1_000_000
"""Most running requests that a report may tell of."""
REPORT_LAG_MS = 2000.0
"""Assumed greatest age of what a report says."""


@dataclass(slots=True)
class CacheEvent:
    """One change of an engine's prefix cache."""

    sequence: int
    """Number of the event."""
    is_reset: bool
    """Whether the cache was emptied."""
    stored: list[int]
    """Hashes of prefixes that it holds now."""
    removed: list[int]
    """Hashes of prefixes that it holds no more."""


def _find_last(name: bytes) -> Callable[[bytes], bytes | None]:
    """Return what finds the last sample of a name; a report has hundreds of others."""
    # A pattern that begins with its name is searched for quickest; what stands before
    # it comes second.
    pattern = rb"%b(?<![^\n]%b)(?:\{[^}]*\})? (\S+)" % (name, name)
    find_all = re.compile(pattern).findall

    def find(body: bytes) -> bytes | None:
        values = find_all(body)
        return values[-1] if values else None

    return find


_find_running = _find_last(b"engine:num_requests_running")
_find_warm = _find_last(b"engine:warm")


def ask_load(
    gets: BatchedGets,
    address: str,
    clock: Clock,
    on_report: Callable[[LoadReport | Unavailable], None],
) -> None:
    """Ask a backend server for its load report.

    Args:
        gets: Sends the request.
        address: Address of the server.
        clock: The clock.
        on_report: Called with the report, or with why there is none.
    """

    def on_answer(answer: GetAnswer | Unavailable) -> None:
        body = _body_of(answer)
        if isinstance(body, Unavailable):
            on_report(body)
            return
        incarnation = answer.headers.get("x-server-incarnation", "")
        on_report(parse_load(body, incarnation, clock.now_ms() - REPORT_LAG_MS))

    gets.add(address, "/metrics", REPORT_TIMEOUT_MS, on_answer)


def _body_of(answer: GetAnswer | Unavailable) -> bytes | Unavailable:
    if isinstance(answer, Unavailable):
        return answer
    if answer.status != 200:
        return Unavailable(f"answer with status {answer.status}")
    return answer.body


def parse_load(
    body: bytes, incarnation: str, measured_ms: float
) -> LoadReport | Unavailable:
    """Check and decode a load report.

    Args:
        body: Prometheus text.
        incarnation: Incarnation of the server that sent it.
        measured_ms: Monotonic time of which it tells.

    Returns:
        The report, or what is wrong with it.
    """
    running_text, warm_text = _find_running(body), _find_warm(body)
    if running_text is None:
        return Unavailable("load report without running requests")
    try:
        running = int(float(running_text))
        is_warm = None if warm_text is None else float(warm_text) > 0
    except (ValueError, OverflowError) as error:
        return Unavailable(f"malformed load report ({error!r:.200})")
    if not 0 <= running <= MAX_RUNNING:
        return Unavailable(f"load report with {running:.3g} running requests")
    return LoadReport(incarnation, running, is_warm, measured_ms)


def ask_cache_events(
    gets: BatchedGets,
    address: str,
    after: int,
    on_events: Callable[[list[CacheEvent] | Unavailable], None],
) -> None:
    """Ask a model engine for its prefix-cache events.

    Args:
        gets: Sends the request.
        address: Address of the engine.
        after: Sequence of the last event that was read.
        on_events: Called with the events in order, or with why there are none.
    """

    def on_answer(answer: GetAnswer | Unavailable) -> None:
        body = _body_of(answer)
        is_there = isinstance(body, bytes)
        on_events(parse_cache_events(body) if is_there else body)

    gets.add(address, f"/cache_events?after={after}", REPORT_TIMEOUT_MS, on_answer)


def parse_cache_events(body: bytes) -> list[CacheEvent] | Unavailable:
    """Check and decode the prefix-cache events of a model engine.

    Args:
        body: JSON.

    Returns:
        Events in order, or what is wrong with them.
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
