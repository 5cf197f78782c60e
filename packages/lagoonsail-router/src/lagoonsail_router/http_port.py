"""Handling of malformed requests and unread bodies on a router's HTTP ports.

The eventlet server answers some malformed requests itself, with an HTML page or not at
all, and reads unread bodies to their end. Here each malformed request gets a problem
document and is counted, and a connection with a large unread body is closed after the
answer. Connections and heads count in the byte budget of the process.
"""

from __future__ import annotations

import io
import re
import socket
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import eventlet, trampoline
from lagoonsail_core.http_syntax import is_chunked, is_length, is_request_line
from lagoonsail_overload.body_intake import BodyIntake
from lagoonsail_overload.byte_budget import CONNECTIONS, HEADS, ByteBudget
from lagoonsail_router.answer_holding import ANSWER_KEY
from lagoonsail_router.body_reading import INTAKE_KEY, release_body
from lagoonsail_router.port_limits import PortLimits
from lagoonsail_router.problems import CallProblem
from lagoonsail_router.request_input import (
    BoundedHead,
    BoundedInput,
    MalformedHeadError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.open_connections import OpenConnections

MAX_DISCARD_BYTES = 65_536
"""Longest unread body that is read and discarded to reuse the connection."""
LINGER_MS = 500.0
"""How long input is discarded after the last answer, so that the answer arrives."""
CONNECTION_BYTES = 24_576
"""Memory of an open connection with its buffers and its task."""
HEAD_COPIES = 3
"""Copies of a head while its request is served: parsed, as environment, forwarded."""
DEFAULT_BUDGET_BYTES = 64_000_000
"""Byte budget of a port that shares none with others."""
HEAD_TIMEOUT_KIND = "head_timed_out"
"""Problem kind of heads that did not arrive in time, also their label in the metrics;
they get no answer."""
PROBLEM_KIND = "malformed_request"
"""Problem kind of malformed requests, also their label in the metrics."""

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (4[0-9]{2}|5[0-9]{2}) ")


class HeadTimeoutError(Exception):
    """The head of a request did not arrive in time, or has no room."""


class HttpProtocol(eventlet.wsgi.HttpProtocol):
    """One connection to an HTTP port."""

    connections: OpenConnections
    """The port's open connections; see `make_protocol`."""
    limits: PortLimits
    """Limits on what a connection may send; see `make_protocol`."""

    def __init__(self, conn_state: list, server: object) -> None:
        self._has_read_request = False
        self._must_linger = False
        self._client_wfile = None
        self._head_timer = None
        self._head_bytes = 0
        self._unfinished_head_bytes = 0
        super().__init__(conn_state, server)

    def on_refused(self, kind: str) -> None:
        """Count a refused request by its kind; see `make_protocol`."""

    def log_message(self, *_arguments: object) -> None:
        """Do nothing: refused requests are counted."""

    def send_error(self, code: int, *_arguments: object) -> None:
        """Record the status; `_refuse` writes the answer.

        Args:
            code: HTTP status.
        """
        self.wfile.write(f"HTTP/1.1 {int(code)} ".encode())

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        self.connections.count += 1
        budget = self.limits.intake.budget
        budget.add(CONNECTIONS, CONNECTION_BYTES)
        try:
            if self._has_request():
                super().handle()
            if self._must_linger:
                self._linger()
        finally:
            self.connections.count -= 1
            budget.remove(CONNECTIONS, CONNECTION_BYTES)

    def _has_request(self) -> bool:
        """Wait in turn with kept connections; return whether a request has come."""
        timeout_s = self.connection.gettimeout()
        try:
            trampoline(
                self.connection.fd,
                read=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError,
            )
        except TimeoutError:
            # The caller sent nothing, as one whose kept connection becomes idle.
            return False
        return True

    def handle_one_request(self) -> None:
        """Serve a request, or answer it with a problem document if it is malformed."""
        # The next request waits in turn, whatever the one before was.
        mark_urgent(False)
        self._client_wfile = self.wfile
        self.wfile = library_answer = io.BytesIO()
        try:
            super().handle_one_request()
        except HeadTimeoutError:
            self.on_refused(HEAD_TIMEOUT_KIND)
            self.close_connection = 1
        finally:
            self._stop_head_timer()
            self.wfile = self._client_wfile
        if library_answer.getvalue():
            self._refuse(library_answer.getvalue())

    def parse_request(self) -> bool:
        """Read the head and check its framing more strictly than the library does."""
        if not is_request_line(self.raw_requestline):
            self.send_error(400)
            return False
        # The library restores its reader after the head.
        head = self.rfile = BoundedHead(self.rfile.fp, self.limits.max_head_bytes)
        try:
            if not super().parse_request():
                return False
        except MalformedHeadError:
            self.send_error(400)
            return False
        finally:
            self._stop_head_timer()
        self._head_bytes = head.read_bytes
        # The library shortens leading slashes, which may select another route.
        self.path = self.requestline.split()[1]
        lengths = self.headers.get_all("content-length", [])
        codings = self.headers.get_all("transfer-encoding", [])
        if len(lengths) > 1 or not all(map(is_length, lengths)):
            self.send_error(400)
            return False
        if codings and (len(codings) > 1 or not is_chunked(codings[0])):
            self.send_error(501)
            return False
        return True

    def get_environ(self) -> dict:
        """Return the WSGI environment; from here on the application answers."""
        self.wfile = self._client_wfile
        env = super().get_environ()
        # The WSGI path and query do not distinguish "/x" from "/x?".
        env["lagoonsail.target"] = self.path
        env[INTAKE_KEY] = self.limits.intake
        library_input = env["wsgi.input"]
        env["wsgi.input"] = env["eventlet.input"] = BoundedInput(
            library_input.rfile,
            library_input.content_length,
            self.connection,
            wfile=library_input.wfile,
            wfile_line=library_input.wfile_line,
            chunked_input=library_input.chunked_input,
        )
        return env

    def _read_request_line(self) -> bytes:
        """Wait for a request, and start the time in which its head must arrive."""
        try:
            received = b"" if self.rfile.closed else self._peek_request()
        except ConnectionError:
            return b""
        if not received:
            return b""
        # A timer for each head would cost some percent of a request's processor time.
        if b"\r\n\r\n" not in received:
            self._reserve_head()
            self._head_timer = eventlet.Timeout(
                self.limits.head_timeout_ms / 1000.0, HeadTimeoutError()
            )
        return super()._read_request_line()

    def _peek_request(self) -> bytes:
        """Wait for a request; return the part that has arrived, none at the end."""
        if not self._has_read_request:
            # `handle` has waited for the first one.
            self._has_read_request = True
            return self.rfile.peek(1)
        timeout_s = self.connection.gettimeout()
        self.connection.settimeout(0.0)
        try:
            received = self.rfile.peek(1)
        finally:
            self.connection.settimeout(timeout_s)
        if received:
            # The socket never makes a caller wait that sends faster than it is served.
            eventlet.sleep(0)
            return received
        return self.rfile.peek(1) if self._has_request() else b""

    def _reserve_head(self) -> None:
        """Count a head that does not arrive in one piece with its longest length.

        Raises:
            HeadTimeoutError: If connections and heads use up the byte budget.
        """
        budget = self.limits.intake.budget
        self._unfinished_head_bytes = self.limits.max_head_bytes
        budget.add(HEADS, self._unfinished_head_bytes)
        if not budget.may_connect():
            raise HeadTimeoutError

    def _stop_head_timer(self) -> None:
        if self._unfinished_head_bytes:
            self.limits.intake.budget.remove(HEADS, self._unfinished_head_bytes)
            self._unfinished_head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def handle_one_response(self) -> None:
        """Run the application; close the connection if too much is left unread."""
        application = self.application
        body_input = self.environ["eventlet.input"]
        body_input.on_discard = self._note_answered
        body_input.max_discard_ms = self.limits.intake.stall_ms

        def serve(env: dict, start_response: Callable) -> object:
            def start(status: str, headers: list, *exc_info: object) -> Callable:
                if _unread_bytes(body_input) > MAX_DISCARD_BYTES:
                    self.close_connection = 1
                    self._must_linger = True
                return start_response(status, headers, *exc_info)

            return application(env, start)

        self.application = serve
        self.connections.answering += 1
        head_bytes = HEAD_COPIES * self._head_bytes
        budget = self.limits.intake.budget
        budget.add(HEADS, head_bytes)
        try:
            super().handle_one_response()
        finally:
            self.connections.answering -= 1
            budget.remove(HEADS, head_bytes)
            release_body(self.environ)
            if ANSWER_KEY in self.environ:
                self.environ[ANSWER_KEY].release()

    def _note_answered(self) -> None:
        """Note that the answer is written; called once or twice for a request."""

    def _refuse(self, library_answer: bytes) -> None:
        match = _STATUS_LINE.match(library_answer)
        status = int(match[1]) if match else 400
        problem = CallProblem(
            status,
            PROBLEM_KIND,
            "the request is not well-formed HTTP/1.1, or its head is too long",
            "send header lines as NAME: VALUE, one Content-Length or"
            " Transfer-Encoding: chunked, and a shorter head",
        )
        body = problem.body("")
        head = [
            f"HTTP/1.1 {status} Refused",
            "Content-Type: application/problem+json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        self.on_refused(PROBLEM_KIND)
        self.close_connection = 1
        self._must_linger = True
        self.wfile.write("\r\n".join([*head, "", ""]).encode() + body)

    def _linger(self) -> None:
        """Discard input for a while: closing at once may reset the answer in flight."""
        with eventlet.Timeout(LINGER_MS / 1000.0, False):
            try:
                self.wfile.flush()
                self.connection.shutdown(socket.SHUT_WR)
                while self.connection.recv(MAX_DISCARD_BYTES):
                    # A fast sender must not starve other connections.
                    eventlet.sleep(0)
            except OSError:
                return


def _unread_bytes(body_input: BoundedInput) -> float:
    if body_input.must_close:
        return float("inf")
    if body_input.chunked_input:
        return 0 if body_input.chunk_length == 0 else float("inf")
    return (body_input.content_length or 0) - body_input.position


def _make_own_limits() -> PortLimits:
    return PortLimits(BodyIntake(ByteBudget(DEFAULT_BUDGET_BYTES), Clock()))


def make_protocol(
    on_refused: Callable[[str], None],
    connections: OpenConnections,
    limits: PortLimits | None = None,
) -> type[HttpProtocol]:
    """Return the protocol class of a port.

    Args:
        on_refused: Called with the kind of each refused request, to count it.
        connections: Counter of the port's open connections.
        limits: Limits on what a connection may send; None for usual ones, and a budget
            of the port's own.

    Returns:
        The class to pass to `eventlet.wsgi.server`.
    """
    members = {
        "connections": connections,
        "limits": limits or _make_own_limits(),
        "on_refused": lambda _self, kind: on_refused(kind),
    }
    return type("PortProtocol", (HttpProtocol,), members)
