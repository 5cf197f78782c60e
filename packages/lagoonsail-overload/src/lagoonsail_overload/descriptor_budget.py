"""The file descriptors of a process: how many it may open, and what uses them.

One budget covers callers, connections to servers, the store, ports, digests, metrics
and files. Each user of many descriptors registers how many it holds; all others are
counted by looking at the process from time to time.
"""

from __future__ import annotations

import os
import resource
from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_overload.descriptor_levels import (
    IDLE_SERVERS_DIVISOR,
    Level,
    Thresholds,
    level_of,
    max_callers,
    max_refusals,
    thresholds_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock

CALLERS = "callers"
"""Kind of the connections of callers."""
OPERATORS = "operators"
"""Kind of the connections of the load balancer, of metrics scrapers and operators."""
SERVERS = "servers"
"""Kind of the connections to servers on which a request runs."""
IDLE_SERVERS = "idle_servers"
"""Kind of the idle connections to servers."""
OTHERS = "others"
"""Kind of all other descriptors: store, ports, digests, peers and files."""

UNLIMITED = 1 << 30
"""Limit where neither the settings nor the system state one."""
ASSUMED_OTHERS = 24
"""Other descriptors where the system does not show them."""
SHORT_RECOUNT_MS = 500.0
"""Interval between two counts of other descriptors while they are short."""
RECOUNT_MS = 5000.0
"""The same in ordinary operation; to count ten thousand takes some milliseconds."""
START_MS = 5000.0
"""Time after the start in which others are counted as often as while they are short:
ports and streams are opened then."""
LEVEL_LOG_INTERVAL_MS = 1000.0
"""Shortest time between two log lines on the level."""
DESCRIPTOR_DIRECTORY = "/proc/self/fd"
"""Directory that has an entry for each open descriptor."""


def read_process_limit() -> int | None:
    """Return how many descriptors the process may open, None for any number."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


def count_open() -> int | None:
    """Return how many descriptors the process has open, None if that is not known."""
    try:
        # One is that of the directory itself.
        return len(os.listdir(DESCRIPTOR_DIRECTORY)) - 1
    except OSError:
        return None


class DescriptorBudget:
    """How many descriptors are left, and what was done about it.

    Example:
        >>> from lagoonsail_core.clock import Clock
        >>> clock = Clock(lambda: 0.0, lambda: 0.0)
        >>> budget = DescriptorBudget(clock, 100, lambda: 64, lambda: 40)
        >>> budget.register(CALLERS, lambda: 30)
        >>> budget.limit, budget.use(), budget.free(), budget.level().name
        (64, {'callers': 30, 'others': 10}, 24, 'NORMAL')
    """

    __slots__ = (
        "_clock",
        "_closers",
        "_count_open",
        "_kinds",
        "_logged_level",
        "_logged_ms",
        "_others",
        "_read_process_limit",
        "_recount_ms",
        "_settings_limit",
        "_started_ms",
        "actions",
        "limit",
        "thresholds",
    )

    actions: Counter
    """What was done for want of descriptors, by action."""
    limit: int
    """Descriptors that the process may have open."""
    thresholds: Thresholds
    """Where levels begin."""

    def __init__(
        self,
        clock: Clock,
        settings_limit: int | None,
        read_limit: Callable[[], int | None] = read_process_limit,
        count: Callable[[], int | None] = count_open,
    ) -> None:
        """Create a budget.

        Args:
            clock: The clock.
            settings_limit: Descriptors by the settings, without those that are reserved
                for files; None if the settings do not bound them.
            read_limit: Returns the limit of the process.
            count: Returns how many descriptors the process has open.
        """
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._settings_limit = settings_limit
        self._read_process_limit = read_limit
        self._count_open = count
        self._kinds: dict[str, Callable[[], int]] = {}
        self._closers: list[tuple[str, Callable[[int], int]]] = []
        self._others: int | None = None
        self._recount_ms = float("-inf")
        self._logged_level = Level.NORMAL
        self._logged_ms = float("-inf")
        self.actions = Counter()
        self.limit = 0
        self.update_limit()

    def update_limit(self) -> None:
        """Read the limit of the process, which may be lowered while it runs."""
        limits = [self._settings_limit, self._read_process_limit()]
        known = [limit for limit in limits if limit is not None]
        limit = max(1, min(known)) if known else UNLIMITED
        if limit != self.limit:
            self.limit = limit
            self.thresholds = thresholds_of(limit)

    def register(self, kind: str, count: Callable[[], int]) -> None:
        """Add a user of descriptors.

        Args:
            kind: Name of the kind.
            count: Returns how many it holds.
        """
        self._kinds[kind] = count
        self._others = None

    def add_closer(self, action: str, close_idle: Callable[[int], int]) -> None:
        """Add a function that closes idle connections; the first added is called first.

        Args:
            action: Name under which closed connections are counted.
            close_idle: Closes at most that many, and returns how many it closed.
        """
        self._closers.append((action, close_idle))

    def use(self) -> dict[str, int]:
        """Return how many descriptors are open, by kind."""
        counts = {kind: count() for kind, count in self._kinds.items()}
        return counts | {OTHERS: self._count_others()}

    def free(self) -> int:
        """Return how many descriptors are left; negative if too many are open."""
        return self.limit - self._count_others() - self._registered()

    def level(self) -> Level:
        """Return how short descriptors are."""
        return level_of(self.free(), self.thresholds)

    def max_callers(self) -> int:
        """Return how many connections of callers may be served at once."""
        return max_callers(self.limit, self._count_others(), self.thresholds)

    def max_refusals(self) -> int:
        """Return how many callers may be refused at once."""
        return max_refusals(self.thresholds)

    def max_idle_servers(self) -> int:
        """Return how many idle connections to servers may be kept."""
        return self.limit // IDLE_SERVERS_DIVISOR

    def refresh(self, *, is_exhausted: bool = False) -> None:
        """Look at the process's limit and open descriptors again, if that is due.

        Args:
            is_exhausted: Whether a system call failed for want of descriptors.
        """
        self.update_limit()
        now_ms = self._clock.now_ms()
        is_starting = now_ms < self._started_ms + START_MS
        is_short = is_exhausted or is_starting or self.level() > Level.NORMAL
        interval_ms = SHORT_RECOUNT_MS if is_short else RECOUNT_MS
        if now_ms - self._recount_ms >= interval_ms:
            self._recount()

    def shed_idle(self) -> int:
        """Close idle connections if the level asks for it.

        Returns:
            How many were closed.
        """
        free = self.free()
        closed = 0
        if level_of(free, self.thresholds) < Level.CLOSE_IDLE:
            return closed
        missing = self.thresholds.close_idle - free
        for action, close_idle in self._closers:
            if closed < missing:
                count = close_idle(missing - closed)
                self.actions[action] += count
                closed += count
        return closed

    def changed_level(self) -> Level | None:
        """Return the level if it is to be logged now, else None."""
        level, now_ms = self.level(), self._clock.now_ms()
        is_due = now_ms - self._logged_ms >= LEVEL_LOG_INTERVAL_MS
        if level == self._logged_level or not is_due:
            return None
        self._logged_level, self._logged_ms = level, now_ms
        return level

    def _registered(self) -> int:
        return sum([count() for count in self._kinds.values()])

    def _count_others(self) -> int:
        """Return the descriptors of other use, which are counted if not known yet."""
        if self._others is None:
            self._recount()
        return self._others

    def _recount(self) -> None:
        self._recount_ms = self._clock.now_ms()
        count = self._count_open()
        if count is None:
            self._others = ASSUMED_OTHERS
        else:
            self._others = max(0, count - self._registered())
