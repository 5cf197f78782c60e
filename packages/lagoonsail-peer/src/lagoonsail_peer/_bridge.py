"""The way between gRPC's native threads and the green threads of the hub."""

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
    """Runs functions in the hub's thread on behalf of native threads."""

    __slots__ = ("_calls", "_is_signalled", "_reader", "_writer")

    def __init__(self) -> None:
        self._calls: deque[tuple[Callable, tuple]] = deque()
        self._is_signalled = False
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        os.set_blocking(self._writer, False)
        eventlet.spawn(self._run)

    def post(self, function: Callable, *args: object) -> None:
        """Have a function called in the hub's thread, in the order of posting.

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
            # The pipe is full, so the reader will wake up anyway.
            return

    def _run(self) -> None:
        while True:
            eventlet.hubs.trampoline(self._reader, read=True)
            os.read(self._reader, 4096)
            # Cleared before draining: whatever is posted from here on signals again.
            self._is_signalled = False
            self._drain()

    def _drain(self) -> None:
        while self._calls:
            function, args = self._calls.popleft()
            try:
                function(*args)
            except Exception:
                _log.exception("a call from a native thread failed")


def get_bridge() -> Bridge:
    """Return the bridge to the hub of the calling thread."""
    bridge = getattr(_local, "bridge", None)
    if bridge is None:
        bridge = _local.bridge = Bridge()
    return bridge


class GrpcOutgoing:
    """Frames that wait for gRPC, as the iterator which its native thread consumes."""

    __slots__ = (
        "_bytes_put",
        "_bytes_taken",
        "_frames",
        "_messages_put",
        "_messages_taken",
    )

    def __init__(self) -> None:
        self._frames: SimpleQueue[tuple[bytes, int] | None] = SimpleQueue()
        # Each count is written by one thread only, so that no lock is needed.
        self._messages_put = 0
        self._messages_taken = 0
        self._bytes_put = 0
        self._bytes_taken = 0

    @property
    def waiting(self) -> int:
        """Number of counted messages that gRPC has not taken yet."""
        return self._messages_put - self._messages_taken

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the frames that gRPC has not taken yet."""
        return self._bytes_put - self._bytes_taken

    def put(self, frame: bytes, messages: int) -> None:
        """Append a frame; never blocks.

        Args:
            frame: An encoded frame.
            messages: How many messages it holds, without those that don't count.
        """
        self._messages_put += messages
        self._bytes_put += len(frame)
        self._frames.put((frame, messages))

    def end(self) -> None:
        """Let the iterator end after the frames that wait."""
        self._frames.put(None)

    def __iter__(self) -> GrpcOutgoing:
        return self

    def __next__(self) -> bytes:
        item = self._frames.get()
        if item is None:
            raise StopIteration
        frame, messages = item
        self._messages_taken += messages
        self._bytes_taken += len(frame)
        return frame


class GrpcWire:
    """The native part of one stream: what to send, and how to read and cancel."""

    __slots__ = (
        "_bridge",
        "_cancel",
        "_credits",
        "_is_cancelled",
        "_lock",
        "outgoing",
        "stream",
    )

    def __init__(self, bridge: Bridge) -> None:
        self.outgoing = GrpcOutgoing()
        self.stream: PeerStream | None = None
        self._bridge = bridge
        self._credits = threading.Semaphore(MAX_UNREAD_FRAMES)
        self._lock = threading.Lock()
        self._cancel: Callable[[], object] | None = None
        self._is_cancelled = False

    def attach(self, cancel: Callable[[], object]) -> None:
        """Say how the call is cancelled; called in a native thread.

        Args:
            cancel: Cancels the call; may be called from any thread.
        """
        with self._lock:
            self._cancel = cancel
            is_cancelled = self._is_cancelled
        if is_cancelled:
            cancel()

    def cancel(self) -> None:
        """End the call at once; what waits to be sent is lost."""
        with self._lock:
            if self._is_cancelled:
                return
            self._is_cancelled = True
            cancel = self._cancel
        self.outgoing.end()
        self._credits.release()
        if cancel is not None:
            cancel()

    def release(self) -> None:
        """Let the reader read one more frame."""
        self._credits.release()

    def read(self, frames: Iterable[bytes]) -> None:
        """Pass frames to the hub until the call ends; runs in a native thread.

        Args:
            frames: The iterator of received frames that gRPC gave.
        """
        for frame in frames:
            self._credits.acquire()
            if self._is_cancelled:
                return
            self._bridge.post(self._take, frame)

    def ended(self, reason: str) -> None:
        """Tell the hub that the call is over; called in a native thread.

        Args:
            reason: Why, as a counter key.
        """
        self._bridge.post(self._take_end, reason)

    def _take(self, frame: bytes) -> None:
        if self.stream is not None:
            self.stream.on_frame(frame)
            self.stream.wake()

    def _take_end(self, reason: str) -> None:
        if self.stream is not None:
            self.stream.on_end(reason)
