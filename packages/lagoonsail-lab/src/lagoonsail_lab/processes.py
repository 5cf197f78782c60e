"""Processes that the laboratory starts, and stops by their id."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections import OrderedDict
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from pathlib import Path

FIRST_PORT = 10000
"""Lowest port that is used."""
LAST_PORT = 32000
"""Highest port that is used; the system takes those above for outgoing calls."""
PORT_ATTEMPTS = 200
"""How many ports are tried before giving up."""
KEPT_PORTS = 400
"""Ports that stay reserved; a fleet needs less than half of them."""
LISTENING_MS = 20000.0
"""Time for a process to say that it listens, milliseconds."""
STOP_MS = 5000.0
"""Time for a process to stop when told, before it is killed, milliseconds."""
LOOK_S = 0.02
"""Time between two looks at a process, seconds."""

_random = random.Random(os.getpid())
# Given ports, oldest first, each with a datagram socket that reserves it.
_given: OrderedDict[int, socket.socket] = OrderedDict()


class ProcessError(LagoonsailError):
    """A process that ended or did not get ready."""


def free_port() -> int:
    """Return a TCP port that is free, and reserve it among the users of this function.

    It stays free for some time until a process listens on it, in which other test
    processes look for ports too: each holds the UDP port of the same number, which
    nothing else here uses.

    Returns:
        The port.

    Raises:
        ProcessError: If none was found.
    """
    for _ in range(PORT_ATTEMPTS):
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if port in _given or not _is_free(port):
            continue
        reservation = _reserve(port)
        if reservation is None:
            continue
        _given[port] = reservation
        while len(_given) > KEPT_PORTS:
            _given.popitem(last=False)[1].close()
        return port
    raise ProcessError("no free port found", "end other processes that listen")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> socket.socket | None:
    """Return a socket that holds the UDP port, None if another process does."""
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        return None
    return reservation


class Process:
    """One process of a Python module, with its output in files."""

    __slots__ = ("_directory", "_popen", "_starts", "arguments", "module", "name")

    name: str
    """Name for the files and messages."""
    module: str
    """What is run with `python -m`."""
    arguments: list[str]
    """Its arguments."""

    def __init__(
        self, name: str, module: str, arguments: list[str], directory: Path
    ) -> None:
        self.name = name
        self.module = module
        self.arguments = arguments
        self._directory = directory
        self._popen: subprocess.Popen | None = None
        self._starts = 0

    def _path(self, kind: str) -> Path:
        return self._directory / f"{self.name}.{self._starts}.{kind}"

    def start(self) -> None:
        """Start the process; it must not run."""
        self._starts += 1
        environment = {
            **os.environ,
            "PYTHONPATH": ":".join(path for path in sys.path if path),
            "PYTHONWARNINGS": "ignore",
        }
        with self._path("out").open("wb") as out, self._path("err").open("wb") as err:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=environment,
            )

    @property
    def pid(self) -> int:
        """Process id of the last start, 0 if there was none."""
        return self._popen.pid if self._popen else 0

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs."""
        return self._popen.poll() if self._popen else None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def errors(self) -> str:
        """Return what the last start wrote to standard error."""
        return self._path("err").read_text(errors="replace")

    def wait_listening(self) -> dict:
        """Wait until the process says that its ports are open.

        Returns:
            The line that says so.

        Raises:
            ProcessError: If the process ends or the time is over.
        """
        clock = Clock()
        until_ms = clock.now_ms() + LISTENING_MS
        while clock.now_ms() < until_ms:
            found = _find_listening(self._path("out").read_text())
            if found:
                return found
            if not self.is_running:
                break
            eventlet.sleep(LOOK_S)
        raise ProcessError(
            f"{self.name} does not listen (exit code {self.exit_code}): "
            f"{self.errors()[-2000:]}",
            "look at its files in the directory of the fleet",
        )

    def signal(self, number: int) -> None:
        """Send a signal if the process runs.

        Args:
            number: Number of the signal.
        """
        if self.is_running:
            self._popen.send_signal(number)

    def wait(self, bound_ms: float) -> int | None:
        """Wait for the end of the process.

        Args:
            bound_ms: Longest time to wait, milliseconds.

        Returns:
            The exit code, or None if it still runs.
        """
        clock = Clock()
        until_ms = clock.now_ms() + bound_ms
        while self.is_running and clock.now_ms() < until_ms:
            eventlet.sleep(LOOK_S)
        return self.exit_code

    def kill(self) -> None:
        """End the process at once; it may be frozen."""
        self.signal(signal.SIGKILL)
        self.wait(STOP_MS)

    def stop(self, bound_ms: float = STOP_MS) -> int | None:
        """Tell the process to stop, and kill it when the time is over.

        Args:
            bound_ms: Time that it has, milliseconds.

        Returns:
            Its exit code, negative if it was killed, None if it never ran.
        """
        # A frozen process cannot heed the signal.
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        self.wait(bound_ms)
        self.kill()
        return self.exit_code


def _find_listening(text: str) -> dict | None:
    for line in text.splitlines():
        if '"listening"' not in line:
            continue
        try:
            return json.loads(line)
        except ValueError:
            # The line is not complete yet.
            return None
    return None


def stop_all(processes: list[Process], bound_ms: float = STOP_MS) -> None:
    """Stop processes side by side.

    Args:
        processes: What is stopped.
        bound_ms: Time that they have altogether, milliseconds.
    """
    threads = [eventlet.spawn(process.stop, bound_ms) for process in processes]
    for thread in threads:
        thread.wait()
