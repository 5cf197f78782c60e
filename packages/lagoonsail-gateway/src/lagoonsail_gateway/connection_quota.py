"""This router's quota of connections to each server.

A server takes a limited number of connections from all routers together and resets
those beyond it. Each router keeps to its quota, which no message has to grant.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.manifest import Manifest, Service
    from lagoonsail_gateway.server_directory import Server

MIN_QUOTA = 1
"""Smallest quota: with more routers than connections, each may still use the server."""


class ConnectionQuota:
    """Quotas by server, calculated anew when members or manifest change."""

    __slots__ = ("_members_version", "_quotas", "_routers", "_services")

    def __init__(self, routers: FleetMembers) -> None:
        self._routers = routers
        self._services: Mapping[str, Service] = {}
        self._quotas: dict[str, float] = {}
        self._members_version = routers.version

    def apply_manifest(self, manifest: Manifest) -> None:
        """Use the services of a manifest.

        Args:
            manifest: The manifest in force.
        """
        self._services = manifest.services
        self._quotas = {}

    def max_open_to(self, server: Server) -> float:
        """Return how many connections to a server this router may have.

        Args:
            server: The server.

        Returns:
            The number; infinity if its service states no limit.
        """
        if self._members_version != self._routers.version:
            self._members_version = self._routers.version
            self._quotas = {}
        server_id = server.record.server_id
        quota = self._quotas.get(server_id)
        if quota is None:
            quota = self._quotas[server_id] = self._calculate(server)
        return quota

    def _calculate(self, server: Server) -> float:
        service = self._services.get(server.record.service)
        if service is None or service.max_connections <= 0:
            return math.inf
        quota = self._routers.quota_of(service.max_connections, server.record.server_id)
        return max(MIN_QUOTA, quota)
