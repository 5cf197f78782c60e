"""Entry point of the daemon: handles signals that arrive while it is still importing.

SIGHUP ends a process that does not handle it, and the imports take a few hundred
milliseconds.
"""

from __future__ import annotations

import signal


def main() -> None:
    """Ignore SIGHUP, which has no meaning for a router, and run the command line."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lagoonsail_router.main import main as run_command

    run_command()
