"""Edits service documents and describes the differences between two of them."""

from __future__ import annotations

from lagoonsail_config.checked_ini import (
    REQUIRED,
    Problem,
    Section,
    parse_key_name,
    parse_section_header,
    read_sections,
    split_lines,
)
from lagoonsail_config.document_schema import (
    DEFAULT_DOCUMENT_NAME,
    HASH_PATTERN,
    MAX_DOCUMENT_BYTES,
    SECTION_KEYS,
    SHOWN_HASH_DIGITS,
    DocumentError,
    split_section_name,
)


def _find_state_line(lines: list[str], section: str) -> tuple[int, int]:
    """Return the index of a section's state line and of its last header or key line.

    The first index is -1 if the section has no state line; both are -1 if the section
    does not exist.
    """
    state_index = last_index = -1
    current = ""
    for index, line in enumerate(lines):
        current = parse_section_header(line) or current
        if current != section:
            continue
        if parse_section_header(line) or parse_key_name(line):
            last_index = index
        if parse_key_name(line) == "state":
            state_index = index
    return state_index, last_index


def edit_state(text: str, section: str, state: str) -> str:
    r"""Set the state in one section and leave every other line unchanged.

    Args:
        text: A document without mistakes.
        section: ``server NAME`` or ``failure-domain NAME``.
        state: STATE_IN or STATE_OUT.

    Returns:
        The changed document.

    Raises:
        DocumentError: If the document has no such section.

    Example:
        >>> edit_state("[server a]  \n# old\nstate = in\n", "server a", "out")
        '[server a]  \n# old\nstate = out\n'
    """
    lines = split_lines(text)
    state_index, last_index = _find_state_line(lines, section)
    if last_index == -1:
        section_names = [
            parse_section_header(line)
            for line in lines
            if parse_section_header(line).startswith(section.partition(" ")[0])
        ]
        allowed = (
            ", ".join(section_names) or "nothing: the document has no such sections"
        )
        raise DocumentError(
            [Problem(DEFAULT_DOCUMENT_NAME, section, "", "nothing", allowed)]
        )
    if state_index == -1:
        line_end = "\r" if lines[last_index].endswith("\r") else ""
        lines.insert(last_index + 1, f"state = {state}{line_end}")
        return "\n".join(lines)
    line = lines[state_index]
    key_text, _, value = line.partition("=")
    leading_space = value[: len(value) - len(value.lstrip())] or " "
    trailing_space = value[len(value.rstrip()) :] if value.strip() else ""
    lines[state_index] = f"{key_text}={leading_space}{state}{trailing_space}"
    return "\n".join(lines)


def _effective_values(section: Section) -> dict[str, str]:
    """Return the displayed text of each key, with defaults marked as such."""
    parts = split_section_name(section.name)
    keys = SECTION_KEYS[parts[0]] if parts else ()
    defaults = {
        key.name: f"{key.default} (default)"
        for key in keys
        if key.default is not REQUIRED
    }
    return {**defaults, **_displayed_values(section)}


def _displayed_values(section: Section) -> dict[str, str]:
    """Return the text of each key, with well-formed hashes truncated."""
    return {
        key: f"{value[:SHOWN_HASH_DIGITS]}…" if HASH_PATTERN.fullmatch(value) else value
        for key, value in section.values.items()
    }


def _strip_default_mark(value: str | None) -> str | None:
    return value.removesuffix(" (default)") if value is not None else None


def _describe_changed_keys(old: Section, new: Section) -> list[str]:
    old_values = _effective_values(old)
    new_values = _effective_values(new)
    changes = []
    for key in {**old_values, **new_values}:
        before = old_values.get(key)
        after = new_values.get(key)
        if _strip_default_mark(before) == _strip_default_mark(after):
            continue
        before = before or "nothing"
        after = after or "nothing"
        changes.append(f"[{new.name}] {key}: {before} -> {after}")
    return changes


def _describe_section(section: Section, verb: str) -> str:
    shown = _displayed_values(section)
    values = ", ".join(f"{key} = {value}" for key, value in shown.items())
    return (
        f"[{section.name}] {verb}: {values}" if values else f"[{section.name}] {verb}"
    )


def describe_changes(old: str, new: str) -> list[str]:
    r"""Describe what differs between two documents, for people.

    Args:
        old: The older document; empty if there was none.
        new: The newer document; empty if it is deleted.

    Returns:
        One line for each difference that has an effect; empty if there is none.

    Example:
        >>> describe_changes("[server a]\nslots = 4", "[server a]\nslots = 6")
        ['[server a] slots: 4 -> 6']
    """
    old_sections, _ = read_sections(old, DEFAULT_DOCUMENT_NAME, MAX_DOCUMENT_BYTES)
    new_sections, _ = read_sections(new, DEFAULT_DOCUMENT_NAME, MAX_DOCUMENT_BYTES)
    old_by_name = {section.name: section for section in old_sections}
    new_by_name = {section.name: section for section in new_sections}
    changes = []
    for section in old_sections:
        if section.name not in new_by_name:
            changes.append(_describe_section(section, "removed"))
    for section in new_sections:
        if section.name in old_by_name:
            changes += _describe_changed_keys(old_by_name[section.name], section)
        else:
            changes.append(_describe_section(section, "added"))
    return changes
