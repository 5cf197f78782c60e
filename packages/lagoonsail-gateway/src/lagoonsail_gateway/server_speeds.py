"""Keeps the speed estimates of all servers up to date, from the answers of all routers.

Each router adds the evidence of its own answers to the counters that digests carry, and
estimates the speeds from the totals. No router waits for another: without digests the
estimates rest on the router's own answers.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from statistics import fmean
from typing import TYPE_CHECKING

from lagoonsail_core.durations import DurationHistogram
from lagoonsail_sharing.first_token import BATCH_MS_PER_REQUEST
from lagoonsail_sharing.server_load import PlainLoad, choose_plain, queue_rounds
from lagoonsail_sharing.server_speed import (
    DEFAULT_ANSWER_MS,
    DEFAULT_TOKENS_PER_MS,
    SERVICE_STEP,
    Numbers,
    SpeedEvidence,
    decode_evidence,
    estimate_servers,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from lagoonsail_gateway.fleet_counts import FleetCounts
    from lagoonsail_gateway.server_state import ServerState
    from lagoonsail_router.context import RouterContext
    from lagoonsail_sharing.server_load import LoadReport

KEY_PREFIX = "speed/"
"""Prefix of the keys of the evidence; the id of the server follows."""
ESTIMATE_INTERVAL_MS = 400.0
"""Interval between estimates of the speeds. Slowdowns are smoothed at each update."""
HELD_UNIT_TOKENS = 64
"""Resolution of the memory in use that digests carry, in tokens."""
NETWORK_MS = 2.0
"""Time of an answer that does not depend on the speed of its server."""
MIN_REFUSALS = 0.2
"""Decayed sum of refusals below which a server counts as having room again."""
MIN_SLOWDOWN = 0.1
"""Deviation of a reported slowdown from 1 from which the servers of its service count
as uneven, so that their speeds are learned. Where no host is shared, servers are alike,
and estimates would only add noise to the choice between them."""
LOGGED_CHANGE = 0.3
"""Change of the logarithm of a speed, since the last log line, that is logged."""
LOG_INTERVAL_MS = 2000.0
"""Minimum interval between log lines on the speed of one server."""


class ServerSpeeds:
    """Speeds of all services and servers."""

    __slots__ = (
        "_context",
        "_counts",
        "_estimated_ms",
        "_logged",
        "_own_domain",
        "_services",
        "_uneven_services",
        "lateness",
        "on_refusal",
    )

    lateness: DurationHistogram
    """Time by which the first parts of answers came later than expected."""
    on_refusal: Callable[[ServerState], None]
    """Called when a server refused a request for want of room."""

    def __init__(
        self, context: RouterContext, counts: FleetCounts, own_domain: str
    ) -> None:
        """Start without evidence.

        Args:
            context: Clock, counters and timeline.
            counts: Counters that are summed over all routers.
            own_domain: Failure domain of this router, empty if there are none.
        """
        self._context = context
        self._counts = counts
        self._estimated_ms = -math.inf
        self._logged: dict[str, tuple[float, float]] = {}
        self._own_domain = own_domain
        self._services: dict[str, float] = {}
        self._uneven_services: set[str] = set()
        self.lateness = DurationHistogram()
        self.on_refusal = lambda _state: None

    def is_learned(self, service: str) -> bool:
        """Return whether the speeds of a service's servers are learned.

        Args:
            service: Name of the service.
        """
        return service in self._uneven_services

    def service_factor(self, service: str) -> float:
        """Return the speed of the median server of a service, relative to the default.

        Args:
            service: Name of the service.
        """
        return math.exp(self._services.get(service, 0.0))

    def start_timing(
        self, state: ServerState, unread_tokens: int
    ) -> Callable[[float], None]:
        """Return a function that records the time until the first part of an answer.

        Args:
            state: The server, without the request.
            unread_tokens: Prompt tokens of the request that are not in its cache.

        Returns:
            The function, which takes the time in ms.
        """
        clock = self._context.clock
        expected_ms = expected_delay_ms(state, unread_tokens, clock.now_ms())
        work_ms = DEFAULT_ANSWER_MS
        if state.load.cache.capacity_tokens:
            work_ms = unread_tokens / DEFAULT_TOKENS_PER_MS

        def record(observed_ms: float) -> None:
            self.lateness.add(max(0.0, observed_ms - expected_ms))
            state.speed.own.add_done(work_ms, clock.now_ms())

        return record

    def record_report(self, state: ServerState, report: LoadReport) -> None:
        """Record the load that a server reports.

        Args:
            state: The server.
            report: The report.
        """
        now_ms = self._context.clock.now_ms()
        state.reported.record(report, state.load.running, now_ms)
        kind = "plain" if report.slowdown is None else "slowdown"
        self._context.count("load_reports_total", kind)
        if report.slowdown is not None:
            state.speed.own.add_slowdown(report.slowdown, now_ms)
            self._update_slowdown(state, self._evidence(state, now_ms), now_ms)

    def record_refusal(self, state: ServerState) -> None:
        """Record that a server refused a request for want of room.

        Args:
            state: The server.
        """
        now_ms = self._context.clock.now_ms()
        state.speed.own.add_refusal(now_ms)
        self._context.count("server_refusals_total", state.server.record.service)
        self._evidence(state, now_ms)
        self.on_refusal(state)

    def update(self, states: Iterable[ServerState]) -> None:
        """Publish this router's evidence and update the estimates.

        Args:
            states: The states of all servers.
        """
        now_ms = self._context.clock.now_ms()
        is_due = now_ms - self._estimated_ms >= ESTIMATE_INTERVAL_MS
        by_service = defaultdict(list)
        for state in states:
            evidence = self._evidence(state, now_ms)
            state.speed.busy.sample(_busy_level(state), now_ms)
            if is_due:
                state.speed.busy.add_throughput(evidence)
                service = state.server.record.service
                by_service[service].append((state, evidence))
            elif evidence.reports:
                self._update_slowdown(state, evidence, now_ms)
        if is_due:
            self._estimated_ms = now_ms
            for service, rows in by_service.items():
                self._estimate(service, rows, now_ms)

    def remove(self, server_id: str) -> None:
        """Forget a server that has left or restarted.

        Args:
            server_id: Id of the server.
        """
        self._counts.remove(KEY_PREFIX + server_id)
        self._logged.pop(server_id, None)

    def choose_plain_server(self, states: Collection[ServerState]) -> ServerState:
        """Return the server for a request without a prompt.

        Args:
            states: The servers that may get it, at least one.
        """
        now_ms = self._context.clock.now_ms()
        # Servers of one service usually have the same number of slots.
        usual_slots = max(1, *(state.reported.slots for state in states))
        loads = [self._plain_load(state, usual_slots, now_ms) for state in states]
        return list(states)[choose_plain(loads, random.random)]

    def _plain_load(
        self, state: ServerState, usual_slots: int, now_ms: float
    ) -> PlainLoad:
        load = state.load
        return PlainLoad(
            _requests_there(state, now_ms),
            load.others_running,
            state.reported.slots or usual_slots,
            DEFAULT_ANSWER_MS / state.speed.factor,
            not self._own_domain or load.failure_domain == self._own_domain,
        )

    def _evidence(self, state: ServerState, now_ms: float) -> SpeedEvidence:
        """Publish this router's evidence of a server, and return that of all routers.

        The memory that its requests take there is published together with it.
        """
        key = KEY_PREFIX + state.server.record.server_id
        held = state.load.held_tokens // HELD_UNIT_TOKENS
        own: Numbers = (*state.speed.own.at(now_ms).encode(), held)
        if any(own):
            self._counts.put(key, own)
        else:
            self._counts.remove(key)
        total = self._counts.total(key)
        held_total = total[len(own) - 1] if len(total) >= len(own) else 0
        state.load.others_held_tokens = max(0, held_total - held) * HELD_UNIT_TOKENS
        evidence = decode_evidence(total)
        is_refusing = evidence.refusals >= MIN_REFUSALS
        state.load.refusals = evidence.refusals if is_refusing else 0.0
        return evidence

    def _estimate(
        self,
        service: str,
        rows: list[tuple[ServerState, SpeedEvidence]],
        now_ms: float,
    ) -> None:
        evidences = [evidence for _, evidence in rows]
        if not self._is_uneven(service, evidences):
            return
        relatives = estimate_servers(evidences, 0.0)
        # The mean server has the default speed: a fixed part of the time to a first
        # token would make the whole service seem slower than it is.
        estimate = -math.log(fmean(map(math.exp, relatives)))
        used = self._services.get(service, 0.0)
        if abs(estimate - used) < SERVICE_STEP:
            estimate = used
        self._services[service] = estimate
        if estimate != used:
            self._context.timeline.record(
                "service_speed", service=service, factor=round(math.exp(estimate), 2)
            )
        for (state, evidence), relative in zip(rows, relatives, strict=True):
            state.speed.update_slowdown(evidence, now_ms)
            state.speed.update_factor(estimate, relative)
            _apply_factor(state)
            self._log_change(state, now_ms)

    def _is_uneven(self, service: str, evidences: list[SpeedEvidence]) -> bool:
        """Return whether a server of a service has reported a slowdown of its host."""
        if service not in self._uneven_services and any(map(_is_slowed, evidences)):
            self._uneven_services.add(service)
        return service in self._uneven_services

    def _update_slowdown(
        self, state: ServerState, evidence: SpeedEvidence, now_ms: float
    ) -> None:
        service = self._services.get(state.server.record.service, 0.0)
        state.speed.update_slowdown(evidence, now_ms)
        state.speed.update_factor(service, state.speed.relative)
        _apply_factor(state)

    def _log_change(self, state: ServerState, now_ms: float) -> None:
        server_id = state.server.record.server_id
        logged, logged_ms = self._logged.get(server_id, (0.0, -math.inf))
        relative = state.speed.relative
        is_change = abs(relative - logged) >= LOGGED_CHANGE
        if not is_change or now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        self._logged[server_id] = (relative, now_ms)
        self._context.timeline.record(
            "server_speed",
            server=server_id,
            relative=round(math.exp(relative), 2),
            tokens_per_ms=round(state.load.tokens_per_ms, 1),
            slowdown=round(state.speed.slowdown, 2),
        )


def expected_delay_ms(
    state: ServerState, unread_tokens: int, now_ms: float, usual_slots: int = 0
) -> float:
    """Return the expected time until the first part of the answer to a request.

    Args:
        state: The server, without the request.
        unread_tokens: Prompt tokens of the request that are not in its cache.
        now_ms: The time.
        usual_slots: Slots of a plain server that has reported none; 0 if unknown, so
            that no queue is expected there.
    """
    load = state.load
    if load.cache.capacity_tokens:
        prefill_ms = load.queue_ms() + unread_tokens / load.tokens_per_ms
        return NETWORK_MS + BATCH_MS_PER_REQUEST * load.total_running() + prefill_ms
    answer_ms = DEFAULT_ANSWER_MS / state.speed.factor
    slots = state.reported.slots or usual_slots
    if slots:
        answer_ms *= queue_rounds(_requests_there(state, now_ms), slots)
    return NETWORK_MS + answer_ms


def _requests_there(state: ServerState, now_ms: float) -> float:
    load = state.load
    return state.reported.requests_there(load.running, load.others_running, now_ms)


def _busy_level(state: ServerState) -> int:
    """Return the number of requests on which a server works at once, as known."""
    load = state.load
    if load.cache.capacity_tokens:
        return int(load.pending_tokens + load.others_pending_tokens > 0)
    running = load.total_running()
    return min(running, state.reported.slots) if state.reported.slots else running


def _is_slowed(evidence: SpeedEvidence) -> bool:
    """Return whether a server reports that its host is not as fast as usual."""
    if not evidence.reports:
        return False
    return abs(evidence.slowdown_total / evidence.reports - 1.0) > MIN_SLOWDOWN


def _apply_factor(state: ServerState) -> None:
    state.load.tokens_per_ms = DEFAULT_TOKENS_PER_MS * state.speed.factor
