"""Counts of the answers of a version, on which a roll-out is judged.

Answers the question whether callers got worse answers from the new servers than from
the old ones at the same time. Each router counts the answers that it sees, and the
counts of all routers are added up, so they are plain numbers: answers, failures, and
histograms of how slow answers were relative to what was expected.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import chain, repeat, zip_longest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

BINS = 12
"""Number of bins of a histogram of slowness."""
LOWEST_RATIO = 0.3
"""Upper edge of the first bin: time taken relative to the time expected."""
BIN_FACTOR = 1.5
"""Factor between the edges of two bins. The last bin begins at 17 times the expected
time, so that answers three times slower than a usual ratio of 5 are still told
apart."""


@dataclass(slots=True, frozen=True)
class AnswerCounts:
    """Answers of one version on one route, or on all routes."""

    answers: int = 0
    """Answers that ended, whole or not."""
    failures: int = 0
    """Those of them that failed."""
    first: tuple[int, ...] = ()
    """Answers by slowness of their first part; see `slowness_bin`."""
    pauses: tuple[int, ...] = ()
    """Streams by slowness of the parts that followed."""


def slowness_bin(ratio: float) -> int:
    """Return the bin of a time relative to the expected one.

    Args:
        ratio: The time taken divided by the time expected.

    Example:
        >>> [slowness_bin(ratio) for ratio in (0.1, 0.4, 1.0, 100.0)]
        [0, 1, 3, 11]
    """
    edge = LOWEST_RATIO
    for number in range(BINS - 1):
        if ratio <= edge:
            return number
        edge *= BIN_FACTOR
    return BINS - 1


def add_answer_counts(parts: Iterable[AnswerCounts]) -> AnswerCounts:
    """Return the sum of several counts.

    Args:
        parts: The counts, for instance one for each route.

    Example:
        >>> add_answer_counts([AnswerCounts(2, 1, (1, 1)), AnswerCounts(1, 0, (1,))])
        AnswerCounts(answers=3, failures=1, first=(2, 1), pauses=())
    """
    parts = list(parts)
    return AnswerCounts(
        sum(part.answers for part in parts),
        sum(part.failures for part in parts),
        _add_bins([part.first for part in parts]),
        _add_bins([part.pauses for part in parts]),
    )


def subtract_answer_counts(counts: AnswerCounts, before: AnswerCounts) -> AnswerCounts:
    """Return the counts since an earlier moment.

    Args:
        counts: The counts now; they may have fallen, when a router died.
        before: The counts then.

    Example:
        >>> subtract_answer_counts(AnswerCounts(3, 1, (2, 1)), AnswerCounts(1, 2, (1,)))
        AnswerCounts(answers=2, failures=0, first=(1, 1), pauses=())
    """
    return AnswerCounts(
        max(0, counts.answers - before.answers),
        max(0, counts.failures - before.failures),
        _subtract_bins(counts.first, before.first),
        _subtract_bins(counts.pauses, before.pauses),
    )


def _subtract_bins(bins: tuple[int, ...], before: tuple[int, ...]) -> tuple[int, ...]:
    # As long as the bins now: later ones of before would be negative.
    pairs = zip(bins, chain(before, repeat(0)), strict=False)
    return tuple(max(0, count - old) for count, old in pairs)


def _add_bins(histograms: list[tuple[int, ...]]) -> tuple[int, ...]:
    return tuple(map(sum, zip_longest(*histograms, fillvalue=0)))
