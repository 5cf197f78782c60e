"""A router whose outgoing connections use their own loopback source address.

On separate hosts, routers have separate addresses. The relays of the laboratory
distinguish routers by these. Apart from the source address, the router is unchanged.
"""

from __future__ import annotations

import sys
from pathlib import Path

import defopt

from lagoonsail_core.green import urllib3
from lagoonsail_router.main import run


def set_source_address(source: str) -> None:
    """Bind all HTTP connections of this process to a source address.

    Args:
        source: Source address.
    """
    connection_module = urllib3.connection.connection
    connect = connection_module.create_connection

    def connect_from_source(address, timeout, source_address=None, socket_options=None):
        chosen = source_address or (source, 0)
        return connect(address, timeout, chosen, socket_options)

    connection_module.create_connection = connect_from_source


def start(*, settings: Path, source: str) -> int:
    """Run a router until SIGTERM.

    Args:
        settings: Settings file in INI format.
        source: Source address of its outgoing connections.

    Returns:
        Exit code.
    """
    set_source_address(source)
    return run(settings=settings)


if __name__ == "__main__":
    sys.exit(defopt.run(start))
