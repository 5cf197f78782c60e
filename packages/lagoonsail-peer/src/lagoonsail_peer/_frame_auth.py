"""How the frames of a TCP connection are bound to its handshake.

Each frame carries a keyed hash over its number and its bytes. The key differs for each
connection and direction, since it is derived from both challenges of the handshake, so
that a frame that was injected, altered, replayed, left out or moved is noticed, even by
somebody who sits on the path. It does not hide what a frame says.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from itertools import count
from typing import TYPE_CHECKING

from lagoonsail_peer.signing import prove

if TYPE_CHECKING:
    from collections.abc import Callable

TAG_BYTES = 8
"""Length of the keyed hash behind a frame; a wrong guess ends the connection."""

_NUMBER = struct.Struct(">Q")


def make_tagger(shared_key: bytes, role: str, parts: tuple[str, ...]) -> Callable:
    """Return a function that makes the tags of one direction, in the frames' order.

    Args:
        shared_key: Key of the fleet; empty for no check.
        role: Role of the sending side in the handshake.
        parts: What the proofs of the handshake cover.

    Returns:
        A function from a frame to its tag, which is empty without a key.

    Example:
        >>> parts = ("r1", "1", "127.0.0.1:1", "challenge", "own")
        >>> tag, expected = (make_tagger(b"key", "client", parts) for _ in range(2))
        >>> tag(b"a") == expected(b"a"), tag(b"b") == expected(b"a")
        (True, False)
    """
    if not shared_key:
        return lambda _frame: b""
    key = bytes.fromhex(prove(shared_key, f"frames of {role}", *parts))
    keyed = hashlib.blake2b(key=key, digest_size=TAG_BYTES)
    numbers = count()

    def tag(frame: bytes) -> bytes:
        digest = keyed.copy()
        digest.update(_NUMBER.pack(next(numbers)))
        digest.update(frame)
        return digest.digest()

    return tag


def make_opener(
    shared_key: bytes, role: str, parts: tuple[str, ...]
) -> Callable[[bytes], bytes | None]:
    """Return a function that checks the frames of one direction, in their order.

    Args:
        shared_key: Key of the fleet; empty for no check.
        role: Role of the sending side in the handshake.
        parts: What the proofs of the handshake cover.

    Returns:
        A function from a frame with its tag to the frame, or None if the tag is wrong.
    """
    if not shared_key:
        return bytes
    make_tag = make_tagger(shared_key, role, parts)

    def open_frame(data: bytes) -> bytes | None:
        frame = data[:-TAG_BYTES]
        is_right = hmac.compare_digest(make_tag(frame), data[-TAG_BYTES:])
        return frame if is_right else None

    return open_frame
