"""Options that all commands share; parsing, running and reporting of a command."""

from __future__ import annotations

import inspect
import json as json_codec
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, get_type_hints

from lagoonsail_config.checked_ini import IniError
from lagoonsail_core.errors import LagoonsailError
from lagoonsail_ctl.connection import SETTINGS_VARIABLE, Connection, load_connection
from lagoonsail_ctl.errors import EXIT_BAD_INPUT, EXIT_OK, EXIT_UNEXPECTED, CommandError
from lagoonsail_ctl.report import Report

if TYPE_CHECKING:
    from collections.abc import Callable

COMMON_HELP = """\
    store: Addresses of the key-value service, ip:port separated by commas.
    prefix: Prefix of the fleet's keys (default /lagoonsail/).
    key_file: File with the key that routers and operators share.
    routers: Admin addresses of routers, ip:port separated by commas; used instead of
        the members in the key-value service, for example while that is down.
    timeout_ms: Timeout of one call in ms (default 2000).
    settings: INI file with the section [lagoonctl] and any of the keys store, prefix,
        key_file, routers, timeout_ms (default: the file that LAGOONCTL_SETTINGS names).
    json: Print JSON on standard output.
"""
"""Help text of the options that all commands share."""


def _connect(
    *,
    store: str = "",
    prefix: str = "",
    key_file: str = "",
    routers: str = "",
    timeout_ms: int = 0,
    settings: str = "",
) -> Connection:
    """Create a connection from the options that all commands share."""
    texts = {
        "store": store,
        "prefix": prefix,
        "key_file": key_file,
        "routers": routers,
        "timeout_ms": str(timeout_ms) if timeout_ms else "",
    }
    given_options = {key: text for key, text in texts.items() if text}
    settings = settings or os.environ.get(SETTINGS_VARIABLE, "")
    return load_connection(Path(settings) if settings else None, given_options)


def _error_as_dict(error: LagoonsailError) -> dict[str, object]:
    body: dict[str, object] = {
        "error": type(error).__name__,
        "problem": error.problem,
        "remedy": error.remedy,
        "exit_code": _exit_code(error),
    }
    if isinstance(error, CommandError):
        body |= error.details
    if isinstance(error, IniError):
        body["problems"] = [
            {name: getattr(problem, name) for name in problem.__slots__}
            for problem in error.problems
        ]
    return body


def _exit_code(error: LagoonsailError) -> int:
    if isinstance(error, CommandError):
        return error.exit_code
    return EXIT_BAD_INPUT if isinstance(error, IniError) else EXIT_UNEXPECTED


def _print_report(report: Report, json: bool) -> int:
    """Print the report of a command, and return the exit code."""
    exit_code = _exit_code(report.error) if report.error else EXIT_OK
    if json:
        error = _error_as_dict(report.error) if report.error else {}
        data = {**report.data, **error} if error else report.data
        print(json_codec.dumps(data))
        return exit_code
    for line in report.lines:
        print(line)
    for note in report.notes:
        print(note, file=sys.stderr)
    if report.error:
        print(f"lagoonctl: {report.error}", file=sys.stderr)
    return exit_code


def print_error(error: LagoonsailError, json: bool) -> int:
    """Print the error of a command that failed without a report.

    Args:
        error: The error.
        json: Whether to print JSON.

    Returns:
        Exit code.
    """
    return _print_report(Report({}, error=error), json)


def _insert_help(doc: str) -> str:
    """Append the help text of the shared options to the Args section."""
    before, marker, arguments = inspect.cleandoc(doc).partition("Args:\n")
    if not marker:
        return f"{before}\n\nArgs:\n{COMMON_HELP}"
    own, gap, after = arguments.partition("\n\n")
    return f"{before}{marker}{own}\n{COMMON_HELP}{gap}{after}"


def command(function: Callable[..., Report]) -> Callable[..., int]:
    """Wrap a command so that it takes the shared options and prints its report.

    Args:
        function: Command that takes a connection and arguments of its own.

    Returns:
        A function for defopt that returns the exit code.
    """
    shared = list(inspect.signature(_connect).parameters.values())
    own = list(inspect.signature(function).parameters.values())[1:]
    json_flag = inspect.Parameter(
        "json", inspect.Parameter.KEYWORD_ONLY, default=False, annotation=bool
    )

    def run(*args: object, json: bool = False, **options: object) -> int:
        shared_options = {
            parameter.name: options.pop(parameter.name)
            for parameter in shared
            if parameter.name in options
        }
        try:
            connection = _connect(**shared_options)
            connection.wants_json = json
            report = function(connection, *args, **options)
        except LagoonsailError as error:
            return print_error(error, json)
        return _print_report(report, json)

    hints = get_type_hints(function, None, {"Connection": Connection})
    hints |= get_type_hints(_connect) | {"json": bool}
    run.__name__ = function.__name__
    run.__doc__ = _insert_help(function.__doc__)
    run.__annotations__ = {
        parameter.name: hints[parameter.name]
        for parameter in (*own, *shared, json_flag)
    }
    run.__signature__ = inspect.Signature([*own, *shared, json_flag])
    return run
