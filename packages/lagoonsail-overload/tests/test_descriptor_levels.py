"""What is done for want of descriptors, decided without a network."""

from __future__ import annotations

import errno
import math
from dataclasses import dataclass

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_overload.caller_connections import (
    MAX_HEAD_MS,
    MIN_HEAD_MS,
    MIN_KEPT_IDLE_MS,
    REFUSE,
    REPLACE,
    SERVE,
    decide_caller,
    idle_in_order,
)
from lagoonsail_overload.descriptor_budget import (
    CALLERS,
    LEVEL_LOG_INTERVAL_MS,
    OTHERS,
    RECOUNT_MS,
    SERVERS,
    SHORT_RECOUNT_MS,
    START_MS,
    DescriptorBudget,
)
from lagoonsail_overload.descriptor_levels import (
    Level,
    level_of,
    max_callers,
    max_refusals,
    thresholds_of,
)
from lagoonsail_overload.local_shortage import is_local_shortage
from lagoonsail_overload.server_connections import (
    CLOSE_IDLE,
    CLOSE_IDLE_HERE,
    LEARNED_LIMIT_MS,
    OPEN,
    WAIT,
    LearnedLimits,
    decide_opening,
    is_connection_limit,
)

LIMITS = [56, 100, 1438, 3900, 10_050]
NOW_MS = 100_000.0


@dataclass
class Process:
    """A process whose limit, open descriptors and clock the test sets."""

    limit: int | None = None
    open_count: int | None = 10
    now_ms: float = 0.0
    callers: int = 0
    servers: int = 0

    def make_budget(self, settings_limit):
        clock = Clock(lambda: self.now_ms, lambda: self.now_ms)
        budget = DescriptorBudget(
            clock,
            settings_limit,
            lambda: self.limit,
            lambda: self.open_count and self.open_count + self.callers + self.servers,
        )
        budget.register(CALLERS, lambda: self.callers)
        budget.register(SERVERS, lambda: self.servers)
        return budget


@dataclass(eq=False)
class Connection:
    """A caller's connection."""

    idle_ms: float = 0.0
    requests: int = 0
    is_busy: bool = False
    is_closing: bool = False

    @property
    def idle_since_ms(self):
        return NOW_MS - self.idle_ms


# DESCRIPTORS: a level that is never reached, or only after its turn, sheds too late.
@pytest.mark.parametrize("limit", LIMITS)
def test_each_level_comes_before_the_next(limit):
    levels = [level_of(free, thresholds_of(limit)) for free in range(limit, -5, -1)]
    assert levels == sorted(levels)
    assert set(levels) == set(Level)


# DESCRIPTORS: callers took all descriptors, and none was left to reach a server.
@pytest.mark.parametrize("limit", LIMITS)
def test_each_caller_may_have_a_connection_to_a_server(limit):
    thresholds = thresholds_of(limit)
    callers = max_callers(limit, 12, thresholds)
    free = limit - 12 - 2 * callers
    assert callers > 0
    assert free >= thresholds.reserve
    assert max_refusals(thresholds) + thresholds.stop < thresholds.reserve


# ORDINARY: the smallest of the new deployments sheds nothing in ordinary operation.
def test_ordinary_use_sheds_nothing():
    process = Process(limit=1 << 20, open_count=20, callers=350, servers=350)
    assert process.make_budget(1438).level() == Level.NORMAL


def test_lower_limit_of_the_process_counts():
    process = Process(limit=64)
    budget = process.make_budget(1438)
    assert budget.limit == 64
    process.limit = 50
    budget.update_limit()
    assert (budget.limit, budget.thresholds) == (50, thresholds_of(50))


# DESCRIPTORS: what no part has registered, as files and streams, uses them up as well.
def test_other_use_is_found_by_looking():
    process = Process(limit=100)
    budget = process.make_budget(None)
    assert budget.use()[OTHERS] == 10
    process.open_count = 95
    process.now_ms = START_MS + RECOUNT_MS
    budget.refresh()
    assert budget.level() == Level.REFUSE
    process.open_count = 10
    process.now_ms += SHORT_RECOUNT_MS
    budget.refresh()
    assert budget.level() == Level.NORMAL


def test_idle_connections_to_servers_are_closed_first():
    process = Process(limit=100, callers=36, servers=36)
    budget = process.make_budget(None)
    closed = []

    def close_servers(count):
        closed.append(("servers", count))
        return 0

    def close_callers(count):
        closed.append(("callers", count))
        return 1

    budget.add_closer("servers_closed", close_servers)
    budget.add_closer("callers_closed", close_callers)
    missing = budget.thresholds.close_idle - budget.free()
    assert budget.shed_idle() == 1
    assert closed == [("servers", missing), ("callers", missing)]
    assert budget.actions["callers_closed"] == 1


# LOG: a level that changes with each connection would fill the log.
def test_level_is_logged_once_in_a_while():
    process = Process(limit=100, now_ms=NOW_MS)
    budget = process.make_budget(None)
    assert budget.changed_level() is None
    process.callers = 85
    assert budget.changed_level() == Level.REFUSE
    process.callers = 0
    assert budget.changed_level() is None
    process.now_ms += LEVEL_LOG_INTERVAL_MS
    assert budget.changed_level() == Level.NORMAL


@pytest.mark.parametrize(
    ("open_count", "free", "has_idle", "decision"),
    [
        (9, 20, True, SERVE),
        (10, 20, True, REPLACE),
        (10, 20, False, REFUSE),
        (3, 7, True, REPLACE),
        (3, 7, False, REFUSE),
    ],
)
def test_caller_is_refused_only_if_none_is_idle(open_count, free, has_idle, decision):
    assert decide_caller(open_count, 10, free, 8, has_idle=has_idle) == decision


# REQUESTS: one that has been read is never ended for want of descriptors.
def test_busy_and_recent_connections_are_kept():
    connections = [
        Connection(60_000.0, is_busy=True),
        Connection(60_000.0, requests=1, is_closing=True),
        Connection(MIN_KEPT_IDLE_MS - 1.0, requests=1),
        Connection(MIN_HEAD_MS - 1.0),
    ]
    assert idle_in_order(connections, NOW_MS, is_refusing=True) == []


def test_half_heads_are_closed_before_kept_connections():
    kept = Connection(60_000.0, requests=5)
    half = Connection(MIN_HEAD_MS)
    older = Connection(MIN_HEAD_MS + 1.0)
    order = idle_in_order([kept, half, older], NOW_MS, is_refusing=True)
    assert order == [older, half, kept]
    assert idle_in_order([kept, half, older], NOW_MS, is_refusing=False) == [kept]
    late = Connection(MAX_HEAD_MS)
    assert idle_in_order([kept, late], NOW_MS, is_refusing=False)[0] is late


@pytest.mark.parametrize(
    ("free", "open_here", "idle_here", "idle_anywhere", "decision"),
    [
        (50, 3, False, False, OPEN),
        (11, 3, False, True, CLOSE_IDLE),
        (11, 3, False, False, OPEN),
        (8, 3, False, True, CLOSE_IDLE),
        (8, 3, False, False, WAIT),
        (50, 5, False, True, WAIT),
        (50, 5, True, True, CLOSE_IDLE_HERE),
    ],
)
def test_idle_connection_is_closed_before_a_request_waits(
    free, open_here, idle_here, idle_anywhere, decision
):
    assert decision == decide_opening(
        free,
        12,
        8,
        open_here,
        5,
        is_idle_here=idle_here,
        is_idle_anywhere=idle_anywhere,
    )


# SLOW SERVERS: those that reset connections beyond their limit counted as failed.
@pytest.mark.parametrize(
    ("changes", "is_limit"),
    [
        ({}, True),
        ({"is_new": False}, False),
        ({"has_data": True}, False),
        ({"is_timeout": True}, False),
        ({"others_open": 0}, False),
    ],
)
def test_reset_of_a_new_connection_beside_others_shows_a_limit(changes, is_limit):
    signs = {"is_new": True, "has_data": False, "is_timeout": False, "others_open": 3}
    assert is_connection_limit(**(signs | changes)) == is_limit


def test_learned_limit_is_forgotten():
    limits = LearnedLimits()
    assert limits.limit_of("s1", 0.0) == math.inf
    limits.record_reset("s1", 0, 0.0)
    assert limits.limit_of("s1", 0.0) == 1
    limits.record_reset("s1", 7, 0.0)
    assert limits.limit_of("s1", LEARNED_LIMIT_MS - 1.0) == 7
    assert limits.limit_of("s1", LEARNED_LIMIT_MS) == math.inf
    limits.record_reset("s1", 7, 0.0)
    limits.remove("s1")
    assert limits.limit_of("s1", 0.0) == math.inf


# BLAME: libraries wrap the error of the system call.
def test_shortage_is_found_behind_wrapped_errors():
    wrapped = ValueError("wrapped")
    wrapped.__cause__ = OSError(errno.EMFILE, "Too many open files")
    assert is_local_shortage(wrapped)
    assert not is_local_shortage(ConnectionResetError(errno.ECONNRESET, "reset"))
    assert not is_local_shortage(None)
