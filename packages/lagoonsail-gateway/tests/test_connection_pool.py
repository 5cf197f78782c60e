"""Kept connections: which are used again, and for what."""

from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_gateway.connection_pool import SURE_IDLE_MS, ConnectionPool
from lagoonsail_gateway.server_connection import ConnectFailedError
from lagoonsail_gateway.server_directory import Server


@pytest.fixture
def pool_of(serve_script, make_record, steps):
    """Make a pool, a server, and a connection that was used once."""

    def make(script=lambda head: []):
        server = serve_script(script)
        pool = ConnectionPool(Clock())
        target = Server(make_record(address=server.address), 0.0)
        connection = pool.take(target, is_repeatable=True)
        pool.give_back(target, connection)
        return pool, target, connection

    return make


def test_connection_is_used_again(pool_of):
    pool, server, connection = pool_of()
    assert pool.take(server, is_repeatable=False) is connection
    assert (pool.opened, pool.reused) == (1, 1)


def test_connection_unused_for_long_carries_only_what_may_be_sent_again(pool_of):
    pool, server, connection = pool_of()
    connection.idle_since_ms -= SURE_IDLE_MS + 100.0
    connection.idle_limit_ms = 8000.0
    assert pool.take(server, is_repeatable=False) is not connection
    assert pool.take(server, is_repeatable=True) is connection


def test_connection_near_the_servers_own_limit_is_not_used(pool_of):
    pool, server, connection = pool_of()
    connection.idle_since_ms -= connection.idle_limit_ms
    assert pool.take(server, is_repeatable=True) is not connection


def test_connection_that_the_server_closed_is_not_used(pool_of, serve_script, steps):
    pool, server, connection = pool_of()
    connection.abort()
    eventlet.sleep(0.05)
    assert pool.take(server, is_repeatable=True) is not connection


def test_another_start_of_a_server_has_connections_of_its_own(pool_of, make_record):
    pool, server, connection = pool_of()
    record = make_record(address=server.record.address, born_ms=2)
    assert pool.take(Server(record, 0.0), is_repeatable=True) is not connection


def test_server_out_of_reach_fails_before_anything_is_sent(make_record, free_address):
    pool = ConnectionPool(Clock())
    server = Server(make_record(address=free_address), 0.0)
    with pytest.raises(ConnectFailedError):
        pool.take(server, is_repeatable=True)
