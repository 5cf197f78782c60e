"""What a router knows of one service's roll-out, by order.

A newer order starts anew: its evidence, windows and crashes are its own, while the
phase in the store may still be that of the order before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_gateway.store_access import NO_REVISION
from lagoonsail_rollout.judgement import Judgement
from lagoonsail_rollout.phases import CANARY, is_final

if TYPE_CHECKING:
    from lagoonsail_gateway.rollout_records import RolloutOrder, RolloutPhase
    from lagoonsail_gateway.store_access import StoreRevision
    from lagoonsail_rollout.answer_counts import AnswerCounts
    from lagoonsail_rollout.version_choice import VersionRule

AnswersByRoute = dict[str, "AnswerCounts"]
"""Counts of one version by route."""


class ServiceRollout:
    """The order, status and phase of one service, and what is known of its versions."""

    __slots__ = (
        "chances",
        "crashes",
        "deadline_ms",
        "has_exact_deadline",
        "is_stopped",
        "judgement",
        "order",
        "order_revision",
        "phase",
        "phase_revision",
        "phase_since_ms",
        "rule",
        "service",
        "started_ms",
        "status_revision",
        "trial_ids",
        "window_starts",
        "windows",
    )

    chances: dict[str, float]
    """Chance of a request to be sent to the new version as a trial, by route."""
    crashes: dict[str, int]
    """Crashes since the order, by version."""
    deadline_ms: float
    """Monotonic time of the limit."""
    has_exact_deadline: bool
    """Whether the order was seen as it came; else the limit is an estimate."""
    is_stopped: bool
    """Whether this router has seen evidence against the new version."""
    judgement: Judgement
    """What the answers say so far."""
    order: RolloutOrder | None
    """The newest order, None if it is withdrawn."""
    order_revision: StoreRevision
    """Revision of the order, or of its removal."""
    phase: RolloutPhase | None
    """The phase in the store, perhaps of an earlier order."""
    phase_revision: StoreRevision
    """Revision of its key, `NO_REVISION` if there is none."""
    phase_since_ms: float
    """When this router saw the phase, or the order if that is newer."""
    rule: VersionRule | None
    """Which versions requests may use; None for all."""
    service: str
    """Name of the service."""
    started_ms: float
    """When this router saw the order."""
    status_revision: StoreRevision
    """Revision of the status, `NO_REVISION` if there is none."""
    trial_ids: frozenset[str]
    """Servers of the new version that the canary uses."""
    window_starts: list[tuple[float, AnswersByRoute, AnswersByRoute]]
    """Time and counts of old and new version at the start of the last two windows."""
    windows: int
    """Number of windows since the order."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.chances = {}
        self.crashes = {}
        self.deadline_ms = float("inf")
        self.has_exact_deadline = False
        self.is_stopped = False
        self.judgement = Judgement()
        self.order = None
        self.order_revision = NO_REVISION
        self.phase = None
        self.phase_revision = NO_REVISION
        self.phase_since_ms = 0.0
        self.rule = None
        self.started_ms = 0.0
        self.status_revision = NO_REVISION
        self.trial_ids = frozenset()
        self.window_starts = []
        self.windows = 0

    def key(self) -> str:
        """Return the key of its counts, which differs by order."""
        return f"rollout/{self.service}/{self.order_revision}"

    def has_phase(self) -> bool:
        """Return whether the phase in the store belongs to the newest order."""
        return self.phase is not None and self.phase.order == self.order_revision

    def current_phase(self) -> str:
        """Return the phase of the newest order."""
        return self.phase.phase if self.has_phase() else CANARY

    def is_active(self) -> bool:
        """Return whether there is an order that is neither completed nor undone."""
        return self.order is not None and not is_final(self.current_phase())

    def is_in_service(self) -> bool:
        """Return whether the new version is the only one in service."""
        return self.rule.in_service == {self.order.target}

    def start_order(self, now_ms: float) -> None:
        """Forget the evidence of the order before.

        Args:
            now_ms: The time.
        """
        self.started_ms = self.phase_since_ms = now_ms
        self.is_stopped = False
        self.judgement = Judgement()
        self.chances = {}
        self.crashes = {}
        self.window_starts = []
        self.windows = 0

    def limit_deadline(self, now_ms: float) -> None:
        """Take over the remaining time of a router that saw the order as it came.

        Args:
            now_ms: The time.
        """
        if not self.has_exact_deadline:
            deadline_ms = now_ms + self.phase.remaining_ms
            self.deadline_ms = min(self.deadline_ms, deadline_ms)

    def record_crash(self, version: str) -> None:
        """Count a crash of a server.

        Args:
            version: Its version.
        """
        self.crashes[version] = self.crashes.get(version, 0) + 1
