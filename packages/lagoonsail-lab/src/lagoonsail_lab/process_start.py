"""Starting processes that listen on a free port."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_lab.processes import Process, ProcessError, free_port

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path
    from typing import Any

START_ATTEMPTS = 5
"""Starts of a process whose port was taken meanwhile."""
STARTS_AT_ONCE = 12
"""Processes that start at the same time; more would not listen in time."""


def for_each(function: Callable[[Any], None], items: Iterable) -> None:
    """Call a function for many items at once, and return when all calls have.

    Args:
        function: Called once for each item; its errors are passed on.
        items: The items.
    """
    pool = eventlet.GreenPool(STARTS_AT_ONCE)
    threads = [pool.spawn(function, item) for item in items]
    for thread in threads:
        thread.wait()


def address_of(process: Process) -> str:
    """Return the address of a process that `start_listening` has started."""
    return f"127.0.0.1:{process.arguments[1]}"


def start_listening(
    name: str,
    module: str,
    options: dict[str, str | int | float | bool],
    directory: Path,
    on_started: Callable[[Process], None],
) -> Process:
    """Start a process on a free port, and wait until it listens.

    Args:
        name: Name for the files and messages.
        module: What is run.
        options: Its options; one that is true is given without a value, one that is
            false not at all.
        directory: Where its output goes.
        on_started: Given each process that was started, also those that fail.

    Returns:
        The process.

    Raises:
        ProcessError: If it does not get ready.
    """
    for attempt in range(START_ATTEMPTS):
        arguments = ["--port", str(free_port()), *_write_options(options)]
        process = Process(name, module, arguments, directory)
        on_started(process)
        process.start()
        try:
            process.wait_listening()
        except ProcessError:
            if attempt + 1 == START_ATTEMPTS or not _is_port_taken(process):
                raise
            continue
        return process
    raise ProcessError(f"{name} found no free port", "end other processes")


def _write_options(options: dict[str, str | int | float | bool]) -> list[str]:
    arguments = []
    for name, value in options.items():
        flag = f"--{name.replace('_', '-')}"
        if value is True:
            arguments.append(flag)
        elif value is not False:
            arguments += [flag, str(value)]
    return arguments


def _is_port_taken(process: Process) -> bool:
    return "Address already in use" in process.errors()
