"""Signatures over requests between routers and from operators."""

from __future__ import annotations

import hashlib
import hmac
import json
import re
import secrets
import threading
from collections import deque
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

SIGNATURE_HEADER = "X-Lagoonsail-Signature"
"""Name of the HTTP header that carries a signature."""

ACCEPTED_SPAN_MS = 30_000.0
"""Largest difference between the signer's and the checker's wall time."""

MAX_NONCES = 100_000
"""Nonces that a checker remembers at most."""

REFUSED_MISSING = "signature_missing"
"""The request carries no signature."""
REFUSED_MALFORMED = "signature_malformed"
"""The signature is not of the accepted form."""
REFUSED_WRONG = "signature_wrong"
"""The signature was made with another key or for another request."""
REFUSED_EXPIRED = "signature_expired"
"""The signature is too old, or its time is too far ahead."""
REFUSED_REPLAYED = "signature_replayed"
"""The signature has been used before."""
REFUSED_TOO_MANY = "signature_too_many"
"""More signatures came in the accepted time span than are remembered."""

_PATTERN = re.compile(r"t=([0-9]{1,15}),n=([0-9a-f]{32}),s=([0-9a-f]{64})", re.ASCII)
_REMEDIES = {
    REFUSED_MISSING: "sign the request with the shared key of the settings",
    REFUSED_MALFORMED: "run the same version of lagoonsail on both sides",
    REFUSED_WRONG: "use the same shared_key_file content on both sides",
    REFUSED_EXPIRED: "set the clocks of both hosts right",
    REFUSED_REPLAYED: "sign each request anew",
    REFUSED_TOO_MANY: "send fewer requests",
}


class SignatureError(LagoonsailError):
    """A request whose signature is refused."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"request refused ({reason})", _REMEDIES[reason])
        self.reason = reason
        """One of the REFUSED constants; used as a counter key."""


def parse_signature(value: str) -> tuple[int, str, str]:
    """Split the value of a signature header.

    Args:
        value: The header's value, ``t=WALL_MS,n=NONCE,s=HEX``.

    Returns:
        Wall time in milliseconds, nonce, and signature in hex digits.

    Raises:
        SignatureError: If the value is missing or malformed.
    """
    if not value:
        raise SignatureError(REFUSED_MISSING)
    match = _PATTERN.fullmatch(value)
    if match is None:
        raise SignatureError(REFUSED_MALFORMED)
    return int(match[1]), match[2], match[3]


def _digest(
    shared_key: bytes, wall_ms: int, nonce: str, method: str, path: str, body: bytes
) -> str:
    body_hash = hashlib.sha256(body).hexdigest()
    # Lengths are included so that no two requests share one signed text.
    head = f"{wall_ms}\n{nonce}\n{len(method)}\n{method}\n{len(path)}\n{path}\n"
    text = head.encode("utf-8", "surrogatepass") + body_hash.encode()
    return hmac.new(shared_key, text, hashlib.sha256).hexdigest()


def sign(shared_key: bytes, method: str, path: str, body: bytes, clock: Clock) -> str:
    """Return a signature over a request, valid once and for a short time.

    Args:
        shared_key: Key that both sides hold.
        method: Method of the request.
        path: Path of the request.
        body: Body of the request.
        clock: Gives the wall time.

    Returns:
        Value of the header ``X-Lagoonsail-Signature``.
    """
    wall_ms = int(clock.wall_ms())
    nonce = secrets.token_hex(16)
    digest = _digest(shared_key, wall_ms, nonce, method, path, body)
    return f"t={wall_ms},n={nonce},s={digest}"


def prove(shared_key: bytes, *parts: str) -> str:
    """Return a proof that its maker holds a key, over what both sides know.

    Args:
        shared_key: Key that both sides hold.
        *parts: The prover's role, a challenge of the other side, and what else holds.

    Returns:
        HMAC-SHA256 in hex digits.
    """
    # The list keeps parts apart, so that no two lists share one signed text.
    text = json.dumps(parts).encode()
    return hmac.new(shared_key, text, hashlib.sha256).hexdigest()


class SignatureChecker:
    """Checks signatures and refuses those seen before; safe for native threads."""

    __slots__ = ("_clock", "_floor_ms", "_lock", "_nonces", "_order", "_shared_key")

    def __init__(self, shared_key: bytes, clock: Clock) -> None:
        self._shared_key = shared_key
        self._clock = clock
        self._lock = threading.Lock()
        self._nonces: set[str] = set()
        self._order: deque[tuple[int, str]] = deque()
        # Signatures up to this wall time are refused because their nonces may have
        # been forgotten. It holds also when the wall clock is set back.
        self._floor_ms = -1

    def check(self, method: str, path: str, body: bytes, value: str) -> None:
        """Check the signature of a request; an empty key accepts everything.

        Args:
            method: Method of the request.
            path: Path of the request.
            body: Body of the request.
            value: Value of the signature header, empty if it is missing.

        Raises:
            SignatureError: If the request is to be refused.
        """
        if not self._shared_key:
            return
        wall_ms, nonce, claimed = parse_signature(value)
        expected = _digest(self._shared_key, wall_ms, nonce, method, path, body)
        if not hmac.compare_digest(expected, claimed):
            raise SignatureError(REFUSED_WRONG)
        now_ms = self._clock.wall_ms()
        if abs(now_ms - wall_ms) > ACCEPTED_SPAN_MS:
            raise SignatureError(REFUSED_EXPIRED)
        with self._lock:
            self._remember(now_ms, wall_ms, nonce)

    def _remember(self, now_ms: float, wall_ms: int, nonce: str) -> None:
        self._forget_before(now_ms - ACCEPTED_SPAN_MS)
        if nonce in self._nonces:
            raise SignatureError(REFUSED_REPLAYED)
        if wall_ms <= self._floor_ms:
            raise SignatureError(REFUSED_EXPIRED)
        if len(self._nonces) >= MAX_NONCES:
            raise SignatureError(REFUSED_TOO_MANY)
        self._nonces.add(nonce)
        self._order.append((wall_ms, nonce))

    def _forget_before(self, limit_ms: float) -> None:
        # In order of arrival: one that was signed ahead only delays its successors.
        while self._order and self._order[0][0] < limit_ms:
            wall_ms, nonce = self._order.popleft()
            self._nonces.discard(nonce)
            self._floor_ms = max(self._floor_ms, wall_ms)
