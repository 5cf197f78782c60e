"""Measures the hit rate of the engines' prefix caches, and its effect on latency.

    python -m lagoonsail_lab.prefix_locality [--duration-s S] [--busy BUSY] [--seed N]

Each conversation of an account begins with its own long prompt, so an engine that has
served the conversation before has that prompt cached. The project's routers and the
baseline's random choice are measured one after the other.
"""

from __future__ import annotations

import random
import re
import sys
from typing import TYPE_CHECKING

import defopt

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_lab.backlog import (
    SERVICE,
    SETTLE_S,
    find_owner,
    make_fleet,
)
from lagoonsail_lab.caller import Balancer, Caller, call_at_rate, make_prompt
from lagoonsail_lab.percentile import percentile

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_lab.call_record import Call
    from lagoonsail_lab.deployments import ServiceShape
    from lagoonsail_lab.fleet import Fleet

CONVERSATIONS = 8
"""Number of conversations of each account."""
PROMPT_CHARACTERS = 8192
"""Length of the prompt prefix that the calls of a conversation share."""
TOKENS = 20
"""Length of an answer, tokens."""
PREFILL_MS = 40.0
"""Time that an engine takes for 1000 characters not in its cache, milliseconds."""
RUN_MS = 40.0 + 20.0 * TOKENS + PREFILL_MS * PROMPT_CHARACTERS / 2000.0
"""Approximate duration of a run if half of its prompt is cached, milliseconds."""
WARM_UP_S = 20.0
"""Time under load before the measurement, in which limits grow, seconds."""

_CACHE_COUNTER_PATTERN = re.compile(
    r"^engine:prefix_cache_(queries|hits) (\S+)$", re.MULTILINE
)


def make_conversations(account: str) -> list[str]:
    """Return the prompt prefixes of an account's conversations.

    Args:
        account: Name of the account.

    Returns:
        Texts of PROMPT_CHARACTERS characters.
    """
    rng = random.Random(account)
    letters = "abcdefghijklmnopqrstuvwxyz "
    return [
        "".join(rng.choices(letters, k=PROMPT_CHARACTERS)) for _ in range(CONVERSATIONS)
    ]


def _call_factory(
    service: ServiceShape, account: str, rng: random.Random
) -> Callable[[], Call]:
    texts = make_conversations(account)

    def make() -> Call:
        text = f"{rng.choice(texts)} {rng.getrandbits(64):x}"
        return make_prompt(service.side, service.name, account, TOKENS, True, text)

    return make


def read_blocks(fleet: Fleet) -> tuple[float, float]:
    """Return the prompt blocks looked up so far, and how many of them were cached."""
    pool = urllib3.PoolManager(retries=False, timeout=5.0)
    total = {"queries": 0.0, "hits": 0.0}
    for backend in fleet.backends.values():
        text = pool.request("GET", f"http://{backend.address}/metrics").data.decode()
        for kind, value in _CACHE_COUNTER_PATTERN.findall(text):
            total[kind] += float(value)
    return total["queries"], total["hits"]


def run_fleet(
    is_baseline: bool, duration_s: float, busy: float, seed: int
) -> dict[str, float]:
    """Measure the project's routers or the baseline.

    Args:
        is_baseline: Whether to run baseline routers instead of the project's.
        duration_s: Duration of the measurement, seconds.
        busy: Fraction of the slots that the calls use.
        seed: Seed of the calls.

    Returns:
        Figures by name.
    """
    clock = Clock()
    with make_fleet(is_baseline, prefill_ms=PREFILL_MS) as fleet:
        service = fleet.deployments[0].find(SERVICE)
        addresses = {n: (r.callers, r.admin) for n, r in fleet.routers.items()}
        balancer = Balancer(addresses, seed)
        slots = service.slots * len(service.servers)
        rate = busy * slots / RUN_MS * 1000.0 / len(service.accounts)
        until_ms = clock.now_ms() + (WARM_UP_S + duration_s) * 1000.0
        caller = Caller(balancer)
        threads = []
        for number, account in enumerate(service.accounts):
            make_call = _call_factory(
                service, account, random.Random(f"{seed} {account}")
            )
            arguments = (caller, make_call, until_ms, rate, seed + number)
            threads.append(eventlet.spawn(call_at_rate, *arguments))
        eventlet.sleep(WARM_UP_S)
        from_ms, before = clock.wall_ms(), read_blocks(fleet)
        for thread in threads:
            thread.wait()
        eventlet.sleep(SETTLE_S)
        after = read_blocks(fleet)
        figures = {"setbacks": 0.0}
        if not is_baseline:
            _, shard = find_owner(fleet, service)
            servers = shard["servers"].values()
            figures["setbacks"] = sum(bool(s["setback"]) for s in servers)
            figures["warm"] = sum(s["warm"] for s in servers)
        balancer.stop()
    records = [r for r in caller.records if r.attempts[0].started_wall_ms > from_ms]
    first_ms = [record.first_ms for record in records if record.is_whole]
    figures["calls"] = len(records)
    figures["whole"] = len(first_ms)
    figures["held"] = (after[1] - before[1]) / max(1.0, after[0] - before[0])
    figures["first token, p50 / ms"] = percentile(first_ms, 50)
    figures["first token, p99 / ms"] = percentile(first_ms, 99)
    return figures


def main(*, duration_s: float = 20.0, busy: float = 0.6, seed: int = 1) -> int:
    """Measure the project's routers and the baseline.

    Args:
        duration_s: Duration of the measurement, seconds.
        busy: Fraction of the slots that the calls use.
        seed: Seed of the calls.

    Returns:
        0 if the project's routers have the higher cache hit rate.
    """
    hit_rates = {}
    for title, is_baseline in (("fleet", False), ("baseline", True)):
        figures = run_fleet(is_baseline, duration_s, busy, seed)
        hit_rates[title] = figures["held"]
        for name, value in figures.items():
            print(f"{title:<9}{name:<24}{value:>10.3g}", flush=True)
    return 0 if hit_rates["fleet"] > hit_rates["baseline"] else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
