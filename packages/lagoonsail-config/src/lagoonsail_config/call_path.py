"""Paths of calls in the form in which rules compare them."""

from __future__ import annotations

from urllib.parse import unquote


def normalise_path(path: str) -> str:
    """Return the path that a server would take this spelling for.

    Args:
        path: Path of a request, with or without a query.

    Returns:
        The path without query, escapes, empty segments and dot segments.

    Example:
        >>> normalise_path("/bibs//a/../%62?x=1")
        '/bibs/b'
    """
    segments: list[str] = []
    path = path.partition("?")[0].partition("#")[0]
    plain = unquote(path, errors="replace").replace("\\", "/")
    for segment in plain.split("/"):
        if segment == "..":
            del segments[-1:]
        elif segment not in ("", "."):
            segments.append(segment)
    return "/" + "/".join(segments)
