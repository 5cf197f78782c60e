"""Joins the parts of a body while they arrive.

Each part would else be an object of its own, which takes many times the length of a
small one.
"""

from __future__ import annotations


def join_part(body: bytes | bytearray, part: bytes) -> bytes | bytearray:
    """Return a body with a further part; a body of one part is not copied.

    Args:
        body: What has arrived before; changed if it is a bytearray.
        part: The next part.

    Example:
        >>> join_part(join_part(b"", b"ab"), b"c")
        bytearray(b'abc')
    """
    if not body:
        return part
    if isinstance(body, bytes):
        body = bytearray(body)
    body += part
    return body
