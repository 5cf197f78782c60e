"""Errors of lagoonctl, each with its exit code."""

from __future__ import annotations

from lagoonsail_core.errors import LagoonsailError

EXIT_OK = 0
"""The command succeeded."""
EXIT_UNEXPECTED = 1
"""The command failed unexpectedly or was interrupted."""
EXIT_BAD_INPUT = 2
"""An argument, a document or a settings file is wrong; nothing was changed."""
EXIT_STORE_UNAVAILABLE = 3
"""The key-value service did not answer."""
EXIT_CONFLICT = 4
"""A concurrent change conflicts with the command; it was not overwritten."""
EXIT_NOT_IN_FORCE = 5
"""A revision was not in force on all routers within the time limit."""
EXIT_NO_ROUTER = 6
"""No router answered."""
EXIT_IN_USE = 7
"""The object to delete is in use; it was not deleted."""
EXIT_FINDINGS = 8
"""The check of documents found no mistake, but entries that cannot take effect."""


class CommandError(LagoonsailError):
    """A command failed."""

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
        """Lines that are printed below the error."""
        self.details = details or {}
        """Further fields of the error with --json."""

    def __str__(self) -> str:
        listing = [f"  {line}" for line in self.listing]
        return "\n".join([f"{self.problem}; {self.remedy}", *listing])


class BadInputError(CommandError):
    """An argument is invalid."""

    exit_code = EXIT_BAD_INPUT


class UsageError(BadInputError):
    """The command line cannot be parsed."""


class StoreUnavailableError(CommandError):
    """The key-value service did not answer."""

    exit_code = EXIT_STORE_UNAVAILABLE


class ConflictError(CommandError):
    """A document has changed concurrently or is not at the expected revision."""

    exit_code = EXIT_CONFLICT


class NotInForceError(CommandError):
    """A revision is not in force on some routers."""

    exit_code = EXIT_NOT_IN_FORCE


class NoRouterError(CommandError):
    """No router answered."""

    exit_code = EXIT_NO_ROUTER


class InUseError(CommandError):
    """The object to delete is in use."""

    exit_code = EXIT_IN_USE


class FindingsError(CommandError):
    """Documents are valid, but have entries that cannot take effect."""

    exit_code = EXIT_FINDINGS
