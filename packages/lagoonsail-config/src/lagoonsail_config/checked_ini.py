"""INI parser that reports every mistake of a text at once."""

from __future__ import annotations

import configparser
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoonsail_core.errors import LagoonsailError

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_SYNTAX_PROBLEMS = 25
"""Syntax mistakes after which parsing stops."""

MAX_LISTED_PROBLEMS = 200
"""Mistakes listed in the message of an error; the error itself holds all of them."""

MAX_SHOWN_CHARACTERS = 80
"""Length in characters at which a wrong value in an error is truncated."""

REQUIRED = None
"""Default of a key that must be given."""

_HEADER = re.compile(r"\[([^\[\]]+)\]")
_COMMENT_PREFIXES = ("#", ";")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0b-\x1f\x7f\x85\u2028\u2029]")


@dataclass(slots=True)
class Problem:
    """One mistake in an INI text."""

    file: str
    """Name of the file, or another name for the text."""
    section: str
    """Section with the mistake; empty if the mistake is outside of any section."""
    key: str
    """Key with the mistake; empty if the mistake concerns the whole section."""
    found: str
    """What was found."""
    allowed: str
    """What is allowed, with range and unit."""

    def __str__(self) -> str:
        section = f"[{self.section}] " if self.section else ""
        key = f"{self.key}: " if self.key else ""
        return f"{self.file}: {section}{key}found {self.found}, allowed {self.allowed}"


class IniError(LagoonsailError):
    """An INI text with at least one mistake."""

    def __init__(self, problems: list[Problem]) -> None:
        noun = "mistake" if len(problems) == 1 else "mistakes"
        super().__init__(f"{len(problems)} {noun}", "correct each of them")
        self.problems = problems
        """All mistakes that were found."""

    def __str__(self) -> str:
        listing = [f"  {problem}" for problem in self.problems[:MAX_LISTED_PROBLEMS]]
        return "\n".join([f"{self.problem}; {self.remedy}:", *listing])


@dataclass(slots=True)
class KeySpec:
    """Specification of a key that a section may contain."""

    name: str
    """Name of the key in the section."""
    parse: Callable[[str], object]
    """Converts the text to the value; raises ValueError if the text is not allowed."""
    allowed: str
    """Accepted values, with range and unit."""
    default: str | None = REQUIRED
    """Text that is used when the key is missing."""
    attribute: str = ""
    """Name of the value in the result, if it differs from the name of the key."""


@dataclass(slots=True)
class Section:
    """A section as written, unchecked."""

    name: str
    """Text between the brackets, with white space collapsed."""
    values: dict[str, str] = field(default_factory=dict)
    """Text by key."""


def quote_truncated(text: str) -> str:
    """Quote a text for an error message and truncate it.

    Args:
        text: Any text.

    Returns:
        The quoted text, truncated to MAX_SHOWN_CHARACTERS.
    """
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return repr(text)
    return f"{text[:MAX_SHOWN_CHARACTERS]!r}…"


def split_lines(text: str) -> list[str]:
    """Split a text at line feeds only, so that joining the lines restores it.

    Args:
        text: Any text.

    Returns:
        The lines without their line feeds.
    """
    return text.split("\n")


def parse_section_header(line: str) -> str:
    """Return the section name of a header line.

    Args:
        line: One line.

    Returns:
        The name with white space collapsed; empty if the line is not a header.
    """
    match = _HEADER.fullmatch(line.strip())
    return " ".join(match[1].split()) if match else ""


def parse_key_name(line: str) -> str:
    """Return the key that a line sets.

    Args:
        line: One line.

    Returns:
        The key; empty if the line is blank, a comment or a section header.
    """
    stripped = line.strip()
    if stripped.startswith((*_COMMENT_PREFIXES, "[")):
        return ""
    key, delimiter, _ = stripped.partition("=")
    return key.strip() if delimiter else ""


def _clean_line(line: str) -> str:
    # Stripped, since configparser reads an indented line as part of the previous value.
    name = parse_section_header(line)
    return f"[{name}]" if name else line.strip()


def _find_line_problems(lines: list[str], file: str) -> list[Problem]:
    """Report and blank lines that configparser accepts but this module rejects."""
    problems = []
    for index, line in enumerate(lines):
        if _CONTROL_CHARACTER.search(line):
            allowed = "text without control characters"
        elif line.startswith("[") and not parse_section_header(line):
            allowed = "[name] alone on the line"
        else:
            continue
        found = f"line {index + 1} {quote_truncated(line)}"
        problems.append(Problem(file, "", "", found, allowed))
        lines[index] = ""
    return problems


def _make_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        delimiters=("=",),
        comment_prefixes=_COMMENT_PREFIXES,
        # No header can contain a line feed, so no section can set defaults for others.
        default_section="\n",
        interpolation=None,
        empty_lines_in_values=False,
    )
    parser.optionxform = str
    return parser


def _blank_rejected_lines(
    error: configparser.ParsingError, lines: list[str], file: str
) -> list[Problem]:
    problems = []
    for line_number, _ in error.errors:
        found = f"line {line_number} {quote_truncated(lines[line_number - 1])}"
        allowed = "[section], key = value, or a comment after # or ;"
        problems.append(Problem(file, "", "", found, allowed))
        lines[line_number - 1] = ""
    return problems


def _try_parse(
    lines: list[str], file: str
) -> tuple[configparser.ConfigParser | None, list[Problem]]:
    """Parse the lines; on a mistake, replace the faulty lines in place for a retry."""
    parser = _make_parser()
    try:
        parser.read_file(lines, file)
    except configparser.DuplicateSectionError as error:
        found = f"a second time in line {error.lineno}"
        # The duplicate gets a name that no schema contains; if its header were removed,
        # its keys would be assigned to the preceding section.
        lines[error.lineno - 1] = f"[\t{error.lineno}]"
        return None, [Problem(file, error.section, "", found, "each section once")]
    except configparser.DuplicateOptionError as error:
        found = f"a second time in line {error.lineno}"
        lines[error.lineno - 1] = ""
        allowed = "each key once in its section"
        return None, [Problem(file, error.section, error.option, found, allowed)]
    except configparser.MissingSectionHeaderError as error:
        found = f"line {error.lineno} {quote_truncated(lines[error.lineno - 1])}"
        lines[error.lineno - 1] = ""
        return None, [Problem(file, "", "", found, "a [section] before the first key")]
    except configparser.ParsingError as error:
        return None, _blank_rejected_lines(error, lines, file)
    return parser, []


def read_sections(
    text: str, file: str, max_bytes: int
) -> tuple[list[Section], list[Problem]]:
    """Split an INI text into its sections.

    A line is blank, a comment that begins with # or ;, a [section] or a key = value.
    Indentation is ignored, and values do not continue on the next line.

    Args:
        text: The INI text.
        file: Name of the text in problems.
        max_bytes: Largest accepted size in UTF-8, in bytes.

    Returns:
        The sections in the order of the text, and the problems of its lines.
    """
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > max_bytes:
        allowed = f"at most {max_bytes} bytes"
        return [], [Problem(file, "", "", f"{size_bytes} bytes", allowed)]
    lines = [_clean_line(line) for line in split_lines(text)]
    problems = _find_line_problems(lines, file)
    parser = None
    while parser is None and len(problems) < MAX_SYNTAX_PROBLEMS:
        parser, more_problems = _try_parse(lines, file)
        problems += more_problems
    if parser is None:
        return [], problems
    sections = [
        Section(name, dict(parser.items(name)))
        for name in parser.sections()
        if not name.startswith("\t")
    ]
    return sections, problems


def read_values(
    section: Section, keys: tuple[KeySpec, ...], file: str, problems: list[Problem]
) -> dict[str, object]:
    """Check the keys of a section.

    Args:
        section: The section as written.
        keys: Keys that the section may contain.
        file: Name of the text in problems.
        problems: List to which mistakes are appended.

    Returns:
        Value by attribute; keys with a mistake are omitted.
    """
    known_names = {key.name for key in keys}
    for name, text in section.values.items():
        if name not in known_names:
            found = f"unknown key with value {quote_truncated(text)}"
            allowed = ", ".join(key.name for key in keys)
            problems.append(Problem(file, section.name, name, found, allowed))
    values = {}
    for key in keys:
        text = section.values.get(key.name, key.default)
        if text is REQUIRED:
            problems.append(
                Problem(file, section.name, key.name, "nothing", key.allowed)
            )
            continue
        try:
            values[key.attribute or key.name] = key.parse(text)
        except ValueError:
            problems.append(
                Problem(
                    file, section.name, key.name, quote_truncated(text), key.allowed
                )
            )
    return values
