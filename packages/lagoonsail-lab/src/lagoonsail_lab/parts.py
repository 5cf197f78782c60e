"""Data classes for the routers, backend servers and relays of a fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.names import qualify

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_lab.deployments import Deployment, ServiceShape
    from lagoonsail_lab.processes import Process


@dataclass(slots=True)
class Router:
    """One router of the fleet."""

    name: str
    """Its name."""
    side: str
    """Its side."""
    region: str
    """Its region."""
    failure_domain: str
    """Its failure domain, unqualified."""
    callers: str = ""
    """Address on which it serves callers."""
    admin: str = ""
    """Address on which it serves operators."""
    peers: str = ""
    """Address on which it listens for other routers."""
    source: str = ""
    """Source address of its outgoing connections, on loopback; empty for any."""
    host_state: str = "live"
    """Its state in the host list: live, leaving, or empty if it is not listed."""
    process: Process | None = None
    """Its process; None before the first start."""


@dataclass(slots=True)
class Backend:
    """One backend server of the fleet."""

    service: ServiceShape
    """Its service."""
    name: str
    """Its name, unqualified."""
    failure_domain: str
    """Its failure domain, unqualified."""
    address: str = ""
    """Address on which it listens."""
    relay: str = ""
    """Address of the relay through which routers reach it; empty without a relay."""
    process: Process | None = None
    """Its process; None before the start."""

    def qualified(self) -> str:
        """Return the fleet-wide name."""
        return qualify(self.service.side, self.name)


@dataclass(slots=True)
class Relay:
    """A relay that can cut or delay the connections it forwards."""

    address: str
    """Address on which it listens."""
    control: str
    """Address of its control interface."""
    process: Process
    """Its process."""


def make_backends(service: ServiceShape) -> list[Backend]:
    """Return the backend servers of a service without starting them.

    Args:
        service: The service.

    Returns:
        The backend servers.
    """
    return [
        Backend(service, server.name, server.failure_domain)
        for server in service.servers
    ]


def make_routers(deployment: Deployment) -> list[Router]:
    """Return the routers of a deployment without starting them.

    Args:
        deployment: The deployment.

    Returns:
        The routers.
    """
    domains = deployment.domains
    return [
        Router(
            f"{deployment.side}-{number + 1}",
            deployment.side,
            deployment.region,
            domains[number % len(domains)],
        )
        for number in range(deployment.routers)
    ]


def assign_source_addresses(routers: Iterable[Router]) -> None:
    """Assign each router its own loopback source address.

    Args:
        routers: The routers, at most 250.
    """
    for number, router in enumerate(routers, 2):
        router.source = f"127.0.1.{number}"


def make_host_entries(
    routers: Iterable[Router], relays: dict[str, Relay]
) -> list[dict[str, object]]:
    """Return the host list entries of the routers that are to be listed.

    Args:
        routers: The routers.
        relays: Relays by name; the address of a router's `peers-ROUTER` relay
            replaces its own.

    Returns:
        The entries, in the format of HTTP service discovery.
    """
    hosts = []
    for router in routers:
        if not router.host_state:
            continue
        relay = relays.get(f"peers-{router.name}")
        labels = {
            "name": router.name,
            "state": router.host_state,
            "failure_domain": router.failure_domain,
            "side": router.side,
            "region": router.region,
        }
        address = relay.address if relay else router.peers
        hosts.append({"targets": [address], "labels": labels})
    return hosts
