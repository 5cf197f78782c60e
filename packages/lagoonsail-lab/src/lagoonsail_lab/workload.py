"""Callers of both deployments, distributed unevenly over the routers."""

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
"""Minimum and maximum length of an engine's answer, tokens."""
WORK_MS = (5.0, 60.0)
"""Minimum and maximum work of a plain call, milliseconds."""
ENGINE_PAUSE_S = 0.2
"""Mean pause between two calls of a caller to an engine, seconds."""
PLAIN_PAUSE_S = 0.4
"""Mean pause between two calls of a caller to a plain service, seconds."""
MAX_HINT_FACTOR = 4.0
"""Maximum factor by which cost hints deviate from the cost."""
ABANDON_FRACTION = 0.04
"""Fraction of the calls that the caller may abandon early."""
ABANDON_AFTER_S = (0.02, 0.6)
"""Minimum and maximum time until a caller abandons such a call, seconds."""
RESENDING_FRACTION = 0.8
"""Fraction of the callers that resend a call that may have run, with its key."""
WITHOUT_KEY_FRACTION = 0.2
"""Fraction of the non-repeatable calls that are sent without idempotency key."""
PREFERRED_ROUTER_COUNT = 2
"""Number of routers that receive most calls of an account."""


class Workload:
    """Runs all callers of a run and gives access to their records."""

    __slots__ = ("_balancers", "_callers", "_rng", "_clock", "_fleet", "_is_over")

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Create a caller for each account of each side without making calls.

        Args:
            fleet: The running fleet.
            seed: Seed of the random choices.
        """
        self._fleet = fleet
        self._clock = Clock()
        self._rng = random.Random(f"calls {seed}")
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
            keep_alive=self._rng.random() < 0.5,
            preferred=frozenset(self._rng.sample(routers, PREFERRED_ROUTER_COUNT)),
            retries_unknown=self._rng.random() < RESENDING_FRACTION,
        )

    def start(self) -> list:
        """Start the steady callers.

        Returns:
            Green threads that end after `end`.
        """
        return [
            eventlet.spawn(self._call_until_end, service, account, number)
            for deployment in self._fleet.deployments
            for service in deployment.services
            for account, share in service.accounts.items()
            for number in range(ceil(share) if service.kind == "engine" else 1)
        ]

    def end(self) -> None:
        """Stop steady callers from starting further calls."""
        self._is_over = True

    def stop(self) -> None:
        """Stop polling the routers."""
        for balancer in self._balancers.values():
            balancer.stop()

    def records(self) -> list[CallRecord]:
        """Return the records of all calls."""
        return [r for caller in self._callers.values() for r in caller.records]

    def _call_until_end(self, service: ServiceShape, account: str, number: int) -> None:
        rng = random.Random(f"{self._rng.random()} {account} {number}")
        pause_s = ENGINE_PAUSE_S if service.kind == "engine" else PLAIN_PAUSE_S
        while not self._is_over:
            self._call_once(service, account, rng)
            eventlet.sleep(rng.expovariate(1.0 / pause_s))

    def _call_once(
        self, service: ServiceShape, account: str, rng: random.Random
    ) -> None:
        caller = self._callers[service.side, account]
        call = make_call(service, account, rng)
        if rng.random() < ABANDON_FRACTION:
            caller.abandon(call, rng.uniform(*ABANDON_AFTER_S))
            return
        caller.make(call)

    def burst(self, service: ServiceShape, account: str, callers: int) -> list:
        """Make many concurrent calls of one account.

        Args:
            service: The service.
            account: The account, unqualified.
            callers: Number of concurrent callers.

        Returns:
            Green threads to wait for.
        """
        return [
            eventlet.spawn(
                self._call_once, service, account, random.Random(self._rng.random())
            )
            for _ in range(callers)
        ]

    def flood(
        self, service: ServiceShape, account: str, callers: int, duration_ms: float
    ) -> list:
        """Run many concurrent callers of one account, nearly without pause.

        Args:
            service: The service.
            account: The account, unqualified.
            callers: Number of concurrent callers.
            duration_ms: Time after which no call starts, milliseconds.

        Returns:
            Green threads to wait for.
        """
        deadline_ms = self._clock.now_ms() + duration_ms

        def call(rng: random.Random) -> None:
            while self._clock.now_ms() < deadline_ms and not self._is_over:
                self._call_once(service, account, rng)
                eventlet.sleep(0.01)

        return [
            eventlet.spawn(call, random.Random(self._rng.random()))
            for _ in range(callers)
        ]


def make_call(service: ServiceShape, account: str, rng: random.Random) -> Call:
    """Return a random call of an account: streamed, not streamed or plain.

    Args:
        service: The service.
        account: The account, unqualified.
        rng: Random number generator for all other properties.

    Returns:
        The call.
    """
    if service.kind == "plain":
        path = rng.choice(["/bibs", "/search"])
        work_ms = round(rng.uniform(*WORK_MS), 1)
        call = make_plain(
            service.side, service.name, account, work_ms, path, path == "/search"
        )
        if rng.random() < WITHOUT_KEY_FRACTION:
            call.idempotency_key = ""
        return call
    prefix = f"{account} asks about topic {rng.randrange(4)}. " * 8
    text = f"{prefix} Number {rng.getrandbits(64):x}."
    tokens = rng.randint(*TOKENS)
    is_stream = rng.random() < 0.5
    call = make_prompt(service.side, service.name, account, tokens, is_stream, text)
    call.cost_hint = round(tokens * MAX_HINT_FACTOR ** rng.uniform(-1.0, 1.0), 1)
    return call
