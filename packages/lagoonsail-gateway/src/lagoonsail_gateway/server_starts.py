"""The backend servers in slow start: which they are, and their limits here.

A server enters slow start when it joins while traffic runs, restarts, is marked cold,
or is trusted again after a suspension. Servers that were there when the router started
do not. A router joins the slow start that many others report, as one that has restarted
must. The limits are those of `start_pace`; the evidence travels in the counters of
digests.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from dataclasses import dataclass
from statistics import fmean
from typing import TYPE_CHECKING

from lagoonsail_gateway.server_speeds import expected_delay_ms
from lagoonsail_sharing.start_evidence import (
    LATE_FACTOR,
    StartEvidence,
    decode_evidence,
    is_in_time,
)
from lagoonsail_sharing.start_pace import StartPace, initial_limit

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.manifest import Engine
    from lagoonsail_gateway.server_directory import Server, ServerDirectory
    from lagoonsail_gateway.server_state import ServerState, ServerStates
    from lagoonsail_router.context import RouterContext

KEY_PREFIX = "start/"
"""Prefix of the keys of the evidence; id and start time of the server follow."""
FLEET_START_MS = 5000.0
"""Time after the first list of servers in which those that join do not count as
starting: the whole system may be starting."""
DEFAULT_SLOTS = 8
"""Slots of a server as long as neither it nor the configuration states them."""
ENDED_REPORT_MS = 3000.0
"""Time for which the end of a slow start is reported to the other routers."""
ADOPTION_FRACTION = 0.25
"""Fraction of the routers that must report a slow start for this router to join it. A
server that few routers had suspended works for the others."""
DEMAND_DECAY = 0.9
"""Factor of the counted demand at each update."""
DEMAND_UNIT = 10.0
"""Resolution of the demand that digests carry, per request."""
USUAL_WEIGHT = 0.1
"""Weight of the newest answer in the mean by which answers come late."""
MIN_USUAL_ANSWERS = 3
"""Answers of other servers from which that is known. Until then an answer is late only
beyond its caller's objective."""
MAX_HELD_FRACTION = 0.2
"""Fraction of the servers of a service from which requests may be held off. If more
have started at once, the others would get more than they can do."""
MAX_REMEMBERED = 256
"""Servers that left, remembered to recognise them when they register again."""


@dataclass(slots=True, frozen=True)
class StartedServers:
    """The servers of a service that are not in slow start."""

    mean_running: float
    """Mean number of requests that run at one, of all routers."""
    are_full: bool
    """Whether all of them are full."""


@dataclass(slots=True)
class UsualExcess:
    """Time by which first parts of a service come later than expected.

    The speeds of a service may not be learned, and a fixed part of the time not be
    known: without this, every answer of its starting servers would be late.
    """

    mean_ms: float = 0.0
    """Moving mean over the servers that are not in slow start."""
    answers: int = 0
    """Answers that were counted."""

    def add(self, excess_ms: float) -> None:
        """Count an answer.

        Args:
            excess_ms: Time by which it was later than expected.
        """
        self.answers += 1
        weight = max(USUAL_WEIGHT, 1.0 / self.answers)
        self.mean_ms += weight * (excess_ms - self.mean_ms)


class ServerStarts:
    """Slow start of all servers, at one router."""

    __slots__ = (
        "_context",
        "_counts",
        "_demand",
        "_directory",
        "_ended",
        "_find_engine",
        "_former",
        "_is_speed_known",
        "_paces",
        "_routers",
        "_states",
        "_usual",
    )

    def __init__(
        self,
        context: RouterContext,
        directory: ServerDirectory,
        routers: FleetMembers,
        counts: FleetCounts,
        states: ServerStates,
        find_engine: Callable[[str], Engine | None],
        is_speed_known: Callable[[str], bool] = lambda _service: True,
    ) -> None:
        """Create without servers in slow start.

        Args:
            context: Clock, counters and timeline.
            directory: The servers.
            routers: The routers, among which limits are divided.
            counts: Counters that are summed over all routers.
            states: What is known of the servers.
            find_engine: Returns the engine properties of a service, None if it runs no
                language model.
            is_speed_known: Returns whether the speeds of a service are learned. Without
                them it is not known which answers are late, and its servers start
                without a limit.
        """
        self._context = context
        self._directory = directory
        self._routers = routers
        self._counts = counts
        self._states = states
        self._find_engine = find_engine
        self._is_speed_known = is_speed_known
        self._paces: dict[str, StartPace] = {}
        self._ended: dict[str, float] = {}
        self._demand: dict[str, float] = defaultdict(float)
        self._usual: dict[str, UsualExcess] = defaultdict(UsualExcess)
        self._former: deque[tuple[str, int]] = deque(maxlen=MAX_REMEMBERED)

    def has_any(self) -> bool:
        """Return whether any server is in slow start."""
        return bool(self._paces)

    def count(self) -> int:
        """Return the number of servers in slow start."""
        return len(self._paces)

    def find(self, server_id: str) -> StartPace | None:
        """Return the slow start of a server, None if it is not in slow start.

        Args:
            server_id: Id of the server.
        """
        return self._paces.get(server_id)

    def apply_change(self, kind: str, server: Server) -> None:
        """Apply a change of the directory.

        Args:
            kind: Kind of the change; see `ServerDirectory.subscribe`.
            server: The server.
        """
        record = server.record
        if kind in ("left", "restarted"):
            self._forget(record.server_id)
        if kind == "left":
            self._former.append(record.incarnation())
        is_cold = record.cold_left_ms > 0.0
        if kind == "restarted":
            self._begin(server, kind)
        elif kind == "joined" and self._is_after_fleet_start():
            if is_cold or record.incarnation() not in self._former:
                self._begin(server, kind)
        elif kind == "changed" and is_cold and not server.was_cold:
            self._begin(server, "cold")

    def begin_after_suspension(self, server: Server) -> None:
        """Begin slow start of a server that is trusted again.

        Args:
            server: The server.
        """
        # Other routers may have gone on to use it.
        running = self._states.others_running(server.record.server_id)
        limit = max(initial_limit(self._slots(server)), float(running))
        self._begin(server, "recovered", limit)

    def within_limits(
        self, service: str, states: list[ServerState]
    ) -> list[ServerState]:
        """Return the servers that may get a request now.

        If there are too few others, all of them may: a service is not refused for slow
        start, and the others do not get the load of many servers that start at once.

        Args:
            service: Their service.
            states: The servers, at least one.
        """
        self._demand[service] += 1.0
        free, held = [], []
        for state in states:
            pace = self._paces.get(state.server.record.server_id)
            is_held = pace is not None and pace.permits <= 0
            (held if is_held else free).append(state)
        if not held:
            return free
        is_most = len(held) > max(1.0, MAX_HELD_FRACTION * len(states))
        if not free or is_most:
            self._context.count("start_waived_total", service)
            return states
        for state in held:
            self._paces[state.server.record.server_id].held += 1
        self._context.count("start_held_total", service)
        return free

    def start_request(
        self,
        state: ServerState,
        unread_tokens: int,
        objective_ms: float,
        on_first_part: Callable[[float], None],
    ) -> Callable[[float], None]:
        """Note that a request is sent while servers are in slow start.

        Answers of the other servers show how late those of the service usually are.

        Args:
            state: The server, without the request.
            unread_tokens: Prompt tokens of the request that are not in its cache.
            objective_ms: Time in which its caller wants the first part.
            on_first_part: Called with the time in ms until the first part of the
                answer.

        Returns:
            The function to be called then instead.
        """
        record = state.server.record
        pace = self._paces.get(record.server_id)
        sent_ms = self._context.clock.now_ms()
        expected_ms = expected_delay_ms(state, unread_tokens, sent_ms, DEFAULT_SLOTS)
        usual = self._usual[record.service]
        if pace is None:

            def record_usual(observed_ms: float) -> None:
                usual.add(observed_ms - expected_ms)
                on_first_part(observed_ms)

            return record_usual
        expected_ms += max(0.0, usual.mean_ms)
        if usual.answers < MIN_USUAL_ANSWERS:
            expected_ms = max(expected_ms, objective_ms / LATE_FACTOR)
        pace.permits -= 1
        is_at_limit = pace.is_at_limit(state.load.total_running() + 1)
        is_engine = state.load.cache.capacity_tokens > 0

        def record_answer(observed_ms: float) -> None:
            pace.record_answer(
                sent_ms, is_in_time(observed_ms, expected_ms), is_at_limit
            )
            if not is_engine:
                # An answer of a plain server ends soon after its first part.
                pace.permits += 1
            on_first_part(observed_ms)

        return record_answer

    def record_failure(self, state: ServerState, sent_ms: float) -> None:
        """Record that a request failed at a server.

        Args:
            state: The server.
            sent_ms: When the request was sent.
        """
        pace = self._current(state)
        if pace is not None:
            pace.record_failure(sent_ms)

    def record_refusal(self, state: ServerState) -> None:
        """Record that a server refused a request for want of room.

        Args:
            state: The server.
        """
        pace = self._current(state)
        if pace is not None:
            pace.record_refusal()

    def update(self) -> None:
        """Exchange evidence with the other routers, adapt the limits, grant permits."""
        now_ms = self._context.clock.now_ms()
        for key, ended_ms in list(self._ended.items()):
            if now_ms - ended_ms >= ENDED_REPORT_MS:
                del self._ended[key]
                self._counts.remove(key)
        for key in self._counts.reported_keys(KEY_PREFIX):
            self._adopt(key, now_ms)
        if not self._paces:
            self._demand.clear()
            return
        peers = self._started_servers()
        for server_id, pace in list(self._paces.items()):
            server = self._directory.find(server_id)
            if server is not None:
                self._update(server, pace, peers.get(server.record.service), now_ms)
        for service in self._demand:
            self._demand[service] *= DEMAND_DECAY

    def _update(
        self,
        server: Server,
        pace: StartPace,
        peers: StartedServers | None,
        now_ms: float,
    ) -> None:
        record = server.record
        key = _key(server)
        pace.slots = self._slots(server)
        demand = round(DEMAND_UNIT * self._demand.get(record.service, 0.0))
        self._counts.put(key, pace.evidence(demand).encode())
        totals = decode_evidence(self._counts.total(key))
        routers = self._routers.count()
        pace.update(now_ms, totals, routers)
        state = self._states.find(record.server_id)
        own_running = state.load.running if state else 0
        others_running = self._states.others_running(record.server_id)
        if not self._directory.is_cold(server) and pace.is_done(
            now_ms,
            totals,
            own_running + others_running,
            peers.mean_running if peers else None,
        ):
            self._end(server, pace, now_ms)
            return
        pace.grant(
            now_ms,
            totals,
            own_running,
            others_running,
            routers,
            lambda total: self._routers.quota_of(total, record.server_id),
            random.random(),
            are_others_full=peers is not None and peers.are_full,
        )

    def _begin(self, server: Server, reason: str, limit: float | None = None) -> None:
        if not self._is_speed_known(server.record.service):
            return
        server_id = server.record.server_id
        now_ms = self._context.clock.now_ms()
        key = _key(server)
        pace = self._paces.get(server_id)
        if pace is not None:
            pace.restart(now_ms, reason, limit)
        else:
            self._ended.pop(key, None)
            self._counts.remove(key)
            seen = decode_evidence(self._counts.total(key))
            pace = StartPace(self._slots(server), now_ms, seen, limit)
            self._paces[server_id] = pace
            # Other routers begin now as well; until they report, quotas apply.
            pace.grant(
                now_ms,
                StartEvidence(),
                0,
                0,
                self._routers.count(),
                lambda total: self._routers.quota_of(total, server_id),
                random.random(),
            )
        self._context.timeline.record(
            "slow_start_began",
            server=server_id,
            service=server.record.service,
            reason=reason,
            limit=round(pace.limit, 1),
        )

    def _end(self, server: Server, pace: StartPace, now_ms: float) -> None:
        server_id = server.record.server_id
        key = _key(server)
        del self._paces[server_id]
        self._ended[key] = now_ms
        self._counts.put(key, pace.final_evidence().encode())
        self._context.timeline.record(
            "slow_start_ended",
            server=server_id,
            service=server.record.service,
            **pace.describe(now_ms),
        )

    def _adopt(self, key: str, now_ms: float) -> None:
        server_id, _, started_at = key[len(KEY_PREFIX) :].rpartition("/")
        if server_id in self._paces or key in self._ended:
            return
        server = self._directory.find(server_id)
        if server is None or str(server.record.started_at_ms) != started_at:
            return
        totals = decode_evidence(self._counts.total(key))
        needed = max(1.0, ADOPTION_FRACTION * self._routers.count())
        if totals.starting >= needed and totals.ended < totals.starting:
            self._begin(server, "reported", totals.limits / totals.starting)

    def _forget(self, server_id: str) -> None:
        self._paces.pop(server_id, None)
        prefix = f"{KEY_PREFIX}{server_id}/"
        for key in list(self._counts.own()):
            if key.startswith(prefix):
                self._counts.remove(key)
                self._ended.pop(key, None)

    def _current(self, state: ServerState) -> StartPace | None:
        """Return the slow start of this incarnation of a server, if there is one."""
        record = state.server.record
        pace = self._paces.get(record.server_id)
        if pace is None or self._directory.find(record.server_id) is not state.server:
            return None
        return pace

    def _is_after_fleet_start(self) -> bool:
        listed_ms = self._directory.listed_ms
        if listed_ms is None:
            return False
        return self._context.clock.now_ms() - listed_ms >= FLEET_START_MS

    def _slots(self, server: Server) -> int:
        engine = self._find_engine(server.record.service)
        if engine is not None:
            return engine.slots
        reported = (state.reported.slots for state in self._peers(server))
        return max(reported, default=0) or DEFAULT_SLOTS

    def _peers(self, server: Server) -> list[ServerState]:
        service = server.record.service
        return [s for s in self._states.all() if s.server.record.service == service]

    def _started_servers(self) -> dict[str, StartedServers]:
        """Return the usable servers that are not in slow start, by service."""
        states = defaultdict(list)
        for state in self._states.all():
            record = state.server.record
            is_peer = record.server_id not in self._paces
            if is_peer and self._directory.is_usable(state.server):
                states[record.service].append(state)
        return {
            service: StartedServers(
                fmean(state.load.total_running() for state in started),
                all(_is_full(state) for state in started),
            )
            for service, started in states.items()
        }


def _key(server: Server) -> str:
    return f"{KEY_PREFIX}{server.record.server_id}/{server.record.started_at_ms}"


def _is_full(state: ServerState) -> bool:
    load = state.load
    slots = load.slots or state.reported.slots
    return load.refusals > 0.0 or (0 < slots <= load.total_running())
