"""Addresses of processes: an IPv4 address and a port."""

from __future__ import annotations

import re
from ipaddress import IPv4Address

_ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})", re.ASCII)
MAX_PORT = 65_535
"""Highest port number."""


def parse_address(text: str) -> tuple[str, int] | None:
    """Return IP address and port of an address, None if it is malformed.

    Args:
        text: The address.

    Example:
        >>> parse_address("10.0.0.1:7400")
        ('10.0.0.1', 7400)
        >>> [parse_address(text) for text in ("10.0.0.1:99999", "a.example:80")]
        [None, None]
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return None
    host, port = match[1], int(match[2])
    try:
        IPv4Address(host)
    except ValueError:
        return None
    return (host, port) if 0 < port <= MAX_PORT else None
