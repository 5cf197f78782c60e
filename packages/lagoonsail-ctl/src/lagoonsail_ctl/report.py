"""What a command has to say, to people and to programs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_core.errors import LagoonsailError

COLUMN_GAP = "  "
"""What separates two columns of a table."""


@dataclass(slots=True)
class Report:
    """Result of a command."""

    data: dict[str, object]
    """What --json prints."""
    lines: list[str] = field(default_factory=list)
    """What is printed for people."""
    notes: list[str] = field(default_factory=list)
    """What is printed for people beside the output, on standard error."""
    error: LagoonsailError | None = None
    """What went wrong after something was done; decides the exit code."""


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
        headers: Head of each column.
        rows: Cells of each row.
        empty: The note that stands in place of a table without rows.

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
    is_right = [all(_is_number(row[i]) for row in rows) for i in columns]
    lines = []
    for row in [headers, *cells]:
        padded = [
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, is_right, strict=True)
        ]
        lines.append(COLUMN_GAP.join(padded).rstrip())
    return lines
