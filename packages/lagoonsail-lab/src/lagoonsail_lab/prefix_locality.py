"""Measure how many prompt blocks engines find in their caches, and what that gives.

    python -m lagoonsail_lab.prefix_locality [--duration-s S] [--busy PART] [--seed N]

Conversations of each account begin with a long prompt of their own, so that an engine
that served one before need not work through it again. Both the project's routers and
the baseline's random choice are measured, one after the other.
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
"""Conversations of each account."""
PROMPT_CHARACTERS = 8192
"""Length of what all calls of a conversation begin with."""
TOKENS = 20
"""Length of an answer."""
PREFILL_MS = 40.0
"""Time of an engine for 1000 characters that it does not hold, milliseconds."""
RUN_MS = 40.0 + 20.0 * TOKENS + PREFILL_MS * PROMPT_CHARACTERS / 2000.0
"""About how long a run takes if half of its prompt is held, milliseconds."""
FILL_S = 20.0
"""Time of load before anything is counted, in which limits grow, seconds."""

_SAMPLE = re.compile(r"^engine:prefix_cache_(queries|hits) (\S+)$", re.MULTILINE)


def make_conversations(account: str) -> list[str]:
    """Return the beginnings of an account's conversations.

    Args:
        account: Name of the account.

    Returns:
        Texts of PROMPT_CHARACTERS.
    """
    chance = random.Random(account)
    letters = "abcdefghijklmnopqrstuvwxyz "
    return [
        "".join(chance.choices(letters, k=PROMPT_CHARACTERS))
        for _ in range(CONVERSATIONS)
    ]


def _next_call(
    service: ServiceShape, account: str, chance: random.Random
) -> Callable[[], Call]:
    texts = make_conversations(account)

    def make() -> Call:
        text = f"{chance.choice(texts)} {chance.getrandbits(64):x}"
        return make_prompt(service.side, service.name, account, TOKENS, True, text)

    return make


def read_blocks(fleet: Fleet) -> tuple[float, float]:
    """Return how many blocks all prompts had so far, and how many were held."""
    pool = urllib3.PoolManager(retries=False, timeout=5.0)
    total = {"queries": 0.0, "hits": 0.0}
    for backend in fleet.backends.values():
        text = pool.request("GET", f"http://{backend.address}/metrics").data.decode()
        for kind, value in _SAMPLE.findall(text):
            total[kind] += float(value)
    return total["queries"], total["hits"]


def run_fleet(
    is_baseline: bool, duration_s: float, busy: float, seed: int
) -> dict[str, float]:
    """Measure one kind of routers.

    Args:
        is_baseline: Whether routers are those of the baseline.
        duration_s: How long is counted, seconds.
        busy: Part of the slots that the calls are to use.
        seed: Seed of what is called.

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
        until_ms = clock.now_ms() + (FILL_S + duration_s) * 1000.0
        caller = Caller(balancer)
        threads = []
        for number, account in enumerate(service.accounts):
            calls = _next_call(service, account, random.Random(f"{seed} {account}"))
            arguments = (caller, calls, until_ms, rate, seed + number)
            threads.append(eventlet.spawn(call_at_rate, *arguments))
        eventlet.sleep(FILL_S)
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
    """Measure the routers of the project and of the baseline.

    Args:
        duration_s: How long is counted, seconds.
        busy: Part of the slots that the calls are to use.
        seed: Seed of what is called.

    Returns:
        0 if the project's routers find more in the caches.
    """
    held = {}
    for title, is_baseline in (("fleet", False), ("baseline", True)):
        figures = run_fleet(is_baseline, duration_s, busy, seed)
        held[title] = figures["held"]
        for name, value in figures.items():
            print(f"{title:<9}{name:<24}{value:>10.3g}", flush=True)
    return 0 if held["fleet"] > held["baseline"] else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
