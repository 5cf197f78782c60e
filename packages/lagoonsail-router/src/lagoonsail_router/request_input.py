"""Reads the head and the body of a request with bounds on their framing.

The eventlet server reads the lines of a chunked body to their end, however long they
are, and collects very small chunks as an object each. A line without end or many small
chunks made a router run out of memory. Below it, `http.server` ignores what follows a
line that is no header field, so a request could be hidden in the body of another one.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_core.http_syntax import is_end_of_head, is_field_line
from lagoonsail_overload.body_intake import PROGRESS_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_CHUNK_LINE_BYTES = 4096
"""Longest size line of a chunk with its extensions."""
MAX_TRAILER_BYTES = 16_384
"""Longest trailer of a chunked body."""
DISCARDED_PART_BYTES = 16_384
"""Part of an unread body that is read at once to discard it."""
DEFAULT_DISCARD_MS = 15_000.0
"""Time in which an unread body must arrive unless set otherwise."""

_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,15}")


class MalformedHeadError(Exception):
    """The head of a request has a line that is no header field, or breaks off."""


class BoundedHead:
    """Reads the header fields of a request, up to a total length."""

    __slots__ = ("_file", "_max_bytes", "read_bytes")

    read_bytes: int
    """Bytes read so far."""

    def __init__(self, file: object, max_bytes: int) -> None:
        self._file = file
        self._max_bytes = max_bytes
        self.read_bytes = 0

    def readline(self, size: int = -1) -> bytes:
        """Return the next line.

        Args:
            size: Longest part of a line to return, -1 for no limit of its own.

        Raises:
            HeadersTooLarge: If the head is too long.
            MalformedHeadError: If the line is neither a field nor the end of the head.
        """
        left = self._max_bytes - self.read_bytes + 1
        line = self._file.readline(left if size < 0 else min(size, left))
        self.read_bytes += len(line)
        if self.read_bytes > self._max_bytes:
            raise eventlet.wsgi.HeadersTooLarge
        if not is_end_of_head(line) and not is_field_line(line) and len(line) != size:
            raise MalformedHeadError
        return line


class BoundedInput(eventlet.wsgi.Input):
    """The body of a request, whose framing is bounded and checked."""

    must_close = False
    """Whether the connection ends with this request, since its body is not read on."""
    on_discard: Callable[[], None] = staticmethod(lambda: None)
    """Called when the request is answered and the rest of its body is discarded."""
    max_discard_ms = DEFAULT_DISCARD_MS
    """Time in which the rest of the body must arrive, or the connection is closed."""

    def read(self, length: int | None = None) -> bytes:
        """Return bytes of the body, fewer than asked for only at its end.

        Args:
            length: Number of bytes, None for all.

        Raises:
            OSError: If the body breaks off.
            ValueError: If its framing is malformed.
        """
        if not self.chunked_input:
            return super().read(length)
        data = bytearray()
        while length is None or len(data) < length:
            part = self.read_some(1 << 16 if length is None else length - len(data))
            if not part:
                break
            data += part
        return bytes(data)

    def read_some(self, size: int) -> bytes:
        """Return the next bytes of the body as they arrive, none at its end.

        Small chunks are joined until they count as progress of the body.

        Args:
            size: Largest number of bytes to return.

        Raises:
            OSError: If the body breaks off.
            ValueError: If its framing is malformed.
        """
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        if not self.chunked_input:
            return self._read_announced(size)
        data = b""
        while not data and self._begin_chunk():
            data = self._read_chunk(size)
        if len(data) >= min(size, PROGRESS_BYTES):
            return data
        joined = bytearray(data)
        while len(joined) < min(size, PROGRESS_BYTES) and self._begin_chunk():
            joined += self._read_chunk(size - len(joined))
        return bytes(joined)

    def discard(self, buffer_size: int = DISCARDED_PART_BYTES) -> None:
        """Read the rest of the body, so that the connection can be reused.

        Args:
            buffer_size: Number of bytes that are read at once.

        Raises:
            OSError: If the rest does not arrive in time, or the connection breaks.
        """
        if self.chunk_length == 0:
            return
        self.on_discard()
        error = OSError("the rest of an unread body did not arrive in time")
        with eventlet.Timeout(self.max_discard_ms / 1000.0, error):
            super().discard(buffer_size)

    def _read_announced(self, size: int) -> bytes:
        size = min(size, self.content_length - self.position)
        data = self.rfile.read1(size) if size > 0 else b""
        self.position += len(data)
        return data

    def _begin_chunk(self) -> bool:
        """Read the next size line if a chunk has ended; return whether data follow."""
        if self.chunk_length == 0:
            return False
        if self.position < self.chunk_length:
            return True
        line = self.rfile.readline(MAX_CHUNK_LINE_BYTES)
        size = line.partition(b";")[0].strip()
        if not line.endswith(b"\n") or not _CHUNK_SIZE.fullmatch(size):
            raise self._malformed("a chunk has no valid size line")
        self.chunk_length = int(size, 16)
        self.position = 0
        if self.chunk_length == 0:
            self._skip_trailer()
        return self.chunk_length > 0

    def _read_chunk(self, size: int) -> bytes:
        data = self.rfile.read1(min(size, self.chunk_length - self.position))
        if not data:
            raise OSError("the connection ended within a chunk")
        self.position += len(data)
        if self.position == self.chunk_length:
            end = self.rfile.readline(2)
            if end not in (b"\r\n", b"\n"):
                raise self._malformed("a chunk is longer than its size line says")
        return data

    def _skip_trailer(self) -> None:
        left = MAX_TRAILER_BYTES
        while left > 0:
            line = self.rfile.readline(left)
            if line in (b"\r\n", b"\n", b""):
                return
            left -= len(line)
        raise self._malformed("the trailer is too long")

    def _malformed(self, reason: str) -> ValueError:
        self.must_close = True
        return eventlet.wsgi.ChunkReadError(reason)
