"""The commands that take failure domains and backend servers out and in again."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lagoonsail_config.checked_ini import parse_section_header, split_lines
from lagoonsail_config.document import parse_document
from lagoonsail_config.document_changes import edit_state
from lagoonsail_config.document_schema import STATE_IN, STATE_OUT, DocumentError
from lagoonsail_core.green import eventlet
from lagoonsail_ctl.document_commands import describe_push
from lagoonsail_ctl.documents import (
    Documents,
    StoredDocument,
    first_batch,
    missing_document_error,
    resolve_key,
    split_names,
)
from lagoonsail_ctl.errors import BadInputError, ConflictError
from lagoonsail_ctl.in_force import add_wait, push_documents
from lagoonsail_ctl.report import Report
from lagoonsail_store.store_client import Conflict

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_ctl.connection import Connection

MAX_CONFLICTS = 20
"""Number of conflicts after which the command fails."""

MAX_CONFLICT_BACKOFF_S = 0.1
"""Longest random pause in seconds before a retry after a conflict."""


def domain_out(connection: Connection, domain: str, *, wait_s: float = 0.0) -> Report:
    """Take a failure domain out of service.

    Changes every document of the side that names the failure domain. Its servers get
    no new requests; requests that run on them are not interrupted.

    Example::

        lagoonctl domain-out cordero/norte --wait-s 10

    Args:
        connection: Key-value service and routers.
        domain: SIDE/NAME.
        wait_s: Wait up to this many seconds until it is in force on all routers.
    """
    return _set_domain_state(connection, domain, STATE_OUT, wait_s)


def domain_in(connection: Connection, domain: str, *, wait_s: float = 0.0) -> Report:
    """Bring a failure domain back into service.

    Example::

        lagoonctl domain-in cordero/norte

    Args:
        connection: Key-value service and routers.
        domain: SIDE/NAME.
        wait_s: Wait up to this many seconds until it is in force on all routers.
    """
    return _set_domain_state(connection, domain, STATE_IN, wait_s)


def server_out(connection: Connection, server: str, *, wait_s: float = 0.0) -> Report:
    """Take a backend server out of service.

    It gets no new requests; requests that run on it are not interrupted.

    Example::

        lagoonctl server-out cordero/asistente/asistente-3 --wait-s 10

    Args:
        connection: Key-value service and routers.
        server: SIDE/SERVICE/NAME.
        wait_s: Wait up to this many seconds until it is in force on all routers.
    """
    return _set_server_state(connection, server, STATE_OUT, wait_s)


def server_in(connection: Connection, server: str, *, wait_s: float = 0.0) -> Report:
    """Bring a backend server back into service.

    Example::

        lagoonctl server-in cordero/asistente/asistente-3

    Args:
        connection: Key-value service and routers.
        server: SIDE/SERVICE/NAME.
        wait_s: Wait up to this many seconds until it is in force on all routers.
    """
    return _set_server_state(connection, server, STATE_IN, wait_s)


def _set_domain_state(
    connection: Connection, domain: str, state: str, wait_s: float
) -> Report:
    side, name = split_names(domain, "SIDE/NAME")
    documents = Documents(connection)
    section = f"failure-domain {name}"

    def read() -> list[StoredDocument]:
        listed = documents.list_side(side)
        if not listed:
            raise BadInputError(
                f"no service of the side {side!r}", "see lagoonctl show"
            )
        matching = [item for item in listed if section in _sections(item.text)]
        if not matching:
            known = {
                other.removeprefix("failure-domain ")
                for item in listed
                for other in _sections(item.text)
                if other.startswith("failure-domain ")
            }
            raise BadInputError(
                f"no document of {side} names the failure domain {name!r}",
                f"use one of: {', '.join(sorted(known)) or '(none)'}",
            )
        return matching

    return _set_state(connection, documents, read, section, state, wait_s)


def _set_server_state(
    connection: Connection, server: str, state: str, wait_s: float
) -> Report:
    side, service, name = split_names(server, "SIDE/SERVICE/NAME")
    documents = Documents(connection)
    key = resolve_key(connection, f"{side}/{service}")
    section = f"server {name}"

    def read() -> list[StoredDocument]:
        document = documents.read(key)
        if not document.text:
            raise missing_document_error(f"{side}/{service}")
        if section not in _sections(document.text):
            known = [
                other.removeprefix("server ")
                for other in _sections(document.text)
                if other.startswith("server ")
            ]
            raise BadInputError(
                f"{side}/{service} has no backend server {name!r}",
                f"use one of: {', '.join(known) or '(none)'}",
            )
        return [document]

    return _set_state(connection, documents, read, section, state, wait_s)


def _sections(text: str) -> list[str]:
    names = [parse_section_header(line) for line in split_lines(text)]
    return [name for name in names if name]


def _set_state(
    connection: Connection,
    documents: Documents,
    read: Callable[[], list[StoredDocument]],
    section: str,
    state: str,
    wait_s: float,
) -> Report:
    current, changed = _write_state(documents, read, section, state)
    pushed = push_documents(connection, current)
    revisions = {item.key: item.revision for item in current}
    lines = []
    for item in current:
        verb = f"is {state} now" if item.key in changed else f"was {state} before"
        lines.append(f"{item.key}: [{section}] {verb}, revision {item.revision}")
        lines.append(f"  {_count_usable(item.text)}")
    lines += describe_push(pushed)
    data = {
        "section": section,
        "state": state,
        "revisions": revisions,
        "changed": sorted(changed),
        **pushed,
    }
    return add_wait(Report(data, lines), connection, revisions, wait_s)


def _write_state(
    documents: Documents,
    read: Callable[[], list[StoredDocument]],
    section: str,
    state: str,
) -> tuple[list[StoredDocument], set[str]]:
    """Read, edit and replace documents until the section has the state in all of them.

    Returns:
        The stored documents, and the keys of those that were changed.
    """
    changed: set[str] = set()
    conflicts = 0
    while conflicts < MAX_CONFLICTS:
        current = read()
        pending = [
            StoredDocument(item.key, item.revision, edited)
            for item in current
            if (edited := edit_state(item.text, section, state)) != item.text
        ]
        if not pending:
            return current, changed
        batch = first_batch(pending)
        if isinstance(documents.replace(batch), Conflict):
            conflicts += 1
            eventlet.sleep(random.uniform(0.0, MAX_CONFLICT_BACKOFF_S))
            continue
        changed |= {item.key for item in batch}
    written = ", ".join(sorted(changed)) or "no document"
    raise ConflictError(
        f"[{section}] is {state} in {written} only: others changed the documents "
        f"{MAX_CONFLICTS} times meanwhile",
        "find out who changes them so often, then repeat the command",
        details={"section": section, "changed": sorted(changed)},
    )


def _count_usable(text: str) -> str:
    try:
        document = parse_document(text)
    except DocumentError as error:
        return f"the document has mistakes: {error.problems[0]}"
    usable = sum(document.is_usable(server) for server in document.servers.values())
    return f"{usable} of {len(document.servers)} backend servers are in service"
