"""Server for streams from other routers."""

from __future__ import annotations

import dataclasses
import threading
from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_peer import _grpc, _tcp
from lagoonsail_peer.stream import PeerStream, StreamOptions
from lagoonsail_peer.wire import (
    MAX_STREAMS,
    REFUSED_STOPPING,
    TRANSPORT_GRPC,
    TRANSPORT_TCP,
    Listener,
    StreamAcceptor,
    wait_until,
)

if TYPE_CHECKING:
    from lagoonsail_peer.wire import Wire

_LISTEN = {TRANSPORT_GRPC: _grpc.listen, TRANSPORT_TCP: _tcp.listen}


class AddressError(LagoonsailError):
    """The server cannot listen on an address."""


class PeerServer:
    """Listens for streams; for the hub's thread only."""

    __slots__ = (
        "_acceptor",
        "_active_streams",
        "_address",
        "_is_stopping",
        "_listener",
        "_lock",
        "_options",
        "_transport",
        "_wires",
        "counters",
        "port",
    )

    counters: Counter
    """Counts of refused calls and closed streams by reason, frames, messages, bytes."""
    port: int
    """Port on which the server listens; 0 before the start."""

    def __init__(
        self,
        address: str,
        shared_key: bytes,
        options: StreamOptions,
        transport: str = TRANSPORT_GRPC,
        advertised_address: str = "",
    ) -> None:
        """Create a server; `start` listens.

        Args:
            address: Address to listen on.
            shared_key: Key of both sides; empty to disable authentication.
            options: Shared options of its streams, which count in the server's
                counters.
            transport: One of the TRANSPORT constants.
            advertised_address: Address that is published to other routers; empty if
                unknown.
        """
        self.counters = Counter()
        self.port = 0
        self._address = address
        self._transport = transport
        self._options = dataclasses.replace(options, counters=self.counters)
        self._wires: set[Wire] = set()
        self._acceptor = StreamAcceptor(
            shared_key=shared_key,
            advertised_address=advertised_address,
            acquire=self._acquire,
            release=self._release,
            accept=self._accept,
            discard=self._wires.discard,
            count=self._count,
        )
        # Native threads acquire and release streams too.
        self._lock = threading.Lock()
        self._active_streams = 0
        self._is_stopping = False
        self._listener: Listener | None = None

    def start(self) -> None:
        """Start listening.

        Raises:
            AddressError: If the address cannot be listened on.
        """
        listen = _LISTEN[self._transport]
        try:
            self._listener = listen(self._address, self._options, self._acceptor)
        except (OSError, RuntimeError) as error:
            raise AddressError(
                f"cannot listen on {self._address} for peers",
                "choose a free address in listen.peers of the settings",
            ) from error
        self.port = self._listener.port

    def stop(self) -> None:
        """Close all streams and stop listening; returns when that is done."""
        self._is_stopping = True
        for wire in list(self._wires):
            wire.stream.close()
        wait_until(lambda: not self._wires, self._options.clock)
        if self._listener is None:
            return
        self._listener.stop()
        self._listener = None

    def _acquire(self) -> bool:
        with self._lock:
            if self._active_streams >= MAX_STREAMS:
                return False
            self._active_streams += 1
            return True

    def _release(self) -> None:
        with self._lock:
            self._active_streams -= 1

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
            # Without a stream nothing detects that the call is silent.
            wire.cancel()
            raise
