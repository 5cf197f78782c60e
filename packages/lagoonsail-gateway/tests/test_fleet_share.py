"""Fleet-wide limits hold even though every router decides on its own."""

from __future__ import annotations

import pytest

from lagoonsail_gateway.fleet_share import (
    ASSUMED_ROUTERS,
    FleetMembers,
    RetryQuota,
    WindowLimit,
)


def make_routers(count):
    addresses = {f"r{number}": f"10.0.0.{number}:7400" for number in range(count)}
    routers = [FleetMembers(name) for name in addresses]
    for router in routers:
        router.update(addresses)
    return routers


@pytest.mark.parametrize("count", [1, 5, 6, 9, 73])
@pytest.mark.parametrize("total", [0, 1, 6, 14])
def test_parts_add_up_to_the_whole(count, total):
    parts = [router.quota_of(total, "server-1") for router in make_routers(count)]
    assert sum(parts) == total


def test_other_servers_favour_other_routers():
    routers = make_routers(6)
    first = {r.name for r in routers if r.quota_of(1, "server-1")}
    others = {r.name for r in routers for n in range(20) if r.quota_of(1, f"s{n}")}
    assert len(first) == 1
    assert len(others) > 3


def test_router_that_knows_no_members_assumes_many():
    router = FleetMembers("r1")
    assert router.count() == ASSUMED_ROUTERS
    assert router.quota_of(ASSUMED_ROUTERS - 1, "server-1") == 0


def test_window_holds_for_any_span_of_its_length(manual_clock):
    limit = WindowLimit(manual_clock.clock(), window_ms=1000.0)
    acquired_ms = []
    for _ in range(500):
        manual_clock.ms += 10.0
        if limit.try_acquire(3):
            acquired_ms.append(manual_clock.ms)
    for start_ms in acquired_ms:
        inside = [ms for ms in acquired_ms if start_ms <= ms < start_ms + 1000.0]
        assert len(inside) <= 3


def test_repeats_of_all_routers_stay_within_the_budget(manual_clock):
    shares = [
        RetryQuota(manual_clock.clock(), router, 0.2, 52.0, 10_000.0)
        for router in make_routers(6)
    ]
    for share in shares[:2]:
        for _ in range(100):
            share.record_request()
    granted = sum(share.try_acquire() for share in shares for _ in range(500))
    assert 40 < granted <= 0.2 * 200 + 52
