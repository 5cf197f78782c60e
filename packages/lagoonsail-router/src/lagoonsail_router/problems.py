"""Problem documents sent to callers in place of an answer."""

from __future__ import annotations

import json

from lagoonsail_core.errors import LagoonsailError

NOT_RUN = "no"
"""The request did not run and will not run."""
UNKNOWN = "unknown"
"""The request may have run."""

REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
"""Reason phrases of the statuses in use."""

RETRY_AFTER_CONNECTIONS_S = 0.3
"""Retry-After of a request for which this router has no connection left; another router
may have one."""


class CallProblem(LagoonsailError):
    """A request that is answered with a problem document."""

    def __init__(
        self,
        status: int,
        kind: str,
        problem: str,
        remedy: str,
        ran: str = NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(problem, remedy)
        self.status = status
        """HTTP status."""
        self.kind = kind
        """Stable name of the kind of problem."""
        self.ran = ran
        """Whether the request ran: NOT_RUN or UNKNOWN."""
        self.retry_after_s = retry_after_s
        """Seconds until a retry; None if a retry is of no use."""

    def body(self, request_id: str) -> bytes:
        """Return the problem document (RFC 9457).

        Args:
            request_id: ID of the request that it answers.

        Returns:
            JSON.
        """
        return json.dumps(
            {
                "type": f"urn:lagoonsail:problem:{self.kind}",
                "title": self.kind.replace("_", " "),
                "status": self.status,
                "detail": str(self),
                "ran": self.ran,
                "request_id": request_id,
            }
        ).encode()

    def status_line(self) -> str:
        """Return the WSGI status line."""
        return f"{self.status} {REASONS[self.status]}"

    def headers(self, request_id: str, body: bytes) -> list[tuple[str, str]]:
        """Return the headers of the problem document."""
        headers = [
            ("Content-Type", "application/problem+json"),
            ("Content-Length", str(len(body))),
            ("X-Request-Id", request_id),
        ]
        if self.retry_after_s is not None:
            headers.append(("Retry-After", str(self.retry_after_s)))
        return headers


def internal_problem() -> CallProblem:
    """Return the problem of a request that failed because of a router fault."""
    return CallProblem(
        502,
        "internal_error",
        "the router failed to serve the request",
        "find out whether the request ran, and report the router's log",
        UNKNOWN,
    )


def callers_full_problem() -> CallProblem:
    """Return the problem of a request on a connection beyond those that are served."""
    return CallProblem(
        503,
        "connections_full",
        "this router has no connections left for callers",
        "try again after the time in Retry-After",
        retry_after_s=RETRY_AFTER_CONNECTIONS_S,
    )


def no_connection_problem(reason: str) -> CallProblem:
    """Return the problem of a request that no connection to a server is left for.

    Args:
        reason: Which connections are open.
    """
    return CallProblem(
        503,
        "server_connections_full",
        reason,
        "try again after the time in Retry-After",
        retry_after_s=RETRY_AFTER_CONNECTIONS_S,
    )
