from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonsail_core.invariants import InvariantError
from lagoonsail_sharing.baseline import FifoQueue
from lagoonsail_sharing.fair_queue import FairQueue
from lagoonsail_sharing.waiting import WaitingRequest

MAX_COST = 100.0
NAMES = "abcde"

operations = st.lists(
    st.one_of(
        st.tuples(
            st.just("arrive"),
            st.sampled_from(NAMES),
            st.integers(1, 6),
            st.floats(1.0, MAX_COST),
            # Hints are off by a factor of up to 4 either way; 0 means no hint.
            st.sampled_from([0.0, 0.25, 0.5, 1.0, 2.0, 4.0]),
        ),
        st.tuples(st.just("end"), st.integers(0, 7)),
        st.tuples(st.just("progress"), st.integers(0, 7), st.floats(0.0, 1.0)),
    ),
    min_size=20,
    max_size=200,
)
share_lists = st.lists(st.floats(0.25, 8.0), min_size=5, max_size=5)


def apply(load, operation):
    kind, *arguments = operation
    if kind == "end":
        load.end(arguments[0])
    elif kind == "progress":
        load.progress(*arguments)
    else:
        account, count, cost, hint = arguments
        for _ in range(count):
            load.arrive(account, cost, cost * hint)
    load.fill()


@given(operations=operations, shares=share_lists, slots=st.integers(1, 8))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_gap_stays_in_bound_whatever_comes(make_load, operations, shares, slots):
    queue = FairQueue(1000, max_cost=MAX_COST)
    queue.set_shares(dict(zip(NAMES, shares, strict=True)))
    bound = slots * MAX_COST / min(shares)

    def check(load):
        assert queue.gap() <= bound * (1 + 1e-9)

    load = make_load(queue, slots, check)
    for operation in operations:
        apply(load, operation)
    assert queue.bound(MAX_COST, slots) == bound


@given(operations=operations, shares=share_lists, slots=st.integers(1, 8))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_real_costs_of_backlogged_accounts_stay_in_bound(
    make_load, operations, shares, slots
):
    queue = FairQueue(10_000, max_cost=MAX_COST)
    by_name = dict(zip(NAMES, shares, strict=True))
    queue.set_shares(by_name)
    load = make_load(queue, slots)
    # Two accounts stay backlogged throughout; the others come and go.
    for _ in range(1200):
        load.arrive("a", 100.0, 25.0)
        load.arrive("b", 1.0, 4.0)
    for operation in operations:
        apply(load, operation)
    assert len(load.order) < 1200
    # A running request may have consumed any part of its cost so far.
    least = {n: load.cost_run.get(n, 0.0) / by_name[n] for n in NAMES}
    most = dict(least)
    for name, cost in load.running.values():
        most[name] += cost / by_name[name]
    bound = slots * MAX_COST / min(by_name["a"], by_name["b"])
    assert most["a"] - least["b"] <= bound * (1 + 1e-9)
    assert most["b"] - least["a"] <= bound * (1 + 1e-9)


def flood(load, rounds=60):
    """Let one account send 20 times as many requests as each of the other two."""
    for _ in range(rounds):
        for _ in range(20):
            load.arrive("flood", 40.0, 10.0)
        load.arrive("a", 40.0, 160.0)
        load.arrive("b", 40.0, 40.0)
        for _ in range(4):
            load.fill()
            load.end(0)


def flood_gap(make_load, queue):
    queue.set_shares({"flood": 1.0, "a": 1.0, "b": 1.0})
    gaps = [0.0]
    load = make_load(queue, 4, lambda load: gaps.append(load.queue.gap()))
    flood(load)
    return max(gaps), load


def test_flood_of_20_times_leaves_the_service_of_others_intact(make_load):
    gap, load = flood_gap(make_load, FairQueue(64, max_cost=MAX_COST))
    assert gap <= 4 * MAX_COST
    # Four requests end per round, which is enough for the demand of the others.
    assert load.cost_run["a"] >= 56 * 40.0
    assert load.cost_run["b"] >= 56 * 40.0


def test_fifo_baseline_breaks_the_bound_under_the_same_flood(make_load):
    gap, load = flood_gap(make_load, FifoQueue(2000))
    assert gap > 4 * MAX_COST
    assert load.cost_run["a"] < 28 * 40.0


def test_service_is_proportional_to_shares(make_load):
    queue = FairQueue(10_000, max_cost=10.0)
    queue.set_shares({"a": 1.0, "b": 3.0})
    load = make_load(queue, 4)
    for _ in range(2000):
        load.arrive("a", 10.0)
        load.arrive("b", 10.0)
    load.run(1000)
    assert abs(load.cost_run["a"] - load.cost_run["b"] / 3.0) <= 4 * 10.0


def test_no_account_starves_among_570_backlogged_accounts(make_load):
    queue = FairQueue(100, max_cost=MAX_COST)
    queue.set_shares({f"account-{n}": 1.0 + n % 4 for n in range(570)})
    load = make_load(queue, 32)
    for n in range(570):
        for _ in range(20):
            load.arrive(f"account-{n}", 1.0 + n % 50)
    load.run(3000)
    assert len(load.cost_run) == 570


def test_start_of_a_request_other_than_the_pick_is_refused():
    queue = FairQueue(8, max_cost=10.0)
    queue.set_shares({"a": 1.0, "b": 1.0})
    other = WaitingRequest(("a", 1), "a", 5.0)
    queue.start(other, 1)
    queue.add(WaitingRequest(("b", 1), "b", 5.0))
    queue.add(other)
    assert queue.pick().account == "b"
    with pytest.raises(InvariantError, match="fair_start"):
        queue.start(other, 2)


outside_operations = st.lists(
    st.one_of(
        st.tuples(
            st.just("arrive"),
            st.sampled_from(NAMES),
            st.integers(1, 6),
            st.floats(1.0, MAX_COST),
            st.sampled_from([0.0, 0.25, 1.0, 4.0]),
        ),
        st.tuples(st.just("end"), st.integers(0, 7)),
        st.tuples(st.just("progress"), st.integers(0, 7), st.floats(0.0, 1.0)),
        st.tuples(
            st.just("remote"),
            st.sampled_from(["s@north", "s@south"]),
            st.dictionaries(st.sampled_from(NAMES), st.floats(0.0, 1e5)),
        ),
        st.tuples(st.just("shares"), share_lists, st.integers(1, 5)),
        st.tuples(
            st.just("adopt"),
            st.dictionaries(st.sampled_from(NAMES), st.floats(0.0, 1e5)),
        ),
        st.tuples(st.just("cancel"), st.integers(0, 999)),
        st.tuples(
            st.just("take_over"), st.sampled_from(NAMES), st.floats(1.0, MAX_COST)
        ),
    ),
    min_size=20,
    max_size=200,
)


@given(operations=outside_operations, slots=st.integers(1, 8))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_gap_stays_in_bound_when_others_move_positions(make_load, operations, slots):
    queue = FairQueue(1000, max_cost=MAX_COST, slots=slots)
    queue.set_shares(dict.fromkeys(NAMES, 1.0))

    def check(load):
        assert queue.gap() <= queue.bound(MAX_COST, slots) * (1 + 1e-9) + 1e-6

    load = make_load(queue, slots, check)
    for operation in operations:
        kind, *rest = operation
        if kind == "remote":
            queue.add_remote(*rest)
        elif kind == "shares":
            queue.set_shares(dict(zip(NAMES[: rest[1]], rest[0], strict=False)))
        elif kind == "adopt":
            queue.adopt(*rest, positions=rest[0])
        elif kind == "take_over":
            load.end(0)
            load.take_over(*rest)
        elif kind == "cancel":
            queue.cancel(("abcde"[rest[0] % 5], rest[0] // 5))
        else:
            apply(load, operation)
        load.fill()
