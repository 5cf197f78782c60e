"""Shows the whole system at work within a minute: `python -m lagoonsail_lab.demo`."""

from __future__ import annotations

import importlib.util
import random
import sys
from collections import Counter, defaultdict
from math import ceil, inf
from typing import TYPE_CHECKING

import defopt

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.names import qualify
from lagoonsail_lab.caller import (
    Balancer,
    Caller,
    call_in_loop,
    make_plain,
    make_prompt,
)
from lagoonsail_lab.checker import Outage, check_all, last_new_work_ms
from lagoonsail_lab.control_traffic import watch_cost
from lagoonsail_lab.deployments import (
    SHARED_ACCOUNT,
    SHARED_SERVICE,
    make_cordero,
    make_kalapati,
)
from lagoonsail_lab.fleet import ROUTER_PREFIX, Fleet
from lagoonsail_lab.processes import Process, ProcessError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_lab.call_record import Call, CallRecord
    from lagoonsail_lab.checker import Fault
    from lagoonsail_lab.deployments import Deployment, ServiceShape

DOMAIN = "cordero/banos"
"""The failure domain that is taken out and brought back."""
ENGINE_OPTIONS = {
    "token_ms": 20.0,
    "first_ms": 40.0,
    "warm_after": 3,
    "cold_factor": 2.0,
}
"""Engines that are slow enough for one machine and warm soon."""
BACKLOG_FACTOR = 1.6
"""Callers of an account per slot that its share would give it."""
TOKENS = (20, 60)
"""Shortest and longest answer of an engine."""
PLAIN_CALLERS = 2
"""Callers of each account of a plain service."""
PLAIN_PAUSE_S = 0.3
"""Mean pause of a plain service's caller, seconds."""
PLAIN_WORK_MS = 10.0
"""Work of one plain call, milliseconds."""
OUT_WITHIN_MS = 2000.0
"""Time after which a domain that was taken out gets no new work, milliseconds."""
COMMAND_MS = 10000.0
"""Time for one operator's command, milliseconds."""
TRAFFIC_WINDOW_S = 3.0
"""How long control traffic is watched, seconds."""
SHOWN_FAULTS = 10
"""Faults of each kind that are printed."""


def make_demo_deployments() -> list[Deployment]:
    """Return both sides with engines that suit a demonstration."""
    deployments = [make_cordero(), make_kalapati()]
    for deployment in deployments:
        for service in deployment.services:
            if service.kind == "engine":
                service.options.update(ENGINE_OPTIONS)
    return deployments


def _pause(chance: random.Random) -> Callable[[], float]:
    return lambda: chance.expovariate(1.0 / PLAIN_PAUSE_S)


def _next_prompt(
    service: ServiceShape, account: str, chance: random.Random
) -> Callable[[], Call]:
    def make() -> Call:
        # Accounts repeat a few beginnings, so that prompt caches matter.
        beginning = f"{account} asks about topic {chance.randrange(4)}. " * 8
        text = f"{beginning} Number {chance.getrandbits(64):x}."
        tokens = chance.randint(*TOKENS)
        is_stream = chance.random() < 0.5
        return make_prompt(service.side, service.name, account, tokens, is_stream, text)

    return make


def _next_plain(
    service: ServiceShape, account: str, chance: random.Random
) -> Callable[[], Call]:
    def make() -> Call:
        path = chance.choice(["/bibs", "/search", "/search"])
        is_repeatable = path == "/search"
        return make_plain(
            service.side, service.name, account, PLAIN_WORK_MS, path, is_repeatable
        )

    return make


def count_callers(service: ServiceShape, account: str) -> int:
    """Return how many callers an account has, enough to keep engines busy.

    Args:
        service: The service.
        account: The account, unqualified.

    Returns:
        The number of callers.
    """
    if service.kind == "plain":
        return 1 if service.name == SHARED_SERVICE else PLAIN_CALLERS
    part = service.accounts[account] / sum(service.accounts.values())
    return ceil(part * service.slots * len(service.servers) * BACKLOG_FACTOR)


def start_callers(
    caller: Caller, services: Iterable[ServiceShape], until_ms: float, seed: int
) -> list:
    """Start the callers of services.

    Args:
        caller: Makes the calls.
        services: The services.
        until_ms: No call begins later, monotonic time.
        seed: Seed of what is called.

    Returns:
        Green threads to wait for.
    """
    threads = []
    for service in services:
        for account in service.accounts:
            for number in range(count_callers(service, account)):
                name = f"{seed} {service.qualified()} {account} {number}"
                chance = random.Random(name)
                if service.kind == "engine":
                    calls, pause = _next_prompt(service, account, chance), lambda: 0.0
                else:
                    calls, pause = _next_plain(service, account, chance), _pause(chance)
                arguments = (caller, calls, until_ms, pause)
                threads.append(eventlet.spawn(call_in_loop, *arguments))
    return threads


def set_domain(fleet: Fleet, name: str, state: str) -> str:
    """Take a failure domain out or bring it back, as an operator would.

    Args:
        fleet: The fleet.
        name: Qualified name of the domain.
        state: `in` or `out`.

    Returns:
        How it was done.

    Raises:
        ProcessError: If the operator's command fails.
    """
    if importlib.util.find_spec("lagoonsail_ctl.main") is None:
        fleet.set_state(name, state)
        return "rewrote the documents"
    arguments = [f"domain-{state}", name, "--store", fleet.store]
    arguments += ["--prefix", ROUTER_PREFIX]
    title = f"domain-{state}"
    process = Process(title, "lagoonsail_ctl", arguments, fleet.directory)
    process.start()
    if process.wait(COMMAND_MS) != 0:
        process.kill()
        raise ProcessError(
            f"{title} failed with {process.exit_code}: {process.errors()}",
            "run the command by hand",
        )
    return "lagoonctl " + " ".join(arguments[:2])


def take_domain_out(fleet: Fleet, out_s: float) -> Outage:
    """Take the demonstration's domain out for a while and bring it back.

    Args:
        fleet: The fleet.
        out_s: How long it stays out, seconds.

    Returns:
        The outage; it begins when the order has been carried out.
    """
    clock = Clock()
    servers = frozenset(backend.qualified() for backend in fleet.backends_of(DOMAIN))
    ordered_ms = clock.wall_ms()
    how = set_domain(fleet, DOMAIN, "out")
    from_ms = clock.wall_ms()
    took = f"carried out in {from_ms - ordered_ms:.0f} ms"
    print(f"{DOMAIN} out ({how}, {took}): {len(servers)} servers", flush=True)
    eventlet.sleep(out_s)
    # It may be back in force before the command has ended.
    until_ms = clock.wall_ms()
    how = set_domain(fleet, DOMAIN, "in")
    print(f"{DOMAIN} in ({how})", flush=True)
    return Outage(servers, from_ms, until_ms)


def percentile(values: Iterable[float], percent: float) -> float:
    """Return a percentile by the nearest rank.

    Args:
        values: Any numbers.
        percent: Between 0 and 100.

    Returns:
        The percentile, 0 if there are no values.

    Example:
        >>> percentile([3.0, 1.0, 2.0], 50)
        2.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, ceil(len(ordered) * percent / 100.0) - 1)]


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


def run_demo(fleet: Fleet, duration_s: float, seed: int) -> bool:
    """Let callers call a running fleet while a domain is out for a while.

    Args:
        fleet: The fleet, started.
        duration_s: How long callers call, seconds.
        seed: Seed of what is called.

    Returns:
        Whether every answer was whole and its own.
    """
    until_ms = Clock().now_ms() + duration_s * 1000.0
    balancers, callers, threads = [], [], []
    for deployment in fleet.deployments:
        routers = {
            name: (router.callers, router.admin)
            for name, router in fleet.routers.items()
            if router.side == deployment.side
        }
        balancers.append(Balancer(routers, seed))
        # One side's callers keep their connections, the other's open new ones.
        caller = Caller(balancers[-1], keep_alive=deployment is fleet.deployments[0])
        callers.append(caller)
        threads += start_callers(caller, deployment.services, until_ms, seed)
    # The names clash; the second side's callers use the first side's service too.
    other = fleet.deployments[0].find(SHARED_SERVICE)
    calls = _next_plain(other, SHARED_ACCOUNT, random.Random(seed))
    pause = _pause(random.Random(seed))
    threads.append(eventlet.spawn(call_in_loop, callers[-1], calls, until_ms, pause))
    eventlet.sleep(duration_s * 0.4)
    outage = take_domain_out(fleet, duration_s * 0.3)
    for thread in threads:
        thread.wait()
    for balancer in balancers:
        balancer.stop()
    records = [record for caller in callers for record in caller.records]
    print_accounts(fleet, records)
    print_measures(fleet, records, outage, duration_s)
    faults = check_all(records, fleet.records(), [outage], OUT_WITHIN_MS)
    return print_verdict(records, faults)


def main(*, duration_s: float = 25.0, seed: int = 1) -> int:
    """Start both sides' fleet, let callers call and print what they got.

    Args:
        duration_s: How long callers call, seconds.
        seed: Seed of what is called.

    Returns:
        0 if every answer was whole and its own.
    """
    clock = Clock()
    begun_ms = clock.now_ms()
    with Fleet(make_demo_deployments()) as fleet:
        started_s = (clock.now_ms() - begun_ms) / 1000.0
        print(
            f"{len(fleet.backends)} backend servers and {len(fleet.routers)} routers "
            f"ready after {started_s:.1f} s",
            flush=True,
        )
        is_sound = run_demo(fleet, duration_s, seed)
    print(f"ended after {(clock.now_ms() - begun_ms) / 1000.0:.1f} s")
    return 0 if is_sound else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
