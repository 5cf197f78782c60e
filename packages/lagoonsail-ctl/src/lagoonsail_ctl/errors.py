"""Errors of the command, each with its exit code."""

from __future__ import annotations

from lagoonsail_core.errors import LagoonsailError

EXIT_OK = 0
"""The command did what it was asked."""
EXIT_UNEXPECTED = 1
"""The command failed in a way that it does not know."""
EXIT_BAD_INPUT = 2
"""An argument, a document or a settings file is wrong; nothing was changed."""
EXIT_STORE_UNAVAILABLE = 3
"""The key-value service did not answer."""
EXIT_CONFLICT = 4
"""Someone else changed the same thing; it was left as they made it."""
EXIT_NOT_IN_FORCE = 5
"""A revision was not in force on all routers in time."""
EXIT_NO_ROUTER = 6
"""No router answered what it was asked."""
EXIT_IN_USE = 7
"""What was to be deleted is in use; it was left as it is."""


class CommandError(LagoonsailError):
    """A command that did not do what it was asked."""

    exit_code = EXIT_UNEXPECTED
    """Exit code of the process."""

    def __init__(
        self,
        problem: str,
        remedy: str,
        listing: list[str] | None = None,
        details: dict[str, object] | None = None,
    ) -> None:
        super().__init__(problem, remedy)
        self.listing = listing or []
        """Lines that show people what the problem is about."""
        self.details = details or {}
        """What programs may want to know, for --json."""

    def __str__(self) -> str:
        listing = [f"  {line}" for line in self.listing]
        return "\n".join([f"{self.problem}; {self.remedy}", *listing])


class BadInputError(CommandError):
    """An argument is wrong."""

    exit_code = EXIT_BAD_INPUT


class UsageError(BadInputError):
    """The command line cannot be parsed."""


class StoreUnavailableError(CommandError):
    """The key-value service did not answer."""

    exit_code = EXIT_STORE_UNAVAILABLE


class ConflictError(CommandError):
    """A document was changed by someone else."""

    exit_code = EXIT_CONFLICT


class NotInForceError(CommandError):
    """A revision is not in force on some routers."""

    exit_code = EXIT_NOT_IN_FORCE


class NoRouterError(CommandError):
    """No router answered what it was asked."""

    exit_code = EXIT_NO_ROUTER


class InUseError(CommandError):
    """What is to be deleted is in use."""

    exit_code = EXIT_IN_USE
