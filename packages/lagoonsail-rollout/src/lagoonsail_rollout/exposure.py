"""How many requests a version that may be bad can get, and by which router.

Until the time limit a bad version gets at most a share of the service's requests and a
fixed number more. It can turn bad at any time, also when all requests go to it, and
nobody knows of it at once. So all that is sent to a new version counts, and the
requests of its last phase, in which it gets all, are set aside before.

Each router sends a request to the new version by chance. The chance does not exceed the
share, except on routes with few answers, where it is up to `RARE_ROUTE_FACTOR` times as
large. It is 0 once the canary's part of the bound is used, and a sum that is some 0.3 s
old can't be overrun by much.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

Value = TypeVar("Value")

CANARY_FRACTION = 0.35
"""Fraction of the allowed requests for the canary; the rest is for the last phase."""
CLOSE_REQUESTS = 10.0
"""Requests left of the canary's part below which the chance shrinks, as other routers
send at the same time."""
TRICKLE_FRACTION = 0.1
"""Fraction of the share that a canary still gets once it is found good, so that a
version that turns bad later is noticed."""
PLANNED_FRACTION = 0.9
"""Fraction of the allowed requests that are planned for, as the rate of requests may
fall before the time limit."""
ROUTE_ANSWERS = 30
"""Answers on a route below which its requests get the full chance."""
RARE_ROUTE_FACTOR = 3.0
"""Factor of the chance of requests on rare routes, which else would bring no evidence.
It adds at most a fifth to the share for each of them."""


@dataclass(slots=True, frozen=True)
class ExposureBounds:
    """The bounds of the settings."""

    share: float
    """Share of all requests that a bad version may get."""
    slack: float
    """Number of requests that it may get beyond this."""
    rollback_ms: float
    """Time from the 50th bad answer until a bad version gets no more requests."""


def allowed_requests(bounds: ExposureBounds, requests: float) -> float:
    """Return how many requests a bad version may get in all.

    Args:
        bounds: The bounds.
        requests: Requests that reached the service since the order.
    """
    return bounds.share * requests + bounds.slack


def canary_chance(
    bounds: ExposureBounds, requests: int, exposed: int, *, is_good: bool
) -> float:
    """Return the chance of a request to be sent to the new version as a trial.

    Args:
        bounds: The bounds.
        requests: Requests that reached the service since the order, at all routers.
        exposed: Requests that were sent to the new version since, by all routers.
        is_good: Whether the version has been found good.

    Example:
        >>> bounds = ExposureBounds(0.1, 50.0, 5000.0)
        >>> canary_chance(bounds, requests=100, exposed=0, is_good=False)
        0.1
        >>> canary_chance(bounds, requests=100, exposed=40, is_good=False)
        0.0
    """
    left = CANARY_FRACTION * allowed_requests(bounds, requests) - exposed
    chance = bounds.share * min(1.0, max(0.0, left) / CLOSE_REQUESTS)
    return min(chance, TRICKLE_FRACTION * bounds.share) if is_good else chance


def route_chance(
    chance: float, answers: int, max_chance: float, *, is_rare: bool
) -> float:
    """Return the chance of a request on one route, so that each route is judged.

    Args:
        chance: Chance of a request of the service; see `canary_chance`.
        answers: Answers of the new version on the route.
        max_chance: Chance at which the canary's servers have the load of old ones.
        is_rare: Whether the route is rare; see `is_rare_route`.

    Example:
        >>> route_chance(0.04, answers=90, max_chance=0.1, is_rare=False)
        0.04
        >>> route_chance(0.04, answers=9, max_chance=0.1, is_rare=False)
        0.1
        >>> round(route_chance(0.04, answers=9, max_chance=0.1, is_rare=True), 2)
        0.3
        >>> route_chance(0.0, answers=9, max_chance=0.1, is_rare=True)
        0.0
    """
    if not chance or answers >= ROUTE_ANSWERS:
        return chance
    return RARE_ROUTE_FACTOR * max_chance if is_rare else max_chance


def may_move_all(
    bounds: ExposureBounds,
    requests: int,
    exposed: int,
    rate_per_ms: float,
    remaining_ms: float,
) -> bool:
    """Return whether the new version may get all requests until the time limit.

    That is so if the bound holds even if it turns out bad and nobody notices.

    Args:
        bounds: The bounds.
        requests: Requests that reached the service since the order.
        exposed: Requests that were sent to the new version since.
        rate_per_ms: Requests of the service in a millisecond.
        remaining_ms: Time until the limit.
    """
    coming = rate_per_ms * max(0.0, remaining_ms)
    allowed = PLANNED_FRACTION * allowed_requests(bounds, requests + coming)
    return exposed + coming <= allowed


def canary_servers(ranked: Sequence[Value], old_servers: int, share: float) -> int:
    """Return how many of the new servers the canary uses.

    As load may be what makes a version bad, they are so few that each has about the
    load of an old server.

    Args:
        ranked: The new servers.
        old_servers: Number of old servers.
        share: Share of the requests that go to the new ones.

    Example:
        >>> [canary_servers(range(40), count, 0.1) for count in (4, 20, 45)]
        [1, 2, 4]
    """
    return min(len(ranked), max(1, int(share * old_servers)))
