"""Which backend server a request that is next goes to.

Fairness has chosen the account already; the choice of the server never changes that,
and never leaves a slot idle. Among the servers with a free slot the one that holds the
longest part of the prompt in its cache is taken, else the one least loaded relative to
its limit. Where all other servers are full, the account's own requests are left to
choose from: of its oldest `LOOK_AHEAD` that one goes which finds most in the cache.
Each is passed over at most `MAX_PASSED` times, since whatever passes it passes the
oldest too.

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
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_sharing.prefix_index import PrefixIndex
    from lagoonsail_sharing.waiting import Waiting

LOOK_AHEAD = 16
"""Requests of one account among which a free slot may choose."""
MAX_PASSED = 16
"""How many later requests of its account may go before a request."""


@dataclass(slots=True)
class Candidate:
    """A backend server that may be chosen."""

    name: str
    """Name of the server, unqualified."""
    limit: int
    """Most requests that may run on it now."""
    running: int
    """Requests that run on it now."""


def choose_server(
    candidates: Iterable[Candidate],
    prefix: list[int],
    cache_index: PrefixIndex,
    may_take: Callable[[str], bool] = lambda name: True,
) -> str | None:
    """Choose the server for a request.

    Args:
        candidates: The servers of the shard.
        prefix: Hashes of the prompt's prefixes; empty for plain services.
        cache_index: What the servers' caches are likely to hold.
        may_take: Tells by name whether a server may be chosen; asked only of those
            that rank before all that were allowed so far.

    Returns:
        Name of a server with a free slot, or None if there is none.
    """
    best = best_rank = None
    for candidate in candidates:
        if candidate.running >= candidate.limit:
            continue
        name = candidate.name
        held = cache_index.match(name, prefix) if prefix else 0
        rank = (-held, candidate.running / candidate.limit)
        is_first = (
            best is None
            or rank < best_rank
            or (rank == best_rank and _goes_before(name, best, prefix))
        )
        if is_first and may_take(name):
            best, best_rank = name, rank
    return best


def _goes_before(name: str, other: str, prefix: list[int]) -> bool:
    """Decide between equals by name, or so that new prefixes spread over the caches."""
    if not prefix:
        return name < other
    own, others = (xxh64_intdigest(n.encode(), prefix[0]) for n in (name, other))
    return own < others


def choose_request(
    requests: list[Waiting], server: str, cache_index: PrefixIndex
) -> Waiting:
    """Choose which of an account's requests goes to a server.

    Args:
        requests: The account's oldest requests, at least one, oldest first; those that
            are passed over are told so.
        server: Name of the server, unqualified.
        cache_index: What the servers' caches are likely to hold.

    Returns:
        The request.
    """
    if requests[0].passed >= MAX_PASSED:
        return requests[0]
    # Of equals the oldest.
    chosen = max(requests, key=lambda r: cache_index.match(server, r.prefix))
    for request in requests:
        if request is chosen:
            break
        request.passed += 1
    return chosen
