"""Starting a router of the fleet on free ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_lab.process_start import START_ATTEMPTS
from lagoonsail_lab.processes import Process, ProcessError, free_port

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from lagoonsail_lab.parts import Router

PLACED_ROUTER_MODULE = "lagoonsail_lab.placed_router"
"""Module of the router with a source address of its own."""
ADDRESS_IN_USE = 3
"""Exit code of a router whose port was taken."""


def choose_ports(router: Router) -> None:
    """Give a router three free ports.

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
    on_moved: Callable[[], None] | None,
) -> None:
    """Start a router and wait until it listens; on other ports if one was taken.

    Args:
        router: The router, with its ports.
        module: What is run.
        directory: Where its settings and output go.
        write_settings: Returns the text of its settings.
        on_started: Given each process that was started, also those that fail.
        on_moved: Called when the router has other ports; None if it must keep its own.

    Raises:
        ProcessError: If it does not listen.
    """
    for attempt in range(START_ATTEMPTS):
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
            is_last = attempt + 1 == START_ATTEMPTS
            is_taken = router.process.exit_code == ADDRESS_IN_USE
            if on_moved is None or is_last or not is_taken:
                raise
            choose_ports(router)
            on_moved()
            continue
        return
