"""Sequential test of a share of bad answers against the share that is usual.

A bad version has to be found from few answers, while the test is repeated with each
answer. A fixed threshold on a share is either passed by chance sooner or later, or
needs many answers. The likelihood ratio of the counts has a bound that holds for all
repetitions together (Ville's inequality): if the true share is at most the usual one,
the ratio ever reaches 1 / p with a probability of at most p.

Two tests run on the same counts. `log_evidence` decides that the version is worse, by
the mean of the ratios for several larger shares, as nobody knows how bad a version is.
`log_bad_ratio` decides that it is not clearly worse, by the ratio for one such share.
"""

from __future__ import annotations

from math import exp, inf, log, sqrt

MIN_USUAL_SHARE = 0.01
"""Smallest share that counts as usual: a good version may fail as often. With less, two
failures by chance would condemn it."""
MIN_USUAL_SLOW_SHARE = 0.05
"""The same for slow answers: moments in which a host stands still make all of its
answers slow, at good versions too."""
USUAL_FACTOR = 1.3
"""Factor by which the share of a good version may exceed the old one's: old and new
servers never have quite the same load."""
ESTIMATE_DEVIATIONS = 1.5
"""Standard deviations that are added to the share of the old version, which is known
from counts only."""
MAX_USUAL_SHARE = 0.6
"""Largest share that counts as usual, also while there are no answers to compare."""
BAD_ODDS = (3.0, 8.0, 25.0)
"""Odds of a bad answer of bad versions, relative to the usual odds."""
CLEARLY_BAD_ODDS = 8.0
"""Odds of a bad answer, relative to the usual ones, that `log_bad_ratio` rules out."""
CLEARLY_BAD_SHARE = 0.1
"""Least share of bad answers that it rules out."""


def usual_share(bad: int, total: int, least: float = MIN_USUAL_SHARE) -> float:
    """Return the share of bad answers that a good version has at most.

    Args:
        bad: Bad answers of the old version.
        total: All answers of the old version.
        least: Smallest share that counts as usual.

    Example:
        >>> usual_share(0, 0), round(usual_share(20, 1000), 3), usual_share(0, 1000)
        (0.6, 0.036, 0.01)
    """
    upper = (bad + 1 + ESTIMATE_DEVIATIONS * sqrt(bad + 1)) / (total + 1)
    return min(MAX_USUAL_SHARE, max(least, USUAL_FACTOR * upper))


def log_evidence(bad: int, total: int, usual: float) -> float:
    """Return the log of the likelihood ratio of a worse version against a usual one.

    Args:
        bad: Bad answers of the new version.
        total: All answers of the new version.
        usual: Share of bad answers that is usual; see `usual_share`.

    Example:
        >>> log_evidence(0, 100, 0.01) < 0 < log_evidence(6, 20, 0.01)
        True
    """
    ratios = [
        _log_ratio(bad, total, usual, _with_odds(usual, odds)) for odds in BAD_ODDS
    ]
    largest = max(ratios)
    return largest + log(sum(exp(ratio - largest) for ratio in ratios) / len(ratios))


def log_bad_ratio(bad: int, total: int, usual: float) -> float:
    """Return the log of the likelihood ratio of a clearly bad version.

    Args:
        bad: Bad answers of the new version.
        total: All answers of the new version.
        usual: Share of bad answers that is usual; see `usual_share`.
    """
    return _log_ratio(bad, total, usual, clearly_bad_share(usual))


def clearly_bad_share(usual: float) -> float:
    """Return the share of bad answers that a test of a good version rules out.

    Args:
        usual: Share of bad answers that is usual.

    Example:
        >>> clearly_bad_share(0.01), round(clearly_bad_share(0.1), 2)
        (0.1, 0.47)
    """
    return max(CLEARLY_BAD_SHARE, _with_odds(usual, CLEARLY_BAD_ODDS))


def _with_odds(share: float, factor: float) -> float:
    odds = factor * share / (1.0 - share)
    return odds / (1.0 + odds)


def _log_ratio(bad: int, total: int, usual: float, other: float) -> float:
    if not total:
        return 0.0
    if bad > total:
        # Counts of several routers are summed at different moments.
        total = bad
    good_ratio = (1.0 - other) / (1.0 - usual)
    ratio = bad * log(other / usual)
    return ratio + (total - bad) * (log(good_ratio) if good_ratio > 0 else -inf)
