"""Calls, their attempts, and what became of them."""

from __future__ import annotations

from dataclasses import dataclass, field

RAN_NO = "no"
"""Nothing of the call ran."""
RAN_UNKNOWN = "unknown"
"""The call may have run."""
RAN_LOST = "lost"
"""No answer came that said what happened."""
RAN_GONE = "gone"
"""The caller went away before the answer's end."""


@dataclass(slots=True)
class Call:
    """What a caller asks for."""

    side: str
    """Side of the service."""
    service: str
    """Service, unqualified."""
    account: str
    """Client account, unqualified."""
    method: str
    """HTTP method."""
    path: str
    """Path below the service."""
    body: bytes
    """Body."""
    is_stream: bool = False
    """Whether the answer is a stream of events."""
    is_repeatable: bool = True
    """Whether the service's document says that the call may run twice."""
    idempotency_key: str = ""
    """Value of Idempotency-Key, or empty."""
    cost_hint: float = 0.0
    """Value of X-Cost-Hint; 0 sends none."""


@dataclass(slots=True)
class Attempt:
    """One request of a call to one router."""

    request_id: str
    """Value of X-Request-Id; differs for each attempt."""
    router: str
    """Entry router."""
    status: int = 0
    """Status code, 0 if none came."""
    ran: str = ""
    """Empty if the answer came to its end, else one of the RAN constants."""
    reason: str = ""
    """What was wrong with the answer, empty if it is whole."""
    retry_after_s: float = 0.0
    """What Retry-After said, seconds."""
    started_wall_ms: float = 0.0
    """When the attempt began, wall time."""
    first_ms: float = 0.0
    """Time until the first byte of the body, milliseconds; 0 if none came."""
    ended_wall_ms: float = 0.0
    """When the attempt ended, wall time."""
    cost: float = 0.0
    """Tokens of a whole engine answer, or 1 for a plain one."""


@dataclass(slots=True)
class CallRecord:
    """One call and what became of it."""

    call: Call
    """The call."""
    attempts: list[Attempt] = field(default_factory=list)
    """Its attempts in order; the last one is the caller's answer."""

    @property
    def last(self) -> Attempt:
        """The attempt whose answer the caller took."""
        return self.attempts[-1]

    @property
    def is_whole(self) -> bool:
        """Whether the answer came to its end and is the call's own."""
        return self.last.status == 200 and not self.last.ran and not self.last.reason

    @property
    def latency_ms(self) -> float:
        """Time from the first attempt until the end of the last, milliseconds."""
        return self.last.ended_wall_ms - self.attempts[0].started_wall_ms

    @property
    def first_ms(self) -> float:
        """Time from the first attempt until the first byte of the answer's body."""
        return (
            self.last.started_wall_ms
            + self.last.first_ms
            - self.attempts[0].started_wall_ms
        )
