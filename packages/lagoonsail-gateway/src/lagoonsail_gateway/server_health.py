"""Passive health check: suspends a backend server by the results of its requests.

Servers can fail some of their requests while they report themselves healthy, and some
servers always fail a few. A server is therefore suspended only when a large part of its
recent requests failed. After the suspension a single request probes whether the server
has recovered.
"""

from __future__ import annotations

FAILURE_WEIGHT = 0.2
"""Weight of the newest result in the moving average of failures."""
SUSPEND_FAILURE_RATE = 0.45
"""Failure rate above which a server is suspended."""
INITIAL_SUSPENSION_MS = 500.0
"""Length of the first suspension; doubled after each failed probe."""
MAX_SUSPENSION_MS = 4000.0
"""Maximum length of one suspension."""
PROBE_INTERVAL_MS = 1000.0
"""Time after which another probe is sent if the last one has no result."""
SUSPENDED = "server_suspended"
"""Event: the server is suspended."""
RESTORED = "server_trusted"
"""Event: a suspended server gets requests again."""


class ServerHealth:
    """Recent results of one server.

    Example:
        >>> health = ServerHealth()
        >>> times_ms = (1.0, 2.0, 3.0)
        >>> [health.record_result(t, is_success=False, sent_ms=0.0) for t in times_ms]
        ['', '', 'server_suspended']
        >>> health.allows_request(100.0), health.allows_request(600.0)
        (False, True)
    """

    __slots__ = (
        "_suspended_at_ms",
        "_suspension_duration_ms",
        "failure_rate",
        "suspended_until_ms",
    )

    failure_rate: float
    """Exponentially weighted share of failed requests."""
    suspended_until_ms: float
    """Monotonic time until which the server gets no requests."""

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self.suspended_until_ms = float("-inf")
        self._suspended_at_ms = float("-inf")
        self._suspension_duration_ms = 0.0

    def allows_request(self, now_ms: float) -> bool:
        """Return whether a request may be sent to the server.

        Args:
            now_ms: Monotonic time.
        """
        return now_ms >= self.suspended_until_ms

    def record_attempt(self, now_ms: float) -> None:
        """Record that a request is sent to the server.

        Args:
            now_ms: Monotonic time.
        """
        if self._suspension_duration_ms and now_ms >= self.suspended_until_ms:
            # This request is the probe; if it has no result, another one follows.
            self.suspended_until_ms = now_ms + PROBE_INTERVAL_MS

    def record_result(self, now_ms: float, is_success: bool, sent_ms: float) -> str:
        """Record the result of a request.

        Args:
            now_ms: Monotonic time.
            is_success: Whether the request succeeded.
            sent_ms: Monotonic time at which the request was sent.

        Returns:
            SUSPENDED, RESTORED, or an empty string if the state does not change.
        """
        if self._suspension_duration_ms:
            return self._record_probe(now_ms, is_success, sent_ms)
        share = FAILURE_WEIGHT * (0.0 if is_success else 1.0)
        self.failure_rate = self.failure_rate * (1 - FAILURE_WEIGHT) + share
        if self.failure_rate > SUSPEND_FAILURE_RATE:
            self._suspend(now_ms)
            return SUSPENDED
        return ""

    def _record_probe(self, now_ms: float, is_success: bool, sent_ms: float) -> str:
        if sent_ms < self._suspended_at_ms:
            # Sent before the suspension, so the result says nothing about recovery.
            return ""
        if not is_success:
            self._suspend(now_ms)
            return ""
        self._suspension_duration_ms = 0.0
        self.suspended_until_ms = now_ms
        self.failure_rate = SUSPEND_FAILURE_RATE / 2
        return RESTORED

    def _suspend(self, now_ms: float) -> None:
        longer_ms = 2 * self._suspension_duration_ms or INITIAL_SUSPENSION_MS
        self._suspension_duration_ms = min(longer_ms, MAX_SUSPENSION_MS)
        self._suspended_at_ms = now_ms
        self.suspended_until_ms = now_ms + self._suspension_duration_ms
