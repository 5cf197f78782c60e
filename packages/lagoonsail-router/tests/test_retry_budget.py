from __future__ import annotations

from lagoonsail_router.retry_budget import RESERVE_RETRIES, RetryBudget


def test_retries_stay_within_their_share_of_the_calls():
    budget = RetryBudget(percent=10)
    retries = 0
    for _ in range(10_000):
        budget.record_call()
        # Under overload every call and every retry fails.
        while budget.try_spend():
            retries += 1
    assert retries == RESERVE_RETRIES + 1000


def test_unused_share_is_not_saved_up_without_end():
    budget = RetryBudget(percent=10)
    for _ in range(100_000):
        budget.record_call()
    retries = 0
    while budget.try_spend():
        retries += 1
    assert retries == RESERVE_RETRIES + 10


def test_no_share_leaves_the_reserve_only():
    budget = RetryBudget(percent=0)
    for _ in range(1000):
        budget.record_call()
    assert [budget.try_spend() for _ in range(12)] == [True] * 10 + [False] * 2
