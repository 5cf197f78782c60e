"""Error rates of the tests that judge a new version, by calculation and simulation."""

from __future__ import annotations

import random
from math import exp, log

import pytest

from lagoonsail_rollout.answer_counts import BINS, AnswerCounts, slowness_bin
from lagoonsail_rollout.judgement import (
    FALSE_ALARM_RATE,
    MISS_RATE,
    ROUTE_MISS_RATE,
    SUSPICION_RATE,
    judge,
    slow_bin,
)
from lagoonsail_rollout.sequential_test import (
    clearly_bad_share,
    log_bad_ratio,
    log_evidence,
    usual_share,
)

RUNS = 400
"""Runs of a simulation: at the stated rates of false alarms, 2 are expected."""
BATCHES = 40
NEW_PER_BATCH = 10
OLD_PER_NEW = 10
ROUTES = ("a", "b", "c", "d", "e")
LOG_LIMIT = log(3 * (1 + len(ROUTES)) * 2 / FALSE_ALARM_RATE)
"""Limit of the evidence for a service with five routes."""


class Version:
    """Draws answers: by route, a share of them fails, and a share is slower."""

    def __init__(self, rng, failing=0.003, slow=0.0, routes=ROUTES):
        self.rng, self.failing, self.slow, self.routes = rng, failing, slow, routes
        self.numbers = {route: [0, 0, [0] * BINS] for route in ROUTES}

    def answer(self, count):
        for _ in range(count):
            route = self.rng.choice(ROUTES)
            is_affected = route in self.routes
            numbers = self.numbers[route]
            numbers[0] += 1
            failing = self.failing if is_affected else 0.003
            numbers[1] += self.rng.random() < failing
            ratio = self.rng.lognormvariate(0.3, 0.5)
            if is_affected and self.rng.random() < self.slow:
                ratio *= 3.0
            numbers[2][slowness_bin(ratio)] += 1

    def counts(self):
        return {
            route: AnswerCounts(answers, failures, tuple(bins))
            for route, (answers, failures, bins) in self.numbers.items()
        }


def answers_until_found(
    share: float, usual: float, log_limit: float, total: int = 100_000
) -> int:
    """Return after how many answers a bad version is found, if they come evenly.

    Args:
        share: Its share of bad answers.
        usual: Share of bad answers that is usual.
        log_limit: Log of the likelihood ratio at which a version is condemned.
        total: Number of answers at which the search ends.

    Example:
        >>> answers_until_found(1.0, usual=0.01, log_limit=7.0)
        3
        >>> answers_until_found(0.01, usual=0.01, log_limit=7.0, total=1000)
        1000
    """
    for answers in range(1, total):
        bad = int(share * answers)
        if log_evidence(bad, answers, usual) >= log_limit:
            return answers
    return total


def play(seed, **fields):
    """Judge a version after each batch; return the batch of its condemnation."""
    rng = random.Random(seed)
    old_failing = fields.pop("old_failing", 0.003)
    old, new = Version(rng, old_failing), Version(rng, **fields)
    passed = None
    for batch in range(BATCHES):
        old.answer(NEW_PER_BATCH * OLD_PER_NEW)
        new.answer(NEW_PER_BATCH)
        judgement = judge(old.counts(), new.counts())
        if judgement.is_bad:
            return batch, passed
        if judgement.is_good and passed is None:
            passed = batch
    return None, passed


# A ratio of likelihoods whose mean exceeds 1 for usual versions bounds nothing.
@pytest.mark.parametrize("usual", [0.01, 0.05, 0.2, 0.6])
def test_likelihood_ratios_bound_the_error_rates_by_calculation(usual):
    def mean_factor(statistic, share):
        bad, good = statistic(1, 1, usual), statistic(0, 1, usual)
        return share * exp(bad) + (1 - share) * exp(good)

    assert mean_factor(log_evidence, usual) == pytest.approx(1.0)
    assert mean_factor(log_evidence, usual / 2) < 1.0

    def inverse(bad, total, usual):
        return -log_bad_ratio(bad, total, usual)

    clearly_bad = clearly_bad_share(usual)
    assert mean_factor(inverse, clearly_bad) == pytest.approx(1.0)
    assert mean_factor(inverse, (1 + clearly_bad) / 2) < 1.0


# A version is found before its 50th bad answer, whatever its share of bad ones.
@pytest.mark.parametrize("share", [0.03, 0.05, 0.1, 0.3, 1.0])
def test_bad_version_is_found_before_its_50th_bad_answer(share):
    answers = answers_until_found(share, usual_share(3, 1000), LOG_LIMIT)
    assert share * answers < 50


@pytest.mark.parametrize("old_failing", [0.003, 0.05])
def test_good_versions_are_rarely_condemned_and_mostly_found_good(old_failing):
    results = [
        play(seed, old_failing=old_failing, failing=old_failing) for seed in range(RUNS)
    ]
    condemned = sum(batch is not None for batch, _ in results)
    assert condemned <= 3 * FALSE_ALARM_RATE * RUNS
    never_passed = sum(passed is None for _, passed in results)
    assert never_passed <= SUSPICION_RATE * RUNS


@pytest.mark.parametrize(
    "fields",
    [
        {"failing": 0.3},
        {"failing": 1.0, "routes": ("c",)},
        {"slow": 1.0},
        {"slow": 0.5},
        {"slow": 1.0, "routes": ("c",)},
    ],
    ids=str,
)
def test_bad_versions_are_found(fields):
    results = [play(seed, **fields) for seed in range(RUNS // 4)]
    missed = sum(batch is None for batch, _ in results)
    assert missed <= MISS_RATE * len(results)
    # A version that is taken for good gets few requests, which would hide the rest.
    passed = sum(passed is not None for _, passed in results)
    assert passed <= ROUTE_MISS_RATE * len(results)


def test_overload_of_both_versions_condemns_neither():
    results = [play(seed, old_failing=0.4, failing=0.4) for seed in range(RUNS // 4)]
    assert sum(batch is not None for batch, _ in results) == 0


def test_crash_counts_but_does_not_condemn():
    old = {"a": AnswerCounts(1000, 3)}
    new = {"a": AnswerCounts(100, 0)}
    assert not judge(old, new, new_crashes=1).is_bad
    assert judge(old, new, new_crashes=4).is_bad


def test_version_that_turns_bad_is_found_by_its_window_not_by_the_sum():
    old = {"a": AnswerCounts(9000, 30, (8000, 900, 100, 0, 0))}
    late = {"a": AnswerCounts(3060, 0, (2670, 300, 30, 60, 0))}
    window = {"a": AnswerCounts(60, 0, (0, 0, 0, 60, 0))}
    assert not judge(old, late).is_bad
    assert judge(old, window, window=5).is_bad


def test_answers_beside_an_edge_are_not_slow():
    bins = (0, 0, 100, 0, 0, 0)
    assert slow_bin(bins) == 4
    old, new = AnswerCounts(100, 0, bins), AnswerCounts(100, 0, (0, 0, 0, 100, 0, 0))
    assert not judge({"a": old}, {"a": new}).is_suspect
