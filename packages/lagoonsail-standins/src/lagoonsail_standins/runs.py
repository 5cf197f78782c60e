"""Runs: the records that a backend server keeps of its requests."""

from __future__ import annotations

from dataclasses import dataclass

RUNNING = "running"
"""The run is queued or being worked on."""
WHOLE = "whole"
"""The whole answer was sent."""
CANCELLED = "cancelled"
"""The caller cancelled the run or closed the connection."""
BROKEN = "broken"
"""The server aborted the run."""
REFUSED = "refused"
"""The server refused the request without running it."""


@dataclass(slots=True, eq=False)
class Run:
    """One request that a backend server received."""

    request_id: str
    """Value of X-Request-Id, or a generated one if there was none."""
    idempotency_key: str
    """Value of Idempotency-Key, empty if there was none."""
    path: str
    """Path of the request."""
    body_sha256: str
    """Hash of the body, 64 hex digits."""
    epoch: int
    """Value of X-Lagoonsail-Epoch, 0 if there was none."""
    state: str
    """One of the state constants of this module."""
    started_wall_ms: float
    """When the request arrived, wall time in milliseconds."""
    ended_wall_ms: float = 0.0
    """When the run ended, wall time in milliseconds; 0 while it runs."""
    cost: float = 0.0
    """Work done: tokens on an engine, milliseconds on a plain service."""
    cold: bool = False
    """Whether the server was cold at the start."""
    running_at_start: int = 0
    """Requests that ran when this one arrived, including it unless it was queued."""
