"""Mutual authentication of a TCP connection with the shared key.

The server sends a random challenge. The client replies with its name, its incarnation,
the address that it dialled, its own challenge, and a proof over all of these; the
server replies with its proof over the same. A proof is valid for one connection only.
Each message is a JSON list, preceded by its length as two bytes.
"""

from __future__ import annotations

import contextlib
import hmac
import json
import secrets
import struct
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_peer.signing import REFUSED_WRONG, make_proof
from lagoonsail_peer.wire import (
    REFUSED_METADATA,
    REFUSED_TOO_MANY_STREAMS,
    StreamAcceptor,
)

if TYPE_CHECKING:
    from lagoonsail_core.green import green_socket
    from lagoonsail_core.messages import Hello

PROTOCOL = "lagoonsail-peer-2"
"""First item of the server's challenge."""
MAX_MESSAGE_BYTES = 4096
"""Maximum size of a handshake message."""
NONCE_BYTES = 32
"""Random bytes of a challenge."""

ROLE_CLIENT = "client"
"""Role of the dialling side in its proof."""
ROLE_SERVER = "server"
"""Role of the listening side in its proof."""

STATUS_OK = "ok"
"""The server accepts the client."""
STATUS_UNAUTHENTICATED = "unauthenticated"
"""The identity of the other side is refused."""
STATUS_EXHAUSTED = "resource_exhausted"
"""The server has reached its limit of streams."""
STATUS_BROKEN = "broken"
"""The connection ended, or a message is not chunk of a handshake."""

REFUSED_MALFORMED = "handshake_malformed"
"""A received message is not a handshake message."""
REFUSED_SILENT = "handshake_silent"
"""The handshake timed out."""
REFUSED_DROPPED = "handshake_dropped"
"""The handshake was evicted by a later one."""
REFUSED_ENDED = "handshake_ended"
"""The connection ended during the handshake."""
REFUSED_ADDRESS = "handshake_address"
"""The client dialled an address of another server."""

_LENGTH = struct.Struct(">H")


class HandshakeError(LagoonsailError):
    """A handshake failed."""

    def __init__(self, reason: str, status: str) -> None:
        super().__init__(
            f"connection refused ({reason})",
            "use the same version, transport and shared key on both sides",
        )
        self.reason = reason
        """Reason of the failure, as a counter key."""
        self.status = status
        """One of the STATUS constants."""


def run_server(
    connection: green_socket.socket,
    acceptor: StreamAcceptor,
    accepted_addresses: set[str],
) -> tuple[str, ...]:
    """Run the server side and reserve a stream.

    Args:
        connection: A new connection.
        acceptor: Key and stream limit of the server.
        accepted_addresses: Addresses that the client may dial; empty for any.

    Returns:
        The transcript: first the client's name, then its incarnation.

    Raises:
        HandshakeError: If the client is refused; the refusal has been sent to it.
    """
    server_challenge = secrets.token_hex(NONCE_BYTES)
    _send(connection, [PROTOCOL, server_challenge])
    try:
        transcript = _verify_answer(
            _receive(connection, 5), server_challenge, acceptor, accepted_addresses
        )
        if not acceptor.acquire():
            raise HandshakeError(REFUSED_TOO_MANY_STREAMS, STATUS_EXHAUSTED)
    except HandshakeError as error:
        # The client may have disconnected.
        with contextlib.suppress(HandshakeError):
            _send(connection, [error.status, ""])
        raise
    try:
        proof = make_proof(acceptor.shared_key, ROLE_SERVER, *transcript)
        _send(connection, [STATUS_OK, proof])
    except BaseException:
        acceptor.release()
        raise
    return transcript


def _verify_answer(
    answer: list[str],
    server_challenge: str,
    acceptor: StreamAcceptor,
    accepted_addresses: set[str],
) -> tuple[str, ...]:
    """Verify the client's answer and return the transcript."""
    router, incarnation, address, client_challenge, proof = answer
    transcript = (router, incarnation, address, server_challenge, client_challenge)
    if not _is_valid_proof(acceptor.shared_key, ROLE_CLIENT, transcript, proof):
        raise HandshakeError(REFUSED_WRONG, STATUS_UNAUTHENTICATED)
    is_number = incarnation.isascii() and incarnation.isdecimal()
    if not router or not is_number or len(incarnation) > 20:
        raise HandshakeError(REFUSED_METADATA, STATUS_UNAUTHENTICATED)
    if accepted_addresses and address not in accepted_addresses:
        raise HandshakeError(REFUSED_ADDRESS, STATUS_UNAUTHENTICATED)
    return transcript


def run_client(
    connection: green_socket.socket, shared_key: bytes, address: str, hello: Hello
) -> tuple[str, ...]:
    """Run the client side.

    Args:
        connection: A new connection.
        shared_key: Key of both sides; empty to disable authentication.
        address: Address that was dialled.
        hello: Identity of the client.

    Returns:
        The transcript, which both proofs cover.

    Raises:
        HandshakeError: If the server refuses or does not prove that it has the key.
    """
    protocol, server_challenge = _receive(connection, 2)
    if protocol != PROTOCOL:
        raise HandshakeError(REFUSED_MALFORMED, STATUS_BROKEN)
    client_challenge = secrets.token_hex(NONCE_BYTES)
    transcript = (
        hello.router,
        str(hello.incarnation),
        address,
        server_challenge,
        client_challenge,
    )
    fields = [hello.router, str(hello.incarnation), address, client_challenge]
    _send(connection, [*fields, make_proof(shared_key, ROLE_CLIENT, *transcript)])
    status, proof = _receive(connection, 2)
    if status != STATUS_OK:
        known = (STATUS_UNAUTHENTICATED, STATUS_EXHAUSTED)
        raise HandshakeError(status, status if status in known else STATUS_BROKEN)
    if not _is_valid_proof(shared_key, ROLE_SERVER, transcript, proof):
        raise HandshakeError(REFUSED_WRONG, STATUS_UNAUTHENTICATED)
    return transcript


def _is_valid_proof(
    shared_key: bytes, role: str, transcript: tuple[str, ...], proof: str
) -> bool:
    if not shared_key:
        return True
    expected = make_proof(shared_key, role, *transcript).encode()
    return hmac.compare_digest(expected, proof.encode("utf-8", "replace"))


def _send(connection: green_socket.socket, items: list[str]) -> None:
    data = json.dumps(items).encode()
    try:
        connection.sendall(_LENGTH.pack(len(data)) + data)
    except OSError as error:
        raise HandshakeError(REFUSED_ENDED, STATUS_BROKEN) from error


def _receive(connection: green_socket.socket, count: int) -> list[str]:
    """Receive a list of `count` strings."""
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
            chunk = connection.recv(length - len(data))
        except OSError as error:
            raise HandshakeError(REFUSED_ENDED, STATUS_BROKEN) from error
        if not chunk:
            raise HandshakeError(REFUSED_ENDED, STATUS_BROKEN)
        data += chunk
    return data
