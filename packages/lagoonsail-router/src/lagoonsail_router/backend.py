"""One attempt to have a backend server answer a call.

Every attempt has a connection of its own, which is closed afterwards. A connection
that went silent, or on which an answer is overdue, can so never carry the answer to
another call.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet, green_socket, urllib3
from lagoonsail_router.event_stream import END_OF_EVENT, split_events

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonsail_core.clock import Clock
    from lagoonsail_core.messages import SlotGrant
    from lagoonsail_router.call import Call

CONNECT_TIMEOUT_S = 1.0
"""Time allowed for a connection, in seconds as urllib3 takes it."""
STREAM_SILENCE_S = 10.0
"""Longest pause within a stream before it is taken for dead."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longest answer that is passed on in one piece."""
MAX_TOKENS = 1e9
"""Most tokens that an answer may say it has."""
ID_PATTERN = re.compile("[A-Za-z0-9._~-]{1,200}")
"""What the id of a completion may look like, since it becomes part of a path."""
MAX_RESUMES = 3
"""How often one stream is resumed."""
END_OF_STREAM = b"data: [DONE]"
"""Last event of a whole stream."""

_NOT_PASSED_BACK = {"connection", "keep-alive", "transfer-encoding", "content-length"}
CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    urllib3.connection.HTTPException,
    OSError,
    ValueError,
)
"""What a connection raises without a pool, which would wrap the errors of the library
below it."""


class NotSentError(Exception):
    """No byte of the request reached the server."""


class BrokenError(Exception):
    """The request was sent and its whole answer did not come."""


class OverdueError(BrokenError):
    """The answer did not come in time."""


class FencedError(Exception):
    """The server refused the request because of its epoch, without running it."""


@dataclass(slots=True)
class Measurement:
    """What an attempt has shown so far."""

    cost: float = 0.0
    """Cost in the service's unit."""
    server_incarnation: str = ""
    """Incarnation that the server reported."""
    sent_ms: float = 0.0
    """When the request was sent."""
    first_ms: float = 0.0
    """Time until the first byte of the answer."""
    duration_ms: float = 0.0
    """Time until the end."""


@dataclass(slots=True)
class Answer:
    """The head of an answer, and its body where it came in one piece."""

    status: int
    """HTTP status."""
    headers: list[tuple[str, str]]
    """Headers to pass back."""
    body: bytes = b""
    """Whole body, empty for a stream."""


@dataclass(slots=True)
class _StreamState:
    completion_id: str = ""
    events: int = 0
    is_done: bool = False
    rest: bytes = field(default=b"")


class Attempt:
    """One request to one backend server."""

    __slots__ = (
        "_address",
        "_call",
        "_clock",
        "_connection",
        "_grant",
        "_response",
        "_sock",
        "measured",
    )

    measured: Measurement
    """Cost and times, for the owner."""

    def __init__(
        self, call: Call, grant: SlotGrant, address: str, clock: Clock
    ) -> None:
        self._call = call
        self._grant = grant
        self._address = address
        self._clock = clock
        self._connection = None
        self._response = None
        # The connection itself lets go of its socket once the answer has begun.
        self._sock = None
        self.measured = Measurement()

    def connect(self) -> None:
        """Open the connection; nothing is sent yet.

        Raises:
            NotSentError: If the server cannot be reached.
        """
        host, port = self._address.rsplit(":", 1)
        options = [(green_socket.IPPROTO_TCP, green_socket.TCP_NODELAY, 1)]
        self._connection = urllib3.connection.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S, socket_options=options
        )
        try:
            self._connection.connect()
        except CONNECTION_ERRORS as error:
            self.close()
            raise NotSentError(str(error)) from error
        self._sock = self._connection.sock

    def send(self) -> Answer:
        """Send the request and read the head of the answer.

        Returns:
            The answer; its body is empty if the call is a stream that began.

        Raises:
            OverdueError: If no answer came in time.
            BrokenError: If the answer broke off.
            FencedError: If the server refused the epoch.
        """
        timeout_s = self._call.document.request_timeout_ms / 1000.0
        # The timeout of the socket starts anew with each byte that comes.
        with eventlet.Timeout(timeout_s, OverdueError("no whole answer in time")):
            return self._send(timeout_s)

    def _send(self, timeout_s: float) -> Answer:
        call = self._call
        headers = self._headers()
        # urllib3 sets the timeout of the connection anew when the answer begins.
        self._connection.timeout = timeout_s
        self._sock.settimeout(timeout_s)
        self.measured.sent_ms = self._clock.now_ms()
        self._response = self._exchange(call.method, call.path, call.body, headers)
        answer = self._read_head()
        if answer.status == 412 and self._checks_fencing():
            raise FencedError("the server has seen a later owner")
        if call.is_stream and answer.status == 200:
            self._sock.settimeout(min(timeout_s, STREAM_SILENCE_S))
            return answer
        answer.body = self._read_whole()
        self._measure_whole(answer)
        return answer

    def events(self) -> Iterator[bytes]:
        """Yield the stream in whole events, resumed where it broke.

        Yields:
            Bytes that end at the end of an event.

        Raises:
            BrokenError: If the stream broke and could not be resumed.
        """
        state = _StreamState()
        resumes = 0
        while True:
            try:
                yield from self._read_events(state)
            except CONNECTION_ERRORS as error:
                reason = error
            else:
                reason = "the stream ended without its last event"
            if state.is_done:
                break
            resumes += 1
            if resumes > MAX_RESUMES or not self._resume(state):
                raise BrokenError(str(reason))
        self.measured.duration_ms = self._clock.now_ms() - self.measured.sent_ms

    def close(self) -> None:
        """Close the connection, which cancels the request at a model engine."""
        if self._response is not None:
            self._response.close()
        if self._connection is not None:
            self._connection.close()

    def abort(self) -> None:
        """Wake whoever reads the answer; may be called from another task."""
        if self._sock is None:
            return
        try:
            self._sock.shutdown(green_socket.SHUT_RDWR)
        except OSError:
            return

    def _checks_fencing(self) -> bool:
        server = self._call.document.servers.get(self._grant.server)
        return server is not None and server.checks_fencing

    def _headers(self) -> dict[str, str]:
        headers = dict(self._call.headers)
        headers["X-Request-Id"] = self._call.request_id
        headers["X-Lagoonsail-Epoch"] = str(self._grant.epoch)
        headers["X-Lagoonsail-Shard"] = self._grant.shard
        headers["Connection"] = "close"
        if self._call.idempotency_key:
            headers["Idempotency-Key"] = self._call.idempotency_key
        return headers

    def _exchange(self, method: str, path: str, body: bytes, headers: dict) -> object:
        try:
            self._connection.request(
                method,
                path,
                body=body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            return self._connection.getresponse()
        except TimeoutError as error:
            raise OverdueError("no answer in time") from error
        except CONNECTION_ERRORS as error:
            raise BrokenError(str(error)) from error

    def _read_head(self) -> Answer:
        response = self._response
        self.measured.first_ms = self._clock.now_ms() - self.measured.sent_ms
        incarnation = response.headers.get("X-Server-Incarnation", "")
        self.measured.server_incarnation = incarnation
        headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _NOT_PASSED_BACK
        ]
        return Answer(response.status, headers)

    def _read_whole(self) -> bytes:
        if not self._response.chunked and self._response.length_remaining is None:
            raise BrokenError("the answer does not say how long it is")
        parts = []
        size = 0
        try:
            for part in self._response.stream(65_536, decode_content=False):
                parts.append(part)
                size += len(part)
                if size > MAX_ANSWER_BYTES:
                    raise BrokenError(f"answer above {MAX_ANSWER_BYTES} bytes")
        except urllib3.exceptions.ReadTimeoutError as error:
            raise OverdueError("the answer stopped midway") from error
        except CONNECTION_ERRORS as error:
            raise BrokenError(str(error)) from error
        return b"".join(parts)

    def _measure_whole(self, answer: Answer) -> None:
        measured = self.measured
        measured.duration_ms = self._clock.now_ms() - measured.sent_ms
        if self._call.document.kind != "engine":
            measured.cost = measured.duration_ms
            return
        measured.cost = _tokens_of(_decode(answer.body)) or 0.0

    def _read_events(self, state: _StreamState) -> Iterator[bytes]:
        for chunk in self._chunks():
            whole, state.rest = split_events(state.rest + chunk)
            if not whole:
                continue
            self._note_events(state, whole)
            yield whole
            if state.is_done:
                return

    def _chunks(self) -> Iterator[bytes]:
        if self._response.chunked:
            return self._response.read_chunked(decode_content=False)
        return self._response.stream(65_536, decode_content=False)

    def _note_events(self, state: _StreamState, whole: bytes) -> None:
        if not state.completion_id:
            state.completion_id = _find_completion_id(whole)
        state.is_done = END_OF_STREAM in whole
        events = whole.count(END_OF_EVENT) - state.is_done
        # Some engines carry an empty usage in every event.
        usage = _find_usage(whole) if b'"usage"' in whole else None
        if usage is not None:
            events -= 1
        state.events += events
        self.measured.cost += events
        if usage:
            self.measured.cost = usage

    def _resume(self, state: _StreamState) -> bool:
        if not state.completion_id:
            return False
        self.close()
        state.rest = b""
        path = f"/v1/completions/{state.completion_id}/resume?after={state.events}"
        try:
            self.connect()
            self._connection.timeout = STREAM_SILENCE_S
            self._sock.settimeout(STREAM_SILENCE_S)
            self._response = self._exchange("POST", path, b"", self._headers())
        except (NotSentError, BrokenError):
            return False
        return self._response.status == 200


def _decode(text: bytes) -> dict:
    """Return a JSON object, empty if the text is none."""
    try:
        payload = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    return payload if isinstance(payload, dict) else {}


def _payloads(whole: bytes) -> Iterator[dict]:
    for event in whole.split(END_OF_EVENT):
        yield _decode(event.removeprefix(b"data: "))


def _find_completion_id(whole: bytes) -> str:
    for payload in _payloads(whole):
        completion_id = payload.get("id")
        if isinstance(completion_id, str) and ID_PATTERN.fullmatch(completion_id):
            return completion_id
    return ""


def _find_usage(whole: bytes) -> float | None:
    for payload in _payloads(whole):
        if isinstance(payload.get("usage"), dict) and not payload.get("choices"):
            return _tokens_of(payload) or 0.0
    return None


def _tokens_of(payload: dict) -> float | None:
    """Return the tokens of an answer; what is no plausible number is none.

    The cost goes to the owner of the shard, whose stream closes on what is no number.
    """
    usage = payload.get("usage")
    tokens = usage.get("completion_tokens") if isinstance(usage, dict) else None
    is_number = type(tokens) in (int, float) and 0 <= tokens <= MAX_TOKENS
    return float(tokens) if is_number else None
