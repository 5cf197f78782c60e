"""Interfaces between streams, their transports and the server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_peer.stream import PeerStream

TRANSPORT_GRPC = "grpc"
"""One gRPC call per stream, in native threads."""
TRANSPORT_TCP = "tcp"
"""One plain TCP connection per stream, in green threads."""

MAX_UNREAD_FRAMES = 32
"""Maximum number of unprocessed frames per stream; at the limit reading pauses."""

MAX_STREAMS = 128
"""Maximum number of concurrent streams of a server."""
MAX_CALLS = MAX_STREAMS + 32
"""Maximum number of concurrent calls; those above MAX_STREAMS are refused."""

STOP_TIMEOUT_MS = 1000.0
"""Timeout of each wait while stopping."""

REFUSED_TOO_MANY_STREAMS = "too_many_streams"
"""The server has reached its limit of streams."""
REFUSED_METADATA = "metadata_malformed"
"""The router's name or incarnation is missing or malformed."""
REFUSED_STOPPING = "stopping"
"""The server is stopping."""


class SendQueue(Protocol):
    """Queue of outgoing frames."""

    queued_messages: int
    """Number of queued messages, without heartbeats."""
    queued_bytes: int
    """Size of the queued frames in bytes."""

    def put(self, frame: bytes, messages: int) -> None:
        """Append a frame with its number of counted messages; never blocks."""

    def end(self) -> None:
        """Shut down this direction after the queued frames."""


class Wire(Protocol):
    """Transport connection of one stream; for the hub's thread only."""

    send_queue: SendQueue
    """Queue of outgoing frames."""
    stream: PeerStream | None
    """Receiver of the frames and of the end."""

    def cancel(self) -> None:
        """End both directions at once and drop the queued frames."""

    def release(self) -> None:
        """Allow one more frame to be read."""


@dataclass(slots=True)
class StreamAcceptor:
    """Callbacks by which a transport passes incoming streams to a server."""

    shared_key: bytes
    """Key of both sides; empty to disable authentication."""
    advertised_address: str
    """Address that is published to other routers; empty if unknown."""
    acquire: Callable[[], bool]
    """Reserve a stream unless the limit is reached; for any thread."""
    release: Callable[[], None]
    """Release a reserved stream; for any thread."""
    accept: Callable[[Wire, str, int], None]
    """Open a stream on a wire for a router and its incarnation."""
    discard: Callable[[Wire], None]
    """Remove a wire that has ended."""
    count: Callable[[str], None]
    """Count an event by its key."""


@dataclass(slots=True)
class Listener:
    """A listening transport."""

    port: int
    """Port on which it listens."""
    stop: Callable[[], None]
    """Stop listening and end all calls; blocks until that is done."""


def wait_until(condition: Callable[[], bool], clock: Clock) -> None:
    """Run the hub until a condition holds, for at most STOP_TIMEOUT_MS.

    Args:
        condition: The condition.
        clock: Source of the monotonic time.
    """
    deadline_ms = clock.now_ms() + STOP_TIMEOUT_MS
    while not condition() and clock.now_ms() < deadline_ms:
        eventlet.sleep(0.005)
