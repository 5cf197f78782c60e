"""The command lagoonsail-router."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import defopt
import logbook

from lagoonsail_config.settings import SettingsError, load_settings
from lagoonsail_core.green import eventlet
from lagoonsail_core.invariants import FATAL_VARIABLE

if TYPE_CHECKING:
    from lagoonsail_router.daemon import Daemon

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

LINE_FORMAT = (
    "[{record.time:%Y-%m-%d %H:%M:%S.%f}] {record.level_name}: "
    "router={record.extra[router]} incarnation={record.extra[incarnation]} "
    "event={record.extra[event]} {record.message}"
)
"""One line of the log; tracebacks follow it."""


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
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=LINE_FORMAT)
    with handler.applicationbound():
        return _run(checked)


def _run(checked) -> int:
    if checked.invariants == "fatal":
        os.environ[FATAL_VARIABLE] = "1"
    # Imported after the settings are known to be good, since gRPC starts threads.
    from lagoonsail_router.daemon import Daemon

    stop = eventlet.event.Event()
    _on_signals(stop)
    daemon = Daemon(checked)
    with _name_lines(checked.name, daemon.context.incarnation).applicationbound():
        return _serve(daemon, stop)


def _name_lines(router: str, incarnation: int) -> logbook.Processor:
    """Return what gives each line of the log its router, incarnation and event."""

    def name_line(record: logbook.LogRecord) -> None:
        record.extra.update(router=router, incarnation=incarnation)
        # What no part expected has no event of its own in the time line.
        record.extra.setdefault("event", "failure")

    return logbook.Processor(name_line)


def _serve(daemon: Daemon, stop: eventlet.event.Event) -> int:
    from lagoonsail_peer.server import AddressError
    from lagoonsail_router.daemon import StartError
    from lagoonsail_router.http_server import AddressInUseError

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
