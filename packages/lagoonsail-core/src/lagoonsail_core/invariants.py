"""Runtime checks of invariants, counted by name."""

from __future__ import annotations

import os
from collections import Counter

from lagoonsail_core.errors import LagoonsailError

FATAL_VARIABLE = "LAGOONSAIL_INVARIANTS_FATAL"
"""Environment variable that makes a violated invariant end the process."""

FATAL_EXIT_CODE = 70
"""Exit code of a process that a violated invariant ended."""

checks = Counter()
"""Number of checks, by invariant."""
violations = Counter()
"""Number of violations, by invariant."""


class InvariantError(LagoonsailError):
    """An invariant of the program does not hold."""


def require(holds: bool, name: str, detail: str = "") -> None:
    """Count the check of an invariant, and fail if it is violated.

    Args:
        holds: Whether the invariant holds.
        name: Short stable name; used as a metric label.
        detail: Observed values, for the error message.

    Raises:
        InvariantError: If the invariant does not hold, unless FATAL_VARIABLE is 1;
            then the process exits with FATAL_EXIT_CODE.
    """
    checks[name] += 1
    if holds:
        return
    violations[name] += 1
    message = f"invariant {name} violated: {detail}"
    if os.environ.get(FATAL_VARIABLE) == "1":
        os.write(2, f"{message}\n".encode())
        os._exit(FATAL_EXIT_CODE)
    raise InvariantError(message, "report it with the output of lagoonctl timeline")
