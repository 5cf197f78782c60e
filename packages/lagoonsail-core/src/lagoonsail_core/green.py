"""The only module that imports eventlet, and urllib3 with eventlet's sockets.

Nothing is monkey patched, since gRPC needs real threads. Modules that need
cooperative sockets, timers or queues import them from here.
"""

from __future__ import annotations

import os
import warnings

# All addresses are IP numbers, and importing eventlet's DNS resolver takes half of
# the start-up time.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

with warnings.catch_warnings():
    # The users chose eventlet; its deprecation warning would repeat in every process.
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
    from eventlet.hubs import IOClosed
    from eventlet.hubs.epolls import Hub as EpollHub
    from greenlet import getcurrent

trampoline = eventlet.hubs.trampoline


def __getattr__(name: str) -> object:
    """Import urllib3 on first access, since not all processes need it."""
    if name != "urllib3":
        raise AttributeError(name)
    module = eventlet.import_patched("urllib3")
    globals()["urllib3"] = module
    return module


__all__ = [
    "EpollHub",
    "IOClosed",
    "eventlet",
    "getcurrent",
    "green_select",
    "green_socket",
    "trampoline",
]
