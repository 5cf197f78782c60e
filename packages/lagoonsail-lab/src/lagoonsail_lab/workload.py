"""Callers of both deployments, unevenly spread over the routers."""

from __future__ import annotations

import random
from math import ceil
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import Balancer, Caller, make_plain, make_prompt

if TYPE_CHECKING:
    from lagoonsail_lab.call_record import Call, CallRecord
    from lagoonsail_lab.deployments import ServiceShape
    from lagoonsail_lab.fleet import Fleet

TOKENS = (8, 40)
"""Shortest and longest answer of an engine."""
WORK_MS = (5.0, 60.0)
"""Shortest and longest work of a plain call, milliseconds."""
ENGINE_PAUSE_S = 0.2
"""Mean pause of an engine's caller, seconds."""
PLAIN_PAUSE_S = 0.4
"""Mean pause of a plain service's caller, seconds."""
HINT_FACTOR = 4.0
"""Hints of the cost are wrong by up to this factor."""
LEAVING = 0.04
"""Part of the calls whose caller goes away early."""
PATIENCE_S = (0.02, 0.6)
"""Shortest and longest patience of a caller that goes away, seconds."""
RETRYING = 0.8
"""Part of the accounts that send a call in doubt again with the same key."""
WITHOUT_KEY = 0.2
"""Part of the calls that may not be repeated and carry no idempotency key."""
PREFERRED_ROUTERS = 2
"""Routers that most calls of one account go to."""


class Workload:
    """All callers of a run and their records."""

    __slots__ = ("_balancers", "_callers", "_chance", "_clock", "_fleet", "_is_over")

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Make a caller for each account of each side; nobody calls yet.

        Args:
            fleet: The running fleet.
            seed: Seed of what is called where.
        """
        self._fleet = fleet
        self._clock = Clock()
        self._chance = random.Random(f"calls {seed}")
        self._is_over = False
        self._balancers: dict[str, Balancer] = {}
        self._callers: dict[tuple[str, str], Caller] = {}
        for deployment in fleet.deployments:
            routers = {
                name: (router.callers, router.admin)
                for name, router in fleet.routers.items()
                if router.side == deployment.side
            }
            self._balancers[deployment.side] = Balancer(routers, seed)
            accounts = {name for s in deployment.services for name in s.accounts}
            for account in sorted(accounts):
                self._add_caller(deployment.side, account, sorted(routers))

    def _add_caller(self, side: str, account: str, routers: list[str]) -> None:
        self._callers[side, account] = Caller(
            self._balancers[side],
            keep_alive=self._chance.random() < 0.5,
            preferred=frozenset(self._chance.sample(routers, PREFERRED_ROUTERS)),
            retries_unknown=self._chance.random() < RETRYING,
        )

    def start(self) -> list:
        """Start the steady callers.

        Returns:
            Green threads that end after `end`.
        """
        return [
            eventlet.spawn(self._call_steadily, service, account, number)
            for deployment in self._fleet.deployments
            for service in deployment.services
            for account, share in service.accounts.items()
            for number in range(ceil(share) if service.kind == "engine" else 1)
        ]

    def end(self) -> None:
        """Let no steady caller begin another call."""
        self._is_over = True

    def stop(self) -> None:
        """Look at the routers no longer."""
        for balancer in self._balancers.values():
            balancer.stop()

    def records(self) -> list[CallRecord]:
        """Return all calls."""
        return [r for caller in self._callers.values() for r in caller.records]

    def _call_steadily(self, service: ServiceShape, account: str, number: int) -> None:
        chance = random.Random(f"{self._chance.random()} {account} {number}")
        pause_s = ENGINE_PAUSE_S if service.kind == "engine" else PLAIN_PAUSE_S
        while not self._is_over:
            self._call_once(service, account, chance)
            eventlet.sleep(chance.expovariate(1.0 / pause_s))

    def _call_once(
        self, service: ServiceShape, account: str, chance: random.Random
    ) -> None:
        caller = self._callers[service.side, account]
        call = make_call(service, account, chance)
        if chance.random() < LEAVING:
            caller.abandon(call, chance.uniform(*PATIENCE_S))
            return
        caller.make(call)

    def burst(self, service: ServiceShape, account: str, callers: int) -> list:
        """Make many calls of one account at once.

        Args:
            service: The service.
            account: The account, unqualified.
            callers: How many.

        Returns:
            Green threads to wait for.
        """
        return [
            eventlet.spawn(
                self._call_once, service, account, random.Random(self._chance.random())
            )
            for _ in range(callers)
        ]

    def flood(
        self, service: ServiceShape, account: str, callers: int, duration_ms: float
    ) -> list:
        """Let many callers of one account call without pause.

        Args:
            service: The service.
            account: The account, unqualified.
            callers: How many.
            duration_ms: No call begins later, milliseconds.

        Returns:
            Green threads to wait for.
        """
        until_ms = self._clock.now_ms() + duration_ms

        def call(chance: random.Random) -> None:
            while self._clock.now_ms() < until_ms and not self._is_over:
                self._call_once(service, account, chance)
                eventlet.sleep(0.01)

        return [
            eventlet.spawn(call, random.Random(self._chance.random()))
            for _ in range(callers)
        ]


def make_call(service: ServiceShape, account: str, chance: random.Random) -> Call:
    """Return a call of an account: a stream, a whole completion or a plain one.

    Args:
        service: The service.
        account: The account, unqualified.
        chance: Draws the rest.

    Returns:
        The call.
    """
    if service.kind == "plain":
        path = chance.choice(["/bibs", "/search"])
        work_ms = round(chance.uniform(*WORK_MS), 1)
        call = make_plain(
            service.side, service.name, account, work_ms, path, path == "/search"
        )
        if chance.random() < WITHOUT_KEY:
            call.idempotency_key = ""
        return call
    beginning = f"{account} asks about topic {chance.randrange(4)}. " * 8
    text = f"{beginning} Number {chance.getrandbits(64):x}."
    tokens = chance.randint(*TOKENS)
    is_stream = chance.random() < 0.5
    call = make_prompt(service.side, service.name, account, tokens, is_stream, text)
    call.cost_hint = round(tokens * HINT_FACTOR ** chance.uniform(-1.0, 1.0), 1)
    return call
