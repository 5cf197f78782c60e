"""Measurement: cost of routers under little load, and how it grows with the fleet."""

from __future__ import annotations

import random
import re
from dataclasses import dataclass, fields
from pathlib import Path
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_lab.backlog import UnevenBalancer
from lagoonsail_lab.caller import Caller, call_at_rate, make_plain
from lagoonsail_lab.deployments import Deployment, ServerShape, ServiceShape
from lagoonsail_lab.figures import AT_MOST, Measure, Series
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.process_usage import processor_s
from lagoonsail_router.daemon import host_list_pause_ms

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = ((6, 1), (12, 1), (12, 2), (12, 4))
"""Routers per region, and number of regions."""
BASE_ACCOUNTS = 16
"""Accounts of a service where their number is constant."""
BASE_SERVERS = 4
"""Backend servers of a service where their number is constant."""
MANY_ACCOUNTS = (200, 1000)
"""Accounts of a service where their number varies."""
MANY_SERVERS = (20, 40)
"""Backend servers of a service where their number varies."""
CALLS_PER_ROUTER_S = 2.0
"""The light load: calls per second at each router."""
WORK_MS = 10.0
"""Duration of the work of one call, milliseconds."""
SETTINGS = {"host-list": {"poll_ms": 1000}}
"""The default poll interval; other lab fleets use a shorter one."""
MAX_LAG_MS = 10_000.0
"""The default maximum age of a host list that routers rely on, milliseconds."""
SETTLE_S = 3.0
"""Time between the start of the fleet and the measurement, seconds."""

TARGET_REGIONS = 12
"""Regions of the fleet that the targets apply to."""
TARGET_ROUTERS = 330
"""Routers of the fleet that the targets apply to."""
TARGET_KB_S = 23.0
"""Maximum traffic of a node, in and out, kilobytes per second."""
TARGET_CORE_PERCENT = 1.9
"""Maximum processor time of a node, percent of a core."""
TARGET_MB = 128.0
"""Maximum resident memory of a node, megabytes."""
TARGET_WRITES_S = 150.0
"""Half of the writes per second that the key-value service can handle."""
TARGET_READS_S = 1000.0
"""Half of the reads per second that the key-value service can handle."""

WRITE_KINDS = ("put", "delete", "txn", "grant", "revoke")
"""Calls of the key-value service that change keys, or grant or revoke leases."""
READ_KINDS = ("range", "renew")
"""Other calls; a renewal writes no key. Open watches are counted in addition."""
_METRIC_PATTERN = re.compile(r'lagoonsail_(\w+)\{kind="([^"]+)"\} ([0-9.e+]+)')


@dataclass(slots=True)
class Cost:
    """Mean cost of a node, and calls of the whole fleet to the key-value service."""

    kb_s: float
    """Traffic with peers and key-value service, bodies only, kilobytes per second."""
    hosts_kb_s: float
    """Traffic of the host list, kilobytes per second."""
    messages_s: float
    """Messages per second to and from peers."""
    core_percent: float
    """Processor time, percent of a core."""
    busiest_percent: float
    """Processor time of the busiest node, percent of a core."""
    mb: float
    """Resident memory, megabytes."""
    writes_s: float
    """Writes of the fleet to the key-value service per second."""
    reads_s: float
    """Reads and renewals of the fleet per second, plus its open watches."""
    renewals_s: float
    """Lease renewals of the fleet per second; included in `reads_s`."""


@dataclass(slots=True)
class _Sample:
    time_ms: float
    processor_s: list[float]
    control_bytes: float
    host_bytes: float
    messages: float
    mb: float
    calls: dict[str, int]
    watches: int


def make_region(number: int, routers: int, accounts: int, servers: int) -> Deployment:
    """Return a region with one plain service.

    Args:
        number: Number of the region.
        routers: Number of routers.
        accounts: Number of accounts of the service.
        servers: Number of backend servers of the service.

    Returns:
        The deployment, as a separate side.
    """
    side, region = f"side-{number}", f"region-{number}"
    domains = ["norte", "sur"]
    shapes = [ServerShape(f"s-{i}", domains[i % 2]) for i in range(servers)]
    shares = {f"account-{i}": 1.0 for i in range(accounts)}
    service = ServiceShape(side, "registro", "plain", region, shapes, shares, 4)
    service.options["warm_after"] = 0
    return Deployment(side, region, domains, [service], routers)


def _resident_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024.0


def _read_counters(http: urllib3.PoolManager, admin: str) -> dict[tuple, float]:
    text = http.request("GET", f"http://{admin}/metrics").data.decode()
    return {(n, kind): float(v) for n, kind, v in _METRIC_PATTERN.findall(text)}


def _sum_of(counters: list[dict], metric: str, *kinds: str) -> float:
    return sum(c.get((metric, kind), 0.0) for c in counters for kind in kinds)


def _take_sample(fleet: Fleet, http: urllib3.PoolManager) -> _Sample:
    pids = [router.process.pid for router in fleet.routers.values()]
    # Read processor time first: reading the counters consumes some.
    time_ms, used_s = Clock().now_ms(), [processor_s(pid) for pid in pids]
    counters = [_read_counters(http, r.admin) for r in fleet.routers.values()]
    record = fleet.fetch("GET", fleet.store, "/_record")
    return _Sample(
        time_ms,
        used_s,
        _sum_of(counters, "peer_total", "bytes_sent", "bytes_received")
        + _sum_of(counters, "platform_total", "bytes_in", "bytes_out"),
        _sum_of(counters, "platform_total", "hosts_bytes_in"),
        _sum_of(counters, "peer_total", "messages_sent", "messages_received"),
        sum(_resident_mb(pid) for pid in pids),
        record["calls"],
        record["watches"],
    )


def watch_cost(fleet: Fleet, window_s: float) -> Cost:
    """Measure the cost of a running fleet.

    Args:
        fleet: The fleet.
        window_s: Duration of the measurement, seconds.

    Returns:
        The cost.
    """
    http = urllib3.PoolManager(num_pools=len(fleet.routers) + 1, retries=False)
    before = _take_sample(fleet, http)
    eventlet.sleep(window_s)
    after = _take_sample(fleet, http)
    routers = len(fleet.routers)
    elapsed_s = (after.time_ms - before.time_ms) / 1000.0
    pairs = zip(before.processor_s, after.processor_s, strict=True)
    percents = [(b - a) / elapsed_s * 100.0 for a, b in pairs]

    def kb_s(earlier_bytes: float, later_bytes: float) -> float:
        return (later_bytes - earlier_bytes) / elapsed_s / routers / 1000.0

    def calls(*kinds: str) -> float:
        total = sum(after.calls.get(k, 0) - before.calls.get(k, 0) for k in kinds)
        return total / elapsed_s

    return Cost(
        kb_s=kb_s(before.control_bytes, after.control_bytes),
        hosts_kb_s=kb_s(before.host_bytes, after.host_bytes),
        messages_s=(after.messages - before.messages) / elapsed_s / routers,
        core_percent=sum(percents) / routers,
        busiest_percent=max(percents),
        mb=after.mb / routers,
        writes_s=calls(*WRITE_KINDS),
        reads_s=calls(*READ_KINDS) + after.watches,
        renewals_s=calls("renew"),
    )


def _start_light_load(fleet: Fleet, window_s: float, seed: int) -> list:
    until_ms = Clock().now_ms() + window_s * 1000.0
    threads = []
    for deployment in fleet.deployments:
        routers = {
            name: router.callers
            for name, router in fleet.routers.items()
            if router.side == deployment.side
        }
        service = deployment.services[0]
        for home in range(len(routers)):
            caller = Caller(UnevenBalancer(routers, home, seed + home))
            make_call = _call_factory(service, random.Random(f"{seed} {home}"))
            arguments = (caller, make_call, until_ms, CALLS_PER_ROUTER_S, seed + home)
            threads.append(eventlet.spawn(call_at_rate, *arguments))
    return threads


def _call_factory(service: ServiceShape, rng: random.Random) -> Callable:
    names = list(service.accounts)
    side, name = service.side, service.name

    def make():
        account = rng.choice(names)
        return make_plain(side, name, account, WORK_MS, "/search", True)

    return make


def run_size(
    routers: int, regions: int, accounts: int, servers: int, window_s: float, seed: int
) -> tuple[Cost, Cost]:
    """Measure the cost of a fleet of one size without load and with a light load.

    Args:
        routers: Routers per region.
        regions: Number of regions.
        accounts: Accounts of each region's service.
        servers: Servers of each region's service.
        window_s: Duration of each measurement, seconds.
        seed: Seed of the calls.

    Returns:
        Cost without load and cost with a light load.
    """
    deployments = [
        make_region(number, routers, accounts, servers)
        for number in range(1, regions + 1)
    ]
    with Fleet(deployments, settings=SETTINGS) as fleet:
        eventlet.sleep(SETTLE_S)
        idle = watch_cost(fleet, window_s)
        threads = _start_light_load(fleet, window_s + 1.0, seed)
        loaded = watch_cost(fleet, window_s)
        for thread in threads:
            thread.wait()
    return idle, loaded


def _slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line, 0 if it is negative.

    Example:
        >>> _slope([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)])
        2.0
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return max(0.0, covariance / sum((x - mean_x) ** 2 for x, _ in points))


def extrapolate(costs: dict[tuple[int, int], Cost], name: str) -> tuple[float, ...]:
    """Return how one cost grows, and its estimate at the target size.

    Assumes that the cost is linear in the routers per region and in the routers of
    the whole fleet.

    Args:
        costs: Cost by routers per region and number of regions, as in SIZES.
        name: Name of a field of the cost.

    Returns:
        Slope per router of the region, slope per router of the fleet, and the cost
        of a fleet of the target size.
    """
    small, large = SIZES[0][0], SIZES[1][0]
    values = {size: getattr(cost, name) for size, cost in costs.items()}
    points = [(n * k, value) for (n, k), value in values.items() if n == large]
    by_fleet = _slope(points)
    total_slope = (values[large, 1] - values[small, 1]) / (large - small)
    by_region = max(0.0, total_slope - by_fleet)
    additional_in_region = TARGET_ROUTERS / TARGET_REGIONS - large
    additional_in_fleet = TARGET_ROUTERS - large
    value = (
        values[large, 1]
        + by_region * additional_in_region
        + by_fleet * additional_in_fleet
    )
    return by_region, by_fleet, value


def _hosts_kb_s(costs: dict[tuple[int, int], Cost]) -> float:
    """Return the estimated traffic of the host list at the target size."""
    _, _, value = extrapolate(costs, "hosts_kb_s")
    # Lists longer than the measured ones are polled less often.
    poll_ms = float(SETTINGS["host-list"]["poll_ms"])
    pause_ms = host_list_pause_ms(TARGET_ROUTERS, poll_ms, MAX_LAG_MS)
    return value * poll_ms / (poll_ms + pause_ms)


def _add_slopes(measure: Measure, load: str, costs: dict, targets: dict) -> None:
    for field in fields(Cost):
        name = field.name
        by_region, by_fleet, value = extrapolate(costs, name)
        measure.add(f"{load}: {name}, by router of the region", by_region, "each")
        measure.add(f"{load}: {name}, by router of the fleet", by_fleet, "each")
        target = (AT_MOST, targets[name]) if name in targets else ("", 0.0)
        title = f"{load}: {name} at {TARGET_ROUTERS} routers"
        measure.add(title, value, "by the slopes", *target)
    _, _, kb_s = extrapolate(costs, "kb_s")
    total = kb_s + _hosts_kb_s(costs)
    title = f"{load}: kb_s with the host list at {TARGET_ROUTERS} routers"
    measure.add(title, total, "by the slopes", AT_MOST, TARGET_KB_S)


def _add_growth(
    measure: Measure, what: str, points: list[tuple[int, tuple[Cost, Cost]]]
) -> None:
    for index, load in enumerate(("no load", "light load")):
        for name in ("kb_s", "core_percent", "busiest_percent", "mb"):
            pairs = [(n, getattr(costs[index], name)) for n, costs in points]
            measure.add(f"{load}: {name}, by {what}", _slope(pairs), "each")


def measure_control(window_s: float, seed: int) -> Measure:
    """Measure the cost of routers for several fleet sizes and service sizes.

    Args:
        window_s: Duration of each measurement, seconds.
        seed: Seed of the calls.

    Returns:
        The measurement.
    """
    measure = Measure("control", "routers of the fleet", "KB/s of a node")
    idle, loaded = {}, {}
    base = (BASE_ACCOUNTS, BASE_SERVERS)
    for size in SIZES:
        idle[size], loaded[size] = run_size(*size, *base, window_s, seed)
        _print_costs(f"{size[0]} x {size[1]} routers", idle[size], loaded[size])
    accounts, servers = ([(n, (idle[SIZES[0]], loaded[SIZES[0]]))] for n in base)
    for count in MANY_ACCOUNTS:
        costs = run_size(*SIZES[0], count, BASE_SERVERS, window_s, seed)
        accounts.append((count, costs))
        _print_costs(f"{count} accounts", *costs)
    for count in MANY_SERVERS:
        costs = run_size(*SIZES[0], BASE_ACCOUNTS, count, window_s, seed)
        servers.append((count, costs))
        _print_costs(f"{count} servers", *costs)
    platform = {"writes_s": TARGET_WRITES_S, "reads_s": TARGET_READS_S}
    node = {"mb": TARGET_MB}
    # Under load, the calls themselves use most of the processor time.
    processor = {"core_percent": TARGET_CORE_PERCENT}
    _add_slopes(measure, "no load", idle, {**platform, **node, **processor})
    _add_slopes(measure, "light load", loaded, {**platform, **node})
    _add_growth(measure, "account", accounts)
    _add_growth(measure, "server", servers)
    for title, costs in (("no load", idle), ("light load", loaded)):
        sizes = [n * k for n, k in costs]
        curve = Series(title, sizes, [cost.kb_s for cost in costs.values()])
        measure.curves.append(curve)
    return measure


def _print_costs(title: str, *costs: Cost) -> None:
    for load, cost in zip(("no load", "light load"), costs, strict=True):
        values = " ".join(f"{f.name}={getattr(cost, f.name):.3g}" for f in fields(cost))
        print(f"  {title}, {load}: {values}", flush=True)
