"""The one place that imports eventlet, and urllib3 on top of it.

Nothing is monkey patched: gRPC needs real threads, so sockets, time and queues are
taken from eventlet where they are wanted.
"""

from __future__ import annotations

import os
import warnings

# All addresses are IP numbers; importing eventlet's resolver takes half of a start.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

with warnings.catch_warnings():
    # The users chose eventlet; its notice at import would repeat in every process.
    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    import eventlet
    import eventlet.debug
    import eventlet.event
    import eventlet.green.select as green_select
    import eventlet.green.socket as green_socket
    import eventlet.hubs
    import eventlet.queue
    import eventlet.semaphore
    import eventlet.wsgi

trampoline = eventlet.hubs.trampoline


def __getattr__(name: str) -> object:
    """Import urllib3 when it is first asked for, since not all processes need it."""
    if name != "urllib3":
        raise AttributeError(name)
    library = eventlet.import_patched("urllib3")
    globals()["urllib3"] = library
    return library


__all__ = ["eventlet", "green_select", "green_socket", "trampoline"]
