"""Limits on what one connection of an HTTP port may send."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_overload.body_intake import BodyIntake

DEFAULT_HEAD_BYTES = 65_536
"""Longest request head unless stated otherwise."""
DEFAULT_HEAD_TIMEOUT_MS = 10_000.0
"""Time for a request head to arrive unless stated otherwise."""


@dataclass(slots=True)
class PortLimits:
    """Limits of a port, which may change while it is served."""

    intake: BodyIntake
    """Admits bodies to the byte budget of the process."""
    max_head_bytes: int = DEFAULT_HEAD_BYTES
    """Longest request head."""
    head_timeout_ms: float = DEFAULT_HEAD_TIMEOUT_MS
    """Time from the first byte of a request to the end of its head."""
