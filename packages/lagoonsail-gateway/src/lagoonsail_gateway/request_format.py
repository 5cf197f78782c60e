"""Decoded heads of requests and responses, independent of header names.

Header names are known only to the adapter that creates a `RequestFormat`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lagoonsail_sharing.server_load import LoadReport

Headers = list[tuple[str, str]]
"""Header fields as (name, value) pairs, in order."""
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers, in lower case."""


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may contain as well."""

    part_id: str
    """Identifier of the part."""
    tokens: int
    """Length in tokens."""


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Decoded head of a caller's request."""

    request_id: str
    """Identifier of the caller's attempt, repeated in the response."""
    api_key: str
    """API key of a client account, empty if there is none."""
    caller_timeout_ms: float | None
    """How long the caller waits for the complete response, None if not stated."""
    model: str
    """Requested model, empty for services without models."""
    prompt_tokens: int
    """Length of the prompt in tokens."""
    max_output_tokens: int
    """Maximum number of generated tokens."""
    prompt_parts: Sequence[PromptPart]
    """Parts of the prompt in order; the last one is specific to this request."""
    headers: Headers
    """Headers that are forwarded unchanged to a backend server."""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Decoded head of a server's response."""

    request_id: str
    """Id of the request that it belongs to, empty if not stated."""
    is_not_executed: bool
    """Whether the server states that it did not run the request."""
    is_wrong_server: bool
    """Whether the response came from a different server than expected."""
    is_sealed: bool
    """Whether the response carries the server's proof of origin."""
    load: LoadReport | None
    """Load of the server, None if not reported."""
    is_leaving: bool = False
    """Whether the server states that it is leaving."""
    backoff_ms: float | None = None
    """Time for which the server wants no requests, None if not stated."""
    server_id: str = ""
    """Id of the server that responds, empty if not stated."""
    cold_left_ms: float | None = None
    """Remaining cold time of the server, None if it is not known."""


@dataclass(slots=True, frozen=True)
class RequestFormat:
    """Decodes and encodes the heads of requests and responses."""

    read_request: Callable[[dict], RequestHead | None]
    """Decodes the head from the WSGI environment; None if it is malformed."""
    write_request: Callable[[RequestHead, str, str, float, str], Headers]
    """Returns the request headers for a server, given the request head, the server's
    id, the client account, the remaining milliseconds, and the id of the last event
    that the caller received."""
    read_response: Callable[[int, Headers], ResponseHead]
    """Decodes the status and headers of a server's response."""
