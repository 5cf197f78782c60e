"""Judges a run of the laboratory by what callers got and what servers ran.

The routers' own word is not asked. Every check returns faults, none if all is well.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_lab.call_record import RAN_LOST, RAN_NO, RAN_UNKNOWN

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_lab.call_record import Attempt, CallRecord

LOST = "lost"
"""A call without an answer that says what became of it."""
RAN_TWICE = "ran_twice"
"""A call that may not be repeated ran more than once."""
RAN_AFTER_ALL = "ran_after_all"
"""The caller was told that nothing ran, but it did."""
NOT_OWN = "not_own"
"""An answer that passed as whole is not the whole answer of the call."""
OVERLOADED = "overloaded"
"""A cold server fell over."""
RAN_WHILE_OUT = "ran_while_out"
"""A server got new work after it was taken out."""
CUT = "cut"
"""A planned stop cut a request."""
UNCLEAN_EXIT = "unclean_exit"
"""A router ended with an exit code that nobody asked for."""
BROKEN_INVARIANT = "broken_invariant"
"""An invariant of a router did not hold."""
REVERTED = "reverted"
"""An accepted configuration was replaced by an older one, or got lost."""
NOT_IN_FORCE = "not_in_force"
"""A router did not show the newest configuration in time."""
NOT_SERVED = "not_served"
"""Calls were not served in time after all faults had ended."""

REFUSED_STATE = "refused"
"""State of a run of which the server did nothing."""
WHOLE_STATE = "whole"
"""State of a run whose answer the server handed over whole."""
BROKEN_STATE = "broken"
"""State of a run that the server broke off."""
EXIT_NOTICE_MS = 300.0
"""Time in which a caller notices that a router's process has ended."""


@dataclass(slots=True)
class Fault:
    """One thing that must not happen and did."""

    kind: str
    """One of the constants of this module."""
    subject: str
    """Request, idempotency key or server."""
    detail: str
    """What was seen."""
    wall_ms: float = 0.0
    """When it was seen, wall time; 0 if that is not known."""
    since_wall_ms: float = 0.0
    """When what led to it began, wall time; 0 if that is the same moment."""


@dataclass(slots=True)
class Outage:
    """A time in which backend servers were out on an operator's order."""

    servers: frozenset[str]
    """Qualified names of the servers."""
    from_wall_ms: float
    """When they were taken out, wall time."""
    until_wall_ms: float
    """When they were brought back, wall time; infinite if never."""


@dataclass(slots=True)
class Kill:
    """The sudden end of a router, which excuses the answers that it was giving."""

    router: str
    """Name of the router."""
    wall_ms: float
    """When it was killed, wall time."""
    ended_wall_ms: float = 0.0
    """When its process had ended, wall time; 0 if that was in the same moment."""


@dataclass(slots=True)
class ColdTurn:
    """A warm server that turned cold or restarted with requests running."""

    server: str
    """Qualified name of the server."""
    wall_ms: float
    """When it was, wall time."""


@dataclass(slots=True)
class PlannedStop:
    """A planned stop of a router."""

    router: str
    """Name of the router."""
    from_wall_ms: float
    """When it was told to stop, wall time."""
    until_wall_ms: float
    """When its process had ended, wall time."""
    exit_code: int | None
    """Exit code of its process."""


def check_nothing_lost(
    records: Iterable[CallRecord], kills: Iterable[Kill] = ()
) -> list[Fault]:
    """Find calls without an answer that says what became of them.

    Args:
        records: All calls, after all callers have ended.
        kills: Routers that were killed; an attempt there at that time is excused.

    Returns:
        The faults.
    """
    kills = list(kills)
    faults = []
    for record in records:
        if not record.attempts:
            faults.append(Fault(LOST, record.call.path, "the call has not begun"))
        for attempt in record.attempts:
            faults += _fault_if_lost(attempt, kills)
    return faults


def _fault_if_lost(attempt: Attempt, kills: list[Kill]) -> list[Fault]:
    if not attempt.ended_wall_ms:
        detail = f"the call at {attempt.router} has not ended"
        return [Fault(LOST, attempt.request_id, detail, attempt.started_wall_ms)]
    if attempt.ran != RAN_LOST or _is_excused(attempt, kills):
        return []
    detail = f"status {attempt.status} from {attempt.router}: {attempt.reason}"
    return [Fault(LOST, attempt.request_id, detail, attempt.ended_wall_ms)]


def _is_excused(attempt: Attempt, kills: list[Kill]) -> bool:
    return any(
        kill.router == attempt.router
        and attempt.started_wall_ms <= max(kill.wall_ms, kill.ended_wall_ms)
        and kill.wall_ms <= attempt.ended_wall_ms
        for kill in kills
    )


def check_ran_once(
    records: Iterable[CallRecord], servers: dict[str, dict]
) -> list[Fault]:
    """Find calls that may not be repeated and ran more than once.

    Calls with an idempotency key are counted by the key over all their attempts,
    those without by each attempt's request.

    Args:
        records: All calls.
        servers: Record of each backend server by qualified name.

    Returns:
        The faults.
    """
    by_request = _runs_by_request(servers)
    by_key = defaultdict(list)
    for name, run in _runs(servers):
        if run["idempotency_key"] and run["state"] != REFUSED_STATE:
            by_key[run["idempotency_key"]].append((name, run))
    faults = []
    for record in records:
        if record.call.is_repeatable:
            continue
        key = record.call.idempotency_key
        if key:
            faults += _fault_if_twice(key, by_key[key])
            continue
        for attempt in record.attempts:
            runs = by_request[attempt.request_id]
            faults += _fault_if_twice(attempt.request_id, runs)
    return faults


def _fault_if_twice(subject: str, runs: list[tuple[str, dict]]) -> list[Fault]:
    if len(runs) <= 1:
        return []
    names = " ".join(name for name, _ in runs)
    last_ms = max(run["started_wall_ms"] for _, run in runs)
    return [Fault(RAN_TWICE, subject, f"ran on {names}", last_ms)]


def check_not_run(
    records: Iterable[CallRecord], servers: dict[str, dict]
) -> list[Fault]:
    """Find attempts that ran although the caller was told that nothing ran.

    Args:
        records: All calls.
        servers: Record of each backend server by qualified name.

    Returns:
        The faults.
    """
    by_request = _runs_by_request(servers)
    return [
        Fault(
            RAN_AFTER_ALL,
            attempt.request_id,
            f"{run['state']} on {name}, told {attempt.status} by {attempt.router}: "
            f"{attempt.reason}",
            run["started_wall_ms"],
        )
        for record in records
        for attempt in record.attempts
        if attempt.ran == RAN_NO
        for name, run in by_request[attempt.request_id]
    ]


def check_answers(
    records: Iterable[CallRecord], servers: dict[str, dict]
) -> list[Fault]:
    """Find answers that passed as whole and are not the call's own whole answer.

    A whole answer must also have a run that its server handed over whole.

    Args:
        records: All calls.
        servers: Record of each backend server by qualified name; all must be there.

    Returns:
        The faults.
    """
    by_request = _runs_by_request(servers)
    faults = []
    for record in records:
        for attempt in record.attempts:
            if attempt.status != 200 or attempt.ran:
                continue
            if attempt.reason:
                faults.append(_not_own(attempt, attempt.reason))
                continue
            states = [run["state"] for _, run in by_request[attempt.request_id]]
            if WHOLE_STATE not in states:
                detail = f"no server handed it over whole, but {states}"
                faults.append(_not_own(attempt, detail))
    return faults


def _not_own(attempt: Attempt, detail: str) -> Fault:
    return Fault(NOT_OWN, attempt.request_id, detail, attempt.ended_wall_ms)


def check_cold_servers(
    servers: dict[str, dict],
    cold_slots: int = 1,
    turns: Iterable[ColdTurn] = (),
    detection_ms: float = 0.0,
) -> list[Fault]:
    """Find servers that fell over because they were hurried while cold.

    Args:
        servers: Record of each backend server by qualified name.
        cold_slots: Requests that a cold server bears.
        turns: Warm servers that turned cold; nobody can know it at once.
        detection_ms: Time after a turn in which falling over is excused.

    Returns:
        The faults.
    """
    turns = list(turns)
    faults = []
    for name, record in servers.items():
        moments = _overload_moments(record, cold_slots)
        if len(moments) != record["overloads"]:
            detail = f"{record['overloads']} times, of which {len(moments)} are seen"
            faults.append(Fault(OVERLOADED, name, detail))
        for wall_ms in moments:
            since = [wall_ms - t.wall_ms for t in turns if t.server == name]
            if any(0 <= since_ms <= detection_ms for since_ms in since):
                continue
            last_ms = min((ms for ms in since if ms >= 0), default=None)
            detail = f"last turned cold {last_ms} ms before"
            faults.append(Fault(OVERLOADED, name, detail, wall_ms))
    return faults


def _overload_moments(record: dict, cold_slots: int) -> list[float]:
    # The request that makes a server fall over is broken at once.
    return [
        run["ended_wall_ms"]
        for run in record["runs"]
        if run["cold"]
        and run["running_at_start"] > cold_slots
        and run["state"] != REFUSED_STATE
    ]


def check_planned_stops(
    records: Iterable[CallRecord],
    servers: dict[str, dict],
    stops: Iterable[PlannedStop],
) -> list[Fault]:
    """Find planned stops that cut a request or ended with another code than 0.

    Args:
        records: All calls.
        servers: Record of each backend server by qualified name.
        stops: The planned stops.

    Returns:
        The faults.
    """
    by_request = _runs_by_request(servers)
    attempts = [a for record in records for a in record.attempts]
    faults = []
    for stop in stops:
        if stop.exit_code != 0:
            detail = f"a planned stop ended with {stop.exit_code}"
            faults.append(Fault(UNCLEAN_EXIT, stop.router, detail, stop.until_wall_ms))
        for attempt in attempts:
            if not _is_cut_by(attempt, stop):
                continue
            runs = [run for _, run in by_request[attempt.request_id]]
            if any(run["state"] == BROKEN_STATE for run in runs):
                # The server broke the answer, not the router.
                continue
            detail = f"at {stop.router}: {attempt.reason}"
            faults.append(Fault(CUT, attempt.request_id, detail, attempt.ended_wall_ms))
    return faults


def _is_cut_by(attempt: Attempt, stop: PlannedStop) -> bool:
    return (
        attempt.router == stop.router
        and attempt.status == 200
        and attempt.ran == RAN_UNKNOWN
        and attempt.started_wall_ms <= stop.until_wall_ms
        and attempt.ended_wall_ms >= stop.from_wall_ms
        and attempt.ended_wall_ms <= stop.until_wall_ms + EXIT_NOTICE_MS
    )


def check_outages(
    servers: dict[str, dict], outages: Iterable[Outage], within_ms: float
) -> list[Fault]:
    """Find new work that came to a server later than allowed after it was taken out.

    Args:
        servers: Record of each backend server by qualified name.
        outages: When which servers were out.
        within_ms: Time after which no new work may come, milliseconds.

    Returns:
        The faults.
    """
    faults = []
    for outage in outages:
        for name, run in _runs(servers):
            since_ms = run["started_wall_ms"] - outage.from_wall_ms
            is_out = run["started_wall_ms"] < outage.until_wall_ms
            if name in outage.servers and is_out and since_ms > within_ms:
                detail = f"{run['request_id']} came {since_ms:.0f} ms after"
                faults.append(
                    Fault(RAN_WHILE_OUT, name, detail, run["started_wall_ms"])
                )
    return faults


def last_new_work_ms(servers: dict[str, dict], outage: Outage) -> float:
    """Return how long after an outage began the last new work came.

    Args:
        servers: Record of each backend server by qualified name.
        outage: The outage.

    Returns:
        Milliseconds; negative if none came during the outage.
    """
    times = [
        run["started_wall_ms"] - outage.from_wall_ms
        for name, run in _runs(servers)
        if name in outage.servers and run["started_wall_ms"] < outage.until_wall_ms
    ]
    return max(times, default=-1.0)


def check_all(
    records: list[CallRecord],
    servers: dict[str, dict],
    outages: Iterable[Outage] = (),
    within_ms: float = 1000.0,
    kills: Iterable[Kill] = (),
    turns: Iterable[ColdTurn] = (),
    detection_ms: float = 0.0,
    stops: Iterable[PlannedStop] = (),
    cold_slots: int = 1,
) -> list[Fault]:
    """Run all checks.

    Args:
        records: All calls, after all callers have ended.
        servers: Record of each backend server by qualified name; all must be there.
        outages: When which servers were out.
        within_ms: Time after which no new work may come to them, milliseconds.
        kills: Routers that were killed.
        turns: Warm servers that turned cold.
        detection_ms: Time after a turn in which falling over is excused.
        stops: Planned stops of routers.
        cold_slots: Requests that a cold server bears.

    Returns:
        The faults.
    """
    return [
        *check_nothing_lost(records, kills),
        *check_ran_once(records, servers),
        *check_not_run(records, servers),
        *check_answers(records, servers),
        *check_cold_servers(servers, cold_slots, turns, detection_ms),
        *check_outages(servers, outages, within_ms),
        *check_planned_stops(records, servers, stops),
    ]


def _runs(servers: dict[str, dict]) -> Iterable[tuple[str, dict]]:
    for name, record in servers.items():
        for run in record["runs"]:
            yield name, run


def _runs_by_request(servers: dict[str, dict]) -> dict[str, list[tuple[str, dict]]]:
    by_request = defaultdict(list)
    for name, run in _runs(servers):
        if run["state"] != REFUSED_STATE:
            by_request[run["request_id"]].append((name, run))
    return by_request
