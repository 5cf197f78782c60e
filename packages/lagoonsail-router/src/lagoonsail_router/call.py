"""Checks a caller's request and reads its body."""

from __future__ import annotations

import json
import re
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lagoonsail_config.call_path import normalise_path
from lagoonsail_router.body_reading import read_body, release_body
from lagoonsail_router.problems import CallProblem
from lagoonsail_sharing.prefix_index import prefix_hashes

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_config.document import ServiceDocument
    from lagoonsail_router.answer_holding import HeldAnswer
    from lagoonsail_router.configuration import Configuration

REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
"""Valid request IDs and idempotency keys."""

PATH_PATTERN = re.compile(r"[\x21-\x7e]*")
"""Valid percent-encoded paths with their query."""

COMPLETIONS_PATH = "/v1/completions"
"""Path of a model engine's completions endpoint."""

_DROPPED_HEADERS = {
    "HTTP_AUTHORIZATION",
    "HTTP_CONNECTION",
    "HTTP_CONTENT_LENGTH",
    "HTTP_EXPECT",
    "HTTP_HOST",
    "HTTP_IDEMPOTENCY_KEY",
    "HTTP_KEEP_ALIVE",
    "HTTP_PROXY_AUTHORIZATION",
    "HTTP_TE",
    "HTTP_TRAILER",
    "HTTP_TRANSFER_ENCODING",
    "HTTP_UPGRADE",
    "HTTP_X_COST_HINT",
    "HTTP_X_REQUEST_ID",
}


@dataclass(slots=True)
class Call:
    """A caller's request."""

    request_id: str
    """Identifies the request in logs and at the backend server."""
    document: ServiceDocument
    """Service document in force when the request arrived."""
    account: str
    """Client account, unqualified."""
    method: str
    """HTTP method."""
    path: str
    """Path and query at the backend server."""
    headers: dict[str, str]
    """Headers forwarded to the backend server."""
    body: bytes | bytearray
    """Request body."""
    idempotency_key: str
    """The caller's key, empty if there is none."""
    key_hash: int
    """Hash of the idempotency key if the call is not repeatable, else 0."""
    is_repeatable: bool
    """Whether the call may be sent again after it may have run."""
    is_stream: bool
    """Whether the answer is a stream of server-sent events."""
    estimate: float
    """Estimated cost in the service's unit, 0 if unknown."""
    prefix: list[int]
    """Hashes of the prompt's prefixes, empty without a prompt."""
    arrived_ms: float
    """Monotonic time at which the request arrived."""
    number: int = 0
    """Sequence number of the call at this router."""
    may_have_run: bool = False
    """Whether an earlier attempt may have run."""
    held_answer: HeldAnswer | None = None
    """Counts the answer while it is held."""
    release_body: Callable[[], None] = lambda: None
    """Returns the bytes of the body to the budget of the process."""

    def drop_body(self) -> None:
        """Let go of the body, which is not sent again."""
        self.body = b""
        self.release_body()


def read_call(env: dict, configuration: Configuration, now_ms: float) -> Call:
    """Check a request and read its body.

    Args:
        env: The WSGI environment.
        configuration: The configuration in force.
        now_ms: Current monotonic time.

    Returns:
        The call.

    Raises:
        CallProblem: If the request is not accepted; it has not run.
    """
    request_id = _read_request_id(env)
    document, raw_path = _find_service(env, configuration)
    account = _find_account(env, document)
    key = _read_idempotency_key(env)
    max_ms = document.queue_timeout_ms + document.request_timeout_ms
    body = read_body(env, document.max_body_bytes, max_ms=max_ms)
    # A body may take seconds, and the request must be handled as it ends.
    document, raw_path = _find_service(env, configuration)
    account = _find_account(env, document)
    method = env["REQUEST_METHOD"]
    is_repeatable = document.is_repeatable(method, raw_path)
    prompt, is_stream, estimate = _read_completion(document, raw_path, body)
    return Call(
        request_id=request_id,
        document=document,
        account=account,
        method=method,
        path=_read_target(raw_path, env.get("QUERY_STRING", "")),
        headers=headers_to_forward(env, _is_dropped),
        body=body,
        idempotency_key=key,
        key_hash=0 if is_repeatable or not key else _hash_key(document, account, key),
        is_repeatable=is_repeatable,
        is_stream=is_stream,
        estimate=_read_cost_hint(env) or estimate,
        prefix=prefix_hashes(prompt) if prompt else [],
        arrived_ms=now_ms,
        release_body=lambda: release_body(env),
    )


def _hash_key(document: ServiceDocument, account: str, key: str) -> int:
    # The hash is sent as a signed integer; 0 stands for no key.
    text = f"{document.qualified()}\0{account}\0{key}"
    return (xxh64_intdigest(text.encode()) >> 1) | 1


def _read_request_id(env: dict) -> str:
    request_id = env.get("HTTP_X_REQUEST_ID") or secrets.token_hex(8)
    if REQUEST_ID_PATTERN.fullmatch(request_id):
        return request_id
    raise CallProblem(
        400,
        "malformed_request_id",
        "the X-Request-Id header is malformed",
        "use 1 to 128 printable ASCII characters without spaces",
    )


def _find_service(
    env: dict, configuration: Configuration
) -> tuple[ServiceDocument, str]:
    parts = env["RAW_PATH_INFO"].split("/", 3)
    name = "/".join(parts[1:3])
    document = configuration.documents.get(name)
    if document is not None:
        return document, "/" + (parts[3] if len(parts) > 3 else "")
    raise CallProblem(
        404,
        "unknown_service",
        f"there is no service {name[:80]!r}",
        "begin the path with /SIDE/SERVICE of a service document in force",
    )


def _read_target(raw_path: str, query: str) -> str:
    target = f"{raw_path}?{query}" if query else raw_path
    if PATH_PATTERN.fullmatch(target):
        return target
    raise CallProblem(
        400,
        "malformed_path",
        "the path has characters that are not printable ASCII",
        "percent-encode them",
    )


def _find_account(env: dict, document: ServiceDocument) -> str:
    scheme, _, key = env.get("HTTP_AUTHORIZATION", "").partition(" ")
    account = document.find_account_by_key(key.strip()) if scheme == "Bearer" else None
    if account:
        return account.name
    raise CallProblem(
        401,
        "unknown_account",
        f"the key names no client account of {document.qualified()}",
        "send Authorization: Bearer with the key of an account in its document",
    )


def _read_idempotency_key(env: dict) -> str:
    key = env.get("HTTP_IDEMPOTENCY_KEY", "")
    if not key or REQUEST_ID_PATTERN.fullmatch(key):
        return key
    raise CallProblem(
        400,
        "malformed_idempotency_key",
        "the Idempotency-Key header is malformed",
        "use 1 to 128 printable ASCII characters without spaces",
    )


def _read_cost_hint(env: dict) -> float:
    text = env.get("HTTP_X_COST_HINT", "")
    if not text:
        return 0.0
    try:
        hint = float(text)
    except ValueError:
        hint = -1.0
    if 0 <= hint < 1e9:
        return hint
    raise CallProblem(
        400,
        "malformed_cost_hint",
        f"the X-Cost-Hint header is {text[:40]!r}",
        "send a number from 0 to 1e9 in the unit of the service, or leave it out",
    )


def _read_completion(
    document: ServiceDocument, raw_path: str, body: bytes | bytearray
) -> tuple[str, bool, float]:
    # The server receives the path as sent and resolves it to its normal form.
    if document.kind != "engine" or normalise_path(raw_path) != COMPLETIONS_PATH:
        return "", False, 0.0
    try:
        fields = json.loads(body)
        prompt = fields.get("prompt", "")
        max_tokens = fields.get("max_tokens") or 0
        has_valid_types = isinstance(prompt, str) and isinstance(
            max_tokens, int | float
        )
        if has_valid_types and 0 <= max_tokens < 1e9:
            return prompt, fields.get("stream") is True, float(max_tokens)
    except (ValueError, AttributeError, RecursionError):
        pass
    raise CallProblem(
        400,
        "malformed_completion",
        "the body is not a completion request",
        "send a JSON object with a string prompt and a number max_tokens",
    )


def _is_dropped(name: str) -> bool:
    return name in _DROPPED_HEADERS or name.startswith("HTTP_X_LAGOONSAIL")


def headers_to_forward(env: dict, is_dropped: Callable[[str], bool]) -> dict[str, str]:
    """Return the request headers to forward to a server.

    Args:
        env: The WSGI environment.
        is_dropped: Returns whether the header with this WSGI name is not forwarded.
    """
    headers = {}
    for name, value in env.items():
        if not name.startswith("HTTP_") or is_dropped(name):
            continue
        headers[name[5:].replace("_", "-").title()] = value
    if env.get("CONTENT_TYPE"):
        headers["Content-Type"] = env["CONTENT_TYPE"]
    return headers
