"""One service in several regions: shares hold over all, wherever calls enter."""

from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import make_prompt
from lagoonsail_lab.regions import (
    ACCOUNTS,
    ENGINE,
    FAR,
    NEAR,
    SIDES,
    SLOTS,
    THIRD,
    make_fleet,
    owners,
    routers_of,
    runs_at,
    shard_of,
)

REGIONS = (NEAR, FAR, THIRD)
"""The regions."""
LARGE, SMALL = "club-norte", "prensa"
"""Accounts with the larger and the smaller share."""
SHARES = {LARGE: 2.0, SMALL: 1.0}
"""Two thirds of one region's slots suffice for the account that waits only there. With
equal shares it would need all of them, and any difference between the regions' servers
would appear as unfairness."""
TOKENS = 10
"""Cost of every call."""
CALLERS = 2 * SLOTS
"""Callers of an account in one region: half of them wait even if the account has every
slot; if it has half of the slots, none waits long enough to ask another region."""


@pytest.fixture
def start(proof):
    """Return a function that starts the callers of one account in one region."""

    def start_callers(fleet, region, account, seed, callers):
        traffic = proof.traffic(fleet, routers_of(fleet, region), seed)

        def make_call():
            text = f"{account} {len(traffic.caller.records)}"
            return make_prompt(SIDES[NEAR], ENGINE, account, TOKENS, False, text)

        traffic.loop(make_call, callers, pause_ms=1.0)
        return traffic

    return start_callers


def faults(callers, kills=()):
    """Return the faults that the checker finds; here cold servers may use all slots."""
    options = {"cold_slots": SLOTS, "kills": kills}
    return [f for traffic in callers for f in traffic.faults(**options)]


def served_tokens(traffic, from_ms, until_ms):
    """Return the tokens of whole answers that ended in an interval."""
    return sum(
        record.last.cost
        for record in traffic.caller.whole()
        if from_ms < record.last.ended_wall_ms < until_ms
    )


def test_accounts_that_enter_in_one_region_each_are_served_by_share_over_both(
    proof, start
):
    with make_fleet() as fleet:
        near = start(fleet, NEAR, LARGE, 73, 60)
        far = start(fleet, FAR, SMALL, 74, 20)
        near.wait(4000.0)
        from_ms = proof.clock.wall_ms()
        near.wait(10000.0)
        until_ms = proof.clock.wall_ms()
        near.finish()
        far.finish()
        assert faults([near, far]) == []
        large, small = (served_tokens(t, from_ms, until_ms) for t in (near, far))
        tokens_per_s = (large + small) / (until_ms - from_ms) * 1000.0 / 2.0
        # Twice the sum of the shards' bounds over an interval, plus answers overlapping
        # its ends, plus what the other shard runs in the second between two digests.
        bound = 2 * (2 * SLOTS * TOKENS) + 2 * (2 * SLOTS * TOKENS) + tokens_per_s
        gap = abs(large / ACCOUNTS[LARGE] - small / ACCOUNTS[SMALL])
        print("large", large, "small", small, "gap", gap, "bound", bound)
        assert small > 0
        assert gap <= bound


def measure_gap(proof, callers, duration_ms, shares=SHARES, regions=2):
    """Return the service gap between the two accounts, and its bound.

    Args:
        proof: The shared fixture of the proofs.
        callers: Callers by account.
        duration_ms: Duration of the measurement.
        shares: Shares by account; the smallest is 1.
        regions: Number of regions.
    """
    from_ms = proof.clock.wall_ms()
    callers[SMALL][0].wait(duration_ms)
    until_ms = proof.clock.wall_ms()
    tokens = {
        account: sum(served_tokens(traffic, from_ms, until_ms) for traffic in group)
        for account, group in callers.items()
    }
    tokens_per_s = sum(tokens.values()) / (until_ms - from_ms) * 1000.0
    tokens_elsewhere = tokens_per_s * (regions - 1) / regions
    full = regions * SLOTS * TOKENS
    # Twice the design's bound over an interval, plus answers that overlap its ends.
    bound = 2 * (full + tokens_elsewhere) + 2 * full
    gap = abs(tokens[LARGE] / shares[LARGE] - tokens[SMALL] / shares[SMALL])
    print("tokens", tokens, "gap", gap, "bound", bound)
    return gap, bound


def test_account_that_waits_in_one_region_only_keeps_its_share_over_both(proof, start):
    with make_fleet(accounts=SHARES) as fleet:
        small = [start(fleet, NEAR, SMALL, 81, CALLERS)]
        large = [
            start(fleet, region, LARGE, seed, CALLERS)
            for region, seed in ((NEAR, 82), (FAR, 83))
        ]
        small[0].wait(4000.0)
        gap, bound = measure_gap(proof, {LARGE: large, SMALL: small}, 10000.0)
        for traffic in small + large:
            traffic.finish()
        assert faults(small + large) == []
        assert gap <= bound


def test_share_over_both_regions_holds_when_all_routers_of_one_restarted(proof, start):
    with make_fleet(accounts=SHARES) as fleet:
        large = [
            start(fleet, region, LARGE, seed, CALLERS)
            for region, seed in ((NEAR, 84), (FAR, 85))
        ]
        # As long as the rest of the test: the owners of the other region then know of
        # more service in this one than its next owner will have counted by the end.
        large[0].wait(9000.0)
        kills = [k for name in routers_of(fleet, NEAR) for k in proof.kill(fleet, name)]
        restarts = [
            eventlet.spawn(fleet.restart_router, name)
            for name in routers_of(fleet, NEAR)
        ]
        for thread in restarts:
            thread.wait()
        shard = shard_of(ENGINE, NEAR)

        def is_owned():
            names = owners(fleet, shard, fleet.routers)
            return len(names) == 1 and "" not in names and max(epochs()) > 1

        def epochs():
            return {run["epoch"] for run in runs_at(fleet, ENGINE, NEAR)}

        owned_ms = proof.wait_until(is_owned, 8000.0)
        small = [start(fleet, FAR, SMALL, 86, CALLERS)]
        small[0].wait(1000.0)
        gap, bound = measure_gap(proof, {LARGE: large, SMALL: small}, 7000.0)
        for traffic in small + large:
            traffic.finish()
        assert faults(small + large, kills) == []
        assert owned_ms is not None
        assert gap <= bound


def test_account_that_waits_in_one_region_only_keeps_its_share_over_three(proof, start):
    with make_fleet(regions=REGIONS) as fleet:
        small = [start(fleet, NEAR, SMALL, 97, CALLERS)]
        large = [
            start(fleet, region, LARGE, 98 + number, CALLERS)
            for number, region in enumerate(REGIONS)
        ]
        small[0].wait(4000.0)
        callers = {LARGE: large, SMALL: small}
        gap, bound = measure_gap(proof, callers, 14000.0, ACCOUNTS, len(REGIONS))
        for traffic in small + large:
            traffic.finish()
        assert faults(small + large) == []
        assert gap <= bound
