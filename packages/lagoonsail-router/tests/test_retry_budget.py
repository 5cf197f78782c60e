from __future__ import annotations

from lagoonsail_router.retry_budget import RESERVE, RetryBudget


def test_retries_stay_within_their_share_of_the_calls():
    budget = RetryBudget(percent=10)
    retries = 0
    for _ in range(10_000):
        budget.note_call()
        # An overload: each call and each retry fails.
        while budget.take():
            retries += 1
    assert retries == RESERVE + 1000


def test_unused_share_is_not_saved_up_without_end():
    budget = RetryBudget(percent=10)
    for _ in range(100_000):
        budget.note_call()
    retries = 0
    while budget.take():
        retries += 1
    assert retries == RESERVE + 10


def test_no_share_leaves_the_reserve_only():
    budget = RetryBudget(percent=0)
    for _ in range(1000):
        budget.note_call()
    assert [budget.take() for _ in range(12)] == [True] * 10 + [False] * 2
