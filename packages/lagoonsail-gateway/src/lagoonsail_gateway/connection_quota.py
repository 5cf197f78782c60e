"""This router's quota of connections to each server.

A server takes a limited number of connections from all routers together and resets
those beyond it. Three quarters are split evenly, so that no message has to grant them.
The last quarter is for routers that get more callers than others: a router borrows from
it what the digests show unused, and keeps idle connections up to a few even shares.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.manifest import Manifest, Service
    from lagoonsail_gateway.server_directory import Server

KEPT_SHARES = 4
"""Even shares of connections up to which a router keeps idle ones. Load balancers
spread callers unevenly, so few routers need more than their share, and opening a
connection for each request costs both sides more than an idle one."""
MIN_QUOTA = 1
"""Smallest quota: with more routers than connections, each may still use the server."""
LENT_RATIO = 0.25
"""Part of a server's connections that is not split. Requests that run fill it before
they fill the even shares, since load is uneven and servers queue little."""


class ConnectionQuota:
    """Quotas by server, calculated anew when members or manifest change."""

    __slots__ = (
        "_members_version",
        "_others_running",
        "_routers",
        "_services",
        "_shares",
    )

    def __init__(
        self, routers: FleetMembers, others_running: Callable[[str], int | None]
    ) -> None:
        """Create quotas without limits, until there is a manifest.

        Args:
            routers: The routers among which connections are split.
            others_running: Returns how many requests of other routers run at a server
                with an id; None if digests do not show it.
        """
        self._routers = routers
        self._others_running = others_running
        self._services: Mapping[str, Service] = {}
        self._shares: dict[str, tuple[float, int]] = {}
        self._members_version = routers.version

    def apply_manifest(self, manifest: Manifest) -> None:
        """Use the services of a manifest.

        Args:
            manifest: The manifest in force.
        """
        self._services = manifest.services
        self._shares = {}

    def max_open_to(self, server: Server) -> float:
        """Return how many connections to a server this router may have.

        Args:
            server: The server.

        Returns:
            The number; infinity if its service states no limit.
        """
        share, lent = self._share(server)
        if not lent:
            return share
        others = self._others_running(server.record.server_id)
        if others is None:
            return share
        return share + max(0, lent - others)

    def max_kept_to(self, server: Server) -> float:
        """Return how many connections to a server may be open for one to be kept idle.

        Args:
            server: The server.
        """
        share, lent = self._share(server)
        return min(KEPT_SHARES * share, share + lent)

    def _share(self, server: Server) -> tuple[float, int]:
        """Return the even share, and what is lent to all routers together."""
        if self._members_version != self._routers.version:
            self._members_version = self._routers.version
            self._shares = {}
        server_id = server.record.server_id
        share = self._shares.get(server_id)
        if share is None:
            share = self._shares[server_id] = self._calculate(server)
        return share

    def _calculate(self, server: Server) -> tuple[float, int]:
        service = self._services.get(server.record.service)
        if service is None or service.max_connections <= 0:
            return math.inf, 0
        lent = int(LENT_RATIO * service.max_connections)
        split = service.max_connections - lent
        share = self._routers.quota_of(split, server.record.server_id)
        return max(MIN_QUOTA, share), lent
