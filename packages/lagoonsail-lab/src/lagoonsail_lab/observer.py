"""Looks at running routers all the time, so that killed ones leave a trace as well."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.timeline_view import merge_events, render_text
from lagoonsail_lab.checker import BROKEN_INVARIANT, REVERTED, Fault

if TYPE_CHECKING:
    from lagoonsail_lab.fleet import Fleet

LOOK_S = 0.5
"""Time between two looks at a router, seconds."""
START_GRACE_MS = 3000.0
"""Time in which a router that began with no state learns the newest documents."""
DOCUMENTS = "documents/"
"""Keys of service documents begin with this."""
OWN_NAME = "prove"
"""Name under which faults and orders stand in the time line."""


class Observer:
    """Time lines and revisions of all routers through a run."""

    __slots__ = (
        "_clock",
        "_events",
        "_fleet",
        "_logical",
        "_own_events",
        "_revisions",
        "_since",
        "_started",
        "_threads",
        "faults",
    )

    faults: list[Fault]
    """Configurations that reverted and invariants that did not hold."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._clock = Clock()
        self._events: dict[str, list[dict]] = defaultdict(list)
        self._own_events: list[dict] = []
        self._logical = 0
        self._revisions: dict[tuple[str, str], int] = {}
        self._since: dict[tuple[str, int], int] = {}
        self._started: dict[str, tuple[int, float]] = {}
        self.faults = []
        self._threads = [eventlet.spawn(self._watch, name) for name in fleet.routers]

    def stop(self) -> None:
        """Look at the routers no longer."""
        for thread in self._threads:
            thread.kill()

    def note(self, event: str, **fields: object) -> None:
        """Add what the run itself does to the time line.

        Args:
            event: Name of the event.
            **fields: What it is about.
        """
        head = {"logical": self._logical, "wall_ms": self._clock.wall_ms()}
        self._own_events.append({**head, "router": OWN_NAME, "event": event, **fields})

    def _watch(self, name: str) -> None:
        while True:
            self.look(name)
            eventlet.sleep(LOOK_S)

    def look(self, name: str) -> None:
        """Read a router's state and what is new in its time line.

        Args:
            name: The router.
        """
        status = self._fleet.status(name)
        if not status:
            return
        now_ms = self._clock.now_ms()
        incarnation = status["incarnation"]
        known, _ = self._started.get(name, (0, 0.0))
        if known != incarnation:
            self._started[name] = (incarnation, now_ms)
        self._judge(name, status, now_ms)
        self._read_timeline(name, incarnation)

    def _judge(self, name: str, status: dict, now_ms: float) -> None:
        wall_ms = self._clock.wall_ms()
        if status["invariant_violations"]:
            detail = f"{status['invariant_violations']} invariants did not hold"
            self.faults.append(Fault(BROKEN_INVARIANT, name, detail, wall_ms))
        is_new = now_ms - self._started[name][1] < START_GRACE_MS
        revisions = status["configuration"]
        keys = {key for router, key in self._revisions if router == name}
        for key in keys | {key for key in revisions if key.startswith(DOCUMENTS)}:
            seen = self._revisions.get((name, key), 0)
            revision = revisions.get(key, 0)
            if revision < seen and not is_new:
                detail = f"{key} fell from revision {seen} to {revision}"
                self.faults.append(Fault(REVERTED, name, detail, wall_ms))
            self._revisions[name, key] = max(seen, revision)

    def _read_timeline(self, name: str, incarnation: int) -> None:
        since = self._since.get((name, incarnation), 0)
        path = f"/timeline?since={since}"
        events = self._fleet.fetch("GET", self._fleet.routers[name].admin, path)
        if not isinstance(events, list) or not events:
            return
        self._events[name] += events
        newest = max(event["logical"] for event in events)
        self._since[name, incarnation] = newest
        self._logical = max(self._logical, newest)

    def render_between(self, from_wall_ms: float, until_wall_ms: float) -> str:
        """Return the merged time line of a span of time.

        Args:
            from_wall_ms: Its beginning, wall time.
            until_wall_ms: Its end, wall time.

        Returns:
            Lines for people.
        """
        events = merge_events([*self._events.values(), self._own_events])
        return render_text(
            event
            for event in events
            if from_wall_ms <= event["wall_ms"] <= until_wall_ms
        )
