"""Finds out whether servers that lost requests have crashed.

A lost connection alone may have many causes. A server that crashed refuses connections
right after it has lost its requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lagoonsail_gateway.server_connection import ConnectFailedError, connect
from lagoonsail_router.context import start_later

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_gateway.server_directory import Server
    from lagoonsail_router.context import RouterContext
    from lagoonsail_sharing.crash_suspects import CrashSuspects

CHECK_DELAY_MS = 10.0
"""Delay of a check, in which the other lost requests of the server are noticed."""
CHECK_TIMEOUT_MS = 400.0
"""Timeout of the connection that a check opens."""


class CrashCheck:
    """Checks servers that lost requests, and records crashes in the evidence."""

    __slots__ = ("_context", "_lost_parts", "suspects")

    suspects: CrashSuspects
    """Evidence against the parts of prompts."""

    def __init__(self, context: RouterContext, suspects: CrashSuspects) -> None:
        self._context = context
        self._lost_parts: dict[tuple[str, int], set[int]] = {}
        self.suspects = suspects

    def record_lost(self, server: Server, part_ids: Iterable[str]) -> None:
        """Note a request that was lost before its answer had begun.

        Args:
            server: The server that lost it.
            part_ids: Ids of the shared parts of its prompt.
        """
        incarnation = server.record.incarnation()
        if incarnation not in self._lost_parts:
            self._lost_parts[incarnation] = set()
            start_later(
                self._context, "crash", CHECK_DELAY_MS, lambda: self._check(server)
            )
        self._lost_parts[incarnation].update(make_part_keys(part_ids))

    def record_answer(self, part_ids: Iterable[str]) -> None:
        """Note a request that was answered as a whole.

        Args:
            part_ids: Ids of the shared parts of its prompt.
        """
        self.suspects.record_answer(make_part_keys(part_ids))

    def find_blocked(self, part_ids: list[str]) -> str | None:
        """Return the id of a part that must not be sent to a server, None if none is.

        Args:
            part_ids: Ids of the shared parts of a prompt.
        """
        if not self.suspects.blocked:
            return None
        keys = make_part_keys(part_ids)
        blocked = self.suspects.find_blocked(keys)
        return None if blocked is None else part_ids[keys.index(blocked)]

    def log_blocked(self, parts: list[int]) -> None:
        """Log parts that are blocked from now on.

        Args:
            parts: Keys of the parts.
        """
        for part in parts:
            self._context.timeline.record("prompt_part_blocked", part=f"{part:016x}")

    def _check(self, server: Server) -> None:
        incarnation = server.record.incarnation()
        parts = self._lost_parts.pop(incarnation)
        if _is_serving(server.record.address, self._context):
            return
        crash = xxh64_intdigest(f"{incarnation[0]}/{incarnation[1]}".encode()) >> 1
        blocked = self.suspects.record_crash(crash, parts)
        self._context.timeline.record(
            "server_crashed",
            server=incarnation[0],
            lost_parts=len(parts),
            blocked=len(self.suspects.blocked),
        )
        self.log_blocked(blocked)


def make_part_keys(part_ids: Iterable[str]) -> list[int]:
    """Return the keys by which routers tell each other of the parts of a prompt.

    Args:
        part_ids: Ids of the parts.
    """
    return [xxh64_intdigest(part_id.encode()) >> 1 for part_id in part_ids]


def _is_serving(address: str, context: RouterContext) -> bool:
    """Return False only if connections to an address are refused."""
    try:
        connect(address, context.clock, CHECK_TIMEOUT_MS).close()
    except ConnectFailedError as error:
        return not error.is_refused
    return True
