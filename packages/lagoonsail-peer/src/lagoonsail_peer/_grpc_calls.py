"""Which gRPC calls get to the handler, and counts of those that never do.

The library itself refuses calls of unknown paths and calls above its limit, and tells
the application neither. It does ask for the handler of every call, and starts each call
that it does not refuse, one call after the other; so both can be seen here.
"""

from __future__ import annotations

import threading
from concurrent import futures
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    import grpc

REFUSED_METHOD = "method_unknown"
"""The call's path is not that of a stream."""
REFUSED_TOO_MANY_CALLS = "too_many_calls"
"""As many calls run as the library may run at once."""


class GrpcCalls(futures.Executor):
    """Finds the handler of each call, and gives each a daemon thread.

    Daemon threads cannot hold up the process's end.
    """

    def __init__(
        self, path: str, handler: grpc.RpcMethodHandler, count: Callable[[str], None]
    ) -> None:
        """Take the only method that is served.

        Args:
            path: Path of the method.
            handler: Its handler.
            count: Counts a refused call by its reason; for any thread.
        """
        self._path = path
        self._handler = handler
        self._count = count
        # Read and written under the server's lock, which it holds over both calls.
        self._is_started = True

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        """Return the handler of a call, as gRPC asks for it.

        Args:
            details: Path and metadata of the call.

        Returns:
            The handler, or None for a call that gRPC is to refuse.
        """
        self._count_unstarted()
        if details.method != self._path:
            self._count(REFUSED_METHOD)
            return None
        self._is_started = False
        return self._handler

    def submit(
        self, fn: Callable, /, *args: object, **kwargs: object
    ) -> futures.Future:
        """Run a call in a thread of its own, as gRPC starts it."""
        self._is_started = True
        future = futures.Future()

        def run() -> None:
            try:
                future.set_result(fn(*args, **kwargs))
            except BaseException as error:
                future.set_exception(error)

        threading.Thread(target=run, name="peer-call", daemon=True).start()
        return future

    def _count_unstarted(self) -> None:
        # Nothing tells of a call above the limit but that it has not been started
        # when the next one comes.
        if self._is_started:
            return
        self._is_started = True
        self._count(REFUSED_TOO_MANY_CALLS)
