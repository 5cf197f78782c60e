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
the mean of the others' limits (`start_evidence`). The requests outstanding elsewhere
are known with the delay of digests; so a router uses only its part of the room that is
left, and only a fraction of that in each update (`start_permits`).

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
from dataclasses import replace
from typing import TYPE_CHECKING

from lagoonsail_sharing.start_evidence import (
    SUMS_AGE_MS,
    StartEvidence,
    evidence_since,
    has_usable_sums,
    scale_to_all,
)
from lagoonsail_sharing.start_permits import PROBE_INTERVAL_MS, StartPermits

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
PEER_LIMIT_WEIGHT = 0.1
"""Weight of the mean of the other routers' limits, at each update."""
OVERFLOW_FACTOR = 1.5
"""Factor of the limit while the other servers are full, which would refuse requests."""
PEER_FACTOR = 2.0
"""Slow start ends at this multiple of the requests outstanding at other servers."""
END_HOLD_MS = 1000.0
"""Time for which the limit must stay there: the answers to what was sent up to it come
later, and only they show whether the server can do it."""
UNUSED_MS = 2000.0
"""Slow start ends also if for this time no router held off a request, and the limit is
that multiple of what is outstanding at the server."""


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
        "_ended_before",
        "_held_before",
        "_held_now",
        "_is_holding",
        "_own",
        "_permits",
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
        self.setbacks = Counter()
        self._own = StartEvidence(starting=1)
        self._seen = seen
        self._ended_before = seen.ended
        self._held_before = self._held_now = 0
        self._is_holding = False
        self._permits = StartPermits(now_ms)
        self._unused_since_ms = now_ms
        self._begin(now_ms, limit)

    def _begin(self, now_ms: float, limit: float | None) -> None:
        self.began_ms = now_ms
        self.limit = limit or initial_limit(self.slots)
        self.answered = 0.0
        self._proofs_needed = initial_limit(self.slots)
        self._raised_ms = self._setback_ms = -math.inf
        self._reached_ms = math.inf
        self._window_answers = self._window_trouble = 0.0

    @property
    def permits(self) -> int:
        """Requests that this router may still send there before the next update."""
        return self._permits.left

    @permits.setter
    def permits(self, permits: int) -> None:
        self._permits.left = permits

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
        self._note_held(now_ms, is_holding=totals.held > seen.held)
        if now_ms - self._setback_ms < SETBACK_HOLD_MS:
            return
        new = evidence_since(totals, seen)
        scale = scale_to_all(totals, routers)
        self._count_answers(new, scale)
        round_size = self.limit / 2.0
        reason = self._find_setback(new, round_size)
        if reason is not None:
            self._set_back(reason, now_ms)
            return
        self._raise_limit(new.raises * scale, now_ms)
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
        is_overflow = are_others_full and is_settled
        limit = self.limit * (OVERFLOW_FACTOR if is_overflow else 1.0)
        if routers > 1 and is_settled and has_usable_sums(totals, routers):
            outstanding = own_running + others_running
            share = self._share(totals, routers)
            self._grant_part(now_ms, limit, outstanding, share, random_value)
            return
        quota = quota_of(int(limit))
        interval_ms = PROBE_INTERVAL_MS * routers / limit
        self._permits.grant_fixed(now_ms, quota, own_running, interval_ms, random_value)

    def _grant_part(
        self,
        now_ms: float,
        limit: float,
        outstanding: int,
        share: float,
        random_value: float,
    ) -> None:
        """Grant a share of the room between the limit and what is outstanding."""
        self._permits.update_overcommit(
            is_half_used=2 * outstanding >= self.limit, is_holding=self._is_holding
        )
        room = max(0.0, limit - outstanding)
        self._permits.grant_part(now_ms, room * share, random_value)

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

    def _note_held(self, now_ms: float, *, is_holding: bool) -> None:
        self._is_holding = is_holding
        if is_holding:
            self._unused_since_ms = now_ms

    def _count_answers(self, new: StartEvidence, scale: float) -> None:
        self.answered += new.in_time * scale
        self._window_answers += scale * (new.in_time + new.late + new.failed)
        self._window_trouble += scale * (new.late + FAILURE_WEIGHT * new.failed)

    def _find_setback(self, new: StartEvidence, round_size: float) -> str | None:
        """Return the reason of a setback, None if the server keeps up."""
        if new.refused:
            return "refused"
        allowed = SETBACK_FRACTION * max(round_size, self._window_answers)
        if self._window_trouble <= allowed:
            return None
        return "failed" if new.failed > new.late else "late"

    def _follow_others(self, totals: StartEvidence) -> None:
        others = totals.starting - 1
        if others > 0:
            mean = max(MIN_LIMIT, (totals.limits - self._own.limits) / others)
            self.limit += PEER_LIMIT_WEIGHT * (mean - self.limit)

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
