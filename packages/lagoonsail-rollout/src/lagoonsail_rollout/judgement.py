"""Judges a new version by the answers that callers got from it and from the old one.

A version may be bad in three ways: answers fail, come late, or streams are slow. It may
be so on one route only, where the other routes hide it. So each way is tested over all
routes and by route. Servers of both versions are compared at the same time, so an
overload or a fault that meets both condemns neither.

A version that turns bad after many good answers would be found late by the sum of all
answers, so those of each recent window are tested too. The error rate is divided among
the windows such that it holds for any number of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from typing import TYPE_CHECKING

from lagoonsail_rollout.answer_counts import AnswerCounts, add_answer_counts
from lagoonsail_rollout.sequential_test import (
    MIN_USUAL_SLOW_SHARE,
    log_bad_ratio,
    log_evidence,
    usual_share,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

FALSE_ALARM_RATE = 0.005
"""Probability that a good version is ever condemned, over all tests and windows."""
SUSPICION_RATE = 0.05
"""The same for a good version to be under suspicion, which only delays it."""
MISS_RATE = 0.01
"""Probability that a clearly bad version is ever taken for good, by each test."""
ROUTE_MISS_RATE = 0.1
"""The same on each route that is not rare. Larger, as it needs half as many answers,
and most of all answers are on few routes."""
MIN_OLD_ANSWERS = 20
"""Answers of the old version without which slowness is not judged."""
USUAL_TAIL = 0.12
"""Share of the old version's answers that may be slower than the edge of slow ones."""
CRASH_FAILURES = 3
"""Failures for which the crash of a server counts, whatever it had running."""
RARE_ROUTE_FRACTION = 0.1
"""Fraction of the service's answers below which a route is rare."""
FAILURES = "failures"
"""Measure: answers that failed."""
SLOW_FIRST_PARTS = "slow first parts"
"""Measure: answers that began late."""
SLOW_STREAMS = "slow streams"
"""Measure: streams with long pauses."""
ALL_ROUTES = ""
"""Name of the sum over all routes."""


@dataclass(slots=True, frozen=True)
class Judgement:
    """What the answers so far say of a version."""

    is_bad: bool = False
    """Whether it is condemned."""
    is_suspect: bool = False
    """Whether it may be bad: it is not moved on while that is so."""
    is_good: bool = False
    """Whether enough answers show that it is not clearly worse."""
    answers: int = 0
    """Answers of the new version."""
    reason: str = ""
    """The test with the strongest evidence against the version, with its figures."""


@dataclass(slots=True, frozen=True)
class _Test:
    route: str
    measure: str
    bad: int
    total: int
    usual: float


def judge(
    old: Mapping[str, AnswerCounts],
    new: Mapping[str, AnswerCounts],
    old_crashes: int = 0,
    new_crashes: int = 0,
    window: int = 0,
) -> Judgement:
    """Compare the answers of two versions.

    Args:
        old: Counts of the old version by route.
        new: Counts of the new version by route.
        old_crashes: Crashes of old servers since the order.
        new_crashes: Crashes of new servers since the order.
        window: Number of the window that the counts are of, 0 for all since the order.
    """
    old_sum = _with_crashes(add_answer_counts(old.values()), old_crashes)
    new_sum = _with_crashes(add_answer_counts(new.values()), new_crashes)
    overall = list(_tests(ALL_ROUTES, old_sum, new_sum, old_sum))
    tests = overall + [
        test
        for route, counts in new.items()
        for test in _tests(route, old.get(route, AnswerCounts()), counts, old_sum)
    ]
    # Divided by the number of tests that there may be, not of those with answers yet.
    # The sum of 1 / ((n + 1) (n + 2)) over all windows is 1.
    count = 3 * (1 + len({*old, *new})) * (window + 1) * (window + 2)
    scores = [log_evidence(test.bad, test.total, test.usual) for test in tests]
    worst = max(scores)
    suspicion = log(count / SUSPICION_RATE)
    is_suspect = worst >= suspicion
    return Judgement(
        is_bad=worst >= log(count / FALSE_ALARM_RATE),
        is_suspect=is_suspect,
        is_good=not is_suspect
        and all(_is_passed(test, MISS_RATE) for test in overall)
        and all(
            _is_passed(test, ROUTE_MISS_RATE)
            for test in tests[len(overall) :]
            if not is_rare_route(
                old.get(test.route, AnswerCounts()).answers, old_sum.answers
            )
        ),
        answers=new_sum.answers,
        reason=_describe(tests[scores.index(worst)]),
    )


def is_rare_route(answers: int, all_answers: int) -> bool:
    """Return whether a route is so rare that a version is found good without it.

    Args:
        answers: Answers of the old version on the route.
        all_answers: Answers of the old version on all routes.
    """
    return answers < RARE_ROUTE_FRACTION * all_answers


def combine(overall: Judgement, recent: Judgement) -> Judgement:
    """Return the judgement by all answers and by those of a recent window.

    Args:
        overall: The judgement by all answers since the order.
        recent: The judgement by those of the window.
    """
    is_suspect = overall.is_suspect or recent.is_suspect
    is_worse_now = recent.is_suspect and not overall.is_bad
    return Judgement(
        overall.is_bad or recent.is_bad,
        is_suspect,
        overall.is_good and not is_suspect,
        overall.answers,
        recent.reason if is_worse_now else overall.reason,
    )


def slow_bin(bins: tuple[int, ...]) -> int:
    """Return the first bin of slow answers, given the usual ones.

    One bin is left out beyond the edge of the usual answers, so that a small shift of
    answers that lie close to an edge doesn't count as slow.

    Args:
        bins: Answers of the old version by slowness.

    Example:
        >>> slow_bin((0, 50, 40, 10, 0, 0))
        4
    """
    tail = sum(bins)
    allowed = USUAL_TAIL * tail
    for number, count in enumerate(bins):
        tail -= count
        if tail <= allowed:
            return number + 2
    return len(bins) + 1


def _tests(
    route: str, old: AnswerCounts, new: AnswerCounts, old_sum: AnswerCounts
) -> Iterable[_Test]:
    # A route without answers of the old version is compared with all routes.
    old_rate = old if old.answers >= MIN_OLD_ANSWERS else old_sum
    usual = usual_share(old_rate.failures, old_rate.answers)
    yield _Test(route, FAILURES, new.failures, new.answers, usual)
    for name, old_bins, new_bins in (
        (SLOW_FIRST_PARTS, old.first, new.first),
        (SLOW_STREAMS, old.pauses, new.pauses),
    ):
        total = sum(old_bins)
        # What is slow depends on the route, so other routes don't help here.
        if total >= MIN_OLD_ANSWERS:
            start = slow_bin(old_bins)
            old_slow = sum(old_bins[start:])
            usual = usual_share(old_slow, total, MIN_USUAL_SLOW_SHARE)
            slow = sum(new_bins[start:])
            yield _Test(route, name, slow, sum(new_bins), usual)


def _is_passed(test: _Test, miss_rate: float) -> bool:
    if not test.total and test.measure == SLOW_STREAMS:
        # There are routes without long streams.
        return True
    return log_bad_ratio(test.bad, test.total, test.usual) <= log(miss_rate)


def _with_crashes(counts: AnswerCounts, crashes: int) -> AnswerCounts:
    more = CRASH_FAILURES * crashes
    return AnswerCounts(
        counts.answers + more, counts.failures + more, counts.first, counts.pauses
    )


def _describe(test: _Test) -> str:
    name = f"{test.measure} {test.route}".strip()
    return f"{name}: {test.bad} of {test.total}, usual {test.usual:.3f}"
