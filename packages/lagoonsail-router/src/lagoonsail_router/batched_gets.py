"""Concurrent HTTP GET requests to many servers from a single green thread.

With one green thread per request, each would wake up when its connection opens and when
its response arrives, and register with the hub each time, which costs more than the
request itself. Instead, the requests that are added within one turn of the hub form a
batch. One green thread opens their connections, waits for any of them, and processes
all that are ready.

Each request uses a new connection, which is closed afterwards: a reused one that has
gone dead, or that an old process of the server still holds, would hide the live server.
"""

from __future__ import annotations

import re
import select
import socket
from contextlib import suppress
from dataclasses import dataclass
from functools import lru_cache
from http.client import HTTPException
from io import BytesIO
from typing import TYPE_CHECKING

from lagoonsail_config.ini_keys import split_address
from lagoonsail_core.checked_http import CheckedResponse
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.context import RouterContext

MAX_BODY_BYTES = 262_144
"""Longest body that is read."""
MAX_RESPONSE_BYTES = MAX_BODY_BYTES + 65_536
"""Longest response that is read, including its head."""
GATHER_DELAY_MS = 4.0
"""Time from the first ready connection until all ready ones are processed."""
CHUNK_BYTES = 65_536
"""Bytes per read from a socket."""

_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n", re.IGNORECASE)
_FINAL_CHUNK = b"\r\n0\r\n\r\n"
# Heads that match are parsed to the same result as by `http.client`.
_SIMPLE_HEAD = re.compile(
    rb"HTTP/1\.[01] (200|[45][0-9]{2}) [ -~]*\r\n"
    rb"((?:[A-Za-z][A-Za-z0-9-]*:[ \t]*[!-~][ -~]*\r\n){1,50}+)\r\n"
)
_FIELD = re.compile(rb"([^:]+):[ \t]*([^\r]*)\r\n")

_split_address = lru_cache(maxsize=4096)(split_address)


@dataclass(slots=True)
class GetResponse:
    """A complete response to a GET request."""

    status: int
    """HTTP status."""
    headers: dict[str, str]
    """Headers by name in lower case."""
    body: bytes
    """Complete body."""


class ResponseTooLong(Unavailable):
    """The server responds with more than `MAX_BODY_BYTES`."""

    __slots__ = ()


class _ResponseTooLongError(Exception):
    """The response exceeds `MAX_RESPONSE_BYTES` or its body `MAX_BODY_BYTES`."""


@dataclass(slots=True, eq=False)
class _Get:
    address: str
    path: str
    deadline_ms: float
    on_response: Callable[[GetResponse | Unavailable], None]
    sock: socket.socket | None = None
    is_sent: bool = False
    received: bytes = b""

    def make_failure(self, reason: object) -> Unavailable:
        return Unavailable(f"GET {self.address}{self.path} failed: {reason}")


class BatchedGets:
    """Sends GET requests in batches, and calls back with each response."""

    __slots__ = ("_context", "_on_delivered", "_queued")

    def __init__(
        self, context: RouterContext, on_delivered: Callable[[], None]
    ) -> None:
        """Start without requests.

        Args:
            context: The router's shared state.
            on_delivered: Called after each round in which responses were delivered.
        """
        self._context = context
        self._on_delivered = on_delivered
        self._queued: list[_Get] = []

    def add(
        self,
        address: str,
        path: str,
        timeout_ms: float,
        on_response: Callable[[GetResponse | Unavailable], None],
    ) -> None:
        """Send a request in one batch with those added before the hub's next turn.

        Args:
            address: IP address and port of the server.
            path: Path and query.
            timeout_ms: Time from now for the complete response.
            on_response: Called once, in another green thread, with the response or with
                why there is none. It must not block.
        """
        deadline_ms = self._context.clock.now_ms() + timeout_ms
        self._queued.append(_Get(address, path, deadline_ms, on_response))
        if len(self._queued) == 1:
            eventlet.spawn_n(self._run_batch)

    def _run_batch(self) -> None:
        gets, self._queued = self._queued, []
        epoll = select.epoll()
        pending: dict[int, _Get] = {}
        try:
            self._open_all(gets, epoll, pending)
            while pending:
                self._wait(epoll, pending)
                self._process_ready(epoll, pending)
                self._expire_overdue(pending)
        finally:
            for get in pending.values():
                get.sock.close()
            epoll.close()

    def _open_all(
        self, gets: list[_Get], epoll: select.epoll, pending: dict[int, _Get]
    ) -> None:
        any_failed = False
        for get in gets:
            try:
                get.sock = _connect(get.address)
            except (OSError, ValueError) as error:
                any_failed = True
                self._deliver(get, get.make_failure(error))
                continue
            pending[get.sock.fileno()] = get
            epoll.register(get.sock, select.EPOLLOUT)
        if any_failed:
            self._call_guarded(self._on_delivered)

    def _wait(self, epoll: select.epoll, pending: dict[int, _Get]) -> None:
        earliest_ms = min(get.deadline_ms for get in pending.values())
        remaining_ms = max(0.0, earliest_ms - self._context.clock.now_ms())
        with suppress(TimeoutError):
            eventlet.hubs.trampoline(
                epoll.fileno(),
                read=True,
                timeout=remaining_ms / 1000.0,
                timeout_exc=TimeoutError,
            )
        if len(pending) > 1:
            # A turn of the hub costs more than processing one more connection.
            eventlet.sleep(min(GATHER_DELAY_MS, remaining_ms) / 1000.0)

    def _process_ready(self, epoll: select.epoll, pending: dict[int, _Get]) -> None:
        any_finished = False
        for fd, _ in epoll.poll(0):
            get = pending[fd]
            result = _advance(get, epoll)
            if result is not None:
                self._finish(pending, get, result)
                any_finished = True
        if any_finished:
            self._call_guarded(self._on_delivered)

    def _expire_overdue(self, pending: dict[int, _Get]) -> None:
        now_ms = self._context.clock.now_ms()
        overdue = [get for get in pending.values() if now_ms >= get.deadline_ms]
        for get in overdue:
            self._finish(pending, get, get.make_failure("timed out"))
        if overdue:
            self._call_guarded(self._on_delivered)

    def _finish(
        self, pending: dict[int, _Get], get: _Get, result: GetResponse | Unavailable
    ) -> None:
        # Closing the socket also removes it from the epoll object.
        del pending[get.sock.fileno()]
        get.sock.close()
        self._deliver(get, result)

    def _deliver(self, get: _Get, result: GetResponse | Unavailable) -> None:
        self._call_guarded(lambda: get.on_response(result))

    def _call_guarded(self, function: Callable[[], None]) -> None:
        # A callback that raises must not stop the rest of the batch.
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
        # The socket becomes writable once the connection is open or has failed.
        return sock
    except OSError:
        sock.close()
        raise
    return sock


def _advance(get: _Get, epoll: select.epoll) -> GetResponse | Unavailable | None:
    """Send the request or read more; return the result, or None while incomplete."""
    try:
        if not get.is_sent:
            get.sock.sendall(_request(get))
            get.is_sent = True
            epoll.modify(get.sock, select.EPOLLIN)
            return None
        return _read(get)
    except _ResponseTooLongError:
        reason = f"GET {get.address}{get.path}: response exceeds {MAX_BODY_BYTES} bytes"
        return ResponseTooLong(reason)
    except (OSError, HTTPException, ValueError) as error:
        return get.make_failure(error)


def _request(get: _Get) -> bytes:
    return (
        f"GET {get.path} HTTP/1.1\r\nHost: {get.address}\r\n"
        "Accept-Encoding: identity\r\nConnection: close\r\n\r\n"
    ).encode("ascii")


def _read(get: _Get) -> GetResponse | None:
    is_eof = False
    chunks = [get.received]
    with suppress(BlockingIOError):
        while not is_eof:
            chunk = get.sock.recv(CHUNK_BYTES)
            chunks.append(chunk)
            is_eof = not chunk
            if sum(map(len, chunks)) > MAX_RESPONSE_BYTES:
                raise _ResponseTooLongError
    get.received = b"".join(chunks)
    if is_eof or _looks_complete(get.received):
        return _parse(get.received)
    return None


def _looks_complete(received: bytes) -> bool:
    """Return whether a response looks complete, for servers that keep it open."""
    head, end, body = received.partition(b"\r\n\r\n")
    length = _LENGTH.search(head + b"\r\n") if end else None
    if length:
        return len(body) >= int(length[1])
    return bool(end) and received.endswith(_FINAL_CHUNK)


class _BytesSocket:
    """Offers received bytes through the part of a socket that `HTTPResponse` uses."""

    __slots__ = ("_data",)

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, _mode: str) -> BytesIO:
        return BytesIO(self._data)


def _parse(received: bytes) -> GetResponse:
    response = _parse_simple(received) or _parse_with_library(received)
    if len(response.body) > MAX_BODY_BYTES:
        raise _ResponseTooLongError
    return response


def _parse_simple(received: bytes) -> GetResponse | None:
    """Parse a response with a Content-Length and an ordinary head.

    `http.client` parses heads with the email package, which takes as long as the rest
    of a request together.

    Args:
        received: Bytes of the response.

    Returns:
        The response, None if it has to be parsed with `http.client`.
    """
    match = _SIMPLE_HEAD.match(received)
    if match is None:
        return None
    fields = _FIELD.findall(match[2])
    headers = {name.decode().lower(): value.decode() for name, value in fields}
    is_simple = len(headers) == len(fields) and "transfer-encoding" not in headers
    length = headers.get("content-length", "")
    if not is_simple or not length.isdecimal() or len(length) > 9:
        return None
    body = received[match.end() : match.end() + int(length)]
    if len(body) < int(length):
        return None
    return GetResponse(int(match[1]), headers, body)


def _parse_with_library(received: bytes) -> GetResponse:
    response = CheckedResponse(_BytesSocket(received))
    response.begin()
    body = response.read()
    headers = {name.lower(): value for name, value in response.headers.items()}
    return GetResponse(response.status, headers, body)
