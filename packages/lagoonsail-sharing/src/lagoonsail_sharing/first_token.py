"""Chooses the engine with the lowest cost of the first token of a response.

Designed for loads in which most of each prompt is shared with other prompts and the
engines lack the capacity to prefill (read) all prompts in full: many prefixes of
similar popularity, a few hot ones, and prompts of very different lengths. All costs are
in milliseconds of engine time: the prompt tokens queued at an engine, and the tokens of
this prompt that are not in its cache. While the first token is early enough for its
caller, a prompt stays at the engine that has it in its cache; recomputing it elsewhere
would delay other requests.

Each prefix has a home engine, the same at every router (rendezvous hashing). Routers
without knowledge of each other, or of what was before their start, send a prefix there.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

BATCH_MS_PER_REQUEST = 0.5
"""Delay of the first token per running request, because decoding steps take longer."""
COST_RESOLUTION_MS = 5.0
"""Cost differences below this are within the error of the estimates."""
EARLY_FRACTION = 0.65
"""Fraction of its objective by which a first token is early: its caller gains little if
it comes sooner."""
EARLY_WEIGHT = 0.1
"""Weight of the time until an early first token. Far below 1, because recomputing a
prompt elsewhere delays other requests by its full time."""
LATE_WEIGHT = 1.5
"""Weight of the time after that."""
RECOMPUTE_WEIGHT = 3.0
"""Extra weight of recomputing tokens that another engine has in its cache.

Recomputing delays all requests queued behind it by the same time, so avoiding the queue
of one engine must save more than that.
"""
HOME_WEIGHT = 0.3
"""Weight of the tokens that are in no known cache, at engines other than the home: the
home may have them, read for a router that has not reported it."""


@dataclass(slots=True, frozen=True)
class SharedPart:
    """A part of a prompt that other prompts may also begin with."""

    key: int
    """Hash of this part and all preceding parts."""
    tokens: int
    """Number of tokens in this part."""


@dataclass(slots=True, frozen=True)
class Prompt:
    """Properties of a prompt that determine the choice of engine."""

    shared: tuple[SharedPart, ...]
    """Parts that other prompts may share, in order."""
    unshared_tokens: int
    """Number of tokens after the shared parts."""

    @property
    def prefix(self) -> int:
        """Key of the longest shared prefix; 0 if there is none."""
        return self.shared[-1].key if self.shared else 0


class PrefixCache:
    """Estimated contents of an engine's cache (LRU), from the prompts sent to it.

    Prompts that are never repeated also take up space, so an unused shared part is
    evicted after some seconds of traffic.

    Example:
        >>> cache = PrefixCache(capacity_tokens=100)
        >>> prompt = Prompt((SharedPart(7, 60),), unshared_tokens=30)
        >>> cache.unread_tokens(prompt)
        60
        >>> cache.record_prefill(prompt)
        >>> cache.unread_tokens(prompt)
        0
        >>> cache.record_prefill(Prompt((), unshared_tokens=50))
        >>> cache.unread_tokens(prompt)
        60
    """

    __slots__ = ("_unshared_key", "_parts", "_tokens", "capacity_tokens")

    capacity_tokens: int
    """Capacity of the engine's cache in tokens."""

    def __init__(self, capacity_tokens: int) -> None:
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0
        self._unshared_key = 0
        self.capacity_tokens = capacity_tokens

    def unread_tokens(self, prompt: Prompt) -> int:
        """Return the number of shared tokens that are probably not in the cache.

        Args:
            prompt: The prompt.
        """
        unread = 0
        for part in prompt.shared:
            # A part is usable only if all preceding parts are cached.
            if unread or part.key not in self._parts:
                unread += part.tokens
        return unread

    def record_prefill(self, prompt: Prompt) -> None:
        """Record that the engine prefills a prompt.

        Args:
            prompt: The prompt.
        """
        # Unshared parts get negative keys, which never collide with a hash.
        self._unshared_key -= 1
        self._put(self._unshared_key, prompt.unshared_tokens)
        # Later parts are evicted first, because they are useless without earlier ones.
        for part in reversed(prompt.shared):
            self._put(part.key, part.tokens)
        while self._parts and self._tokens > self.capacity_tokens:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def _put(self, key: int, tokens: int) -> None:
        self._tokens += tokens - self._parts.get(key, 0)
        self._parts[key] = tokens
        self._parts.move_to_end(key)


@dataclass(slots=True)
class EngineLoad:
    """Load of one engine as known to a router."""

    engine_id: str
    """Identifier of the engine, the same at every router."""
    cache: PrefixCache
    """Estimated contents of its cache."""
    pending_tokens: float = 0.0
    """Prompt tokens sent by this router that await the first token."""
    running: int = 0
    """Running requests sent by this router."""
    others_pending_tokens: float = 0.0
    """Pending prompt tokens of all other routers, as last reported."""
    others_running: int = 0
    """Running requests of all other routers, as last reported."""

    def set_others(self, running: int, pending_tokens: float) -> None:
        """Set the load reported by the other routers."""
        self.others_running = running
        self.others_pending_tokens = pending_tokens

    def total_running(self) -> int:
        """Return the number of running requests of all routers."""
        return self.running + self.others_running

    def queue_ms(self, tokens_per_ms: float) -> float:
        """Return the time that the engine needs to prefill all pending tokens.

        Args:
            tokens_per_ms: Prefill rate of the engine.
        """
        return (self.pending_tokens + self.others_pending_tokens) / tokens_per_ms


@dataclass(slots=True, frozen=True)
class Choice:
    """An engine chosen for a prompt, with the expected delays."""

    load: EngineLoad
    """Load of the chosen engine."""
    delay_ms: float
    """Time until the prefill begins, plus the weighted cost of recomputing."""
    prefill_ms: float
    """Time that the engine needs to prefill the prompt."""


def rank(prefix: int, engine_id: str) -> int:
    """Return the rank of an engine for a prefix; the highest-ranked is its home."""
    return xxh64_intdigest(f"{prefix}/{engine_id}".encode())


def choose_engine(
    prompt: Prompt,
    loads: Sequence[EngineLoad],
    tokens_per_ms: float,
    is_allowed: Callable[[EngineLoad], bool],
    objective_ms: float,
) -> Choice | None:
    """Return the engine with the lowest cost of the first token.

    Args:
        prompt: The prompt.
        loads: Loads of the engines.
        tokens_per_ms: Prefill rate of an engine.
        is_allowed: Returns whether an engine may get a request now.
        objective_ms: Time within which the first token should arrive.

    Returns:
        The choice, or None if no engine is allowed.
    """
    unread = {load.engine_id: load.cache.unread_tokens(prompt) for load in loads}
    # Tokens in no cache must be computed by some engine; only the rest is recomputed.
    min_unread = min(unread.values(), default=0)
    unknown_ms = min_unread / tokens_per_ms
    ranks = {load.engine_id: rank(prompt.prefix, load.engine_id) for load in loads}
    home_rank = max(ranks.values(), default=0)
    best: tuple[float, int] | None = None
    choice = None
    for load in loads:
        if not is_allowed(load):
            continue
        queue_ms = load.queue_ms(tokens_per_ms)
        recompute_ms = (unread[load.engine_id] - min_unread) / tokens_per_ms
        prefill_ms = (unread[load.engine_id] + prompt.unshared_tokens) / tokens_per_ms
        expected_ms = (
            queue_ms + prefill_ms + load.total_running() * BATCH_MS_PER_REQUEST
        )
        cost_ms = (
            _weighted_ms(expected_ms, objective_ms) + RECOMPUTE_WEIGHT * recompute_ms
        )
        if ranks[load.engine_id] != home_rank:
            cost_ms += HOME_WEIGHT * unknown_ms
        # Among similar costs the highest rank wins, so that all routers agree.
        key = (cost_ms // COST_RESOLUTION_MS, -ranks[load.engine_id])
        if best is None or key < best:
            best = key
            delay_ms = queue_ms + RECOMPUTE_WEIGHT * recompute_ms
            choice = Choice(load, delay_ms, prefill_ms)
    return choice


def _weighted_ms(expected_ms: float, objective_ms: float) -> float:
    """Return the weighted time until a first token.

    Example:
        >>> [_weighted_ms(time_ms, 800.0) for time_ms in (200.0, 520.0, 600.0)]
        [20.0, 52.0, 172.0]
    """
    early_ms = min(expected_ms, EARLY_FRACTION * objective_ms)
    return EARLY_WEIGHT * early_ms + LATE_WEIGHT * (expected_ms - early_ms)
