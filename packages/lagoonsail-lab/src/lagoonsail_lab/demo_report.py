"""Report of the demonstration: accounts, measurements and verdict."""

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
"""Duration of the measurement of control traffic, seconds."""
MAX_SHOWN_FAULTS = 10
"""Maximum number of faults printed per kind, and of failure reasons."""


def _group_by_service(records: list[CallRecord]) -> dict[str, list[CallRecord]]:
    groups = defaultdict(list)
    for record in records:
        groups[qualify(record.call.side, record.call.service)].append(record)
    return groups


def print_accounts(fleet: Fleet, records: list[CallRecord]) -> None:
    """Print the service and the latencies of each account.

    Args:
        fleet: The fleet.
        records: All calls.
    """
    groups = _group_by_service(records)
    for deployment in fleet.deployments:
        for service in deployment.services:
            unit = "tokens" if service.kind == "engine" else "answers"
            print(f"\n{service.qualified()}  (cost in {unit}, times in ms)")
            print(
                f"  {'account':<16}{'share':>6}{'calls':>7}{'whole':>7}{'cost':>9}"
                f"{'cost/share':>12}{'first p50':>11}{'p99':>8}{'end p50':>9}{'p99':>8}"
            )
            for account, share in service.accounts.items():
                account_records = [
                    r for r in groups[service.qualified()] if r.call.account == account
                ]
                _print_account(account, share, account_records)


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


def cost_per_share_ratio(service: ServiceShape, records: list[CallRecord]) -> float:
    """Return the ratio of the largest to the smallest cost per share.

    Args:
        service: A service whose accounts were all busy throughout.
        records: All calls.

    Returns:
        1 if the cost matches the shares exactly; infinity if an account got nothing.
    """
    sums = dict.fromkeys(service.accounts, 0.0)
    for record in _group_by_service(records)[service.qualified()]:
        sums[record.call.account] += record.last.cost
    cost_per_share = [cost / service.accounts[name] for name, cost in sums.items()]
    return max(cost_per_share) / min(cost_per_share) if min(cost_per_share) else inf


def print_measures(
    fleet: Fleet, records: list[CallRecord], outage: Outage, duration_s: float
) -> None:
    """Print throughput, latencies and short forms of the four measurements.

    Args:
        fleet: The fleet.
        records: All calls.
        outage: The outage of the domain.
        duration_s: Duration of the calls, seconds.
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
    ratios = [
        f"{service.qualified()} {cost_per_share_ratio(service, records):.2f}"
        for service in engines
    ]
    busy = [
        f"{service.qualified()} {100.0 * busy_ratio(fleet, service, duration_s):.0f}%"
        for service in engines
    ]
    traffic = watch_cost(fleet, TRAFFIC_WINDOW_S)
    failed = sum(not is_unaffected_by(record, outage) for record in records)
    last_ms = last_new_work_ms(fleet.records(), outage)
    print("measures")
    print(f"  fairness     largest cost by share over smallest: {', '.join(ratios)}")
    print(f"  utilisation  busy slots over the run: {', '.join(busy)}")
    print(
        f"  control      {traffic.kb_s:.1f} KB/s, {traffic.messages_s:.0f} messages/s "
        f"and {traffic.core_percent:.1f}% of a core for a router, after the calls"
    )
    print(
        f"  domain       {failed} calls failed while it was out; last new work "
        f"{max(last_ms, 0.0):.0f} ms after the order was out"
    )


def busy_ratio(fleet: Fleet, service: ServiceShape, duration_s: float) -> float:
    """Return the busy fraction of all slots of a service over a run.

    Slots that cold servers cannot use yet, and slots of a domain that is out, count as
    idle here; `lagoonsail_lab.measure` excludes them.

    Args:
        fleet: The fleet.
        service: The service.
        duration_s: Duration of the run, seconds.

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


def is_unaffected_by(record: CallRecord, outage: Outage) -> bool:
    """Return whether a call got a whole answer, or did not overlap an outage."""
    start_ms = record.attempts[0].started_wall_ms
    if start_ms > outage.until_wall_ms:
        return True
    return record.is_whole or record.last.ended_wall_ms < outage.from_wall_ms


def print_verdict(records: list[CallRecord], faults: list[Fault]) -> bool:
    """Print faults and the reasons of calls without a whole answer.

    Args:
        records: All calls.
        faults: What the checker found.

    Returns:
        Whether every call got its own, complete answer, and no fault was found.
    """
    counts = Counter(fault.kind for fault in faults)
    shown_counts = Counter()
    for fault in faults:
        shown_counts[fault.kind] += 1
        if shown_counts[fault.kind] <= MAX_SHOWN_FAULTS:
            print(f"fault {fault.kind} {fault.subject}: {fault.detail}")
    reasons = Counter(
        f"{r.last.status} ran={r.last.ran or '-'} {r.last.reason[:100]}"
        for r in records
        if r.attempts and not r.is_whole
    )
    for reason, count in reasons.most_common(MAX_SHOWN_FAULTS):
        print(f"not whole {count} x {reason}")
    whole = sum(1 for r in records if r.attempts and r.is_whole)
    print(
        f"\n{len(records)} calls, {whole} answers whole and their own, "
        f"faults {dict(counts) or 'none'}"
    )
    return bool(records) and whole == len(records) and not faults
