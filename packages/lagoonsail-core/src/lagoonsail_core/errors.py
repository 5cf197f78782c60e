"""Base class of all typed errors."""

from __future__ import annotations


class LagoonsailError(Exception):
    """An error that names the problem and its remedy.

    Example:
        >>> str(LagoonsailError("no such service", "check the path"))
        'no such service; check the path'
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        """What is wrong."""
        self.remedy = remedy
        """What the reader can do about it."""
