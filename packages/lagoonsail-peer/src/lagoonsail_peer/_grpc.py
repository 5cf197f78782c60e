"""Transport of streams as gRPC calls, which run in native threads."""

from __future__ import annotations

import contextlib
import threading
from typing import TYPE_CHECKING

import grpc
import logbook

from lagoonsail_core.messages import MAX_FRAME_BYTES
from lagoonsail_peer._bridge import GrpcWire, get_bridge
from lagoonsail_peer._grpc_calls import GrpcCalls
from lagoonsail_peer.signing import SignatureChecker, SignatureError, sign
from lagoonsail_peer.stream import CLOSED_BROKEN, StreamOptions
from lagoonsail_peer.wire import (
    MAX_CALLS,
    REFUSED_METADATA,
    REFUSED_TOO_MANY_STREAMS,
    Listener,
    StreamAcceptor,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonsail_peer._bridge import Bridge, GrpcSendQueue

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

MAX_INCARNATION_DIGITS = 20
"""Maximum digits of an incarnation, a 64-bit number."""

SIZE_MARGIN_BYTES = 65_536
"""How far a frame may exceed the maximum and still be read, so that it is counted.

gRPC rejects larger frames without giving the server a reason: the stream is then
counted as broken.
"""

_log = logbook.Logger("lagoonsail.peer")


def signed_body(router: str, incarnation: int | str) -> bytes:
    """Return the signed body of a stream's call.

    Args:
        router: Name of the dialling router.
        incarnation: Its incarnation.

    Returns:
        The bytes to sign.
    """
    return f"{router}\n{incarnation}".encode()


def listen(address: str, options: StreamOptions, acceptor: StreamAcceptor) -> Listener:
    """Listen for calls.

    Args:
        address: Address to listen on.
        options: Shared options of the streams.
        acceptor: Accepts the streams.

    Returns:
        The started listener.

    Raises:
        RuntimeError: If the address cannot be listened on.
    """
    bridge = get_bridge()
    checker = SignatureChecker(acceptor.shared_key, options.clock)

    def count_refused(reason: str) -> None:
        bridge.post(acceptor.count, f"refused_{reason}")

    def serve(frames: Iterator[bytes], context: grpc.ServicerContext) -> GrpcSendQueue:
        router, incarnation = _authenticate(context, checker, acceptor, count_refused)
        return _serve(frames, context, bridge, acceptor, router, incarnation)

    handler = grpc.stream_stream_rpc_method_handler(serve)
    calls = GrpcCalls(METHOD_PATH, handler, count_refused)
    server = grpc.server(
        calls,
        handlers=(calls,),
        options=(
            ("grpc.so_reuseport", 0),
            ("grpc.max_receive_message_length", MAX_FRAME_BYTES + SIZE_MARGIN_BYTES),
            ("grpc.max_send_message_length", MAX_FRAME_BYTES),
            ("grpc.max_metadata_size", 8192),
            # The default of gRPC lets unauthenticated clients keep connections open.
            ("grpc.server_handshake_timeout_ms", int(options.silence_ms)),
            ("grpc.keepalive_time_ms", 10_000),
            ("grpc.keepalive_timeout_ms", int(options.silence_ms)),
            ("grpc.http2.min_ping_interval_without_data_ms", 5000),
            ("grpc.http2.max_ping_strikes", 0),
        ),
        maximum_concurrent_rpcs=MAX_CALLS,
    )
    port = server.add_insecure_port(address)
    server.start()

    def stop() -> None:
        wait_until(server.stop(0).is_set, options.clock)

    return Listener(port, stop)


def _authenticate(
    context: grpc.ServicerContext,
    checker: SignatureChecker,
    acceptor: StreamAcceptor,
    count_refused: Callable[[str], None],
) -> tuple[str, int]:
    """Authenticate the caller; runs in a native thread."""

    def refuse(code: grpc.StatusCode, reason: str) -> None:
        count_refused(reason)
        context.abort(code, reason)

    metadata = dict(context.invocation_metadata())
    router = str(metadata.get(METADATA_ROUTER, ""))
    incarnation = str(metadata.get(METADATA_INCARNATION, ""))
    is_number = incarnation.isascii() and incarnation.isdecimal()
    if not router or not is_number or len(incarnation) > MAX_INCARNATION_DIGITS:
        refuse(grpc.StatusCode.UNAUTHENTICATED, REFUSED_METADATA)
    body = signed_body(router, incarnation)
    signature = str(metadata.get(METADATA_SIGNATURE, ""))
    try:
        checker.check("STREAM", METHOD_PATH, body, signature)
    except SignatureError as error:
        refuse(grpc.StatusCode.UNAUTHENTICATED, error.reason)
    if not acceptor.acquire():
        refuse(grpc.StatusCode.RESOURCE_EXHAUSTED, REFUSED_TOO_MANY_STREAMS)
    return router, int(incarnation)


def _serve(
    frames: Iterator[bytes],
    context: grpc.ServicerContext,
    bridge: Bridge,
    acceptor: StreamAcceptor,
    router: str,
    incarnation: int,
) -> GrpcSendQueue:
    """Serve one call; runs in a native thread."""
    wire = GrpcWire(bridge)
    wire.attach(context.cancel)
    if not context.add_callback(wire.send_queue.end):
        wire.send_queue.end()
    bridge.post(acceptor.accept, wire, router, incarnation)

    def read() -> None:
        # When the call was cancelled or broke, gRPC raises a bare Exception or ends
        # the iterator, depending on thread timing.
        with contextlib.suppress(Exception):
            wire.read(frames)
        acceptor.release()
        bridge.post(acceptor.discard, wire)
        wire.report_end(CLOSED_BROKEN)

    threading.Thread(target=read, name="peer-reader", daemon=True).start()
    return wire.send_queue


def dial(
    address: str,
    shared_key: bytes,
    options: StreamOptions,
    on_ended: Callable[[GrpcWire], None],
) -> GrpcWire:
    """Start a call.

    Args:
        address: Address of the server.
        shared_key: Key that signs the call.
        options: Shared options of the streams.
        on_ended: Called with the wire when the call has ended.

    Returns:
        The wire of the call, which is not connected yet.
    """
    bridge = get_bridge()
    wire = GrpcWire(bridge)
    metadata = _sign_metadata(shared_key, options)

    def run() -> None:
        """Dial and read until the call ends; runs in a native thread."""
        reason = CLOSED_BROKEN
        channel = _open_channel(address, options.silence_ms)
        try:
            call = channel.stream_stream(METHOD_PATH)(
                wire.send_queue, metadata=metadata
            )
            wire.attach(call.cancel)
            wire.read(call)
        except grpc.RpcError as error:
            reason = f"closed_{error.code().name.lower()}"
        except Exception:
            _log.exception(
                "gRPC call to peer {} failed; the link will dial again", address
            )
        finally:
            channel.close()
            bridge.post(on_ended, wire)
            wire.report_end(reason)

    threading.Thread(target=run, name="peer-link", daemon=True).start()
    return wire


def _sign_metadata(
    shared_key: bytes, options: StreamOptions
) -> tuple[tuple[str, str], ...]:
    hello = options.make_hello()
    body = signed_body(hello.router, hello.incarnation)
    signature = sign(shared_key, "STREAM", METHOD_PATH, body, options.clock)
    return (
        (METADATA_ROUTER, hello.router),
        (METADATA_INCARNATION, str(hello.incarnation)),
        (METADATA_SIGNATURE, signature),
    )


def _open_channel(address: str, silence_ms: float) -> grpc.Channel:
    return grpc.insecure_channel(
        address,
        options=(
            # A silent connection must not be reused.
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_http_proxy", 0),
            ("grpc.enable_retries", 0),
            ("grpc.max_receive_message_length", MAX_FRAME_BYTES + SIZE_MARGIN_BYTES),
            ("grpc.max_send_message_length", MAX_FRAME_BYTES),
            ("grpc.keepalive_time_ms", 10_000),
            ("grpc.keepalive_timeout_ms", int(silence_ms)),
            ("grpc.http2.max_pings_without_data", 0),
        ),
    )
