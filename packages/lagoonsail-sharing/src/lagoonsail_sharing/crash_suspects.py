"""Finds the parts of prompts that crash the servers which begin to answer them.

One crash says little, as many requests are lost with a server. A part is blocked when
it was in lost requests of several crashes while no request with it was answered. The
evidence is a set that routers merge in any order, so that each of them blocks a part
after a few crashes in the whole fleet.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_core.clock import Clock

BLOCK_CRASHES = 3
"""Crashes after which a part is blocked: a request that only waited at a server that
crashed is rarely lost with two more."""
SAME_FAULT_MS = 300.0
"""Time within which crashes count as one: servers that fail together have another
cause."""
ANSWER_VALID_MS = 5000.0
"""Time for which an answer protects the parts of its prompt from suspicion."""
SUSPICION_MS = 30_000.0
"""Time after its last crash for which a part that is not blocked is kept."""
BLOCK_MS = 600_000.0
"""Time after its last crash for which a part is blocked."""
CLEARED_MS = 5000.0
"""Time for which other routers are told that a part was answered."""
MAX_SUSPECTS = 32
"""Maximum number of parts that are kept; they must fit into a datagram."""
MAX_CRASHES_KEPT = 8
"""Maximum number of crashes kept for each part."""


@dataclass(slots=True)
class CrashEvidence:
    """What routers tell each other about the prompts lost in crashes."""

    ages_ms: dict[int, dict[int, int]] = field(default_factory=dict)
    """Time since each crash, by part and crash."""
    cleared: list[int] = field(default_factory=list)
    """Parts that were suspected and then answered."""


class CrashSuspects:
    """Parts of prompts that were lost in crashes and have not been answered since.

    Parts and crashes are integers that are the same at all routers.

    Example:
        >>> from lagoonsail_core.clock import Clock
        >>> now = [0.0]
        >>> suspects = CrashSuspects(Clock(lambda: now[0], lambda: 0.0))
        >>> for crash in (1, 2, 3):
        ...     now[0] += 1000.0
        ...     _ = suspects.record_crash(crash, [7, 8])
        ...     suspects.record_answer([8])
        >>> suspects.find_blocked([7, 8]), suspects.find_blocked([8, 9])
        (7, None)
    """

    __slots__ = ("_answered_ms", "_cleared_ms", "_clock", "_crashed_ms", "blocked")

    blocked: set[int]
    """Parts with enough crashes to be blocked."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crashed_ms: dict[int, dict[int, float]] = {}
        self._answered_ms: OrderedDict[int, float] = OrderedDict()
        self._cleared_ms: dict[int, float] = {}
        self.blocked = set()

    def record_crash(self, crash: int, parts: Iterable[int]) -> list[int]:
        """Record the parts of a prompt that was lost in a crash.

        Args:
            crash: Identifies the crash.
            parts: Parts of a prompt whose answer had not begun.

        Returns:
            The parts that are blocked from now on.
        """
        return self._add(crash, parts, self._clock.now_ms())

    def record_answer(self, parts: Iterable[int]) -> None:
        """Record the parts of a prompt that was answered as a whole.

        Args:
            parts: The parts.
        """
        now_ms = self._clock.now_ms()
        for part in parts:
            self._clear(part, now_ms)
        answered_ms = self._answered_ms
        while (
            answered_ms and now_ms - next(iter(answered_ms.values())) > ANSWER_VALID_MS
        ):
            answered_ms.popitem(last=False)

    def find_blocked(self, parts: Iterable[int]) -> int | None:
        """Return a part of a prompt that is blocked, None if there is none.

        Parts that always occur together cannot be told apart. A prompt that has only
        one of them is let through, so that its end tells which one does the harm.

        Args:
            parts: The parts of the prompt.
        """
        parts = set(parts)
        for part in self.blocked.intersection(parts):
            crashes = self._crashed_ms[part].keys()
            others = self.blocked - parts
            if not any(self._crashed_ms[other].keys() >= crashes for other in others):
                return part
        return None

    def evidence(self) -> CrashEvidence:
        """Return what other routers should know."""
        self._expire()
        now_ms = self._clock.now_ms()
        ages_ms = {
            part: {crash: round(now_ms - at_ms) for crash, at_ms in crashes.items()}
            for part, crashes in self._crashed_ms.items()
        }
        return CrashEvidence(ages_ms, list(self._cleared_ms))

    def merge(self, evidence: CrashEvidence) -> list[int]:
        """Add what another router knows.

        Args:
            evidence: Result of its `evidence`.

        Returns:
            The parts that are blocked from now on.
        """
        now_ms = self._clock.now_ms()
        for part in evidence.cleared:
            if part in self._crashed_ms:
                self._clear(part, now_ms)
        blocked = []
        for part, ages_ms in evidence.ages_ms.items():
            for crash, age_ms in ages_ms.items():
                if self._is_protected(part, now_ms - age_ms):
                    self._cleared_ms[part] = now_ms
                blocked += self._add(crash, [part], now_ms - age_ms)
        return blocked

    def _add(self, crash: int, parts: Iterable[int], at_ms: float) -> list[int]:
        blocked = []
        for part in parts:
            if self._is_protected(part, at_ms):
                continue
            crashes = self._crashed_ms.setdefault(part, {})
            if len(crashes) < MAX_CRASHES_KEPT:
                crashes.setdefault(crash, at_ms)
            if part not in self.blocked and self._has_enough_crashes(part):
                self.blocked.add(part)
                blocked.append(part)
        while len(self._crashed_ms) > MAX_SUSPECTS:
            self._forget(min(self._crashed_ms, key=self._rank))
        return blocked

    def _clear(self, part: int, now_ms: float) -> None:
        self._answered_ms[part] = now_ms
        self._answered_ms.move_to_end(part)
        if part in self._crashed_ms:
            self._forget(part)
            self._cleared_ms[part] = now_ms

    def _forget(self, part: int) -> None:
        del self._crashed_ms[part]
        self.blocked.discard(part)

    def _is_protected(self, part: int, crashed_ms: float) -> bool:
        """Return whether an answer shortly before a crash, or later, clears a part."""
        answered_ms = self._answered_ms.get(part, float("-inf"))
        return crashed_ms - answered_ms < ANSWER_VALID_MS

    def _has_enough_crashes(self, part: int) -> bool:
        count = 0
        last_ms = float("-inf")
        for at_ms in sorted(self._crashed_ms[part].values()):
            if at_ms - last_ms >= SAME_FAULT_MS:
                count += 1
                last_ms = at_ms
        return count >= BLOCK_CRASHES

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        for part, crashes in list(self._crashed_ms.items()):
            kept_ms = BLOCK_MS if part in self.blocked else SUSPICION_MS
            if now_ms - max(crashes.values()) > kept_ms:
                self._forget(part)
        for part, cleared_ms in list(self._cleared_ms.items()):
            if now_ms - cleared_ms > CLEARED_MS:
                del self._cleared_ms[part]

    def _rank(self, part: int) -> tuple[int, float]:
        crashes = self._crashed_ms[part]
        return len(crashes), max(crashes.values())
