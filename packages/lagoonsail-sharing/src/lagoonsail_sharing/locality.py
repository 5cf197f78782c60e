"""Keeps requests in the failure domain of their router where callers lose little by it.

Bytes between failure domains cost more than those within one, and most of them are
prompts. A prefix that no engine has read yet is therefore read in the domain where it
was asked for first, and a short part that only engines of other domains have is read
once more. Where a domain has more demand than its engines can take, the delay there
outweighs the crossing, and the other domains share the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lagoonsail_sharing.first_token import EngineLoad

MIN_DOMAIN_ENGINES = 8
"""Engines of the own failure domain from which it is preferred. The queues of fewer
differ too much from those of all engines."""
CROSSING_COST_MS = 25.0
"""Cost of an engine in another failure domain. It equals a first token that is early,
but later by ten times as much, and prefilling some 400 tokens again."""


def prefers_own_domain(loads: Sequence[EngineLoad], own_domain: str) -> bool:
    """Return whether the engines of the own failure domain are preferred.

    Args:
        loads: Loads of the engines that may be used.
        own_domain: Failure domain of this router, empty if there are none.
    """
    if not own_domain:
        return False
    near = sum(load.failure_domain == own_domain for load in loads)
    return MIN_DOMAIN_ENGINES <= near < len(loads)


def find_domain_homes(loads: Sequence[EngineLoad], ranks: Sequence[int]) -> set[int]:
    """Return the ranks of the homes of a prefix, one in each failure domain.

    Routers that do not know of each other's requests agree on them.

    Args:
        loads: Loads of the engines that may be used.
        ranks: Their ranks for the prefix.
    """
    homes: dict[str, int] = {}
    for load, rank in zip(loads, ranks, strict=True):
        if rank > homes.get(load.failure_domain, -1):
            homes[load.failure_domain] = rank
    return set(homes.values())
