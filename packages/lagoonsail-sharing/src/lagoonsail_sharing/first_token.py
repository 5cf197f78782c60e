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
When engines are lost, the next in rank is the home of their prefixes, at all routers.

Engines may differ in speed, and each queue counts at the speed of its engine. Engines
reject what does not fit into their memory or slots, so those with room are preferred.
Among similar costs an engine of the router's own failure domain is chosen, and a prefix
that is used much gets a copy there (`HotPrefixes`).
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field
from operator import itemgetter
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lagoonsail_sharing.server_speed import DEFAULT_TOKENS_PER_MS

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
ROOMY_FRACTION = 0.9
"""Fraction of an engine's memory up to which it counts as having room."""
FULL_COST_MS = 400.0
"""Cost of an engine whose memory would just be full. Not prohibitive: parts of prompts
that requests share are counted for each, and few requests use all of their output."""
HOT_USES = 60.0
"""Uses of a prefix in the last seconds, at all routers, from which each failure domain
should have a copy: prefilling it once more costs little of what the uses cost."""
HOT_DECAY_MS = 5000.0
"""Time in which the uses of a prefix decay to 1/e."""
MAX_TRACKED_PREFIXES = 2000
"""Prefixes whose uses are counted; the least recently used are dropped."""
REFUSED_COST_MS = 300.0
"""Cost of an engine that has just refused a request, per refusal: the next one would
be refused as well, and each refusal costs its caller time and the fleet a retry."""
MAX_REFUSALS = 3.0
"""Refusals that count: an engine that refuses without reason is not left out for ever,
as its refusals are then no worse than a full memory."""
ERROR_FRACTION = 0.1
"""Relative error of the weighted time, within which engines are equal: in overload,
loads are old by digests; if all routers chose the least, all would choose the same."""
SLOT_WAIT_MS = 80.0
"""Cost per request that would wait for a slot: the time in which one becomes free, with
some 64 slots and requests of some 5 s."""


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
    output_tokens: int = 0
    """Maximum number of tokens of the output."""

    def held_tokens(self) -> int:
        """Return the tokens of engine memory that it takes until its end."""
        shared_tokens = sum(part.tokens for part in self.shared)
        return shared_tokens + self.unshared_tokens + self.output_tokens

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
    held_tokens: int = 0
    """Memory that this router's running requests take, in tokens."""
    others_held_tokens: int = 0
    """Memory that those of all other routers take, as last reported."""
    tokens_per_ms: float = DEFAULT_TOKENS_PER_MS
    """Estimated prefill rate of the engine now."""
    slots: int = 0
    """Maximum number of concurrent requests, 0 if unknown."""
    failure_domain: str = ""
    """Failure domain of the engine."""
    refusals: float = 0.0
    """Recent refusals for want of room, at all routers, as a decaying sum."""
    roomy_tokens: float = field(init=False)
    """Memory in use up to which it has room."""

    def __post_init__(self) -> None:
        self.roomy_tokens = ROOMY_FRACTION * self.cache.capacity_tokens

    def set_others(self, running: int, pending_tokens: float) -> None:
        """Set the load reported by the other routers."""
        self.others_running = running
        self.others_pending_tokens = pending_tokens

    def total_running(self) -> int:
        """Return the number of running requests of all routers."""
        return self.running + self.others_running

    def queue_ms(self) -> float:
        """Return the time that the engine needs to prefill all pending tokens."""
        return (self.pending_tokens + self.others_pending_tokens) / self.tokens_per_ms

    def no_room_ms(self, held_tokens: int) -> float:
        """Return the cost of one more request for want of memory or slots.

        Args:
            held_tokens: Memory that the request takes, in tokens.

        Example:
            >>> load = EngineLoad("e", PrefixCache(1000), held_tokens=850, slots=4)
            >>> round(load.no_room_ms(20)), round(load.no_room_ms(150))
            (0, 400)
            >>> load.others_running = 5
            >>> load.no_room_ms(20)
            160.0
        """
        held = self.held_tokens + self.others_held_tokens + held_tokens
        cost_ms = 0.0
        if held > self.roomy_tokens > 0:
            excess = held / self.cache.capacity_tokens - ROOMY_FRACTION
            cost_ms = FULL_COST_MS * excess / (1.0 - ROOMY_FRACTION)
        running = self.total_running()
        if running >= self.slots > 0:
            cost_ms += SLOT_WAIT_MS * (running + 1 - self.slots)
        cost_ms += REFUSED_COST_MS * min(self.refusals, MAX_REFUSALS)
        return cost_ms


@dataclass(slots=True, frozen=True)
class Choice:
    """An engine chosen for a prompt, with the expected delays."""

    load: EngineLoad
    """Load of the chosen engine."""
    delay_ms: float
    """Time until the prefill begins, plus the weighted cost of recomputing."""
    prefill_ms: float
    """Time that the engine needs to prefill the prompt."""


class HotPrefixes:
    """Finds the prefixes that are used much, from the prompts that all routers send.

    Example:
        >>> hot = HotPrefixes()
        >>> for _ in range(80):
        ...     hot.record(7, now_ms=0.0)
        >>> hot.is_hot(7, now_ms=0.0), hot.is_hot(7, now_ms=30_000.0)
        (True, False)
    """

    __slots__ = ("_uses",)

    def __init__(self) -> None:
        self._uses: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def record(self, prefix: int, now_ms: float) -> None:
        """Record a prompt with a prefix.

        Args:
            prefix: Key of the prefix, 0 if there is none.
            now_ms: The time.
        """
        if not prefix:
            return
        self._uses[prefix] = (self._decayed(prefix, now_ms) + 1.0, now_ms)
        self._uses.move_to_end(prefix)
        if len(self._uses) > MAX_TRACKED_PREFIXES:
            self._uses.popitem(last=False)

    def is_hot(self, prefix: int, now_ms: float) -> bool:
        """Return whether a prefix was used much recently.

        Args:
            prefix: Key of the prefix.
            now_ms: The time.
        """
        return self._decayed(prefix, now_ms) >= HOT_USES

    def _decayed(self, prefix: int, now_ms: float) -> float:
        uses, used_ms = self._uses.get(prefix, (0.0, now_ms))
        return uses * math.exp((used_ms - now_ms) / HOT_DECAY_MS)


def rank(prefix: int, engine_id: str) -> int:
    """Return the rank of an engine for a prefix; the highest-ranked is its home.

    Prompts without a prefix have no home. Their rank is random, because otherwise all
    routers would send them to the same one of several equal engines.
    """
    if not prefix:
        return random.getrandbits(64)
    return xxh64_intdigest(f"{prefix}/{engine_id}".encode())


def choose_engine(
    prompt: Prompt,
    loads: Sequence[EngineLoad],
    is_allowed: Callable[[EngineLoad], bool],
    objective_ms: float,
    own_domain: str = "",
    is_hot: bool = False,
) -> Choice | None:
    """Return the engine with the lowest cost of the first token.

    Args:
        prompt: The prompt.
        loads: Loads of the engines.
        is_allowed: Returns whether an engine may get a request now.
        objective_ms: Time within which the first token should arrive.
        own_domain: Failure domain of this router, empty if there are none.
        is_hot: Whether its prefix is used so much that each failure domain should have
            a copy.

    Returns:
        The choice, or None if no engine is allowed.
    """
    # Engines that are lost neither have a cache nor are a home.
    loads = [load for load in loads if is_allowed(load)]
    if not loads:
        return None
    unread = [load.cache.unread_tokens(prompt) for load in loads]
    # Tokens in no cache must be computed by some engine; only the rest is recomputed.
    min_unread = min(unread)
    ranks = [rank(prompt.prefix, load.engine_id) for load in loads]
    home_rank = max(ranks)
    copy_rank = _copy_rank(loads, unread, ranks, own_domain) if is_hot else -1
    held_tokens = prompt.held_tokens()
    candidates = []
    least_ms = least_time_ms = math.inf
    for load, own_unread, own_rank in zip(loads, unread, ranks, strict=True):
        tokens_per_ms = load.tokens_per_ms
        running = load.running + load.others_running
        tokens = load.pending_tokens + load.others_pending_tokens + own_unread
        expected_ms = (tokens + prompt.unshared_tokens) / tokens_per_ms
        expected_ms += running * BATCH_MS_PER_REQUEST
        recompute_ms = (own_unread - min_unread) / tokens_per_ms
        if own_rank == copy_rank and expected_ms < EARLY_FRACTION * objective_ms:
            # Many later requests gain by the copy, and this one is still early.
            expected_ms -= recompute_ms
            recompute_ms = 0.0
        time_cost_ms = _weighted_ms(expected_ms, objective_ms)
        cost_ms = time_cost_ms + RECOMPUTE_WEIGHT * recompute_ms
        held = load.held_tokens + load.others_held_tokens + held_tokens
        if running >= load.slots or held > load.roomy_tokens or load.refusals:
            cost_ms += load.no_room_ms(held_tokens)
        if own_rank != home_rank:
            cost_ms += HOME_WEIGHT * min_unread / tokens_per_ms
        if cost_ms < least_ms:
            least_ms, least_time_ms = cost_ms, time_cost_ms
        # What has to be prefilled goes by rank alone: a copy in each domain costs more
        # than the transfer, unless the prefix is hot.
        is_near = load.failure_domain == own_domain and (
            not own_unread or own_rank == copy_rank
        )
        candidates.append((cost_ms, is_near, own_rank, load, own_unread, recompute_ms))
    end_ms = (least_ms // COST_RESOLUTION_MS + 1.0) * COST_RESOLUTION_MS
    end_ms = max(end_ms, least_ms + ERROR_FRACTION * least_time_ms)
    similar = [candidate for candidate in candidates if candidate[0] < end_ms]
    # Among similar costs the highest rank wins, so that all routers agree.
    _, _, _, load, own_unread, recompute_ms = max(similar, key=itemgetter(1, 2))
    delay_ms = load.queue_ms() + RECOMPUTE_WEIGHT * recompute_ms
    prefill_ms = (own_unread + prompt.unshared_tokens) / load.tokens_per_ms
    return Choice(load, delay_ms, prefill_ms)


def _copy_rank(
    loads: Sequence[EngineLoad],
    unread: Sequence[int],
    ranks: Sequence[int],
    own_domain: str,
) -> int:
    """Return the rank of the engine that gets a copy for a failure domain, or -1.

    It is the highest-ranked one of the domain, unless one there has the prefix already.
    """
    least = min(unread)
    near = [
        (own_rank, own_unread)
        for load, own_unread, own_rank in zip(loads, unread, ranks, strict=True)
        if load.failure_domain == own_domain
    ]
    if not near or min(own_unread for _, own_unread in near) <= least:
        return -1
    return max(near)[0]


def _weighted_ms(expected_ms: float, objective_ms: float) -> float:
    """Return the weighted time until a first token.

    Example:
        >>> [_weighted_ms(time_ms, 800.0) for time_ms in (200.0, 520.0, 600.0)]
        [20.0, 52.0, 172.0]
    """
    early_ms = min(expected_ms, EARLY_FRACTION * objective_ms)
    return EARLY_WEIGHT * early_ms + LATE_WEIGHT * (expected_ms - early_ms)
