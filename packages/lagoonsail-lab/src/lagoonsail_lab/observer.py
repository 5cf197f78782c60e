"""Polls routers continuously, so that events of killed routers are kept too."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.timeline_view import merge_events, render_text
from lagoonsail_lab.checker import BROKEN_INVARIANT, REVERTED, Fault

if TYPE_CHECKING:
    from lagoonsail_lab.fleet import Fleet

POLL_INTERVAL_S = 0.5
"""Time between two polls of a router, seconds."""
START_GRACE_MS = 3000.0
"""Time in which a router restarted without state may lack the newest documents,
milliseconds."""
DOCUMENTS = "documents/"
"""Prefix of the keys of service documents."""
RUN_NAME = "prove"
"""Router name under which events of the run itself appear in the timeline."""


class Observer:
    """Collects the timelines and configuration revisions of all routers in a run."""

    __slots__ = (
        "_clock",
        "_events",
        "_fleet",
        "_logical_time",
        "_run_events",
        "_revisions",
        "_read_until",
        "_first_seen",
        "_threads",
        "faults",
    )

    faults: list[Fault]
    """Configurations that reverted and invariants that were violated."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._clock = Clock()
        self._events: dict[str, list[dict]] = defaultdict(list)
        self._run_events: list[dict] = []
        self._logical_time = 0
        self._revisions: dict[tuple[str, str], int] = {}
        self._read_until: dict[tuple[str, int], int] = {}
        self._first_seen: dict[str, tuple[int, float]] = {}
        self.faults = []
        self._threads = [
            eventlet.spawn(self._poll_forever, name) for name in fleet.routers
        ]

    def stop(self) -> None:
        """Stop polling the routers."""
        for thread in self._threads:
            thread.kill()

    def record_event(self, event: str, **fields: object) -> None:
        """Add an event of the run itself to the timeline.

        Args:
            event: Name of the event.
            **fields: Fields of the event.
        """
        head = {"logical": self._logical_time, "wall_ms": self._clock.wall_ms()}
        self._run_events.append({**head, "router": RUN_NAME, "event": event, **fields})

    def _poll_forever(self, name: str) -> None:
        while True:
            self.poll(name)
            eventlet.sleep(POLL_INTERVAL_S)

    def poll(self, name: str) -> None:
        """Read a router's status and the new events of its timeline.

        Args:
            name: The router.
        """
        status = self._fleet.status(name)
        if not status:
            return
        now_ms = self._clock.now_ms()
        incarnation = status["incarnation"]
        known_incarnation, _ = self._first_seen.get(name, (0, 0.0))
        if known_incarnation != incarnation:
            self._first_seen[name] = (incarnation, now_ms)
        self._check_status(name, status, now_ms)
        self._read_timeline(name, incarnation)

    def _check_status(self, name: str, status: dict, now_ms: float) -> None:
        wall_ms = self._clock.wall_ms()
        if status["invariant_violations"]:
            detail = f"{status['invariant_violations']} invariants were violated"
            self.faults.append(Fault(BROKEN_INVARIANT, name, detail, wall_ms))
        is_in_grace_period = now_ms - self._first_seen[name][1] < START_GRACE_MS
        revisions = status["configuration"]
        keys = {key for router, key in self._revisions if router == name}
        for key in keys | {key for key in revisions if key.startswith(DOCUMENTS)}:
            newest_seen = self._revisions.get((name, key), 0)
            revision = revisions.get(key, 0)
            if revision < newest_seen and not is_in_grace_period:
                detail = f"{key} reverted from revision {newest_seen} to {revision}"
                self.faults.append(Fault(REVERTED, name, detail, wall_ms))
            self._revisions[name, key] = max(newest_seen, revision)

    def _read_timeline(self, name: str, incarnation: int) -> None:
        since = self._read_until.get((name, incarnation), 0)
        path = f"/timeline?since={since}"
        events = self._fleet.fetch("GET", self._fleet.routers[name].admin, path)
        if not isinstance(events, list) or not events:
            return
        self._events[name] += events
        newest = max(event["logical"] for event in events)
        self._read_until[name, incarnation] = newest
        self._logical_time = max(self._logical_time, newest)

    def render_between(self, from_wall_ms: float, until_wall_ms: float) -> str:
        """Render the merged timeline of a period.

        Args:
            from_wall_ms: Start of the period, wall time, milliseconds.
            until_wall_ms: End of the period, wall time, milliseconds.

        Returns:
            Human-readable lines.
        """
        events = merge_events([*self._events.values(), self._run_events])
        return render_text(
            event
            for event in events
            if from_wall_ms <= event["wall_ms"] <= until_wall_ms
        )
