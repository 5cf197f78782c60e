"""Measurement: utilisation of the usable slots while work is queued."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.backlog import (
    SERVICE,
    SETTLE_S,
    collect_work,
    find_owner,
    is_within,
    make_fleet,
    start_backlog,
    wait_until_full,
    waiting_spans,
)
from lagoonsail_lab.caller import Balancer
from lagoonsail_lab.figures import AT_LEAST, Measure, Series

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_lab.backlog import Work

SLICE_MS = 500.0
"""Duration of a time slice, milliseconds."""
HOST_LIST_LAG_S = 5.0
"""Time until a killed router is removed from the host list, seconds."""
STEADY_TARGET = 0.97
"""Target: smallest busy share of the usable slots while work is queued."""
AFTER_KILL_TARGET = 0.9
"""Target: smallest busy share in the minute after an owner is killed."""
AFTER_KILL_S = 60.0
"""Duration of the observation after the kill, seconds."""


def busy_shares(
    work: Iterable[Work], slots: dict[str, int], from_ms: float, until_ms: float
) -> list[tuple[float, float]]:
    """Return the busy share of all slots for the time slices with queued work.

    Args:
        work: All attempts.
        slots: Slots by server.
        from_ms: Start of the first slice, wall time.
        until_ms: End of the interval, wall time.

    Returns:
        Start of each slice and its busy share.

    Example:
        >>> from lagoonsail_lab.backlog import Work
        >>> work = [Work("a", 0.0, 100.0, 600.0, 1.0, "s"),
        ...         Work("a", 0.0, 1000.0, 1000.0, 0.0, "")]
        >>> busy_shares(work, {"s": 1}, 200.0, 700.0)
        [(200.0, 0.8)]
    """
    work = list(work)
    spans = waiting_spans(work)
    shares = []
    begin_ms = from_ms
    while begin_ms + SLICE_MS <= until_ms:
        end_ms = begin_ms + SLICE_MS
        if is_within(spans, begin_ms, end_ms):
            shares.append((begin_ms, _busy_share(work, slots, begin_ms, end_ms)))
        begin_ms = end_ms
    return shares


def _busy_share(
    work: list[Work], slots: dict[str, int], from_ms: float, until_ms: float
) -> float:
    busy: dict[str, float] = defaultdict(float)
    for item in work:
        if item.server in slots:
            busy[item.server] += item.busy_ms(from_ms, until_ms)
    slice_ms = until_ms - from_ms
    # A server that queues requests internally cannot use more slots than it has.
    busy_slot_ms = sum(min(busy[name], slots[name] * slice_ms) for name in slots)
    return busy_slot_ms / (sum(slots.values()) * slice_ms)


def run_with_kill(
    is_baseline: bool, steady_s: float, killed_s: float, seed: int
) -> tuple[list[tuple[float, float]], float, float]:
    """Keep a fleet backlogged and kill a router: the owner if there is one.

    Args:
        is_baseline: Whether to run baseline routers instead of the project's.
        steady_s: Duration of the observation before the kill, seconds.
        killed_s: Duration of the observation after the kill, seconds.
        seed: Seed of the calls.

    Returns:
        Busy shares by slice, the wall time of the kill, and the mean duration of a
        run, milliseconds.
    """
    clock = Clock()
    with make_fleet(is_baseline) as fleet:
        service = fleet.deployments[0].find(SERVICE)
        addresses = {n: (r.callers, r.admin) for n, r in fleet.routers.items()}
        balancer = Balancer(addresses, seed)
        callers, threads = start_backlog(service, lambda _: balancer, seed)
        if is_baseline:
            eventlet.sleep(SETTLE_S)
        else:
            wait_until_full(fleet, service)
        from_ms = clock.wall_ms()
        eventlet.sleep(steady_s)
        name = sorted(fleet.routers)[0]
        if not is_baseline:
            name, _ = find_owner(fleet, service)
        killed_ms = clock.wall_ms()
        fleet.kill_router(name)
        eventlet.sleep(HOST_LIST_LAG_S)
        fleet.routers[name].host_state = ""
        fleet.publish_hosts()
        eventlet.sleep(killed_s - HOST_LIST_LAG_S)
        until_wall_ms = clock.wall_ms()
        work = collect_work(callers, fleet.records())
        for thread in threads:
            thread.kill()
        balancer.stop()
        slots = dict.fromkeys(fleet.backends, service.slots)
    shares = busy_shares(work, slots, from_ms, killed_ms)
    shares += busy_shares(work, slots, killed_ms, until_wall_ms)
    return shares, killed_ms, _mean_run_ms(work)


def _mean_run_ms(work: Iterable[Work]) -> float:
    durations_ms = [item.ended_ms - item.started_ms for item in work if item.server]
    return sum(durations_ms) / len(durations_ms)


def _mean(shares: list[tuple[float, float]]) -> float:
    return sum(share for _, share in shares) / len(shares) if shares else 0.0


def measure_utilisation(steady_s: float, seed: int) -> Measure:
    """Measure slot utilisation with the project's routers and with the baseline.

    Args:
        steady_s: Duration of the observation before the owner is killed, seconds.
        seed: Seed of the calls.

    Returns:
        The measurement.
    """
    measure = Measure("utilisation", "time since the kill / s", "busy share of slots")
    unit = "of usable slots"
    for title, is_baseline in (("fleet", False), ("baseline", True)):
        killed_s = AFTER_KILL_S / 4 if is_baseline else AFTER_KILL_S
        shares, killed_ms, run_ms = run_with_kill(is_baseline, steady_s, killed_s, seed)
        before = [pair for pair in shares if pair[0] < killed_ms]
        after = [pair for pair in shares if pair[0] >= killed_ms]
        seconds = [(begin_ms - killed_ms) / 1000.0 for begin_ms, _ in shares]
        measure.curves.append(Series(title, seconds, [s for _, s in shares]))
        steady, killed = (AT_LEAST, STEADY_TARGET), (AT_LEAST, AFTER_KILL_TARGET)
        if is_baseline:
            steady = killed = ("", 0.0)
        measure.add(f"{title}: busy while work waits", _mean(before), unit, *steady)
        idle_ms = run_ms * (1.0 / _mean(before) - 1.0)
        measure.add(f"{title}: a slot idles between two runs", idle_ms, "ms")
        measure.add(f"{title}: length of a run", run_ms, "ms")
        name = f"{title}: busy in the {killed_s:.0f} s after a kill"
        measure.add(name, _mean(after), unit, *killed)
    return measure
