from __future__ import annotations

import time

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_store.store_client import Absent, Conflict, Entry, Written


@pytest.fixture
def relay(key_value, start):
    return start("relay", "--target", key_value.address)


@pytest.fixture
def relayed_client(relay, connect):
    return connect(relay.address, timeout_ms=500.0)


def test_frozen_connection_is_left_for_a_new_one(relay, relayed_client):
    # Two concurrent calls leave two idle connections in the pool.
    for call in [eventlet.spawn(relayed_client.get, "/a") for _ in range(2)]:
        assert call.wait() == Absent("/a")
    relay.control(mode="freeze")
    assert isinstance(relayed_client.get("/a"), Unavailable)
    assert relayed_client.put_if("/a", "1", 0) == Written(2)
    record = relay.record()
    assert record["frozen"] == 2
    assert record["accepted"] == 3


def test_write_in_a_frozen_connection_may_arrive_late_but_wins_over_nobody(
    key_value, relay, relayed_client, client, wait_until
):
    assert relayed_client.get("/late") == Absent("/late")
    relay.control(mode="freeze")
    result = relayed_client.put_if("/late", "late", 0)
    assert "may have been carried out" in result.reason
    relay.control(mode="pass")
    wait_until(lambda: client.get("/late") == Entry("/late", "late", 2, 0))
    assert relayed_client.get("/late").revision == 2
    relay.control(mode="freeze")
    assert isinstance(relayed_client.put_if("/late", "later", 2), Unavailable)
    assert client.put_if("/late", "newer", 2) == Written(3)
    relay.control(mode="pass")
    wait_until(lambda: key_value.record()["calls"]["txn"] == 3)
    newer = Entry("/late", "newer", 3, 0)
    assert relayed_client.put_if("/late", "latest", 2) == Conflict(newer)


def test_new_connections_hang_while_they_are_dropped(relay, relayed_client):
    relay.control(mode="freeze", drop_new=True)
    started = time.monotonic()
    assert "did not answer within" in relayed_client.get("/a").reason
    assert time.monotonic() - started >= 0.4
    relay.control(mode="pass", drop_new=False)
    assert relayed_client.get("/a") == Absent("/a")


def test_cut_breaks_connections_and_refuses_new_ones(relay, relayed_client, wait_until):
    relayed_client.put_if("/a", "1", 0)
    batches = []
    watch = eventlet.spawn(lambda: batches.extend(relayed_client.watch("/a", 1)))
    wait_until(lambda: batches)
    relay.control(mode="cut")
    with eventlet.Timeout(5.0):
        watch.wait()
    assert isinstance(relayed_client.put_if("/a", "2", 2), Unavailable)
    assert relay.record()["open"] == 0
    relay.control(mode="pass")
    assert relayed_client.get("/a").value == "1"


def test_delay_is_that_of_each_direction_whatever_the_size(relay, connect):
    client = connect(relay.address, timeout_ms=10_000.0)
    relay.control(delay_ms=100)
    started = time.monotonic()
    assert client.put_if("/a", "x" * 2_000_000, 0) == Written(2)
    took_s = time.monotonic() - started
    assert took_s >= 0.2
    assert client.get("/a").value == "x" * 2_000_000
