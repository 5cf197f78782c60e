"""Errors of system calls that say that this host is short of something.

Opening a connection fails with them although the other side is in order, so no server
is blamed for them. Accepting fails with them although the port is in order, so the port
stays open.
"""

from __future__ import annotations

import errno

LOCAL_SHORTAGE = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    }
)
"""No descriptors, buffers, memory or local ports are left."""
MAX_CAUSES = 8
"""Errors of a chain that are looked at."""


def is_local_shortage(error: BaseException | None) -> bool:
    """Return whether an error, or one that caused it, is a shortage on this host.

    Args:
        error: The error; libraries wrap the one of the system call.

    Example:
        >>> is_local_shortage(OSError(errno.EMFILE, "Too many open files"))
        True
        >>> is_local_shortage(ConnectionRefusedError(errno.ECONNREFUSED, "refused"))
        False
    """
    for _ in range(MAX_CAUSES):
        if error is None:
            return False
        if isinstance(error, OSError) and error.errno in LOCAL_SHORTAGE:
            return True
        error = error.__cause__ or error.__context__
    return False
