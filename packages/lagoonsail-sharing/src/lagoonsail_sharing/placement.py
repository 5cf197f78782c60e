"""Chooses the backend server for the next request.

The fair queue has already chosen the account; the choice of the server never changes
that and never leaves a slot idle. Among the servers with a free slot, the one with the
longest prefix of the prompt in its cache is chosen, and among equals the one with the
lowest load relative to its limit. If only one server has a free slot, the choice is
between requests of the account: among its oldest `LOOK_AHEAD` requests, the one with
the longest cached prefix is started. Each request is passed over at most
`MAX_PASSED_OVER` times, because a request that passes it also passes the oldest one.

Example:
    >>> from lagoonsail_sharing.prefix_index import PrefixIndex
    >>> index = PrefixIndex()
    >>> index.add("busy", [1, 2])
    >>> servers = [Candidate("full", 8, 8), Candidate("busy", 8, 7),
    ...            Candidate("idle", 4, 1)]
    >>> choose_server(servers, [1, 2, 3], index)
    'busy'
    >>> choose_server(servers, [], index)
    'idle'
    >>> choose_server(servers[:1], [1], index) is None
    True
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_sharing.prefix_index import PrefixIndex
    from lagoonsail_sharing.waiting import WaitingRequest

LOOK_AHEAD = 16
"""Number of oldest requests of an account considered for a free slot."""
MAX_PASSED_OVER = 16
"""Maximum number of later requests of its account started before a request."""
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_UINT64_MASK = 2**64 - 1


@dataclass(slots=True)
class Candidate:
    """A backend server considered for a request."""

    name: str
    """Name of the server, unqualified."""
    limit: int
    """Current maximum number of concurrent requests."""
    running: int
    """Number of running requests."""


def choose_server(
    candidates: Iterable[Candidate],
    prefix: list[int],
    cache_index: PrefixIndex,
    is_allowed: Callable[[str], bool] = lambda name: True,
) -> str | None:
    """Choose the server for a request.

    Args:
        candidates: The servers of the shard.
        prefix: Hashes of the prompt's prefixes; empty for plain services.
        cache_index: Estimated contents of the servers' caches.
        is_allowed: Returns whether the server of a name may be chosen; called only for
            servers that rank above all servers allowed so far, and to break ties.

    Returns:
        Name of a server with a free slot, or None if there is none.
    """
    free = [
        candidate for candidate in candidates if candidate.running < candidate.limit
    ]
    # With a single free server, its cache contents make no difference.
    cached_by = cache_index.matches(prefix) if prefix and len(free) > 1 else {}
    tied: list[str] = []
    best_cached, best_load = -1, 0.0
    for candidate in free:
        cached = cached_by.get(candidate.name, 0)
        if cached < best_cached:
            continue
        load = candidate.running / candidate.limit
        if cached == best_cached and load >= best_load:
            if load == best_load:
                tied.append(candidate.name)
        elif is_allowed(candidate.name):
            tied = [candidate.name]
            best_cached, best_load = cached, load
    return _break_tie(tied, prefix, is_allowed) if tied else None


def _break_tie(
    names: list[str], prefix: list[int], is_allowed: Callable[[str], bool]
) -> str:
    """Break a tie by name, or by hash so that new prefixes spread over the caches.

    Args:
        names: Names of the tied servers; the first is known to be allowed.
        prefix: Hashes of the prompt's prefixes.
        is_allowed: Returns whether the server of a name may be chosen.
    """
    order = _make_tie_order(prefix[0]) if prefix else None
    return next(
        name
        for name in sorted(names, key=order)
        if name == names[0] or is_allowed(name)
    )


def _make_tie_order(salt: int) -> Callable[[str], int]:
    """Return a sort key for names that depends on the salt, the same at every owner."""
    return lambda name: (_hash_name(name) ^ salt) * _HASH_MULTIPLIER & _UINT64_MASK


@lru_cache(maxsize=4096)
def _hash_name(name: str) -> int:
    return xxh64_intdigest(name.encode())


def choose_request(
    requests: list[WaitingRequest], server: str, cache_index: PrefixIndex
) -> WaitingRequest:
    """Choose the request of an account to start on a server.

    Args:
        requests: Oldest requests of the account, at least one, oldest first. The
            `passed_over` count of each older request than the chosen one increases.
        server: Name of the server, unqualified.
        cache_index: Estimated contents of the servers' caches.

    Returns:
        The request.
    """
    if requests[0].passed_over >= MAX_PASSED_OVER:
        return requests[0]
    # Among equals, max returns the oldest.
    chosen = max(requests, key=lambda r: cache_index.match(server, r.prefix))
    for request in requests:
        if request is chosen:
            break
        request.passed_over += 1
    return chosen
