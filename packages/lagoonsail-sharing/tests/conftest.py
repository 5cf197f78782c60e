from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from lagoonsail_sharing.waiting import WaitingRequest


@dataclass
class Load:
    """Drives a queue: requests arrive, run on a few slots and end in any order."""

    queue: object
    slots: int
    on_pick: object = None
    free: list[int] = field(default_factory=list)
    running: dict[int, tuple[str, float]] = field(default_factory=dict)
    costs: dict[tuple, float] = field(default_factory=dict)
    cost_run: dict[str, float] = field(default_factory=dict)
    order: list[str] = field(default_factory=list)
    last_number: int = 0

    def __post_init__(self):
        self.free = list(range(self.slots))

    def arrive(self, account: str, cost: float, hint: float = 0.0) -> bool:
        self.last_number += 1
        ticket = (account, self.last_number)
        self.costs[ticket] = cost
        waiting = WaitingRequest(
            ticket, account, hint, since_ms=float(self.last_number)
        )
        return self.queue.add(waiting)

    def take_over(self, account: str, cost: float) -> None:
        """Charge a running request that an earlier owner started."""
        if self.free:
            self.last_number += 1
            slot = self.free.pop()
            self.queue.start(
                WaitingRequest(("old", self.last_number), account, cost), slot
            )
            self.running[slot] = (account, cost)

    def fill(self) -> None:
        while self.free:
            waiting = self.queue.pick()
            if waiting is None:
                return
            if self.on_pick:
                self.on_pick(self)
            slot = self.free.pop()
            self.queue.start(waiting, slot)
            self.running[slot] = (waiting.account, self.costs[waiting.ticket])
            self.order.append(waiting.account)

    def progress(self, index: int, fraction: float) -> None:
        if self.running:
            slot = sorted(self.running)[index % len(self.running)]
            self.queue.progress(slot, self.running[slot][1] * fraction)

    def end(self, index: int) -> None:
        if not self.running:
            return
        slot = sorted(self.running)[index % len(self.running)]
        account, cost = self.running.pop(slot)
        self.cost_run[account] = self.cost_run.get(account, 0.0) + cost
        self.queue.settle(slot, cost)
        self.free.append(slot)

    def run(self, requests: int) -> None:
        """Run a number of requests to completion, cycling through the used slots."""
        for number in range(requests):
            self.fill()
            self.end(number)


@pytest.fixture(scope="session")
def make_load():
    return Load
