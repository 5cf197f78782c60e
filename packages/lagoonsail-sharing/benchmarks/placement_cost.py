"""Measure the processor time to choose a server among the 42 servers of a shard.

24 of them use one of their 8 slots. Prints one JSON object: microseconds per choice by
the number of servers that have the prefix cached, as the minimum of seven rounds.

Run: python packages/lagoonsail-sharing/benchmarks/placement_cost.py
"""

from __future__ import annotations

import json
import time

from lagoonsail_sharing.placement import Candidate, choose_server
from lagoonsail_sharing.prefix_index import PrefixIndex

SERVERS = 42
"""Servers of a shard at the target scale."""
CHOICES = 600
"""Choices per round."""


def measure(holders: int, prefix: list[int]) -> float:
    """Return the processor time of one choice, in microseconds.

    Args:
        holders: Number of servers that have the prefix cached.
        prefix: Hashes of the prompt's prefixes.
    """
    index = PrefixIndex()
    names = [f"asistente-{number}" for number in range(SERVERS)]
    for number, name in enumerate(names):
        index.add(name, prefix if number < holders else [5, 6])
    servers = [Candidate(name, 8, n < 24) for n, name in enumerate(names)]
    best_s = float("inf")
    for _ in range(7):
        begin_s = time.process_time()
        for _ in range(CHOICES):
            choose_server(servers, prefix, index, lambda name: True)
        best_s = min(best_s, time.process_time() - begin_s)
    return round(best_s / CHOICES * 1e6, 1)


def main() -> None:
    """Print the results."""
    prefix = [2**63 + 1, 2**63 + 2]
    results = {f"{n} hold it": measure(n, prefix) for n in (0, 2, SERVERS)}
    print(json.dumps(results | {"no prefix": measure(0, [])}))


if __name__ == "__main__":
    main()
