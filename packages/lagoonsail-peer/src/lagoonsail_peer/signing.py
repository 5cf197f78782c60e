"""Signatures of requests between routers and from operators."""

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

SIGNATURE_VALIDITY_MS = 30_000.0
"""Maximum difference between the wall times of signer and verifier."""

MAX_NONCES = 100_000
"""Maximum number of remembered nonces."""

REFUSED_MISSING = "signature_missing"
"""The request carries no signature."""
REFUSED_MALFORMED = "signature_malformed"
"""The signature does not have the expected format."""
REFUSED_WRONG = "signature_wrong"
"""The signature was made with another key or for another request."""
REFUSED_EXPIRED = "signature_expired"
"""The signature is too old, or its time is too far in the future."""
REFUSED_REPLAYED = "signature_replayed"
"""The signature has been used before."""
REFUSED_TOO_MANY = "signature_too_many"
"""More signatures arrived within the validity period than are remembered."""

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
    """The signature of a request is refused."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"request refused ({reason})", _REMEDIES[reason])
        self.reason = reason
        """One of the REFUSED constants; used as a counter key."""


def parse_signature(value: str) -> tuple[int, str, str]:
    """Parse the value of a signature header.

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
    # Including the lengths makes the signed text unique for each request.
    head = f"{wall_ms}\n{nonce}\n{len(method)}\n{method}\n{len(path)}\n{path}\n"
    text = head.encode("utf-8", "surrogatepass") + body_hash.encode()
    return hmac.new(shared_key, text, hashlib.sha256).hexdigest()


def sign(shared_key: bytes, method: str, path: str, body: bytes, clock: Clock) -> str:
    """Sign a request; the signature is valid once and for a short time.

    Args:
        shared_key: Key of both sides.
        method: Method of the request.
        path: Path of the request.
        body: Body of the request.
        clock: Source of the wall time.

    Returns:
        Value of the header ``X-Lagoonsail-Signature``.
    """
    wall_ms = int(clock.wall_ms())
    nonce = secrets.token_hex(16)
    digest = _digest(shared_key, wall_ms, nonce, method, path, body)
    return f"t={wall_ms},n={nonce},s={digest}"


def make_proof(shared_key: bytes, *parts: str) -> str:
    """Return a proof of possession of a key over values that both sides know.

    Args:
        shared_key: Key of both sides.
        *parts: The prover's role, the challenge of the other side, further values.

    Returns:
        HMAC-SHA256 in hex digits.
    """
    # The JSON list delimits the parts, so that the signed text is unambiguous.
    text = json.dumps(parts).encode()
    return hmac.new(shared_key, text, hashlib.sha256).hexdigest()


class SignatureChecker:
    """Verifies signatures and refuses replayed ones; thread-safe."""

    __slots__ = (
        "_clock",
        "_expired_until_ms",
        "_lock",
        "_nonces",
        "_order",
        "_shared_key",
    )

    def __init__(self, shared_key: bytes, clock: Clock) -> None:
        self._shared_key = shared_key
        self._clock = clock
        self._lock = threading.Lock()
        self._nonces: set[str] = set()
        self._order: deque[tuple[int, str]] = deque()
        # Signatures up to this wall time are refused because their nonces may have
        # been evicted. It never decreases, so that replays are refused even after the
        # wall clock is set back.
        self._expired_until_ms = -1

    def check(self, method: str, path: str, body: bytes, value: str) -> None:
        """Verify the signature of a request; an empty key accepts everything.

        Args:
            method: Method of the request.
            path: Path of the request.
            body: Body of the request.
            value: Value of the signature header, empty if it is missing.

        Raises:
            SignatureError: If the signature is refused.
        """
        if not self._shared_key:
            return
        wall_ms, nonce, digest = parse_signature(value)
        expected = _digest(self._shared_key, wall_ms, nonce, method, path, body)
        if not hmac.compare_digest(expected, digest):
            raise SignatureError(REFUSED_WRONG)
        now_ms = self._clock.wall_ms()
        if abs(now_ms - wall_ms) > SIGNATURE_VALIDITY_MS:
            raise SignatureError(REFUSED_EXPIRED)
        with self._lock:
            self._remember(now_ms, wall_ms, nonce)

    def _remember(self, now_ms: float, wall_ms: int, nonce: str) -> None:
        self._evict_before(now_ms - SIGNATURE_VALIDITY_MS)
        if nonce in self._nonces:
            raise SignatureError(REFUSED_REPLAYED)
        if wall_ms <= self._expired_until_ms:
            raise SignatureError(REFUSED_EXPIRED)
        if len(self._nonces) >= MAX_NONCES:
            raise SignatureError(REFUSED_TOO_MANY)
        self._nonces.add(nonce)
        self._order.append((wall_ms, nonce))

    def _evict_before(self, limit_ms: float) -> None:
        # In order of arrival: a signature from the future only delays the eviction of
        # later ones.
        while self._order and self._order[0][0] < limit_ms:
            wall_ms, nonce = self._order.popleft()
            self._nonces.discard(nonce)
            self._expired_until_ms = max(self._expired_until_ms, wall_ms)
