"""Reuse of idle connections, and for which requests."""

from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_gateway.connection_pool import MAX_IDLE_NON_RETRYABLE_MS, ConnectionPool
from lagoonsail_gateway.server_connection import ConnectFailedError
from lagoonsail_gateway.server_directory import Server


@pytest.fixture
def pool_of(serve_script, make_record, steps):
    """Make a pool, a server, and an idle connection that was used once."""

    def make(script=lambda head: []):
        server = serve_script(script)
        pool = ConnectionPool(Clock())
        target = Server(make_record(address=server.address), 0.0)
        connection = pool.acquire(target, "id-0", is_retryable=True)
        pool.release(target, connection)
        return pool, target, connection

    return make


def test_connection_is_reused(pool_of):
    pool, server, connection = pool_of()
    assert pool.acquire(server, "id-1", is_retryable=False) is connection
    assert (pool.opened, pool.reused) == (1, 1)


def test_connection_idle_for_long_is_reused_only_for_retryable_requests(pool_of):
    pool, server, connection = pool_of()
    connection.idle_since_ms -= MAX_IDLE_NON_RETRYABLE_MS + 100.0
    connection.idle_limit_ms = 8000.0
    assert pool.acquire(server, "id-1", is_retryable=False) is not connection
    assert pool.acquire(server, "id-1", is_retryable=True) is connection


def test_connection_near_the_keep_alive_timeout_is_not_reused(pool_of):
    pool, server, connection = pool_of()
    connection.idle_since_ms -= connection.idle_limit_ms
    assert pool.acquire(server, "id-1", is_retryable=True) is not connection


def test_closed_connection_is_not_reused(pool_of, serve_script, steps):
    pool, server, connection = pool_of()
    connection.abort()
    eventlet.sleep(0.05)
    assert pool.acquire(server, "id-1", is_retryable=True) is not connection


def test_connection_is_not_reused_for_another_incarnation(pool_of, make_record):
    pool, server, connection = pool_of()
    record = make_record(address=server.record.address, started_at_ms=2)
    assert (
        pool.acquire(Server(record, 0.0), "id-1", is_retryable=True) is not connection
    )


def test_unreachable_server_raises_connect_failed(make_record, free_address):
    pool = ConnectionPool(Clock())
    server = Server(make_record(address=free_address), 0.0)
    with pytest.raises(ConnectFailedError):
        pool.acquire(server, "id-1", is_retryable=True)
