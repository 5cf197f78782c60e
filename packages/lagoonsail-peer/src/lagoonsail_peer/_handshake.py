"""How both sides of a TCP connection prove that they hold the shared key.

The server sends a random challenge. The client answers with its name, its incarnation,
the address that it dialled, a challenge of its own, and a proof over all of these; the
server answers with its own proof over the same. Nothing of it holds for another
connection. Each message is a JSON list behind its length as two bytes.
"""

from __future__ import annotations

import contextlib
import hmac
import json
import secrets
import struct
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_peer.signing import REFUSED_WRONG, prove
from lagoonsail_peer.wire import REFUSED_METADATA, REFUSED_TOO_MANY_STREAMS, Intake

if TYPE_CHECKING:
    from lagoonsail_core.green import green_socket
    from lagoonsail_core.messages import Hello

PROTOCOL = "lagoonsail-peer-2"
"""First item of the server's challenge."""
MAX_MESSAGE_BYTES = 4096
"""Longest message of the handshake."""
NONCE_BYTES = 32
"""Random bytes of a challenge."""

ROLE_CLIENT = "client"
"""Role in the proof of the dialling side."""
ROLE_SERVER = "server"
"""Role in the proof of the listening side."""

STATUS_OK = "ok"
"""The server accepts the client."""
STATUS_UNAUTHENTICATED = "unauthenticated"
"""The server or the client refuses who the other side says to be."""
STATUS_EXHAUSTED = "resource_exhausted"
"""The server serves as many streams as it may."""
STATUS_BROKEN = "broken"
"""The connection ended, or what came belongs to no handshake."""

REFUSED_MALFORMED = "handshake_malformed"
"""What came is no message of the handshake."""
REFUSED_SILENT = "handshake_silent"
"""The handshake took too long."""
REFUSED_DROPPED = "handshake_dropped"
"""The handshake had its place taken by a later one."""
REFUSED_ENDED = "handshake_ended"
"""The connection ended within the handshake."""
REFUSED_ADDRESS = "handshake_address"
"""The client dialled an address that is not this server's."""

_LENGTH = struct.Struct(">H")


class HandshakeError(LagoonsailError):
    """A handshake that did not succeed."""

    def __init__(self, reason: str, status: str) -> None:
        super().__init__(
            f"connection refused ({reason})",
            "use the same version, transport and shared key on both sides",
        )
        self.reason = reason
        """Why, as a counter key."""
        self.status = status
        """One of the STATUS constants."""


def check(
    connection: green_socket.socket, intake: Intake, accepted: set[str]
) -> tuple[str, ...]:
    """Carry out the server's part, and take a place among the streams.

    Args:
        connection: A new connection.
        intake: Key and places of the server.
        accepted: Addresses that the client may have dialled; empty for any.

    Returns:
        What the proofs cover: first the client's name, then its incarnation.

    Raises:
        HandshakeError: If the client is refused; it has been told so.
    """
    challenge = secrets.token_hex(NONCE_BYTES)
    _send(connection, [PROTOCOL, challenge])
    try:
        parts = _check_answer(_receive(connection, 5), challenge, intake, accepted)
        if not intake.enter():
            raise HandshakeError(REFUSED_TOO_MANY_STREAMS, STATUS_EXHAUSTED)
    except HandshakeError as error:
        # The client may be gone already.
        with contextlib.suppress(HandshakeError):
            _send(connection, [error.status, ""])
        raise
    try:
        proof = prove(intake.shared_key, ROLE_SERVER, *parts)
        _send(connection, [STATUS_OK, proof])
    except BaseException:
        intake.leave()
        raise
    return parts


def _check_answer(
    answer: list[str], challenge: str, intake: Intake, accepted: set[str]
) -> tuple[str, ...]:
    """Return what both proofs cover."""
    router, incarnation, address, own, proof = answer
    parts = (router, incarnation, address, challenge, own)
    if not _is_right(intake.shared_key, ROLE_CLIENT, parts, proof):
        raise HandshakeError(REFUSED_WRONG, STATUS_UNAUTHENTICATED)
    is_number = incarnation.isascii() and incarnation.isdecimal()
    if not router or not is_number or len(incarnation) > 20:
        raise HandshakeError(REFUSED_METADATA, STATUS_UNAUTHENTICATED)
    if accepted and address not in accepted:
        raise HandshakeError(REFUSED_ADDRESS, STATUS_UNAUTHENTICATED)
    return parts


def answer(
    connection: green_socket.socket, shared_key: bytes, address: str, hello: Hello
) -> tuple[str, ...]:
    """Carry out the client's part.

    Args:
        connection: A new connection.
        shared_key: Key that both sides must hold; empty for no check.
        address: Address that was dialled.
        hello: Who dials.

    Returns:
        What the proofs cover.

    Raises:
        HandshakeError: If the server refuses, or cannot prove that it holds the key.
    """
    protocol, challenge = _receive(connection, 2)
    if protocol != PROTOCOL:
        raise HandshakeError(REFUSED_MALFORMED, STATUS_BROKEN)
    own = secrets.token_hex(NONCE_BYTES)
    parts = (hello.router, str(hello.incarnation), address, challenge, own)
    head = [hello.router, str(hello.incarnation), address, own]
    _send(connection, [*head, prove(shared_key, ROLE_CLIENT, *parts)])
    status, proof = _receive(connection, 2)
    if status != STATUS_OK:
        known = (STATUS_UNAUTHENTICATED, STATUS_EXHAUSTED)
        raise HandshakeError(status, status if status in known else STATUS_BROKEN)
    if not _is_right(shared_key, ROLE_SERVER, parts, proof):
        raise HandshakeError(REFUSED_WRONG, STATUS_UNAUTHENTICATED)
    return parts


def _is_right(shared_key: bytes, role: str, parts: tuple[str, ...], proof: str) -> bool:
    if not shared_key:
        return True
    expected = prove(shared_key, role, *parts).encode()
    return hmac.compare_digest(expected, proof.encode("utf-8", "replace"))


def _send(connection: green_socket.socket, items: list[str]) -> None:
    data = json.dumps(items).encode()
    try:
        connection.sendall(_LENGTH.pack(len(data)) + data)
    except OSError as error:
        raise HandshakeError(REFUSED_ENDED, STATUS_BROKEN) from error


def _receive(connection: green_socket.socket, count: int) -> list[str]:
    """Receive a list of so many texts."""
    (length,) = _LENGTH.unpack(_receive_exactly(connection, _LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise HandshakeError(REFUSED_MALFORMED, STATUS_BROKEN)
    data = _receive_exactly(connection, length)
    try:
        items = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise HandshakeError(REFUSED_MALFORMED, STATUS_BROKEN) from error
    is_list = type(items) is list and len(items) == count
    if not is_list or any(type(item) is not str for item in items):
        raise HandshakeError(REFUSED_MALFORMED, STATUS_BROKEN)
    return items


def _receive_exactly(connection: green_socket.socket, length: int) -> bytes:
    data = b""
    while len(data) < length:
        try:
            part = connection.recv(length - len(data))
        except OSError as error:
            raise HandshakeError(REFUSED_ENDED, STATUS_BROKEN) from error
        if not part:
            raise HandshakeError(REFUSED_ENDED, STATUS_BROKEN)
        data += part
    return data
