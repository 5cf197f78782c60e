"""Results of commands, as text and as JSON."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_core.errors import LagoonsailError

COLUMN_GAP = "  "
"""Separator between two columns of a table."""


@dataclass(slots=True)
class Report:
    """Result of a command."""

    data: dict[str, object]
    """Object that --json prints."""
    lines: list[str] = field(default_factory=list)
    """Lines on standard output, without --json."""
    notes: list[str] = field(default_factory=list)
    """Lines on standard error, without --json."""
    error: LagoonsailError | None = None
    """Error after partial work; determines the exit code."""


def format_cell(value: object) -> str:
    """Return a value as one printable cell of a table.

    Args:
        value: A value that may come from another process.

    Returns:
        Its text without control characters; ``-`` for a missing value.

    Example:
        >>> format_cell(2.50), format_cell(True), format_cell(None), format_cell(7)
        ('2.5', 'yes', '-', '7')
    """
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    return "".join(char if char.isprintable() else "?" for char in str(value))


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def render_table(
    headers: list[str], rows: list[list[object]], empty: str = "(none)"
) -> list[str]:
    r"""Return the lines of an aligned table; numbers are aligned to the right.

    Args:
        headers: Heading of each column.
        rows: Values of each row.
        empty: Line that is returned instead of a table without rows.

    Returns:
        Lines without trailing spaces.

    Example:
        >>> print(*render_table(["name", "slots"], [["a-long-one", 8]]), sep="\n")
        name        slots
        a-long-one      8
    """
    if not rows:
        return [empty]
    cells = [[format_cell(value) for value in row] for row in rows]
    columns = range(len(headers))
    widths = [max(len(row[i]) for row in [headers, *cells]) for i in columns]
    right_aligned = [all(_is_number(row[i]) for row in rows) for i in columns]
    lines = []
    for row in [headers, *cells]:
        padded = [
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, right_aligned, strict=True)
        ]
        lines.append(COLUMN_GAP.join(padded).rstrip())
    return lines
