"""The command line of lagoonctl."""

from __future__ import annotations

import contextlib
import io
import sys
from typing import TYPE_CHECKING

import defopt

from lagoonsail_ctl.check_command import check
from lagoonsail_ctl.command import command, print_error
from lagoonsail_ctl.delete_command import delete
from lagoonsail_ctl.document_commands import apply, get
from lagoonsail_ctl.errors import EXIT_UNEXPECTED, UsageError
from lagoonsail_ctl.fleet_commands import show, status, wait
from lagoonsail_ctl.state_commands import (
    domain_in,
    domain_out,
    server_in,
    server_out,
)
from lagoonsail_ctl.timeline_command import timeline

if TYPE_CHECKING:
    from collections.abc import Callable

COMMANDS = {
    "check": command(check),
    "get": command(get),
    "apply": command(apply),
    "delete": command(delete),
    "domain-out": command(domain_out),
    "domain-in": command(domain_in),
    "server-out": command(server_out),
    "server-in": command(server_in),
    "show": command(show),
    "status": command(status),
    "wait": command(wait),
    "timeline": command(timeline),
}
"""Wrapped function by name of the command."""

DESCRIPTION = "Operates a fleet of lagoonsail routers through its service documents."
"""Description in the help text."""

EPILOG = """\
exit codes:
  0 done   1 unexpected failure   2 bad input   3 key-value service unavailable
  4 conflict with another change   5 not in force on all routers in time
  6 no router answered   7 still in use, not deleted
  8 check: entries that cannot take effect

examples:
  lagoonctl check asistente.ini
  lagoonctl get cordero/asistente > asistente.ini
  lagoonctl apply asistente.ini --wait-s 10
  lagoonctl domain-out cordero/norte --wait-s 10
  lagoonctl show cordero/asistente
  lagoonctl timeline --domain cordero/norte --format svg > timeline.svg
  lagoonctl COMMAND --help
"""
"""Text at the end of the help."""


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    Args:
        argv: Arguments without the program name; None for those of the process.

    Returns:
        Exit code.
    """
    argv = sys.argv[1:] if argv is None else argv
    try:
        call = _bind_for_json(argv) if "--json" in argv else _bind(argv)
    except UsageError as error:
        sys.exit(print_error(error, json=True))
    # Documents may hold bytes that are not UTF-8.
    for stream in (sys.stdout, sys.stderr):
        stream.reconfigure(errors="backslashreplace")
    try:
        return call()
    except KeyboardInterrupt:
        return EXIT_UNEXPECTED
    except BrokenPipeError:
        # The reader of the output has closed the pipe, as ``head`` does.
        sys.stderr.close()
        return EXIT_UNEXPECTED


def _bind(argv: list[str]) -> Callable[[], int]:
    return defopt.bind(
        COMMANDS,
        argv=argv,
        short={},
        show_defaults=False,
        no_negated_flags=True,
        argparse_kwargs={
            "prog": "lagoonctl",
            "description": DESCRIPTION,
            "epilog": EPILOG,
        },
    )


def _bind_for_json(argv: list[str]) -> Callable[[], int]:
    """Parse arguments; raise UsageError with the message that argparse prints."""
    printed = io.StringIO()
    try:
        with contextlib.redirect_stderr(printed):
            return _bind(argv)
    except SystemExit as error:
        if not error.code:
            raise
        problem = printed.getvalue().rpartition("error: ")[2].strip()
        remedy = "see lagoonctl --help, and lagoonctl COMMAND --help"
        raise UsageError(problem, remedy) from error


if __name__ == "__main__":
    sys.exit(main())
