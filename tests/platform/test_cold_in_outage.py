"""A server that becomes cold while the store is away, with real routers."""

from __future__ import annotations

import time
from itertools import count

from lagoonsail_platform_standin.fleet import make_service

from lagoonsail_core.green import eventlet

COLD_PER_S = 6.3
MAX_PER_S = COLD_PER_S * 1.5 + 5
"""Requests that a cold server may get within a second."""
INTERVAL_S = 0.02
"""Time between two requests of callers, so that two servers get 25 a second each."""
COLD_S = 3.0


def worst_second(times_s):
    return max((sum(t <= u < t + 1.0 for u in times_s) for t in times_s), default=0)


# FAILBACK: a server that became cold in an outage of the store got its full share.
def test_server_that_becomes_cold_in_an_outage_gets_a_limited_rate(make_fleet):
    fleet = make_fleet(3, has_store_ports=True)
    service = make_service(
        "plain", **{"cold-s": COLD_S, "cold-per-s": COLD_PER_S, "max-conns": 360}
    )
    fleet.put_manifest(services=[service])
    victim = fleet.servers["plain-1"]
    routers = list(fleet.routers)
    statuses = []
    numbers = count()

    def ask(number):
        router = routers[number % len(routers)]
        statuses.append(fleet.ask(router, "GET", f"/read/{number}", f"id-{number}")[0])

    def send_for(duration_s):
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            eventlet.spawn_n(ask, next(numbers))
            eventlet.sleep(INTERVAL_S)

    send_for(3.0)
    fleet.store.cut_ports.update(fleet.store_ports.values())
    send_for(1.0)
    cold_s = time.monotonic()
    victim.cold_until_s = cold_s + COLD_S
    send_for(2.5)
    times_s = [t for t in victim.runs_s if t >= cold_s]
    assert 0 < worst_second(times_s) <= MAX_PER_S
    before = [t for t in victim.runs_s if t < cold_s]
    assert worst_second(before) > MAX_PER_S
    assert set(statuses) <= {200, 429, 503}
