"""Validated settings of a router that makes its decisions locally."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Addresses of a router and limits of its fleet."""

    name: str
    """Name of the router."""
    callers_address: str
    """IP address and port for callers."""
    readiness_address: str
    """IP address and port of the readiness check for the load balancer."""
    readiness_path: str
    """URL path of the readiness check."""
    metrics_address: str
    """IP address and port of the metrics."""
    metrics_path: str
    """URL path of the metrics."""
    digests_address: str
    """IP address and UDP port for digests of other routers."""
    failure_domain: str
    """Failure domain of the router."""
    store_address: str
    """IP address and port of the store."""
    stop_timeout_ms: float
    """Time from the stop signal until the process is killed."""
    retry_ratio: float
    """Retries allowed per request of a service."""
    retry_slack: float
    """Additional retries allowed per window, over the whole fleet."""
    retry_window_ms: float
    """Length of the window in which retries are counted."""
    cold_overrun: float
    """Factor by which a cold server's rate may be exceeded in a second."""
    cold_slack: float
    """Additional requests that a cold server may receive in a second."""
    max_change_delay_ms: float
    """Time within which a change in the store must take effect."""
    max_connections: int
    """Maximum number of concurrent connections from callers."""
    max_descriptors: int
    """Descriptors that the process may have open, without those reserved for files."""
    memory_limit_bytes: float
    """Memory above which the process is killed."""
