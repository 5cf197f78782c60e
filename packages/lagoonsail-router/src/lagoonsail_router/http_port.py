"""What the HTTP ports of a router do with requests that are not well-formed.

The server of eventlet answers some of them itself, with pages of HTML or none, and
goes on to read a body that nobody wants. Here each gets a problem document and is
counted, and a connection on which a large body is left unread is closed after the
answer.
"""

from __future__ import annotations

import io
import re
import socket
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_router.problems import CallProblem

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.open_connections import OpenConnections

MAX_DISCARD_BYTES = 65_536
"""Largest rest of a body that is read so that the connection can be used again."""
LINGER_MS = 500.0
"""How long what still comes is read after the last answer, so that it arrives."""
KIND = "malformed_request"
"""Kind of the problem, also the label under which it is counted."""

_LENGTH = re.compile("[0-9]{1,18}", re.ASCII)
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (4[0-9]{2}|5[0-9]{2}) ")


class HttpProtocol(eventlet.wsgi.HttpProtocol):
    """One connection to an HTTP port."""

    connections: OpenConnections
    """The port's open connections; see `make_protocol`."""

    def __init__(self, conn_state: list, server: object) -> None:
        self._must_linger = False
        self._real_wfile = None
        super().__init__(conn_state, server)

    def on_refused(self, kind: str) -> None:
        """Count a refused request by its kind; see `make_protocol`."""

    def log_message(self, *_arguments: object) -> None:
        """Leave it to the counters."""

    def send_error(self, code: int, *_arguments: object) -> None:
        """Note the status; the answer is made in `_refuse`.

        Args:
            code: HTTP status.
        """
        self.wfile.write(f"HTTP/1.1 {int(code)} ".encode())

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        self.connections.count += 1
        try:
            super().handle()
            if self._must_linger:
                self._linger()
        finally:
            self.connections.count -= 1

    def handle_one_request(self) -> None:
        """Serve a request, or refuse it with a problem document."""
        self._real_wfile = self.wfile
        self.wfile = written = io.BytesIO()
        try:
            super().handle_one_request()
        finally:
            self.wfile = self._real_wfile
        if written.getvalue():
            self._refuse(written.getvalue())

    def parse_request(self) -> bool:
        """Read and check the head, more strictly than the library does."""
        if not super().parse_request():
            return False
        lengths = self.headers.get_all("content-length", [])
        codings = self.headers.get_all("transfer-encoding", [])
        if len(lengths) > 1 or any(not _LENGTH.fullmatch(item) for item in lengths):
            self.send_error(400)
            return False
        if codings and [item.strip().lower() for item in codings] != ["chunked"]:
            self.send_error(501)
            return False
        return True

    def get_environ(self) -> dict:
        """Return the environment; from here on the application answers."""
        self.wfile = self._real_wfile
        env = super().get_environ()
        # The parts that WSGI makes of it do not tell "/x" from "/x?".
        env["lagoonsail.target"] = self.path
        return env

    def handle_one_response(self) -> None:
        """Have the application answer, and close if too much is left unread."""
        application = self.application
        source = self.environ["eventlet.input"]

        def serve(env: dict, start_response: Callable) -> object:
            def start(status: str, headers: list, *more: object) -> Callable:
                if _unread_bytes(source) > MAX_DISCARD_BYTES:
                    self.close_connection = 1
                    self._must_linger = True
                return start_response(status, headers, *more)

            return application(env, start)

        self.application = serve
        super().handle_one_response()

    def _refuse(self, written: bytes) -> None:
        match = _STATUS_LINE.match(written)
        status = int(match[1]) if match else 400
        problem = CallProblem(
            status,
            KIND,
            "the request is not well-formed HTTP/1.1, or its head is too long",
            "send one Content-Length or Transfer-Encoding: chunked, and a shorter head",
        )
        body = problem.body("")
        head = [
            f"HTTP/1.1 {status} Refused",
            "Content-Type: application/problem+json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        self.on_refused(KIND)
        self.close_connection = 1
        self._must_linger = True
        self.wfile.write("\r\n".join([*head, "", ""]).encode() + body)

    def _linger(self) -> None:
        """Read on for a while: closing at once would destroy the answer on its way."""
        with eventlet.Timeout(LINGER_MS / 1000.0, False):
            try:
                self.wfile.flush()
                self.connection.shutdown(socket.SHUT_WR)
                while self.connection.recv(MAX_DISCARD_BYTES):
                    # Whatever is there at once must not hold up other connections.
                    eventlet.sleep(0)
            except OSError:
                return


def _unread_bytes(source: object) -> float:
    if source.chunked_input:
        return 0 if source.chunk_length == 0 else float("inf")
    return (source.content_length or 0) - source.position


def make_protocol(
    on_refused: Callable[[str], None], connections: OpenConnections
) -> type[HttpProtocol]:
    """Return the protocol of a port.

    Args:
        on_refused: Called with the kind of each refused request, to count it.
        connections: Counts the port's open connections.

    Returns:
        The class that `eventlet.wsgi.server` takes.
    """
    members = {
        "connections": connections,
        "on_refused": lambda _self, kind: on_refused(kind),
    }
    return type("PortProtocol", (HttpProtocol,), members)
