"""Requests to an engine: reading its state, and sending orders."""

from __future__ import annotations

import json
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING

from lagoonsail_core.checked_http import FramedResponse
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.answer_input import MAX_UNUSED_BYTES, BoundedConnection
from lagoonsail_router.backend import CONNECTION_ERRORS

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock
    from lagoonsail_router.batched_gets import GetResponse

ORDERS_PATH = "/orders"
"""Path on an engine for its state and its orders."""
ORDER_TIMEOUT_S = 5.0
"""Timeout for the complete response to an order; in seconds, the unit of urllib3."""
MAX_STATE_BYTES = 262_144
"""Longest response body that is read."""
DEFAULT_RETRY_AFTER_MS = 1000.0
"""Wait after a 429 response whose Retry-After header is missing or malformed."""
MAX_RETRY_AFTER_MS = 600_000.0
"""Longest wait that a Retry-After header can impose."""

ACCEPTED = "taken"
"""The engine has carried out the order, or is loading."""
BUSY = "busy"
"""The engine is already loading."""
RATE_LIMITED = "limited"
"""The weight store rate-limits the engine."""
OUTDATED = "outdated"
"""The engine has seen a later owner."""
REFUSED = "refused"
"""The engine cannot carry out the order."""
FAILED = "failed"
"""No complete response, or a server error of the engine or the weight store."""

_RESULTS = {200: ACCEPTED, 202: ACCEPTED, 409: BUSY, 412: OUTDATED, 429: RATE_LIMITED}


class OrderConnection(BoundedConnection):
    """A connection for an order, whose response is read at once."""

    answer_class = FramedResponse
    max_unused_bytes = MAX_STATE_BYTES + MAX_UNUSED_BYTES


@dataclass(slots=True)
class EngineResponse:
    """An engine's response."""

    status: int
    """HTTP status."""
    body: bytes
    """Body, up to `MAX_STATE_BYTES`."""
    retry_after: str
    """Value of the Retry-After header, empty if it is missing."""


def classify_response(response: GetResponse | EngineResponse | Unavailable) -> str:
    """Return the result of an order or a state read, as one of the constants above."""
    if isinstance(response, Unavailable) or response.status >= 500:
        return FAILED
    return _RESULTS.get(response.status, REFUSED)


def read_retry_after_ms(text: str, clock: Clock) -> float:
    """Return the wait of a Retry-After header, which holds seconds or a date."""
    try:
        wait_ms = float(text) * 1000.0
    except ValueError:
        wait_ms = _time_until_ms(text, clock)
    if not wait_ms >= 0:
        wait_ms = DEFAULT_RETRY_AFTER_MS
    return min(wait_ms, MAX_RETRY_AFTER_MS)


def _time_until_ms(date: str, clock: Clock) -> float:
    try:
        return parsedate_to_datetime(date).timestamp() * 1000.0 - clock.wall_ms()
    except (ValueError, TypeError, IndexError, OverflowError, OSError):
        return DEFAULT_RETRY_AFTER_MS


def exchange(
    method: str, address: str, order: dict | None, headers: dict[str, str]
) -> EngineResponse | Unavailable:
    """Send a request to an engine and return its response, or why there is none.

    Args:
        method: HTTP method.
        address: IP address and port.
        order: Body of the request, None for no body.
        headers: Headers of the request.
    """
    # A new connection per request: a reused connection that has gone dead would make a
    # live engine seem unreachable.
    host, port = address.rsplit(":", 1)
    pool = urllib3.HTTPConnectionPool(
        host, int(port), timeout=ORDER_TIMEOUT_S, retries=False
    )
    pool.ConnectionCls = OrderConnection
    body = None if order is None else json.dumps(order)
    try:
        # The socket timeout restarts with each byte received, so it bounds no total.
        with eventlet.Timeout(ORDER_TIMEOUT_S, TimeoutError("response timed out")):
            response = pool.request(
                method, ORDERS_PATH, body=body, headers=headers, preload_content=False
            )
            data = response.read(MAX_STATE_BYTES)
    except CONNECTION_ERRORS as error:
        return Unavailable(f"request to {address}{ORDERS_PATH} failed: {error}")
    finally:
        pool.close()
    return EngineResponse(
        response.status, data, response.headers.get("Retry-After", "")
    )
