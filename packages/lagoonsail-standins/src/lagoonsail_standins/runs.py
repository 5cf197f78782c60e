"""Runs: what a backend server records of each request."""

from __future__ import annotations

from dataclasses import dataclass

RUNNING = "running"
"""The run has not ended."""
WHOLE = "whole"
"""The answer was made and handed over whole."""
CANCELLED = "cancelled"
"""The caller cancelled or closed the connection."""
BROKEN = "broken"
"""The server broke the run off."""
REFUSED = "refused"
"""Nothing was run."""


@dataclass(slots=True, eq=False)
class Run:
    """One request as a backend server saw it."""

    request_id: str
    """Value of X-Request-Id, or one made up here."""
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
    """When the request arrived, wall time."""
    ended_wall_ms: float = 0.0
    """When the run ended, wall time; 0 while it runs."""
    cost: float = 0.0
    """Tokens or milliseconds of work done."""
    cold: bool = False
    """Whether the server was cold at the start."""
    running_at_start: int = 0
    """Requests that ran at the start, this one included."""
