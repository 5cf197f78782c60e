"""A dialled stream that reconnects by itself."""

from __future__ import annotations

import random
import threading
from collections import Counter
from typing import TYPE_CHECKING

import grpc
import logbook

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import MAX_FRAME_BYTES
from lagoonsail_peer._bridge import Wire, get_bridge
from lagoonsail_peer.server import (
    METADATA_INCARNATION,
    METADATA_ROUTER,
    METADATA_SIGNATURE,
    METHOD_PATH,
    SIZE_SLACK_BYTES,
    STOP_WAIT_MS,
    stream_body,
)
from lagoonsail_peer.signing import sign
from lagoonsail_peer.stream import (
    CLOSED_BROKEN,
    PeerStream,
    StreamOptions,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.events import Timeline
    from lagoonsail_core.messages import Heartbeat, Hello

_log = logbook.Logger("lagoonsail.peer")

MIN_BACKOFF_MS = 50.0
"""Shortest pause before dialling again."""
MAX_BACKOFF_MS = 1000.0
"""Longest pause before dialling again."""


class PeerLink:
    """Keeps one stream to an address open; methods are for the hub's thread."""

    __slots__ = (
        "_address",
        "_bridge",
        "_is_stopping",
        "_options",
        "_random",
        "_shared_key",
        "_wires",
        "counters",
        "stream",
    )

    counters: Counter
    """Dials, closed streams by reason; frames, messages and bytes."""
    stream: PeerStream | None
    """The stream of the last dial; it may be closed or not open yet."""

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
        self.counters = Counter()
        self.stream = None
        self._address = address
        self._shared_key = shared_key
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
            clock=clock or Clock(),
            counters=self.counters,
        )
        self._random = random.Random()
        self._bridge = get_bridge()
        self._wires: set[Wire] = set()
        self._is_stopping = False

    def start(self) -> None:
        """Begin to dial; returns at once."""
        eventlet.spawn(self._keep)

    def stop(self) -> None:
        """Close the stream and dial no more; returns when that is done."""
        self._is_stopping = True
        if self.stream is not None:
            self.stream.close()
        clock = self._options.clock
        limit_ms = clock.now_ms() + STOP_WAIT_MS
        while not self._is_over() and clock.now_ms() < limit_ms:
            eventlet.sleep(0.005)

    def _is_over(self) -> bool:
        return not self._wires and (self.stream is None or self.stream.done.ready())

    def _keep(self) -> None:
        backoff_ms = 2.0 * MIN_BACKOFF_MS
        while not self._is_stopping:
            stream = self._dial()
            stream.done.wait()
            if self._lasted(stream):
                backoff_ms = 2.0 * MIN_BACKOFF_MS
            pause_ms = self._random.uniform(0.5, 1.0) * backoff_ms
            eventlet.sleep(pause_ms / 1000.0)
            backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * 2.0)

    def _lasted(self, stream: PeerStream) -> bool:
        # A stream that opens and breaks at once must not be dialled in a tight loop.
        if not stream.opened_ms:
            return False
        return self._options.clock.now_ms() - stream.opened_ms > MAX_BACKOFF_MS

    def _dial(self) -> PeerStream:
        self.counters["dials"] += 1
        wire = Wire(self._bridge)
        self._wires.add(wire)
        self.stream = PeerStream(wire, self._options)
        thread = threading.Thread(
            target=self._run,
            args=(wire, self._metadata()),
            name="peer-link",
            daemon=True,
        )
        thread.start()
        return self.stream

    def _metadata(self) -> tuple[tuple[str, str], ...]:
        hello = self._options.identity()
        body = stream_body(hello.router, hello.incarnation)
        signature = sign(
            self._shared_key, "STREAM", METHOD_PATH, body, self._options.clock
        )
        return (
            (METADATA_ROUTER, hello.router),
            (METADATA_INCARNATION, str(hello.incarnation)),
            (METADATA_SIGNATURE, signature),
        )

    def _run(self, wire: Wire, metadata: tuple[tuple[str, str], ...]) -> None:
        """Dial and read until the call ends; runs in a native thread."""
        reason = CLOSED_BROKEN
        channel = self._open_channel()
        try:
            call = channel.stream_stream(METHOD_PATH)(wire.outgoing, metadata=metadata)
            wire.attach(call.cancel)
            wire.read(call)
        except grpc.RpcError as error:
            reason = f"closed_{error.code().name.lower()}"
        except Exception:
            _log.exception("the call to {} failed", self._address)
        finally:
            channel.close()
            self._bridge.post(self._wires.discard, wire)
            wire.ended(reason)

    def _open_channel(self) -> grpc.Channel:
        return grpc.insecure_channel(
            self._address,
            options=(
                # A connection that has gone silent must not be used again.
                ("grpc.use_local_subchannel_pool", 1),
                ("grpc.enable_http_proxy", 0),
                ("grpc.enable_retries", 0),
                ("grpc.max_receive_message_length", MAX_FRAME_BYTES + SIZE_SLACK_BYTES),
                ("grpc.max_send_message_length", MAX_FRAME_BYTES),
                ("grpc.keepalive_time_ms", 10_000),
                ("grpc.keepalive_timeout_ms", int(self._options.silence_ms)),
                ("grpc.http2.max_pings_without_data", 0),
            ),
        )
