"""Routers, backend servers and relays of a fleet of processes."""

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
    """Address for callers."""
    admin: str = ""
    """Address for operators."""
    peers: str = ""
    """Address where it listens for other routers."""
    source: str = ""
    """Loopback address that its own connections come from; empty for any."""
    host_state: str = "live"
    """What the host list says of it: live, leaving, or empty if not listed."""
    process: Process | None = None
    """Its process, after the first start."""


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
    """Where it listens."""
    relay: str = ""
    """Address of the relay that routers reach it through, empty if there is none."""
    process: Process | None = None
    """Its process, after the start."""

    def qualified(self) -> str:
        """Return the fleet-wide name."""
        return qualify(self.service.side, self.name)


@dataclass(slots=True)
class Relay:
    """A relay in the path of a connection, to cut or slow it."""

    address: str
    """Where it listens."""
    control: str
    """Address of its controls."""
    process: Process
    """Its process."""


def make_backends(service: ServiceShape) -> list[Backend]:
    """Return the backend servers of a service, not started.

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
    """Return the routers of a deployment, not started.

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


def give_sources(routers: Iterable[Router]) -> None:
    """Give each router a loopback address that its own connections come from.

    Args:
        routers: The routers, at most 250.
    """
    for number, router in enumerate(routers, 2):
        router.source = f"127.0.1.{number}"


def describe_hosts(
    routers: Iterable[Router], relays: dict[str, Relay]
) -> list[dict[str, object]]:
    """Return what the host list shows of the routers that are to be listed.

    Args:
        routers: The routers.
        relays: Relays by name; that of a router's streams stands for its address.

    Returns:
        The entries, as HTTP service discovery shows them.
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
