"""HTTP request and response with a total timeout."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonsail_core.checked_http import CheckedPool
from lagoonsail_core.green import eventlet, urllib3

POOL_CONNECTIONS = 64
"""Maximum number of idle connections per endpoint."""

HTTP_ERRORS = (urllib3.exceptions.HTTPError, OSError)
"""Exceptions of urllib3 when there is no complete response."""


@dataclass(slots=True)
class Reply:
    """A complete HTTP response."""

    status: int
    """HTTP status code."""
    body: bytes
    """Complete body."""


@dataclass(slots=True)
class ExchangeFailure:
    """No complete response was received."""

    reason: str
    """Why, for operators."""
    may_have_run: bool
    """Whether the request may have been executed."""


def open_pool(address: str) -> urllib3.HTTPConnectionPool:
    """Return a connection pool for one address.

    Args:
        address: `host:port`.

    Returns:
        The pool; no connection is open yet.
    """
    host, _, port = address.rpartition(":")
    return CheckedPool(
        host, int(port), maxsize=POOL_CONNECTIONS, block=False, retries=False
    )


def _close_idle(pool: urllib3.HTTPConnectionPool) -> None:
    """Close the idle connections, which may be dead like the one that timed out."""
    idle = [pool.pool.get(block=False) for _ in range(pool.pool.qsize())]
    for connection in idle:
        if connection is not None:
            connection.close()
        pool.pool.put(None, block=False)


def _failure_from(error: Exception, address: str) -> ExchangeFailure:
    not_sent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(error, not_sent):
        return ExchangeFailure(
            f"{address} does not accept connections", may_have_run=False
        )
    reason = f"{address} broke off without a whole answer ({type(error).__name__})"
    return ExchangeFailure(reason, may_have_run=True)


def exchange(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    body: bytes | None,
    timeout_ms: float,
) -> Reply | ExchangeFailure:
    """Send a request and read the complete response.

    A connection without a complete response in time is closed. After a timeout the idle
    connections to the same address are closed too.

    Args:
        pool: From `open_pool`.
        method: HTTP method.
        path: Path with query.
        body: JSON body, or None.
        timeout_ms: Total timeout including connecting, in milliseconds.

    Returns:
        The response with any status, or the failure.
    """
    address = f"{pool.host}:{pool.port}"
    headers = {"Content-Type": "application/json"} if body is not None else {}
    # A timeout of urllib3 bounds each read only, so a slow trickle of bytes would
    # never time out.
    timer = eventlet.Timeout(timeout_ms / 1000.0)
    try:
        response = pool.urlopen(
            method, path, body=body, headers=headers, redirect=False, timeout=None
        )
    except eventlet.Timeout as timeout:
        if timeout is not timer:
            raise
        _close_idle(pool)
        reason = f"{address} did not answer within {timeout_ms:.0f} ms"
        return ExchangeFailure(reason, may_have_run=True)
    except HTTP_ERRORS as error:
        return _failure_from(error, address)
    finally:
        timer.cancel()
    return Reply(response.status, response.data)
