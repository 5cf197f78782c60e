"""Slow start of a server that many routers use: limits its outstanding requests.

Designed for a server that starts, restarts or recovers while the others are loaded. It
has no queue and so attracts the requests of all routers at once; and it may be slower
than it will be, because its caches are empty or its code is not yet compiled.

The limit counts the requests outstanding at the server, of all routers. It starts
small. Each first part of an answer that comes in time, to a request sent while half of
the limit was reached, raises it by some requests, since streams stay outstanding long
after their first part; in 0.3 s the limit at most doubles.
The limit is halved on a setback: a refusal for want of room, or too many late or failed
answers among those of a round. Answers to requests sent before the last setback do not
count.

Each router applies the counts of all routers to a limit of its own and draws it toward
the mean of the others' limits. The requests outstanding elsewhere are known with the
delay of digests; so a router uses only its part of the room that is left, and only a
fraction of that in each update.

`server_limit` does this for a server with one owner, who knows exactly what runs there.

Example:
    >>> none = StartEvidence()
    >>> pace = StartPace(slots=64, now_ms=0.0, seen=none)
    >>> pace.limit
    8.0
    >>> for _ in range(8):
    ...     pace.record_answer(sent_ms=1.0, is_in_time=True, is_at_limit=True)
    >>> pace.update(100.0, pace.evidence(demand=0), routers=1)
    >>> pace.limit
    16.0
    >>> pace.record_refusal()
    >>> pace.update(200.0, pace.evidence(demand=0), routers=1)
    >>> pace.limit, dict(pace.setbacks)
    (8.0, {'refused': 1})
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, fields, replace
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

INITIAL_FRACTION = 0.125
"""Initial limit as a fraction of the server's slots."""
MIN_INITIAL_LIMIT = 2.0
"""Minimum initial limit: one answer alone shows little."""
MIN_LIMIT = 1.0
"""Limit of a server that answers late or fails all the time."""
RAISE = 3.0
"""Raise of the limit by an answer in time. With 1, a server of long streams would get
one new request for each first part, and its load would grow linearly."""
MAX_GROWTH = 2.0
"""Maximum factor of the limit in `GROWTH_MS`."""
GROWTH_MS = 300.0
"""Time in which the limit at most doubles. Sums and late answers are that old, so
faster growth exceeds what the server can do before it shows."""
SETBACK_FACTOR = 0.5
"""Factor of the limit at a setback."""
SETBACK_FRACTION = 0.25
"""Fraction of the answers of a round that may be late. Times of answers differ by
themselves; a smaller fraction would hold back servers that keep up."""
FAILURE_WEIGHT = 2.0
"""Weight of a failed answer relative to a late one."""
SETBACK_HOLD_MS = 400.0
"""Time after a setback in which answers do not count: that of a digest on its way
through relays, and of the other routers' requests that were already sent."""
LATE_FACTOR = 2.0
"""Factor of the expected time beyond which an answer is late."""
LATE_SLACK_MS = 50.0
"""Further time beyond which it is late, for the network and unknown queues."""
PULL = 0.1
"""Weight of the mean of the other routers' limits, at each update."""
USED_PER_UPDATE = 0.25
"""Fraction of the room that all routers use in one update: the sums that they see are
up to three updates old, and are used until the next."""
SUMS_AGE_MS = 400.0
"""Age up to which sums are used: that of digests, and the interval of updates."""
MIN_COVERAGE = 0.5
"""Fraction of the routers beyond which their sums are used. If fewer report, each
router keeps to a fixed part of the limit."""
MAX_OVERCOMMIT = 3.0
"""Maximum factor of the permits of all routers to the room. Many permits are unused: a
router has one, but its requests are sent to the servers that know their prompts."""
OVERCOMMIT_GROWTH = 1.1
"""Growth of that factor in each update in which requests are held off, although less
than half of the limit is outstanding."""
OVERFLOW_FACTOR = 1.5
"""Factor of the limit while the other servers are full, which would refuse requests."""
PROBE_INTERVAL_MS = 1000.0
"""Interval in which all routers with a part of 0 send about as many requests as the
limit is."""
PEER_FACTOR = 2.0
"""Slow start ends at this multiple of the requests outstanding at other servers."""
END_HOLD_MS = 1000.0
"""Time for which the limit must stay there: the answers to what was sent up to it come
later, and only they show whether the server can do it."""
UNUSED_MS = 2000.0
"""Slow start ends also if for this time no router held off a request, and the limit is
that multiple of what is outstanding at the server."""


@dataclass(slots=True, frozen=True)
class StartEvidence:
    """What one router reports of a server that starts, or the sum over routers."""

    starting: int = 0
    """Routers that have the server in slow start."""
    ended: int = 0
    """Routers at which its slow start has ended recently."""
    limits: int = 0
    """Sum of the limits of the routers that have it in slow start."""
    raises: int = 0
    """Answers in time to requests sent while the limit was reached."""
    in_time: int = 0
    """Answers in time."""
    late: int = 0
    """Answers that were late."""
    failed: int = 0
    """Requests that failed."""
    refused: int = 0
    """Requests that it refused for want of room."""
    demand: int = 0
    """Recent requests for its service."""
    held: int = 0
    """Requests sent elsewhere because of its limit."""

    def encode(self) -> tuple[int, ...]:
        """Return the numbers for `FleetCounts`."""
        return _numbers_of(self)


_FIELD_NAMES = [field.name for field in fields(StartEvidence)]
_numbers_of = attrgetter(*_FIELD_NAMES)


def decode_evidence(numbers: tuple[int, ...]) -> StartEvidence:
    """Return evidence from the numbers of `FleetCounts`.

    Args:
        numbers: The numbers; missing ones are 0, and negative ones count as 0.

    Example:
        >>> decode_evidence((2, 0, -16)).limits
        0
    """
    return StartEvidence(*(max(0, number) for number in numbers[: len(_FIELD_NAMES)]))


def is_in_time(observed_ms: float, expected_ms: float) -> bool:
    """Return whether the first part of an answer came in time.

    Args:
        observed_ms: Time that it took.
        expected_ms: Time that was expected when the request was sent.
    """
    return observed_ms <= LATE_FACTOR * expected_ms + LATE_SLACK_MS


def initial_limit(slots: int) -> float:
    """Return the limit with which slow start begins.

    Args:
        slots: Requests that the server can run concurrently.

    Example:
        >>> initial_limit(64), initial_limit(6)
        (8.0, 2.0)
    """
    return max(MIN_INITIAL_LIMIT, INITIAL_FRACTION * slots)


class StartPace:
    """Slow start of one server, at one router."""

    __slots__ = (
        "_credit",
        "_draw",
        "_drawn_ms",
        "_ended_before",
        "_granted",
        "_held_before",
        "_held_now",
        "_is_holding",
        "_overcommit",
        "_own",
        "_probed_ms",
        "_proofs_needed",
        "_raised_ms",
        "_reached_ms",
        "_seen",
        "_setback_ms",
        "_unused_since_ms",
        "_window_answers",
        "_window_trouble",
        "answered",
        "began_ms",
        "held",
        "limit",
        "permits",
        "setbacks",
        "slots",
        "started_ms",
    )

    answered: float
    """Answers in time since the start, of all routers as far as known."""
    began_ms: float
    """When it began, or began anew."""
    held: int
    """Requests that this router sent elsewhere because of the limit."""
    limit: float
    """Maximum number of requests outstanding at the server, of all routers."""
    permits: int
    """Requests that this router may still send there before the next update."""
    setbacks: Counter[str]
    """Number of setbacks by reason."""
    slots: int
    """Requests that the server can run concurrently."""
    started_ms: float
    """When slow start began."""

    def __init__(
        self,
        slots: int,
        now_ms: float,
        seen: StartEvidence,
        limit: float | None = None,
    ) -> None:
        """Begin slow start; without permits until the first update.

        Args:
            slots: Requests that the server can run concurrently.
            now_ms: The time.
            seen: Evidence of all routers until now, which does not count.
            limit: The limit, if it is known from other routers.
        """
        self.slots = slots
        self.started_ms = now_ms
        self.held = 0
        self.permits = 0
        self.setbacks = Counter()
        self._own = StartEvidence(starting=1)
        self._seen = seen
        self._ended_before = seen.ended
        self._held_before = self._held_now = 0
        self._credit = self._draw = 0.0
        self._drawn_ms = -math.inf
        self._is_holding = False
        self._overcommit = 1.0
        self._granted = 0
        self._probed_ms = self._unused_since_ms = now_ms
        self._begin(now_ms, limit)

    def _begin(self, now_ms: float, limit: float | None) -> None:
        self.began_ms = now_ms
        self.limit = limit or initial_limit(self.slots)
        self.answered = 0.0
        self._proofs_needed = initial_limit(self.slots)
        self._raised_ms = self._setback_ms = -math.inf
        self._reached_ms = math.inf
        self._window_answers = self._window_trouble = 0.0

    def restart(self, now_ms: float, reason: str, limit: float | None = None) -> None:
        """Begin anew, because the server is cold again or was suspended.

        Args:
            now_ms: The time.
            reason: The reason, for the log.
            limit: The new limit; the initial one if None.
        """
        self._begin(now_ms, limit)
        self._setback_ms = now_ms
        self.setbacks[reason] += 1

    def is_at_limit(self, outstanding: int) -> bool:
        """Return whether an answer to a request that is sent now may raise the limit.

        Args:
            outstanding: Requests outstanding at the server with this one.
        """
        # Short answers are rarely seen as outstanding: digests are sent too seldom.
        return self.held > self._held_before or 2 * outstanding >= self.limit

    def record_answer(
        self, sent_ms: float, is_in_time: bool, is_at_limit: bool
    ) -> None:
        """Record the first part of an answer to this router.

        Args:
            sent_ms: When the request was sent.
            is_in_time: Whether it came as fast as expected.
            is_at_limit: Result of `is_at_limit` when the request was sent.
        """
        if sent_ms < self._setback_ms:
            return
        own = self._own
        if not is_in_time:
            self._own = replace(own, late=own.late + 1)
            return
        self._own = replace(
            own, in_time=own.in_time + 1, raises=own.raises + is_at_limit
        )

    def record_failure(self, sent_ms: float) -> None:
        """Record a request of this router that failed.

        Args:
            sent_ms: When it was sent.
        """
        if sent_ms >= self._setback_ms:
            self._own = replace(self._own, failed=self._own.failed + 1)

    def record_refusal(self) -> None:
        """Record a request of this router that the server refused for want of room."""
        self._own = replace(self._own, refused=self._own.refused + 1)

    def evidence(self, demand: int) -> StartEvidence:
        """Return what this router reports to the others.

        Args:
            demand: Its recent requests for the service.
        """
        self._own = replace(
            self._own, limits=round(self.limit), demand=demand, held=self.held
        )
        return self._own

    def final_evidence(self) -> StartEvidence:
        """Return what this router reports for some time after the end."""
        return replace(self._own, starting=0, ended=1, limits=0, demand=0)

    def update(self, now_ms: float, totals: StartEvidence, routers: int) -> None:
        """Adapt the limit to the answers that all routers have counted.

        Args:
            now_ms: The time.
            totals: Evidence of all routers, with that which this router reports.
            routers: Number of routers.
        """
        seen, self._seen = self._seen, totals
        self._held_before, self._held_now = self._held_now, self.held
        self._follow_others(totals)
        self._is_holding = totals.held > seen.held
        if self._is_holding:
            self._unused_since_ms = now_ms
        # With reports of few routers, their answers stand for those of all.
        coverage = _coverage(totals, routers)
        scale = 1.0 if coverage > MIN_COVERAGE else 1.0 / coverage
        if now_ms - self._setback_ms < SETBACK_HOLD_MS:
            return
        # Sums fall when a router dies.
        in_time = max(0, totals.in_time - seen.in_time)
        late = max(0, totals.late - seen.late)
        failed = max(0, totals.failed - seen.failed)
        self.answered += in_time * scale
        self._window_answers += scale * (in_time + late + failed)
        self._window_trouble += scale * (late + FAILURE_WEIGHT * failed)
        round_size = self.limit / 2.0
        allowed = SETBACK_FRACTION * max(round_size, self._window_answers)
        if totals.refused > seen.refused:
            self._set_back("refused", now_ms)
        elif self._window_trouble > allowed:
            self._set_back("failed" if failed > late else "late", now_ms)
        else:
            self._raise_limit(max(0, totals.raises - seen.raises) * scale, now_ms)
            if self._window_answers >= round_size:
                self._window_answers = self._window_trouble = 0.0

    def grant(
        self,
        now_ms: float,
        totals: StartEvidence,
        own_running: int,
        others_running: int,
        routers: int,
        quota_of: Callable[[int], int],
        random_value: float,
        *,
        are_others_full: bool = False,
    ) -> None:
        """Set the permits until the next update.

        Args:
            now_ms: The time.
            totals: Evidence of all routers, with that which this router reports.
            own_running: Requests of this router at the server.
            others_running: Those of the other routers, by their digests.
            routers: Number of routers.
            quota_of: Returns this router's fixed part of a number of requests.
            random_value: A random number from 0 up to 1.
            are_others_full: Whether the other servers of the service are full.
        """
        # The sums do not yet show what was sent at the beginning.
        is_settled = now_ms - self.began_ms >= SUMS_AGE_MS
        is_known = _coverage(totals, routers) > MIN_COVERAGE
        is_overflow = are_others_full and is_settled
        limit = self.limit * (OVERFLOW_FACTOR if is_overflow else 1.0)
        if routers > 1 and is_settled and is_known:
            outstanding = own_running + others_running
            self._update_overcommit(outstanding)
            room = max(0.0, limit - outstanding)
            part = room * self._share(totals, routers) * self._overcommit
            # What was granted beyond the part is owed.
            used = self._granted - max(0, self.permits)
            credit = max(-1.0, self._credit - used)
            self._credit = min(part, credit + part * USED_PER_UPDATE)
            if now_ms - self._drawn_ms >= SUMS_AGE_MS:
                self._drawn_ms = now_ms
                self._draw = random_value
            # Rounded at random, so that small parts add up over the routers.
            self.permits = max(0, math.floor(self._credit + self._draw))
            self._granted = self.permits
            return
        self._granted = self.permits = 0
        quota = quota_of(int(limit))
        self.permits = quota - own_running
        interval_ms = PROBE_INTERVAL_MS * routers / limit
        is_due = now_ms - self._probed_ms >= interval_ms * (0.5 + random_value)
        if not quota and not own_running and is_due:
            self.permits = 1
            self._probed_ms = now_ms

    def describe(self, now_ms: float) -> dict[str, object]:
        """Return log fields: duration, limit, setbacks, and this router's counts.

        Args:
            now_ms: The time.
        """
        own = self._own
        return {
            "duration_ms": round(now_ms - self.started_ms),
            "limit": round(self.limit, 1),
            "in_time": own.in_time,
            "late": own.late,
            "failed": own.failed,
            "refused": own.refused,
            "held": self.held,
            "setbacks": dict(self.setbacks),
        }

    def is_done(
        self,
        now_ms: float,
        totals: StartEvidence,
        outstanding: int,
        peer_mean: float | None,
    ) -> bool:
        """Return whether the server would get no more without the limit.

        To be called after each update.

        Args:
            now_ms: The time.
            totals: Evidence of all routers.
            outstanding: Requests outstanding at the server, of all routers.
            peer_mean: Mean number of requests outstanding at the other servers of its
                service; None if there is none that has started.
        """
        if totals.ended - self._ended_before >= totals.starting:
            return True
        if self.answered < self._proofs_needed:
            return False
        is_unused = now_ms - self._unused_since_ms >= UNUSED_MS
        if is_unused and self.limit >= PEER_FACTOR * outstanding:
            return True
        needed = float(self.slots)
        if peer_mean is not None:
            needed = min(needed, PEER_FACTOR * peer_mean + 1.0)
        is_reached = self.limit >= needed
        self._reached_ms = min(self._reached_ms, now_ms) if is_reached else math.inf
        return now_ms - self._reached_ms >= END_HOLD_MS

    def _update_overcommit(self, outstanding: int) -> None:
        if 2 * outstanding >= self.limit:
            self._overcommit = 1.0
        elif self._is_holding:
            self._overcommit = min(MAX_OVERCOMMIT, self._overcommit * OVERCOMMIT_GROWTH)

    def _follow_others(self, totals: StartEvidence) -> None:
        others = totals.starting - 1
        if others > 0:
            mean = max(MIN_LIMIT, (totals.limits - self._own.limits) / others)
            self.limit += PULL * (mean - self.limit)

    def _raise_limit(self, raises: float, now_ms: float) -> None:
        if raises <= 0.0:
            return
        part = min(1.0, (now_ms - self._raised_ms) / GROWTH_MS)
        self._raised_ms = now_ms
        limit = min(MAX_GROWTH**part * self.limit, self.limit + RAISE * raises)
        self.limit = max(self.limit, min(limit, float(self.slots)))

    def _set_back(self, reason: str, now_ms: float) -> None:
        self.limit = max(MIN_LIMIT, SETBACK_FACTOR * self.limit)
        self.setbacks[reason] += 1
        self._setback_ms = now_ms
        self._reached_ms = math.inf
        self._window_answers = self._window_trouble = 0.0

    def _share(self, totals: StartEvidence, routers: int) -> float:
        """Return this router's part of the room, by its part of the demand."""
        own_demand = self._own.demand
        if own_demand <= 0 or totals.demand <= 0:
            return 1.0 / routers
        return min(1.0, own_demand / totals.demand)


def _coverage(totals: StartEvidence, routers: int) -> float:
    reporting = max(1, totals.starting + totals.ended)
    return min(1.0, reporting / max(1, routers))
