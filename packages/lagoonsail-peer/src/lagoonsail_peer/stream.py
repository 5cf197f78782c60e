"""One stream of messages between two routers, seen from either side."""

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
    from lagoonsail_peer.heartbeats import Heartbeats
    from lagoonsail_peer.wire import Wire

MAX_WAITING_MESSAGES = 10_000
"""Messages that may wait to be sent on one stream; with more it is closed."""

MAX_WAITING_BYTES = 4 * MAX_FRAME_BYTES
"""Bytes of encoded frames that may wait on one stream; with more it is closed."""

MAX_LOGICAL_JUMP = 2**40
"""How far a frame may advance the logical clock; more would use the clock up."""

CLOSE_GRACE_MS = 200.0
"""How long an orderly close may take until the call is cancelled."""

CLOSED_HERE = "closed_here"
"""This side closed the stream."""
CLOSED_ENDED = "closed_ended"
"""The remote side closed the stream in order."""
CLOSED_BROKEN = "closed_broken"
"""The call or connection ended without notice."""
CLOSED_SILENT = "closed_silent"
"""Nothing was heard for the silence time."""
CLOSED_OVERFLOW = "closed_overflow"
"""Too many messages or bytes waited to be sent."""
CLOSED_MALFORMED = "closed_malformed_frame"
"""A frame could not be decoded."""
CLOSED_OVERSIZED = "closed_oversized_frame"
"""A frame was larger than is accepted."""
CLOSED_PROTOCOL = "closed_protocol"
"""The first message was no Hello, or a Hello came later or under another name, or the
logical time leapt."""
CLOSED_UNENCODABLE = "closed_unencodable"
"""A message given to send cannot be encoded or is too large for a frame."""
CLOSED_CALLBACK = "closed_callback_error"
"""A callback raised an error."""

_log = logbook.Logger("lagoonsail.peer")


@dataclass(slots=True)
class StreamOptions:
    """What the streams of a server and of links share."""

    identity: Callable[[], Hello]
    """Makes this side's Hello."""
    timeline: Timeline
    """Time line whose logical time is sent and advanced."""
    on_open: Callable[[PeerStream, Hello], None]
    """Called once when the remote side's Hello has come."""
    on_messages: Callable[[PeerStream, list], None]
    """Called with the messages of each frame but the Hello."""
    on_close: Callable[[PeerStream], None]
    """Called once after on_open, and last."""
    flush_ms: float
    """Least time between two frames, in which messages are gathered."""
    silence_ms: float
    """A stream on which nothing is heard for so long is closed."""
    make_heartbeat: Callable[[], Heartbeat]
    """Makes the heartbeat to send next."""
    heartbeats: Heartbeats
    """Sends the heartbeats of all streams."""
    clock: Clock = field(default_factory=Clock)
    """Monotonic time."""
    counters: Counter = field(default_factory=Counter)
    """Counts frames, messages, bytes, and closed streams by reason."""
    expected: tuple[str, int] | None = field(default=None)
    """Router and incarnation that the Hello must show, if they are known."""


class PeerStream:
    """One stream; all methods are for the hub's thread and none of them blocks.

    The callbacks of one stream run one after the other in a green thread of its own,
    so that a slow callback delays no other stream.
    """

    __slots__ = (
        "_flushed_ms",
        "_inbox",
        "_is_idle",
        "_is_near",
        "_is_open",
        "_options",
        "_pending",
        "_pending_beats",
        "_timer",
        "_wire",
        "_worker",
        "close_reason",
        "done",
        "heard_ms",
        "incarnation",
        "is_closed",
        "name",
        "opened_ms",
        "region",
        "remote_sent_at",
        "remote_sent_ms",
    )

    name: str
    """Name of the remote router, empty before its Hello."""
    incarnation: int
    """Incarnation of the remote router."""
    region: str
    """Region of the remote router."""
    heard_ms: float
    """Local monotonic time at which the last frame was received."""
    remote_sent_ms: float
    """Remote monotonic time that the last Hello or heartbeat carried."""
    remote_sent_at: float
    """Local monotonic time at which that Hello or heartbeat was received."""
    opened_ms: float
    """Local monotonic time at which the Hello came, 0 before."""
    done: eventlet.event.Event
    """Sent when the last callback of the stream has returned."""
    is_closed: bool
    """Whether the stream is closed; no messages are delivered any more."""
    close_reason: str
    """Why it was closed: a CLOSED constant or ``closed_`` and a status of gRPC."""

    def __init__(self, wire: Wire, options: StreamOptions) -> None:
        now_ms = options.clock.now_ms()
        self.name = ""
        self.incarnation = 0
        self.region = ""
        self.heard_ms = now_ms
        self.opened_ms = 0.0
        self.remote_sent_ms = 0.0
        self.remote_sent_at = 0.0
        self.is_closed = False
        self.close_reason = ""
        self.done = eventlet.event.Event()
        self._wire = wire
        self._options = options
        self._is_open = False
        self._pending: list = [options.identity()]
        self._is_near = False
        self._pending_beats = 0
        self._timer = None
        self._flushed_ms = now_ms
        self._inbox: deque[Callable[[], None] | None] = deque()
        self._is_idle = False
        wire.stream = self
        self._flush()
        self._worker = eventlet.spawn(self._work)
        if not self.is_closed:
            options.heartbeats.add(self)

    def send(self, message: object) -> None:
        """Queue a message for the next flush; on a closed stream it is dropped.

        Args:
            message: An instance of a class of `lagoonsail_core.messages`.
        """
        self.send_along(message)
        if self.is_closed or self._timer is not None:
            return
        idle_ms = self._options.clock.now_ms() - self._flushed_ms
        # An idle stream flushes as soon as the running green thread yields.
        delay_ms = max(0.0, self._options.flush_ms - idle_ms)
        hub = eventlet.hubs.get_hub()
        self._timer = hub.schedule_call_global(delay_ms / 1000.0, self._flush)

    def send_along(self, message: object) -> None:
        """Queue a message for the next frame, at the latest that of the next heartbeat.

        A small message costs little, the frame around it most: send so what nobody
        waits for. On a closed stream it is dropped.

        Args:
            message: An instance of a class of `lagoonsail_core.messages`.
        """
        if self.is_closed:
            self._options.counters["messages_dropped"] += 1
            return
        self._pending.append(message)
        if self._waiting() > MAX_WAITING_MESSAGES:
            self.fail(CLOSED_OVERFLOW)

    def close(self) -> None:
        """Close the stream in order: what was sent before is still delivered.

        A receiver that takes longer than the silence time over it loses the rest.
        """
        if self.is_closed:
            return
        if not self._is_open:
            self.fail(CLOSED_HERE)
            return
        self._flush()
        # A frame without messages tells the remote side that the end is in order.
        self._write([])
        self._end(CLOSED_HERE)

    def fail(self, reason: str) -> None:
        """Close the stream at once; what waits to be sent is lost.

        Args:
            reason: Why, as a counter key.
        """
        if self.is_closed:
            return
        self._shut(reason)
        self._wire.cancel()

    def on_frame(self, data: bytes) -> None:
        """Take a received frame; the transport then calls `wake` or `hand_over`.

        Args:
            data: The frame as received.
        """
        if self.is_closed:
            return
        now_ms = self._options.clock.now_ms()
        # The remote side or this one was stopped: both must see the stream end.
        self.close_if_silent(now_ms)
        if self.is_closed:
            return
        self.heard_ms = now_ms
        self._inbox.append(partial(self._take, now_ms, data))

    def on_end(self, reason: str) -> None:
        """Take the end of the call, after the frames before it; from the transport.

        Args:
            reason: Why, as a counter key.
        """
        if not self.is_closed:
            self._inbox.append(partial(self.fail, reason))
            self.wake()

    def wake(self) -> None:
        """Have the stream's green thread work when the running one yields."""
        if self._is_idle:
            self._is_idle = False
            hub = eventlet.hubs.get_hub()
            hub.schedule_call_global(0, self._worker.switch)

    def hand_over(self) -> None:
        """Yield to the stream's green thread if it has to work, else to the hub.

        The calling green thread must have a way to be switched to. Unlike `wake` this
        costs no timer and no further round of the hub.
        """
        if self._is_idle and self._inbox:
            self._is_idle = False
            self._worker.switch()
            return
        eventlet.hubs.get_hub().switch()

    def silent_ms(self) -> float:
        """Return the local monotonic time after which the stream counts as silent."""
        return self.heard_ms + self._options.silence_ms

    def close_if_silent(self, now_ms: float) -> None:
        """Close the stream if nothing was heard for too long.

        Args:
            now_ms: The present local monotonic time.
        """
        if now_ms > self.silent_ms():
            self.fail(CLOSED_SILENT)

    def send_heartbeat(self) -> None:
        """Send a heartbeat, with what waits for the next frame."""
        if not self.is_closed:
            self._call(self._send_heartbeat)

    def _end(self, reason: str) -> None:
        if self.is_closed:
            return
        self._shut(reason)
        self._wire.outgoing.end()
        hub = eventlet.hubs.get_hub()
        hub.schedule_call_global(CLOSE_GRACE_MS / 1000.0, self._wire.cancel)

    def _shut(self, reason: str) -> None:
        self.is_closed = True
        self.close_reason = reason
        self._options.counters[reason] += 1
        self._pending.clear()
        self._options.heartbeats.discard(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._inbox.append(None)
        self.wake()

    def _flush(self) -> None:
        self._timer = None
        if self.is_closed or not self._pending:
            return
        messages, self._pending = self._pending, []
        self._pending_beats = 0
        self._flushed_ms = self._options.clock.now_ms()
        self._write(messages)

    def _write(self, messages: list) -> None:
        try:
            frame = encode_frame(self._options.timeline.logical, messages)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            _log.error("cannot encode messages for {}: {}", self.name, error)
            self.fail(CLOSED_UNENCODABLE)
            return
        if len(frame) <= MAX_FRAME_BYTES:
            self._put(frame, messages)
            return
        if len(messages) == 1:
            _log.error("message of {} bytes is too large", len(frame))
            self.fail(CLOSED_UNENCODABLE)
            return
        middle = len(messages) // 2
        self._write(messages[:middle])
        if not self.is_closed:
            self._write(messages[middle:])

    def _put(self, frame: bytes, messages: list) -> None:
        counters = self._options.counters
        counters["frames_sent"] += 1
        counters["messages_sent"] += len(messages)
        counters["bytes_sent"] += len(frame)
        counted = sum(type(message) is not Heartbeat for message in messages)
        self._wire.outgoing.put(frame, counted)
        if self._wire.outgoing.waiting_bytes > MAX_WAITING_BYTES:
            self.fail(CLOSED_OVERFLOW)

    def _waiting(self) -> int:
        # Heartbeats do not count: they must not overfill the caller's queue.
        own = len(self._pending) - self._pending_beats
        return own + self._wire.outgoing.waiting

    def _send_heartbeat(self) -> None:
        self._pending.append(self._options.make_heartbeat())
        self._pending_beats += 1
        # Without other messages it is written at once, which spares a timer.
        if self._timer is None:
            self._flush()

    def _work(self) -> None:
        while not self.is_closed:
            step = self._next_step()
            if self.is_closed:
                break
            self._call(step)
            self._wire.release()
        if self._is_open:
            self._call(self._options.on_close, self)
        self.done.send(None)

    def _next_step(self) -> Callable[[], None] | None:
        while not self._inbox:
            self._is_idle = True
            eventlet.hubs.get_hub().switch()
        return self._inbox.popleft()

    def _take(self, now_ms: float, data: bytes) -> None:
        if len(data) > MAX_FRAME_BYTES:
            self.fail(CLOSED_OVERSIZED)
            return
        try:
            logical, messages = decode_frame(data)
        except FrameError as error:
            _log.warning("closing the stream of {!r}: {}", self.name, error)
            self.fail(CLOSED_MALFORMED)
            return
        counters = self._options.counters
        counters["frames_received"] += 1
        counters["messages_received"] += len(messages)
        counters["bytes_received"] += len(data)
        is_end = not messages
        if not self._is_open:
            messages = self._take_hello(now_ms, messages)
        if any(type(message) is Hello for message in messages):
            self.fail(CLOSED_PROTOCOL)
        if logical - self._options.timeline.logical > MAX_LOGICAL_JUMP:
            self.fail(CLOSED_PROTOCOL)
        if self.is_closed:
            return
        self._options.timeline.observe(logical)
        if is_end:
            self._end(CLOSED_ENDED)
            return
        has_heartbeat = False
        for message in messages:
            if type(message) is Heartbeat:
                self.remote_sent_ms = message.sent_ms
                self.remote_sent_at = now_ms
                has_heartbeat = True
        if messages:
            self._call(self._options.on_messages, self, messages)
        if has_heartbeat and self._is_near:
            self._options.heartbeats.follow()

    def _take_hello(self, now_ms: float, messages: list) -> list:
        hello = messages[0] if messages else None
        expected = self._options.expected
        if type(hello) is not Hello or not hello.router:
            self.fail(CLOSED_PROTOCOL)
            return []
        if expected is not None and (hello.router, hello.incarnation) != expected:
            self.fail(CLOSED_PROTOCOL)
            return []
        self.name = hello.router
        self.incarnation = hello.incarnation
        self.region = hello.region
        self.remote_sent_ms = hello.sent_ms
        self.remote_sent_at = now_ms
        self.opened_ms = now_ms
        self._is_near = hello.region == self._options.identity().region
        self._is_open = True
        self._options.counters["opened"] += 1
        self._call(self._options.on_open, self, hello)
        return messages[1:]

    def _call(self, callback: Callable, *args: object) -> None:
        try:
            callback(*args)
        except Exception:
            self._options.counters["callback_errors"] += 1
            _log.exception("the stream of {!r} failed", self.name)
            self.fail(CLOSED_CALLBACK)
