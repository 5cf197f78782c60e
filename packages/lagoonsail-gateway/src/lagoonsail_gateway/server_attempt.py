"""One attempt to get a response to a request from a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_gateway.connection_pool import NoConnectionError
from lagoonsail_gateway.manifest import STREAMING
from lagoonsail_gateway.request_format import HOP_BY_HOP_HEADERS
from lagoonsail_gateway.server_connection import (
    CROWDED_READ_BYTES,
    MAX_READ_BYTES,
    ConnectFailedError,
    ConnectionLostError,
)
from lagoonsail_overload.byte_budget import ANSWERS, UNREAD
from lagoonsail_router.event_stream import (
    MAX_EVENT_END_BYTES,
    is_event_end,
    split_events,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonsail_gateway.connection_pool import ConnectionPool
    from lagoonsail_gateway.dispatcher import Dispatcher
    from lagoonsail_gateway.gateway_call import GatewayCall
    from lagoonsail_gateway.request_format import Headers, RequestFormat, ResponseHead
    from lagoonsail_gateway.running_request import RunningRequest
    from lagoonsail_gateway.server_connection import Response, ServerConnection
    from lagoonsail_gateway.server_state import ServerState
    from lagoonsail_router.context import RouterContext

UNREACHABLE = "unreachable"
"""The request was not sent."""
NO_CONNECTION = "no_connection"
"""The request was not sent, because this router may open no connection now."""
NOT_RUN_BY_SERVER = "not_run"
"""The server states that it did not run the request."""
LOST = "lost"
"""The request was sent, but no complete valid response was received."""
TIMED_OUT = "overdue"
"""The request was sent, but the response was not complete at its deadline."""
LEFT_UNREAD = "unread"
"""The server cut off a response that the caller left unread for long."""
CALLER_GONE = "gone"
"""The caller closed its connection, and the request was cancelled."""

MAX_BUFFERED_BYTES = 1 << 20
"""Maximum size of a response body that is buffered, so that the request can be retried
if the body is incomplete."""
MAX_EVENT_BYTES = 1 << 20
"""Maximum size of one event of a resumable stream, which is held until it is whole."""
REFUSAL_DRAIN_MS = 20.0
"""Time for the body of a refusal to arrive, so that its connection can be reused. The
head of the refusal is sufficient, and the body may never end."""
UNREAD_MS = 1000.0
"""Time for which a caller leaves a part of a response unread, from which on the server
may cut the response off without being at fault."""
UNREAD_EXCUSE_MS = 5000.0
"""Time after that in which the end of the response is put down to the caller: what the
server had sent before it cut the response off may still arrive."""
UNREAD_COPIES = 2
"""Copies of a part of a response while it is written: as received, and framed."""
MIN_COUNTED_BYTES = 4096
"""Size from which an unread part is counted; a connection has room for shorter ones."""
DEADLINE_GRACE_MS = 100.0
"""Time beyond the deadline in which a response that the server sent at the deadline may
arrive."""


class AttemptFailedError(Exception):
    """An attempt yielded no response that can be forwarded to the caller."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        """UNREACHABLE, NO_CONNECTION, NOT_RUN_BY_SERVER, LOST, TIMED_OUT,
        LEFT_UNREAD or CALLER_GONE."""
        self.reason = reason
        """Description of the failure."""


class ServerAttempt:
    """A request sent to one server on a connection that it holds exclusively."""

    __slots__ = (
        "_buffered_bytes",
        "_connection",
        "_context",
        "_dispatcher",
        "_format",
        "_is_aborted",
        "_is_caller_gone",
        "_pool",
        "_response_head",
        "_running_request",
        "_unread_excuse_until_ms",
        "body",
        "call",
        "first_ms",
        "response",
        "selection_load",
        "state",
    )

    response: Response | None
    """The response once its head has been received, else None."""
    body: bytes
    """The body, or the part of it, that `buffer_body` has read."""
    selection_load: dict[str, object]
    """Load values on which the selection of the server was based, for the log."""
    first_ms: float
    """When the first part of the body was received, 0 until then."""
    state: ServerState
    """The server."""

    def __init__(
        self,
        context: RouterContext,
        request_format: RequestFormat,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        call: GatewayCall,
        state: ServerState,
        is_caller_gone: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create the attempt without sending anything.

        Args:
            context: Clock, counters and timeline.
            request_format: Encodes the request and decodes the head of the response.
            dispatcher: Learns of the request's course.
            pool: Connections to servers.
            call: The request.
            state: The server.
            is_caller_gone: Returns whether the caller has closed its connection.
        """
        self._is_caller_gone = is_caller_gone
        self._buffered_bytes = 0
        self._context = context
        self._format = request_format
        self._dispatcher = dispatcher
        self._pool = pool
        self._connection: ServerConnection | None = None
        self._running_request: RunningRequest | None = None
        self._response_head: ResponseHead | None = None
        self._is_aborted = False
        self._unread_excuse_until_ms = 0.0
        self.call = call
        self.state = state
        self.response = None
        self.body = b""
        self.first_ms = 0.0
        self.selection_load: dict[str, object] = {}

    def send(self) -> None:
        """Send the request and read the head of the response.

        Raises:
            AttemptFailedError: If there is no response that can be forwarded.
        """
        call = self.call
        call.tried_server_ids.add(self.state.server.record.server_id)
        self._running_request = self._dispatcher.start_request(call, self.state)
        self.selection_load = self._running_request.describe()
        connection = self._connect()
        call.send_count += 1
        call.possible_runs += 1
        self._running_request.record_sent()
        try:
            connection.send(
                self._request_head(), self._response_deadline_ms(), call.body
            )
            response = connection.read_head(
                self._response_deadline_ms(), self._is_expected
            )
        except ConnectionLostError as error:
            raise self._fail(error) from error
        self._running_request.record_data()
        if call.method == "HEAD":
            connection.discard_body(response)
        self._check_head(response)
        self.response = response

    def buffer_body(self) -> None:
        """Read the body until it is complete, or as far as it may be held.

        That is `MAX_BUFFERED_BYTES`, or less while other requests hold much.

        Raises:
            AttemptFailedError: If the body ends early or its deadline passes.
        """
        parts = []
        is_held = False
        try:
            while part := self._connection.read_body(
                self.response, self._response_deadline_ms()
            ):
                parts.append(part)
                self._buffered_bytes += len(part)
                may_hold_more = self._pool.buffers.add(ANSWERS, len(part))
                if not may_hold_more:
                    self._context.count("answers_not_buffered_total")
                if not may_hold_more or self._buffered_bytes > MAX_BUFFERED_BYTES:
                    break
            is_held = True
        except ConnectionLostError as error:
            self.response = None
            raise self._fail(error) from error
        finally:
            if not is_held:
                self.release_buffer()
        self.body = b"".join(parts)
        self._record_first_part()
        if self.response.is_complete:
            self._finish_response(is_success=self.response.status < 500)

    def release_buffer(self) -> None:
        """Let go of the part of the body that `buffer_body` has read."""
        self.body = b""
        if self._buffered_bytes:
            self._pool.buffers.remove(ANSWERS, self._buffered_bytes)
            self._buffered_bytes = 0

    def is_complete(self) -> bool:
        """Return whether the whole body has been read."""
        return self.response.is_complete

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body as it arrives, only complete events of a resumable stream.

        Raises:
            AttemptFailedError: If the body ends early or its deadline passes.
        """
        try:
            if self.body:
                yield from self._pass_on(self.body)
        finally:
            self.release_buffer()
        partial_event = b""
        tail = b""
        try:
            while part := self._read_next_part():
                self._record_first_part()
                self._running_request.record_data()
                is_long = len(part) >= MAX_EVENT_END_BYTES
                tail = (part if is_long else tail + part)[-MAX_EVENT_END_BYTES:]
                if self._is_resumable():
                    part, partial_event = split_events(partial_event + part)
                    self._hold_partial_event(len(partial_event))
                    self._update_last_event_id(part)
                if part:
                    yield from self._pass_on(part)
            if self.is_event_stream() and not is_event_end(tail):
                raise ConnectionLostError("the stream ended inside an event")
        except ConnectionLostError as error:
            raise self._fail(error) from error
        finally:
            self.release_buffer()
        if partial_event:
            yield partial_event
        self._finish_response(is_success=True)

    def is_event_stream(self) -> bool:
        """Return whether the response is a stream of events, of which the head came."""
        return self.call.route.kind == STREAMING and self.response.status == 200

    def _is_resumable(self) -> bool:
        """Return whether another run may go on where the response breaks off."""
        return self.call.route.is_resumable and self.is_event_stream()

    def headers_to_forward(self) -> Headers:
        """Return the response headers without the hop-by-hop ones."""
        return [
            (name, value)
            for name, value in self.response.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]

    def abort(self) -> None:
        """Cancel the request of a caller that has gone; callable from any task."""
        self._is_aborted = True
        if self._connection is not None:
            self._connection.abort()

    def cancel(self) -> None:
        """Close the connection unless the response is complete."""
        if self._connection is not None:
            self._connection.close()
            self._finish_request(is_success=None)

    # Parts of an attempt.

    def _read_next_part(self) -> bytes:
        is_ample = self._pool.buffers.is_ample()
        connection = self._connection
        connection.max_read_bytes = MAX_READ_BYTES if is_ample else CROWDED_READ_BYTES
        return connection.read_body(self.response, self._response_deadline_ms())

    def _hold_partial_event(self, size: int) -> None:
        """Count the part of an event that is held until the event is whole."""
        if size > MAX_EVENT_BYTES:
            raise ConnectionLostError("an event of the stream has no end")
        added_bytes = size - self._buffered_bytes
        if abs(added_bytes) < MIN_COUNTED_BYTES and size:
            return
        self._buffered_bytes = size
        may_hold_more = self._pool.buffers.add(ANSWERS, added_bytes)
        if added_bytes > 0 and not may_hold_more:
            self._context.count("answers_not_buffered_total")
            raise ConnectionLostError(
                "no memory is left for an event of the stream", is_local=True
            )

    def _pass_on(self, part: bytes) -> Iterator[bytes]:
        """Yield a part of the body; it counts until the caller has taken it."""
        size = UNREAD_COPIES * len(part) if len(part) >= MIN_COUNTED_BYTES else 0
        started_ms = self._context.clock.now_ms()
        self._pool.buffers.add(UNREAD, size)
        try:
            yield part
        finally:
            self._pool.buffers.remove(UNREAD, size)
            now_ms = self._context.clock.now_ms()
            if now_ms - started_ms >= UNREAD_MS:
                self._unread_excuse_until_ms = now_ms + UNREAD_EXCUSE_MS

    def _connect(self) -> ServerConnection:
        server = self.state.server
        is_retryable = self.call.route.is_retryable()
        try:
            connection = self._pool.acquire(
                server, self.call.head.request_id, is_retryable=is_retryable
            )
        except ConnectFailedError as error:
            if error.is_refused:
                self._dispatcher.ended.record_refused(server.record)
            self._finish_request(is_success=False)
            raise AttemptFailedError(UNREACHABLE, str(error)) from error
        except NoConnectionError as error:
            self._finish_request(is_success=None)
            raise AttemptFailedError(NO_CONNECTION, str(error)) from error
        self._connection = connection
        # The caller may have left while a connection was opened.
        is_new = connection.request_count == 1
        if self._is_aborted or (is_new and self._is_caller_gone()):
            self.cancel()
            raise AttemptFailedError(CALLER_GONE, "the caller closed its connection")
        # The manifest or the server's state may have changed during the connect.
        if not self._dispatcher.is_still_usable(self.state):
            self.cancel()
            raise AttemptFailedError(UNREACHABLE, "the server became unavailable")
        if is_new and connection.is_closed_by_peer():
            # Nothing was sent, so another server may get the request.
            raise self._fail(
                ConnectionLostError("the server closed the new connection"), UNREACHABLE
            )
        return connection

    def _request_head(self) -> bytes:
        call = self.call
        remaining_ms = max(1.0, call.deadline_ms - self._context.clock.now_ms())
        headers = self._format.write_request(
            call.head,
            self.state.server.record.server_id,
            call.account,
            remaining_ms,
            call.last_event_id,
        )
        lines = [f"{call.method} {call.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(call.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def _response_deadline_ms(self) -> float:
        return self.call.deadline_ms + DEADLINE_GRACE_MS

    def _is_expected(self, response: Response) -> bool:
        head = self._response_head = self._format.read_response(
            response.status, response.headers
        )
        if head.is_leaving and not head.is_wrong_server:
            # True of the server, whichever request it answers.
            self._dispatcher.record_leaving(self.state)
        if not head.request_id:
            # Only on a new connection it cannot belong to an earlier request.
            return self._connection.request_count == 1
        return head.request_id == self.call.head.request_id

    def _check_head(self, response: Response) -> None:
        # Set by `_is_expected`, which has just accepted this response.
        head = self._response_head
        if not head.is_wrong_server:
            self._dispatcher.record_answer(self.state, head.backoff_ms)
            if head.load is not None:
                self._dispatcher.speeds.record_report(self.state, head.load)
        if _is_proven_refusal(response, head):
            self.call.possible_runs -= 1
            record = self.state.server.record
            if head.is_wrong_server and head.server_id not in ("", record.server_id):
                self._dispatcher.ended.record_replaced(record, head.server_id)
            if response.status in (429, 503) and not head.is_leaving:
                self._dispatcher.speeds.record_refusal(self.state)
            self._drain_and_finish(response)
            raise AttemptFailedError(
                NOT_RUN_BY_SERVER, f"the server answered {response.status}, not run"
            )
        is_unsealed = response.status < 300 and not head.is_sealed
        is_doubtful = head.is_not_executed or response.status in (408, 421, 429, 503)
        if is_unsealed or is_doubtful:
            self.cancel_as_failed()
            raise AttemptFailedError(LOST, f"no proper answer ({response.status})")

    def cancel_as_failed(self) -> None:
        """Close the connection after a response that must not be forwarded."""
        self._connection.close()
        self._finish_request(is_success=False)

    def _drain_and_finish(self, response: Response) -> None:
        deadline_ms = self._context.clock.now_ms() + REFUSAL_DRAIN_MS
        try:
            while self._connection.read_body(response, deadline_ms):
                continue
        except ConnectionLostError:
            # The head of the response is sufficient here; only the connection is lost.
            self.cancel()
            return
        self.response = response
        self._finish_response(is_success=None)
        self.response = None

    def _fail(self, error: ConnectionLostError, kind: str = LOST) -> AttemptFailedError:
        if self._is_aborted:
            kind = CALLER_GONE
        elif self._context.clock.now_ms() < self._unread_excuse_until_ms:
            kind = LEFT_UNREAD
        elif error.is_timeout:
            kind = TIMED_OUT
            self._pool.close_idle(self.state.server)
        is_at_fault = kind not in (CALLER_GONE, LEFT_UNREAD) and not error.is_local
        if is_at_fault and self.response is None:
            is_at_fault = not self._pool.record_lost(
                self.state.server, self._connection, is_timeout=error.is_timeout
            )
        self._connection.close()
        self._finish_request(is_success=False if is_at_fault else None)
        return AttemptFailedError(kind, str(error))

    def _record_first_part(self) -> None:
        if not self.first_ms:
            self.first_ms = self._context.clock.now_ms()
            # The time of an error tells nothing of the server's speed.
            if self.response.status < 300:
                self._running_request.record_first_token()

    def _update_last_event_id(self, events: bytes) -> None:
        start = events.rfind(b"\nid:")
        if start < 0 and events.startswith(b"id:"):
            start = -1
        elif start < 0:
            return
        line = events[start + 1 :].partition(b"\n")[0]
        self.call.last_event_id = line[3:].strip().decode("latin-1")

    def _finish_response(self, *, is_success: bool | None) -> None:
        connection, self._connection = self._connection, None
        if connection.release_response(self.response):
            self._pool.release(self.state.server, connection)
        else:
            connection.close()
        self._finish_request(is_success=is_success)

    def _finish_request(self, *, is_success: bool | None) -> None:
        running_request, self._running_request = self._running_request, None
        if running_request is not None:
            running_request.finish(is_success=is_success)


def _is_proven_refusal(response: Response, head: ResponseHead) -> bool:
    """Return whether a response proves that the server did not run the request.

    A refusal without an id may be a copy of one for another request.
    """
    is_refusal = head.is_not_executed or head.is_wrong_server
    return is_refusal and response.status >= 400 and bool(head.request_id)
