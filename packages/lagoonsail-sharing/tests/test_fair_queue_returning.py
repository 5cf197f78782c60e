from __future__ import annotations

from lagoonsail_sharing.fair_queue import FairQueue
from lagoonsail_sharing.waiting import WaitingRequest


def queue_of(*names, max_cost=10.0, slots=2, waiting=10_000):
    queue = FairQueue(waiting, max_cost=max_cost, slots=slots)
    queue.set_shares(dict.fromkeys(names, 1.0))
    return queue


def test_idle_account_accumulates_no_credit(make_load):
    queue = queue_of("busy", "idle")
    load = make_load(queue, 2)
    for _ in range(3000):
        load.arrive("busy", 10.0)
    load.run(1000)
    before = dict(load.cost_run)
    for _ in range(500):
        load.arrive("idle", 10.0)
    load.run(200)
    busy = load.cost_run["busy"] - before["busy"]
    assert abs(busy - load.cost_run["idle"]) <= queue.bound(10.0, 2)


def test_account_served_while_alone_has_no_debt_later(make_load):
    queue = queue_of("alone", "late")
    load = make_load(queue, 2)
    for _ in range(1000):
        load.arrive("alone", 10.0)
        load.run(1)
    for _ in range(200):
        load.arrive("late", 10.0)
        load.arrive("alone", 10.0)
    before = load.cost_run["alone"]
    load.run(100)
    alone = load.cost_run["alone"] - before
    assert abs(alone - load.cost_run["late"]) <= queue.bound(10.0, 2)


def test_after_an_empty_queue_accounts_start_at_similar_positions(make_load):
    queue = queue_of("alone", "late", slots=16)
    load = make_load(queue, 1)
    for _ in range(200):
        load.arrive("alone", 10.0)
        load.run(1)
    for _ in range(20):
        load.arrive("late", 10.0)
        load.arrive("alone", 10.0)
    load.order.clear()
    load.run(10)
    assert load.order.count("late") <= 6


def test_repeatedly_going_idle_gains_no_extra_service(make_load):
    # One account goes idle at each start and becomes backlogged again at once.
    queue = queue_of("steady", "hopper")
    load = make_load(queue, 2)
    for _ in range(3000):
        load.arrive("steady", 10.0)
    for number in range(1000):
        if "hopper" not in {account for account, _ in load.running.values()}:
            load.arrive("hopper", 10.0, hint=1.0)
        load.fill()
        load.end(number)
    assert load.cost_run["hopper"] <= load.cost_run["steady"] + queue.bound(10.0, 2)


def test_refund_after_a_return_gives_no_credit():
    queue = queue_of("a", "b", slots=4, max_cost=100.0)
    for number in range(3):
        queue.add(WaitingRequest(("a", number), "a", 100.0))
    for number in range(3):
        queue.start(queue.pick(), number)
    # "a" was charged 300 and is idle; meanwhile "b" is charged 50.
    queue.add(WaitingRequest(("b", 0), "b", 50.0))
    queue.start(queue.pick(), 9)
    queue.add(WaitingRequest(("b", 1), "b", 1.0))
    floor = queue.positions()["b"]
    queue.add(WaitingRequest(("a", 9), "a", 1.0))
    for number in range(3):
        queue.settle(number, 1.0)
    assert queue.positions()["a"] >= floor
    assert queue.service()["a"] == 3.0


def test_debt_from_other_shards_is_capped(make_load):
    queue = queue_of("a", "b")
    load = make_load(queue, 2)
    for _ in range(500):
        load.arrive("a", 10.0)
        load.arrive("b", 10.0)
    load.run(20)
    queue.add_remote("s@north", {"a": 0.0, "b": 0.0})
    queue.add_remote("s@north", {"a": 1e6, "b": 0.0})
    load.order.clear()
    load.run(20)
    bound = queue.bound(10.0, 2)
    assert queue.gap() <= bound
    assert "a" in load.order[: int(2 * bound / 10.0) + 2]


def test_remote_service_counts_from_the_first_report_and_once(make_load):
    queue = queue_of("a", "b", max_cost=100.0)
    load = make_load(queue, 2)
    for _ in range(9):
        load.arrive("a", 10.0)
        load.arrive("b", 10.0)
    queue.add_remote("s@north", {"a": 5e6, "b": 7e6})
    assert queue.gap() == 0.0
    for report in (30.0, 30.0, 10.0):
        queue.add_remote("s@north", {"a": 5e6 + report, "b": 7e6, "unknown": 1.0})
        assert queue.gap() == 30.0
    assert queue.service() == {"a": 0.0, "b": 0.0}
    load.run(1)
    assert load.order == ["b", "b"]


def test_new_owner_with_smaller_sums_counts_from_its_first_report(
    make_load,
):
    queue = queue_of("a", "b", max_cost=100.0)
    load = make_load(queue, 2)
    for _ in range(9):
        load.arrive("a", 10.0)
        load.arrive("b", 10.0)
    queue.add_remote("s@north", {"a": 5e6, "b": 7e6}, 1)
    queue.add_remote("s@north", {"a": 1.0, "b": 7e6 + 20.0}, 2)
    assert queue.gap() == 20.0
    queue.add_remote("s@north", {"a": 31.0, "b": 7e6 + 20.0}, 2)
    assert queue.gap() == 10.0
    # A late report of the earlier owner has no effect.
    queue.add_remote("s@north", {"a": 6e6, "b": 8e6}, 1)
    assert queue.gap() == 10.0
    queue.add_remote("s@north", {"a": 41.0, "b": 7e6 + 20.0}, 2)
    assert queue.gap() == 20.0


def test_change_of_shares_keeps_the_service_counted_so_far(make_load):
    queue = queue_of("a", "b")
    load = make_load(queue, 2)
    for _ in range(400):
        load.arrive("a", 10.0)
        load.arrive("b", 10.0)
    load.run(100)
    before = queue.service()
    assert queue.set_shares({"a": 9.0, "b": 1.0}) == []
    assert queue.service() == before
    run_before = dict(load.cost_run)
    load.run(200)
    a, b = (load.cost_run[n] - run_before[n] for n in "ab")
    assert abs(a / 9.0 - b) <= 2 * queue.bound(10.0, 2)


def test_requests_of_removed_accounts_are_returned(make_load):
    queue = queue_of("a", "b")
    load = make_load(queue, 1)
    for _ in range(3):
        load.arrive("a", 10.0)
        load.arrive("b", 10.0)
    load.fill()
    removed_account = load.order[0]
    kept = "b" if removed_account == "a" else "a"
    removed = queue.set_shares({kept: 1.0})
    assert [w.account for w in removed] == [removed_account, removed_account]
    load.end(0)
    load.run(9)
    assert load.order[1:] == [kept] * 3
    assert not load.arrive(removed_account, 1.0)


def test_take_over_keeps_sums_and_positions(make_load):
    old = queue_of("a", "b")
    load = make_load(old, 2)
    for _ in range(100):
        load.arrive("a", 9.0)
        load.arrive("b", 2.0)
    load.run(31)
    new = queue_of("a", "b")
    for _ in range(2):
        new.adopt(old.service(), old.positions())
    assert new.service() == old.service()
    positions, before = new.positions(), old.positions()
    assert positions["a"] - positions["b"] == before["a"] - before["b"]
    new.adopt({"a": 1.0}, None)
    assert new.service() == old.service()


def test_refund_of_a_charge_at_a_tiny_share_stays_in_the_new_bound():
    queue = queue_of("a", "b", max_cost=100.0)
    queue.set_shares({"a": 1.0, "b": 0.01})
    for number in range(3):
        queue.add(WaitingRequest(("b", number), "b", 100.0))
    queue.start(queue.pick(), 1)
    queue.add(WaitingRequest(("a", 1), "a", 1.0))
    queue.set_shares({"a": 1.0, "b": 1.0})
    assert queue.gap() <= queue.bound(100.0, 2)
    queue.settle(1, 0.0)
    assert queue.gap() <= queue.bound(100.0, 2)
    assert queue.service() == {"a": 0.0, "b": 0.0}


def test_requests_charged_for_an_earlier_owner_leave_no_debt_beyond_the_bound():
    queue = queue_of("a", "b", max_cost=100.0, slots=4)
    queue.add(WaitingRequest(("a", 0), "a", 100.0))
    queue.add(WaitingRequest(("b", 0), "b", 100.0))
    for number in range(10):
        queue.start(WaitingRequest(("old", number), "a", 100.0), number)
        queue.settle(number, 100.0)
        assert queue.gap() <= queue.bound(100.0, 4)
    assert queue.service()["a"] == 1000.0
