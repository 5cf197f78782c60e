"""A kept connection to a backend server, on which answers are told apart by their id.

A server may send more than it should: bytes behind a whole answer, or an answer that
was overdue, at the place where the next one is expected. So each answer is taken only
if it names the request, and a connection on which anything was left over is closed.
"""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httptools

from lagoonsail_core.green import green_socket, trampoline

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.request_format import Headers

READ_BYTES = 65_536
"""Most that is read at once."""
WRITE_BYTES = 32_768
"""Most that is written at once; an early answer is seen between the parts."""
WRITE_WAIT_MS = 100.0
"""How long one write may wait until an early answer is looked for."""
UNSTATED_IDLE_MS = 2500.0
"""How long a connection may be unused if the server does not say how long it waits."""
IDLE_MARGIN_MS = 1500.0
"""By how much an unused connection is closed before the server would close it."""
ABORTED = "aborted"
"""Reason of a connection that was given up on purpose."""


class ConnectFailedError(Exception):
    """The server could not be reached; no byte of a request was sent."""


class ConnectionLostError(Exception):
    """The connection ended, or carried what is no answer, after a request was sent."""

    def __init__(self, reason: str, *, is_timeout: bool = False) -> None:
        super().__init__(reason)
        self.is_timeout = is_timeout
        """Whether the server was silent for too long."""


@dataclass(slots=True)
class Answer:
    """An answer as far as it has arrived."""

    status: int = 0
    """HTTP status."""
    headers: Headers = field(default_factory=list)
    """Headers as they came."""
    has_head: bool = False
    """Whether status and headers are complete."""
    is_whole: bool = False
    """Whether the body is complete."""
    keeps_open: bool = True
    """Whether the server keeps the connection open after this answer."""
    ends_with_connection: bool = False
    """Whether only the end of the connection ends the body."""
    idle_limit_ms: float = UNSTATED_IDLE_MS
    """How long the server keeps the connection open when it is not used."""
    parts: list[bytes] = field(default_factory=list)
    """Parts of the body that were not taken yet."""

    def take(self) -> bytes:
        """Return what has arrived of the body since the last call."""
        if not self.parts:
            return b""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


class _AnswerReader:
    """Receives what the parser finds, one answer after the other."""

    __slots__ = ("answers", "parser")

    def __init__(self) -> None:
        self.answers: deque[Answer] = deque()
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        self.answers.append(Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        headers = self.answers[-1].headers
        headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        answer = self.answers[-1]
        answer.status = self.parser.get_status_code()
        answer.keeps_open = self.parser.should_keep_alive()
        names = {name.lower(): value for name, value in answer.headers}
        answer.idle_limit_ms = _read_idle_limit_ms(names.get("keep-alive", ""))
        has_body = answer.status >= 200 and answer.status not in (204, 304)
        is_framed = "content-length" in names or "transfer-encoding" in names
        answer.ends_with_connection = has_body and not is_framed
        answer.has_head = True

    def on_body(self, body: bytes) -> None:
        self.answers[-1].parts.append(body)

    def on_message_complete(self) -> None:
        answer = self.answers[-1]
        # Without a length the parser sees the end only where the connection ends.
        answer.is_whole = not answer.ends_with_connection
        if answer.is_whole and 100 <= answer.status < 200:
            self.answers.pop()


class ServerConnection:
    """One connection, used by one request at a time."""

    __slots__ = (
        "_clock",
        "_is_aborted",
        "_is_fully_sent",
        "_reader",
        "_sock",
        "idle_limit_ms",
        "idle_since_ms",
    )

    idle_since_ms: float
    """When the last answer was complete."""
    idle_limit_ms: float
    """How long it may be unused."""

    def __init__(self, sock: green_socket.socket, clock: Clock) -> None:
        self._sock = sock
        self._clock = clock
        self._reader = _AnswerReader()
        self._is_aborted = False
        self._is_fully_sent = True
        self.idle_since_ms = clock.now_ms()
        self.idle_limit_ms = UNSTATED_IDLE_MS

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing unasked has arrived."""
        if self._reader.answers or not self._is_fully_sent or self._is_aborted:
            return False
        return not self._has_input()

    def send(self, data: bytes, deadline_ms: float) -> None:
        """Send a request.

        If an answer arrives before all is sent, the rest is left unsent, and the
        connection carries no other request.

        Args:
            data: Head and body.
            deadline_ms: Monotonic time until which it may take.

        Raises:
            ConnectionLostError: If the connection ended.
        """
        self._is_fully_sent = False
        view = memoryview(data)
        while view:
            sent = self._send_part(view[:WRITE_BYTES], deadline_ms)
            view = view[sent:]
            if view and self._has_input():
                return
        self._is_fully_sent = True

    def read_head(
        self, deadline_ms: float, is_expected: Callable[[Answer], bool]
    ) -> Answer:
        """Read until the head of the expected answer is there.

        Args:
            deadline_ms: Monotonic time until which it may take.
            is_expected: Tells whether an answer belongs to the request; whole answers
                that do not are skipped.

        Returns:
            The answer, whose body may still be on its way.

        Raises:
            ConnectionLostError: If it does not come.
        """
        while True:
            answer = self._first_answer()
            if answer is None or not answer.has_head:
                self._receive(deadline_ms)
            elif is_expected(answer):
                return answer
            elif answer.is_whole and answer.keeps_open:
                self._reader.answers.popleft()
            elif answer.is_whole or answer.ends_with_connection:
                raise ConnectionLostError("the answer belongs to another request")
            else:
                self._receive(deadline_ms)

    def read_more(self, answer: Answer, deadline_ms: float) -> bytes:
        """Return more of an answer's body, empty at its end.

        Args:
            answer: The answer.
            deadline_ms: Monotonic time until which it may take.

        Raises:
            ConnectionLostError: If the answer breaks off.
        """
        while not answer.parts and not answer.is_whole:
            self._receive(deadline_ms)
        return answer.take()

    def end_without_body(self, answer: Answer) -> None:
        """Take an answer as whole though it states a length, as answers to HEAD do.

        Args:
            answer: The answer, after which the connection is of no further use.
        """
        answer.parts.clear()
        answer.is_whole = True
        answer.keeps_open = False

    def finish(self, answer: Answer) -> bool:
        """Take a whole answer off the connection.

        Returns:
            Whether the connection may carry another request.
        """
        answers = self._reader.answers
        if not answers or answers[0] is not answer:
            return False
        answers.popleft()
        self.idle_since_ms = self._clock.now_ms()
        self.idle_limit_ms = answer.idle_limit_ms
        return answer.is_whole and answer.keeps_open and self.is_quiet()

    def abort(self) -> None:
        """Wake whoever reads; may be called from another task."""
        self._is_aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It has ended already, which is what is wanted.
            return

    def close(self) -> None:
        """Close the connection, which cancels what runs on it."""
        self._is_aborted = True
        self._sock.close()

    def _first_answer(self) -> Answer | None:
        return self._reader.answers[0] if self._reader.answers else None

    def _has_input(self) -> bool:
        """Return whether there is something to read, be it an end or an error."""
        try:
            self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _send_part(self, part: memoryview, deadline_ms: float) -> int:
        while True:
            left_ms = self._left_ms(deadline_ms)
            self._sock.settimeout(min(left_ms, WRITE_WAIT_MS) / 1000.0)
            try:
                return self._sock.send(part)
            except TimeoutError:
                if self._has_input():
                    return 0
            except OSError as error:
                raise ConnectionLostError(self._reason(error)) from error

    def _receive(self, deadline_ms: float) -> None:
        try:
            data = self._recv(deadline_ms)
        except TimeoutError as error:
            raise ConnectionLostError("no answer", is_timeout=True) from error
        except OSError as error:
            raise ConnectionLostError(self._reason(error)) from error
        if not data:
            self._end()
            return
        try:
            self._reader.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._is_first_whole():
                raise ConnectionLostError(f"not an answer ({error})") from error
            # What follows the whole answer is no answer; `finish` sees that.
            self._reader.answers.append(Answer())

    def _recv(self, deadline_ms: float) -> bytes:
        """Read what is there, or wait for it.

        The socket below is read, since eventlet's own shows a reset as a proper end,
        and an answer without a length would seem to be whole.
        """
        while True:
            left_s = self._left_ms(deadline_ms) / 1000.0
            try:
                return self._sock.fd.recv(READ_BYTES)
            except BlockingIOError:
                trampoline(
                    self._sock.fd, read=True, timeout=left_s, timeout_exc=TimeoutError
                )

    def _is_first_whole(self) -> bool:
        answer = self._first_answer()
        return answer is not None and answer.is_whole

    def _end(self) -> None:
        answer = self._first_answer()
        is_end_expected = answer is not None and answer.ends_with_connection
        if self._is_aborted or not is_end_expected or not answer.has_head:
            raise ConnectionLostError(
                ABORTED if self._is_aborted else "the server closed the connection"
            )
        answer.is_whole = True
        answer.keeps_open = False

    def _left_ms(self, deadline_ms: float) -> float:
        left_ms = deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise ConnectionLostError("no answer", is_timeout=True)
        return left_ms

    def _reason(self, error: OSError) -> str:
        return ABORTED if self._is_aborted else str(error)


def _read_idle_limit_ms(keep_alive: str) -> float:
    """Return how long a connection may be unused by a Keep-Alive header.

    Example:
        >>> _read_idle_limit_ms("timeout=10, max=100"), _read_idle_limit_ms("")
        (8500.0, 2500.0)
    """
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) * 1000.0 - IDLE_MARGIN_MS)
    return UNSTATED_IDLE_MS


def connect(address: str, clock: Clock, timeout_ms: float) -> ServerConnection:
    """Open a connection.

    Args:
        address: IP number and port.
        clock: The clock.
        timeout_ms: Time that it may take.

    Returns:
        The connection.

    Raises:
        ConnectFailedError: If the server cannot be reached in time.
    """
    host, _, port = address.rpartition(":")
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(timeout_ms / 1000.0)
    try:
        sock.connect((host, int(port)))
    except OSError as error:
        sock.close()
        raise ConnectFailedError(f"{address}: {error}") from error
    return ServerConnection(sock, clock)
