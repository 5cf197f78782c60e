"""Transport of streams as plain TCP connections, in green threads of the hub.

After the handshake each side sends frames: the length as four bytes in big-endian
order, the frame, and its tag of `_frame_auth`. The hub's read listener stays registered
between two frames, and data that the socket accepts at once is sent without a green
thread: both avoid most of the cost of a small frame.
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
from lagoonsail_peer._frame_auth import TAG_BYTES, make_tagger, make_verifier
from lagoonsail_peer._pending_handshakes import HANDSHAKE_TIMEOUT_MS, PendingHandshakes
from lagoonsail_peer.stream import (
    CLOSED_BROKEN,
    CLOSED_OVERSIZED,
    CLOSED_SILENT,
    StreamOptions,
)
from lagoonsail_peer.wire import (
    MAX_UNREAD_FRAMES,
    Listener,
    StreamAcceptor,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_peer.stream import PeerStream

BACKLOG = 128
"""Maximum number of connections waiting to be accepted."""
MAX_READ_BYTES = 65_536
"""Maximum size of one read."""
CLOSED_UNAVAILABLE = "closed_unavailable"
"""Connecting to the server failed."""
CLOSED_UNAUTHENTIC = "closed_unauthentic_frame"
"""A frame was not the next one of the authenticated remote side."""

_LENGTH = struct.Struct(">I")
_log = logbook.Logger("lagoonsail.peer")


class TcpSendQueue:
    """Queue of outgoing frames of a socket."""

    __slots__ = (
        "_frames",
        "_is_ended",
        "_make_tag",
        "_socket",
        "_writer",
        "queued_bytes",
        "queued_messages",
    )

    queued_messages: int
    """Number of queued messages, without heartbeats."""
    queued_bytes: int
    """Number of queued bytes."""

    def __init__(self) -> None:
        self.queued_messages = 0
        self.queued_bytes = 0
        self._frames: deque[tuple[bytes | memoryview, int]] = deque()
        self._is_ended = False
        self._make_tag: Callable[[bytes], bytes] | None = None
        self._socket: socket.socket | None = None
        self._writer: eventlet.greenthread.GreenThread | None = None

    def attach(
        self, connection: socket.socket, make_tag: Callable[[bytes], bytes]
    ) -> None:
        """Send the queued frames, and from now on each frame when it is put.

        Args:
            connection: A connected non-blocking socket.
            make_tag: Makes the tag of each frame; called in order.
        """
        self._socket = connection
        self._make_tag = make_tag
        for index, (frame, messages) in enumerate(self._frames):
            self._frames[index] = (self._encode(frame), messages)
        self.queued_bytes = sum(len(data) for data, _ in self._frames)
        self._send()

    def _encode(self, frame: bytes) -> bytes:
        tag = self._make_tag(frame)
        return _LENGTH.pack(len(frame) + len(tag)) + frame + tag

    def detach(self) -> None:
        """Stop sending before the socket is closed."""
        self._socket = None
        if self._writer is not None:
            self._writer.kill()

    def put(self, frame: bytes, messages: int) -> None:
        """Append a frame; never blocks.

        Args:
            frame: An encoded frame.
            messages: Number of its messages, without heartbeats.
        """
        data = self._encode(frame) if self._make_tag else frame
        self._frames.append((data, messages))
        self.queued_messages += messages
        self.queued_bytes += len(data)
        if self._writer is None:
            self._send()

    def end(self) -> None:
        """Shut down this direction after the queued frames."""
        self._is_ended = True
        if self._writer is None:
            self._send()

    def _send(self) -> None:
        """Send until the socket would block; a green thread sends the remainder."""
        if self._socket is None:
            return
        try:
            self._send_queued()
        except BlockingIOError:
            self._writer = eventlet.spawn(self._write)
        except OSError:
            # The reader detects the end of the connection and closes the stream.
            self._socket = None

    def _send_queued(self) -> None:
        frames = self._frames
        while frames:
            data, messages = frames[0]
            sent = self._socket.send(data)
            self.queued_bytes -= sent
            if sent < len(data):
                frames[0] = (memoryview(data)[sent:], messages)
                continue
            frames.popleft()
            self.queued_messages -= messages
        if self._is_ended:
            self._socket.shutdown(socket.SHUT_WR)

    def _write(self) -> None:
        while self._socket is not None:
            eventlet.hubs.trampoline(self._socket, write=True)
            try:
                self._send_queued()
                break
            except BlockingIOError:
                continue
            except OSError:
                self._socket = None
        self._writer = None


class TcpWire:
    """The TCP connection of one stream, read by the green thread that created it."""

    __slots__ = ("_is_cancelled", "_resume", "_unread", "send_queue", "stream", "task")

    task: eventlet.greenthread.GreenThread | None
    """The green thread that reads; killing it ends the connection."""

    def __init__(self) -> None:
        self.send_queue = TcpSendQueue()
        self.stream: PeerStream | None = None
        self._is_cancelled = False
        self._resume: eventlet.event.Event | None = None
        self.task = None
        self._unread = 0

    def cancel(self) -> None:
        """End the connection at once and drop the queued frames."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        # Deferred, since the caller may be the task itself or the hub, where a green
        # thread must not be killed.
        hub = eventlet.hubs.get_hub()
        hub.schedule_call_global(0, self.task.kill)

    def release(self) -> None:
        """Allow the reader to read one more frame."""
        self._unread -= 1
        if self._resume is not None:
            self._resume.send(None)
            self._resume = None

    def read(
        self, connection: socket.socket, verify_frame: Callable[[bytes], bytes | None]
    ) -> str:
        """Pass frames to the stream until the connection ends.

        Args:
            connection: A connected non-blocking socket.
            verify_frame: Verifies and removes the tag of each frame; called in order.

        Returns:
            The reason to close the stream.
        """
        hub = eventlet.hubs.get_hub()
        current = eventlet.getcurrent()
        buffer = bytearray()
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
            self.stream.yield_to_worker()

        def pause() -> None:
            # A registered listener would resume this green thread too early.
            nonlocal listener
            if listener is not None:
                hub.remove(listener)
                listener = None
            self.stream.wake_worker()
            self._resume = eventlet.event.Event()
            self._resume.wait()

        try:
            while True:
                wait()
                try:
                    data = connection.recv(MAX_READ_BYTES)
                except BlockingIOError:
                    continue
                except OSError:
                    return CLOSED_BROKEN
                if not data:
                    return CLOSED_BROKEN
                buffer += data
                close_reason = self._process_frames(buffer, verify_frame)
                if close_reason:
                    return close_reason
                while self._unread >= MAX_UNREAD_FRAMES and not self.stream.is_closed:
                    pause()
        finally:
            if listener is not None:
                hub.remove(listener)

    def _process_frames(
        self, buffer: bytearray, verify_frame: Callable[[bytes], bytes | None]
    ) -> str:
        """Process and remove complete frames; return a reason to close, or empty."""
        start = 0
        end = len(buffer)
        while end - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES + TAG_BYTES:
                return CLOSED_OVERSIZED
            stop = start + _LENGTH.size + length
            if stop > end:
                break
            frame = verify_frame(bytes(buffer[start + _LENGTH.size : stop]))
            if frame is None:
                return CLOSED_UNAUTHENTIC
            self._unread += 1
            self.stream.on_frame(frame)
            start = stop
        del buffer[:start]
        return ""


def listen(address: str, options: StreamOptions, acceptor: StreamAcceptor) -> Listener:
    """Listen for connections.

    Args:
        address: Address to listen on.
        options: Shared options of the streams.
        acceptor: Accepts the streams.

    Returns:
        The started listener.

    Raises:
        OSError: If the address cannot be listened on.
    """
    server_socket = _bind(address)
    port = server_socket.getsockname()[1]
    own_addresses = {
        acceptor.advertised_address,
        f"{address.rpartition(':')[0]}:{port}",
    }
    accepted_addresses = own_addresses if acceptor.advertised_address else set()
    tasks: set[eventlet.greenthread.GreenThread] = set()
    pending_handshakes = PendingHandshakes()

    def serve(connection: green_socket.socket) -> None:
        try:
            _serve(
                connection, options, acceptor, accepted_addresses, pending_handshakes
            )
        finally:
            connection.close()

    def accept() -> None:
        while True:
            try:
                connection, _ = server_socket.accept()
            except OSError:
                # For example too many open files, some of which may be closed soon.
                acceptor.count("accept_errors")
                eventlet.sleep(0.1)
                continue
            task = eventlet.spawn(serve, connection)
            tasks.add(task)
            if pending_handshakes.add(task):
                acceptor.count(f"refused_{_handshake.REFUSED_DROPPED}")
            task.link(tasks.discard)

    accept_task = eventlet.spawn(accept)

    def stop() -> None:
        accept_task.kill()
        server_socket.close()
        for task in list(tasks):
            task.kill()

    return Listener(port, stop)


def _bind(address: str) -> green_socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    server_socket = green_socket.socket(family, socket.SOCK_STREAM)
    try:
        server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server_socket.bind((host, int(port)))
        server_socket.listen(BACKLOG)
    except OSError:
        server_socket.close()
        raise
    return server_socket


def _serve(
    connection: green_socket.socket,
    options: StreamOptions,
    acceptor: StreamAcceptor,
    accepted_addresses: set[str],
    pending_handshakes: PendingHandshakes,
) -> None:
    """Serve one connection until it ends; runs in its green thread."""
    timeout_ms = min(options.silence_ms, HANDSHAKE_TIMEOUT_MS)
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with eventlet.Timeout(timeout_ms / 1000.0):
            transcript = _handshake.run_server(connection, acceptor, accepted_addresses)
    except _handshake.HandshakeError as error:
        acceptor.count(f"refused_{error.reason}")
        return
    except OSError:
        acceptor.count(f"refused_{_handshake.REFUSED_ENDED}")
        return
    except eventlet.Timeout:
        acceptor.count(f"refused_{_handshake.REFUSED_SILENT}")
        return
    finally:
        pending_handshakes.remove(eventlet.getcurrent())
    wire = TcpWire()
    wire.task = eventlet.getcurrent()
    reason = CLOSED_BROKEN
    try:
        acceptor.accept(wire, transcript[0], int(transcript[1]))
        # A stopping server does not open a stream.
        if wire.stream is not None:
            own_role, peer_role = _handshake.ROLE_SERVER, _handshake.ROLE_CLIENT
            make_tag = make_tagger(acceptor.shared_key, own_role, transcript)
            verify_frame = make_verifier(acceptor.shared_key, peer_role, transcript)
            reason = _run_stream(wire, connection, make_tag, verify_frame)
    finally:
        acceptor.release()
        _report_end(wire, reason, acceptor.discard)


def _run_stream(
    wire: TcpWire,
    connection: green_socket.socket,
    make_tag: Callable[[bytes], bytes],
    verify_frame: Callable[[bytes], bytes | None],
) -> str:
    """Send and receive until the end; returns the reason to close the stream."""
    wire.send_queue.attach(connection.fd, make_tag)
    try:
        return wire.read(connection.fd, verify_frame)
    finally:
        wire.send_queue.detach()


def _report_end(
    wire: TcpWire, reason: str, on_ended: Callable[[TcpWire], None]
) -> None:
    on_ended(wire)
    if wire.stream is not None:
        wire.stream.on_end(reason)


def dial(
    address: str,
    shared_key: bytes,
    options: StreamOptions,
    on_ended: Callable[[TcpWire], None],
) -> TcpWire:
    """Start to connect.

    Args:
        address: Address of the server.
        shared_key: Key of both sides; empty to disable authentication.
        options: Shared options of the streams.
        on_ended: Called with the wire when the connection has ended.

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
            _log.exception(
                "TCP connection to peer {} failed; the link will dial again", address
            )
        finally:
            _report_end(wire, reason, on_ended)

    wire.task = eventlet.spawn(run)
    return wire


def _connect(
    wire: TcpWire, address: str, shared_key: bytes, options: StreamOptions
) -> str:
    """Connect and read until the end; returns the reason to close the stream."""
    host, _, port = address.rpartition(":")
    timeout = eventlet.Timeout(options.silence_ms / 1000.0)
    connection = None
    try:
        connection = green_socket.create_connection((host.strip("[]"), int(port)))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transcript = _handshake.run_client(
            connection, shared_key, address, options.make_hello()
        )
        timeout.cancel()
        make_tag = make_tagger(shared_key, _handshake.ROLE_CLIENT, transcript)
        verify_frame = make_verifier(shared_key, _handshake.ROLE_SERVER, transcript)
        return _run_stream(wire, connection, make_tag, verify_frame)
    except _handshake.HandshakeError as error:
        return f"closed_{error.status}"
    except OSError:
        return CLOSED_UNAVAILABLE
    finally:
        timeout.cancel()
        if connection is not None:
            connection.close()
