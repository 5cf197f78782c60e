"""The services of the demonstration, and the callers that call them."""

from __future__ import annotations

import random
from math import ceil
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import Caller, call_in_loop, make_plain, make_prompt
from lagoonsail_lab.deployments import SHARED_SERVICE, make_cordero, make_kalapati

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_lab.call_record import Call
    from lagoonsail_lab.deployments import Deployment, ServiceShape

ENGINE_OPTIONS = {
    "token_ms": 20.0,
    "first_ms": 40.0,
    "warm_after": 3,
    "cold_factor": 2.0,
}
"""Engines that are slow enough for one machine and warm soon."""
BACKLOG_FACTOR = 1.6
"""Callers of an account per slot that its share would give it."""
TOKENS = (20, 60)
"""Shortest and longest answer of an engine."""
PLAIN_CALLERS = 2
"""Callers of each account of a plain service."""
PLAIN_PAUSE_S = 0.3
"""Mean pause of a plain service's caller, seconds."""
PLAIN_WORK_MS = 10.0
"""Work of one plain call, milliseconds."""


def make_demo_deployments() -> list[Deployment]:
    """Return both sides with engines that suit a demonstration."""
    deployments = [make_cordero(), make_kalapati()]
    for deployment in deployments:
        for service in deployment.services:
            if service.kind == "engine":
                service.options.update(ENGINE_OPTIONS)
    return deployments


def pause_between(chance: random.Random) -> Callable[[], float]:
    """Return what draws the pause between two calls of a plain service, seconds."""
    return lambda: chance.expovariate(1.0 / PLAIN_PAUSE_S)


def next_prompt(
    service: ServiceShape, account: str, chance: random.Random
) -> Callable[[], Call]:
    """Return what makes the next call of an engine by an account."""

    def make() -> Call:
        # Accounts repeat a few beginnings, so that prompt caches matter.
        beginning = f"{account} asks about topic {chance.randrange(4)}. " * 8
        text = f"{beginning} Number {chance.getrandbits(64):x}."
        tokens = chance.randint(*TOKENS)
        is_stream = chance.random() < 0.5
        return make_prompt(service.side, service.name, account, tokens, is_stream, text)

    return make


def next_plain(
    service: ServiceShape, account: str, chance: random.Random
) -> Callable[[], Call]:
    """Return what makes the next call of a plain service by an account."""

    def make() -> Call:
        path = chance.choice(["/bibs", "/search", "/search"])
        is_repeatable = path == "/search"
        return make_plain(
            service.side, service.name, account, PLAIN_WORK_MS, path, is_repeatable
        )

    return make


def count_callers(service: ServiceShape, account: str) -> int:
    """Return how many callers an account has, enough to keep engines busy.

    Args:
        service: The service.
        account: The account, unqualified.

    Returns:
        The number of callers.
    """
    if service.kind == "plain":
        return 1 if service.name == SHARED_SERVICE else PLAIN_CALLERS
    part = service.accounts[account] / sum(service.accounts.values())
    return ceil(part * service.slots * len(service.servers) * BACKLOG_FACTOR)


def start_callers(
    caller: Caller, services: Iterable[ServiceShape], until_ms: float, seed: int
) -> list:
    """Start the callers of services.

    Args:
        caller: Makes the calls.
        services: The services.
        until_ms: No call begins later, monotonic time.
        seed: Seed of what is called.

    Returns:
        Green threads to wait for.
    """
    threads = []
    for service in services:
        for account in service.accounts:
            for number in range(count_callers(service, account)):
                name = f"{seed} {service.qualified()} {account} {number}"
                chance = random.Random(name)
                if service.kind == "engine":
                    calls, pause = next_prompt(service, account, chance), lambda: 0.0
                else:
                    calls, pause = (
                        next_plain(service, account, chance),
                        pause_between(chance),
                    )
                arguments = (caller, calls, until_ms, pause)
                threads.append(eventlet.spawn(call_in_loop, *arguments))
    return threads
