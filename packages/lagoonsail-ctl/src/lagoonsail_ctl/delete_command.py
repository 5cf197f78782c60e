"""The command delete."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_ctl.document_commands import describe_push
from lagoonsail_ctl.documents import (
    Documents,
    StoredDocument,
    missing_document_error,
    resolve_key,
)
from lagoonsail_ctl.errors import ConflictError, InUseError
from lagoonsail_ctl.fleet import query_statuses
from lagoonsail_ctl.in_force import add_wait, push_documents
from lagoonsail_ctl.report import Report
from lagoonsail_store.store_client import Conflict

if TYPE_CHECKING:
    from lagoonsail_ctl.connection import Connection
    from lagoonsail_ctl.router_status import RouterStatus


def delete(
    connection: Connection,
    service: str,
    revision: int,
    *,
    force: bool = False,
    wait_s: float = 0.0,
) -> Report:
    """Delete the document of a service, which ends the service.

    The command is refused while requests of the service run or wait, or while some
    router does not report whether they do (exit code 7), and if the document is at
    another revision (exit code 4).

    Examples::

        lagoonctl get cordero/asistente > asistente.ini
        lagoonctl delete cordero/asistente 17 --wait-s 10

    Args:
        connection: Key-value service and routers.
        service: SIDE/SERVICE.
        revision: Revision to delete, as get and status show it.
        force: Delete even while requests run or wait; those that wait are refused.
        wait_s: Wait up to this many seconds until it is in force on all routers.
    """
    key = resolve_key(connection, service)
    documents = Documents(connection)
    stored = documents.read(key)
    if not stored.revision:
        raise missing_document_error(service)
    lines = []
    if not stored.text:
        lines.append("it was deleted before")
    else:
        _check_revision(stored, revision)
        if not force:
            _check_not_in_use(connection, key)
        stored = _write(documents, stored)
    pushed = push_documents(connection, [stored])
    lines = [f"{key} is deleted at revision {stored.revision}", *lines]
    lines += describe_push(pushed)
    report = Report({"key": key, "revision": stored.revision, **pushed}, lines)
    return add_wait(report, connection, {key: stored.revision}, wait_s)


def _check_revision(stored: StoredDocument, revision: int) -> None:
    if stored.revision != revision:
        raise _revision_conflict_error(stored, revision)


def _revision_conflict_error(stored: StoredDocument, revision: int) -> ConflictError:
    return ConflictError(
        f"{stored.key} is at revision {stored.revision}, not {revision}",
        "read the current document with lagoonctl get, then delete that revision",
        details={
            "key": stored.key,
            "expected_revision": revision,
            "revision": stored.revision,
        },
    )


def _write(documents: Documents, stored: StoredDocument) -> StoredDocument:
    """Replace the document by an empty one, which marks it as deleted."""
    empty = StoredDocument(stored.key, stored.revision, "")
    result = documents.replace([empty])
    if not isinstance(result, Conflict):
        return result[0]
    newer = documents.read(stored.key)
    if not newer.text:
        return newer
    raise _revision_conflict_error(newer, stored.revision)


def _check_not_in_use(connection: Connection, key: str) -> None:
    """Raise InUseError if requests run or wait, or if a router does not report them."""
    statuses, failures = query_statuses(connection)
    service = key.partition("/")[2]
    in_use = [line for status in statuses for line in _describe_use(status, service)]
    in_use += [f"not known of {name}: {reason}" for name, reason in failures.items()]
    if not statuses and not failures:
        in_use.append("no router is a member")
    if in_use:
        raise InUseError(
            f"{service} may still have requests that run or wait",
            "send its callers elsewhere and repeat the command when lagoonctl show "
            "shows no requests, or give --force, which refuses those that wait",
            in_use,
            {"key": key, "in_use": in_use},
        )


def _describe_use(status: RouterStatus, service: str) -> list[str]:
    lines = []
    for shard in status.shards:
        if shard.name.partition("@")[0] != service:
            continue
        running = sum(server.running for server in shard.servers)
        waiting = sum(account.waiting for account in shard.accounts)
        if running or waiting:
            lines.append(f"{shard.name}: {running} running, {waiting} waiting")
    waiting = status.waiting.get(service, 0)
    if waiting:
        lines.append(f"{status.router}: {waiting} waiting at the entry")
    return lines
