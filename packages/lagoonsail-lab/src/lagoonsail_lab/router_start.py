"""Starts a router of the fleet on free ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_lab.process_start import MAX_START_ATTEMPTS
from lagoonsail_lab.processes import Process, ProcessError, free_port

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from lagoonsail_lab.parts import Router

PLACED_ROUTER_MODULE = "lagoonsail_lab.placed_router"
"""Module of the router that uses a source address of its own."""
ADDRESS_IN_USE = 3
"""Exit code of a router whose port is in use."""


def choose_ports(router: Router) -> None:
    """Assign three free ports to a router.

    Args:
        router: The router.
    """
    router.callers = f"127.0.0.1:{free_port()}"
    router.admin = f"127.0.0.1:{free_port()}"
    router.peers = f"127.0.0.1:{free_port()}"


def start_router(
    router: Router,
    module: str,
    directory: Path,
    write_settings: Callable[[Router], str],
    on_started: Callable[[Process], None],
    on_ports_changed: Callable[[], None] | None,
) -> None:
    """Start a router and wait until it listens, on new ports if one is in use.

    Args:
        router: The router, with its ports assigned.
        module: Module to run; the one of PLACED_ROUTER_MODULE if the router has a
            source address.
        directory: Directory for its settings and output.
        write_settings: Returns the text of its settings file.
        on_started: Called with each started process, including those that fail.
        on_ports_changed: Called after new ports were assigned; None if the router
            must keep its ports.

    Raises:
        ProcessError: If it does not listen in time.
    """
    for attempt in range(MAX_START_ATTEMPTS):
        path = directory / f"{router.name}.ini"
        path.write_text(write_settings(router))
        arguments = ["--settings", str(path)]
        if router.source:
            arguments += ["--source", router.source]
            module = PLACED_ROUTER_MODULE
        router.process = Process(router.name, module, arguments, directory)
        on_started(router.process)
        router.process.start()
        try:
            router.process.wait_listening()
        except ProcessError:
            is_last = attempt + 1 == MAX_START_ATTEMPTS
            is_port_in_use = router.process.exit_code == ADDRESS_IN_USE
            if on_ports_changed is None or is_last or not is_port_in_use:
                raise
            choose_ports(router)
            on_ports_changed()
            continue
        return
