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
from functools import lru_cache
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
_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = 2**64 - 1


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
            that rank before all that were allowed so far, and of the one chosen.

    Returns:
        Name of a server with a free slot, or None if there is none.
    """
    free = [
        candidate for candidate in candidates if candidate.running < candidate.limit
    ]
    # What one server holds makes no difference where there is no other.
    held_by = cache_index.matches(prefix) if prefix and len(free) > 1 else {}
    equals: list[str] = []
    best_held, best_load = -1, 0.0
    for candidate in free:
        held = held_by.get(candidate.name, 0)
        if held < best_held:
            continue
        load = candidate.running / candidate.limit
        if held == best_held and load >= best_load:
            if load == best_load:
                equals.append(candidate.name)
        elif may_take(candidate.name):
            equals = [candidate.name]
            best_held, best_load = held, load
    return _choose_equal(equals, prefix, may_take) if equals else None


def _choose_equal(
    names: list[str], prefix: list[int], may_take: Callable[[str], bool]
) -> str:
    """Choose among equals by name, or so that new prefixes spread over the caches.

    Args:
        names: The equals, of which the first may be chosen.
        prefix: Hashes of the prompt's prefixes.
        may_take: Tells by name whether another may be chosen.
    """
    order = _make_order(prefix[0]) if prefix else None
    return next(
        name for name in sorted(names, key=order) if name == names[0] or may_take(name)
    )


def _make_order(salt: int) -> Callable[[str], int]:
    """Return an order of names that differs with the salt, at every owner the same."""
    return lambda name: (_hash(name) ^ salt) * _MULTIPLIER & _MASK


@lru_cache(maxsize=4096)
def _hash(name: str) -> int:
    return xxh64_intdigest(name.encode())


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
