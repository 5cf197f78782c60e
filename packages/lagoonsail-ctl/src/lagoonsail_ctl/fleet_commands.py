"""The commands show, status and wait."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.documents import DOCUMENTS_PREFIX, resolve_key
from lagoonsail_ctl.errors import BadInputError
from lagoonsail_ctl.fleet import no_answer_error, query_statuses
from lagoonsail_ctl.in_force import wait_in_force
from lagoonsail_ctl.report import Report, render_table

if TYPE_CHECKING:
    from lagoonsail_ctl.connection import Connection
    from lagoonsail_ctl.router_status import RouterStatus, ShardStatus

ROUTER_HEADERS = [
    "router",
    "side",
    "region",
    "failure_domain",
    "state",
    "right",
    "store",
    "shards",
    "running",
    "waiting",
    "violations",
]
"""Columns of the table of routers."""

SERVICE_HEADERS = ["shard", "owner", "epoch", "running", "limit", "waiting"]
"""Columns of the table of services."""
SERVER_FIELDS = ["failure_domain", "state", "warm", "running", "limit"]
"""Columns of the table of backend servers after shard and server."""
ACCOUNT_FIELDS = ["share", "service", "running", "waiting"]
"""Columns of the table of client accounts after shard and account."""


def _as_dicts(headers: list[str], rows: list[list[object]]) -> list[dict[str, object]]:
    return [dict(zip(headers, row, strict=True)) for row in rows]


def _field_values(record: object, names: list[str]) -> list[object]:
    return [getattr(record, name) for name in names]


def _describe_failures(failures: dict[str, str]) -> list[str]:
    return [f"no status of {name}: {reason}" for name, reason in failures.items()]


def _owned_shards(statuses: list[RouterStatus]) -> list[tuple[str, ShardStatus]]:
    """Return each shard with its owner; of two claims the later epoch wins."""
    newest: dict[str, tuple[str, ShardStatus]] = {}
    for status in statuses:
        for shard in status.shards:
            known = newest.get(shard.name)
            if known is None or known[1].epoch < shard.epoch:
                newest[shard.name] = (status.router, shard)
    return [newest[name] for name in sorted(newest)]


def show(connection: Connection, service: str = "") -> Report:
    """Show services, backend servers and client accounts, as their owners report them.

    The service of an account is the work it has received so far, divided by its
    share, in the unit of the service (tokens or ms); it stays nearly equal between
    accounts with waiting requests.

    Examples::

        lagoonctl show
        lagoonctl show cordero/asistente

    Args:
        connection: Key-value service and routers.
        service: SIDE or SIDE/SERVICE (default: all services).
    """
    statuses, failures = query_statuses(connection)
    owned = [
        (owner, shard)
        for owner, shard in _owned_shards(statuses)
        if _is_selected(shard.name, service)
    ]
    services = [_service_row(owner, shard) for owner, shard in owned]
    services += _unreported_shard_rows(statuses, {row[0] for row in services}, service)
    if statuses and service and not services:
        _check_known(statuses, service)
    servers = [
        [shard.name, *_field_values(server, ["name", *SERVER_FIELDS])]
        for _, shard in owned
        for server in shard.servers
    ]
    accounts = [
        [shard.name, *_field_values(account, ["name", *ACCOUNT_FIELDS])]
        for _, shard in owned
        for account in shard.accounts
    ]
    server_headers = ["shard", "server", *SERVER_FIELDS]
    account_headers = ["shard", "account", *ACCOUNT_FIELDS]
    backlog = _sum_waiting(statuses, service)
    data = {
        "services": _as_dicts(SERVICE_HEADERS, services),
        "servers": _as_dicts(server_headers, servers),
        "accounts": _as_dicts(account_headers, accounts),
        "waiting_at_entry": backlog,
        "no_status": failures,
    }
    error = no_answer_error(statuses, failures)
    if error:
        return Report(data, _describe_failures(failures), error=error)
    lines = [
        *render_table(SERVICE_HEADERS, services, "(no shards)"),
        "",
        *render_table(server_headers, servers, "(no backend servers)"),
        "",
        *render_table(account_headers, accounts, "(no client accounts)"),
        "",
        *render_table(
            ["service", "waiting_at_entry"],
            [list(item) for item in backlog.items()],
            "(no requests wait at entry routers)",
        ),
        *_describe_failures(failures),
    ]
    return Report(data, lines)


def _check_known(statuses: list[RouterStatus], selection: str) -> None:
    """Raise BadInputError if no router has a document, shard or call of that name."""
    known = {
        key.removeprefix(DOCUMENTS_PREFIX)
        for status in statuses
        for key in status.configuration
        if key.startswith(DOCUMENTS_PREFIX)
    }
    for status in statuses:
        known |= {shard.partition("@")[0] for shard in status.owners}
        known |= set(status.waiting)
    if any(_is_selected(name, selection) for name in known):
        return
    raise BadInputError(
        f"no service or side {selection[:200]!r}",
        f"use SIDE or SIDE/SERVICE, one of: {', '.join(sorted(known)) or '(none)'}",
    )


def _is_selected(name: str, selection: str) -> bool:
    service = name.partition("@")[0]
    return selection in ("", service) or service.startswith(f"{selection}/")


def _service_row(owner: str, shard: ShardStatus) -> list[object]:
    return [
        shard.name,
        owner,
        shard.epoch,
        sum(server.running for server in shard.servers),
        sum(server.limit for server in shard.servers),
        sum(account.waiting for account in shard.accounts),
    ]


def _unreported_shard_rows(
    statuses: list[RouterStatus], known: set[object], selection: str
) -> list[list[object]]:
    """Return rows of shards that have no owner or whose owner did not report them."""
    owners: dict[str, str] = {}
    for status in statuses:
        for shard, owner in status.owners.items():
            if shard not in known and _is_selected(shard, selection):
                owners[shard] = owner or owners.get(shard, "")
    return [
        [shard, owner, None, None, None, None]
        for shard, owner in sorted(owners.items())
    ]


def _sum_waiting(statuses: list[RouterStatus], selection: str) -> dict[str, int]:
    """Return the number of waiting requests by service over all entry routers."""
    total: dict[str, int] = {}
    for status in statuses:
        for service, waiting in status.waiting.items():
            if _is_selected(service, selection):
                total[service] = total.get(service, 0) + waiting
    return dict(sorted(total.items()))


def status(connection: Connection) -> Report:
    """Show the routers of the fleet, their state and which shards they own.

    With --routers, the command works while the key-value service is down. If no router
    answers, for example because the key is wrong, the exit code is 6.

    Example::

        lagoonctl status --routers 10.0.0.1:8081,10.0.0.2:8081

    Args:
        connection: Key-value service and routers.
    """
    statuses, failures = query_statuses(connection)
    routers = [_router_row(item) for item in statuses]
    records = _read_shard_records(connection)
    owners = _owner_rows(statuses, records)
    revisions = _configuration_rows(statuses)
    owner_headers = ["shard", "owner", "epoch", "recorded_owner", "recorded_epoch"]
    key_headers = ["document", "newest_revision", "routers", "of"]
    data = {
        "routers": _as_dicts(ROUTER_HEADERS, routers),
        "owners": _as_dicts(owner_headers, owners),
        "documents": _as_dicts(key_headers, revisions),
        "no_status": failures,
    }
    lines = [
        *render_table(ROUTER_HEADERS, routers, "(no router answered)"),
        "",
        *render_table(owner_headers, owners, "(no shards)"),
        "",
        *render_table(key_headers, revisions, "(no documents)"),
        *_describe_failures(failures),
    ]
    return Report(data, lines, error=no_answer_error(statuses, failures))


def _router_row(item: RouterStatus) -> list[object]:
    return [
        item.router,
        item.side,
        item.region,
        item.failure_domain,
        item.state,
        item.right,
        item.store,
        len(item.shards),
        item.running,
        sum(item.waiting.values()),
        item.invariant_violations,
    ]


def _read_shard_records(connection: Connection) -> dict[str, dict]:
    """Return assignment records by shard, none if the key-value service is down."""
    if not connection.store_endpoints:
        return {}
    prefix = f"{connection.prefix}shards/"
    listing = connection.open_store().list(prefix)
    if isinstance(listing, Unavailable):
        return {}
    records = {}
    for entry in listing.entries:
        try:
            record = json.loads(entry.value)
        except (ValueError, RecursionError):
            continue
        if type(record) is dict:
            records[entry.key.removeprefix(prefix)] = record
    return records


def _owner_rows(
    statuses: list[RouterStatus], records: dict[str, dict]
) -> list[list[object]]:
    owned = {
        shard.name: (owner, shard.epoch) for owner, shard in _owned_shards(statuses)
    }
    rows = []
    for name in sorted({*owned, *records}):
        owner, epoch = owned.get(name, (None, None))
        record = records.get(name, {})
        recorded = record.get("owner") if record.get("state") == "owned" else None
        rows.append([name, owner, epoch, recorded, record.get("epoch")])
    return rows


def _configuration_rows(statuses: list[RouterStatus]) -> list[list[object]]:
    """Return each document's newest revision and the number of routers that have it."""
    keys = {key for item in statuses for key in item.configuration}
    rows = []
    for key in sorted(key for key in keys if key.startswith(DOCUMENTS_PREFIX)):
        held = [item.configuration.get(key, 0) for item in statuses]
        newest = max(held)
        rows.append([key, newest, held.count(newest), len(held)])
    return rows


def wait(
    connection: Connection, key: str, revision: int, *, timeout_s: float = 30.0
) -> Report:
    """Wait until a document's revision is in force on all routers.

    After the timeout it lists the routers that lag, and the exit code is 5.

    Example::

        lagoonctl wait cordero/asistente 17 --timeout-s 10

    Args:
        connection: Key-value service and routers.
        key: SIDE/SERVICE, or the document's key.
        revision: Least revision of the document.
        timeout_s: Longest time to wait in seconds (default 30).
    """
    if revision < 1 or timeout_s < 0:
        raise BadInputError(
            "the revision is below 1 or the time is negative",
            "give the revision that apply printed, and a time of 0 or more",
        )
    full_key = resolve_key(connection, key)
    routers = wait_in_force(connection, {full_key: revision}, timeout_s)
    data = {"key": full_key, "revision": revision, "in_force_on": routers}
    return Report(data, [f"{full_key} {revision} in force on all {routers} routers"])
