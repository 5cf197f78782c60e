"""The current configuration: routes, services, client accounts and limits."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

IDEMPOTENT = "idempotent"
"""Route kind whose requests may run more than once."""
NON_IDEMPOTENT = "non_idempotent"
"""Route kind whose requests run at most once."""
STREAMING = "streaming"
"""Route kind whose responses are event streams. Its requests run at most once, unless
the streams are resumable."""


@dataclass(slots=True, frozen=True)
class Destination:
    """A service that receives a fraction of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Weight of the service, relative to the other destinations."""


@dataclass(slots=True, frozen=True)
class Route:
    """Destinations and limits of the requests with one hostname and path prefix."""

    name: str
    """Name used in logs."""
    hostname: str
    """Value of the Host header, in lower case."""
    path_prefix: str
    """Prefix of the path; begins and ends with a slash."""
    kind: str
    """IDEMPOTENT, NON_IDEMPOTENT or STREAMING."""
    destinations: Sequence[Destination]
    """Services among which the requests are distributed."""
    timeout_ms: float
    """Maximum time until the response is complete."""
    objective_ms: float
    """Latency objective, within which a response has its full value to the caller."""
    priority: int
    """Priority; 0 is the highest."""
    max_servers: int
    """Maximum number of backend servers to which one request may be sent."""
    is_public: bool
    """Whether the route needs no API key."""
    is_resumable: bool
    """Whether a stream can be resumed at another server."""

    def is_retryable(self) -> bool:
        """Return whether a request may be retried after it may have run."""
        return self.kind == IDEMPOTENT or self.is_resumable


@dataclass(slots=True, frozen=True)
class Engine:
    """Properties shared by the backend servers of a model service."""

    slots: int
    """Maximum number of concurrent requests per server."""
    cache_tokens: int
    """Number of tokens that fit into the memory of one server."""


@dataclass(slots=True, frozen=True)
class Service:
    """A group of backend servers."""

    name: str
    """Name of the service."""
    max_connections: int
    """Maximum number of connections to one server, from all routers together."""
    cold_ms: float
    """How long a server is cold after its start."""
    cold_requests_per_s: float
    """Maximum request rate of a cold server, from all routers together."""
    engine: Engine | None
    """Engine properties, None if the servers run no language models."""
    health_path: str = ""
    """Path at which a server says how it is, empty if there is none."""


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """A client account, among which the capacity is shared."""

    name: str
    """Name that is sent to the backend servers."""
    priority: int | None
    """Priority that overrides the one of the route, None if unset; 0 is the highest."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on requests from callers, and the total rate of the servers."""

    max_body_bytes: int
    """Maximum size of a request body."""
    idle_timeout_ms: float
    """Idle timeout of connections from callers."""
    tokens_per_s: float
    """Cost in tokens that all servers together process per second, 0 if unknown; see
    `token_cost`."""
    max_head_bytes: int = 65_536
    """Maximum size of the headers of a request."""
    head_timeout_ms: float = 3000.0
    """Maximum time in which the head of a request arrives."""


@dataclass(slots=True)
class Manifest:
    """A valid version of the configuration."""

    version: int
    """Version number, increased by each change."""
    routes: Sequence[Route]
    """All routes."""
    services: dict[str, Service]
    """Services by name."""
    accounts: dict[str, ClientAccount]
    """Client accounts by API key."""
    limits: Limits
    """Fleet-wide limits."""
    requires_api_keys: bool
    """Whether non-public routes require an API key."""
    _by_hostname: dict[str, list[Route]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        by_hostname = defaultdict(list)
        for route in self.routes:
            by_hostname[route.hostname].append(route)
        for routes in by_hostname.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_hostname = dict(by_hostname)

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, None if none matches.

        Args:
            hostname: Value of the Host header.
            path: Path without the query string.
        """
        routes = self._by_hostname.get(hostname.lower())
        if routes is None:
            routes = self._by_hostname.get(hostname.lower().partition(":")[0], ())
        return next((r for r in routes if path.startswith(r.path_prefix)), None)


def token_cost(prompt_tokens: int, output_tokens: int) -> int:
    """Return the cost of a request, in the unit of `Limits.tokens_per_s`.

    A generated token counts twice, because it takes about twice as much of an engine.

    Example:
        >>> token_cost(prompt_tokens=100, output_tokens=10)
        120
    """
    return prompt_tokens + 2 * output_tokens
