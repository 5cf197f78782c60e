"""When the streams of one process send their heartbeats, and which have gone silent.

Waking an idle process costs far more than a heartbeat does. So all streams send theirs
in one step, and a process sends early when a heartbeat comes in while its own are due
soon: routers that are connected to each other end up sending at the same moment, and
what each of them receives comes in together too. No clock is compared for that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_peer.stream import PeerStream

EARLY_FRACTION = 0.5
"""Part of the interval by which heartbeats may be early.

Two groups of routers that send at different moments are never more than half an
interval apart, so that one of them follows the other. It also bounds what a peer that
sends too often can bring about: twice the heartbeats.
"""

_log = logbook.Logger("lagoonsail.peer")


class Heartbeats:
    """The heartbeats of many streams; methods are for the hub's thread."""

    __slots__ = ("_clock", "_due_ms", "_interval_ms", "_is_running", "_streams")

    def __init__(self, interval_ms: float, clock: Clock) -> None:
        """Prepare for streams.

        Args:
            interval_ms: Longest time between two heartbeats of a stream.
            clock: Monotonic time.
        """
        self._interval_ms = interval_ms
        self._clock = clock
        self._due_ms = 0.0
        self._is_running = False
        # A dictionary keeps the order in which they came.
        self._streams: dict[PeerStream, None] = {}

    def add(self, stream: PeerStream) -> None:
        """Send heartbeats on a stream, until it is discarded.

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
        """Send no more on a stream.

        Args:
            stream: The stream.
        """
        self._streams.pop(stream, None)

    def follow(self) -> None:
        """Take a heartbeat of a near router: send now what would be due soon.

        Heartbeats that are long on the way must not be followed: two routers would
        answer each other's, and both send twice as many.
        """
        now_ms = self._clock.now_ms()
        if self._due_ms - now_ms < self._interval_ms * EARLY_FRACTION:
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
        # One more millisecond, so that the stream is found silent at the wake-up.
        silent_ms = [stream.silent_ms() + 1.0 for stream in self._streams]
        return min([self._due_ms, *silent_ms])

    def _send(self, now_ms: float) -> None:
        self._due_ms = now_ms + self._interval_ms
        self._for_each(lambda stream: stream.send_heartbeat())

    def _for_each(self, step: Callable[[PeerStream], None]) -> None:
        for stream in list(self._streams):
            try:
                step(stream)
            except Exception:
                # The other streams would go silent.
                _log.exception("no heartbeat on the stream of {!r}", stream.name)
