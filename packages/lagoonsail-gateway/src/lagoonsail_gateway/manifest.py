"""The configuration in force: routes, services, client accounts and limits."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

IDEMPOTENT = "idempotent"
"""A request of this kind may run more than once."""
NON_IDEMPOTENT = "non_idempotent"
"""A request of this kind runs at most once."""
STREAMING = "streaming"
"""The answer is a series of events; runs at most once unless it can be resumed."""


@dataclass(slots=True, frozen=True)
class Destination:
    """A service that gets a part of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Part of the requests, relative to the other destinations."""


@dataclass(slots=True, frozen=True)
class Route:
    """Where the requests of one path prefix go, and what they may cost."""

    name: str
    """Name for logs."""
    hostname: str
    """Value of the Host header, in lower case."""
    path_prefix: str
    """Beginning of the path; begins and ends with a slash."""
    kind: str
    """IDEMPOTENT, NON_IDEMPOTENT or STREAMING."""
    destinations: Sequence[Destination]
    """Services that serve the route."""
    timeout_ms: float
    """Longest time until the final answer."""
    objective_ms: float
    """Time within which an answer is worth most to the caller."""
    priority: int
    """Rank; 0 goes first."""
    max_servers: int
    """Backend servers to which one request may be sent."""
    is_public: bool
    """Whether the route needs no API key."""
    is_resumable: bool
    """Whether a stream may go on at another server."""

    def is_repeatable(self) -> bool:
        """Return whether a request may be sent again after it may have run."""
        return self.kind == IDEMPOTENT or self.is_resumable


@dataclass(slots=True, frozen=True)
class Engine:
    """What the backend servers of a model service have in common."""

    slots: int
    """Requests that run at once."""
    cache_tokens: int
    """Tokens that fit into the memory of one server."""


@dataclass(slots=True, frozen=True)
class Service:
    """A group of backend servers."""

    name: str
    """Name of the service."""
    max_connections: int
    """Connections that one server accepts from all routers together."""
    cold_ms: float
    """Time for which a server is cold after its start."""
    cold_requests_per_s: float
    """Requests that a cold server bears in a second, from all routers together."""
    engine: Engine | None
    """Present if the servers run language models."""


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """Someone who shares the capacity with others."""

    name: str
    """Name that the backend servers are told."""
    priority: int | None
    """Rank that goes before that of the route; 0 goes first."""


@dataclass(slots=True, frozen=True)
class Limits:
    """What callers may send, and what the servers give together."""

    max_body_bytes: int
    """Longest body of a request."""
    idle_timeout_ms: float
    """How long a connection of a caller may be idle."""
    tokens_per_s: float
    """Tokens that all servers give in a second, 0 if unknown; see `token_cost`."""


@dataclass(slots=True)
class Manifest:
    """One accepted version of the configuration."""

    version: int
    """Grows with each change."""
    routes: Sequence[Route]
    """All routes."""
    services: dict[str, Service]
    """Services by name."""
    accounts: dict[str, ClientAccount]
    """Client accounts by API key."""
    limits: Limits
    """Limits of the fleet."""
    needs_keys: bool
    """Whether routes that are not public need an API key."""
    _by_hostname: dict[str, list[Route]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        by_hostname = defaultdict(list)
        for route in self.routes:
            by_hostname[route.hostname].append(route)
        for routes in by_hostname.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_hostname = dict(by_hostname)

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        Args:
            hostname: Value of the Host header.
            path: Path without the query.
        """
        routes = self._by_hostname.get(hostname.lower())
        if routes is None:
            routes = self._by_hostname.get(hostname.lower().partition(":")[0], ())
        return next((r for r in routes if path.startswith(r.path_prefix)), None)


def token_cost(prompt_tokens: int, output_tokens: int) -> int:
    """Return what a request takes of `Limits.tokens_per_s`.

    A generated token counts twice, as it takes that much more of an engine.

    Example:
        >>> token_cost(prompt_tokens=100, output_tokens=10)
        120
    """
    return prompt_tokens + 2 * output_tokens
