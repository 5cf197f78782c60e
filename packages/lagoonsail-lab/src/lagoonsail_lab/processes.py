"""Child processes of the laboratory, which are signalled only by their own id."""

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

MIN_PORT = 10000
"""Lowest port to assign."""
MAX_PORT = 32000
"""Highest port to assign; the system uses higher ones for outgoing connections."""
MAX_PORT_ATTEMPTS = 200
"""Number of ports to try before giving up."""
MAX_RESERVED_PORTS = 400
"""Maximum number of reserved ports; a fleet needs less than half of them."""
LISTENING_TIMEOUT_MS = 20000.0
"""Time allowed for a process to report that it listens, milliseconds."""
STOP_TIMEOUT_MS = 5000.0
"""Time between SIGTERM and SIGKILL, milliseconds."""
POLL_INTERVAL_S = 0.02
"""Time between two checks of a process, seconds."""

_random = random.Random(os.getpid())
# Reserved ports, oldest first, each with the UDP socket that reserves it.
_reserved_ports: OrderedDict[int, socket.socket] = OrderedDict()


class ProcessError(LagoonsailError):
    """A process ended, did not become ready or did not answer as expected."""


def free_port() -> int:
    """Return a free TCP port and reserve it against other calls of this function.

    Some time passes until a process listens on the port, and meanwhile other test
    processes look for free ports too. Each reserves a port by binding the UDP port of
    the same number, which nothing else here uses.

    Returns:
        The port.

    Raises:
        ProcessError: If no free port was found.
    """
    for _ in range(MAX_PORT_ATTEMPTS):
        port = _random.randint(MIN_PORT, MAX_PORT)
        if port in _reserved_ports or not _is_free(port):
            continue
        reservation = _reserve(port)
        if reservation is None:
            continue
        _reserved_ports[port] = reservation
        while len(_reserved_ports) > MAX_RESERVED_PORTS:
            _reserved_ports.popitem(last=False)[1].close()
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
    """Return a socket bound to the UDP port, or None if the port is taken."""
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        return None
    return reservation


class Process:
    """A Python module that runs as a process, with its output in files."""

    __slots__ = ("_directory", "_popen", "_starts", "arguments", "module", "name")

    name: str
    """Name used for files and in messages."""
    module: str
    """Module that is run with `python -m`."""
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
        """Start the process, which must not be running."""
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
        """Process id of the last start; 0 before the first start."""
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
        """Return the standard error output since the last start."""
        return self._path("err").read_text(errors="replace")

    def wait_listening(self) -> dict:
        """Wait until the process reports that its ports are open.

        Returns:
            The decoded JSON line of the report.

        Raises:
            ProcessError: If the process ends or does not listen in time.
        """
        clock = Clock()
        deadline_ms = clock.now_ms() + LISTENING_TIMEOUT_MS
        while clock.now_ms() < deadline_ms:
            found = _find_listening_line(self._path("out").read_text())
            if found:
                return found
            if not self.is_running:
                break
            eventlet.sleep(POLL_INTERVAL_S)
        raise ProcessError(
            f"{self.name} does not listen (exit code {self.exit_code}): "
            f"{self.errors()[-2000:]}",
            "read its output in the directory of the fleet",
        )

    def signal(self, number: int) -> None:
        """Send a signal if the process runs.

        Args:
            number: Number of the signal.
        """
        if self.is_running:
            self._popen.send_signal(number)

    def wait(self, timeout_ms: float) -> int | None:
        """Wait until the process ends.

        Args:
            timeout_ms: Maximum time to wait, milliseconds.

        Returns:
            The exit code, or None if it still runs.
        """
        clock = Clock()
        deadline_ms = clock.now_ms() + timeout_ms
        while self.is_running and clock.now_ms() < deadline_ms:
            eventlet.sleep(POLL_INTERVAL_S)
        return self.exit_code

    def kill(self) -> None:
        """Send SIGKILL, which also ends a suspended process, and wait for the end."""
        self.signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_MS)

    def stop(self, timeout_ms: float = STOP_TIMEOUT_MS) -> int | None:
        """Send SIGTERM and kill the process if it does not end in time.

        Args:
            timeout_ms: Time allowed for stopping, milliseconds.

        Returns:
            Its exit code: negative if it was killed, None if it never ran.
        """
        # A suspended process would not handle SIGTERM.
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        self.wait(timeout_ms)
        self.kill()
        return self.exit_code


def _find_listening_line(text: str) -> dict | None:
    for line in text.splitlines():
        if '"listening"' not in line:
            continue
        try:
            return json.loads(line)
        except ValueError:
            # The process has not written the whole line yet.
            return None
    return None


def stop_all(processes: list[Process], timeout_ms: float = STOP_TIMEOUT_MS) -> None:
    """Stop processes concurrently.

    Args:
        processes: The processes.
        timeout_ms: Time allowed for all of them to stop, milliseconds.
    """
    threads = [eventlet.spawn(process.stop, timeout_ms) for process in processes]
    for thread in threads:
        thread.wait()
