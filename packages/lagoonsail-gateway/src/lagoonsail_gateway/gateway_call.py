"""A caller's request on its way through the router."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lagoonsail_gateway.manifest import token_cost
from lagoonsail_sharing.first_token import Prompt, SharedPart

if TYPE_CHECKING:
    from lagoonsail_gateway.manifest import Route
    from lagoonsail_gateway.request_format import RequestHead


@dataclass(slots=True)
class GatewayCall:
    """One request, checked and ready to be sent."""

    head: RequestHead
    """What its head says."""
    route: Route
    """Route by which it is served."""
    service: str
    """Service that serves it."""
    account: str
    """Client account, empty on public routes."""
    method: str
    """HTTP method."""
    target: str
    """Path and query as they came."""
    body: bytes
    """Whole body."""
    since_ms: float
    """When its head had been read."""
    deadline_ms: float
    """When its answer is due in full."""
    prompt: Prompt | None
    """What decides where it is read; None for plain services."""
    tried: set[str] = field(default_factory=set)
    """Servers that got it, or could not be reached."""
    runs: int = 0
    """Servers on which it may have run."""
    arrivals: int = 0
    """Times that it was sent to a server."""
    last_event_id: str = ""
    """Id of the last whole event that the caller was sent."""

    @property
    def may_have_run(self) -> bool:
        """Whether some server may have run it."""
        return self.runs > 0

    def cost(self) -> int:
        """Return what it takes of the engines, in tokens; 0 for plain services."""
        if self.prompt is None:
            return 0
        return token_cost(self.head.prompt_tokens, self.head.max_output_tokens)


def choose_service(route: Route, prompt: Prompt | None) -> str:
    """Return one of a route's services by their weights.

    Requests with the same prefix get the same service, whose caches then serve them.

    Args:
        route: The route.
        prompt: What decides where the request is read; None for plain services.
    """
    destinations = route.destinations
    if len(destinations) == 1:
        return destinations[0].service
    if prompt is not None and prompt.prefix:
        text = f"{route.name}\0{prompt.prefix}"
        point = xxh64_intdigest(text.encode()) / 2**64
    else:
        point = random.random()
    point *= sum(destination.weight for destination in destinations)
    for destination in destinations:
        point -= destination.weight
        if point < 0:
            return destination.service
    return destinations[-1].service


def make_prompt(head: RequestHead) -> Prompt | None:
    """Return what of a request's prompt decides where it is read.

    Each shared part is named with all before it, as it is kept only behind them.

    Args:
        head: Head of the request.
    """
    if not head.prompt_tokens and not head.prompt_parts:
        return None
    shared = []
    key = 0
    for part in head.prompt_parts[:-1]:
        # 63 bits, since negative keys have another meaning in `PrefixCache`.
        text = f"{key}/{head.model}/{part.part_id}"
        key = xxh64_intdigest(text.encode()) >> 1
        shared.append(SharedPart(key, part.tokens))
    shared_tokens = sum(part.tokens for part in shared)
    return Prompt(tuple(shared), max(0, head.prompt_tokens - shared_tokens))
