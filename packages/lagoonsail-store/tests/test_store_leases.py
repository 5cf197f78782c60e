from __future__ import annotations

import time

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_store.store_client import Absent, Entry, Written


def test_keys_go_with_a_lease_that_lapses(client, wait_until):
    lease = client.grant_lease(900.0)
    assert client.put_if("/m", "1", 0, lease=lease) == Written(2)
    assert client.get("/m") == Entry("/m", "1", 2, lease)
    assert client.renew_lease(lease) == 1000.0
    wait_until(lambda: client.get("/m") == Absent("/m"))
    assert client.renew_lease(lease) == 0.0
    assert "lease not found" in client.put_if("/m", "2", 0, lease=lease).reason


def test_renewed_lease_stays(client):
    lease = client.grant_lease(1000.0)
    client.put_if("/m", "1", 0, lease=lease)
    started = time.monotonic()
    while time.monotonic() - started < 1.5:
        assert client.renew_lease(lease) == 1000.0
        eventlet.sleep(0.1)
    assert client.get("/m").value == "1"


def test_revoked_lease_takes_its_keys_along(client):
    lease = client.grant_lease(60_000.0)
    client.put_if("/m", "1", 0, lease=lease)
    client.put_if("/n", "1", 0)
    assert client.revoke_lease(lease) is None
    assert client.get("/m") == Absent("/m")
    assert client.get("/n").value == "1"
    assert client.revoke_lease(lease) is None


@pytest.mark.parametrize("mode", ["down", "silent"])
def test_no_lease_lapses_during_an_outage(key_value, client, mode):
    lease = client.grant_lease(1000.0)
    key_value.control(mode=mode)
    eventlet.sleep(1.5)
    key_value.control(mode="up")
    assert client.renew_lease(lease) == 1000.0
