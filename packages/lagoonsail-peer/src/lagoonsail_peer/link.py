"""Outgoing stream that reconnects automatically."""

from __future__ import annotations

import dataclasses
import random
from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_peer import _grpc, _tcp
from lagoonsail_peer.stream import PeerStream, StreamOptions
from lagoonsail_peer.wire import TRANSPORT_GRPC, TRANSPORT_TCP, wait_until

if TYPE_CHECKING:
    from lagoonsail_peer.wire import Wire

_DIAL = {TRANSPORT_GRPC: _grpc.dial, TRANSPORT_TCP: _tcp.dial}

MIN_BACKOFF_MS = 50.0
"""Minimum pause before dialling again."""
MAX_BACKOFF_MS = 1000.0
"""Maximum pause before dialling again."""


class PeerLink:
    """Keeps one stream to an address open; for the hub's thread only."""

    __slots__ = (
        "_address",
        "_is_stopping",
        "_options",
        "_random",
        "_shared_key",
        "_transport",
        "_wires",
        "counters",
        "stream",
    )

    counters: Counter
    """Counts of dials, closed streams by reason, frames, messages and bytes."""
    stream: PeerStream | None
    """The stream of the last dial, which may be closed or not open yet."""

    def __init__(
        self,
        address: str,
        shared_key: bytes,
        options: StreamOptions,
        transport: str = TRANSPORT_GRPC,
    ) -> None:
        """Create a link; `start` dials.

        Args:
            address: Address to dial.
            shared_key: Key of both sides; empty to disable authentication.
            options: Shared options of its streams, which count in the link's counters.
            transport: One of the TRANSPORT constants.
        """
        self.counters = Counter()
        self.stream = None
        self._address = address
        self._shared_key = shared_key
        self._transport = transport
        self._options = dataclasses.replace(options, counters=self.counters)
        self._random = random.Random()
        self._wires: set[Wire] = set()
        self._is_stopping = False

    def start(self) -> None:
        """Start dialling; returns at once."""
        eventlet.spawn(self._dial_repeatedly)

    def stop(self) -> None:
        """Close the stream and stop dialling; returns when that is done."""
        self._is_stopping = True
        if self.stream is not None:
            self.stream.close()
        wait_until(self._is_stopped, self._options.clock)

    def _is_stopped(self) -> bool:
        return not self._wires and (self.stream is None or self.stream.done.ready())

    def _dial_repeatedly(self) -> None:
        backoff_ms = 2.0 * MIN_BACKOFF_MS
        while not self._is_stopping:
            stream = self._dial()
            stream.done.wait()
            if self._was_stable(stream):
                backoff_ms = 2.0 * MIN_BACKOFF_MS
            pause_ms = self._random.uniform(0.5, 1.0) * backoff_ms
            eventlet.sleep(pause_ms / 1000.0)
            backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * 2.0)

    def _was_stable(self, stream: PeerStream) -> bool:
        # A stream that opens and breaks at once must not reset the backoff.
        if not stream.opened_ms:
            return False
        return self._options.clock.now_ms() - stream.opened_ms > MAX_BACKOFF_MS

    def _dial(self) -> PeerStream:
        self.counters["dials"] += 1
        dial = _DIAL[self._transport]
        wire = dial(self._address, self._shared_key, self._options, self._wires.discard)
        self._wires.add(wire)
        self.stream = PeerStream(wire, self._options)
        return self.stream
