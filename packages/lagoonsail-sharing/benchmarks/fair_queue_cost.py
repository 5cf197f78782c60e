"""Measure the processing time of the fair queue per request, and its memory.

A tenth of the accounts is backlogged and 64 slots are in use. Prints one JSON object
for each number of accounts.

Run: python packages/lagoonsail-sharing/benchmarks/fair_queue_cost.py [--seed N]
"""

from __future__ import annotations

import json
import time
import tracemalloc
from random import Random

import defopt

from lagoonsail_sharing.fair_queue import FairQueue
from lagoonsail_sharing.waiting import WaitingRequest

SLOTS = 64
"""Slots in use at once."""
WAITING_PER_ACCOUNT = 8
"""Waiting requests of each backlogged account."""


def _fill(queue: FairQueue, names: list[str]) -> None:
    for name in names:
        for number in range(WAITING_PER_ACCOUNT):
            queue.add(
                WaitingRequest((name, number), name, 100.0, since_ms=float(number))
            )


def _make_queue(accounts: int, random: Random) -> tuple[FairQueue, list[str]]:
    names = [f"account-{number}" for number in range(accounts)]
    queue = FairQueue(WAITING_PER_ACCOUNT + 1, max_cost=4096.0, slots=SLOTS)
    queue.set_shares({name: float(random.randint(1, 4)) for name in names})
    return queue, names


def measure_times(accounts: int, backlogged: int, requests: int, seed: int) -> dict:
    """Return the mean time of each operation, in microseconds."""
    random = Random(seed)
    queue, names = _make_queue(accounts, random)
    _fill(queue, names[:backlogged])
    spent_ns = {"add": 0, "pick": 0, "start": 0, "settle": 0}
    clock_ns = time.perf_counter_ns
    for slot in range(requests):
        begin_ns = clock_ns()
        waiting = queue.pick()
        picked_ns = clock_ns()
        queue.start(waiting, slot)
        started_ns = clock_ns()
        spent_ns["pick"] += picked_ns - begin_ns
        spent_ns["start"] += started_ns - picked_ns
        if slot >= SLOTS:
            cost = random.uniform(1.0, 400.0)
            begin_ns = clock_ns()
            queue.settle(slot - SLOTS, cost)
            spent_ns["settle"] += clock_ns() - begin_ns
        # Add a request for each one started, so that the account stays backlogged.
        ticket = (waiting.account, WAITING_PER_ACCOUNT + slot)
        next_request = WaitingRequest(
            ticket, waiting.account, 100.0, since_ms=float(slot)
        )
        begin_ns = clock_ns()
        queue.add(next_request)
        spent_ns["add"] += clock_ns() - begin_ns
    times = {f"{k}_us": round(v / requests / 1000.0, 2) for k, v in spent_ns.items()}
    total_ns = sum(spent_ns[k] for k in ("pick", "start", "settle"))
    times["pick_start_settle_us"] = round(total_ns / requests / 1000.0, 2)
    return times


def measure_memory(accounts: int, seed: int) -> float:
    """Return the memory of each account without requests, in bytes."""
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    queue, _ = _make_queue(accounts, Random(seed))
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    return round(used_bytes / len(queue.service()), 1)


def measure_join(accounts: int, backlogged: int, seed: int) -> float:
    """Return the mean time to add an idle account's request, in microseconds."""
    queue, names = _make_queue(accounts, Random(seed))
    _fill(queue, names[:backlogged])
    idle = names[backlogged:] or names[-1:]
    spent_ns = 0
    for number in range(500):
        name = idle[number % len(idle)]
        waiting = WaitingRequest(("join", number), name, 1.0)
        begin_ns = time.perf_counter_ns()
        queue.add(waiting)
        spent_ns += time.perf_counter_ns() - begin_ns
        queue.cancel(waiting.ticket)
    return round(spent_ns / 500 / 1000.0, 2)


def main(*, requests: int = 50_000, seed: int = 1) -> None:
    """Print the results as JSON lines.

    Args:
        requests: Number of requests run for each number of accounts.
        seed: Seed for costs and shares.
    """
    for accounts in (16, 100, 570, 5700):
        backlogged = max(1, accounts // 10)
        results = {
            "accounts": accounts,
            "backlogged": backlogged,
            **measure_times(accounts, backlogged, requests, seed),
            "join_us": measure_join(accounts, backlogged, seed),
            "bytes_per_account": measure_memory(accounts, seed),
        }
        print(json.dumps(results), flush=True)


if __name__ == "__main__":
    defopt.run(main)
