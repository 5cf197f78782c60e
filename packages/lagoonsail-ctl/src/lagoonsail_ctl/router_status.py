"""The status that a router gives on its admin address."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonsail_ctl.records import RecordError, decode_record, take_map


@dataclass(slots=True)
class ServerStatus:
    """A backend server as the owner of its shard sees it."""

    name: str
    """Unqualified name."""
    limit: int
    """Requests that it may run now."""
    running: int
    """Requests that it runs."""
    state: str
    """Whether it is in or out."""
    failure_domain: str
    """Failure domain, unqualified."""
    warm: bool
    """Whether it bears its full load."""


@dataclass(slots=True)
class AccountStatus:
    """A client account as the owner of a shard sees it."""

    name: str
    """Unqualified name."""
    share: float
    """Its weight."""
    service: float
    """Normalised service so far."""
    waiting: int
    """Requests that wait."""
    running: int
    """Requests that run."""


@dataclass(slots=True)
class ShardStatus:
    """A shard that the router owns."""

    name: str
    """``side/service@region``."""
    epoch: int
    """Fencing number of the owner."""
    servers: list[ServerStatus]
    """Backend servers."""
    accounts: list[AccountStatus]
    """Client accounts."""


@dataclass(slots=True)
class RouterStatus:
    """Status of one router."""

    router: str
    """Name."""
    incarnation: int
    """Number that differs for each start."""
    side: str
    """Side."""
    region: str
    """Region."""
    failure_domain: str
    """Failure domain, unqualified."""
    state: str
    """Whether it is serving or leaving."""
    right: str
    """Its right to act as an owner."""
    store: str
    """Whether it reaches the key-value service."""
    configuration: dict[str, int]
    """Revision in force, by key."""
    shards: list[ShardStatus]
    """Shards that it owns."""
    owners: dict[str, str]
    """Owner by shard, as it knows them."""
    waiting: dict[str, int]
    """Requests of its own callers that wait, by service."""
    running: int
    """Requests of its own callers that run."""
    invariant_violations: int
    """Invariants that did not hold."""


def _decode_shard(name: str, source: object) -> ShardStatus:
    if type(source) is not dict:
        raise RecordError("status with a shard that is not a map")
    servers = [
        decode_record(ServerStatus, item, name=server)
        for server, item in take_map(source, "servers").items()
    ]
    accounts = [
        decode_record(AccountStatus, item, name=account)
        for account, item in take_map(source, "accounts").items()
    ]
    return decode_record(
        ShardStatus, source, name=name, servers=servers, accounts=accounts
    )


def decode_status(body: object) -> RouterStatus:
    """Check and decode the answer of ``GET /status``.

    Args:
        body: Decoded JSON.

    Returns:
        The status.

    Raises:
        RecordError: If the answer is not a status.
    """
    if type(body) is not dict:
        raise RecordError("status that is not a map")
    shards = [
        _decode_shard(name, item) for name, item in take_map(body, "shards").items()
    ]
    return decode_record(
        RouterStatus,
        body,
        shards=shards,
        configuration=take_map(body, "configuration", int),
        owners=take_map(body, "owners", str),
        waiting=take_map(body, "waiting", int),
    )
