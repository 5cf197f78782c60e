"""Peers of a router that send without end, on threads of their own.

Green tasks would share one loop with the rest of a test and send too slowly to keep a
router busy.
"""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

BLOCK_BYTES = 262_144
"""Approximate length of what is sent at once."""
MAX_READ_BYTES = 1 << 20
"""Largest read of a peer that discards what it receives."""


class EndlessPeers:
    """Callers and servers that send until they are closed."""

    __slots__ = ("_sockets", "_threads")

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []
        self._threads: list[threading.Thread] = []

    def call(
        self, address: str, start: bytes, repeated: bytes = b"", interval_s: float = 0.0
    ) -> None:
        """Open a connection to a router, send without end and discard all answers.

        Args:
            address: IP address and port of the router.
            start: What is sent first.
            repeated: What is sent over and over; nothing if empty.
            interval_s: Pause before each repetition; without one, many are sent at
                once.
        """
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=10.0)
        sock.settimeout(None)
        self._sockets.append(sock)
        self._start(lambda: _send(sock, start, repeated, interval_s))
        self._start(lambda: _discard(sock))

    def hold(self, address: str, start: bytes) -> None:
        """Open a connection to a router, and leave it open after a start.

        Args:
            address: IP address and port of the router.
            start: What is sent.
        """
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=10.0)
        self._sockets.append(sock)
        try:
            sock.sendall(start)
        except OSError:
            # The router refuses the connection.
            return

    def serve(
        self, make_start: Callable[[bytes], bytes], repeated: bytes, port: int = 0
    ) -> str:
        """Serve answers without end.

        Args:
            make_start: Returns the start of the answer to a request head.
            repeated: What is sent over and over after it; nothing if empty.
            port: The port, 0 for any that is free.

        Returns:
            IP address and port.
        """
        listener = socket.create_server(("127.0.0.1", port), backlog=128)
        self._sockets.append(listener)
        self._start(lambda: self._accept(listener, make_start, repeated))
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def close(self) -> None:
        """Close all connections and wait for the threads to end."""
        for sock in self._sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The router has closed the connection already.
                continue
        for thread in self._threads:
            thread.join(5.0)
        for sock in self._sockets:
            sock.close()

    def _accept(
        self,
        listener: socket.socket,
        make_start: Callable[[bytes], bytes],
        repeated: bytes,
    ) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self._sockets.append(sock)
            self._start(lambda sock=sock: _answer(sock, make_start, repeated))

    def _start(self, run: Callable[[], None]) -> None:
        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()


def _send(
    sock: socket.socket, start: bytes, repeated: bytes, interval_s: float = 0.0
) -> None:
    block = repeated
    if repeated and not interval_s:
        block = repeated * max(1, BLOCK_BYTES // len(repeated))
    try:
        sock.sendall(start)
        while block:
            time.sleep(interval_s)
            sock.sendall(block)
    except OSError:
        return


def _discard(sock: socket.socket) -> None:
    try:
        while sock.recv(MAX_READ_BYTES):
            continue
    except OSError:
        return


def _answer(
    sock: socket.socket, make_start: Callable[[bytes], bytes], repeated: bytes
) -> None:
    head = b""
    try:
        while b"\r\n\r\n" not in head:
            part = sock.recv(MAX_READ_BYTES)
            if not part:
                sock.close()
                return
            head += part
    except OSError:
        return
    _send(sock, make_start(head), repeated)
    _discard(sock)
    sock.close()
