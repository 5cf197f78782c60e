"""One bidirectional stream of messages between two routers."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import logbook

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import (
    MAX_FRAME_BYTES,
    FrameError,
    Heartbeat,
    Hello,
    decode_frame,
    encode_frame,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.events import Timeline
    from lagoonsail_peer.heartbeats import HeartbeatScheduler
    from lagoonsail_peer.wire import Wire

MAX_QUEUED_MESSAGES = 10_000
"""Maximum number of queued messages per stream; more close it."""

MAX_QUEUED_BYTES = 4 * MAX_FRAME_BYTES
"""Maximum size of queued frames per stream; more close it."""

MAX_LOGICAL_JUMP = 2**40
"""Maximum advance of the logical clock by a frame, to prevent its overflow."""

CLOSE_GRACE_MS = 200.0
"""Grace period of an orderly close, after which the call is cancelled."""

CLOSED_HERE = "closed_here"
"""This side closed the stream."""
CLOSED_ENDED = "closed_ended"
"""The remote side closed the stream orderly."""
CLOSED_BROKEN = "closed_broken"
"""The call or connection ended without notice."""
CLOSED_SILENT = "closed_silent"
"""Nothing was received within the silence timeout."""
CLOSED_OVERFLOW = "closed_overflow"
"""Too many messages or bytes were queued for sending."""
CLOSED_MALFORMED = "closed_malformed_frame"
"""A frame could not be decoded."""
CLOSED_OVERSIZED = "closed_oversized_frame"
"""A frame exceeded the maximum size."""
CLOSED_PROTOCOL = "closed_protocol"
"""The first message was not a Hello, a Hello came later or with another identity, or
the logical time advanced too far."""
CLOSED_UNENCODABLE = "closed_unencodable"
"""An outgoing message cannot be encoded or is too large for a frame."""
CLOSED_CALLBACK = "closed_callback_error"
"""A callback raised an exception."""

_log = logbook.Logger("lagoonsail.peer")


@dataclass(slots=True)
class StreamOptions:
    """Shared options of the streams of a server and of links."""

    make_hello: Callable[[], Hello]
    """Creates the Hello of this side."""
    timeline: Timeline
    """Timeline whose logical time is sent and advanced."""
    on_open: Callable[[PeerStream, Hello], None]
    """Called once when the Hello of the remote side is received."""
    on_messages: Callable[[PeerStream, list], None]
    """Called with the messages of each frame, except the Hello."""
    on_close: Callable[[PeerStream], None]
    """Called once as the last callback, only if on_open was called."""
    flush_ms: float
    """Minimum time between two frames, in which messages are batched."""
    silence_ms: float
    """Silence timeout: a stream without received frames for this time is closed."""
    make_heartbeat: Callable[[], Heartbeat]
    """Creates the next heartbeat."""
    heartbeats: HeartbeatScheduler
    """Sends the heartbeats of all streams."""
    clock: Clock = field(default_factory=Clock)
    """Source of the monotonic time."""
    counters: Counter = field(default_factory=Counter)
    """Counts frames, messages, bytes, and closed streams by reason."""
    expected: tuple[str, int] | None = field(default=None)
    """Router and incarnation that the Hello must contain, if known."""


class PeerStream:
    """One stream; methods are for the hub's thread only and never block.

    The callbacks of a stream run one after the other in its own green thread, so that
    a slow callback does not delay other streams.
    """

    __slots__ = (
        "_flush_timer",
        "_inbox",
        "_is_open",
        "_is_same_region",
        "_is_worker_idle",
        "_last_flush_ms",
        "_options",
        "_pending",
        "_pending_heartbeats",
        "_wire",
        "_worker",
        "close_reason",
        "done",
        "incarnation",
        "is_closed",
        "last_received_ms",
        "name",
        "opened_ms",
        "region",
        "remote_received_ms",
        "remote_sent_ms",
    )

    name: str
    """Name of the remote router; empty before its Hello."""
    incarnation: int
    """Incarnation of the remote router."""
    region: str
    """Region of the remote router."""
    last_received_ms: float
    """Local monotonic time in ms at which the last frame was received."""
    remote_sent_ms: float
    """Remote monotonic time in ms from the last Hello or heartbeat."""
    remote_received_ms: float
    """Local monotonic time in ms at which that Hello or heartbeat was received."""
    opened_ms: float
    """Local monotonic time in ms at which the Hello was received; 0 before."""
    done: eventlet.event.Event
    """Sent when the last callback of the stream has returned."""
    is_closed: bool
    """Whether the stream is closed and delivers no more messages."""
    close_reason: str
    """Why it was closed: a CLOSED constant, or ``closed_`` and a gRPC status."""

    def __init__(self, wire: Wire, options: StreamOptions) -> None:
        now_ms = options.clock.now_ms()
        self.name = ""
        self.incarnation = 0
        self.region = ""
        self.last_received_ms = now_ms
        self.opened_ms = 0.0
        self.remote_sent_ms = 0.0
        self.remote_received_ms = 0.0
        self.is_closed = False
        self.close_reason = ""
        self.done = eventlet.event.Event()
        self._wire = wire
        self._options = options
        self._is_open = False
        self._pending: list = [options.make_hello()]
        self._is_same_region = False
        self._pending_heartbeats = 0
        self._flush_timer = None
        self._last_flush_ms = now_ms
        self._inbox: deque[Callable[[], None] | None] = deque()
        self._is_worker_idle = False
        wire.stream = self
        self._flush()
        self._worker = eventlet.spawn(self._run_worker)
        if not self.is_closed:
            options.heartbeats.add(self)

    def send(self, message: object) -> None:
        """Queue a message for the next flush; a closed stream drops it.

        Args:
            message: An instance of a class of `lagoonsail_core.messages`.
        """
        self.send_with_next_frame(message)
        if self.is_closed or self._flush_timer is not None:
            return
        idle_ms = self._options.clock.now_ms() - self._last_flush_ms
        # An idle stream flushes as soon as the running green thread yields.
        delay_ms = max(0.0, self._options.flush_ms - idle_ms)
        hub = eventlet.hubs.get_hub()
        self._flush_timer = hub.schedule_call_global(delay_ms / 1000.0, self._flush)

    def send_with_next_frame(self, message: object) -> None:
        """Queue a message for the next frame, at the latest that of the next heartbeat.

        For messages that are not urgent: most of the cost of a small message is its
        frame. A closed stream drops the message.

        Args:
            message: An instance of a class of `lagoonsail_core.messages`.
        """
        if self.is_closed:
            self._options.counters["messages_dropped"] += 1
            return
        self._pending.append(message)
        if self._queued_messages() > MAX_QUEUED_MESSAGES:
            self.abort(CLOSED_OVERFLOW)

    def close(self) -> None:
        """Close the stream after delivering the messages sent before.

        A receiver that takes longer than the silence timeout loses the remainder.
        """
        if self.is_closed:
            return
        if not self._is_open:
            self.abort(CLOSED_HERE)
            return
        self._flush()
        # A frame without messages marks an orderly end for the remote side.
        self._write([])
        self._close_orderly(CLOSED_HERE)

    def abort(self, reason: str) -> None:
        """Close the stream at once and drop the queued messages.

        Args:
            reason: Why, as a counter key.
        """
        if self.is_closed:
            return
        self._mark_closed(reason)
        self._wire.cancel()

    def on_frame(self, data: bytes) -> None:
        """Queue a received frame.

        The transport then calls `wake_worker` or `yield_to_worker`.

        Args:
            data: The frame as received.
        """
        if self.is_closed:
            return
        now_ms = self._options.clock.now_ms()
        # Either process may have been suspended: both sides must see the stream end.
        self.close_if_silent(now_ms)
        if self.is_closed:
            return
        self.last_received_ms = now_ms
        self._inbox.append(partial(self._process_frame, now_ms, data))

    def on_end(self, reason: str) -> None:
        """Queue the end of the call after the received frames; from the transport.

        Args:
            reason: Why, as a counter key.
        """
        if not self.is_closed:
            self._inbox.append(partial(self.abort, reason))
            self.wake_worker()

    def wake_worker(self) -> None:
        """Schedule the stream's green thread for when the running one yields."""
        if self._is_worker_idle:
            self._is_worker_idle = False
            hub = eventlet.hubs.get_hub()
            hub.schedule_call_global(0, self._worker.switch)

    def yield_to_worker(self) -> None:
        """Yield to the stream's green thread if frames are queued, else to the hub.

        Something must be registered to resume the calling green thread. Unlike
        `wake_worker` this needs no timer and no further iteration of the hub.
        """
        if self._is_worker_idle and self._inbox:
            self._is_worker_idle = False
            self._worker.switch()
            return
        eventlet.hubs.get_hub().switch()

    def silence_deadline_ms(self) -> float:
        """Return the local monotonic time after which the stream is silent."""
        return self.last_received_ms + self._options.silence_ms

    def close_if_silent(self, now_ms: float) -> None:
        """Close the stream if the silence timeout has passed.

        Args:
            now_ms: The current local monotonic time.
        """
        if now_ms > self.silence_deadline_ms():
            self.abort(CLOSED_SILENT)

    def send_heartbeat(self) -> None:
        """Send a heartbeat together with the queued messages."""
        if not self.is_closed:
            self._run_callback(self._send_heartbeat)

    def _close_orderly(self, reason: str) -> None:
        if self.is_closed:
            return
        self._mark_closed(reason)
        self._wire.send_queue.end()
        hub = eventlet.hubs.get_hub()
        hub.schedule_call_global(CLOSE_GRACE_MS / 1000.0, self._wire.cancel)

    def _mark_closed(self, reason: str) -> None:
        self.is_closed = True
        self.close_reason = reason
        self._options.counters[reason] += 1
        self._pending.clear()
        self._options.heartbeats.discard(self)
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        self._inbox.append(None)
        self.wake_worker()

    def _flush(self) -> None:
        self._flush_timer = None
        if self.is_closed or not self._pending:
            return
        messages, self._pending = self._pending, []
        self._pending_heartbeats = 0
        self._last_flush_ms = self._options.clock.now_ms()
        self._write(messages)

    def _write(self, messages: list) -> None:
        try:
            frame = encode_frame(self._options.timeline.logical, messages)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            _log.error(
                "closing the stream to {!r}: cannot encode messages: {}",
                self.name,
                error,
            )
            self.abort(CLOSED_UNENCODABLE)
            return
        if len(frame) <= MAX_FRAME_BYTES:
            self._enqueue_frame(frame, messages)
            return
        if len(messages) == 1:
            _log.error(
                "closing the stream: frame of {} bytes exceeds the maximum", len(frame)
            )
            self.abort(CLOSED_UNENCODABLE)
            return
        middle = len(messages) // 2
        self._write(messages[:middle])
        if not self.is_closed:
            self._write(messages[middle:])

    def _enqueue_frame(self, frame: bytes, messages: list) -> None:
        counters = self._options.counters
        counters["frames_sent"] += 1
        counters["messages_sent"] += len(messages)
        counters["bytes_sent"] += len(frame)
        counted = sum(type(message) is not Heartbeat for message in messages)
        self._wire.send_queue.put(frame, counted)
        if self._wire.send_queue.queued_bytes > MAX_QUEUED_BYTES:
            self.abort(CLOSED_OVERFLOW)

    def _queued_messages(self) -> int:
        # Heartbeats do not count, so that they cannot overflow the queue.
        pending = len(self._pending) - self._pending_heartbeats
        return pending + self._wire.send_queue.queued_messages

    def _send_heartbeat(self) -> None:
        self._pending.append(self._options.make_heartbeat())
        self._pending_heartbeats += 1
        # Without a scheduled flush it is sent at once, which avoids a timer.
        if self._flush_timer is None:
            self._flush()

    def _run_worker(self) -> None:
        while not self.is_closed:
            task = self._next_task()
            if self.is_closed:
                break
            self._run_callback(task)
            self._wire.release()
        if self._is_open:
            self._run_callback(self._options.on_close, self)
        self.done.send(None)

    def _next_task(self) -> Callable[[], None] | None:
        while not self._inbox:
            self._is_worker_idle = True
            eventlet.hubs.get_hub().switch()
        return self._inbox.popleft()

    def _process_frame(self, now_ms: float, data: bytes) -> None:
        if len(data) > MAX_FRAME_BYTES:
            self.abort(CLOSED_OVERSIZED)
            return
        try:
            logical, messages = decode_frame(data)
        except FrameError as error:
            _log.warning(
                "closing the stream to {!r}: malformed frame: {}", self.name, error
            )
            self.abort(CLOSED_MALFORMED)
            return
        counters = self._options.counters
        counters["frames_received"] += 1
        counters["messages_received"] += len(messages)
        counters["bytes_received"] += len(data)
        is_end = not messages
        if not self._is_open:
            messages = self._process_hello(now_ms, messages)
        if any(type(message) is Hello for message in messages):
            self.abort(CLOSED_PROTOCOL)
        if logical - self._options.timeline.logical > MAX_LOGICAL_JUMP:
            self.abort(CLOSED_PROTOCOL)
        if self.is_closed:
            return
        self._options.timeline.observe(logical)
        if is_end:
            self._close_orderly(CLOSED_ENDED)
            return
        has_heartbeat = False
        for message in messages:
            if type(message) is Heartbeat:
                self.remote_sent_ms = message.sent_ms
                self.remote_received_ms = now_ms
                has_heartbeat = True
        if messages:
            self._run_callback(self._options.on_messages, self, messages)
        if has_heartbeat and self._is_same_region:
            self._options.heartbeats.send_if_due_soon()

    def _process_hello(self, now_ms: float, messages: list) -> list:
        hello = messages[0] if messages else None
        expected = self._options.expected
        if type(hello) is not Hello or not hello.router:
            self.abort(CLOSED_PROTOCOL)
            return []
        if expected is not None and (hello.router, hello.incarnation) != expected:
            self.abort(CLOSED_PROTOCOL)
            return []
        self.name = hello.router
        self.incarnation = hello.incarnation
        self.region = hello.region
        self.remote_sent_ms = hello.sent_ms
        self.remote_received_ms = now_ms
        self.opened_ms = now_ms
        self._is_same_region = hello.region == self._options.make_hello().region
        self._is_open = True
        self._options.counters["opened"] += 1
        self._run_callback(self._options.on_open, self, hello)
        return messages[1:]

    def _run_callback(self, callback: Callable, *args: object) -> None:
        try:
            callback(*args)
        except Exception:
            self._options.counters["callback_errors"] += 1
            _log.exception("closing the stream to {!r} after an exception", self.name)
            self.abort(CLOSED_CALLBACK)
