"""Responses of a backend server, as an HTTP parser delivers them.

The parser checks the header fields, but accepts any three digits as a status and any
transfer coding. Such a response must not reach a caller.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httptools

from lagoonsail_core.http_syntax import is_chunked, is_status

if TYPE_CHECKING:
    from lagoonsail_gateway.request_format import Headers

DEFAULT_IDLE_LIMIT_MS = 2500.0
"""Idle limit of a connection if the server announces no keep-alive timeout."""
IDLE_MARGIN_MS = 1500.0
"""How long before the server's keep-alive timeout an idle connection is closed."""
MAX_HEADERS = 256
"""Most headers that are held of a response, with its trailers: a short one takes many
times its length in memory."""


class TooManyHeadersError(Exception):
    """A response has more headers than `MAX_HEADERS`."""


class InvalidHeadError(Exception):
    """The head of a response is none that HTTP/1.1 allows."""


@dataclass(slots=True)
class Response:
    """A response, as far as it has been received."""

    status: int = 0
    """HTTP status code."""
    headers: Headers = field(default_factory=list)
    """Headers as received."""
    has_head: bool = False
    """Whether the status and all headers have been received."""
    is_complete: bool = False
    """Whether the whole body has been received."""
    is_keep_alive: bool = True
    """Whether the server keeps the connection open after this response."""
    is_close_delimited: bool = False
    """Whether the body ends only when the server closes the connection."""
    idle_limit_ms: float = DEFAULT_IDLE_LIMIT_MS
    """How long the connection may be idle after this response."""
    parts: list[bytes] = field(default_factory=list)
    """Received parts of the body that have not been returned yet."""

    def take_body(self) -> bytes:
        """Return the part of the body received since the last call."""
        if not self.parts:
            return b""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


class ResponseCollector:
    """Collects responses from the callbacks of the HTTP parser."""

    __slots__ = ("responses", "parser")

    responses: deque[Response]
    """The responses of which something has been received, oldest first."""
    parser: httptools.HttpResponseParser
    """Parser that is fed with the received bytes."""

    def __init__(self) -> None:
        """Create a collector for the responses of one connection."""
        self.responses = deque()
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.responses.append(Response())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the newest response; later trailers are dropped.

        Raises:
            TooManyHeadersError: If its head has too many; the parser stops.
        """
        response = self.responses[-1]
        if len(response.headers) >= MAX_HEADERS:
            if response.has_head:
                return
            raise TooManyHeadersError(f"a response has over {MAX_HEADERS} headers")
        response.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Decode the head of the newest response.

        Raises:
            InvalidHeadError: If the protocol does not allow it; the parser stops.
        """
        response = self.responses[-1]
        response.status = self.parser.get_status_code()
        response.is_keep_alive = self.parser.should_keep_alive()
        names = {name.lower(): value for name, value in response.headers}
        self._check_head(response)
        response.idle_limit_ms = _read_idle_limit_ms(names.get("keep-alive", ""))
        has_body = response.status >= 200 and response.status not in (204, 304)
        is_framed = "content-length" in names or "transfer-encoding" in names
        response.is_close_delimited = has_body and not is_framed
        response.has_head = True

    def _check_head(self, response: Response) -> None:
        version = self.parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise InvalidHeadError(f"the version of HTTP is {version}")
        if not is_status(response.status):
            raise InvalidHeadError(f"the status is {response.status:03}")
        for name, value in response.headers:
            is_coding = name.lower() == "transfer-encoding"
            if is_coding and not is_chunked(value):
                raise InvalidHeadError(f"the transfer coding is {value!r:.40}")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body to the newest response."""
        self.responses[-1].parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the newest response, or drop it if it is an interim one."""
        response = self.responses[-1]
        # A body without a length is complete only when the connection is closed; see
        # `_handle_eof`.
        response.is_complete = not response.is_close_delimited
        if response.is_complete and 100 <= response.status < 200:
            self.responses.pop()


def _read_idle_limit_ms(keep_alive: str) -> float:
    """Return the idle limit of a connection with this Keep-Alive header.

    Example:
        >>> _read_idle_limit_ms("timeout=10, max=100"), _read_idle_limit_ms("")
        (8500.0, 2500.0)
    """
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) * 1000.0 - IDLE_MARGIN_MS)
    return DEFAULT_IDLE_LIMIT_MS
