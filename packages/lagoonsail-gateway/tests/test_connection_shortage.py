"""Connections to servers while descriptors or a server's connections are short."""

from __future__ import annotations

import errno
from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_gateway import connection_pool, server_connection
from lagoonsail_gateway.connection_pool import ConnectionPool, NoConnectionError
from lagoonsail_gateway.connection_quota import KEPT_SHARES, ConnectionQuota
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.server_directory import Server
from lagoonsail_overload.descriptor_budget import (
    IDLE_SERVERS,
    SERVERS,
    DescriptorBudget,
)

LIMIT = 100


class Pool:
    """A pool with a budget of descriptors that the test uses up, and two servers."""

    def __init__(self, servers):
        self.others = 10
        self.budget = DescriptorBudget(
            Clock(), LIMIT, lambda: LIMIT, lambda: self.others
        )
        self.pool = pool = ConnectionPool(Clock(), descriptors=self.budget)
        self.budget.register(SERVERS, lambda: pool.open_count - pool.idle_count)
        self.budget.register(IDLE_SERVERS, lambda: pool.idle_count)
        self.servers = servers
        self.requests = 0

    def use_up(self, left):
        """Leave this many descriptors, besides those of open connections."""
        self.budget._others = LIMIT - left

    def acquire(self, number=0, *, is_retryable=True):
        self.requests += 1
        return self.pool.acquire(
            self.servers[number], f"id-{self.requests}", is_retryable=is_retryable
        )

    def release(self, connection, number=0):
        self.pool.release(self.servers[number], connection)


@pytest.fixture
def patient(monkeypatch):
    """Let requests wait for longer than a busy machine takes to wake them."""
    monkeypatch.setattr(connection_pool, "MAX_WAIT_MS", 10_000.0)


@pytest.fixture
def short(serve_script, make_record):
    def make_server(name):
        address = serve_script(lambda _head: []).address
        return Server(make_record(name, address=address), 0.0)

    return Pool([make_server("s1"), make_server("s2")])


# DESCRIPTORS: idle connections to 70 servers used up those that requests needed.
def test_idle_connection_is_closed_for_a_new_one(short):
    idle = short.acquire(0)
    short.release(idle, 0)
    short.use_up(left=short.budget.thresholds.reserve)
    connection = short.acquire(1)
    assert connection is not idle
    assert (short.pool.open_count, short.pool.idle_count) == (1, 0)
    assert short.budget.actions["idle_servers_replaced"] == 1


def test_idle_connections_use_only_part_of_the_descriptors(short):
    connections = [short.acquire() for _ in range(LIMIT // 4 + 10)]
    for connection in connections:
        short.release(connection)
    assert short.pool.idle_count == LIMIT // 4
    assert short.pool.open_count == LIMIT // 4


def test_request_waits_for_a_connection_that_becomes_free(short, patient):
    running = short.acquire()
    short.use_up(left=short.budget.thresholds.reserve)
    eventlet.spawn_after(0.01, short.release, running)
    assert short.acquire() is running


# 502: a request that was never sent got it, or an internal error.
def test_request_is_refused_if_none_becomes_free(short):
    short.use_up(left=short.budget.thresholds.reserve)
    with pytest.raises(NoConnectionError, match="s1"):
        short.acquire()
    assert short.pool.open_count == 0
    assert short.budget.actions["server_connections_refused"] == 1


# BLAME: a socket that could not be opened was an internal error of the router.
def test_failed_system_call_is_no_failure_of_the_server(short, monkeypatch):
    def fail(*_arguments):
        raise OSError(errno.EMFILE, "Too many open files")

    failing = SimpleNamespace(socket=fail)
    monkeypatch.setattr(server_connection, "green_socket", failing)
    with pytest.raises(NoConnectionError, match="Too many open files"):
        short.acquire()
    assert short.pool.open_count == 0


# COUNT: a connection that an error dropped stayed counted, until none was left.
def test_dropped_connection_is_not_counted(short):
    connection, closed = short.acquire(), short.acquire()
    closed.close()
    closed.close()
    assert short.pool.open_count == 1
    del connection
    assert short.pool.open_count == 0


# CONNECTIONS: servers reset connections beyond those that they take from all routers.
def test_router_keeps_to_its_quota_of_a_server(short):
    short.pool.max_open_to = lambda _server: 2
    connections = [short.acquire(0), short.acquire(0)]
    assert not short.pool.may_connect(short.servers[0])
    assert short.pool.may_connect(short.servers[1])
    with pytest.raises(NoConnectionError):
        short.acquire(0)
    short.acquire(1)
    short.release(connections[0], 0)
    assert short.pool.may_connect(short.servers[0])
    assert short.acquire(0) is connections[0]


def test_connection_beyond_a_smaller_quota_is_not_kept(short):
    connections = [short.acquire(0), short.acquire(0)]
    short.pool.max_open_to = lambda _server: 1
    short.release(connections[0], 0)
    assert (short.pool.open_count, short.pool.idle_count) == (1, 0)


def test_woken_request_is_one_that_can_go_on(short, patient):
    short.pool.max_open_to = lambda _server: 1
    first, second = short.acquire(0), short.acquire(1)
    waiting = [eventlet.spawn(short.acquire, number) for number in (0, 1)]
    eventlet.sleep(0.005)
    short.release(second, 1)
    assert waiting[1].wait() is second
    short.release(first, 0)
    assert waiting[0].wait() is first


# SLOW SERVERS: a reset beyond the limit counted as a failure of the server.
def test_reset_beside_open_connections_teaches_a_limit(short):
    kept, reset = short.acquire(0), short.acquire(0)
    assert short.pool.record_lost(short.servers[0], reset, is_timeout=False)
    reset.close()
    assert not short.pool.may_connect(short.servers[0])
    kept.close()
    assert short.pool.may_connect(short.servers[0])


# QUOTAS: sums of all routers must not exceed the limit, and follow the members.
def test_quotas_of_all_routers_add_up_to_the_limit(make_record):
    names = [f"r{number}" for number in range(7)]
    service = SimpleNamespace(max_connections=40)
    server = Server(make_record("s1"), 0.0)
    others = {"s1": None}
    quotas = [ConnectionQuota(FleetMembers(name), others.get) for name in names]
    for quota in quotas:
        quota.apply_manifest(SimpleNamespace(services={"engine": service}))
        quota._routers.update(dict.fromkeys(names, "127.0.0.1:1 north"))
    # Without digests each keeps to its even share.
    assert sum(quota.max_open_to(server) for quota in quotas) == 30
    borrower, share = quotas[0], quotas[0].max_open_to(server)
    assert borrower.max_kept_to(server) == min(KEPT_SHARES * share, share + 10)
    for running, lent in [(0, 10), (4, 6), (25, 0)]:
        others["s1"] = running
        assert borrower.max_open_to(server) == share + lent
    borrower._routers.update({"r0": "127.0.0.1:1 north"})
    assert borrower.max_kept_to(server) == 40


@pytest.mark.parametrize(("limit", "quota"), [(3, 1), (0, float("inf"))])
def test_router_is_never_without_a_connection(make_record, limit, quota):
    routers = FleetMembers("r1")
    quotas = ConnectionQuota(routers, lambda _server_id: None)
    service = SimpleNamespace(max_connections=limit)
    quotas.apply_manifest(SimpleNamespace(services={"engine": service}))
    routers.update({f"r{n}": "127.0.0.1:1 north" for n in range(50)})
    assert quotas.max_open_to(Server(make_record("s1"), 0.0)) == quota
