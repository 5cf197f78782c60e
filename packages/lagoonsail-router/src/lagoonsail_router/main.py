"""The command lagoonsail-router."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import defopt
import logbook

from lagoonsail_config.settings import SettingsError, load_settings
from lagoonsail_core.green import eventlet
from lagoonsail_core.invariants import FATAL_VARIABLE

EXIT_STOPPED = 0
"""The router stopped as planned."""
EXIT_BAD_SETTINGS = 2
"""The settings have mistakes."""
EXIT_ADDRESS_IN_USE = 3
"""An address cannot be listened on."""
EXIT_NO_CONFIGURATION = 4
"""Nobody told the configuration at the start."""
EXIT_STOPPED_BY_FORCE = 5
"""A second signal ended the router before its calls had ended."""


def run(*, settings: Path, check: bool = False) -> int:
    """Run a router until SIGTERM.

    Args:
        settings: File with the settings, in INI.
        check: Only check the settings.

    Returns:
        Exit code.
    """
    try:
        checked = load_settings(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{settings}: the settings are in order")
        return EXIT_STOPPED
    level = logbook.lookup_level(checked.log_level.upper())
    with logbook.StreamHandler(sys.stderr, level=level).applicationbound():
        return _run(checked)


def _run(checked) -> int:
    if checked.invariants == "fatal":
        os.environ[FATAL_VARIABLE] = "1"
    # Imported after the settings are known to be good, since gRPC starts threads.
    from lagoonsail_peer.server import AddressError
    from lagoonsail_router.daemon import AddressInUseError, Daemon, StartError

    stop = eventlet.event.Event()
    _on_signals(stop)
    daemon = Daemon(checked)
    try:
        daemon.start()
    except (AddressInUseError, AddressError) as error:
        print(error, file=sys.stderr)
        return _exit(EXIT_ADDRESS_IN_USE)
    except StartError as error:
        print(error, file=sys.stderr)
        return _exit(EXIT_NO_CONFIGURATION)
    stop.wait()
    daemon.stop()
    return _exit(EXIT_STOPPED)


def _on_signals(stop) -> None:
    def handle(_number, _frame) -> None:
        if stop.ready():
            os._exit(EXIT_STOPPED_BY_FORCE)
        stop.send(None)

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)


def _exit(code: int) -> int:
    sys.stdout.flush()
    sys.stderr.flush()
    # Native threads of gRPC may still be closing connections; nothing is kept.
    os._exit(code)


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(run, cli_options="all"))
