"""Splits a byte stream of server-sent events at event boundaries."""

from __future__ import annotations

END_OF_EVENT = b"\n\n"
"""Terminator of a server-sent event."""

END_OF_CRLF_EVENT = b"\n\r\n"
"""Terminator of an event whose last lines end with CR LF."""

MAX_EVENT_END_BYTES = 4
"""Number of bytes that show whether a stream is at the end of an event."""


def is_event_end(tail: bytes) -> bool:
    r"""Return whether a stream may end here: before its first event, or after one.

    Args:
        tail: The last `MAX_EVENT_END_BYTES` of the stream, or all that it had.

    Example:
        >>> [is_event_end(tail) for tail in (b"", b"a: 1\n\n", b"1\r\n\r\n", b"a: 1")]
        [True, True, True, False]
    """
    return not tail or tail.endswith((END_OF_EVENT, END_OF_CRLF_EVENT))


def split_events(data: bytes) -> tuple[bytes, bytes]:
    r"""Return the complete events at the beginning, and the incomplete remainder.

    Args:
        data: Part of a stream that starts at the beginning of an event.

    Example:
        >>> split_events(b"id: 1\n\nid: 2\n\nid")
        (b'id: 1\n\nid: 2\n\n', b'id')
        >>> split_events(b"id")
        (b'', b'id')
        >>> split_events(b"id: 1\r\n\r\nid")
        (b'id: 1\r\n\r\n', b'id')
    """
    end = max(_last_end(data, END_OF_EVENT), _last_end(data, END_OF_CRLF_EVENT))
    return data[:end], data[end:]


def _last_end(data: bytes, terminator: bytes) -> int:
    """Return where the last terminator ends, 0 if there is none."""
    start = data.rfind(terminator)
    return start + len(terminator) if start >= 0 else 0
