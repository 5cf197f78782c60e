"""Records of calls, their attempts and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field

RAN_NO = "no"
"""The call did not run."""
RAN_UNKNOWN = "unknown"
"""The call may have run."""
RAN_LOST = "lost"
"""The caller received no answer that shows whether the call ran."""
RAN_GONE = "gone"
"""The caller disconnected before the end of the answer."""


@dataclass(slots=True)
class Call:
    """A call as the caller requests it."""

    side: str
    """Side of the service."""
    service: str
    """Service, unqualified."""
    account: str
    """Client account, unqualified."""
    method: str
    """HTTP method."""
    path: str
    """Path relative to the service."""
    body: bytes
    """Request body."""
    is_stream: bool = False
    """Whether the answer is a stream of events."""
    is_repeatable: bool = True
    """Whether the service document allows the call to run more than once."""
    idempotency_key: str = ""
    """Value of Idempotency-Key; empty if none is sent."""
    cost_hint: float = 0.0
    """Value of X-Cost-Hint; 0 if none is sent."""


@dataclass(slots=True)
class Attempt:
    """One request of a call to one router."""

    request_id: str
    """Value of X-Request-Id, unique to the attempt."""
    router: str
    """Name of the router that received the request."""
    status: int = 0
    """Status code; 0 if no answer arrived."""
    ran: str = ""
    """Empty if the answer arrived to its end, else one of the RAN constants."""
    reason: str = ""
    """What is wrong with the answer; empty if it is complete and correct."""
    retry_after_s: float = 0.0
    """Value of Retry-After, seconds."""
    started_wall_ms: float = 0.0
    """Start of the attempt, wall time, milliseconds."""
    first_ms: float = 0.0
    """Time until the first byte of the body, milliseconds; 0 if none arrived."""
    ended_wall_ms: float = 0.0
    """End of the attempt, wall time, milliseconds; 0 if it has not ended."""
    cost: float = 0.0
    """Tokens of a complete engine answer, or 1 for a plain answer."""


@dataclass(slots=True)
class CallRecord:
    """One call with all its attempts."""

    call: Call
    """The call."""
    attempts: list[Attempt] = field(default_factory=list)
    """Its attempts in order; the last one gave the final answer."""

    @property
    def last(self) -> Attempt:
        """The attempt that gave the final answer."""
        return self.attempts[-1]

    @property
    def is_whole(self) -> bool:
        """Whether the final answer is complete and belongs to this call."""
        return self.last.status == 200 and not self.last.ran and not self.last.reason

    @property
    def latency_ms(self) -> float:
        """Time from the start of the first attempt to the end of the last, ms."""
        return self.last.ended_wall_ms - self.attempts[0].started_wall_ms

    @property
    def first_ms(self) -> float:
        """Time from the start of the first attempt to the first body byte, ms."""
        return (
            self.last.started_wall_ms
            + self.last.first_ms
            - self.attempts[0].started_wall_ms
        )
