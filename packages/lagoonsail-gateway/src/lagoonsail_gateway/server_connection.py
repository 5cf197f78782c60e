"""A keep-alive connection to a backend server that matches responses to requests.

A server may send unexpected data: bytes after a complete response, or a late response
where the response to the next request is expected. Therefore a response is accepted
only if it carries the id of the request, and a connection with unread data is closed.
What a server sends without answering is limited in bytes, because it may never end.

The system goes on sending what is in the buffers of a connection that was closed, for
as long as a partition lasts. A connection that ends while a request is unanswered is
therefore reset, so that a request that was given up does not run later.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import httptools
from xxhash import xxh64_intdigest

from lagoonsail_core.green import eventlet, green_socket, trampoline
from lagoonsail_core.socket_input import RESET_ON_CLOSE, is_closed_by_peer, peek
from lagoonsail_gateway.server_response import (
    DEFAULT_IDLE_LIMIT_MS,
    Response,
    ResponseCollector,
)
from lagoonsail_overload.local_shortage import is_local_shortage

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock

MAX_READ_BYTES = 65_536
"""Maximum size of one read."""
CROWDED_READ_BYTES = 8192
"""Maximum size of one read while the process holds much in memory."""
MAX_WRITE_BYTES = 32_768
"""Maximum size of one write; early responses are detected between writes."""
EARLY_RESPONSE_CHECK_MS = 100.0
"""Time after which a blocked write checks for an early response."""
MAX_UNUSED_BYTES = 131_072
"""Maximum number of bytes received without a part of the expected body: its head,
interim and foreign responses, chunk extensions and trailers."""
READS_PER_TURN = 4
"""Reads without a wait after which other tasks have their turn."""
KEEPALIVE_IDLE_S = 1
"""Time without data after which the kernel probes whether the peer is still there."""
KEEPALIVE_PROBES = 1
"""Unanswered probes, one second apart, after which the connection is lost. A lost probe
costs a new connection only."""
ABORTED = "aborted"
"""Error text of a connection that the router itself aborted."""


class ConnectFailedError(Exception):
    """The connection could not be opened; no byte of a request was sent."""

    def __init__(
        self, reason: str, *, is_refused: bool = False, is_local: bool = False
    ) -> None:
        super().__init__(reason)
        self.is_refused = is_refused
        """Whether nobody listens at the address."""
        self.is_local = is_local
        """Whether this host is short of something; the server is not to blame."""


class ConnectionLostError(Exception):
    """The connection failed or carried invalid data after a request was sent."""

    def __init__(
        self, reason: str, *, is_timeout: bool = False, is_local: bool = False
    ) -> None:
        super().__init__(reason)
        self.is_timeout = is_timeout
        """Whether the server did not respond in time."""
        self.is_local = is_local
        """Whether this router is short of something; the server is not to blame."""


class ServerConnection:
    """A connection that carries one request at a time."""

    __slots__ = (
        "_carried_ids",
        "_clock",
        "_is_aborted",
        "_is_closed",
        "_is_fully_sent",
        "_is_unanswered",
        "_collector",
        "_reads_without_wait",
        "_sock",
        "_unused_bytes",
        "has_data",
        "idle_limit_ms",
        "idle_since_ms",
        "max_read_bytes",
        "on_close",
    )

    has_data: bool
    """Whether the server has sent anything on the connection."""
    on_close: Callable[[], None] | None
    """Called once when the connection is closed, None to call nothing."""
    idle_since_ms: float
    """When the last response was completed."""
    idle_limit_ms: float
    """How long it may be idle."""
    max_read_bytes: int
    """Maximum size of one read."""

    def __init__(self, sock: green_socket.socket, clock: Clock) -> None:
        self._sock = sock
        self._clock = clock
        self._collector = ResponseCollector()
        self._carried_ids: set[int] = set()
        self._is_aborted = False
        self._is_closed = False
        self._is_fully_sent = True
        self._is_unanswered = False
        self._reads_without_wait = 0
        self.has_data = False
        self.on_close = None
        self._unused_bytes = 0
        self.max_read_bytes = MAX_READ_BYTES
        self.idle_since_ms = clock.now_ms()
        self.idle_limit_ms = DEFAULT_IDLE_LIMIT_MS

    @property
    def request_count(self) -> int:
        """Number of requests that the connection has carried."""
        return len(self._carried_ids)

    def has_carried(self, request_id: str) -> bool:
        """Return whether the connection has carried a request with an id."""
        return xxh64_intdigest(request_id.encode()) in self._carried_ids

    def record_request(self, request_id: str) -> None:
        """Note that the connection is about to carry a request.

        Args:
            request_id: Id of the request.
        """
        self._carried_ids.add(xxh64_intdigest(request_id.encode()))

    def detect_dead_peer(self) -> None:
        """Let pending reads fail once the peer has been gone for two seconds.

        A peer that is alive but has nothing to send is not affected.
        """
        tcp = socket.IPPROTO_TCP
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        self._sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
        self._sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread or unsent data."""
        if self._collector.responses or not self._is_fully_sent or self._is_aborted:
            return False
        return not self._has_input()

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed or reset the connection already."""
        return is_closed_by_peer(self._sock.fd)

    def send(
        self, data: bytes, deadline_ms: float, body: bytes | bytearray = b""
    ) -> None:
        """Send a request.

        If a response arrives before everything is sent, the rest is not sent, and the
        connection is not reused.

        Args:
            data: Head of the request, or all of it.
            deadline_ms: Monotonic time at which the call times out.
            body: Body of the request; a long one is not copied.

        Raises:
            ConnectionLostError: If the connection failed or the deadline passed.
        """
        self._is_fully_sent = False
        self._is_unanswered = True
        self._unused_bytes = 0
        if len(body) <= MAX_WRITE_BYTES:
            data, body = data + body, b""
        unsent_bytes = len(data) + len(body)
        for view in (memoryview(data), memoryview(body)):
            while view:
                sent = self._send_part(view[:MAX_WRITE_BYTES], deadline_ms)
                view = view[sent:]
                unsent_bytes -= sent
                if unsent_bytes and self._has_input():
                    return
        self._is_fully_sent = True

    def read_head(
        self, deadline_ms: float, is_expected: Callable[[Response], bool]
    ) -> Response:
        """Read until the head of the expected response is complete.

        Args:
            deadline_ms: Monotonic time at which the call times out.
            is_expected: Returns whether a response belongs to the request; complete
                responses that do not are skipped.

        Returns:
            The response, whose body may be incomplete.

        Raises:
            ConnectionLostError: If no such response arrives.
        """
        while True:
            response = self._first_response()
            if response is None or not response.has_head:
                self._feed_parser(deadline_ms)
            elif is_expected(response):
                return response
            else:
                self._skip(response, deadline_ms)

    def read_body(self, response: Response, deadline_ms: float) -> bytes:
        """Return the next part of a response body, empty at its end.

        Args:
            response: The response.
            deadline_ms: Monotonic time at which the call times out.

        Raises:
            ConnectionLostError: If the body ends early or the deadline passes.
        """
        while not response.parts and not response.is_complete:
            self._feed_parser(deadline_ms)
        self._unused_bytes = 0
        return response.take_body()

    def discard_body(self, response: Response) -> None:
        """Mark a response to a HEAD request as complete, whatever its Content-Length.

        Args:
            response: The response; its connection is not reused.
        """
        response.parts.clear()
        response.is_complete = True
        response.is_keep_alive = False

    def release_response(self, response: Response) -> bool:
        """Remove a response from the connection.

        Args:
            response: The response.

        Returns:
            Whether the connection can be reused for another request.
        """
        responses = self._collector.responses
        if not responses or responses[0] is not response:
            return False
        responses.popleft()
        self._is_unanswered = not response.is_complete
        self.idle_since_ms = self._clock.now_ms()
        self.idle_limit_ms = response.idle_limit_ms
        return response.is_complete and response.is_keep_alive and self.is_reusable()

    def abort(self) -> None:
        """Wake the reader of the connection to close it; callable from any task.

        Nothing is said to the server until then: the end of the stream would be sent
        behind what is unsent.
        """
        self._is_aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RD)
        except OSError:
            # The connection is closed already.
            return

    def close(self) -> None:
        """Close the connection, which cancels the request running on it."""
        self._is_aborted = True
        if self._is_unanswered:
            self._discard_unsent()
        self._sock.close()
        if not self._is_closed:
            self._is_closed = True
            if self.on_close is not None:
                self.on_close()

    def _discard_unsent(self) -> None:
        """Let the socket be reset when it is closed."""
        # It may be closed already, as the process ends.
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def __del__(self) -> None:
        # A connection that an unexpected error drops must not stay counted as open.
        if not self._is_closed:
            self.close()

    def _first_response(self) -> Response | None:
        return self._collector.responses[0] if self._collector.responses else None

    def _skip(self, response: Response, deadline_ms: float) -> None:
        """Skip a response to another request, or the part of it that has arrived."""
        is_skippable = response.is_keep_alive and not response.is_close_delimited
        if not is_skippable or not self._is_fully_sent:
            # The server does not read on, so no other response can follow.
            raise ConnectionLostError("the answer belongs to another request")
        if response.is_complete:
            self._collector.responses.popleft()
            return
        response.parts.clear()
        self._feed_parser(deadline_ms)

    def _has_input(self) -> bool:
        """Return whether data, an end of stream or an error is pending."""
        return peek(self._sock.fd) is not None

    def _send_part(self, part: memoryview, deadline_ms: float) -> int:
        while True:
            remaining_ms = self._remaining_ms(deadline_ms)
            self._sock.settimeout(min(remaining_ms, EARLY_RESPONSE_CHECK_MS) / 1000.0)
            try:
                return self._sock.send(part)
            except TimeoutError:
                if self._is_aborted:
                    raise ConnectionLostError(ABORTED) from None
                if self._has_input():
                    return 0
            except OSError as error:
                raise ConnectionLostError(self._error_text(error)) from error

    def _feed_parser(self, deadline_ms: float) -> None:
        try:
            data = self._receive_data(deadline_ms)
        except TimeoutError as error:
            raise ConnectionLostError("no answer", is_timeout=True) from error
        except OSError as error:
            raise ConnectionLostError(self._error_text(error)) from error
        if not data:
            self._handle_eof()
            return
        self.has_data = True
        self._unused_bytes += len(data)
        if self._unused_bytes > MAX_UNUSED_BYTES:
            raise ConnectionLostError(f"no answer in {self._unused_bytes} bytes")
        try:
            self._collector.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._is_first_complete():
                reason = error.__context__ or error
                raise ConnectionLostError(f"not an answer ({reason})") from error
            # The data after the complete response is invalid. The extra entry makes
            # `finish` reject the connection.
            self._collector.responses.append(Response())

    def _receive_data(self, deadline_ms: float) -> bytes:
        """Return received data, waiting for it if there is none.

        Reads the underlying socket, because eventlet's wrapper reports a reset as a
        regular end of stream, so that a truncated response without a length would
        count as complete.
        """
        while True:
            timeout_s = self._remaining_ms(deadline_ms) / 1000.0
            try:
                data = self._sock.fd.recv(self.max_read_bytes)
            except BlockingIOError:
                self._reads_without_wait = 0
                trampoline(
                    self._sock.fd,
                    read=True,
                    timeout=timeout_s,
                    timeout_exc=TimeoutError,
                )
            else:
                self._give_turn(len(data))
                return data

    def _give_turn(self, size: int) -> None:
        """Let other tasks run if the server sends faster than it is read.

        Args:
            size: Number of bytes that were read without a wait.
        """
        self._reads_without_wait += 1
        is_full = size == self.max_read_bytes
        if is_full or self._reads_without_wait == READS_PER_TURN:
            self._reads_without_wait = 0
            eventlet.sleep(0)

    def _is_first_complete(self) -> bool:
        response = self._first_response()
        return response is not None and response.is_complete

    def _handle_eof(self) -> None:
        response = self._first_response()
        is_eof_expected = response is not None and response.is_close_delimited
        if self._is_aborted or not is_eof_expected or not response.has_head:
            raise ConnectionLostError(
                ABORTED if self._is_aborted else "the server closed the connection"
            )
        if not self._is_fully_sent and response.status < 300:
            # A server that closes with input unread resets the connection, and the
            # reset may arrive after the end of the stream.
            raise ConnectionLostError("the server closed before it read the request")
        if self._sock.fd.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise ConnectionLostError("the server reset the connection")
        response.is_complete = True
        response.is_keep_alive = False

    def _remaining_ms(self, deadline_ms: float) -> float:
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise ConnectionLostError("no answer", is_timeout=True)
        return remaining_ms

    def _error_text(self, error: OSError) -> str:
        return ABORTED if self._is_aborted else str(error)


def connect(address: str, clock: Clock, timeout_ms: float) -> ServerConnection:
    """Open a connection to a backend server.

    Args:
        address: IP address and port.
        clock: The clock.
        timeout_ms: Connect timeout.

    Returns:
        The connection.

    Raises:
        ConnectFailedError: If the connection fails or times out.
    """
    host, _, port = address.rpartition(":")
    try:
        sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise ConnectFailedError(
            f"cannot open a socket for {address}: {error}", is_local=True
        ) from error
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(timeout_ms / 1000.0)
    try:
        sock.connect((host, int(port)))
    except OSError as error:
        sock.close()
        raise ConnectFailedError(
            f"cannot connect to {address}: {error}",
            is_refused=isinstance(error, ConnectionRefusedError),
            is_local=is_local_shortage(error),
        ) from error
    return ServerConnection(sock, clock)
