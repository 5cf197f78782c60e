"""The status that a router reports on its admin address."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonsail_ctl.records import RecordError, decode_record, get_map


@dataclass(slots=True)
class ServerStatus:
    """A backend server as the owner of its shard reports it."""

    name: str
    """Unqualified name."""
    limit: int
    """Most requests that it may run now."""
    running: int
    """Number of requests that it runs."""
    state: str
    """``in`` or ``out`` of service."""
    failure_domain: str
    """Failure domain, unqualified."""
    warm: bool
    """Whether it is warm and may run its full load."""


@dataclass(slots=True)
class AccountStatus:
    """A client account as the owner of a shard reports it."""

    name: str
    """Unqualified name."""
    share: float
    """Weight in the fair queue."""
    service: float
    """Work received so far, divided by the share."""
    waiting: int
    """Number of waiting requests."""
    running: int
    """Number of running requests."""


@dataclass(slots=True)
class ShardStatus:
    """A shard that the router owns."""

    name: str
    """``side/service@region``."""
    epoch: int
    """Fencing token of the owner; each new owner has a higher one."""
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
    """Number that is different for each start of the router."""
    side: str
    """Side."""
    region: str
    """Region."""
    failure_domain: str
    """Failure domain, unqualified."""
    state: str
    """``serving`` or ``leaving``."""
    right: str
    """Extent to which it may act as an owner."""
    store: str
    """Whether the router reaches the key-value service."""
    configuration: dict[str, int]
    """Revision in force, by key."""
    shards: list[ShardStatus]
    """Shards that the router owns."""
    owners: dict[str, str]
    """Owner by shard, as the router knows them; empty for no owner."""
    waiting: dict[str, int]
    """Number of waiting requests of its own callers, by service."""
    running: int
    """Number of running requests of its own callers."""
    invariant_violations: int
    """Number of invariant violations."""


def _decode_shard(name: str, source: object) -> ShardStatus:
    if type(source) is not dict:
        raise RecordError("a shard in the status is not a JSON object")
    servers = [
        decode_record(ServerStatus, item, name=server)
        for server, item in get_map(source, "servers").items()
    ]
    accounts = [
        decode_record(AccountStatus, item, name=account)
        for account, item in get_map(source, "accounts").items()
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
        raise RecordError("the status is not a JSON object")
    shards = [
        _decode_shard(name, item) for name, item in get_map(body, "shards").items()
    ]
    return decode_record(
        RouterStatus,
        body,
        shards=shards,
        configuration=get_map(body, "configuration", int),
        owners=get_map(body, "owners", str),
        waiting=get_map(body, "waiting", int),
    )
