"""A sentinel for a missing value, with the reason."""

from __future__ import annotations


class Unavailable:
    """Stands for a value that could not be obtained, with the reason.

    Instances are falsy, so that callers can write ``if not result``.

    Example:
        >>> bool(Unavailable("the key-value service did not answer"))
        False
    """

    __slots__ = ("reason",)

    reason: str
    """Why there is no value, in words an operator can act on."""

    def __init__(self, reason: str) -> None:
        self.reason = reason

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"Unavailable({self.reason!r})"
