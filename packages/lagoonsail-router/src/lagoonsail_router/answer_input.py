"""Reads the answers of servers with a bound on bytes that are no part of a body.

http.client and urllib3 skip interim responses, chunk extensions and trailers to their
end, and do not wait while bytes are there. A server that sends them without end would
keep the router from all other work, since not even a timer fires.
"""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

from lagoonsail_core.checked_http import CheckedResponse
from lagoonsail_core.green import eventlet, urllib3

if TYPE_CHECKING:
    from http.client import HTTPResponse

MAX_UNUSED_BYTES = 131_072
"""Bytes that a server may send without a part of the body: its head, interim responses,
chunk extensions and trailers. At least twice the largest part that is read at once."""
READS_PER_TURN = 4
"""Reads after which other tasks have their turn, if no read had to wait."""


class AnswerInput(io.RawIOBase):
    """The bytes of one answer as they are received."""

    def __init__(self, raw: io.RawIOBase, max_unused_bytes: int) -> None:
        """Read from a socket.

        Args:
            raw: Unbuffered input of the socket.
            max_unused_bytes: Bytes that may come without a call of `note_body`.
        """
        super().__init__()
        self._max_unused_bytes = max_unused_bytes
        self._raw = raw
        self._reads = 0
        self._unused_bytes = 0

    def note_body(self) -> None:
        """Note that the bytes so far have contained a part of the body."""
        self._unused_bytes = 0

    def readable(self) -> bool:
        """Return that it can be read from."""
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        """Receive bytes into a buffer.

        Args:
            buffer: Where they are written to.

        Returns:
            Their number, 0 at the end.

        Raises:
            OSError: If too many came without a part of the body.
        """
        count = self._raw.readinto(buffer)
        if not count:
            return count
        self._unused_bytes += count
        if self._unused_bytes > self._max_unused_bytes:
            raise OSError(f"no answer in {self._unused_bytes} bytes")
        self._reads += 1
        # A full buffer shows that the server sends faster than it is read.
        if count == len(buffer) or self._reads % READS_PER_TURN == 0:
            eventlet.sleep(0)
        return count

    def close(self) -> None:
        """Close the input of the socket."""
        self._raw.close()
        super().close()


class BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection whose answers are read through an `AnswerInput`."""

    answer_input: AnswerInput | None = None
    """Input of the latest answer."""
    answer_class = CheckedResponse
    """Reader of an answer below the limit on its bytes."""
    max_unused_bytes = MAX_UNUSED_BYTES
    """Bytes that may come without a part of the body."""

    def response_class(self, *arguments: object, **options: object) -> HTTPResponse:
        """Return the reader of an answer; http.client looks it up by this name."""
        response = self.answer_class(*arguments, **options)
        raw = response.fp.detach()
        self.answer_input = AnswerInput(raw, self.max_unused_bytes)
        response.fp = io.BufferedReader(self.answer_input)
        return response
