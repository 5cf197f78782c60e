"""The command check, which checks service documents before they are applied."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from lagoonsail_config.checked_ini import Problem
from lagoonsail_config.document import ServiceDocument, parse_document
from lagoonsail_config.document_changes import describe_changes
from lagoonsail_config.document_findings import Finding, find_in_document
from lagoonsail_config.document_schema import DocumentError
from lagoonsail_ctl.document_commands import (
    NO_EFFECT,
    check_replaceable,
    read_file,
    split_revision_line,
)
from lagoonsail_ctl.documents import Documents, resolve_key
from lagoonsail_ctl.errors import (
    BadInputError,
    CommandError,
    ConflictError,
    FindingsError,
    StoreUnavailableError,
)
from lagoonsail_ctl.report import Report, render_table

if TYPE_CHECKING:
    from lagoonsail_core.errors import LagoonsailError
    from lagoonsail_ctl.connection import Connection

REFUSED = "refused"
"""Kind of the finding that apply would refuse the file with exit code 4."""

NOT_COMPARED = "not compared with the version in force"
"""Begins the line on a comparison that is missing."""

OFFLINE = "--offline"
"""Reason of a comparison that the operator did not want."""


@dataclass(slots=True)
class CheckedFile:
    """A file with a document without mistakes, and what was found in it."""

    file: Path
    """The file."""
    text: str
    """Text of the document."""
    document: ServiceDocument
    """The document."""
    expected: int | None
    """Revision that the file replaces; None if it names none."""
    findings: list[Finding] = field(default_factory=list)
    """Entries that cannot take effect, and why apply would refuse the file."""
    revision: int | None = None
    """Revision in force; None if the file was not compared with it."""
    changes: list[str] = field(default_factory=list)
    """Differences from the revision in force."""

    def as_row(self) -> list[object]:
        """Return the row of the table of documents."""
        counts = [len(self.document.servers), len(self.document.accounts)]
        return [str(self.file), self.document.qualified(), self.document.kind, *counts]


HEADERS = ["file", "service", "kind", "servers", "accounts"]
"""Columns of the table of documents."""


def check(connection: Connection, *files: Path, offline: bool = False) -> Report:
    """Check service documents, and compare them with the version in force.

    Changes nothing. Lists every mistake, entries that cannot take effect, and what
    apply would change. Exit code 2 means a mistake, 3 that the comparison with the
    version in force was not possible, 8 an entry that cannot take effect; the first of
    these that applies is returned. Differences do not affect the code.

    Example::

        lagoonctl check asistente.ini registro.ini

    Args:
        connection: Key-value service and routers.
        files: INI files, one service document each.
        offline: Do not compare with the version in force; its absence is no failure.
    """
    if not files:
        raise BadInputError("no file to check", "name at least one FILE")
    problems: list[Problem] = []
    checked = _parse_files(files, problems)
    for item in checked:
        item.findings += find_in_document(item.document)
    missing = _compare(connection, checked) if checked and not offline else None
    reason = missing.problem if missing else OFFLINE if offline else ""
    report = _make_report(checked, reason)
    report.error = _find_error(checked, missing, problems)
    return report


def _parse_files(files: tuple[Path, ...], problems: list[Problem]) -> list[CheckedFile]:
    """Return the files without mistakes; add the mistakes of the others."""
    checked: list[CheckedFile] = []
    file_by_service: dict[str, Path] = {}
    for file in files:
        try:
            expected, text = split_revision_line(read_file(file))
            document = parse_document(text, str(file))
        except DocumentError as error:
            problems += error.problems
            continue
        service = document.qualified()
        first_file = file_by_service.setdefault(service, file)
        if first_file != file:
            found = f"{service}, which {first_file} describes too"
            allowed = "one file for each service"
            problems.append(Problem(str(file), "service", "name", found, allowed))
        checked.append(CheckedFile(file, text, document, expected))
    return checked


def _compare(connection: Connection, checked: list[CheckedFile]) -> CommandError | None:
    """Compare with the version in force; return why that was not possible."""
    try:
        documents = Documents(connection)
        for item in checked:
            key = resolve_key(connection, item.document.qualified())
            stored = documents.read(key)
            item.revision = stored.revision
            item.changes = describe_changes(stored.text, item.text)
            if stored.text == item.text:
                continue
            try:
                check_replaceable(stored, item.document, item.expected, item.changes)
            except ConflictError as error:
                message = f"{error.problem}; {error.remedy}"
                item.findings.append(Finding(REFUSED, "", "", message))
    except (BadInputError, StoreUnavailableError) as error:
        return error
    return None


def _make_report(checked: list[CheckedFile], not_compared: str) -> Report:
    rows = [item.as_row() for item in checked]
    lines = render_table(HEADERS, rows)
    for item in checked:
        lines += [f"{item.file}: {finding}" for finding in item.findings]
        lines += _describe_comparison(item)
    if not_compared:
        lines.append(f"{NOT_COMPARED}: {not_compared}")
    documents = [
        {
            **dict(zip(HEADERS, row, strict=True)),
            "findings": [asdict(finding) for finding in item.findings],
            "revision": item.revision,
            "changes": item.changes,
        }
        for row, item in zip(rows, checked, strict=True)
    ]
    return Report({"documents": documents, "not_compared": not_compared}, lines)


def _describe_comparison(item: CheckedFile) -> list[str]:
    if item.revision is None:
        return []
    if item.revision == 0:
        return [f"{item.file}: new, {item.document.qualified()} is not in force yet"]
    changes = item.changes or [NO_EFFECT]
    return [
        f"{item.file}: compared with revision {item.revision}:",
        *(f"  {change}" for change in changes),
    ]


def _find_error(
    checked: list[CheckedFile], missing: CommandError | None, problems: list[Problem]
) -> LagoonsailError | None:
    """Return the error with the exit code: mistakes, then comparison, then findings."""
    if problems:
        return DocumentError(problems)
    if missing:
        return StoreUnavailableError(
            f"{NOT_COMPARED}: {missing.problem}",
            "give --store of a service that answers, or --offline to do without",
        )
    count = sum(len(item.findings) for item in checked)
    if count:
        noun = "finding" if count == 1 else "findings"
        return FindingsError(f"{count} {noun}", "correct each or accept it")
    return None
