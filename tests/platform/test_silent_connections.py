"""Connections that fall silent without a reset, while new ones work."""

from __future__ import annotations

import time

from lagoonsail_core.green import eventlet

ROUTER = "router-1"
CONTACT_MS = 3000.0
"""Time after a failure from which a router must keep the bound of changes again."""
CHANGE_DELAY_MS = 2000.0
"""Time within which a change must be in force."""
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 10.0


def wait_for_call(fleet, path):
    """Wait for the next call of a kind."""
    known = len(fleet.store.calls)
    with eventlet.Timeout(TIMEOUT_S):
        while not any(call.startswith(path) for call in fleet.store.calls[known:]):
            eventlet.sleep(POLL_INTERVAL_S)


def wait_in_force(fleet):
    with eventlet.Timeout(TIMEOUT_S):
        while fleet.ask(ROUTER, "GET", "/read/1", "id-1")[0] != 404:
            eventlet.sleep(POLL_INTERVAL_S)


# CONFIG: a change came late, as the watch waited on a connection that was dead.
def test_change_is_in_force_in_time_after_connections_to_the_store_fell_silent(fleet):
    # The next renewal of the lease, which would fail, is then seconds away.
    wait_for_call(fleet, "/-/kv-keep/")
    fleet.store.put("other", b"")
    wait_for_call(fleet, "/-/kv-watch")
    silent_s = time.monotonic()
    fleet.store.silence()
    eventlet.sleep(1.0)
    written_s = time.monotonic()
    fleet.put_manifest(routes=[])
    wait_in_force(fleet)
    in_force_s = time.monotonic()
    due_s = max(written_s + CHANGE_DELAY_MS / 1000, silent_s + CONTACT_MS / 1000)
    assert in_force_s < due_s + 0.1
