"""HTTP connections of `urllib3` that accept only well-formed heads of responses.

`http.client` below it ends a head at a line that is no header field, or where the
connection breaks off, and takes the rest for the body. eventlet's sockets report a
reset as the end of the stream, so a response without a length may be incomplete.
"""

from __future__ import annotations

from http.client import BadStatusLine, HTTPException, HTTPResponse
from typing import TYPE_CHECKING

from lagoonsail_core.green import urllib3
from lagoonsail_core.http_syntax import (
    is_chunked,
    is_end_of_head,
    is_field_line,
    is_length,
    is_status_line,
)

if TYPE_CHECKING:
    import io


class MalformedHeadError(HTTPException):
    """The head of a response is none that HTTP/1.1 allows."""


class _HeadInput:
    """Reads the lines of a head, and of interim responses before it."""

    __slots__ = ("_input", "_is_in_fields")

    def __init__(self, response_input: io.BufferedIOBase) -> None:
        self._input = response_input
        self._is_in_fields = False

    def readline(self, size: int = -1) -> bytes:
        line = self._input.readline(size)
        if not self._is_in_fields:
            self._is_in_fields = bool(line)
            if line and not is_status_line(line):
                raise BadStatusLine(repr(line[:80]))
        elif is_end_of_head(line):
            self._is_in_fields = False
        elif not is_field_line(line) and len(line) != size:
            raise MalformedHeadError(f"no header field: {line[:80]!r}")
        return line

    def close(self) -> None:
        self._input.close()


class CheckedResponse(HTTPResponse):
    """A response whose head is checked while it is read."""

    def begin(self) -> None:
        """Read the head.

        Raises:
            HTTPException: If it is not well-formed.
        """
        body_input = self.fp
        self.fp = _HeadInput(body_input)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = body_input
        self._check_framing()

    def _check_framing(self) -> None:
        lengths = self.headers.get_all("content-length", [])
        codings = self.headers.get_all("transfer-encoding", [])
        if len(lengths) > 1 or not all(map(is_length, lengths)):
            raise MalformedHeadError(f"Content-Length {lengths!r:.80}")
        if codings and (lengths or len(codings) > 1 or not is_chunked(codings[0])):
            raise MalformedHeadError(f"Transfer-Encoding {codings!r:.80}")


class FramedResponse(CheckedResponse):
    """A response that must have a length or be chunked, unless it has no body."""

    def begin(self) -> None:
        """Read the head.

        Raises:
            HTTPException: If it is not well-formed, or says no length.
        """
        super().begin()
        if not self.chunked and self.length is None:
            raise MalformedHeadError("the response does not say how long it is")


class CheckedConnection(urllib3.connection.HTTPConnection):
    """A connection whose responses have a length."""

    response_class = FramedResponse


class CheckedPool(urllib3.HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = CheckedConnection
