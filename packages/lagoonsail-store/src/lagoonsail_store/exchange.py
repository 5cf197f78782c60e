"""One HTTP request and its answer, within a total bound of time."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonsail_core.green import eventlet, urllib3

POOL_CONNECTIONS = 64
"""Idle connections that are kept for each endpoint."""

HTTP_ERRORS = (urllib3.exceptions.HTTPError, OSError)
"""What urllib3 raises when there is no whole answer."""


@dataclass(slots=True)
class Reply:
    """A whole answer."""

    status: int
    """Status code."""
    body: bytes
    """Whole body."""


@dataclass(slots=True)
class Lost:
    """No whole answer came."""

    reason: str
    """Why, in words an operator can act on."""
    may_have_run: bool
    """Whether the request may have been carried out."""


def open_pool(address: str) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections to one address.

    Args:
        address: `host:port`.

    Returns:
        The pool; no connection is open yet.
    """
    host, _, port = address.rpartition(":")
    return urllib3.HTTPConnectionPool(
        host, int(port), maxsize=POOL_CONNECTIONS, block=False, retries=False
    )


def _close_idle(pool: urllib3.HTTPConnectionPool) -> None:
    """Close the idle connections, which may be as dead as the one that timed out."""
    idle = [pool.pool.get(block=False) for _ in range(pool.pool.qsize())]
    for connection in idle:
        if connection is not None:
            connection.close()
        pool.pool.put(None, block=False)


def _loss_of(error: Exception, address: str) -> Lost:
    never_sent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(error, never_sent):
        return Lost(f"{address} does not accept connections", may_have_run=False)
    reason = f"{address} broke off without a whole answer ({type(error).__name__})"
    return Lost(reason, may_have_run=True)


def exchange(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    body: bytes | None,
    timeout_ms: float,
) -> Reply | Lost:
    """Send a request and read its whole answer.

    A connection whose answer did not come whole in time is closed and never used again,
    and after a timeout the idle ones to the same address are not used either.

    Args:
        pool: From `open_pool`.
        method: HTTP method.
        path: Path with query.
        body: JSON body, or None.
        timeout_ms: Bound of the whole exchange with connecting, in milliseconds.

    Returns:
        The answer, whatever its status, or why there is none.
    """
    address = f"{pool.host}:{pool.port}"
    headers = {"Content-Type": "application/json"} if body is not None else {}
    # urllib3 bounds each read only; a trickle of bytes would go on for ever.
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
        return Lost(reason, may_have_run=True)
    except HTTP_ERRORS as error:
        return _loss_of(error, address)
    finally:
        timer.cancel()
    return Reply(response.status, response.data)
