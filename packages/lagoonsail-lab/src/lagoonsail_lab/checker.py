"""Checks a run of the laboratory against the records of callers and servers.

The checks don't rely on what routers report. Each returns the faults it found.
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
"""A call received no answer that shows whether it ran."""
RAN_TWICE = "ran_twice"
"""A call that may not be repeated ran more than once."""
RAN_BUT_REPORTED_NOT_RUN = "ran_after_all"
"""A call ran although the caller was told that it did not."""
WRONG_ANSWER = "not_own"
"""An answer with status 200 is incomplete or belongs to another call."""
OVERLOADED = "overloaded"
"""A cold server was overloaded."""
RAN_WHILE_OUT = "ran_while_out"
"""A server received new work after it was taken out of service."""
INTERRUPTED = "cut"
"""A planned stop interrupted a request."""
UNCLEAN_EXIT = "unclean_exit"
"""A router ended with an unexpected exit code."""
BROKEN_INVARIANT = "broken_invariant"
"""A router reported an invariant violation."""
REVERTED = "reverted"
"""A router replaced an applied configuration by an older one, or lost it."""
NOT_IN_FORCE = "not_in_force"
"""A router did not apply the newest configuration in time."""
NOT_SERVED = "not_served"
"""Calls were not served in time after all injected faults had ended."""

REFUSED_STATE = "refused"
"""State of a run that the server rejected without executing it."""
WHOLE_STATE = "whole"
"""State of a run whose answer the server sent completely."""
BROKEN_STATE = "broken"
"""State of a run that the server aborted."""
EXIT_NOTICE_MS = 300.0
"""Time in which a caller notices that a router's process has ended, milliseconds."""


@dataclass(slots=True)
class Fault:
    """A violation of a guarantee that a check found."""

    kind: str
    """One of the constants of this module."""
    subject: str
    """Request id, idempotency key, server, router or account concerned."""
    detail: str
    """What was observed."""
    wall_ms: float = 0.0
    """When it was observed, wall time, milliseconds; 0 if unknown."""
    since_wall_ms: float = 0.0
    """When its cause began, wall time, milliseconds; 0 if at the same time."""


@dataclass(slots=True)
class Outage:
    """A period in which an operator had taken backend servers out of service."""

    servers: frozenset[str]
    """Qualified names of the servers."""
    from_wall_ms: float
    """When they were taken out, wall time, milliseconds."""
    until_wall_ms: float
    """When they were brought back, wall time, milliseconds; infinite if never."""


@dataclass(slots=True)
class Kill:
    """A kill of a router, which excuses lost answers at that time."""

    router: str
    """Name of the router."""
    wall_ms: float
    """When it was killed, wall time, milliseconds."""
    ended_wall_ms: float = 0.0
    """When its process had ended, wall time, milliseconds; 0 if at the same time."""


@dataclass(slots=True)
class ColdTransition:
    """A warm server became cold or restarted, possibly with requests running."""

    server: str
    """Qualified name of the server."""
    wall_ms: float
    """When it happened, wall time, milliseconds."""


@dataclass(slots=True)
class PlannedStop:
    """A planned stop of a router."""

    router: str
    """Name of the router."""
    from_wall_ms: float
    """When it was told to stop, wall time, milliseconds."""
    until_wall_ms: float
    """When its process had ended, wall time, milliseconds."""
    exit_code: int | None
    """Exit code of its process."""


def check_nothing_lost(
    records: Iterable[CallRecord], kills: Iterable[Kill] = ()
) -> list[Fault]:
    """Find calls without an answer that shows whether they ran.

    Args:
        records: All calls, after all callers have ended.
        kills: Kills of routers; attempts at that router and time are excused.

    Returns:
        The faults.
    """
    kills = list(kills)
    faults = []
    for record in records:
        if not record.attempts:
            faults.append(Fault(LOST, record.call.path, "the call has no attempt"))
        for attempt in record.attempts:
            faults += _check_lost(attempt, kills)
    return faults


def _check_lost(attempt: Attempt, kills: list[Kill]) -> list[Fault]:
    if not attempt.ended_wall_ms:
        detail = f"the attempt at {attempt.router} has not ended"
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

    Runs of a call with an idempotency key are counted over all its attempts, those of
    a call without key per attempt.

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
            faults += _check_run_once(key, by_key[key])
            continue
        for attempt in record.attempts:
            runs = by_request[attempt.request_id]
            faults += _check_run_once(attempt.request_id, runs)
    return faults


def _check_run_once(subject: str, runs: list[tuple[str, dict]]) -> list[Fault]:
    if len(runs) <= 1:
        return []
    names = " ".join(name for name, _ in runs)
    last_ms = max(run["started_wall_ms"] for _, run in runs)
    return [Fault(RAN_TWICE, subject, f"ran on {names}", last_ms)]


def check_not_run(
    records: Iterable[CallRecord], servers: dict[str, dict]
) -> list[Fault]:
    """Find attempts that ran although the caller was told that they did not.

    Args:
        records: All calls.
        servers: Record of each backend server by qualified name.

    Returns:
        The faults.
    """
    by_request = _runs_by_request(servers)
    return [
        Fault(
            RAN_BUT_REPORTED_NOT_RUN,
            attempt.request_id,
            f"{run['state']} on {name}, answered {attempt.status} by {attempt.router}: "
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
    """Find answers with status 200 that are incomplete or of another call.

    A complete answer also needs a run that a server has sent completely.

    Args:
        records: All calls.
        servers: Record of each backend server by qualified name; none may be missing.

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
                faults.append(_wrong_answer(attempt, attempt.reason))
                continue
            states = [run["state"] for _, run in by_request[attempt.request_id]]
            if WHOLE_STATE not in states:
                detail = f"no server sent it completely; states of its runs: {states}"
                faults.append(_wrong_answer(attempt, detail))
    return faults


def _wrong_answer(attempt: Attempt, detail: str) -> Fault:
    return Fault(WRONG_ANSWER, attempt.request_id, detail, attempt.ended_wall_ms)


def check_cold_servers(
    servers: dict[str, dict],
    cold_slots: int = 1,
    cold_transitions: Iterable[ColdTransition] = (),
    detection_ms: float = 0.0,
) -> list[Fault]:
    """Find servers that were overloaded while they were cold.

    Args:
        servers: Record of each backend server by qualified name.
        cold_slots: Concurrent requests that a cold server can handle.
        cold_transitions: Warm servers that became cold, which routers cannot detect
            at once.
        detection_ms: Time after such a transition in which an overload is excused,
            milliseconds.

    Returns:
        The faults.
    """
    cold_transitions = list(cold_transitions)
    faults = []
    for name, record in servers.items():
        times_ms = _overload_times_ms(record, cold_slots)
        if len(times_ms) != record["overloads"]:
            detail = (
                f"{record['overloads']} overloads, of which {len(times_ms)} in its runs"
            )
            faults.append(Fault(OVERLOADED, name, detail))
        for wall_ms in times_ms:
            since = [wall_ms - t.wall_ms for t in cold_transitions if t.server == name]
            if any(0 <= since_ms <= detection_ms for since_ms in since):
                continue
            last_ms = min((ms for ms in since if ms >= 0), default=None)
            detail = f"last became cold {last_ms} ms before"
            faults.append(Fault(OVERLOADED, name, detail, wall_ms))
    return faults


def _overload_times_ms(record: dict, cold_slots: int) -> list[float]:
    # The server aborts the request that overloads it immediately.
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
    """Find planned stops that interrupted a request or ended with a nonzero code.

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
            detail = f"a planned stop ended with exit code {stop.exit_code}"
            faults.append(Fault(UNCLEAN_EXIT, stop.router, detail, stop.until_wall_ms))
        for attempt in attempts:
            if not _is_interrupted_by(attempt, stop):
                continue
            runs = [run for _, run in by_request[attempt.request_id]]
            if any(run["state"] == BROKEN_STATE for run in runs):
                # The server aborted the answer, not the router.
                continue
            detail = f"at {stop.router}: {attempt.reason}"
            faults.append(
                Fault(INTERRUPTED, attempt.request_id, detail, attempt.ended_wall_ms)
            )
    return faults


def _is_interrupted_by(attempt: Attempt, stop: PlannedStop) -> bool:
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
    """Find new work that reached a server too long after it was taken out.

    Args:
        servers: Record of each backend server by qualified name.
        outages: Periods in which servers were out of service.
        within_ms: Time after which no new work may arrive, milliseconds.

    Returns:
        The faults.
    """
    faults = []
    for outage in outages:
        for name, run in _runs(servers):
            since_ms = run["started_wall_ms"] - outage.from_wall_ms
            is_out = run["started_wall_ms"] < outage.until_wall_ms
            if name in outage.servers and is_out and since_ms > within_ms:
                detail = f"{run['request_id']} came {since_ms:.0f} ms after removal"
                faults.append(
                    Fault(RAN_WHILE_OUT, name, detail, run["started_wall_ms"])
                )
    return faults


def last_new_work_ms(servers: dict[str, dict], outage: Outage) -> float:
    """Return the time from the start of an outage to the last new work.

    Args:
        servers: Record of each backend server by qualified name.
        outage: The outage.

    Returns:
        Milliseconds; negative if no work arrived during the outage.
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
    cold_transitions: Iterable[ColdTransition] = (),
    detection_ms: float = 0.0,
    stops: Iterable[PlannedStop] = (),
    cold_slots: int = 1,
) -> list[Fault]:
    """Run all checks.

    Args:
        records: All calls, after all callers have ended.
        servers: Record of each backend server by qualified name; none may be missing.
        outages: Periods in which servers were out of service.
        within_ms: Time after which they may receive no new work, milliseconds.
        kills: Kills of routers.
        cold_transitions: Warm servers that became cold.
        detection_ms: Time after such a transition in which an overload is excused,
            milliseconds.
        stops: Planned stops of routers.
        cold_slots: Concurrent requests that a cold server can handle.

    Returns:
        The faults.
    """
    return [
        *check_nothing_lost(records, kills),
        *check_ran_once(records, servers),
        *check_not_run(records, servers),
        *check_answers(records, servers),
        *check_cold_servers(servers, cold_slots, cold_transitions, detection_ms),
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
