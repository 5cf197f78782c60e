"""One attempt at a call: a single request to one backend server.

Every attempt uses its own connection and closes it afterwards, so a late answer on a
silent connection never reaches another call.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet, green_socket, urllib3
from lagoonsail_core.socket_input import RESET_ON_CLOSE
from lagoonsail_router.answer_input import BoundedConnection
from lagoonsail_router.body_parts import join_part
from lagoonsail_router.event_stream import END_OF_EVENT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonsail_core.clock import Clock
    from lagoonsail_core.messages import SlotGrant
    from lagoonsail_router.answer_holding import HeldAnswer
    from lagoonsail_router.call import Call

CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a connection, in seconds as urllib3 expects it."""
STREAM_IDLE_TIMEOUT_S = 10.0
"""Longest pause within a stream before it counts as broken."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longest answer that is forwarded in one piece."""
MAX_PART_BYTES = 65_536
"""Largest part of an answer that is read at once."""
MAX_EVENT_BYTES = 1 << 20
"""Longest event of a stream, which is held until it is whole."""
MAX_TOKENS = 1e9
"""Highest token count accepted from an answer."""
ID_PATTERN = re.compile("[A-Za-z0-9._~-]{1,200}")
"""Valid completion IDs, which become part of a path."""
MAX_RESUMES = 3
"""Number of times that one stream may be resumed."""
END_OF_STREAM = b"data: [DONE]"
"""Last event of a complete stream."""

_DROPPED_RESPONSE_HEADERS = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
}
CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    urllib3.connection.HTTPException,
    OSError,
    ValueError,
)
"""Errors raised by a connection without a pool, which would wrap library errors."""


class NotSentError(Exception):
    """No byte of the request reached the server."""


class IncompleteAnswerError(Exception):
    """The request was sent, but no complete answer arrived."""


class AnswerTimeoutError(IncompleteAnswerError):
    """The answer did not arrive within the timeout."""


class FencedError(Exception):
    """The server refused the request for its outdated epoch, without running it."""


@dataclass(slots=True)
class Measurement:
    """Cost and times of an attempt so far."""

    cost: float = 0.0
    """Cost in the service's unit."""
    server_incarnation: str = ""
    """Incarnation reported by the server."""
    sent_ms: float = 0.0
    """Monotonic time at which the request was sent."""
    first_ms: float = 0.0
    """Time from sending to the head of the answer."""
    duration_ms: float = 0.0
    """Time from sending to the end of the answer."""


@dataclass(slots=True)
class Answer:
    """The head of an answer, and its body unless it is a stream."""

    status: int
    """HTTP status."""
    headers: list[tuple[str, str]]
    """Headers to forward to the caller."""
    body: bytes | bytearray = b""
    """Body, empty for a stream."""


@dataclass(slots=True)
class _StreamState:
    completion_id: str = ""
    events: int = 0
    is_done: bool = False
    partial_event: bytearray = field(default_factory=bytearray)


class Attempt:
    """One request to one backend server."""

    __slots__ = (
        "_address",
        "_call",
        "_clock",
        "_connection",
        "_grant",
        "_held_answer",
        "_response",
        "_sock",
        "measurement",
    )

    measurement: Measurement
    """Cost and times, reported to the owner."""

    def __init__(
        self,
        call: Call,
        grant: SlotGrant,
        address: str,
        clock: Clock,
        held_answer: HeldAnswer | None = None,
    ) -> None:
        self._held_answer = held_answer
        self._call = call
        self._grant = grant
        self._address = address
        self._clock = clock
        self._connection = None
        self._response = None
        # The connection drops its reference to the socket once the answer starts.
        self._sock = None
        self.measurement = Measurement()

    def connect(self) -> None:
        """Open the connection without sending anything.

        Raises:
            NotSentError: If the server cannot be reached.
        """
        host, port = self._address.rsplit(":", 1)
        options = [
            (green_socket.IPPROTO_TCP, green_socket.TCP_NODELAY, 1),
            # What is unsent of a request that is given up must not arrive later.
            (green_socket.SOL_SOCKET, green_socket.SO_LINGER, RESET_ON_CLOSE),
        ]
        self._connection = BoundedConnection(
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
            The answer; its body is empty if a stream has started.

        Raises:
            AnswerTimeoutError: If no complete answer arrived within the timeout.
            IncompleteAnswerError: If the answer is incomplete or malformed.
            FencedError: If the server refused the epoch.
        """
        timeout_s = self._call.document.request_timeout_ms / 1000.0
        # The socket's own timeout restarts with every byte received.
        with eventlet.Timeout(timeout_s, AnswerTimeoutError("no whole answer in time")):
            return self._send(timeout_s)

    def _send(self, timeout_s: float) -> Answer:
        call = self._call
        headers = self._headers()
        # urllib3 applies the connection's timeout again when the answer starts.
        self._connection.timeout = timeout_s
        self._sock.settimeout(timeout_s)
        self.measurement.sent_ms = self._clock.now_ms()
        self._response = self._exchange(call.method, call.path, call.body, headers)
        answer = self._read_head()
        if answer.status == 412 and self._checks_fencing():
            raise FencedError(
                "the server has seen a later epoch and refused the request"
            )
        if call.is_stream and answer.status == 200:
            self._sock.settimeout(min(timeout_s, STREAM_IDLE_TIMEOUT_S))
            return answer
        answer.body = self._read_body()
        self._measure_cost(answer)
        return answer

    def events(self) -> Iterator[bytes]:
        """Yield the stream in complete events, resuming it where it broke.

        Yields:
            Bytes that end with a complete event.

        Raises:
            IncompleteAnswerError: If the stream broke and could not be resumed.
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
                raise IncompleteAnswerError(str(reason))
        self.measurement.duration_ms = self._clock.now_ms() - self.measurement.sent_ms

    def close(self) -> None:
        """Close the connection, which cancels the request at a model engine."""
        if self._response is not None:
            self._response.close()
        if self._connection is not None:
            self._connection.close()

    def abort(self) -> None:
        """Interrupt the task that reads the answer; callable from another task."""
        if self._sock is None:
            return
        try:
            # The end of the output would be sent behind what is unsent.
            self._sock.shutdown(green_socket.SHUT_RD)
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
            raise AnswerTimeoutError("no answer in time") from error
        except CONNECTION_ERRORS as error:
            raise IncompleteAnswerError(str(error)) from error

    def _read_head(self) -> Answer:
        response = self._response
        self.measurement.first_ms = self._clock.now_ms() - self.measurement.sent_ms
        incarnation = response.headers.get("X-Server-Incarnation", "")
        self.measurement.server_incarnation = incarnation
        headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _DROPPED_RESPONSE_HEADERS
        ]
        return Answer(response.status, headers)

    def _read_body(self) -> bytes | bytearray:
        if not self._response.chunked and self._response.length_remaining is None:
            raise IncompleteAnswerError("the answer does not say how long it is")
        body: bytes | bytearray = b""
        try:
            for part in self._response.stream(MAX_PART_BYTES, decode_content=False):
                self._connection.answer_input.note_body()
                # Small parts would each be an object of many times their length.
                body = join_part(body, part)
                if self._held_answer is not None:
                    self._held_answer.hold(len(part))
                if len(body) > MAX_ANSWER_BYTES:
                    raise IncompleteAnswerError(
                        f"answer above {MAX_ANSWER_BYTES} bytes"
                    )
        except urllib3.exceptions.ReadTimeoutError as error:
            raise AnswerTimeoutError("the answer stopped midway") from error
        except CONNECTION_ERRORS as error:
            raise IncompleteAnswerError(str(error)) from error
        if self._held_answer is not None:
            self._held_answer.finish()
        return body

    def _measure_cost(self, answer: Answer) -> None:
        measurement = self.measurement
        measurement.duration_ms = self._clock.now_ms() - measurement.sent_ms
        if self._call.document.kind != "engine":
            measurement.cost = measurement.duration_ms
            return
        measurement.cost = _read_token_count(_parse_object(answer.body)) or 0.0

    def _read_events(self, state: _StreamState) -> Iterator[bytes]:
        for chunk in self._chunks():
            self._connection.answer_input.note_body()
            complete_events = _take_events(state.partial_event, chunk)
            if len(state.partial_event) > MAX_EVENT_BYTES:
                raise IncompleteAnswerError(f"event above {MAX_EVENT_BYTES} bytes")
            if not complete_events:
                continue
            self._count_events(state, complete_events)
            yield complete_events
            if state.is_done:
                return

    def _chunks(self) -> Iterator[bytes]:
        if self._response.chunked:
            return self._response.read_chunked(MAX_PART_BYTES, decode_content=False)
        return self._response.stream(MAX_PART_BYTES, decode_content=False)

    def _count_events(self, state: _StreamState, complete_events: bytes) -> None:
        if not state.completion_id:
            state.completion_id = _find_completion_id(complete_events)
        state.is_done = END_OF_STREAM in complete_events
        events = complete_events.count(END_OF_EVENT) - state.is_done
        # Some engines send an empty usage in every event.
        usage = _find_usage(complete_events) if b'"usage"' in complete_events else None
        if usage is not None:
            events -= 1
        state.events += events
        self.measurement.cost += events
        if usage:
            self.measurement.cost = usage

    def _resume(self, state: _StreamState) -> bool:
        if not state.completion_id:
            return False
        self.close()
        state.partial_event.clear()
        path = f"/v1/completions/{state.completion_id}/resume?after={state.events}"
        try:
            self.connect()
            self._connection.timeout = STREAM_IDLE_TIMEOUT_S
            self._sock.settimeout(STREAM_IDLE_TIMEOUT_S)
            self._response = self._exchange("POST", path, b"", self._headers())
        except (NotSentError, IncompleteAnswerError):
            return False
        return self._response.status == 200


def _take_events(partial_event: bytearray, chunk: bytes) -> bytes:
    r"""Add a chunk to an incomplete event; remove and return the complete events.

    Only the new bytes are searched, since a long event may come in very small chunks.

    Args:
        partial_event: The incomplete event, which is changed.
        chunk: The next bytes of the stream.

    Example:
        >>> partial_event = bytearray(b"id: 1\n")
        >>> _take_events(partial_event, b"\nid: 2"), bytes(partial_event)
        (b'id: 1\n\n', b'id: 2')
    """
    start = max(0, len(partial_event) - len(END_OF_EVENT) + 1)
    partial_event += chunk
    end = partial_event.rfind(END_OF_EVENT, start)
    if end < 0:
        return b""
    end += len(END_OF_EVENT)
    events = bytes(partial_event[:end])
    del partial_event[:end]
    return events


def _parse_object(text: bytes) -> dict:
    """Return the JSON object in a text, or an empty one if there is none."""
    try:
        payload = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    return payload if isinstance(payload, dict) else {}


def _event_payloads(complete_events: bytes) -> Iterator[dict]:
    for event in complete_events.split(END_OF_EVENT):
        yield _parse_object(event.removeprefix(b"data: "))


def _find_completion_id(complete_events: bytes) -> str:
    for payload in _event_payloads(complete_events):
        completion_id = payload.get("id")
        if isinstance(completion_id, str) and ID_PATTERN.fullmatch(completion_id):
            return completion_id
    return ""


def _find_usage(complete_events: bytes) -> float | None:
    for payload in _event_payloads(complete_events):
        if isinstance(payload.get("usage"), dict) and not payload.get("choices"):
            return _read_token_count(payload) or 0.0
    return None


def _read_token_count(payload: dict) -> float | None:
    """Return the token count of an answer, None if it is missing or implausible.

    The count is sent to the shard's owner, whose stream closes on a malformed number.
    """
    usage = payload.get("usage")
    tokens = usage.get("completion_tokens") if isinstance(usage, dict) else None
    is_number = type(tokens) in (int, float) and 0 <= tokens <= MAX_TOKENS
    return float(tokens) if is_number else None
