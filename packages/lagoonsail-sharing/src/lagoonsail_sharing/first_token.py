"""Chooses the engine that is likely to give the first token soonest.

Answers the load in which most of each prompt is shared with other prompts, and the
engines could not read all prompts anew: many prefixes of about equal use, some hot
ones, and prompts of very unequal size. Everything is weighed in one currency, the
milliseconds of an engine: what waits there to be read, and what this prompt adds
because the engine does not hold it. Routers that know nothing of each other choose
alike, since a prefix that nobody was seen to hold has the same home for all (rendezvous
hashing).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

BATCH_MS_PER_REQUEST = 0.5
"""Delay of a first token by each request that already runs, as steps grow longer."""
COST_STEP_MS = 20.0
"""Difference of costs that is smaller than what they are known to."""
REREAD_WEIGHT = 2.0
"""Weight of reading again what another engine holds, beyond the time that it takes.

It takes the same time from all that wait behind it, so a way out of one engine's queue
must be worth more than that.
"""


@dataclass(slots=True, frozen=True)
class SharedPart:
    """A part of a prompt that other prompts may begin with as well."""

    key: int
    """Hash of the part and all parts before it."""
    tokens: int
    """Its own tokens."""


@dataclass(slots=True, frozen=True)
class Prompt:
    """What of a prompt decides where it is read."""

    shared: tuple[SharedPart, ...]
    """The parts that other prompts may share, in order."""
    own_tokens: int
    """Tokens behind them."""

    @property
    def prefix(self) -> int:
        """Key of the longest shared prefix, 0 if there is none."""
        return self.shared[-1].key if self.shared else 0


class PrefixCache:
    """What an engine is likely to keep, by what was sent there.

    Prompts that nobody asks for again take room as well, so a shared part that is not
    used yields after some seconds of traffic.

    Example:
        >>> cache = PrefixCache(capacity_tokens=100)
        >>> prompt = Prompt((SharedPart(7, 60),), own_tokens=30)
        >>> cache.unread_tokens(prompt)
        60
        >>> cache.note_read(prompt)
        >>> cache.unread_tokens(prompt)
        0
        >>> cache.note_read(Prompt((), own_tokens=50))
        >>> cache.unread_tokens(prompt)
        60
    """

    __slots__ = ("_own", "_parts", "_tokens", "capacity_tokens")

    capacity_tokens: int
    """Tokens that the engine can keep."""

    def __init__(self, capacity_tokens: int) -> None:
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0
        self._own = 0
        self.capacity_tokens = capacity_tokens

    def unread_tokens(self, prompt: Prompt) -> int:
        """Return how many shared tokens of a prompt the engine is likely to read.

        Args:
            prompt: The prompt.
        """
        unread = 0
        for part in prompt.shared:
            # Behind a part that is missing nothing can be kept.
            if unread or part.key not in self._parts:
                unread += part.tokens
        return unread

    def note_read(self, prompt: Prompt) -> None:
        """Remember that the engine reads a prompt.

        Args:
            prompt: The prompt.
        """
        # Keys of parts that nobody shares are negative, so that they meet no hash.
        self._own -= 1
        self._put(self._own, prompt.own_tokens)
        # The last part goes first: what stands behind a lost part is of no use.
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
    """One engine as a router sees it."""

    engine_id: str
    """Names the engine, the same at every router."""
    cache: PrefixCache
    """What it is likely to keep."""
    pending_tokens: float = 0.0
    """Prompt tokens that this router sent and that brought no first token yet."""
    running: int = 0
    """Requests that this router sent and that have not ended."""
    others_pending_tokens: float = 0.0
    """The same of all other routers, as they told last."""
    others_running: int = 0
    """The same of all other routers, as they told last."""

    def set_others(self, running: int, pending_tokens: float) -> None:
        """Take over what the other routers told."""
        self.others_running = running
        self.others_pending_tokens = pending_tokens

    def total_running(self) -> int:
        """Return the requests of all routers that have not ended."""
        return self.running + self.others_running

    def queue_ms(self, tokens_per_ms: float) -> float:
        """Return how long the engine reads what was sent there already.

        Args:
            tokens_per_ms: Prompt tokens that it reads in a millisecond.
        """
        return (self.pending_tokens + self.others_pending_tokens) / tokens_per_ms


@dataclass(slots=True, frozen=True)
class Choice:
    """An engine for a prompt, and what speaks against sending it there."""

    load: EngineLoad
    """The engine."""
    delay_ms: float
    """Time until the engine begins to read it, and what it takes from others."""
    read_ms: float
    """Time that the engine takes to read it."""


def rank(prefix: int, engine_id: str) -> int:
    """Return the rank of an engine for a prefix; the highest is the prefix's home."""
    return xxh64_intdigest(f"{prefix}/{engine_id}".encode())


def choose_engine(
    prompt: Prompt,
    loads: Sequence[EngineLoad],
    tokens_per_ms: float,
    is_allowed: Callable[[EngineLoad], bool],
) -> Choice | None:
    """Return the engine with the least expected time until the first token.

    Args:
        prompt: The prompt.
        loads: The engines.
        tokens_per_ms: Prompt tokens that an engine reads in a millisecond.
        is_allowed: Tells whether an engine may get a request now.

    Returns:
        The choice, None if no engine is allowed.
    """
    unread = {load.engine_id: load.cache.unread_tokens(prompt) for load in loads}
    # What no engine keeps must be read by one of them; the rest is read again.
    least_unread = min(unread.values(), default=0)
    best: tuple[float, int] | None = None
    choice = None
    for load in loads:
        if not is_allowed(load):
            continue
        reread_ms = (unread[load.engine_id] - least_unread) / tokens_per_ms
        delay_ms = load.queue_ms(tokens_per_ms) + REREAD_WEIGHT * reread_ms
        cost_ms = delay_ms + reread_ms + load.total_running() * BATCH_MS_PER_REQUEST
        # Costs that hardly differ give way to the home, so that all routers agree.
        key = (cost_ms // COST_STEP_MS, -rank(prompt.prefix, load.engine_id))
        if best is None or key < best:
            best = key
            read_ms = (unread[load.engine_id] + prompt.own_tokens) / tokens_per_ms
            choice = Choice(load, delay_ms, read_ms)
    return choice
