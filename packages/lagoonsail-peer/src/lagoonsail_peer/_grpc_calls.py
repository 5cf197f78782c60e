"""Dispatch of gRPC calls, with counts of those that gRPC refuses itself.

gRPC refuses calls with an unknown path and calls above its concurrency limit without
notifying the application. It asks for the handler of every call and then starts each
call that it does not refuse, one after the other, so that refusals can be derived here.
"""

from __future__ import annotations

import threading
from concurrent import futures
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    import grpc

REFUSED_METHOD = "method_unknown"
"""The path of the call is not the stream method."""
REFUSED_TOO_MANY_CALLS = "too_many_calls"
"""The concurrency limit of gRPC is reached."""


class GrpcCalls(futures.Executor):
    """Handler lookup and executor that runs each call in a daemon thread.

    Daemon threads do not delay the exit of the process.
    """

    def __init__(
        self, path: str, handler: grpc.RpcMethodHandler, count: Callable[[str], None]
    ) -> None:
        """Set the only method that is served.

        Args:
            path: Path of the method.
            handler: Its handler.
            count: Counts a refused call by its reason; callable from any thread.
        """
        self._path = path
        self._handler = handler
        self._count = count
        # Guarded by the lock of the gRPC server, which calls both methods under it.
        self._is_last_call_started = True

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        """Return the handler of a call; called by gRPC.

        Args:
            details: Path and metadata of the call.

        Returns:
            The handler, or None to have gRPC refuse the call.
        """
        self._count_refused_call()
        if details.method != self._path:
            self._count(REFUSED_METHOD)
            return None
        self._is_last_call_started = False
        return self._handler

    def submit(
        self, fn: Callable, /, *args: object, **kwargs: object
    ) -> futures.Future:
        """Run a call in a new thread; called by gRPC."""
        self._is_last_call_started = True
        future = futures.Future()

        def run() -> None:
            try:
                future.set_result(fn(*args, **kwargs))
            except BaseException as error:
                future.set_exception(error)

        threading.Thread(target=run, name="peer-call", daemon=True).start()
        return future

    def _count_refused_call(self) -> None:
        # A call above the limit shows only by not having been started when the next
        # one arrives.
        if self._is_last_call_started:
            return
        self._is_last_call_started = True
        self._count(REFUSED_TOO_MANY_CALLS)
