"""Measures the cost of the path through two routers compared with a direct call.

    python -m lagoonsail_lab.path_cost [--rounds N]

The entry router does not own the shards, so each call needs a slot from another
process. Both paths lead to the same stand-ins and are measured alternately in one run.
"""

from __future__ import annotations

import json
import os
import sys
from dataclasses import asdict, dataclass

import defopt

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_lab.deployments import (
    Deployment,
    ServerShape,
    ServiceShape,
    account_key,
)
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.percentile import percentile
from lagoonsail_lab.process_usage import processor_s

SIDE, REGION, ACCOUNT = "cordero", "sierra-central", "prensa"
"""Names of the only deployment: side, region and account."""
PLAIN, ENGINE = "registro", "asistente"
"""Names of its services."""
STREAMS = 32
"""Number of concurrent streams."""
TOKENS = 100
"""Tokens of each stream."""
TOKEN_MS = 20.0
"""Time that the engine takes for one token."""
WARM_TOKENS = 3
"""Tokens of a stream that only warms up the engine."""
LOAD_REPORT_LAG_S = 3.5
"""Time until load reports no longer include direct calls, seconds."""
WARM_UP_TIMEOUT_MS = 60_000.0
"""Time allowed for the limits to become full, milliseconds."""


@dataclass(slots=True)
class PathTimings:
    """Timings of one path to the stand-ins."""

    plain_p50_ms: float
    """Median latency of a plain call."""
    plain_p99_ms: float
    """99th percentile of the latency of a plain call."""
    first_p50_ms: float
    """Median time to the first token."""
    token_gap_p95_ms: float
    """95th percentile of the time between two tokens at the caller."""


@dataclass(slots=True)
class Cost:
    """Processor time of the routers, in microseconds."""

    entry_us_per_call: float
    """Entry router, per plain call."""
    owner_us_per_call: float
    """Owner, per plain call."""
    entry_us_per_chunk: float
    """Entry router, per chunk of a stream, including the fixed cost of the stream."""
    owner_us_per_chunk: float
    """Owner, per chunk of a stream, including the fixed cost of the stream."""


def make_deployment() -> Deployment:
    """Return two routers with one plain server and one engine, both warm."""

    def make(name: str, kind: str, slots: int, **options: float) -> ServiceShape:
        shapes = [ServerShape(f"{name}-1", "banos")]
        service = ServiceShape(SIDE, name, kind, REGION, shapes, {ACCOUNT: 1.0}, slots)
        service.options.update(warm_after=0, **options)
        return service

    services = [
        make(PLAIN, "plain", 4, work_ms=1.0),
        make(ENGINE, "engine", STREAMS, token_ms=TOKEN_MS, first_ms=5.0),
    ]
    return Deployment(SIDE, REGION, ["banos"], services, 2)


class Client:
    """Calls the services over persistent connections."""

    __slots__ = ("_clock", "_http", "_prefixes")

    def __init__(self, prefixes: dict[str, str]) -> None:
        self._clock = Clock()
        self._http = urllib3.PoolManager(maxsize=STREAMS, retries=False, timeout=60.0)
        self._prefixes = prefixes

    def _headers(self, service: str) -> dict[str, str]:
        key = account_key(SIDE, service, ACCOUNT)
        return {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}

    def plain_ms(self) -> float:
        """Return the latency of a plain call."""
        start_ms = self._clock.now_ms()
        url = f"{self._prefixes[PLAIN]}/search"
        answer = self._http.request("GET", url, headers=self._headers(PLAIN))
        assert answer.status == 200, answer.data
        return self._clock.now_ms() - start_ms

    def stream_ms(self, tokens: int = TOKENS) -> tuple[float, list[float]]:
        """Return the time to the first token of a stream, and gaps between tokens."""
        body = json.dumps({"prompt": f"#tokens={tokens}", "stream": True})
        start_ms = self._clock.now_ms()
        answer = self._http.request(
            "POST",
            f"{self._prefixes[ENGINE]}/v1/completions",
            body=body,
            headers=self._headers(ENGINE),
            preload_content=False,
        )
        assert answer.status == 200, answer.data
        times_ms = [self._clock.now_ms() for _ in answer.read_chunked()]
        answer.release_conn()
        gaps = [b - a for a, b in zip(times_ms, times_ms[1:], strict=False)]
        return times_ms[0] - start_ms, gaps


def measure_path(client: Client, calls: int) -> PathTimings:
    """Measure the timings of calls and streams through a client."""
    plain = [client.plain_ms() for _ in range(calls)]
    threads = [eventlet.spawn(client.stream_ms) for _ in range(STREAMS)]
    streams = [thread.wait() for thread in threads]
    gaps = [gap for _, all_gaps in streams for gap in all_gaps]
    return PathTimings(
        percentile(plain, 50),
        percentile(plain, 99),
        percentile([first for first, _ in streams], 50),
        percentile(gaps, 95),
    )


def measure_cost(client: Client, pids: list[int], calls: int) -> Cost:
    """Measure the processor time of entry router and owner per call and chunk."""

    def measure_us(work) -> list[float]:
        before_s = [processor_s(pid) for pid in pids]
        work()
        after_s = [processor_s(pid) for pid in pids]
        used_s = zip(before_s, after_s, strict=True)
        return [1e6 * (after - before) for before, after in used_s]

    def stream_all() -> None:
        threads = [eventlet.spawn(client.stream_ms) for _ in range(STREAMS)]
        for thread in threads:
            thread.wait()

    by_call = measure_us(lambda: [client.plain_ms() for _ in range(calls)])
    by_chunk = measure_us(stream_all)
    chunks = STREAMS * TOKENS
    return Cost(
        by_call[0] / calls,
        by_call[1] / calls,
        by_chunk[0] / chunks,
        by_chunk[1] / chunks,
    )


def warm_up(fleet: Fleet, owner: str, client: Client) -> None:
    """Call until the owner grants all slots of both servers."""
    clock = Clock()
    until_ms = clock.now_ms() + WARM_UP_TIMEOUT_MS
    while clock.now_ms() < until_ms:
        tasks = [eventlet.spawn(client.stream_ms, WARM_TOKENS) for _ in range(STREAMS)]
        tasks += [eventlet.spawn(client.plain_ms) for _ in range(STREAMS)]
        for task in tasks:
            task.wait()
        shards = fleet.status(owner)["shards"].values()
        if all(s["warm"] for shard in shards for s in shard["servers"].values()):
            return
    raise SystemExit(
        "the owner did not raise the limits to all slots in time; "
        "run the measurement on a less busy machine"
    )


def find_owner(fleet: Fleet) -> str:
    """Return the router that owns both shards."""
    clock = Clock()
    until_ms = clock.now_ms() + 10000.0
    while clock.now_ms() < until_ms:
        for name in fleet.routers:
            status = fleet.status(name)
            if status and len(status["shards"]) == 2:
                return name
        eventlet.sleep(0.1)
    raise SystemExit("no router owns both shards; run the measurement again")


def main(*, calls: int = 300, rounds: int = 2) -> int:
    """Measure both paths alternately and print the figures as JSON.

    Args:
        calls: Plain calls per round.
        rounds: Rounds of each path.

    Returns:
        0.
    """
    with Fleet([make_deployment()]) as fleet:
        owner = find_owner(fleet)
        entry = next(name for name in fleet.routers if name != owner)
        address = fleet.routers[entry].callers
        routed = Client({s: f"http://{address}/{SIDE}/{s}" for s in (PLAIN, ENGINE)})
        addresses = {
            s: fleet.backends[f"{SIDE}/{s}-1"].address for s in (PLAIN, ENGINE)
        }
        direct = Client({s: f"http://{addresses[s]}" for s in (PLAIN, ENGINE)})
        timings = {"direct": [], "routed": []}
        for _ in range(rounds):
            timings["direct"].append(measure_path(direct, calls))
            # The owner sees direct calls as load it did not grant and lowers the limit.
            eventlet.sleep(LOAD_REPORT_LAG_S)
            warm_up(fleet, owner, routed)
            timings["routed"].append(measure_path(routed, calls))
        pids = [fleet.routers[name].process.pid for name in (entry, owner)]
        cost = measure_cost(routed, pids, calls)
    last_direct, last_routed = timings["direct"][-1], timings["routed"][-1]
    ratios = {
        name: round(getattr(last_routed, name) / getattr(last_direct, name), 2)
        for name in PathTimings.__slots__
    }
    result = {
        "load_average": os.getloadavg()[0],
        **{
            name: [asdict(timing) for timing in path_timings]
            for name, path_timings in timings.items()
        },
        "routed_to_direct": ratios,
        "processor": asdict(cost),
    }
    print(json.dumps(result, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
