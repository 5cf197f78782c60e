"""The commands get and apply."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

from lagoonsail_config.checked_ini import Problem
from lagoonsail_config.document import ServiceDocument, parse_document
from lagoonsail_config.document_changes import describe_changes
from lagoonsail_config.document_schema import (
    MAX_DOCUMENT_BYTES,
    STATE_IN,
    STATE_OUT,
    DocumentError,
)
from lagoonsail_ctl.documents import (
    Documents,
    StoredDocument,
    missing_document_error,
    resolve_key,
)
from lagoonsail_ctl.errors import ConflictError
from lagoonsail_ctl.in_force import add_wait, push_documents
from lagoonsail_ctl.report import Report
from lagoonsail_store.store_client import Conflict

if TYPE_CHECKING:
    from lagoonsail_ctl.connection import Connection

REVISION_LINE = "# lagoonctl: revision {}"
"""First line of the output of get; names the revision that an edit replaces."""

NO_EFFECT = "(no effective change: only comments, order or spelling differ)"
"""Shown for two documents whose texts differ but whose contents are equal."""

_REVISION_LINE = re.compile(REVISION_LINE.replace("{}", "([0-9]{1,18})") + r"\s*")


def read_file(path: Path) -> str:
    """Read a document from a file.

    Args:
        path: The file.

    Returns:
        Its text, truncated to 100 bytes more than MAX_DOCUMENT_BYTES.

    Raises:
        DocumentError: If the file cannot be read or is not UTF-8.
    """
    try:
        with path.open("rb") as file:
            # The revision line does not count; the parser checks the exact limit.
            return file.read(MAX_DOCUMENT_BYTES + 100).decode("utf-8")
    except (OSError, ValueError) as error:
        allowed = "a readable file in UTF-8"
        found = getattr(error, "strerror", None) or str(error)
        problem = Problem(str(path), "", "", found, allowed)
        raise DocumentError([problem]) from error


def split_revision_line(text: str) -> tuple[int | None, str]:
    r"""Split a file into the revision line that get wrote and the document.

    Args:
        text: Text of a file.

    Returns:
        The revision, or None if the file has none, and the document.

    Example:
        >>> split_revision_line("# lagoonctl: revision 7\n[service]\n")
        (7, '[service]\n')
    """
    first_line, _, document = text.partition("\n")
    match = _REVISION_LINE.fullmatch(first_line)
    return (int(match[1]), document) if match else (None, text)


def get(connection: Connection, service: str) -> Report:
    """Print the stored document of a service, with its revision.

    From the first line, apply reads which revision an edited copy replaces.

    Example::

        lagoonctl get cordero/asistente > asistente.ini

    Args:
        connection: Key-value service and routers.
        service: SIDE/SERVICE.
    """
    stored = Documents(connection).read(resolve_key(connection, service))
    if not stored.text:
        raise missing_document_error(service)
    data = {"key": stored.key, "revision": stored.revision, "value": stored.text}
    text = f"{REVISION_LINE.format(stored.revision)}\n{stored.text}"
    return Report(data, text.removesuffix("\n").split("\n"))


def apply(
    connection: Connection,
    file: Path,
    *,
    replace_revision: int | None = None,
    dry_run: bool = False,
    wait_s: float = 0.0,
) -> Report:
    """Check a service document and put it in force.

    It replaces the revision that the option names or else the first line that get
    wrote; if the document has changed since, nothing is written, the differences are
    shown and the exit code is 4. Without a revision, it replaces the stored document,
    unless that would bring back in what operators have taken out of service.

    Examples::

        lagoonctl apply asistente.ini
        lagoonctl apply asistente.ini --replace-revision 17 --wait-s 10

    Args:
        connection: Key-value service and routers.
        file: INI file with one service document.
        replace_revision: Revision that the document replaces; 0 if there is none yet.
        dry_run: Show the changes without writing them.
        wait_s: Wait up to this many seconds until it is in force on all routers.
    """
    marked_revision, text = split_revision_line(read_file(file))
    document = parse_document(text, str(file))
    key = resolve_key(connection, document.qualified())
    documents = Documents(connection)
    stored = documents.read(key)
    expected = marked_revision if replace_revision is None else replace_revision
    changes = describe_changes(stored.text, text)
    if stored.text == text:
        accepted = stored
    else:
        check_replaceable(stored, document, expected, changes)
        if dry_run:
            return _change_report(stored, changes, ["not applied (--dry-run)"], {})
        accepted = _replace(documents, stored, text)
    pushed = push_documents(connection, [accepted])
    lines = [f"{key} is at revision {accepted.revision}"]
    if accepted is stored:
        lines.append("it was applied before")
    lines += describe_push(pushed)
    report = _change_report(accepted, changes, lines, pushed)
    return add_wait(report, connection, {key: accepted.revision}, wait_s)


def check_replaceable(
    stored: StoredDocument,
    document: ServiceDocument,
    expected: int | None,
    changes: list[str],
) -> None:
    """Check that a file may replace the stored document.

    Args:
        stored: The stored document.
        document: The document of the file.
        expected: Revision that the file replaces, or None if it names none.
        changes: What the file would change.

    Raises:
        ConflictError: If the stored document has another revision, or the file names
            none and would bring something back into service.
    """
    if expected is None:
        _check_not_brought_in(stored, document)
    elif expected != stored.revision:
        raise _stale_revision_error(stored, expected, changes)


def describe_push(pushed: dict[str, object]) -> list[str]:
    """Return lines on how many routers accepted a push and which did not.

    Args:
        pushed: Result of push_documents.

    Returns:
        Lines for people.
    """
    failures = pushed["not_pushed"]
    lines = [f"handed to {pushed['pushed']} routers"]
    lines += [f"  not to {name}: {reason}" for name, reason in failures.items()]
    if failures:
        lines.append("  these get it from the key-value service or from other routers")
    return lines


def _change_report(
    stored: StoredDocument,
    changes: list[str],
    lines: list[str],
    extra_data: dict[str, object],
) -> Report:
    data = {
        "key": stored.key,
        "revision": stored.revision,
        "changes": changes,
        **extra_data,
    }
    return Report(data, [*(changes or [NO_EFFECT]), *lines])


def _replace(documents: Documents, stored: StoredDocument, text: str) -> StoredDocument:
    """Write the document unless the stored one has changed since it was read."""
    edited = StoredDocument(stored.key, stored.revision, text)
    result = documents.replace([edited])
    if not isinstance(result, Conflict):
        return result[0]
    newer = documents.read(stored.key)
    if newer.text == text:
        return newer
    meanwhile = describe_changes(stored.text, newer.text)
    raise ConflictError(
        f"{stored.key} changed from revision {stored.revision} to {newer.revision} "
        "meanwhile",
        "merge these changes into your file and apply it again",
        meanwhile or [NO_EFFECT],
        {
            "key": stored.key,
            "expected_revision": stored.revision,
            "revision": newer.revision,
            "changed_meanwhile": meanwhile,
        },
    )


def _stale_revision_error(
    stored: StoredDocument, expected: int, changes: list[str]
) -> ConflictError:
    return ConflictError(
        f"{stored.key} is at revision {stored.revision}, not {expected}",
        "your file would make these changes to it; get it again and repeat your edit, "
        f"or apply yours with --replace-revision {stored.revision}",
        changes or [NO_EFFECT],
        {
            "key": stored.key,
            "expected_revision": expected,
            "revision": stored.revision,
            "changes": changes,
        },
    )


def _states_by_section(document: ServiceDocument) -> dict[str, str]:
    domains = {
        f"failure-domain {name}": domain.state
        for name, domain in document.domains.items()
    }
    servers = {
        f"server {name}": server.state for name, server in document.servers.items()
    }
    return {**domains, **servers}


def _check_not_brought_in(stored: StoredDocument, document: ServiceDocument) -> None:
    """Raise ConflictError if the file would bring back in what is out of service.

    Such a file was probably written before the section was taken out.
    """
    try:
        old_states = _states_by_section(parse_document(stored.text))
    except DocumentError:
        return
    new_states = _states_by_section(document)
    sections = [
        section
        for section, state in old_states.items()
        if state == STATE_OUT and new_states.get(section) == STATE_IN
    ]
    if not sections:
        return
    raise ConflictError(
        f"{stored.key} at revision {stored.revision} has something out of service that "
        "your file would bring back in",
        "set state = out in your file, or apply it with "
        f"--replace-revision {stored.revision} if you mean it",
        [f"[{section}]" for section in sections],
        {"key": stored.key, "revision": stored.revision, "brought_in": sections},
    )
