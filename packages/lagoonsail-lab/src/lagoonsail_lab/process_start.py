"""Starting processes that listen on a free port."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_lab.processes import Process, ProcessError, free_port

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path
    from typing import Any

MAX_START_ATTEMPTS = 5
"""Maximum number of starts of a process whose port another one has taken."""
MAX_CONCURRENT_STARTS = 12
"""Maximum number of concurrent starts; more processes would not listen in time."""


def run_concurrently(function: Callable[[Any], None], items: Iterable) -> None:
    """Call a function for all items concurrently and wait for all calls.

    Args:
        function: Called once for each item; its exceptions propagate.
        items: The items.
    """
    pool = eventlet.GreenPool(MAX_CONCURRENT_STARTS)
    threads = [pool.spawn(function, item) for item in items]
    for thread in threads:
        thread.wait()


def address_of(process: Process) -> str:
    """Return the address of a process that was started by `start_listening`."""
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
        name: Name used for files and in messages.
        module: Module to run.
        options: Its options; True yields a flag without a value, False omits the
            option.
        directory: Directory for its output.
        on_started: Called with each started process, including those that fail.

    Returns:
        The process.

    Raises:
        ProcessError: If it does not listen in time.
    """
    for attempt in range(MAX_START_ATTEMPTS):
        arguments = ["--port", str(free_port()), *_write_options(options)]
        process = Process(name, module, arguments, directory)
        on_started(process)
        process.start()
        try:
            process.wait_listening()
        except ProcessError:
            if attempt + 1 == MAX_START_ATTEMPTS or not _is_port_in_use(process):
                raise
            continue
        return process
    raise ProcessError(f"{name} found no free port", "end other processes that listen")


def _write_options(options: dict[str, str | int | float | bool]) -> list[str]:
    arguments = []
    for name, value in options.items():
        flag = f"--{name.replace('_', '-')}"
        if value is True:
            arguments.append(flag)
        elif value is not False:
            arguments += [flag, str(value)]
    return arguments


def _is_port_in_use(process: Process) -> bool:
    return "Address already in use" in process.errors()
