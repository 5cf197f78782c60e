"""Bridge between the native threads of gRPC and the green threads of the hub."""

from __future__ import annotations

import os
import threading
from collections import deque
from queue import SimpleQueue
from typing import TYPE_CHECKING

import logbook

from lagoonsail_core.green import eventlet
from lagoonsail_peer.wire import MAX_UNREAD_FRAMES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_peer.stream import PeerStream

_log = logbook.Logger("lagoonsail.peer")
_local = threading.local()


class Bridge:
    """Runs functions in the hub's thread for native threads."""

    __slots__ = ("_calls", "_is_signalled", "_reader", "_writer")

    def __init__(self) -> None:
        self._calls: deque[tuple[Callable, tuple]] = deque()
        self._is_signalled = False
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        os.set_blocking(self._writer, False)
        eventlet.spawn(self._run)

    def post(self, function: Callable, *args: object) -> None:
        """Queue a function call for the hub's thread; calls run in order.

        Args:
            function: Called by a green thread; it must not block.
            *args: Its arguments.
        """
        self._calls.append((function, args))
        if self._is_signalled:
            return
        self._is_signalled = True
        try:
            os.write(self._writer, b"\0")
        except BlockingIOError:
            # The pipe is full, so the reader wakes up without this byte.
            return

    def _run(self) -> None:
        while True:
            eventlet.hubs.trampoline(self._reader, read=True)
            os.read(self._reader, 4096)
            # Cleared before draining, so that later posts signal again.
            self._is_signalled = False
            self._drain()

    def _drain(self) -> None:
        while self._calls:
            function, args = self._calls.popleft()
            try:
                function(*args)
            except Exception:
                _log.exception(
                    "a function posted by a native thread raised; it is skipped"
                )


def get_bridge() -> Bridge:
    """Return the bridge to the hub of the calling thread."""
    bridge = getattr(_local, "bridge", None)
    if bridge is None:
        bridge = _local.bridge = Bridge()
    return bridge


class GrpcSendQueue:
    """Queue of outgoing frames; a native thread of gRPC iterates over it."""

    __slots__ = (
        "_bytes_dequeued",
        "_bytes_queued",
        "_frames",
        "_messages_dequeued",
        "_messages_queued",
    )

    def __init__(self) -> None:
        self._frames: SimpleQueue[tuple[bytes, int] | None] = SimpleQueue()
        # Each counter has a single writer thread, so that no lock is needed.
        self._messages_queued = 0
        self._messages_dequeued = 0
        self._bytes_queued = 0
        self._bytes_dequeued = 0

    @property
    def queued_messages(self) -> int:
        """Number of queued messages, without heartbeats."""
        return self._messages_queued - self._messages_dequeued

    @property
    def queued_bytes(self) -> int:
        """Size of the queued frames in bytes."""
        return self._bytes_queued - self._bytes_dequeued

    def put(self, frame: bytes, messages: int) -> None:
        """Append a frame; never blocks.

        Args:
            frame: An encoded frame.
            messages: Number of its messages, without heartbeats.
        """
        self._messages_queued += messages
        self._bytes_queued += len(frame)
        self._frames.put((frame, messages))

    def end(self) -> None:
        """End the iterator after the queued frames."""
        self._frames.put(None)

    def __iter__(self) -> GrpcSendQueue:
        return self

    def __next__(self) -> bytes:
        item = self._frames.get()
        if item is None:
            raise StopIteration
        frame, messages = item
        self._messages_dequeued += messages
        self._bytes_dequeued += len(frame)
        return frame


class GrpcWire:
    """The gRPC call of one stream: its outgoing queue, reader and cancellation."""

    __slots__ = (
        "_bridge",
        "_cancel",
        "_credits",
        "_is_cancelled",
        "_lock",
        "send_queue",
        "stream",
    )

    def __init__(self, bridge: Bridge) -> None:
        self.send_queue = GrpcSendQueue()
        self.stream: PeerStream | None = None
        self._bridge = bridge
        self._credits = threading.Semaphore(MAX_UNREAD_FRAMES)
        self._lock = threading.Lock()
        self._cancel: Callable[[], object] | None = None
        self._is_cancelled = False

    def attach(self, cancel: Callable[[], object]) -> None:
        """Set the cancel function; called in a native thread.

        Args:
            cancel: Cancels the call; may be called from any thread.
        """
        with self._lock:
            self._cancel = cancel
            is_cancelled = self._is_cancelled
        if is_cancelled:
            cancel()

    def cancel(self) -> None:
        """Cancel the call at once and drop the queued frames."""
        with self._lock:
            if self._is_cancelled:
                return
            self._is_cancelled = True
            cancel = self._cancel
        self.send_queue.end()
        self._credits.release()
        if cancel is not None:
            cancel()

    def release(self) -> None:
        """Allow the reader to read one more frame."""
        self._credits.release()

    def read(self, frames: Iterable[bytes]) -> None:
        """Pass frames to the hub until the call ends; runs in a native thread.

        Args:
            frames: The iterator of received frames from gRPC.
        """
        for frame in frames:
            self._credits.acquire()
            if self._is_cancelled:
                return
            self._bridge.post(self._deliver, frame)

    def report_end(self, reason: str) -> None:
        """Report the end of the call to the hub; called in a native thread.

        Args:
            reason: Why, as a counter key.
        """
        self._bridge.post(self._deliver_end, reason)

    def _deliver(self, frame: bytes) -> None:
        if self.stream is not None:
            self.stream.on_frame(frame)
            self.stream.wake_worker()

    def _deliver_end(self, reason: str) -> None:
        if self.stream is not None:
            self.stream.on_end(reason)
