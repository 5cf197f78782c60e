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
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

BATCH_MS_PER_REQUEST = 0.5
"""Delay of a first token by each request that already runs, as steps grow longer."""
REREAD_WEIGHT = 1.0
"""Weight of reading again what another engine holds, beyond the time that it takes.

It takes the same time from all that wait behind it, so a way out of one engine's queue
must be worth more than that.
"""


@dataclass(slots=True, frozen=True)
class SharedPart:
    """A part of a prompt that other prompts may begin with as well."""

    key: str
    """Names the part and all parts before it."""
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
    def prefix(self) -> str:
        """Key of the longest shared prefix, empty if there is none."""
        return self.shared[-1].key if self.shared else ""


@dataclass(slots=True)
class EngineLoad:
    """One engine as a router sees it."""

    engine_id: str
    """Names the engine, the same at every router."""
    pending_tokens: float = 0.0
    """Prompt tokens that this router sent and that brought no first token yet."""
    running: int = 0
    """Requests that this router sent and that have not ended."""
    others_pending_tokens: float = 0.0
    """The same of all other routers, as they told last."""
    others_running: int = 0
    """The same of all other routers, as they told last."""
    _held: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _held_tokens: int = 0

    def total_running(self) -> int:
        """Return the requests of all routers that have not ended."""
        return self.running + self.others_running

    def queue_ms(self, tokens_per_ms: float) -> float:
        """Return how long the engine reads what was sent there already.

        Args:
            tokens_per_ms: Prompt tokens that it reads in a millisecond.
        """
        return (self.pending_tokens + self.others_pending_tokens) / tokens_per_ms

    def unread_tokens(self, prompt: Prompt, *, is_home: bool) -> int:
        """Return how many shared tokens of a prompt the engine is likely to read.

        Args:
            prompt: The prompt.
            is_home: Whether other routers send the prefix there as well.
        """
        if is_home:
            return 0
        unread = 0
        for part in prompt.shared:
            # Behind a part that is missing nothing can be kept.
            if unread or part.key not in self._held:
                unread += part.tokens
        return unread

    def note_held(self, prompt: Prompt, cache_tokens: int) -> None:
        """Remember that the engine reads a prompt.

        Args:
            prompt: The prompt.
            cache_tokens: Tokens that the engine can keep.
        """
        for part in prompt.shared:
            if part.key not in self._held:
                self._held_tokens += part.tokens
            self._held[part.key] = part.tokens
            self._held.move_to_end(part.key)
        while self._held and self._held_tokens > cache_tokens:
            _, tokens = self._held.popitem(last=False)
            self._held_tokens -= tokens


@dataclass(slots=True, frozen=True)
class Choice:
    """An engine for a prompt, and what speaks against sending it there."""

    load: EngineLoad
    """The engine."""
    delay_ms: float
    """Time until the engine begins to read it, and what it takes from others."""


def rank(prefix: str, engine_id: str) -> int:
    """Return the rank of an engine for a prefix; the highest is the prefix's home."""
    return xxh64_intdigest(f"{prefix}\0{engine_id}".encode())


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
    ranks = {load.engine_id: rank(prompt.prefix, load.engine_id) for load in loads}
    home_id = max(ranks, key=ranks.get) if prompt.shared else ""
    best: tuple[float, int] | None = None
    choice = None
    for load in loads:
        if not is_allowed(load):
            continue
        unread = load.unread_tokens(prompt, is_home=load.engine_id == home_id)
        reread_ms = unread / tokens_per_ms
        delay_ms = load.queue_ms(tokens_per_ms) + REREAD_WEIGHT * reread_ms
        cost_ms = delay_ms + reread_ms + load.total_running() * BATCH_MS_PER_REQUEST
        key = (cost_ms, -ranks[load.engine_id])
        if best is None or key < best:
            best = key
            choice = Choice(load, delay_ms)
    return choice
