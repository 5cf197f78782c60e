"""Qualified names, which stay distinct when two fleets are merged."""

from __future__ import annotations

import re

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
"""Pattern of an unqualified name."""


def qualify(side: str, name: str) -> str:
    """Return the fleet-wide name of an object of one side.

    Args:
        side: The side that owns the name.
        name: Unqualified name on that side.

    Returns:
        The qualified name.

    Example:
        >>> qualify("cordero", "registro")
        'cordero/registro'
    """
    return f"{side}/{name}"


def service_of(shard: str) -> str:
    """Return the qualified name of a shard's service.

    Example:
        >>> service_of("cordero/registro@sierra-central")
        'cordero/registro'
    """
    return shard.rsplit("@", 1)[0]


def region_of(shard: str) -> str:
    """Return the region of a shard.

    Example:
        >>> region_of("cordero/registro@sierra-central")
        'sierra-central'
    """
    return shard.rsplit("@", 1)[1]
