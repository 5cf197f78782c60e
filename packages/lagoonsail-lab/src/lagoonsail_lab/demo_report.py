"""What the demonstration prints of its calls, and whether they were all sound."""

from __future__ import annotations

from collections import Counter, defaultdict
from math import inf
from typing import TYPE_CHECKING

from lagoonsail_core.names import qualify
from lagoonsail_lab.checker import Outage, last_new_work_ms
from lagoonsail_lab.control_traffic import watch_cost
from lagoonsail_lab.percentile import percentile

if TYPE_CHECKING:
    from lagoonsail_lab.call_record import CallRecord
    from lagoonsail_lab.checker import Fault
    from lagoonsail_lab.deployments import ServiceShape
    from lagoonsail_lab.fleet import Fleet

TRAFFIC_WINDOW_S = 3.0
"""How long control traffic is watched, seconds."""
SHOWN_FAULTS = 10
"""Faults of each kind that are printed."""


def _by_service(records: list[CallRecord]) -> dict[str, list[CallRecord]]:
    groups = defaultdict(list)
    for record in records:
        groups[qualify(record.call.side, record.call.service)].append(record)
    return groups


def print_accounts(fleet: Fleet, records: list[CallRecord]) -> None:
    """Print what each account got and how long it waited.

    Args:
        fleet: The fleet.
        records: All calls.
    """
    groups = _by_service(records)
    for deployment in fleet.deployments:
        for service in deployment.services:
            unit = "tokens" if service.kind == "engine" else "answers"
            print(f"\n{service.qualified()}  (cost in {unit}, times in ms)")
            print(
                f"  {'account':<16}{'share':>6}{'calls':>7}{'whole':>7}{'cost':>9}"
                f"{'cost/share':>12}{'first p50':>11}{'p99':>8}{'end p50':>9}{'p99':>8}"
            )
            for account, share in service.accounts.items():
                mine = [
                    r for r in groups[service.qualified()] if r.call.account == account
                ]
                _print_account(account, share, mine)


def _print_account(account: str, share: float, records: list[CallRecord]) -> None:
    whole = [record for record in records if record.is_whole]
    cost = sum(record.last.cost for record in whole)
    first = [record.first_ms for record in whole]
    end = [record.latency_ms for record in whole]
    print(
        f"  {account:<16}{share:>6g}{len(records):>7}{len(whole):>7}{cost:>9.0f}"
        f"{cost / share:>12.0f}{percentile(first, 50):>11.0f}"
        f"{percentile(first, 99):>8.0f}{percentile(end, 50):>9.0f}"
        f"{percentile(end, 99):>8.0f}"
    )


def spread_of_shares(service: ServiceShape, records: list[CallRecord]) -> float:
    """Return the largest cost by share over the smallest.

    Args:
        service: A service whose accounts were all busy all the time.
        records: All calls.

    Returns:
        1 if the cost was shared exactly, infinity if an account got nothing.
    """
    sums = dict.fromkeys(service.accounts, 0.0)
    for record in _by_service(records)[service.qualified()]:
        sums[record.call.account] += record.last.cost
    by_share = [cost / service.accounts[name] for name, cost in sums.items()]
    return max(by_share) / min(by_share) if min(by_share) else inf


def print_measures(
    fleet: Fleet, records: list[CallRecord], outage: Outage, duration_s: float
) -> None:
    """Print throughput and latencies, and the brief's four measures in short.

    Args:
        fleet: The fleet.
        records: All calls.
        outage: When the domain was out.
        duration_s: How long callers called, seconds.
    """
    whole = [record for record in records if record.is_whole]
    streams = [r.first_ms for r in whole if r.call.is_stream]
    plain = [r.latency_ms for r in whole if r.call.idempotency_key]
    tokens = sum(r.last.cost for r in whole if r.call.path == "/v1/completions")
    print(
        f"\nthroughput  {len(whole) / duration_s:.0f} whole answers a second, "
        f"{tokens / duration_s:.0f} tokens a second"
    )
    print(
        f"waiting     first token p50 {percentile(streams, 50):.0f} ms, "
        f"p99 {percentile(streams, 99):.0f} ms; calls that run once "
        f"p50 {percentile(plain, 50):.0f} ms, p99 {percentile(plain, 99):.0f} ms"
    )
    engines = [
        service
        for deployment in fleet.deployments
        for service in deployment.services
        if service.kind == "engine"
    ]
    spreads = [
        f"{service.qualified()} {spread_of_shares(service, records):.2f}"
        for service in engines
    ]
    busy = [
        f"{service.qualified()} {100.0 * busy_part(fleet, service, duration_s):.0f}%"
        for service in engines
    ]
    traffic = watch_cost(fleet, TRAFFIC_WINDOW_S)
    failed = sum(not is_answered_while(record, outage) for record in records)
    last_ms = last_new_work_ms(fleet.records(), outage)
    print("measures")
    print(f"  fairness     largest cost by share over smallest: {', '.join(spreads)}")
    print(f"  utilisation  busy slots over the run: {', '.join(busy)}")
    print(
        f"  control      {traffic.kb_s:.1f} KB/s, {traffic.messages_s:.0f} messages/s "
        f"and {traffic.core_percent:.1f}% of a core for a router, after the calls"
    )
    print(
        f"  domain       {failed} calls failed while it was out; last new work "
        f"{max(last_ms, 0.0):.0f} ms after the order was out"
    )


def busy_part(fleet: Fleet, service: ServiceShape, duration_s: float) -> float:
    """Return the part of all slots of a service that was busy over a run.

    The slots that cold servers cannot use yet, and those of a domain that is out, count
    as idle here; `lagoonsail_lab.measure` leaves them out.

    Args:
        fleet: The fleet.
        service: The service.
        duration_s: Length of the run, seconds.

    Returns:
        Between 0 and 1.
    """
    records = fleet.records()
    busy_ms = sum(
        run["ended_wall_ms"] - run["started_wall_ms"]
        for backend in fleet.backends.values()
        if backend.service is service
        for run in records[backend.qualified()]["runs"]
        if run["ended_wall_ms"]
    )
    slots = service.slots * len(service.servers)
    return min(1.0, busy_ms / (slots * duration_s * 1000.0))


def is_answered_while(record: CallRecord, outage: Outage) -> bool:
    """Return whether a call was answered whole, or did not overlap an outage."""
    begun_ms = record.attempts[0].started_wall_ms
    if begun_ms > outage.until_wall_ms:
        return True
    return record.is_whole or record.last.ended_wall_ms < outage.from_wall_ms


def print_verdict(records: list[CallRecord], faults: list[Fault]) -> bool:
    """Print faults and calls without a whole answer.

    Args:
        records: All calls.
        faults: What the checker found.

    Returns:
        Whether every answer was whole and its own, and nothing else was wrong.
    """
    counts = Counter(fault.kind for fault in faults)
    shown = Counter()
    for fault in faults:
        shown[fault.kind] += 1
        if shown[fault.kind] <= SHOWN_FAULTS:
            print(f"fault {fault.kind} {fault.subject}: {fault.detail}")
    reasons = Counter(
        f"{r.last.status} ran={r.last.ran or '-'} {r.last.reason[:100]}"
        for r in records
        if r.attempts and not r.is_whole
    )
    for reason, count in reasons.most_common(SHOWN_FAULTS):
        print(f"not whole {count} x {reason}")
    whole = sum(1 for r in records if r.attempts and r.is_whole)
    print(
        f"\n{len(records)} calls, {whole} answers whole and their own, "
        f"faults {dict(counts) or 'none'}"
    )
    return bool(records) and whole == len(records) and not faults
