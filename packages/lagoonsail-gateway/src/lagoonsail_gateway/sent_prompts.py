"""The prompts that a router sent to engines, as reported to the other routers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgpack
from xxhash import xxh32_intdigest

from lagoonsail_sharing.first_token import Prompt, SharedPart

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

MAX_RECENT_PROMPTS = 128
"""Prompts kept for routers that missed some; a few KB in one datagram."""
DECODE_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    msgpack.exceptions.UnpackException,
)
"""Exceptions that decoding of malformed data raises."""


@dataclass(slots=True, frozen=True)
class SentPrompt:
    """A prompt that a router sent to an engine."""

    server_id: str
    """The engine."""
    prompt: Prompt
    """The prompt."""
    sender: int = 0
    """Number of the router that sent it; see `sender_number`."""

    def encode(self) -> bytes:
        """Return the encoding used in digests."""
        parts = [[part.key, part.tokens] for part in self.prompt.shared]
        return msgpack.packb(
            [self.server_id, parts, self.prompt.unshared_tokens, self.sender]
        )


def sender_number(router: str) -> int:
    """Return the number by which prompts name a router, shorter than its name.

    Args:
        router: Name of the router.
    """
    return xxh32_intdigest(router.encode())


def decode_sent_prompt(data: bytes) -> SentPrompt | None:
    """Decode a prompt and its engine.

    Args:
        data: Result of `SentPrompt.encode`.

    Returns:
        The prompt, None if the data is malformed.

    Example:
        >>> data = SentPrompt("s1", Prompt((), 20)).encode()
        >>> decode_sent_prompt(data).prompt.unshared_tokens
        20
        >>> decode_sent_prompt(b"garbage") is None
        True
    """
    try:
        server_id, parts, unshared_tokens, sender = msgpack.unpackb(data)
        shared = tuple(SharedPart(int(key), int(tokens)) for key, tokens in parts)
        prompt = Prompt(shared, int(unshared_tokens))
        return SentPrompt(str(server_id), prompt, int(sender))
    except DECODE_ERRORS:
        return None


class RecentPrompts:
    """The last prompts of one list, each encoded once."""

    __slots__ = ("_clock", "_prompts", "count")

    count: int
    """Number of prompts added since the start."""

    def __init__(self, clock: Clock, max_count: int = MAX_RECENT_PROMPTS) -> None:
        """Create an empty list.

        Args:
            clock: The clock.
            max_count: Number of prompts that are kept.
        """
        self._clock = clock
        self._prompts: deque[tuple[float, bytes]] = deque(maxlen=max_count)
        self.count = 0

    def add(self, encoded: bytes) -> None:
        """Add a prompt.

        Args:
            encoded: The encoded prompt.
        """
        self._prompts.append((self._clock.now_ms(), encoded))
        self.count += 1

    def encoded_within(self, age_ms: float) -> list[bytes]:
        """Return the encoded prompts of the given period, oldest first.

        Args:
            age_ms: Maximum age of the prompts.
        """
        start_ms = self._clock.now_ms() - age_ms
        return [encoded for sent_ms, encoded in self._prompts if sent_ms >= start_ms]
