"""Scheduling of heartbeats and detection of silent streams in one process.

Waking an idle process costs far more than a heartbeat. Therefore all streams send their
heartbeats together, and a process sends early when it receives a heartbeat while its
own are due soon. Connected routers thus converge on the same send time and receive
heartbeats together too, without comparing clocks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_peer.stream import PeerStream

MAX_EARLY_FRACTION = 0.5
"""Fraction of the interval by which heartbeats may be sent early.

Two groups of routers with different send times are at most half an interval apart, so
that one of them adopts the time of the other. It also bounds the effect of a peer that
sends too often to twice the heartbeats.
"""

_log = logbook.Logger("lagoonsail.peer")


class HeartbeatScheduler:
    """Sends the heartbeats of many streams; for the hub's thread only."""

    __slots__ = ("_clock", "_due_ms", "_interval_ms", "_is_running", "_streams")

    def __init__(self, interval_ms: float, clock: Clock) -> None:
        """Create a scheduler without streams.

        Args:
            interval_ms: Maximum time between two heartbeats of a stream.
            clock: Source of the monotonic time.
        """
        self._interval_ms = interval_ms
        self._clock = clock
        self._due_ms = 0.0
        self._is_running = False
        # A dictionary keeps the insertion order.
        self._streams: dict[PeerStream, None] = {}

    def add(self, stream: PeerStream) -> None:
        """Send heartbeats on a stream until it is discarded.

        Args:
            stream: An open stream.
        """
        self._streams[stream] = None
        if self._is_running:
            return
        self._is_running = True
        self._due_ms = self._clock.now_ms() + self._interval_ms
        eventlet.spawn(self._run)

    def discard(self, stream: PeerStream) -> None:
        """Stop sending heartbeats on a stream.

        Args:
            stream: The stream.
        """
        self._streams.pop(stream, None)

    def send_if_due_soon(self) -> None:
        """Send the heartbeats now if they are due soon.

        Called when a heartbeat of a router in the same region is received. Heartbeats
        with a long latency must not trigger this: two routers would respond to each
        other's, and both would send twice as many.
        """
        now_ms = self._clock.now_ms()
        if self._due_ms - now_ms < self._interval_ms * MAX_EARLY_FRACTION:
            self._send(now_ms)

    def _run(self) -> None:
        while self._streams:
            now_ms = self._clock.now_ms()
            self._for_each(lambda stream, now_ms=now_ms: stream.close_if_silent(now_ms))
            if now_ms >= self._due_ms:
                self._send(now_ms)
            eventlet.sleep(max(0.0, self._wake_ms() - now_ms) / 1000.0)
        self._is_running = False

    def _wake_ms(self) -> float:
        # One more millisecond, so that the timeout has passed at the wake-up.
        deadlines_ms = [stream.silence_deadline_ms() + 1.0 for stream in self._streams]
        return min([self._due_ms, *deadlines_ms])

    def _send(self, now_ms: float) -> None:
        self._due_ms = now_ms + self._interval_ms
        self._for_each(lambda stream: stream.send_heartbeat())

    def _for_each(self, action: Callable[[PeerStream], None]) -> None:
        for stream in list(self._streams):
            try:
                action(stream)
            except Exception:
                # Without this the other streams would get no heartbeats and time out.
                _log.exception(
                    "heartbeat of the stream to {!r} failed; it is skipped", stream.name
                )
