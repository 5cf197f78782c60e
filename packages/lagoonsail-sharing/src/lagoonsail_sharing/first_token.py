"""Chooses the engine that is likely to give the first token soonest.

Answers the load in which most of each prompt is shared with other prompts, and the
engines could not read all prompts anew: many prefixes of about equal use, some hot ones,
and prompts of very unequal size. Everything is weighed in one currency, milliseconds of
an engine: what waits there to be read, and what this prompt adds because the engine does
not hold it. Routers that know nothing of each other choose alike, since a prefix that
nobody was seen to hold has the same home for all (rendezvous hashing).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MAX_KNOWN_PREFIXES = 4096
"""Prefixes that are remembered for one engine."""
BATCH_MS_PER_REQUEST = 0.5
"""Delay of a first token by each request that already runs, as steps grow longer."""


@dataclass(slots=True, frozen=True)
class Prompt:
    """What of a prompt decides where it is read."""

    prefix: str
    """Names the part that other prompts share, empty if there is none."""
    shared_tokens: int
    """Tokens of that part."""
    own_tokens: int
    """Tokens behind it."""


@dataclass(slots=True)
class EngineLoad:
    """One engine as a router sees it."""

    engine_id: str
    """Names the engine, the same at every router."""
    pending_tokens: float = 0.0
    """Prompt tokens that were sent there and have not brought a first token yet."""
    running: int = 0
    """Requests that were sent there and have not ended."""
    held: OrderedDict[str, int] = field(default_factory=OrderedDict)
    """Prefixes that it was seen to read, with their tokens; the oldest first."""

    def holds(self, prefix: str) -> bool:
        """Return whether the engine was seen to read a prefix."""
        return prefix in self.held

    def note_held(self, prompt: Prompt, cache_tokens: int) -> None:
        """Remember that the engine reads a prompt's shared part.

        Args:
            prompt: The prompt.
            cache_tokens: Tokens that the engine can hold.
        """
        if not prompt.prefix:
            return
        self.held[prompt.prefix] = prompt.shared_tokens
        self.held.move_to_end(prompt.prefix)
        total = sum(self.held.values())
        while self.held and (
            total > cache_tokens or len(self.held) > MAX_KNOWN_PREFIXES
        ):
            _, tokens = self.held.popitem(last=False)
            total -= tokens


def rank(prefix: str, engine_id: str) -> int:
    """Return the rank of an engine for a prefix; the highest is the prefix's home."""
    return xxh64_intdigest(f"{prefix}\0{engine_id}".encode())


def unread_tokens(prompt: Prompt, load: EngineLoad, *, is_home: bool) -> int:
    """Return how much of a prompt an engine is likely to read.

    Args:
        prompt: The prompt.
        load: The engine.
        is_home: Whether other routers send the prefix there as well.
    """
    is_held = is_home or load.holds(prompt.prefix)
    return prompt.own_tokens + (0 if is_held else prompt.shared_tokens)


def expected_ms(
    prompt: Prompt, load: EngineLoad, *, is_home: bool, tokens_per_ms: float
) -> float:
    """Return the likely time until the first token.

    Args:
        prompt: The prompt.
        load: The engine.
        is_home: Whether other routers send the prefix there as well.
        tokens_per_ms: Prompt tokens that an engine reads in a millisecond.
    """
    unread = unread_tokens(prompt, load, is_home=is_home)
    reading_ms = (load.pending_tokens + unread) / tokens_per_ms
    return reading_ms + load.running * BATCH_MS_PER_REQUEST


def choose_engine(
    prompt: Prompt,
    loads: Sequence[EngineLoad],
    tokens_per_ms: float,
    is_allowed: Callable[[EngineLoad], bool],
) -> EngineLoad | None:
    """Return the engine with the least expected time until the first token.

    Args:
        prompt: The prompt.
        loads: The engines.
        tokens_per_ms: Prompt tokens that an engine reads in a millisecond.
        is_allowed: Tells whether an engine may get a request now.
    """
    if not loads:
        return None
    home = max(loads, key=lambda load: rank(prompt.prefix, load.engine_id))
    allowed = [load for load in loads if is_allowed(load)]
    if not allowed:
        return None

    def key(load: EngineLoad) -> tuple[float, int]:
        is_home = bool(prompt.prefix) and load is home
        cost_ms = expected_ms(
            prompt, load, is_home=is_home, tokens_per_ms=tokens_per_ms
        )
        # A new prefix is read anew anywhere; then the home makes the others find it.
        return cost_ms, -rank(prompt.prefix, load.engine_id)

    return min(allowed, key=key)
