"""Which prompts a router has sent to which engine, as it tells the other routers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgpack

from lagoonsail_sharing.first_token import Prompt, SharedPart

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

MOST_READS = 128
"""Prompts remembered for routers that missed some; a few KB in one datagram."""
MALFORMED = (
    ValueError,
    TypeError,
    AttributeError,
    msgpack.exceptions.UnpackException,
)
"""What the decoding of malformed data raises."""


@dataclass(slots=True, frozen=True)
class PromptRead:
    """A prompt that a router sent to an engine."""

    server_id: str
    """The engine."""
    prompt: Prompt
    """The prompt."""

    def encode(self) -> bytes:
        """Return what stands for it in a digest."""
        parts = [[part.key, part.tokens] for part in self.prompt.shared]
        return msgpack.packb([self.server_id, parts, self.prompt.own_tokens])


def decode_read(data: bytes) -> PromptRead | None:
    """Return a prompt and its engine, None if they are malformed.

    Args:
        data: What `PromptRead.encode` returned.

    Example:
        >>> decode_read(PromptRead("s1", Prompt((), 20)).encode()).prompt.own_tokens
        20
        >>> decode_read(b"garbage") is None
        True
    """
    try:
        server_id, parts, own_tokens = msgpack.unpackb(data)
        shared = tuple(SharedPart(int(key), int(tokens)) for key, tokens in parts)
        return PromptRead(str(server_id), Prompt(shared, int(own_tokens)))
    except MALFORMED:
        return None


class RecentReads:
    """The prompts that this router sent last, each encoded once."""

    __slots__ = ("_clock", "_reads", "count")

    count: int
    """Prompts that were sent since the start."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reads: deque[tuple[float, bytes]] = deque(maxlen=MOST_READS)
        self.count = 0

    def add(self, read: PromptRead) -> None:
        """Remember a prompt that is being sent.

        Args:
            read: The prompt and its engine.
        """
        self._reads.append((self._clock.now_ms(), read.encode()))
        self.count += 1

    def newest(self, age_ms: float) -> list[bytes]:
        """Return the encoded prompts of the last time, in order.

        Args:
            age_ms: Age of the oldest that are returned.
        """
        start_ms = self._clock.now_ms() - age_ms
        return [data for sent_ms, data in self._reads if sent_ms >= start_ms]
