"""The two deployments of a fleet: services, failure domains and client accounts."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from lagoonsail_core.names import qualify

SHARED_SERVICE = "avisos"
"""Name of a service that exists on both sides."""
SHARED_DOMAIN = "norte"
"""Name of a failure domain that exists on both sides."""
SHARED_ACCOUNT = "club-norte"
"""Name of a client account that exists on both sides."""
LATENCY_MS = {"cordero": 0.5, "kalapati": 1.5}
"""One-way latency that relays add between failure domains of a side, milliseconds."""


@dataclass(slots=True)
class ServerShape:
    """One backend server of a deployment."""

    name: str
    """Its name, unqualified."""
    failure_domain: str
    """Failure domain, unqualified."""
    region: str = ""
    """Region; empty for the region of its service."""


@dataclass(slots=True)
class ServiceShape:
    """One service of a deployment."""

    side: str
    """The side that owns it."""
    name: str
    """Its name, unqualified."""
    kind: str
    """`engine` or `plain`."""
    region: str
    """Default region of its servers."""
    servers: list[ServerShape]
    """Its servers."""
    accounts: dict[str, float]
    """Share of each account with steady callers."""
    slots: int
    """Slots of each server when it is warm."""
    options: dict[str, str | int | float | bool] = field(default_factory=dict)
    """Additional options of the stand-ins, by name with underscores."""
    limits: dict[str, int] = field(default_factory=dict)
    """Additional lines of the document's section `service`."""
    quiet_accounts: dict[str, float] = field(default_factory=dict)
    """Share of each account without steady callers."""

    def qualified(self) -> str:
        """Return the fleet-wide name."""
        return qualify(self.side, self.name)

    def domains(self) -> list[str]:
        """Return its failure domains, unqualified, in order of their names."""
        return sorted({server.failure_domain for server in self.servers})


@dataclass(slots=True)
class Deployment:
    """All services of one side."""

    side: str
    """Name of the side."""
    region: str
    """Its region."""
    domains: list[str]
    """Failure domains of its routers and servers, unqualified."""
    services: list[ServiceShape]
    """Its services."""
    routers: int
    """Number of its routers."""

    def find(self, name: str) -> ServiceShape:
        """Return the service with the given name.

        Args:
            name: Its name, unqualified.

        Returns:
            The service.
        """
        return next(service for service in self.services if service.name == name)


CORDERO_ACCOUNTS = {
    SHARED_ACCOUNT: 3.0,
    "federacion": 8.0,
    "resultados": 6.0,
    "prensa": 4.0,
    "club-sur": 1.0,
    "club-rio": 1.0,
    "club-valle": 1.0,
    "club-cumbre": 1.0,
    "escuelas": 1.0,
    "voluntarios": 1.0,
    "jueces": 1.0,
    "medicos": 1.0,
    "rutas": 1.0,
    "tienda": 0.5,
    "archivo": 0.5,
    "pruebas": 0.5,
}
"""Shares of Cordero's client accounts."""

KALAPATI_ACCOUNTS = {
    SHARED_ACCOUNT: 2.0,
    "federation": 8.0,
    "results": 5.0,
    "loft-alliance": 4.0,
    "loft-east": 1.0,
    "loft-west": 1.0,
    "loft-bay": 1.0,
    "loft-hill": 1.0,
    "breeders": 1.0,
    "vets": 1.0,
    "timing": 1.0,
    "transport": 1.0,
    "auctions": 1.0,
    "shop": 0.5,
    "archive": 0.5,
    "trials": 0.5,
}
"""Shares of Kalapati's client accounts."""


def account_key(side: str, service: str, account: str) -> str:
    """Return the API key of an account for a service in the laboratory.

    Args:
        side: Side of the service.
        service: Service, unqualified.
        account: Account, unqualified.

    Returns:
        The key.

    Example:
        >>> account_key("cordero", "registro", "prensa")
        'cordero-registro-prensa-key'
    """
    return f"{side}-{service}-{account}-key"


def _make_servers(service: str, count: int, domains: list[str]) -> list[ServerShape]:
    return [
        ServerShape(f"{service}-{number + 1}", domains[number % len(domains)])
        for number in range(count)
    ]


def _make_deployment(
    side: str,
    region: str,
    domains: list[str],
    accounts: dict[str, float],
    engine: tuple[str, int],
    plain: tuple[str, int],
    routers: int,
) -> Deployment:
    def make(
        name: str, kind: str, count: int, slots: int, domains: list[str]
    ) -> ServiceShape:
        servers = _make_servers(name, count, domains)
        return ServiceShape(side, name, kind, region, servers, accounts, slots)

    services = [
        make(engine[0], "engine", engine[1], 8, domains),
        make(plain[0], "plain", plain[1], 4, domains),
        make(SHARED_SERVICE, "plain", 1, 4, [SHARED_DOMAIN]),
    ]
    return Deployment(side, region, domains, services, routers)


def make_cordero(routers: int = 6, engines: int = 10, plain: int = 4) -> Deployment:
    """Return Cordero's deployment.

    Args:
        routers: Number of routers.
        engines: Number of servers of `asistente`.
        plain: Number of servers of `registro`.

    Returns:
        The deployment.
    """
    return _make_deployment(
        "cordero",
        "sierra-central",
        ["banos", "puyo", "ambato", "latacunga"],
        CORDERO_ACCOUNTS,
        ("asistente", engines),
        ("registro", plain),
        routers,
    )


def make_kalapati(routers: int = 6, engines: int = 5, plain: int = 3) -> Deployment:
    """Return Kalapati's deployment.

    Args:
        routers: Number of routers.
        engines: Number of servers of `model-desk`.
        plain: Number of servers of `clock-app`.

    Returns:
        The deployment.
    """
    return _make_deployment(
        "kalapati",
        "luzon",
        ["luzon-a", "luzon-b", "luzon-c"],
        KALAPATI_ACCOUNTS,
        ("model-desk", engines),
        ("clock-app", plain),
        routers,
    )


def write_document(
    service: ServiceShape,
    addresses: dict[str, str],
    domains_out: frozenset[str] = frozenset(),
    servers_out: frozenset[str] = frozenset(),
) -> str:
    """Return the service document of a service.

    Args:
        service: The service.
        addresses: Address of each server by its unqualified name.
        domains_out: Failure domains that are out of service, unqualified.
        servers_out: Servers that are out of service, unqualified.

    Returns:
        The document, INI text.
    """
    sections = [
        (
            "service",
            {
                "side": service.side,
                "name": service.name,
                "kind": service.kind,
                "region": service.region,
                **service.limits,
            },
        )
    ]
    for domain in service.domains():
        state = "out" if domain in domains_out else "in"
        sections.append((f"failure-domain {domain}", {"state": state}))
    for server in service.servers:
        values = {
            "address": addresses[server.name],
            "failure_domain": server.failure_domain,
            "slots": service.slots,
            "cold_slots": service.options.get("cold_slots", 1),
            "checks_fencing": "yes" if service.kind == "engine" else "no",
            "state": "out" if server.name in servers_out else "in",
        }
        if server.region:
            values["region"] = server.region
        sections.append((f"server {server.name}", values))
    for account, share in {**service.accounts, **service.quiet_accounts}.items():
        key = account_key(service.side, service.name, account)
        digest = hashlib.sha256(key.encode()).hexdigest()
        values = {"share": f"{share:g}", "key_sha256": digest}
        sections.append((f"account {account}", values))
    if service.kind == "plain":
        sections.append(("calls POST /bibs", {"repeatable": "no"}))
        sections.append(("calls POST /search", {"repeatable": "yes"}))
    return "\n".join(_write_section(title, values) for title, values in sections)


def _write_section(title: str, values: dict[str, object]) -> str:
    lines = [f"[{title}]", *(f"{name} = {value}" for name, value in values.items())]
    return "\n".join(lines) + "\n"
