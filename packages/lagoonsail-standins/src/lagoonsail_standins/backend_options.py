"""Command-line options that both backend stand-ins share."""

from __future__ import annotations

import inspect
from dataclasses import dataclass
from typing import TYPE_CHECKING, get_type_hints

from lagoonsail_standins.backend import BackendOptions

if TYPE_CHECKING:
    from collections.abc import Callable

SHARED_HELP = """\
    port: TCP port; 0 takes any free one.
    name: Name of the server.
    slots: Requests that a warm server runs at once.
    cold_slots: Requests that a cold server runs at once; one more overloads it.
    warm_after: Number of whole answers after which the server is warm.
    cold_factor: How many times slower a cold server is.
    report_lag_ms: Age of the reported values, milliseconds.
"""
"""Help text of the shared options, appended to the docstring of each `main`."""


@dataclass(slots=True)
class SharedOptions:
    """Values of the shared command-line options."""

    backend: BackendOptions
    """Simulated behaviour of the server."""
    port: int
    """TCP port; 0 for any free one."""
    report_lag_ms: float
    """Age of the reported values, milliseconds."""


def add_backend_options(
    main: Callable[..., None], name: str, slots: int, warm_after: int
) -> Callable[..., None]:
    """Add the shared options to the command line of a stand-in.

    Args:
        main: Takes SharedOptions, and its own options by keyword.
        name: Default of `name`.
        slots: Default of `slots`.
        warm_after: Default of `warm_after`.

    Returns:
        A function whose signature and docstring defopt can parse.
    """

    def shared(
        *,
        port: int = 0,
        name: str = name,
        slots: int = slots,
        cold_slots: int = 1,
        warm_after: int = warm_after,
        cold_factor: float = 4.0,
        report_lag_ms: float = 1000.0,
    ) -> SharedOptions:
        backend = BackendOptions(name, slots, cold_slots, warm_after, cold_factor)
        return SharedOptions(backend, port, report_lag_ms)

    shared_parameters = list(inspect.signature(shared).parameters.values())
    own_parameters = list(inspect.signature(main).parameters.values())[1:]

    def run(**options: object) -> None:
        shared_values = {
            parameter.name: options.pop(parameter.name)
            for parameter in shared_parameters
        }
        main(shared(**shared_values), **options)

    parameters = [*shared_parameters, *own_parameters]
    type_hints = get_type_hints(shared) | get_type_hints(main)
    # SHARED_HELP continues the Args section, which must be the last one of main.
    run.__doc__ = f"{inspect.getdoc(main)}\n{SHARED_HELP}"
    run.__annotations__ = {item.name: type_hints[item.name] for item in parameters}
    run.__signature__ = inspect.Signature(parameters)
    return run
