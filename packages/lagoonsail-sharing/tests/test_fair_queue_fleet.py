from __future__ import annotations

from random import Random

import pytest

from lagoonsail_sharing.fair_queue import FairQueue

MAX_COST = 100.0
SLOTS = {"s@north": 2, "s@south": 8}
ENDS_PER_DIGEST = 20


@pytest.fixture
def make_fleet(make_load):
    def make(*names):
        fleet = {}
        for shard, slots in SLOTS.items():
            queue = FairQueue(100_000, max_cost=MAX_COST, slots=sum(SLOTS.values()))
            queue.set_shares(dict.fromkeys(names, 1.0))
            fleet[shard] = make_load(queue, slots)
        return fleet

    return make


def exchange(fleet):
    for shard, load in fleet.items():
        for other, receiver in fleet.items():
            if other != shard:
                receiver.queue.add_remote(shard, load.queue.service())


def run(fleet, random, ends):
    """End requests of random shards, with a periodic exchange of digests."""
    shards = [shard for shard, slots in SLOTS.items() for _ in range(slots)]
    for number in range(ends):
        if number % ENDS_PER_DIGEST == 0:
            exchange(fleet)
        for load in fleet.values():
            load.fill()
        fleet[random.choice(shards)].end(random.randrange(8))
        yield number


def total_cost(fleet, account):
    return sum(load.cost_run.get(account, 0.0) for load in fleet.values())


@pytest.mark.parametrize("seed", range(5))
def test_accounts_backlogged_everywhere_get_equal_service_over_the_fleet(
    make_fleet, seed
):
    random = Random(seed)
    fleet = make_fleet("a", "b", "c")
    for load in fleet.values():
        for _ in range(6000):
            load.arrive("a", random.uniform(1.0, MAX_COST))
            load.arrive("b", 20.0, hint=80.0)
    bound = (sum(SLOTS.values()) + ENDS_PER_DIGEST) * MAX_COST
    for number in run(fleet, random, 3000):
        # A third account is intermittently active, in one shard only.
        if number % 7 == 0:
            fleet["s@north"].arrive("c", MAX_COST, hint=1.0)
        assert abs(total_cost(fleet, "a") - total_cost(fleet, "b")) <= bound


def test_account_served_in_another_shard_yields_to_others_here(make_fleet):
    random = Random(1)
    fleet = make_fleet("a", "b")
    for _ in range(6000):
        fleet["s@south"].arrive("a", 50.0)
        fleet["s@north"].arrive("a", 50.0)
        fleet["s@north"].arrive("b", 50.0)
    for _ in run(fleet, random, 3000):
        pass
    north = fleet["s@north"].cost_run
    assert north["b"] >= 0.9 * (north["a"] + north["b"])
    # Without further reports of the other shard, the account waits at most the bound.
    load = fleet["s@north"]
    load.order.clear()
    load.run(60)
    assert load.order.count("a") >= 15
