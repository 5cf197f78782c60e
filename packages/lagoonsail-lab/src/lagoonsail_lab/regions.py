"""A fleet in several regions that can be cut off from each other and from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.names import qualify
from lagoonsail_lab.deployments import Deployment, ServerShape, ServiceShape
from lagoonsail_lab.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Iterable

NEAR, FAR, THIRD = "sierra-central", "luzon", "oriente"
"""The regions."""
SIDES = {NEAR: "cordero", FAR: "kalapati", THIRD: "pastaza"}
"""Side of each region's routers, which is the prefix of their names."""
DOMAINS = ["banos", "puyo", "tena"]
"""Failure domains, one for each region."""
PLAIN, ENGINE = "registro", "asistente"
"""The services, both owned by the first side, with a server in each region."""
ACCOUNTS = {"club-norte": 3.0, "prensa": 1.0}
"""Share of each account."""
SLOTS = 4
"""Slots of each server."""
OPTIONS = {"cold_slots": SLOTS, "warm_after": 1}
"""Options of the servers. All slots are usable even if a server appears cold: calls of
arbitrary duration would look like a cold server, and slow start is not tested here."""
LEASE_MS = 2000
"""Lease time of the routers, milliseconds."""
SETTINGS = {
    "store": {"lease_ttl_ms": LEASE_MS, "timeout_ms": 500},
    "host-list": {"max_lag_ms": 2000},
}
"""Settings of the routers by section and key."""


def make_fleet(
    routers: int = 2,
    accounts: dict[str, float] | None = None,
    regions: tuple[str, ...] = (NEAR, FAR),
    **limits: int,
) -> Fleet:
    """Return a fleet whose services have one server in each region.

    Args:
        routers: Number of routers in each region.
        accounts: Share of each account; ACCOUNTS if None.
        regions: The regions, a prefix of SIDES.
        limits: Additional lines of the documents' section `service`.

    Returns:
        The fleet, not started, with relays in front of all routers, and in front of the
        key-value service for the routers of the first region.
    """

    def make(name: str, kind: str) -> ServiceShape:
        servers = [
            ServerShape(f"{name}-{number + 1}", DOMAINS[number], region)
            for number, region in enumerate(regions)
        ]
        values = {"queue_timeout_ms": 15000, **limits}
        return ServiceShape(
            SIDES[NEAR],
            name,
            kind,
            NEAR,
            servers,
            accounts or ACCOUNTS,
            SLOTS,
            OPTIONS,
            values,
        )

    services = [make(PLAIN, "plain"), make(ENGINE, "engine")]
    # The first side owns all services.
    deployments = [
        Deployment(
            SIDES[region],
            region,
            [DOMAINS[number]],
            [] if number else services,
            routers,
        )
        for number, region in enumerate(regions)
    ]
    names = {
        region: [f"{SIDES[region]}-{number + 1}" for number in range(routers)]
        for region in regions
    }
    return Fleet(
        deployments,
        settings=SETTINGS,
        relayed_store=names[NEAR],
        relayed_peers=sum(names.values(), []),
    )


def routers_of(fleet: Fleet, region: str) -> list[str]:
    """Return the names of a region's routers."""
    return [name for name, router in fleet.routers.items() if router.region == region]


def cut_regions(fleet: Fleet, is_cut: bool = True) -> None:
    """Cut or restore the streams between the first two regions.

    Args:
        fleet: The fleet.
        is_cut: Whether to cut the streams.
    """
    for region, other in ((NEAR, FAR), (FAR, NEAR)):
        text = f'"{SIDES[other]}-' if is_cut else ""
        for name in routers_of(fleet, region):
            fleet.control_relay(f"peers-{name}", cut_from=text)


def cut_store(fleet: Fleet, mode: str = "cut") -> None:
    """Cut the first region off from the key-value service, or restore the path.

    Args:
        fleet: The fleet.
        mode: `cut` or `pass`.
    """
    for name in routers_of(fleet, NEAR):
        fleet.control_relay(f"store-{name}", mode=mode)


def shard_of(service: str, region: str) -> str:
    """Return the name of a service's shard in a region."""
    return f"{qualify(SIDES[NEAR], service)}@{region}"


def owners(fleet: Fleet, shard: str, ask: Iterable[str]) -> set[str]:
    """Return the owners of a shard according to routers; empty text for no owner.

    Args:
        fleet: The fleet.
        shard: The shard.
        ask: Routers to query.
    """
    found = [fleet.status(name) for name in ask]
    return {(status or {}).get("owners", {}).get(shard, "") for status in found}


def runs_at(fleet: Fleet, service: str, region: str) -> list[dict]:
    """Return the accepted runs of a region's server of a service, by start time."""
    number = list(SIDES).index(region) + 1
    record = fleet.record(qualify(SIDES[NEAR], f"{service}-{number}"))
    runs = [run for run in record["runs"] if run["state"] != "refused"]
    return sorted(runs, key=lambda run: run["started_wall_ms"])
