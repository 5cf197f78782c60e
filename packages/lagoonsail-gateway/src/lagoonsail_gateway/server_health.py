"""Judges a backend server by how its answers went.

Servers fail part of their requests while they call themselves healthy, and some fail a
few at all times. A server is left out for a while once most of its last answers were
bad; one request after that time tells whether it may come back.
"""

from __future__ import annotations

FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in the share of failures."""
SUSPEND_SHARE = 0.45
"""Share of failures above which a server is left out."""
FIRST_SUSPENSION_MS = 500.0
"""How long a server is left out at first; doubled each time."""
LONGEST_SUSPENSION_MS = 4000.0
"""Longest time that a server is left out at once."""
TRIAL_MS = 1000.0
"""Time between two trials if the first brings no verdict."""
SUSPENDED = "server_suspended"
"""Change of a server that is left out from now on."""
TRUSTED = "server_trusted"
"""Change of a server that gets requests again."""


class ServerHealth:
    """How the answers of one server went.

    Example:
        >>> health = ServerHealth()
        >>> [health.note(t, is_good=False, sent_ms=0.0) for t in (1.0, 2.0, 3.0)]
        ['', '', 'server_suspended']
        >>> health.may_get(100.0), health.may_get(600.0)
        (False, True)
    """

    __slots__ = (
        "_suspended_ms",
        "_suspension_ms",
        "failure_share",
        "suspended_until_ms",
    )

    failure_share: float
    """Share of bad answers, the newest counted most."""
    suspended_until_ms: float
    """Monotonic time until which the server is left out."""

    def __init__(self) -> None:
        self.failure_share = 0.0
        self.suspended_until_ms = float("-inf")
        self._suspended_ms = float("-inf")
        self._suspension_ms = 0.0

    def may_get(self, now_ms: float) -> bool:
        """Return whether the server may get a request.

        Args:
            now_ms: Monotonic time.
        """
        return now_ms >= self.suspended_until_ms

    def note_try(self, now_ms: float) -> None:
        """Note that a request is sent there.

        Args:
            now_ms: Monotonic time.
        """
        if self._suspension_ms and now_ms >= self.suspended_until_ms:
            # This request is the trial; should it bring no verdict, another follows.
            self.suspended_until_ms = now_ms + TRIAL_MS

    def note(self, now_ms: float, is_good: bool, sent_ms: float) -> str:
        """Take over how an answer went.

        Args:
            now_ms: Monotonic time.
            is_good: Whether it was good.
            sent_ms: When the request was sent.

        Returns:
            SUSPENDED, TRUSTED, or nothing if the judgement stays.
        """
        if self._suspension_ms:
            return self._note_trial(now_ms, is_good, sent_ms)
        share = FAILURE_WEIGHT * (0.0 if is_good else 1.0)
        self.failure_share = self.failure_share * (1 - FAILURE_WEIGHT) + share
        if self.failure_share > SUSPEND_SHARE:
            self._suspend(now_ms)
            return SUSPENDED
        return ""

    def _note_trial(self, now_ms: float, is_good: bool, sent_ms: float) -> str:
        if sent_ms < self._suspended_ms:
            # It was on its way when the others failed, and tells nothing new.
            return ""
        if not is_good:
            self._suspend(now_ms)
            return ""
        self._suspension_ms = 0.0
        self.suspended_until_ms = now_ms
        self.failure_share = SUSPEND_SHARE / 2
        return TRUSTED

    def _suspend(self, now_ms: float) -> None:
        longer_ms = 2 * self._suspension_ms or FIRST_SUSPENSION_MS
        self._suspension_ms = min(longer_ms, LONGEST_SUSPENSION_MS)
        self._suspended_ms = now_ms
        self.suspended_until_ms = now_ms + self._suspension_ms
