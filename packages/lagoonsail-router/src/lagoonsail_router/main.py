"""The command `lagoonsail-router`."""

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
"""The router stopped gracefully, or the settings are valid with --check."""
EXIT_BAD_SETTINGS = 2
"""The settings are invalid."""
EXIT_ADDRESS_IN_USE = 3
"""The router cannot listen on an address."""
EXIT_NO_CONFIGURATION = 4
"""The router could not obtain the configuration at its start."""
EXIT_STOPPED_BY_FORCE = 5
"""A second signal ended the router before its calls were done."""

LINE_FORMAT = (
    "[{record.time:%Y-%m-%d %H:%M:%S.%f}] {record.level_name}: "
    "router={record.extra[router]} incarnation={record.extra[incarnation]} "
    "event={record.extra[event]} {record.message}"
)
"""Format of a log line; tracebacks follow it."""


def run(*, settings: Path, check: bool = False) -> int:
    """Run a router until SIGTERM.

    Args:
        settings: INI file with the settings.
        check: Only validate the settings.

    Returns:
        Exit code.
    """
    try:
        router_settings = load_settings(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{settings}: the settings are in order")
        return EXIT_STOPPED
    level = logbook.lookup_level(router_settings.log_level.upper())
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=LINE_FORMAT)
    with handler.applicationbound():
        return _run(router_settings)


def _run(router_settings) -> int:
    if router_settings.invariants == "fatal":
        os.environ[FATAL_VARIABLE] = "1"
    # Imported after the settings are validated, since gRPC starts threads.
    from lagoonsail_router.daemon import Daemon

    stop = eventlet.event.Event()
    _install_signal_handlers(stop)
    daemon = Daemon(router_settings)
    with _make_log_processor(
        router_settings.name, daemon.context.incarnation
    ).applicationbound():
        return _serve(daemon, stop)


def _make_log_processor(router: str, incarnation: int) -> logbook.Processor:
    """Return a processor that adds router, incarnation and event to log records."""

    def add_fields(record: logbook.LogRecord) -> None:
        record.extra.update(router=router, incarnation=incarnation)
        # Unexpected failures have no event of their own in the time line.
        record.extra.setdefault("event", "failure")

    return logbook.Processor(add_fields)


def _serve(daemon: Daemon, stop: eventlet.event.Event) -> int:
    from lagoonsail_peer.server import AddressError
    from lagoonsail_router.daemon import StartError
    from lagoonsail_router.listening import AddressInUseError

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


def _install_signal_handlers(stop) -> None:
    def handle(_number, _frame) -> None:
        if stop.ready():
            os._exit(EXIT_STOPPED_BY_FORCE)
        stop.send(None)

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)


def _exit(code: int) -> int:
    sys.stdout.flush()
    sys.stderr.flush()
    # gRPC threads may still be closing connections; no state is left to save.
    os._exit(code)


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(run, cli_options="all"))
