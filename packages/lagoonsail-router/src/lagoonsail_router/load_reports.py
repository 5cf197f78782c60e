"""Reads the load that backend servers report, for the owner of their shard."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.green import urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.backend import CONNECTION_ERRORS
from lagoonsail_sharing.server_limit import LoadReport

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

REPORT_TIMEOUT_S = 1.0
"""Time after which a report is given up, in seconds as urllib3 takes it."""
MAX_REPORT_BYTES = 262_144
"""Longest report that is read."""
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


_SAMPLE = re.compile(r"^([a-zA-Z_:][\w:]*)(?:\{[^}]*\})? (\S+)", re.MULTILINE)


def _get(address: str, path: str) -> tuple[bytes, str] | Unavailable:
    # A fresh connection each time: one that went silent must not hide the server.
    host, port = address.rsplit(":", 1)
    # A pool would cost a quarter more than this one connection.
    connection = urllib3.connection.HTTPConnection(
        host, int(port), timeout=REPORT_TIMEOUT_S
    )
    try:
        connection.request("GET", path, preload_content=False)
        response = connection.getresponse()
        body = response.read(MAX_REPORT_BYTES)
    except CONNECTION_ERRORS as error:
        return Unavailable(f"no answer from {address}{path}: {error}")
    finally:
        connection.close()
    if response.status != 200:
        return Unavailable(f"{address}{path} answered {response.status}")
    return body, response.headers.get("X-Server-Incarnation", "")


def read_load(address: str, clock: Clock) -> LoadReport | Unavailable:
    """Read the load report of a backend server.

    Args:
        address: Address of the server.
        clock: The clock.

    Returns:
        The report, or why there is none.
    """
    result = _get(address, "/metrics")
    if not result:
        return result
    body, incarnation = result
    return parse_load(body, incarnation, clock.now_ms() - REPORT_LAG_MS)


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
    samples = dict(_SAMPLE.findall(body.decode("utf-8", "replace")))
    try:
        running = int(float(samples["engine:num_requests_running"]))
        warm = samples.get("engine:warm")
        is_warm = None if warm is None else float(warm) > 0
    except (KeyError, ValueError, OverflowError) as error:
        return Unavailable(f"malformed load report ({error!r:.200})")
    if not 0 <= running <= MAX_RUNNING:
        return Unavailable(f"load report with {running:.3g} running requests")
    return LoadReport(incarnation, running, is_warm, measured_ms)


def read_cache_events(address: str, after: int) -> list[CacheEvent] | Unavailable:
    """Read the prefix-cache events of a model engine.

    Args:
        address: Address of the engine.
        after: Sequence of the last event that was read.

    Returns:
        Events in order, or why there are none.
    """
    result = _get(address, f"/cache_events?after={after}")
    if isinstance(result, Unavailable):
        return result
    return parse_cache_events(result[0])


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
