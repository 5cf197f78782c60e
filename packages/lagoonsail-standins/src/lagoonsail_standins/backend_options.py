"""The command line options that both backend stand-ins share."""

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
    slots: Requests that run at once while warm.
    cold_slots: Requests above which the cold server falls over.
    warm_after: Whole answers after which the server is warm.
    cold_factor: How many times slower the cold server is.
    report_lag_ms: Age of what the reports show.
"""
"""Help on the options."""


@dataclass(slots=True)
class SharedOptions:
    """What both stand-ins take from their command line."""

    backend: BackendOptions
    """How the server behaves."""
    port: int
    """TCP port; 0 for any free one."""
    report_lag_ms: float
    """Age of what the reports show, milliseconds."""


def add_backend_options(
    main: Callable[..., None], name: str, slots: int, warm_after: int
) -> Callable[..., None]:
    """Add the shared options to those of a stand-in.

    Args:
        main: Takes the shared options, and its own by keyword.
        name: Default of the name.
        slots: Default of the slots.
        warm_after: Default of the answers after which it is warm.

    Returns:
        A function for defopt.
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

    common = list(inspect.signature(shared).parameters.values())
    own = list(inspect.signature(main).parameters.values())[1:]

    def run(**options: object) -> None:
        taken = {parameter.name: options.pop(parameter.name) for parameter in common}
        main(shared(**taken), **options)

    parameters = [*common, *own]
    hints = get_type_hints(shared) | get_type_hints(main)
    # The section Args stands last, so that more of it can follow.
    run.__doc__ = f"{inspect.getdoc(main)}\n{SHARED_HELP}"
    run.__annotations__ = {item.name: hints[item.name] for item in parameters}
    run.__signature__ = inspect.Signature(parameters)
    return run
