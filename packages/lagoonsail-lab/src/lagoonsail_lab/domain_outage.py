"""Measurement: service while a failure domain is taken out and brought back."""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.backlog import (
    BASELINE_MODULE,
    QUEUE_LIMIT,
    SERVICE,
    SETTLE_S,
    TOKENS,
    collect_work,
    find_owner,
    start_backlog,
    wait_until_full,
)
from lagoonsail_lab.caller import (
    MAX_RETRY_AFTER_S,
    Balancer,
    Caller,
    call_at_rate,
    make_plain,
    make_prompt,
)
from lagoonsail_lab.checker import Outage, check_all, last_new_work_ms
from lagoonsail_lab.demo import set_domain
from lagoonsail_lab.deployments import make_cordero
from lagoonsail_lab.figures import AT_MOST, BELOW, Measure, Series
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.percentile import percentile
from lagoonsail_lab.utilisation import SLICE_MS, busy_shares

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_lab.backlog import Work
    from lagoonsail_lab.call_record import Call, CallRecord
    from lagoonsail_lab.checker import Fault
    from lagoonsail_lab.deployments import ServiceShape

DOMAIN = "cordero/banos"
"""The failure domain that is taken out and brought back."""
WARM_AFTER = 3
"""Number of whole answers after which an engine or a plain service is warm."""
ENGINE_OPTIONS = {"token_ms": 20.0, "first_ms": 40.0, "cold_factor": 2.0}
"""Options of the engines that set their speed."""
CALLS_PER_S = {"engine": 45.0, "plain": 10.0}
"""Calls per second of a service by its kind; they keep engines half busy."""
PLAIN_WORK_MS = 10.0
"""Duration of the work of one plain call, milliseconds."""
PHASES = (0.3, 0.3, 0.4)
"""Fractions of the duration before, during and after the outage of the domain."""
RESTART_AFTER_S = 4.0
"""Time after the command until the domain's servers restart and are cold, seconds."""
STORE_BACK_S = 2.0
"""Time between the key-value service's recovery and the domain's return, seconds."""
OUT_WITHIN_MS = 3000.0
"""Target: time after the command until no new work starts, milliseconds."""
ANSWERS_TIMEOUT_MS = 40_000.0
"""Timeout for the last calls to be answered, milliseconds."""
FULL_USE_SHARE = 0.9
"""Busy share of the domain's engines that counts as full use under backlog."""
RETURN_S = 30.0
"""Target: time until a returned domain is in full use again, seconds."""
SMOOTHED_SLICES = 4
"""Number of time slices over which load is averaged."""


@dataclass(slots=True)
class OutageRun:
    """What was observed during the outage of a domain; times are wall times."""

    records: list[CallRecord]
    """All calls."""
    servers: dict[str, dict]
    """Record of each backend server by qualified name."""
    work: list[Work]
    """Attempts of callers matched with runs of servers."""
    outage: Outage
    """The domain's servers, and the times of the commands `out` and `in`."""
    start_ms: float
    """Start of the steady state."""
    ended_ms: float
    """When callers stopped."""
    command_ms: float
    """Duration of the command `out`, milliseconds."""

    def phase(self, name: str) -> tuple[float, float]:
        """Return the start and end of phase `steady`, `out` or `back`."""
        out_ms, in_ms = self.outage.from_wall_ms, self.outage.until_wall_ms
        return {
            "steady": (self.start_ms, out_ms),
            "out": (out_ms, in_ms),
            "back": (in_ms, self.ended_ms),
        }[name]

    def latencies_ms(self, name: str) -> list[float]:
        """Return the latencies of whole engine answers requested in a phase."""
        begin_ms, end_ms = self.phase(name)
        return [
            record.latency_ms
            for record in self.records
            if record.is_whole
            and record.call.path == "/v1/completions"
            and begin_ms <= record.attempts[0].started_wall_ms < end_ms
        ]

    def waits_ms(self, name: str) -> list[float]:
        """Return how long the attempts of a phase waited for a server to start them."""
        begin_ms, end_ms = self.phase(name)
        return [
            item.started_ms - item.requested_ms
            for item in self.work
            if item.server and begin_ms <= item.requested_ms < end_ms
        ]


def _make_fleet(is_baseline: bool) -> Fleet:
    deployment = make_cordero()
    for service in deployment.services:
        service.options["warm_after"] = WARM_AFTER
        if service.kind == "engine":
            service.options.update(ENGINE_OPTIONS)
    options = {"router_module": BASELINE_MODULE} if is_baseline else {}
    return Fleet([deployment], **options)


def _warm_up(fleet: Fleet) -> None:
    """Warm up all servers directly: under the baseline they would stay cold."""

    def warm(address: str) -> None:
        for _ in range(WARM_AFTER):
            body = {"prompt": "#tokens=1", "work_ms": 1.0}
            fleet.fetch("POST", address, "/v1/completions", body)

    addresses = [backend.address for backend in fleet.backends.values()]
    for thread in [eventlet.spawn(warm, address) for address in addresses]:
        thread.wait()


def _settle(fleet: Fleet) -> None:
    """Wait until all servers are at their full limit and no call is queued."""
    service = fleet.deployments[0].find(SERVICE)
    wait_until_full(fleet, service)
    while True:
        _, shard = find_owner(fleet, service)
        if not any(account["waiting"] for account in shard["accounts"].values()):
            break
        eventlet.sleep(0.25)
    eventlet.sleep(SETTLE_S)


def _call_factory(
    service: ServiceShape, account: str, rng: random.Random
) -> Callable[[], Call]:
    side, name = service.side, service.name

    def make_engine_call() -> Call:
        tokens = rng.randint(*TOKENS)
        text = f"{account} {rng.getrandbits(64):x}"
        is_stream = rng.random() < 0.5
        return make_prompt(side, name, account, tokens, is_stream, text)

    def make_plain_call() -> Call:
        is_repeatable = rng.random() < 0.5
        path = "/search" if is_repeatable else "/bibs"
        return make_plain(side, name, account, PLAIN_WORK_MS, path, is_repeatable)

    return make_engine_call if service.kind == "engine" else make_plain_call


def _start_callers(fleet: Fleet, caller: Caller, seed: int) -> list:
    threads = []
    for service in fleet.deployments[0].services:
        total = sum(service.accounts.values())
        for number, (account, share) in enumerate(service.accounts.items()):
            rng = random.Random(f"{seed} {service.name} {account}")
            make_call = _call_factory(service, account, rng)
            rate = CALLS_PER_S[service.kind] * share / total
            arguments = (caller, make_call, inf, rate, seed + number)
            threads.append(eventlet.spawn(call_at_rate, *arguments))
    return threads


def _set_domain_state(fleet: Fleet, state: str, is_store_lost: bool) -> float:
    """Take the domain out or in; return the wall time of the command."""
    now_ms = Clock().wall_ms()
    if not is_store_lost:
        set_domain(fleet, DOMAIN, state)
        return now_ms
    # A separate command process would give the fleet time to spread the document
    # before the key-value service is lost.
    fleet.set_state(DOMAIN, state)
    fleet.control_store(mode="down")
    return now_ms


def run_outage(
    is_baseline: bool, is_store_lost: bool, duration_s: float, seed: int
) -> OutageRun:
    """Take a failure domain out and bring it back under load.

    Args:
        is_baseline: Whether to run baseline routers instead of the project's.
        is_store_lost: Whether the key-value service goes down after each command.
        duration_s: Total duration of the phases, seconds.
        seed: Seed of the calls.

    Returns:
        The observed run.
    """
    clock = Clock()
    steady_s, out_s, back_s = (duration_s * fraction for fraction in PHASES)
    with _make_fleet(is_baseline) as fleet:
        _warm_up(fleet)
        addresses = {n: (r.callers, r.admin) for n, r in fleet.routers.items()}
        balancer = Balancer(addresses, seed)
        caller = Caller(balancer)
        threads = _start_callers(fleet, caller, seed)
        if is_baseline:
            eventlet.sleep(SETTLE_S)
        else:
            _settle(fleet)
        start_ms = clock.wall_ms()
        eventlet.sleep(steady_s)
        out_command_ms = _set_domain_state(fleet, "out", is_store_lost)
        command_ms = clock.wall_ms() - out_command_ms
        names = frozenset(b.qualified() for b in fleet.backends_of(DOMAIN))
        eventlet.sleep(RESTART_AFTER_S)
        for name in names:
            fleet.control_backend(name, restart=True)
        eventlet.sleep(max(0.0, out_s - RESTART_AFTER_S - STORE_BACK_S))
        fleet.control_store(mode="up")
        eventlet.sleep(STORE_BACK_S)
        in_command_ms = _set_domain_state(fleet, "in", is_store_lost)
        eventlet.sleep(back_s)
        ended_ms = clock.wall_ms()
        for thread in threads:
            thread.kill()
        _wait_for_answers(caller)
        balancer.stop()
        servers = fleet.records()
    outage = Outage(names, out_command_ms, in_command_ms)
    work = collect_work([caller], servers)
    return OutageRun(
        caller.records, servers, work, outage, start_ms, ended_ms, command_ms
    )


def _wait_for_answers(caller: Caller) -> None:
    clock = Clock()
    until_ms = clock.now_ms() + ANSWERS_TIMEOUT_MS
    while clock.now_ms() < until_ms:
        if all(r.attempts and r.last.ended_wall_ms for r in caller.records):
            # A caller that retries starts its next attempt within this time.
            eventlet.sleep(MAX_RETRY_AFTER_S + 0.1)
            if all(r.last.ended_wall_ms for r in caller.records):
                return
        eventlet.sleep(0.1)


def find_faults(run: OutageRun) -> list[Fault]:
    """Return violations of the guarantees, and failed calls.

    Args:
        run: The observed run.
    """
    return check_all(run.records, run.servers, [run.outage], OUT_WITHIN_MS)


def load_of_domain(run: OutageRun) -> tuple[list[float], list[float]]:
    """Return the load of the domain's engines relative to the others'.

    Args:
        run: The observed run.

    Returns:
        Times since the domain was taken out, seconds, and the ratio of the mean busy
        slots of an engine in the domain to that of the others, averaged over
        SMOOTHED_SLICES.
    """
    inside = [name for name in run.outage.servers if "asistente" in name]
    engines = [name for name in run.servers if "asistente" in name]
    outside = [name for name in engines if name not in run.outage.servers]
    times, ratios = [], []
    begin_ms = run.start_ms
    while begin_ms + SLICE_MS * SMOOTHED_SLICES <= run.ended_ms:
        end_ms = begin_ms + SLICE_MS * SMOOTHED_SLICES
        domain_busy_ms, others_busy_ms = (
            sum(w.busy_ms(begin_ms, end_ms) for w in run.work if w.server in names)
            / len(names)
            for names in (inside, outside)
        )
        times.append((begin_ms - run.outage.from_wall_ms) / 1000.0)
        ratios.append(domain_busy_ms / others_busy_ms if others_busy_ms else 0.0)
        begin_ms += SLICE_MS
    return times, ratios


def run_return(seed: int) -> tuple[float, int]:
    """Bring a cold domain back to a fleet in which work is always queued.

    Args:
        seed: Seed of the calls.

    Returns:
        Time from the command until the domain's engines are in full use, seconds,
        infinite if that takes longer than RETURN_S; and the number of overloads of
        cold servers.
    """
    clock = Clock()
    with _make_fleet(False) as fleet:
        _warm_up(fleet)
        service = fleet.deployments[0].find(SERVICE)
        service.limits["queue_limit"] = QUEUE_LIMIT
        fleet.put_documents()
        addresses = {n: (r.callers, r.admin) for n, r in fleet.routers.items()}
        balancer = Balancer(addresses, seed)
        callers, threads = start_backlog(service, lambda _: balancer, seed)
        wait_until_full(fleet, service)
        set_domain(fleet, DOMAIN, "out")
        backends = fleet.backends_of(DOMAIN)
        eventlet.sleep(RESTART_AFTER_S)
        for backend in backends:
            fleet.control_backend(backend.qualified(), restart=True)
        returned_ms = clock.wall_ms()
        set_domain(fleet, DOMAIN, "in")
        eventlet.sleep(RETURN_S)
        ended_ms = clock.wall_ms()
        servers = fleet.records()
        work = collect_work(callers, servers)
        for thread in threads:
            thread.kill()
        balancer.stop()
    engines = [b.qualified() for b in backends if b.service is service]
    slots = dict.fromkeys(engines, service.slots)
    shares = [share for _, share in busy_shares(work, slots, returned_ms, ended_ms)]
    overloads = sum(record["overloads"] for record in servers.values())
    return _full_use_s(shares), overloads


def _full_use_s(shares: list[float]) -> float:
    """Return when the moving average first reaches full use, seconds.

    Example:
        >>> _full_use_s([0.0, 0.5, 0.9, 1.0, 1.0, 1.0])
        1.0
        >>> _full_use_s([0.0, 0.0, 0.0, 0.0])
        inf
    """
    for index in range(len(shares) - SMOOTHED_SLICES + 1):
        following = shares[index : index + SMOOTHED_SLICES]
        if sum(following) / SMOOTHED_SLICES >= FULL_USE_SHARE:
            return index * SLICE_MS / 1000.0
    return inf


def _add_figures(
    measure: Measure, title: str, run: OutageRun, has_targets: bool
) -> None:
    zero = (AT_MOST, 0.0) if has_targets else ("", 0.0)
    within = (BELOW, OUT_WITHIN_MS) if has_targets else ("", 0.0)
    failed = [r for r in run.records if not r.attempts or not r.is_whole]
    measure.add(f"{title}: calls", len(run.records), "calls")
    measure.add(f"{title}: calls failed", len(failed), "calls", *zero)
    keyed = sum(bool(r.call.idempotency_key) for r in failed)
    measure.add(f"{title}: of them with an idempotency key", keyed, "calls")
    measure.add(f"{title}: faults found", len(find_faults(run)), "faults", *zero)
    repeated = sum(len(r.attempts) - 1 for r in run.records)
    measure.add(f"{title}: attempts refused and made again", repeated, "attempts")
    last_ms = last_new_work_ms(run.servers, run.outage)
    measure.add(f"{title}: last new work after the command", last_ms, "ms", *within)
    measure.add(f"{title}: of that the command itself", run.command_ms, "ms")
    for phase in ("steady", "out", "back"):
        latency_ms = percentile(run.latencies_ms(phase), 99)
        measure.add(f"{title}: p99 latency of engines, {phase}", latency_ms, "ms")
        wait_ms = percentile(run.waits_ms(phase), 99)
        measure.add(f"{title}: p99 time until a server starts, {phase}", wait_ms, "ms")
    _, ratios = load_of_domain(run)
    name = f"{title}: load of the domain's engines in the end"
    measure.add(name, ratios[-1], "of the others'")
    overloads = sum(record["overloads"] for record in run.servers.values())
    measure.add(f"{title}: cold servers overloaded", overloads, "times", *zero)


def _print_failures(run: OutageRun) -> None:
    failed = [r for r in run.records if not r.attempts or not r.is_whole]
    reasons = {f"{r.last.status} {r.last.ran} {r.last.reason[:80]}" for r in failed}
    for reason in sorted(reasons)[:5]:
        print(f"    failed: {reason}")
    for fault in find_faults(run)[:5]:
        print(f"    {fault.kind} {fault.subject}: {fault.detail}")


def measure_domains(duration_s: float, seed: int) -> Measure:
    """Measure the project's routers with and without store loss, and the baseline.

    Args:
        duration_s: Total duration of the phases of each run, seconds.
        seed: Seed of the calls.

    Returns:
        The measurement.
    """
    measure = Measure(
        "domains", "time since the domain left / s", "load of its engines / others'"
    )
    cases = (
        ("fleet", False, False),
        ("fleet, store lost", False, True),
        ("baseline", True, False),
    )
    for title, is_baseline, is_store_lost in cases:
        run = run_outage(is_baseline, is_store_lost, duration_s, seed)
        _add_figures(measure, title, run, not is_baseline)
        if not is_baseline:
            _print_failures(run)
        measure.curves.append(Series(title, *load_of_domain(run)))
    full_s, overloads = run_return(seed)
    measure.add("work always waits: back to full use", full_s, "s", BELOW, RETURN_S)
    measure.add("work always waits: overloads", overloads, "times", AT_MOST, 0.0)
    return measure
