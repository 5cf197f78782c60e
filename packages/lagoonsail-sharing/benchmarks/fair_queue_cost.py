"""Measure what the fair queue costs for each request, and its memory.

A tenth of the accounts is backlogged; 64 slots are in use. Prints one JSON object for
each number of accounts.

Run: python packages/lagoonsail-sharing/benchmarks/fair_queue_cost.py [--seed N]
"""

from __future__ import annotations

import json
import time
import tracemalloc
from random import Random

import defopt

from lagoonsail_sharing.fair_queue import FairQueue
from lagoonsail_sharing.waiting import Waiting

SLOTS = 64
"""Slots in use at once."""
WAITING = 8
"""Requests that wait for each backlogged account."""


def _fill(queue: FairQueue, names: list[str]) -> None:
    for name in names:
        for number in range(WAITING):
            queue.add(Waiting((name, number), name, 100.0, since_ms=float(number)))


def _make_queue(accounts: int, random: Random) -> tuple[FairQueue, list[str]]:
    names = [f"account-{number}" for number in range(accounts)]
    queue = FairQueue(WAITING + 1, max_cost=4096.0, slots=SLOTS)
    queue.set_shares({name: float(random.randint(1, 4)) for name in names})
    return queue, names


def measure_times(accounts: int, backlogged: int, requests: int, seed: int) -> dict:
    """Return the mean time of each operation in microseconds."""
    random = Random(seed)
    queue, names = _make_queue(accounts, random)
    _fill(queue, names[:backlogged])
    spent_ns = {"add": 0, "pick": 0, "start": 0, "settle": 0}
    now_ns = time.perf_counter_ns
    for slot in range(requests):
        begin = now_ns()
        waiting = queue.pick()
        picked = now_ns()
        queue.start(waiting, slot)
        started = now_ns()
        spent_ns["pick"] += picked - begin
        spent_ns["start"] += started - picked
        if slot >= SLOTS:
            cost = random.uniform(1.0, 400.0)
            begin = now_ns()
            queue.settle(slot - SLOTS, cost)
            spent_ns["settle"] += now_ns() - begin
        # Each account stays backlogged, as with callers that always have more.
        ticket = (waiting.account, WAITING + slot)
        following = Waiting(ticket, waiting.account, 100.0, since_ms=float(slot))
        begin = now_ns()
        queue.add(following)
        spent_ns["add"] += now_ns() - begin
    times = {f"{k}_us": round(v / requests / 1000.0, 2) for k, v in spent_ns.items()}
    whole = sum(spent_ns[k] for k in ("pick", "start", "settle"))
    times["pick_start_settle_us"] = round(whole / requests / 1000.0, 2)
    return times


def measure_memory(accounts: int, seed: int) -> float:
    """Return the bytes that each account takes without any request."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    queue, _ = _make_queue(accounts, Random(seed))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return round(used / len(queue.service()), 1)


def measure_join(accounts: int, backlogged: int, seed: int) -> float:
    """Return the mean microseconds in which an idle account becomes backlogged."""
    queue, names = _make_queue(accounts, Random(seed))
    _fill(queue, names[:backlogged])
    idle = names[backlogged:] or names[-1:]
    spent_ns = 0
    for number in range(500):
        name = idle[number % len(idle)]
        waiting = Waiting(("join", number), name, 1.0)
        begin = time.perf_counter_ns()
        queue.add(waiting)
        spent_ns += time.perf_counter_ns() - begin
        queue.cancel(waiting.ticket)
    return round(spent_ns / 500 / 1000.0, 2)


def main(*, requests: int = 50_000, seed: int = 1) -> None:
    """Print the figures as JSON lines.

    Args:
        requests: Requests run at each scale.
        seed: Seed of costs and shares.
    """
    for accounts in (16, 100, 570, 5700):
        backlogged = max(1, accounts // 10)
        figures = {
            "accounts": accounts,
            "backlogged": backlogged,
            **measure_times(accounts, backlogged, requests, seed),
            "join_us": measure_join(accounts, backlogged, seed),
            "bytes_per_account": measure_memory(accounts, seed),
        }
        print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    defopt.run(main)
