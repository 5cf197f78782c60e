"""Services of the demonstration and their callers."""

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
"""Options of engines that are slow enough for one machine and warm quickly."""
BACKLOG_FACTOR = 1.6
"""Callers of an account per slot of its share."""
TOKENS = (20, 60)
"""Minimum and maximum length of an engine's answer, tokens."""
PLAIN_CALLERS = 2
"""Callers of each account of a plain service."""
PLAIN_PAUSE_S = 0.3
"""Mean pause between two calls of one caller of a plain service, seconds."""
PLAIN_WORK_MS = 10.0
"""Duration of the work of one plain call, milliseconds."""


def make_demo_deployments() -> list[Deployment]:
    """Return the deployments of both sides, with engine options for a demonstration."""
    deployments = [make_cordero(), make_kalapati()]
    for deployment in deployments:
        for service in deployment.services:
            if service.kind == "engine":
                service.options.update(ENGINE_OPTIONS)
    return deployments


def pause_sampler(rng: random.Random) -> Callable[[], float]:
    """Return a function that draws pauses between plain calls, seconds."""
    return lambda: rng.expovariate(1.0 / PLAIN_PAUSE_S)


def prompt_call_factory(
    service: ServiceShape, account: str, rng: random.Random
) -> Callable[[], Call]:
    """Return a function that creates an account's calls of an engine."""

    def make() -> Call:
        # Accounts share a few prompt prefixes, so that prompt caches have an effect.
        prefix = f"{account} asks about topic {rng.randrange(4)}. " * 8
        text = f"{prefix} Number {rng.getrandbits(64):x}."
        tokens = rng.randint(*TOKENS)
        is_stream = rng.random() < 0.5
        return make_prompt(service.side, service.name, account, tokens, is_stream, text)

    return make


def plain_call_factory(
    service: ServiceShape, account: str, rng: random.Random
) -> Callable[[], Call]:
    """Return a function that creates an account's calls of a plain service."""

    def make() -> Call:
        path = rng.choice(["/bibs", "/search", "/search"])
        is_repeatable = path == "/search"
        return make_plain(
            service.side, service.name, account, PLAIN_WORK_MS, path, is_repeatable
        )

    return make


def count_callers(service: ServiceShape, account: str) -> int:
    """Return the number of callers of an account; enough to keep engines busy.

    Args:
        service: The service.
        account: The account, unqualified.

    Returns:
        The number of callers.
    """
    if service.kind == "plain":
        return 1 if service.name == SHARED_SERVICE else PLAIN_CALLERS
    share_fraction = service.accounts[account] / sum(service.accounts.values())
    return ceil(share_fraction * service.slots * len(service.servers) * BACKLOG_FACTOR)


def start_callers(
    caller: Caller, services: Iterable[ServiceShape], until_ms: float, seed: int
) -> list:
    """Start the callers of several services.

    Args:
        caller: Makes the calls.
        services: The services.
        until_ms: Time after which no call starts, monotonic time.
        seed: Seed of the calls.

    Returns:
        Green threads to wait for.
    """
    threads = []
    for service in services:
        for account in service.accounts:
            for number in range(count_callers(service, account)):
                name = f"{seed} {service.qualified()} {account} {number}"
                rng = random.Random(name)
                if service.kind == "engine":
                    make_call, draw_pause_s = (
                        prompt_call_factory(service, account, rng),
                        lambda: 0.0,
                    )
                else:
                    make_call, draw_pause_s = (
                        plain_call_factory(service, account, rng),
                        pause_sampler(rng),
                    )
                arguments = (caller, make_call, until_ms, draw_pause_s)
                threads.append(eventlet.spawn(call_in_loop, *arguments))
    return threads
