"""What servers say of themselves in their answers: that they leave, or want a pause.

A notice holds for one incarnation of a server, whatever the registry says of it, and
only for the router that got it. It does not need the registry, so that it also holds
while that cannot be reached.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_core.clock import Clock

Incarnation = tuple[str, int]
"""Id of a server, and what tells its starts apart."""

MAX_BACKOFF_MS = 600_000.0
"""Longest pause that a server can ask for."""
RECOVERY_MS = 1000.0
"""Time after a pause in which requests come back gradually."""
LEAVING_KEPT_MS = 600_000.0
"""Time for which it is kept that an incarnation is leaving; none takes that long."""
MAX_NOTICES = 4096
"""Maximum number of incarnations that are kept."""


@dataclass(slots=True)
class Notice:
    """What one incarnation of a server said."""

    told_ms: float
    """When it said something last."""
    is_leaving: bool = False
    """Whether it is leaving."""
    backoff_until_ms: float = -math.inf
    """End of the pause that it asked for."""
    sent_since: int = 0
    """Requests sent since the end of the pause."""
    answers_since: int = 0
    """Answers since the end of the pause."""


class ServerNotices:
    """Notices of servers, by incarnation.

    Example:
        >>> from lagoonsail_core.clock import Clock
        >>> now = [0.0]
        >>> notices = ServerNotices(Clock(lambda: now[0], lambda: 0.0))
        >>> notices.record_backoff(("s1", 1), 2000.0)
        True
        >>> notices.allows(("s1", 1)), notices.allows(("s1", 2))
        (False, True)
        >>> now[0] = 2000.0
        >>> notices.allows(("s1", 1))
        True
    """

    __slots__ = ("_clock", "_notices")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._notices: dict[Incarnation, Notice] = {}

    def has_any(self) -> bool:
        """Return whether any server has said something."""
        return bool(self._notices)

    def record_leaving(self, incarnation: Incarnation) -> bool:
        """Record that a server is leaving.

        Args:
            incarnation: The server.

        Returns:
            Whether that is new.
        """
        notice = self._notice(incarnation)
        is_new = not notice.is_leaving
        notice.is_leaving = True
        return is_new

    def record_backoff(self, incarnation: Incarnation, pause_ms: float) -> bool:
        """Record that a server wants no requests for some time.

        Args:
            incarnation: The server.
            pause_ms: The time, counted from now; it never shortens an earlier one.

        Returns:
            Whether the pause begins, or ends later than before.
        """
        until_ms = self._clock.now_ms() + min(pause_ms, MAX_BACKOFF_MS)
        notice = self._notice(incarnation)
        if until_ms <= notice.backoff_until_ms:
            return False
        notice.backoff_until_ms = until_ms
        notice.sent_since = notice.answers_since = 0
        return True

    def record_sent(self, incarnation: Incarnation) -> None:
        """Record that a request is sent to a server.

        Args:
            incarnation: The server.
        """
        notice = self._notices.get(incarnation)
        if notice is not None:
            notice.sent_since += 1

    def record_answer(self, incarnation: Incarnation) -> None:
        """Record that a server answered a request.

        Args:
            incarnation: The server.
        """
        notice = self._notices.get(incarnation)
        if notice is not None and self._clock.now_ms() >= notice.backoff_until_ms:
            notice.answers_since += 1

    def is_out(self, incarnation: Incarnation) -> bool:
        """Return whether a server wants no new requests.

        Args:
            incarnation: The server.
        """
        notice = self._notices.get(incarnation)
        if notice is None:
            return False
        return notice.is_leaving or self._clock.now_ms() < notice.backoff_until_ms

    def allows(self, incarnation: Incarnation) -> bool:
        """Return whether a server may be chosen for one more request.

        After a pause each answer allows two further requests, for a time.

        Args:
            incarnation: The server.
        """
        notice = self._notices.get(incarnation)
        if notice is None:
            return True
        if self.is_out(incarnation):
            return False
        recovered_ms = notice.backoff_until_ms + RECOVERY_MS
        is_recovered = self._clock.now_ms() >= recovered_ms
        return is_recovered or notice.sent_since <= 2 * notice.answers_since

    def wait_ms(self, incarnations: Iterable[Incarnation]) -> float:
        """Return the time until the first of some servers wants requests again.

        Args:
            incarnations: The servers.

        Returns:
            The time, infinity if all are leaving.
        """
        now_ms = self._clock.now_ms()
        ends_ms = [
            notice.backoff_until_ms
            for incarnation in incarnations
            if (notice := self._notices.get(incarnation)) and not notice.is_leaving
        ]
        return max(0.0, min(ends_ms, default=math.inf) - now_ms)

    def _notice(self, incarnation: Incarnation) -> Notice:
        now_ms = self._clock.now_ms()
        notice = self._notices.setdefault(incarnation, Notice(now_ms))
        notice.told_ms = now_ms
        if len(self._notices) > MAX_NOTICES:
            self._drop_old(now_ms)
        return notice

    def _drop_old(self, now_ms: float) -> None:
        for incarnation, notice in list(self._notices.items()):
            has_ended = now_ms >= notice.backoff_until_ms + RECOVERY_MS
            kept_ms = LEAVING_KEPT_MS if notice.is_leaving else 0.0
            if has_ended and now_ms - notice.told_ms > kept_ms:
                del self._notices[incarnation]
