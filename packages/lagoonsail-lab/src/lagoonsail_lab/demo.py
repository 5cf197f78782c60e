"""One-minute demonstration of the whole system: `python -m lagoonsail_lab.demo`."""

from __future__ import annotations

import importlib.util
import random
import sys

import defopt

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import Balancer, Caller, call_in_loop
from lagoonsail_lab.checker import Outage, check_all
from lagoonsail_lab.demo_load import (
    make_demo_deployments,
    pause_sampler,
    plain_call_factory,
    start_callers,
)
from lagoonsail_lab.demo_report import print_accounts, print_measures, print_verdict
from lagoonsail_lab.deployments import SHARED_ACCOUNT, SHARED_SERVICE
from lagoonsail_lab.fleet import ROUTER_PREFIX, Fleet
from lagoonsail_lab.processes import Process, ProcessError

DOMAIN = "cordero/banos"
"""The failure domain that is taken out and brought back."""
OUT_WITHIN_MS = 2000.0
"""Time after which a domain that was taken out receives no new work, milliseconds."""
COMMAND_TIMEOUT_MS = 10000.0
"""Timeout of an operator's command, milliseconds."""


def set_domain(fleet: Fleet, name: str, state: str) -> str:
    """Take a failure domain out or bring it back, as an operator would.

    Args:
        fleet: The fleet.
        name: Qualified name of the domain.
        state: `in` or `out`.

    Returns:
        Description of the method used, for the output.

    Raises:
        ProcessError: If the operator's command fails.
    """
    if importlib.util.find_spec("lagoonsail_ctl.main") is None:
        fleet.set_state(name, state)
        return "rewrote the documents"
    arguments = [f"domain-{state}", name, "--store", fleet.store]
    arguments += ["--prefix", ROUTER_PREFIX]
    title = f"domain-{state}"
    process = Process(title, "lagoonsail_ctl", arguments, fleet.directory)
    process.start()
    if process.wait(COMMAND_TIMEOUT_MS) != 0:
        process.kill()
        raise ProcessError(
            f"command {title} exited with {process.exit_code}: {process.errors()}",
            "run the command by hand to see the cause",
        )
    return "lagoonctl " + " ".join(arguments[:2])


def take_domain_out(fleet: Fleet, out_s: float) -> Outage:
    """Take the demonstration's domain out for a while and bring it back.

    Args:
        fleet: The fleet.
        out_s: Duration of the outage, seconds.

    Returns:
        The outage; it starts when the command has completed.
    """
    clock = Clock()
    servers = frozenset(backend.qualified() for backend in fleet.backends_of(DOMAIN))
    command_ms = clock.wall_ms()
    method = set_domain(fleet, DOMAIN, "out")
    from_ms = clock.wall_ms()
    duration_text = f"carried out in {from_ms - command_ms:.0f} ms"
    print(
        f"{DOMAIN} out ({method}, {duration_text}): {len(servers)} servers", flush=True
    )
    eventlet.sleep(out_s)
    # The domain may be in use again before the command has ended.
    until_ms = clock.wall_ms()
    method = set_domain(fleet, DOMAIN, "in")
    print(f"{DOMAIN} in ({method})", flush=True)
    return Outage(servers, from_ms, until_ms)


def run_demo(fleet: Fleet, duration_s: float, seed: int) -> bool:
    """Call a running fleet while a domain is taken out and brought back.

    Args:
        fleet: The running fleet.
        duration_s: Duration of the calls, seconds.
        seed: Seed of the calls.

    Returns:
        Whether every call got its own, complete answer.
    """
    until_ms = Clock().now_ms() + duration_s * 1000.0
    balancers, callers, threads = [], [], []
    for deployment in fleet.deployments:
        routers = {
            name: (router.callers, router.admin)
            for name, router in fleet.routers.items()
            if router.side == deployment.side
        }
        balancers.append(Balancer(routers, seed))
        # Callers of one side reuse connections, those of the other open new ones.
        caller = Caller(balancers[-1], keep_alive=deployment is fleet.deployments[0])
        callers.append(caller)
        threads += start_callers(caller, deployment.services, until_ms, seed)
    # Both sides have a service and an account of these names; the second side's
    # callers also call the first side's service.
    shared = fleet.deployments[0].find(SHARED_SERVICE)
    make_call = plain_call_factory(shared, SHARED_ACCOUNT, random.Random(seed))
    draw_pause_s = pause_sampler(random.Random(seed))
    threads.append(
        eventlet.spawn(call_in_loop, callers[-1], make_call, until_ms, draw_pause_s)
    )
    eventlet.sleep(duration_s * 0.4)
    outage = take_domain_out(fleet, duration_s * 0.3)
    for thread in threads:
        thread.wait()
    for balancer in balancers:
        balancer.stop()
    records = [record for caller in callers for record in caller.records]
    print_accounts(fleet, records)
    print_measures(fleet, records, outage, duration_s)
    faults = check_all(records, fleet.records(), [outage], OUT_WITHIN_MS)
    return print_verdict(records, faults)


def main(*, duration_s: float = 25.0, seed: int = 1) -> int:
    """Start a fleet for both sides, call it and print a report.

    Args:
        duration_s: Duration of the calls, seconds.
        seed: Seed of the calls.

    Returns:
        0 if every call got its own, complete answer.
    """
    clock = Clock()
    start_ms = clock.now_ms()
    with Fleet(make_demo_deployments()) as fleet:
        started_s = (clock.now_ms() - start_ms) / 1000.0
        print(
            f"{len(fleet.backends)} backend servers and {len(fleet.routers)} routers "
            f"ready after {started_s:.1f} s",
            flush=True,
        )
        has_passed = run_demo(fleet, duration_s, seed)
    print(f"ended after {(clock.now_ms() - start_ms) / 1000.0:.1f} s")
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
