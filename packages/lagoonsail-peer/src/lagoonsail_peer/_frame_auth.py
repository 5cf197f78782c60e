"""Authentication of the frames of a TCP connection.

Each frame carries a keyed hash over its sequence number and its bytes. The key differs
for each connection and direction, since it is derived from both challenges of the
handshake. Frames that an attacker on the path injects, alters, replays, drops or
reorders are therefore detected. Frames are not encrypted.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from itertools import count
from typing import TYPE_CHECKING

from lagoonsail_peer.signing import make_proof

if TYPE_CHECKING:
    from collections.abc import Callable

TAG_BYTES = 8
"""Length of the keyed hash after a frame; a wrong guess ends the connection."""

_SEQUENCE_NUMBER = struct.Struct(">Q")


def make_tagger(shared_key: bytes, role: str, transcript: tuple[str, ...]) -> Callable:
    """Return a function that tags the frames of one direction, called in order.

    Args:
        shared_key: Key of the fleet; empty to disable authentication.
        role: Role of the sending side in the handshake.
        transcript: Transcript of the handshake.

    Returns:
        A function from a frame to its tag, which is empty without a key.

    Example:
        >>> transcript = ("r1", "1", "127.0.0.1:1", "challenge", "own")
        >>> tag = make_tagger(b"key", "client", transcript)
        >>> expected = make_tagger(b"key", "client", transcript)
        >>> tag(b"a") == expected(b"a"), tag(b"b") == expected(b"a")
        (True, False)
    """
    if not shared_key:
        return lambda _frame: b""
    key = bytes.fromhex(make_proof(shared_key, f"frames of {role}", *transcript))
    keyed = hashlib.blake2b(key=key, digest_size=TAG_BYTES)
    sequence_numbers = count()

    def tag(frame: bytes) -> bytes:
        digest = keyed.copy()
        digest.update(_SEQUENCE_NUMBER.pack(next(sequence_numbers)))
        digest.update(frame)
        return digest.digest()

    return tag


def make_verifier(
    shared_key: bytes, role: str, transcript: tuple[str, ...]
) -> Callable[[bytes], bytes | None]:
    """Return a function that verifies the frames of one direction, called in order.

    Args:
        shared_key: Key of the fleet; empty to disable authentication.
        role: Role of the sending side in the handshake.
        transcript: Transcript of the handshake.

    Returns:
        A function that returns a tagged frame without its tag, or None if the tag is
        wrong.
    """
    if not shared_key:
        return bytes
    make_tag = make_tagger(shared_key, role, transcript)

    def verify_frame(data: bytes) -> bytes | None:
        frame = data[:-TAG_BYTES]
        is_valid = hmac.compare_digest(make_tag(frame), data[-TAG_BYTES:])
        return frame if is_valid else None

    return verify_frame
