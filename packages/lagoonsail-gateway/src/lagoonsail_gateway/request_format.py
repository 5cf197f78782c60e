"""What a request and an answer say in their heads, whatever their headers' names.

The names are the business of the adapter that makes a `RequestFormat`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

Headers = list[tuple[str, str]]
"""Header fields in order."""
ONE_CONNECTION_HEADERS = frozenset(
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
"""Headers that concern one connection only, in lower case."""


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    """Names the part."""
    tokens: int
    """Its length."""


@dataclass(slots=True, frozen=True)
class RequestHead:
    """What the head of a caller's request says."""

    request_id: str
    """Names the caller's attempt, in the answer as well."""
    api_key: str
    """Key of a client account, empty if there is none."""
    patience_ms: float | None
    """How long the caller waits for the whole answer."""
    model: str
    """Model that is asked for, empty for plain services."""
    prompt_tokens: int
    """Tokens of the prompt."""
    max_output_tokens: int
    """Most tokens that are generated."""
    prompt_parts: Sequence[PromptPart]
    """Parts of the prompt in order; the last belongs to this request alone."""
    headers: Headers
    """Headers that a backend server gets as they are."""


@dataclass(slots=True, frozen=True)
class ServerLoad:
    """What a server says of its load in an answer."""

    running: int
    """Requests that run."""
    waiting: int
    """Requests that wait for a slot."""
    slots: int
    """Requests that can run at once."""


@dataclass(slots=True, frozen=True)
class AnswerFacts:
    """What the head of a server's answer says."""

    request_id: str
    """Request that it answers, empty if it does not say."""
    is_not_run: bool
    """Whether the server states that it did not run the request."""
    is_wrong_server: bool
    """Whether another server than the expected one answered."""
    is_sealed: bool
    """Whether the answer carries the server's proof of origin."""
    load: ServerLoad | None
    """Load of the server, if it tells."""


@dataclass(slots=True, frozen=True)
class RequestFormat:
    """Reads and writes the heads of requests and answers."""

    read_request: Callable[[dict], RequestHead | None]
    """Decodes the WSGI environment; None if the head is malformed."""
    write_request: Callable[[RequestHead, str, str, float, str], Headers]
    """Gives the headers for a server: the head, server's id, account's name,
    milliseconds that are left, and id of the last event that the caller has."""
    read_answer: Callable[[int, Headers], AnswerFacts]
    """Decodes status and headers of a server's answer."""
