"""Names that stay distinct when two fleets become one."""

from __future__ import annotations

import re

from lagoonsail_core.errors import LagoonsailError

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
"""What an unqualified name may look like."""


class NameFormatError(LagoonsailError):
    """A name that is not of the accepted form."""


def check_name(name: str) -> str:
    """Return the name if it is well formed.

    Args:
        name: An unqualified name.

    Returns:
        The same name.

    Raises:
        NameFormatError: If the name is malformed.
    """
    if NAME_PATTERN.fullmatch(name):
        return name
    raise NameFormatError(
        f"malformed name {name[:80]!r}",
        "use 1 to 63 of a-z, 0-9 and hyphen, beginning with a letter or digit",
    )


def qualify(side: str, name: str) -> str:
    """Return the fleet-wide name of something that one side named.

    Args:
        side: The side that owns the name.
        name: Its name on that side.

    Returns:
        The qualified name.

    Example:
        >>> qualify("cordero", "registro")
        'cordero/registro'
    """
    return f"{side}/{name}"
