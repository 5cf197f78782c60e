"""Calls to an engine: its state, and orders with what came of them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.backend import CONNECTION_ERRORS

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock
    from lagoonsail_router.batched_gets import GetAnswer

ORDERS_PATH = "/orders"
"""Path at an engine for its state and its orders."""
ORDER_TIMEOUT_S = 5.0
"""Time for the whole answer to an order, in seconds as urllib3 takes it."""
MAX_STATE_BYTES = 262_144
"""Longest state that is read."""
UNTOLD_LIMIT_MS = 1000.0
"""Time for which the weight store's limit is believed if it does not tell one."""
LONGEST_LIMIT_MS = 600_000.0
"""Longest time for which the weight store's limit is believed."""

TAKEN = "taken"
"""The engine has carried the order out, or loads."""
BUSY = "busy"
"""The engine loads already."""
LIMITED = "limited"
"""The weight store limits its rate."""
OUTDATED = "outdated"
"""The engine has seen a later owner."""
REFUSED = "refused"
"""The engine cannot carry the order out."""
FAILED = "failed"
"""No answer, or a fault of the engine or the weight store."""

_RESULTS = {200: TAKEN, 202: TAKEN, 409: BUSY, 412: OUTDATED, 429: LIMITED}


@dataclass(slots=True)
class EngineAnswer:
    """An answer of an engine."""

    status: int
    """HTTP status."""
    body: bytes
    """Body, up to `MAX_STATE_BYTES`."""
    retry_after: str
    """Header of that name, empty if there is none."""


def judge(answer: GetAnswer | EngineAnswer | Unavailable) -> str:
    """Return what came of an order or a look, as one of the constants above."""
    if isinstance(answer, Unavailable) or answer.status >= 500:
        return FAILED
    return _RESULTS.get(answer.status, REFUSED)


def read_retry_after_ms(text: str, clock: Clock) -> float:
    """Return the time of a Retry-After header, which is in seconds or a date."""
    try:
        wait_ms = float(text) * 1000.0
    except ValueError:
        wait_ms = _time_until_ms(text, clock)
    if not wait_ms >= 0:
        wait_ms = UNTOLD_LIMIT_MS
    return min(wait_ms, LONGEST_LIMIT_MS)


def _time_until_ms(date: str, clock: Clock) -> float:
    try:
        return parsedate_to_datetime(date).timestamp() * 1000.0 - clock.wall_ms()
    except (ValueError, TypeError, IndexError, OverflowError, OSError):
        return UNTOLD_LIMIT_MS


def exchange(
    method: str, address: str, order: dict | None, headers: dict[str, str]
) -> EngineAnswer | Unavailable:
    """Send a request to an engine and return its answer, or why there is none.

    Args:
        method: HTTP method.
        address: IP number and port.
        order: Body of the request, None for none.
        headers: Headers of the request.
    """
    # A fresh connection each time: one that went silent must not hide the engine.
    host, port = address.rsplit(":", 1)
    pool = urllib3.HTTPConnectionPool(
        host, int(port), timeout=ORDER_TIMEOUT_S, retries=False
    )
    body = None if order is None else json.dumps(order)
    try:
        # The timeout of the socket starts anew with each byte that comes.
        with eventlet.Timeout(ORDER_TIMEOUT_S, TimeoutError("no whole answer in time")):
            response = pool.request(
                method, ORDERS_PATH, body=body, headers=headers, preload_content=False
            )
            data = response.read(MAX_STATE_BYTES)
    except CONNECTION_ERRORS as error:
        return Unavailable(f"no answer from {address}{ORDERS_PATH}: {error}")
    finally:
        pool.close()
    return EngineAnswer(response.status, data, response.headers.get("Retry-After", ""))
