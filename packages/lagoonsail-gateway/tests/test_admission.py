"""Which requests queue and which are refused, by load pattern."""

from __future__ import annotations

import pytest

from lagoonsail_gateway.admission import (
    BACKLOG_QUEUE_MS,
    AccountLoad,
    check_wait,
    max_wait_ms,
)
from lagoonsail_sharing.account_shares import DECAY_TIME_MS

OBJECTIVE_MS = 800.0


@pytest.fixture
def loads(manual_clock):
    """Makes the account loads of several routers, which exchange sums without delay."""

    def make(count):
        return [AccountLoad(manual_clock.clock()) for _ in range(count)]

    return make


def exchange(loads):
    sums_by_router = [load.recent_sums(1000.0) for load in loads]
    for own_number, load in enumerate(loads):
        for number, sums in enumerate(sums_by_router):
            if number != own_number:
                load.apply_peer_sums(f"r{number}", 1, sums)
        load.update(0.0)


def test_flood_from_all_hosts_is_above_its_share_everywhere(loads):
    routers = loads(6)
    for router in routers:
        router.record_demand("flood", 900.0)
        router.record_admitted("flood", 300.0)
        router.record_demand("small", 50.0)
        router.record_admitted("small", 50.0)
    exchange(routers)
    assert all(
        router.usage_ratio("flood") == pytest.approx(1.0, 0.01) for router in routers
    )
    assert all(router.usage_ratio("small") == 0.0 for router in routers)


def test_flood_at_one_host_is_seen_by_the_others(loads):
    routers = loads(3)
    routers[0].record_demand("flood", 9000.0)
    routers[0].record_admitted("flood", 3000.0)
    for router in routers:
        router.record_demand("small", 50.0)
        router.record_admitted("small", 50.0)
    exchange(routers)
    assert routers[2].usage_ratio("flood") >= 1.0


def test_what_was_told_fades_and_is_replaced(loads, manual_clock):
    sender, receiver = loads(2)
    sender.record_demand("flood", 9000.0)
    sender.record_admitted("flood", 3000.0)
    for _ in range(3):
        exchange([sender, receiver])
    assert receiver._peer_admitted.value("flood", manual_clock.ms) == 3000.0
    manual_clock.ms += DECAY_TIME_MS
    faded = receiver._peer_admitted.value("flood", manual_clock.ms)
    assert faded == pytest.approx(3000.0 / 2.718, 0.01)
    assert sender.recent_sums(DECAY_TIME_MS / 2) == {}


def test_router_that_starts_anew_takes_nothing_back(loads, manual_clock):
    (receiver,) = loads(1)
    receiver.apply_peer_sums("r1", 1, {"flood": (900, 300)})
    receiver.apply_peer_sums("r1", 2, {"flood": (9, 3)})
    assert receiver._peer_demand.value("flood", manual_clock.ms) == 909.0
    receiver.remove_peer("r1")
    assert receiver._peer_demand.value("flood", manual_clock.ms) == 909.0


def test_nobody_is_above_a_share_while_all_get_what_they_ask(loads):
    (router,) = loads(1)
    router.record_demand("large", 900.0)
    router.record_admitted("large", 900.0)
    router.update(0.0)
    assert router.usage_ratio("large") is None


def test_first_requests_after_an_idle_time_are_above_no_share(loads):
    (router,) = loads(1)
    router.set_rate(240_000.0)
    router.record_demand("large", 30_000.0)
    router.record_admitted("large", 13_000.0)
    router.record_demand("small", 1_000.0)
    router.update(0.0)
    assert router.usage_ratio("large") is None


def test_backlog_shows_a_flood_though_engines_are_said_to_serve_more(loads):
    """Half of the engines are down, but the configured rate still includes them."""
    (router,) = loads(1)
    router.set_rate(240_000.0)
    for _ in range(10):
        router.record_demand("flood", 15_000.0)
        router.record_demand("small", 4_000.0)
        router.record_admitted("small", 3_000.0)
    router.record_admitted("flood", 90_000.0)
    router.update(BACKLOG_QUEUE_MS / 2)
    assert router.usage_ratio("flood") is None
    router.update(BACKLOG_QUEUE_MS + 1.0)
    assert router.usage_ratio("flood") > 1.0
    assert router.usage_ratio("small") == 0.0


def test_flood_that_ended_is_forgotten_within_seconds(loads, manual_clock):
    (router,) = loads(1)
    router.record_demand("flood", 9000.0)
    router.record_admitted("flood", 3000.0)
    manual_clock.ms += 6 * DECAY_TIME_MS
    router.record_demand("flood", 10.0)
    router.record_admitted("flood", 10.0)
    router.record_demand("small", 100.0)
    router.record_admitted("small", 50.0)
    router.update(0.0)
    assert router.usage_ratio("flood") == 0.0


def test_short_burst_is_served_late_rather_than_refused():
    assert check_wait(900.0, 50.0, OBJECTIVE_MS, usage_ratio=None) is None


def test_what_would_come_late_is_refused_while_accounts_contend():
    refusal = check_wait(700.0, 50.0, OBJECTIVE_MS, usage_ratio=0.5)
    assert refusal.kind == "engines_full"
    assert 0.1 <= refusal.retry_after_s <= 3.0


def test_long_prompt_may_still_wait():
    assert max_wait_ms(OBJECTIVE_MS, read_ms=2000.0, usage_ratio=0.0) > 200.0


def test_account_above_its_share_gets_engines_that_are_free():
    assert check_wait(10.0, 50.0, OBJECTIVE_MS, usage_ratio=5.0) is None
    refusal = check_wait(300.0, 50.0, OBJECTIVE_MS, usage_ratio=5.0)
    assert refusal.is_over_share


def test_wait_falls_steadily_with_what_an_account_got():
    waits = [max_wait_ms(OBJECTIVE_MS, 50.0, n / 10) for n in range(30)]
    assert waits == sorted(waits, reverse=True)
