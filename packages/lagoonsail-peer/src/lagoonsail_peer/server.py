"""The server that takes streams from other routers."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
from collections import Counter
from concurrent import futures
from typing import TYPE_CHECKING

import grpc

from lagoonsail_core.clock import Clock
from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import MAX_FRAME_BYTES
from lagoonsail_peer._bridge import Wire, get_bridge
from lagoonsail_peer.signing import SignatureChecker, SignatureError
from lagoonsail_peer.stream import (
    CLOSED_BROKEN,
    PeerStream,
    StreamOptions,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonsail_core.events import Timeline
    from lagoonsail_core.messages import Heartbeat, Hello
    from lagoonsail_peer._bridge import Outgoing

SERVICE = "lagoonsail.Peer"
"""Name of the gRPC service."""
METHOD_PATH = f"/{SERVICE}/Stream"
"""Path of its only method."""
METADATA_ROUTER = "x-lagoonsail-router"
"""Metadata key of the dialling router's name."""
METADATA_INCARNATION = "x-lagoonsail-incarnation"
"""Metadata key of the dialling router's incarnation."""
METADATA_SIGNATURE = "x-lagoonsail-signature"
"""Metadata key of the signature."""

MAX_STREAMS = 128
"""Streams that a server serves at once."""
MAX_CALLS = MAX_STREAMS + 32
"""Calls at once; those above the limit of streams are only refused."""
STOP_WAIT_MS = 1000.0
"""How long stopping waits for native threads."""
SIZE_SLACK_BYTES = 65_536
"""Frames larger than accepted by at most this are read, so that they are counted.

gRPC refuses larger ones without a reason that the server can see: the stream is then
counted as broken.
"""

REFUSED_TOO_MANY_STREAMS = "too_many_streams"
"""The server serves as many streams as it may."""
REFUSED_METADATA = "metadata_malformed"
"""The metadata lacks the router's name or incarnation."""
REFUSED_STOPPING = "stopping"
"""The server is about to stop."""


class AddressError(LagoonsailError):
    """An address on which the server cannot listen."""


class _DaemonExecutor(futures.Executor):
    """Gives each call a daemon thread, so that none can hold up the process's end."""

    def submit(self, fn, /, *args, **kwargs) -> futures.Future:
        """Run a function in a thread of its own."""
        future = futures.Future()

        def run() -> None:
            try:
                future.set_result(fn(*args, **kwargs))
            except BaseException as error:
                future.set_exception(error)

        threading.Thread(target=run, name="peer-call", daemon=True).start()
        return future


def stream_body(router: str, incarnation: int) -> bytes:
    """Return what the signature of a stream covers besides method and path.

    Args:
        router: Name of the dialling router.
        incarnation: Its incarnation.

    Returns:
        The bytes to sign.
    """
    return f"{router}\n{incarnation}".encode()


class PeerServer:
    """Listens for streams; methods are for the hub's thread."""

    __slots__ = (
        "_active",
        "_address",
        "_bridge",
        "_checker",
        "_is_stopping",
        "_lock",
        "_options",
        "_server",
        "_wires",
        "counters",
        "port",
    )

    counters: Counter
    """Refused calls and closed streams by reason; frames, messages and bytes."""
    port: int
    """Port on which the server listens, 0 before the start."""

    def __init__(
        self,
        address: str,
        shared_key: bytes,
        identity: Callable[[], Hello],
        timeline: Timeline,
        on_open: Callable[[PeerStream, Hello], None],
        on_messages: Callable[[PeerStream, list], None],
        on_close: Callable[[PeerStream], None],
        flush_ms: float,
        silence_ms: float,
        make_heartbeat: Callable[[], Heartbeat],
        heartbeat_ms: float,
        clock: Clock | None = None,
    ) -> None:
        clock = clock or Clock()
        self.counters = Counter()
        self.port = 0
        self._address = address
        self._options = StreamOptions(
            identity=identity,
            timeline=timeline,
            on_open=on_open,
            on_messages=on_messages,
            on_close=on_close,
            flush_ms=flush_ms,
            silence_ms=silence_ms,
            make_heartbeat=make_heartbeat,
            heartbeat_ms=heartbeat_ms,
            clock=clock,
            counters=self.counters,
        )
        self._checker = SignatureChecker(shared_key, clock)
        self._bridge = get_bridge()
        self._lock = threading.Lock()
        self._active = 0
        self._wires: set[Wire] = set()
        self._is_stopping = False
        self._server: grpc.Server | None = None

    def start(self) -> None:
        """Listen.

        Raises:
            AddressError: If the address cannot be listened on.
        """
        server = grpc.server(
            _DaemonExecutor(),
            options=(
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", MAX_FRAME_BYTES + SIZE_SLACK_BYTES),
                ("grpc.max_send_message_length", MAX_FRAME_BYTES),
                ("grpc.max_metadata_size", 8192),
                ("grpc.keepalive_time_ms", 10_000),
                ("grpc.keepalive_timeout_ms", int(self._options.silence_ms)),
                ("grpc.http2.min_ping_interval_without_data_ms", 5000),
                ("grpc.http2.max_ping_strikes", 0),
            ),
            maximum_concurrent_rpcs=MAX_CALLS,
        )
        handler = grpc.stream_stream_rpc_method_handler(self._serve)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {"Stream": handler}),)
        )
        try:
            self.port = server.add_insecure_port(self._address)
        except RuntimeError as error:
            raise AddressError(
                f"cannot listen on {self._address} for peers",
                "choose a free address in listen.peers of the settings",
            ) from error
        server.start()
        self._server = server

    def stop(self) -> None:
        """Close all streams and stop listening; returns when that is done."""
        self._is_stopping = True
        for wire in list(self._wires):
            wire.stream.close()
        self._wait_until(self._is_over)
        if self._server is None:
            return
        stopped = self._server.stop(0)
        self._wait_until(stopped.is_set)
        self._server = None

    def _is_over(self) -> bool:
        return not self._wires

    def _wait_until(self, is_over: Callable[[], bool]) -> None:
        clock = self._options.clock
        limit_ms = clock.now_ms() + STOP_WAIT_MS
        while not is_over() and clock.now_ms() < limit_ms:
            eventlet.sleep(0.005)

    def _serve(
        self, frames: Iterator[bytes], context: grpc.ServicerContext
    ) -> Outgoing:
        """Take one call; runs in a native thread."""
        router, incarnation = self._admit(context)
        wire = Wire(self._bridge)
        wire.attach(context.cancel)
        if not context.add_callback(wire.outgoing.end):
            wire.outgoing.end()
        self._bridge.post(self._accept, wire, router, incarnation)
        reader = threading.Thread(
            target=self._read, args=(wire, frames), name="peer-reader", daemon=True
        )
        reader.start()
        return wire.outgoing

    def _read(self, wire: Wire, frames: Iterator[bytes]) -> None:
        # When the call was cancelled or broke, gRPC raises a bare Exception or just
        # ends the iterator, as its threads happen to run.
        with contextlib.suppress(Exception):
            wire.read(frames)
        with self._lock:
            self._active -= 1
        self._bridge.post(self._wires.discard, wire)
        wire.ended(CLOSED_BROKEN)

    def _admit(self, context: grpc.ServicerContext) -> tuple[str, int]:
        metadata = dict(context.invocation_metadata())
        router = str(metadata.get(METADATA_ROUTER, ""))
        incarnation = str(metadata.get(METADATA_INCARNATION, ""))
        if not router or not incarnation.isascii() or not incarnation.isdecimal():
            self._refuse(context, grpc.StatusCode.UNAUTHENTICATED, REFUSED_METADATA)
        body = stream_body(router, incarnation)
        signature = str(metadata.get(METADATA_SIGNATURE, ""))
        try:
            self._checker.check("STREAM", METHOD_PATH, body, signature)
        except SignatureError as error:
            self._refuse(context, grpc.StatusCode.UNAUTHENTICATED, error.reason)
        with self._lock:
            is_full = self._active >= MAX_STREAMS
            self._active += not is_full
        if is_full:
            self._refuse(
                context, grpc.StatusCode.RESOURCE_EXHAUSTED, REFUSED_TOO_MANY_STREAMS
            )
        return router, int(incarnation)

    def _refuse(
        self, context: grpc.ServicerContext, code: grpc.StatusCode, reason: str
    ) -> None:
        self._bridge.post(self._count, f"refused_{reason}")
        context.abort(code, reason)

    def _count(self, key: str) -> None:
        self.counters[key] += 1

    def _accept(self, wire: Wire, router: str, incarnation: int) -> None:
        if self._is_stopping:
            self._count(f"refused_{REFUSED_STOPPING}")
            wire.cancel()
            return
        options = dataclasses.replace(self._options, expected=(router, incarnation))
        self._wires.add(wire)
        try:
            PeerStream(wire, options)
        except Exception:
            # Nobody would notice the silence of a call without a stream.
            wire.cancel()
            raise
