"""Observes the answers of a service during a roll-out, for its judgement.

Answers of old and new servers are counted alike, by route: failures, and the time to
the first part and between parts, relative to what was expected. A request without a
first part for very long counts as slow before it ends, as a version that hangs would
otherwise be noticed only at the deadlines of its requests.

When a server crashes, all that it has running is lost at once. This is one fault and
not many, so a failure counts only if no router finds the server gone some time later.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lagoonsail_rollout.answer_counts import (
    BIN_FACTOR,
    BINS,
    LOWEST_RATIO,
    AnswerCounts,
    slowness_bin,
)
from lagoonsail_router.loop_lateness import LATE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.server_directory import ServerRecord
    from lagoonsail_gateway.server_state import ServerState

FAILURE_HOLD_MS = 700.0
"""Time after a failure in which the crash of its server may show: until some router is
refused a connection, and digests have told the others."""
CRASH_MS = 1000.0
"""Time after the first sign of a crash in which failures belong to it. Later ones mean
that the server did not crash, but refuses some connections."""
EXPECTED_TOKENS_PER_MS = 50.0
"""Prefill rate by which first parts are expected. Both versions are compared by the
same figure, so it needs no more than the right order of magnitude. The learned speed of
a server would hide that its version is slow."""
EXPECTED_BASE_MS = 10.0
"""Expected time to the first part of an answer beyond its prefill."""
EXPECTED_MS_PER_RUNNING = 0.5
"""Expected time to the first part for each request that the server has running."""
PLAIN_OBJECTIVE_FRACTION = 0.125
"""Expected time of an answer without a prompt, as a fraction of its objective."""
EXPECTED_PAUSE_MS = 5.0
"""Expected time between two parts of a stream."""
MIN_PARTS = 5
"""Parts of a stream from which its pauses are judged."""
OVERDUE_RATIO = LOWEST_RATIO * BIN_FACTOR ** (BINS - 2)
"""Time relative to the expected one beyond which an answer is in the last bin."""
OLD = "o"
"""Part of a key: the old versions."""
NEW = "n"
"""Part of a key: the new version."""
ANSWERS = 0
"""Number of a key: answers that ended."""
FAILURES = 1
"""Number of a key: failures among them."""
FIRST_BINS = 2
"""First number of a key of the histogram of first parts."""


class AnswerObserver:
    """Follows one request at one server; see `RunningRequest.observer`."""

    __slots__ = (
        "_answers",
        "_expected_ms",
        "_first_ms",
        "_is_sent",
        "_key",
        "_last_ms",
        "_parts",
        "_sent_ms",
        "_state",
    )

    def __init__(
        self,
        answers: RolloutAnswers,
        key: str,
        state: ServerState,
        expected_ms: float,
        now_ms: float,
    ) -> None:
        self._answers = answers
        self._expected_ms = expected_ms
        self._first_ms = 0.0
        self._is_sent = False
        self._key = key
        self._last_ms = 0.0
        self._parts = 0
        self._sent_ms = now_ms
        self._state = state

    def record_sent(self) -> None:
        """Note that the request is being sent on a connection."""
        self._is_sent = True

    def record_data(self, now_ms: float) -> None:
        """Note that a part of the answer has arrived.

        Args:
            now_ms: The monotonic time.
        """
        self._parts += 1
        self._last_ms = now_ms

    def record_first_part(self, now_ms: float) -> None:
        """Note that the first part of the body has arrived.

        Args:
            now_ms: The monotonic time.
        """
        if not self._first_ms:
            self._first_ms = now_ms
            # Parts are counted from here on, without the head.
            self._parts = 0
            self._add_first(self._ratio(now_ms))

    def check_overdue(self, now_ms: float) -> None:
        """Count the first part as very late if it is overdue.

        Args:
            now_ms: The monotonic time.
        """
        ratio = self._ratio(now_ms)
        if not self._first_ms and ratio > OVERDUE_RATIO:
            self._first_ms = now_ms
            self._add_first(ratio)

    def finish(self, *, is_success: bool | None) -> None:
        """Note that the request has ended.

        Args:
            is_success: Whether the server succeeded; None if the outcome says nothing
                about the server.
        """
        self._answers.remove(self)
        if is_success is None:
            return
        if not is_success:
            server_key = crash_key(self._key, self._state.server.record)
            if self._is_sent:
                self._answers.hold_failure(server_key, self._key)
            else:
                self._answers.record_crash(server_key)
            return
        self._answers.count(self._key, ANSWERS)
        if self._parts >= MIN_PARTS:
            pause_ms = (self._last_ms - self._first_ms) / (self._parts - 1)
            number = slowness_bin(pause_ms / EXPECTED_PAUSE_MS)
            self._answers.count(f"{self._key}/p", number)

    def _ratio(self, now_ms: float) -> float:
        """Return the time taken so far, relative to the expected time."""
        late_ms = self._answers.loop_late_ms()
        # Small delays meet both versions alike.
        taken_ms = now_ms - self._sent_ms - (late_ms if late_ms >= LATE_MS else 0.0)
        return max(0.0, taken_ms) / self._expected_ms

    def _add_first(self, ratio: float) -> None:
        self._answers.count(self._key, FIRST_BINS + slowness_bin(ratio))


class RolloutAnswers:
    """Counts the answers of all services with a roll-out."""

    __slots__ = (
        "_clock",
        "_counts",
        "_crashed_ms",
        "_held",
        "_running",
        "loop_late_ms",
    )

    loop_late_ms: Callable[[], float]
    """Returns by how much the event loop was late recently, which is no fault of a
    server."""

    def __init__(
        self,
        clock: Clock,
        counts: FleetCounts,
        loop_late_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.loop_late_ms = loop_late_ms
        self._clock = clock
        self._counts = counts
        self._crashed_ms: dict[str, float] = {}
        self._held: deque[tuple[float, str, str]] = deque()
        self._running: dict[AnswerObserver, None] = {}

    def observe(
        self, key: str, call: GatewayCall, state: ServerState, unread_tokens: int
    ) -> AnswerObserver:
        """Return an observer of a request that is sent now.

        Args:
            key: Key of the counts; see `answers_key`.
            call: The request.
            state: The server.
            unread_tokens: Prompt tokens that the server has yet to prefill.
        """
        expected_ms = expected_first_ms(call, state, unread_tokens)
        observer = AnswerObserver(self, key, state, expected_ms, self._clock.now_ms())
        self._running[observer] = None
        return observer

    def remove(self, observer: AnswerObserver) -> None:
        """Forget a request that has ended.

        Args:
            observer: Its observer.
        """
        self._running.pop(observer, None)

    def count(self, key: str, index: int) -> None:
        """Add to the counts of all routers.

        Args:
            key: Key of the counts.
            index: Which of its numbers.
        """
        self._counts.add(key, index)

    def hold_failure(self, server_key: str, key: str) -> None:
        """Count a failed answer, unless its server crashes soon.

        Args:
            server_key: Key of the server's crash; see `crash_key`.
            key: Key of the counts.
        """
        self._held.append((self._clock.now_ms(), server_key, key))

    def record_crash(self, server_key: str) -> None:
        """Note that a server seems to have crashed.

        Args:
            server_key: Key of its crash; see `crash_key`.
        """
        if server_key not in self._crashed_ms:
            self._crashed_ms[server_key] = self._clock.now_ms()
            self._counts.add(server_key, 0)

    def step(self) -> None:
        """Count the failures of servers that did not crash, and overdue answers."""
        now_ms = self._clock.now_ms()
        while self._held and self._held[0][0] <= now_ms - FAILURE_HOLD_MS:
            failed_ms, server_key, key = self._held.popleft()
            if not self._is_by_crash(server_key, failed_ms, now_ms):
                self.count(key, ANSWERS)
                self.count(key, FAILURES)
        for observer in self._running:
            observer.check_overdue(now_ms)

    def forget_crashes(self) -> None:
        """Forget crashes, when no roll-out is active."""
        self._crashed_ms.clear()

    def _is_by_crash(self, server_key: str, failed_ms: float, now_ms: float) -> bool:
        is_known = server_key in self._crashed_ms
        if not is_known and any(self._counts.total(server_key)):
            # Another router was refused a connection.
            self._crashed_ms[server_key] = now_ms
        crashed_ms = self._crashed_ms.get(server_key)
        return crashed_ms is not None and failed_ms < crashed_ms + CRASH_MS

    def total(self, key: str) -> AnswerCounts:
        """Return the counts of all routers.

        Args:
            key: Key of the counts; see `answers_key`.
        """
        numbers = self._counts.total(key)
        # Sums are negative for a moment when a router that had reported more leaves.
        numbers = tuple(max(0, number) for number in numbers) + (0, 0)
        return AnswerCounts(
            numbers[ANSWERS],
            numbers[FAILURES],
            numbers[FIRST_BINS:-2],
            tuple(max(0, number) for number in self._counts.total(f"{key}/p")),
        )


def answers_key(service_key: str, side: str, route: str) -> str:
    """Return the key of the counts of one version on one route.

    Args:
        service_key: Key of the roll-out.
        side: OLD or NEW.
        route: Name of the route.
    """
    return f"{service_key}/{side}/{route}"


def crash_key(key: str, record: ServerRecord) -> str:
    """Return the key of the crash of a server's incarnation.

    Args:
        key: Key of counts, or of the roll-out.
        record: The server's record.

    Example:
        >>> from types import SimpleNamespace
        >>> record = SimpleNamespace(server_id="s1", started_at_ms=7)
        >>> crash_key("rollout/a/12/o/route", record), crash_key("rollout/a/12", record)
        ('rollout/a/12/x/s1.7', 'rollout/a/12/x/s1.7')
    """
    service_key = "/".join(key.split("/")[:3])
    return f"{service_key}/x/{record.server_id}.{record.started_at_ms}"


def expected_first_ms(
    call: GatewayCall, state: ServerState, unread_tokens: int
) -> float:
    """Return the expected time to the first part of an answer.

    Args:
        call: The request.
        state: The server, with the load before this request.
        unread_tokens: Prompt tokens that the server has yet to prefill.
    """
    if call.prompt is None:
        return PLAIN_OBJECTIVE_FRACTION * call.route.objective_ms
    load = state.load
    tokens = load.pending_tokens + load.others_pending_tokens + unread_tokens
    return (
        EXPECTED_BASE_MS
        + tokens / EXPECTED_TOKENS_PER_MS
        + EXPECTED_MS_PER_RUNNING * load.total_running()
    )
