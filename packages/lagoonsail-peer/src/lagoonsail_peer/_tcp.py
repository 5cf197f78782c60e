"""Streams as plain TCP connections, in green threads of the hub.

After the handshake each side sends frames, each behind its length as four bytes, the
highest first, and before its tag of `_frame_auth`. The hub's listener for reading stays
in place between two frames, and what the socket takes at once is sent without a green
thread: both spare most of the cost of a small frame.
"""

from __future__ import annotations

import socket
import struct
from collections import deque
from typing import TYPE_CHECKING

import logbook

from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.messages import MAX_FRAME_BYTES
from lagoonsail_peer import _handshake
from lagoonsail_peer._frame_auth import TAG_BYTES, make_opener, make_tagger
from lagoonsail_peer._places import HANDSHAKE_MS, HandshakePlaces
from lagoonsail_peer.stream import (
    CLOSED_BROKEN,
    CLOSED_OVERSIZED,
    CLOSED_SILENT,
    StreamOptions,
)
from lagoonsail_peer.wire import (
    MAX_UNREAD_FRAMES,
    Intake,
    Listener,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_peer.stream import PeerStream

BACKLOG = 128
"""Connections that may wait to be accepted."""
READ_BYTES = 65_536
"""Most that is read at once."""
CLOSED_UNAVAILABLE = "closed_unavailable"
"""The server could not be connected."""
CLOSED_UNAUTHENTIC = "closed_unauthentic_frame"
"""A frame was not the next one that the proven remote side sent."""

_LENGTH = struct.Struct(">I")
_log = logbook.Logger("lagoonsail.peer")


class TcpOutgoing:
    """Frames that wait for the socket."""

    __slots__ = (
        "_frames",
        "_is_ended",
        "_make_tag",
        "_socket",
        "_writer",
        "waiting",
        "waiting_bytes",
    )

    waiting: int
    """Number of counted messages that the socket has not taken yet."""
    waiting_bytes: int
    """Bytes that the socket has not taken yet."""

    def __init__(self) -> None:
        self.waiting = 0
        self.waiting_bytes = 0
        self._frames: deque[tuple[bytes | memoryview, int]] = deque()
        self._is_ended = False
        self._make_tag: Callable[[bytes], bytes] | None = None
        self._socket: socket.socket | None = None
        self._writer: eventlet.greenthread.GreenThread | None = None

    def attach(
        self, connection: socket.socket, make_tag: Callable[[bytes], bytes]
    ) -> None:
        """Send what waits, and from now on what is put.

        Args:
            connection: A connected socket that does not block.
            make_tag: Makes the tag of each frame, in their order.
        """
        self._socket = connection
        self._make_tag = make_tag
        for index, (frame, messages) in enumerate(self._frames):
            self._frames[index] = (self._seal(frame), messages)
        self.waiting_bytes = sum(len(data) for data, _ in self._frames)
        self._send()

    def _seal(self, frame: bytes) -> bytes:
        tag = self._make_tag(frame)
        return _LENGTH.pack(len(frame) + len(tag)) + frame + tag

    def detach(self) -> None:
        """Send no more; the socket is about to be closed."""
        self._socket = None
        if self._writer is not None:
            self._writer.kill()

    def put(self, frame: bytes, messages: int) -> None:
        """Append a frame; never blocks.

        Args:
            frame: An encoded frame.
            messages: How many messages it holds, without those that don't count.
        """
        data = self._seal(frame) if self._make_tag else frame
        self._frames.append((data, messages))
        self.waiting += messages
        self.waiting_bytes += len(data)
        if self._writer is None:
            self._send()

    def end(self) -> None:
        """End this direction after the frames that wait."""
        self._is_ended = True
        if self._writer is None:
            self._send()

    def _send(self) -> None:
        """Send what the socket takes, and have a green thread send the rest."""
        if self._socket is None:
            return
        try:
            self._send_some()
        except BlockingIOError:
            self._writer = eventlet.spawn(self._write)
        except OSError:
            # The reader sees the end of the connection and closes the stream.
            self._socket = None

    def _send_some(self) -> None:
        frames = self._frames
        while frames:
            data, messages = frames[0]
            sent = self._socket.send(data)
            self.waiting_bytes -= sent
            if sent < len(data):
                frames[0] = (memoryview(data)[sent:], messages)
                continue
            frames.popleft()
            self.waiting -= messages
        if self._is_ended:
            self._socket.shutdown(socket.SHUT_WR)

    def _write(self) -> None:
        while self._socket is not None:
            eventlet.hubs.trampoline(self._socket, write=True)
            try:
                self._send_some()
                break
            except BlockingIOError:
                continue
            except OSError:
                self._socket = None
        self._writer = None


class TcpWire:
    """One connection, read by the green thread that made it."""

    __slots__ = ("_is_cancelled", "_resume", "_unread", "outgoing", "stream", "task")

    task: eventlet.greenthread.GreenThread | None
    """The green thread that reads, and ends the connection when it is killed."""

    def __init__(self) -> None:
        self.outgoing = TcpOutgoing()
        self.stream: PeerStream | None = None
        self._is_cancelled = False
        self._resume: eventlet.event.Event | None = None
        self.task = None
        self._unread = 0

    def cancel(self) -> None:
        """End the connection at once; what waits to be sent is lost."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        # The caller may be the task itself, or the hub, which must not be killed from.
        hub = eventlet.hubs.get_hub()
        hub.schedule_call_global(0, self.task.kill)

    def release(self) -> None:
        """Let the reader read one more frame."""
        self._unread -= 1
        if self._resume is not None:
            self._resume.send(None)
            self._resume = None

    def read(
        self, connection: socket.socket, open_frame: Callable[[bytes], bytes | None]
    ) -> str:
        """Pass frames to the stream until the connection ends.

        Args:
            connection: A connected socket that does not block.
            open_frame: Checks and removes the tag of each frame, in their order.

        Returns:
            Why the stream is to be closed.
        """
        hub = eventlet.hubs.get_hub()
        current = eventlet.getcurrent()
        received = bytearray()
        listener = None

        def wait() -> None:
            nonlocal listener
            if listener is None:
                listener = hub.add(
                    hub.READ,
                    connection.fileno(),
                    current.switch,
                    current.throw,
                    lambda: None,
                )
            self.stream.hand_over()

        def pause() -> None:
            # The listener would switch to this green thread while it waits.
            nonlocal listener
            if listener is not None:
                hub.remove(listener)
                listener = None
            self.stream.wake()
            self._resume = eventlet.event.Event()
            self._resume.wait()

        try:
            while True:
                wait()
                try:
                    data = connection.recv(READ_BYTES)
                except BlockingIOError:
                    continue
                except OSError:
                    return CLOSED_BROKEN
                if not data:
                    return CLOSED_BROKEN
                received += data
                refused = self._take(received, open_frame)
                if refused:
                    return refused
                while self._unread >= MAX_UNREAD_FRAMES and not self.stream.is_closed:
                    pause()
        finally:
            if listener is not None:
                hub.remove(listener)

    def _take(
        self, received: bytearray, open_frame: Callable[[bytes], bytes | None]
    ) -> str:
        """Take whole frames away, and return why no more may be read, if so."""
        start = 0
        end = len(received)
        while end - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(received, start)
            if length > MAX_FRAME_BYTES + TAG_BYTES:
                return CLOSED_OVERSIZED
            stop = start + _LENGTH.size + length
            if stop > end:
                break
            frame = open_frame(bytes(received[start + _LENGTH.size : stop]))
            if frame is None:
                return CLOSED_UNAUTHENTIC
            self._unread += 1
            self.stream.on_frame(frame)
            start = stop
        del received[:start]
        return ""


def listen(address: str, options: StreamOptions, intake: Intake) -> Listener:
    """Listen for connections.

    Args:
        address: Address to listen on.
        options: What the streams share.
        intake: Takes the streams.

    Returns:
        The started listener.

    Raises:
        OSError: If the address cannot be listened on.
    """
    listening = _bind(address)
    port = listening.getsockname()[1]
    own = {intake.advertised, f"{address.rpartition(':')[0]}:{port}"}
    accepted = own if intake.advertised else set()
    tasks: set[eventlet.greenthread.GreenThread] = set()
    places = HandshakePlaces()

    def serve(connection: green_socket.socket) -> None:
        try:
            _serve(connection, options, intake, accepted, places)
        finally:
            connection.close()

    def accept() -> None:
        while True:
            try:
                connection, _ = listening.accept()
            except OSError:
                # Too many open files, for example: others may be closed soon.
                intake.count("accept_errors")
                eventlet.sleep(0.1)
                continue
            task = eventlet.spawn(serve, connection)
            tasks.add(task)
            if places.enter(task):
                intake.count(f"refused_{_handshake.REFUSED_DROPPED}")
            task.link(tasks.discard)

    accepter = eventlet.spawn(accept)

    def stop() -> None:
        accepter.kill()
        listening.close()
        for task in list(tasks):
            task.kill()

    return Listener(port, stop)


def _bind(address: str) -> green_socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = green_socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening


def _serve(
    connection: green_socket.socket,
    options: StreamOptions,
    intake: Intake,
    accepted: set[str],
    places: HandshakePlaces,
) -> None:
    """Take one connection until it ends; runs in its green thread."""
    limit_ms = min(options.silence_ms, HANDSHAKE_MS)
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with eventlet.Timeout(limit_ms / 1000.0):
            parts = _handshake.check(connection, intake, accepted)
    except _handshake.HandshakeError as error:
        intake.count(f"refused_{error.reason}")
        return
    except OSError:
        intake.count(f"refused_{_handshake.REFUSED_ENDED}")
        return
    except eventlet.Timeout:
        intake.count(f"refused_{_handshake.REFUSED_SILENT}")
        return
    finally:
        places.leave(eventlet.getcurrent())
    wire = TcpWire()
    wire.task = eventlet.getcurrent()
    reason = CLOSED_BROKEN
    try:
        intake.accept(wire, parts[0], int(parts[1]))
        # A server that is about to stop opens no stream.
        if wire.stream is not None:
            own, other = _handshake.ROLE_SERVER, _handshake.ROLE_CLIENT
            make_tag = make_tagger(intake.shared_key, own, parts)
            open_frame = make_opener(intake.shared_key, other, parts)
            reason = _run(wire, connection, make_tag, open_frame)
    finally:
        intake.leave()
        _finish(wire, reason, intake.forget)


def _run(
    wire: TcpWire,
    connection: green_socket.socket,
    make_tag: Callable[[bytes], bytes],
    open_frame: Callable[[bytes], bytes | None],
) -> str:
    """Send and read until the end; returns why the stream is to be closed."""
    wire.outgoing.attach(connection.fd, make_tag)
    try:
        return wire.read(connection.fd, open_frame)
    finally:
        wire.outgoing.detach()


def _finish(wire: TcpWire, reason: str, on_over: Callable[[TcpWire], None]) -> None:
    on_over(wire)
    if wire.stream is not None:
        wire.stream.on_end(reason)


def dial(
    address: str,
    shared_key: bytes,
    options: StreamOptions,
    on_over: Callable[[TcpWire], None],
) -> TcpWire:
    """Begin to connect.

    Args:
        address: Address of the server.
        shared_key: Key that both sides must hold; empty for no check.
        options: What the streams share.
        on_over: Called with the wire when the connection is over.

    Returns:
        The wire of the connection, which is not connected yet.
    """
    wire = TcpWire()

    def run() -> None:
        reason = CLOSED_BROKEN
        try:
            reason = _connect(wire, address, shared_key, options)
        except eventlet.Timeout:
            reason = CLOSED_SILENT
        except Exception:
            _log.exception("the connection to {} failed", address)
        finally:
            _finish(wire, reason, on_over)

    wire.task = eventlet.spawn(run)
    return wire


def _connect(
    wire: TcpWire, address: str, shared_key: bytes, options: StreamOptions
) -> str:
    """Connect, and read until the end; returns why the stream is to be closed."""
    host, _, port = address.rpartition(":")
    timeout = eventlet.Timeout(options.silence_ms / 1000.0)
    connection = None
    try:
        connection = green_socket.create_connection((host.strip("[]"), int(port)))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        parts = _handshake.answer(connection, shared_key, address, options.identity())
        timeout.cancel()
        make_tag = make_tagger(shared_key, _handshake.ROLE_CLIENT, parts)
        open_frame = make_opener(shared_key, _handshake.ROLE_SERVER, parts)
        return _run(wire, connection, make_tag, open_frame)
    except _handshake.HandshakeError as error:
        return f"closed_{error.status}"
    except OSError:
        return CLOSED_UNAVAILABLE
    finally:
        timeout.cancel()
        if connection is not None:
            connection.close()
