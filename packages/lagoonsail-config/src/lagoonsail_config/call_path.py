"""Normalises request paths for comparison with the rules of a service document."""

from __future__ import annotations

from urllib.parse import unquote


def normalise_path(path: str) -> str:
    """Return the path that a server would resolve this spelling to.

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
    decoded_path = unquote(path, errors="replace").replace("\\", "/")
    for segment in decoded_path.split("/"):
        if segment == "..":
            del segments[-1:]
        elif segment not in ("", "."):
            segments.append(segment)
    return "/" + "/".join(segments)
