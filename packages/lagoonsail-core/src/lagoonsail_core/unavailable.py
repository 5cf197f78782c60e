"""A sentinel that stands for a missing value and says why it is missing."""

from __future__ import annotations


class Unavailable:
    """A value that could not be had, with the reason.

    Instances are false, so that callers can write ``if not result``.

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
