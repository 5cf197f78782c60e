from __future__ import annotations

import pytest

from lagoonsail_sharing.fair_queue import FairQueue
from lagoonsail_sharing.waiting import WaitingRequest


@pytest.fixture
def queue():
    queue = FairQueue(3, max_cost=100.0)
    queue.set_shares({"a": 1.0, "b": 2.0})
    return queue


def test_queue_of_one_account_is_bounded(queue):
    added = [queue.add(WaitingRequest(("a", n), "a", 1.0)) for n in range(5)]
    assert added == [True, True, True, False, False]
    assert queue.add(WaitingRequest(("b", 1), "b", 1.0))
    assert len(queue) == 4


def test_repeated_ticket_is_queued_once(queue):
    assert queue.add(WaitingRequest(("a", 1), "a", 1.0))
    assert queue.add(WaitingRequest(("a", 1), "a", 1.0))
    assert len(queue) == 1


def test_oldest_request_of_an_account_goes_first(queue):
    for since_ms in (30.0, 10.0, 20.0):
        queue.add(WaitingRequest(("a", since_ms), "a", 1.0, since_ms=since_ms))
    order = []
    for slot in range(3):
        order.append(queue.pick().since_ms)
        queue.start(queue.pick(), slot)
    assert order == [10.0, 20.0, 30.0]


def test_cancelled_request_is_neither_picked_nor_charged(queue):
    queue.add(WaitingRequest(("a", 1), "a", 1.0, since_ms=5.0))
    queue.add(WaitingRequest(("a", 2), "a", 1.0, since_ms=5.0))
    assert queue.cancel(("a", 1)).ticket == ("a", 1)
    assert queue.cancel(("a", 1)) is None
    assert queue.pick().ticket == ("a", 2)
    queue.cancel(("a", 2))
    assert queue.pick() is None
    assert queue.service() == {"a": 0.0, "b": 0.0}


def test_charge_is_estimate_then_progress_then_cost(queue):
    queue.start(WaitingRequest(("b", 1), "b", 10.0), 1)
    assert queue.service()["b"] == 5.0
    queue.progress(1, 8.0)
    assert queue.service()["b"] == 5.0
    queue.progress(1, 30.0)
    assert queue.service()["b"] == 15.0
    assert queue.settle(1, 20.0)
    assert queue.service()["b"] == 10.0
    assert not queue.settle(1, 20.0)
    queue.progress(1, 90.0)
    assert queue.service()["b"] == 10.0


@pytest.mark.parametrize("share", [0.1, 20.0])
def test_share_changed_during_a_run_refunds_what_was_charged(queue, share):
    queue.start(WaitingRequest(("b", 1), "b", 10.0), 1)
    queue.set_shares({"a": 1.0, "b": share})
    queue.progress(1, 12.0)
    queue.settle(1, 0.0)
    assert queue.service()["b"] == pytest.approx(0.0)
    assert queue.positions()["b"] >= 0.0


def test_hint_is_clamped_around_the_learned_mean(queue):
    def estimate(hint):
        return queue.estimate(WaitingRequest(("a", 0), "a", hint))

    assert estimate(0.0) == 1.0
    assert estimate(70.0) == 70.0
    assert estimate(1e9) == 100.0
    for slot in range(200):
        queue.start(WaitingRequest(("a", slot), "a", 0.0), slot)
        queue.settle(slot, 12.0)
    assert estimate(0.0) == pytest.approx(12.0)
    assert estimate(20.0) == 20.0
    assert estimate(1e9) == pytest.approx(48.0)
    assert estimate(0.001) == pytest.approx(3.0)


def settle_hinted(queue, slot, hint, cost):
    queue.start(WaitingRequest(("a", slot), "a", hint), slot)
    queue.settle(slot, cost)


def test_hints_less_accurate_than_the_mean_are_ignored(queue):
    for slot in range(40):
        settle_hinted(queue, slot, 48.0 if slot % 2 else 3.0, 12.0)
    assert queue.estimate(WaitingRequest(("a", 0), "a", 48.0)) == pytest.approx(12.0)
    for slot in range(40, 140):
        cost = 6.0 if slot % 2 else 24.0
        settle_hinted(queue, slot, cost, cost)
    assert queue.estimate(WaitingRequest(("a", 0), "a", 24.0)) == 24.0


@pytest.mark.parametrize("hint", [float("inf"), float("nan"), -1.0])
def test_invalid_hints_do_not_affect_later_estimates(queue, hint):
    for slot in range(3):
        settle_hinted(queue, slot, 12.0, 12.0)
    settle_hinted(queue, 3, hint, 12.0)
    assert queue.estimate(WaitingRequest(("a", 0), "a", 12.0)) == 12.0


def test_requests_that_did_not_run_do_not_affect_estimates(queue):
    queue.start(WaitingRequest(("a", 1), "a", 8.0), 1)
    queue.settle(1, 0.0)
    assert queue.estimate(WaitingRequest(("a", 2), "a", 0.0)) == 1.0


def test_cost_above_the_configured_maximum_widens_the_bound_instead_of_failing(queue):
    for number in range(3):
        queue.add(WaitingRequest(("a", number), "a", 1.0))
        queue.add(WaitingRequest(("b", number), "b", 1.0))
    for slot in range(6):
        queue.start(queue.pick(), slot)
        queue.settle(slot, 1e6)
