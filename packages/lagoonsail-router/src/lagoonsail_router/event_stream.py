"""Splits a byte stream of server-sent events at event boundaries."""

from __future__ import annotations

END_OF_EVENT = b"\n\n"
"""Terminator of a server-sent event."""


def split_events(data: bytes) -> tuple[bytes, bytes]:
    r"""Return the complete events at the beginning, and the incomplete remainder.

    Args:
        data: Part of a stream that starts at the beginning of an event.

    Example:
        >>> split_events(b"id: 1\n\nid: 2\n\nid")
        (b'id: 1\n\nid: 2\n\n', b'id')
        >>> split_events(b"id")
        (b'', b'id')
    """
    end = data.rfind(END_OF_EVENT)
    if end < 0:
        return b"", data
    end += len(END_OF_EVENT)
    return data[:end], data[end:]
