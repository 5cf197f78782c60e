"""The phases of a roll-out: who moves it on, and when.

A good version has to be in service by a time limit, a bad one has to be taken back by
then. Old servers end as soon as the roll-out is completed, with all that they have
running, so all new requests are moved some time before. One router decides for all, by
the sums of what all routers saw; see docs/design/rollouts.md.
"""

from __future__ import annotations

from dataclasses import dataclass

from lagoonsail_rollout.exposure import ExposureBounds, may_move_all
from lagoonsail_rollout.judgement import Judgement

CANARY = "canary"
"""A small share of the requests goes to a few of the new servers."""
FULL = "full"
"""All new requests go to the new version; old servers finish what they have."""
COMPLETED = "completed"
"""The new version is in service."""
ROLLED_BACK = "rolled_back"
"""The old version stays in service."""
PHASES = (CANARY, FULL, COMPLETED, ROLLED_BACK)
"""All phases."""

COMPLETION_MARGIN_MS = 1500.0
"""Time before the limit at which the end is written. A call to the store may stay
without an answer for 400 ms and is repeated after a pause: two calls may be lost."""
MIN_FULL_MS = 1300.0
"""Least time with all requests at the new version: other routers get to know of it
within a second or so, and a version that is bad under load shows it."""
MAX_FULL_MS = 4000.0
"""Time after which a roll-out without running requests on old servers is completed. The
longer it waits, the later a version may turn bad and still be rolled back."""
FEW_REQUESTS = 20
"""Requests below which a service has too little traffic to judge anything."""
READY_FRACTION = 0.5
"""New servers, relative to the old ones, from which all requests may be moved before
the last moment."""


@dataclass(slots=True, frozen=True)
class Situation:
    """What the leader knows of a roll-out."""

    phase: str
    """The phase; the others than CANARY and FULL are final."""
    remaining_ms: float
    """Time until the limit."""
    in_phase_ms: float
    """Time since the phase began."""
    judgement: Judgement
    """What the answers say, over all routers."""
    requests: int
    """Requests that reached the service since the order."""
    exposed: int
    """Requests that were sent to the new version since."""
    rate_per_ms: float
    """Requests of the service in a millisecond."""
    new_servers: int
    """Usable servers of the new version."""
    old_servers: int
    """Usable servers of the versions in service."""
    old_running: int
    """Requests that run at servers of the old versions, of all routers."""
    is_in_service: bool = False
    """Whether the version is the one in service already."""


@dataclass(slots=True, frozen=True)
class Step:
    """A change of the phase."""

    phase: str
    """The next phase."""
    reason: str
    """Why it follows."""


def is_final(phase: str) -> bool:
    """Return whether a phase ends a roll-out.

    Args:
        phase: One of `PHASES`.
    """
    return phase in (COMPLETED, ROLLED_BACK)


def next_step(situation: Situation, bounds: ExposureBounds) -> Step | None:
    """Return the change of phase that is due, None if there is none.

    Args:
        situation: What is known.
        bounds: The bounds of the settings.
    """
    if is_final(situation.phase):
        return None
    if situation.judgement.is_bad:
        return Step(ROLLED_BACK, situation.judgement.reason)
    is_last_moment = situation.remaining_ms <= COMPLETION_MARGIN_MS
    if situation.phase == CANARY:
        return _step_of_canary(situation, bounds, is_last_moment=is_last_moment)
    return _step_of_full(situation, is_last_moment=is_last_moment)


def _step_of_canary(
    situation: Situation, bounds: ExposureBounds, *, is_last_moment: bool
) -> Step | None:
    if is_last_moment:
        return Step(ROLLED_BACK, _why_not_moved(situation))
    if not situation.new_servers:
        return None
    if situation.is_in_service:
        return Step(FULL, "the version is in service")
    if situation.remaining_ms <= COMPLETION_MARGIN_MS + MIN_FULL_MS:
        if _may_be_good(situation):
            return Step(FULL, "the time limit is close")
        return None
    is_ready = situation.new_servers >= READY_FRACTION * situation.old_servers
    if not situation.judgement.is_good or not is_ready:
        return None
    if may_move_all(
        bounds,
        situation.requests,
        situation.exposed,
        situation.rate_per_ms,
        situation.remaining_ms,
    ):
        return Step(FULL, f"{situation.judgement.answers} answers are good")
    return None


def _step_of_full(situation: Situation, *, is_last_moment: bool) -> Step | None:
    if is_last_moment:
        if not situation.new_servers:
            return Step(ROLLED_BACK, "no server of the version is left")
        if situation.judgement.is_suspect and not situation.is_in_service:
            return Step(ROLLED_BACK, f"suspect: {situation.judgement.reason}")
        return Step(COMPLETED, "the time limit is close")
    is_done = not situation.old_running and situation.in_phase_ms >= MAX_FULL_MS
    if is_done and situation.new_servers and not situation.judgement.is_suspect:
        return Step(COMPLETED, "old servers have nothing running")
    return None


def _may_be_good(situation: Situation) -> bool:
    if situation.judgement.is_suspect:
        return False
    return situation.judgement.answers > 0 or situation.requests < FEW_REQUESTS


def _why_not_moved(situation: Situation) -> str:
    if not situation.new_servers:
        return "there are no servers of the version"
    if situation.judgement.is_suspect:
        return f"suspect: {situation.judgement.reason}"
    if not situation.judgement.answers:
        return "no answers of the version"
    return "the time limit has passed"
