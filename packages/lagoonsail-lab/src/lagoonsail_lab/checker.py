"""Judges a run of the laboratory by what callers got and what servers ran.

The routers' own word is not asked. Every check returns faults, none if all is well.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_lab.caller import RAN_LOST, RAN_NO

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_lab.caller import Attempt, CallRecord

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

REFUSED_STATE = "refused"
"""State of a run of which the server did nothing."""
WHOLE_STATE = "whole"
"""State of a run whose answer the server handed over whole."""


@dataclass(slots=True)
class Fault:
    """One thing that must not happen and did."""

    kind: str
    """One of the constants of this module."""
    subject: str
    """Request, idempotency key or server."""
    detail: str
    """What was seen."""


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
        last = record.attempts[-1] if record.attempts else None
        if last is None or not last.ended_wall_ms:
            name = last.request_id if last else record.call.path
            faults.append(Fault(LOST, name, "the call has not ended"))
        elif last.ran == RAN_LOST and not _is_excused(last, kills):
            detail = f"status {last.status} from {last.router}: {last.reason}"
            faults.append(Fault(LOST, last.request_id, detail))
    return faults


def _is_excused(attempt: Attempt, kills: list[Kill]) -> bool:
    return any(
        kill.router == attempt.router
        and attempt.started_wall_ms <= kill.wall_ms <= attempt.ended_wall_ms
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
            by_key[run["idempotency_key"]].append(name)
    faults = []
    for record in records:
        if record.call.is_repeatable:
            continue
        key = record.call.idempotency_key
        if key:
            faults += _fault_if_twice(key, by_key[key])
            continue
        for attempt in record.attempts:
            names = [name for name, _ in by_request[attempt.request_id]]
            faults += _fault_if_twice(attempt.request_id, names)
    return faults


def _fault_if_twice(subject: str, names: list[str]) -> list[Fault]:
    if len(names) <= 1:
        return []
    return [Fault(RAN_TWICE, subject, f"ran on {' '.join(names)}")]


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
        Fault(RAN_AFTER_ALL, attempt.request_id, f"{run['state']} on {name}")
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
                faults.append(Fault(NOT_OWN, attempt.request_id, attempt.reason))
                continue
            states = [run["state"] for _, run in by_request[attempt.request_id]]
            if WHOLE_STATE not in states:
                detail = f"no server handed it over whole, but {states}"
                faults.append(Fault(NOT_OWN, attempt.request_id, detail))
    return faults


def check_cold_servers(servers: dict[str, dict]) -> list[Fault]:
    """Find servers that fell over because they were hurried while cold.

    Args:
        servers: Record of each backend server by qualified name.

    Returns:
        The faults.
    """
    return [
        Fault(OVERLOADED, name, f"{record['overloads']} times")
        for name, record in servers.items()
        if record["overloads"]
    ]


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
                faults.append(Fault(RAN_WHILE_OUT, name, detail))
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
) -> list[Fault]:
    """Run all checks.

    Args:
        records: All calls, after all callers have ended.
        servers: Record of each backend server by qualified name; all must be there.
        outages: When which servers were out.
        within_ms: Time after which no new work may come to them, milliseconds.
        kills: Routers that were killed.

    Returns:
        The faults.
    """
    return [
        *check_nothing_lost(records, kills),
        *check_ran_once(records, servers),
        *check_not_run(records, servers),
        *check_answers(records, servers),
        *check_cold_servers(servers),
        *check_outages(servers, outages, within_ms),
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
