"""A router whose connections come from a loopback address of its own.

On hosts of their own, routers have addresses of their own; the relays of the laboratory
tell routers apart by them. Besides the source address it is the router as it is.
"""

from __future__ import annotations

import sys
from pathlib import Path

import defopt

from lagoonsail_core.green import urllib3
from lagoonsail_router.main import run


def connect_from(source: str) -> None:
    """Let all HTTP connections of this process come from one address.

    Args:
        source: The address.
    """
    opening = urllib3.connection.connection
    connect = opening.create_connection

    def connect_from_source(address, timeout, source_address=None, socket_options=None):
        chosen = source_address or (source, 0)
        return connect(address, timeout, chosen, socket_options)

    opening.create_connection = connect_from_source


def start(*, settings: Path, source: str) -> int:
    """Run a router until SIGTERM.

    Args:
        settings: File with the settings, in INI.
        source: Address that its connections come from.

    Returns:
        Exit code.
    """
    connect_from(source)
    return run(settings=settings)


if __name__ == "__main__":
    sys.exit(defopt.run(start))
