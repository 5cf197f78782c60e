"""HTTP GET requests to many servers at once, all of them in one green thread.

A green thread for each request is woken when its connection opens and when its answer
comes, and each time registers with the hub anew: that costs more than the request. Here
the requests that were added in one turn of the hub form a batch. One green thread opens
their connections, waits for any of them, and then goes through all that are ready.

Each request has a connection of its own, which is closed afterwards: a connection that
went silent, or that a former process still serves, cannot hide the server.
"""

from __future__ import annotations

import re
import select
import socket
from contextlib import suppress
from dataclasses import dataclass
from functools import lru_cache
from http.client import HTTPException, HTTPResponse
from io import BytesIO
from typing import TYPE_CHECKING

from lagoonsail_config.ini_keys import split_address
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext

MAX_BODY_BYTES = 262_144
"""Longest body that is read."""
MAX_ANSWER_BYTES = MAX_BODY_BYTES + 65_536
"""Longest answer that is read, with its head."""
GATHER_MS = 4.0
"""Time from the first ready connection until all that are ready are looked at."""
CHUNK_BYTES = 65_536
"""Bytes that are read at a time."""

_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n", re.IGNORECASE)
_LAST_CHUNK = b"\r\n0\r\n\r\n"
# Of a head that holds no more than this the library makes the same.
_PLAIN_HEAD = re.compile(
    rb"HTTP/1\.[01] (200|[45][0-9]{2}) [ -~]*\r\n"
    rb"((?:[A-Za-z][A-Za-z0-9-]*:[ \t]*[!-~][ -~]*\r\n){1,50}+)\r\n"
)
_FIELD = re.compile(rb"([^:]+):[ \t]*([^\r]*)\r\n")

_split_address = lru_cache(maxsize=4096)(split_address)


@dataclass(slots=True)
class GetAnswer:
    """A whole answer to a GET request."""

    status: int
    """HTTP status."""
    headers: dict[str, str]
    """Headers by name in lower case."""
    body: bytes
    """Whole body."""


class AnswerTooLong(Unavailable):
    """There is an answer, longer than what is read."""

    __slots__ = ()


class _TooLongError(Exception):
    """More was received than is read."""


@dataclass(slots=True, eq=False)
class _Get:
    address: str
    path: str
    deadline_ms: float
    on_answer: Callable[[GetAnswer | Unavailable], None]
    sock: socket.socket | None = None
    is_sent: bool = False
    received: bytes = b""

    def fail(self, reason: object) -> Unavailable:
        return Unavailable(f"no answer from {self.address}{self.path}: {reason}")


class BatchedGets:
    """Sends GET requests in batches, and calls back with each answer as it comes."""

    __slots__ = ("_after", "_context", "_next")

    def __init__(self, context: RouterContext, after: Callable[[], None]) -> None:
        """Begin without requests.

        Args:
            context: The router's shared state.
            after: Called once whenever all answers that had come were handed over.
        """
        self._context = context
        self._after = after
        self._next: list[_Get] = []

    def add(
        self,
        address: str,
        path: str,
        timeout_ms: float,
        on_answer: Callable[[GetAnswer | Unavailable], None],
    ) -> None:
        """Send a request, with the others that are added before the hub's next turn.

        Args:
            address: IP number and port of the server.
            path: Path and query.
            timeout_ms: Time for the whole answer, from now.
            on_answer: Called once, in another green thread, with the answer or with why
                there is none. It must not wait for anything.
        """
        deadline_ms = self._context.clock.now_ms() + timeout_ms
        self._next.append(_Get(address, path, deadline_ms, on_answer))
        if len(self._next) == 1:
            eventlet.spawn_n(self._run_batch)

    def _run_batch(self) -> None:
        gets, self._next = self._next, []
        epoll = select.epoll()
        pending: dict[int, _Get] = {}
        try:
            self._open_all(gets, epoll, pending)
            while pending:
                self._wait(epoll, pending)
                self._look_at_ready(epoll, pending)
                self._drop_overdue(pending)
        finally:
            for get in pending.values():
                get.sock.close()
            epoll.close()

    def _open_all(
        self, gets: list[_Get], epoll: select.epoll, pending: dict[int, _Get]
    ) -> None:
        has_failed = False
        for get in gets:
            try:
                get.sock = _connect(get.address)
            except (OSError, ValueError) as error:
                has_failed = True
                self._hand_over(get, get.fail(error))
                continue
            pending[get.sock.fileno()] = get
            epoll.register(get.sock, select.EPOLLOUT)
        if has_failed:
            self._guard(self._after)

    def _wait(self, epoll: select.epoll, pending: dict[int, _Get]) -> None:
        first_ms = min(get.deadline_ms for get in pending.values())
        left_ms = max(0.0, first_ms - self._context.clock.now_ms())
        with suppress(TimeoutError):
            eventlet.hubs.trampoline(
                epoll.fileno(),
                read=True,
                timeout=left_ms / 1000.0,
                timeout_exc=TimeoutError,
            )
        if len(pending) > 1:
            # Each turn of the hub costs more than to look at one connection more.
            eventlet.sleep(min(GATHER_MS, left_ms) / 1000.0)

    def _look_at_ready(self, epoll: select.epoll, pending: dict[int, _Get]) -> None:
        has_ended = False
        for number, _ in epoll.poll(0):
            get = pending[number]
            result = _go_on(get, epoll)
            if result is not None:
                self._end(pending, get, result)
                has_ended = True
        if has_ended:
            self._guard(self._after)

    def _drop_overdue(self, pending: dict[int, _Get]) -> None:
        now_ms = self._context.clock.now_ms()
        overdue = [get for get in pending.values() if now_ms >= get.deadline_ms]
        for get in overdue:
            self._end(pending, get, get.fail("timed out"))
        if overdue:
            self._guard(self._after)

    def _end(
        self, pending: dict[int, _Get], get: _Get, result: GetAnswer | Unavailable
    ) -> None:
        # Closing takes the socket off the epoll object too.
        del pending[get.sock.fileno()]
        get.sock.close()
        self._hand_over(get, result)

    def _hand_over(self, get: _Get, result: GetAnswer | Unavailable) -> None:
        self._guard(lambda: get.on_answer(result))

    def _guard(self, function: Callable[[], None]) -> None:
        # A fault at one answer must not keep the others of the batch from being read.
        try:
            function()
        except Exception:
            self._context.count("task_errors_total", "batched_gets")
            self._context.logger.exception("task {} failed", "batched_gets")


def _connect(address: str) -> socket.socket:
    host, port = _split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.connect((host, port))
    except BlockingIOError:
        # It is ready for writing once the connection is open, or has failed.
        return sock
    except OSError:
        sock.close()
        raise
    return sock


def _go_on(get: _Get, epoll: select.epoll) -> GetAnswer | Unavailable | None:
    """Send the request or read on; return the result, None if it is not there yet."""
    try:
        if not get.is_sent:
            get.sock.sendall(_request(get))
            get.is_sent = True
            epoll.modify(get.sock, select.EPOLLIN)
            return None
        return _read(get)
    except _TooLongError:
        reason = f"{get.address}{get.path} answered more than {MAX_BODY_BYTES} bytes"
        return AnswerTooLong(reason)
    except (OSError, HTTPException, ValueError) as error:
        return get.fail(error)


def _request(get: _Get) -> bytes:
    return (
        f"GET {get.path} HTTP/1.1\r\nHost: {get.address}\r\n"
        "Accept-Encoding: identity\r\nConnection: close\r\n\r\n"
    ).encode("ascii")


def _read(get: _Get) -> GetAnswer | None:
    is_end = False
    parts = [get.received]
    with suppress(BlockingIOError):
        while not is_end:
            part = get.sock.recv(CHUNK_BYTES)
            parts.append(part)
            is_end = not part
            if sum(map(len, parts)) > MAX_ANSWER_BYTES:
                raise _TooLongError
    get.received = b"".join(parts)
    if is_end or _seems_whole(get.received):
        return _parse(get.received)
    return None


def _seems_whole(received: bytes) -> bool:
    """Return whether an answer seems whole, for servers that close no connection."""
    head, end, body = received.partition(b"\r\n\r\n")
    length = _LENGTH.search(head + b"\r\n") if end else None
    if length:
        return len(body) >= int(length[1])
    return bool(end) and received.endswith(_LAST_CHUNK)


class _Received:
    """Gives received bytes the part of a socket that `HTTPResponse` reads."""

    __slots__ = ("_data",)

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, _mode: str) -> BytesIO:
        return BytesIO(self._data)


def _parse(received: bytes) -> GetAnswer:
    answer = _parse_plain(received) or _parse_any(received)
    if len(answer.body) > MAX_BODY_BYTES:
        raise _TooLongError
    return answer


def _parse_plain(received: bytes) -> GetAnswer | None:
    """Parse an answer that says how long it is and has nothing unusual in its head.

    The library below parses a head by the email package, which takes as long as all
    else that is done for a request.

    Args:
        received: What was received.

    Returns:
        The answer, None if only the library can tell what it is.
    """
    match = _PLAIN_HEAD.match(received)
    if match is None:
        return None
    fields = _FIELD.findall(match[2])
    headers = {name.decode().lower(): value.decode() for name, value in fields}
    is_plain = len(headers) == len(fields) and "transfer-encoding" not in headers
    length = headers.get("content-length", "")
    if not is_plain or not length.isdecimal() or len(length) > 9:
        return None
    body = received[match.end() : match.end() + int(length)]
    if len(body) < int(length):
        return None
    return GetAnswer(int(match[1]), headers, body)


def _parse_any(received: bytes) -> GetAnswer:
    if b"\r\n\r\n" not in received:
        # The library takes a head that breaks off for a whole one.
        raise HTTPException("the head breaks off")
    response = HTTPResponse(_Received(received))
    response.begin()
    body = response.read()
    headers = {name.lower(): value for name, value in response.headers.items()}
    return GetAnswer(response.status, headers, body)
