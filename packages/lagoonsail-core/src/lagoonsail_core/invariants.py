"""Invariants that are checked inside the running program."""

from __future__ import annotations

import os
from collections import Counter

from lagoonsail_core.errors import LagoonsailError

FATAL_VARIABLE = "LAGOONSAIL_INVARIANTS_FATAL"
"""Environment variable that makes a violated invariant end the process."""

FATAL_EXIT_CODE = 70
"""Exit code of a process that ended on a violated invariant."""

checks = Counter()
"""How often each invariant was checked."""
violations = Counter()
"""How often each invariant did not hold."""


class InvariantError(LagoonsailError):
    """An invariant of the program does not hold."""


def require(holds: bool, name: str, detail: str = "") -> None:
    """Check an invariant, count it, and fail if it does not hold.

    Args:
        holds: Whether the invariant holds.
        name: Short stable name; used as a metric label.
        detail: What was seen, for the error message.

    Raises:
        InvariantError: If the invariant does not hold.
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
