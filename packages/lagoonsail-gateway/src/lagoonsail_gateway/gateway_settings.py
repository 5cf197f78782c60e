"""Checked settings of a router that decides alone."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Where a router listens, and the bounds that its fleet keeps."""

    name: str
    """Name of the router."""
    callers_address: str
    """IP number and port for callers."""
    readiness_address: str
    """IP number and port at which the balancer asks whether it is ready."""
    readiness_path: str
    """Path of that question."""
    metrics_address: str
    """IP number and port of the metrics."""
    metrics_path: str
    """Path of the metrics."""
    digests_address: str
    """IP number and port for digests of other routers, by UDP."""
    failure_domain: str
    """Failure domain that the router stands in."""
    store_address: str
    """IP number and port of the store."""
    stop_timeout_ms: float
    """Time from the request to stop until the process is killed."""
    repeat_ratio: float
    """Requests that may be sent once more, for each request of a service."""
    repeat_slack: float
    """Requests that may be sent once more beyond that share, over the whole fleet."""
    repeat_window_ms: float
    """Window in which repeats are counted."""
    cold_overrun: float
    """Factor by which a cold server's rate may be exceeded in a second."""
    cold_slack: float
    """Requests that a cold server may get in a second beyond that."""
    change_ms: float
    """Time within which a change in the store must be in force."""
    max_connections: int
    """Connections of callers that are served at once."""
