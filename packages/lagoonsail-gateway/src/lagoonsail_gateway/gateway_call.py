"""A request from a caller and its state inside the router."""

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
    """A validated request and the record of its attempts."""

    head: RequestHead
    """Decoded request head."""
    route: Route
    """Route that it matched."""
    service: str
    """Service that it is sent to."""
    account: str
    """Client account, empty on public routes."""
    method: str
    """HTTP method."""
    target: str
    """Path and query as received."""
    body: bytes
    """Request body."""
    arrived_ms: float
    """When its head was read."""
    deadline_ms: float
    """When the response must be complete."""
    prompt: Prompt | None
    """Prompt used to select the engine; None for services without engines."""
    tried_server_ids: set[str] = field(default_factory=set)
    """Ids of servers that it was sent to or that were unreachable."""
    possible_runs: int = 0
    """Number of servers on which it may have run."""
    send_count: int = 0
    """Number of times that it was sent to a server."""
    last_event_id: str = ""
    """Id of the last complete event sent to the caller."""

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have run it."""
        return self.possible_runs > 0

    def shared_part_ids(self) -> list[str]:
        """Return the ids of the parts of its prompt that other requests may share."""
        return [part.part_id for part in self.head.prompt_parts[:-1]]

    def cost(self) -> int:
        """Return its cost in tokens, 0 without a prompt; see `token_cost`."""
        if self.prompt is None:
            return 0
        return token_cost(self.head.prompt_tokens, self.head.max_output_tokens)


def choose_service(route: Route, prompt: Prompt | None) -> str:
    """Return one of a route's services, selected by weight.

    Requests with the same prompt prefix go to the same service and hit its caches.

    Args:
        route: The route.
        prompt: Prompt of the request; None for services without engines.
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
    """Return the prompt by which an engine is selected, None if there is none.

    The key of a shared part covers all parts before it, because an engine caches a part
    only together with the prefix before it.

    Args:
        head: Head of the request.
    """
    if not head.prompt_tokens and not head.prompt_parts:
        return None
    shared = []
    key = 0
    for part in head.prompt_parts[:-1]:
        # 63 bits, because negative keys have another meaning in `PrefixCache`.
        text = f"{key}/{head.model}/{part.part_id}"
        key = xxh64_intdigest(text.encode()) >> 1
        shared.append(SharedPart(key, part.tokens))
    shared_tokens = sum(part.tokens for part in shared)
    return Prompt(
        tuple(shared),
        max(0, head.prompt_tokens - shared_tokens),
        head.max_output_tokens,
    )
