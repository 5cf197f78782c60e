"""What lies under a stream: the transport's part, and how a server meets it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_peer.stream import PeerStream

TRANSPORT_GRPC = "grpc"
"""One gRPC call for each stream, through native threads."""
TRANSPORT_TCP = "tcp"
"""One plain TCP connection for each stream, in green threads."""

MAX_UNREAD_FRAMES = 32
"""Frames of one stream that may wait for the hub; then its reader stops reading."""

MAX_STREAMS = 128
"""Streams that a server serves at once."""
MAX_CALLS = MAX_STREAMS + 32
"""Calls or connections at once; those above the limit of streams are only refused."""

STOP_WAIT_MS = 1000.0
"""How long stopping waits for each part that has to end."""

REFUSED_TOO_MANY_STREAMS = "too_many_streams"
"""The server serves as many streams as it may."""
REFUSED_METADATA = "metadata_malformed"
"""The router's name or incarnation is missing or malformed."""
REFUSED_STOPPING = "stopping"
"""The server is about to stop."""


class Outgoing(Protocol):
    """Frames that wait to be sent."""

    waiting: int
    """Number of counted messages that the transport has not taken yet."""
    waiting_bytes: int
    """Bytes of the frames that the transport has not taken yet."""

    def put(self, frame: bytes, messages: int) -> None:
        """Append a frame that holds so many counted messages; never blocks."""

    def end(self) -> None:
        """End this direction in order after the frames that wait."""


class Wire(Protocol):
    """The transport's part of one stream; for the hub's thread."""

    outgoing: Outgoing
    """What to send."""
    stream: PeerStream | None
    """Where received frames and the end go."""

    def cancel(self) -> None:
        """End both directions at once; what waits to be sent is lost."""

    def release(self) -> None:
        """Let one more frame be read."""


@dataclass(slots=True)
class Intake:
    """How a transport hands the streams that are dialled to a server."""

    shared_key: bytes
    """Key that the dialling side must hold; empty for no check."""
    advertised: str
    """Address that other routers are told, empty if it is not known."""
    enter: Callable[[], bool]
    """Take one place among the streams, if there is one; for any thread."""
    leave: Callable[[], None]
    """Give the place back; for any thread."""
    accept: Callable[[Wire, str, int], None]
    """Open a stream of the named router and incarnation on a wire."""
    forget: Callable[[Wire], None]
    """Take the end of a wire."""
    count: Callable[[str], None]
    """Count an event by its key."""


@dataclass(slots=True)
class Listener:
    """A transport that listens."""

    port: int
    """Port on which it listens."""
    stop: Callable[[], None]
    """Stop listening and end all calls; returns when that is done."""


def wait_until(is_over: Callable[[], bool], clock: Clock) -> None:
    """Let the hub run until a condition holds, for STOP_WAIT_MS at most.

    Args:
        is_over: The condition.
        clock: Gives the monotonic time.
    """
    limit_ms = clock.now_ms() + STOP_WAIT_MS
    while not is_over() and clock.now_ms() < limit_ms:
        eventlet.sleep(0.005)
