"""Slow start of a server used by many routers, whose sums are some updates old."""

from __future__ import annotations

import random
from collections import deque

import pytest

from lagoonsail_sharing.start_evidence import (
    StartEvidence,
    decode_evidence,
    is_in_time,
)
from lagoonsail_sharing.start_pace import END_HOLD_MS, UNUSED_MS, StartPace

STEP_MS = 20.0
UPDATE_STEPS = 5


class Fleet:
    """Routers that send as much as they may to one starting server."""

    def __init__(
        self,
        routers=20,
        slots=64,
        lag=3,
        hold_ms=2000.0,
        active=None,
        has_digests=True,
    ):
        self.random = random.Random(5)
        self.now_ms = 0.0
        self.slots, self.hold_ms = slots, hold_ms
        self.paces = [StartPace(slots, 0.0, StartEvidence()) for _ in range(routers)]
        self.active = range(routers if active is None else active)
        self.running = [[] for _ in range(routers)]
        self.answers = []
        self.slowdown = lambda outstanding: 1.0
        self.refuses = lambda outstanding: False
        self.has_digests = has_digests
        # What each router reported, the oldest first.
        self.reports = deque(maxlen=lag + 1)
        self.max_outstanding = 0
        self.done_ms = None
        self.update()

    def outstanding(self):
        return sum(len(ends) for ends in self.running)

    def mean_limit(self):
        return sum(pace.limit for pace in self.paces) / len(self.paces)

    def update(self):
        count = len(self.paces)
        own = [
            pace.evidence(demand=10 if n in self.active else 0)
            for n, pace in enumerate(self.paces)
        ]
        rows = [report.encode() for report in own]
        self.reports.append((rows, [len(ends) for ends in self.running]))
        old_rows, old_running = self.reports[0]
        for n, pace in enumerate(self.paces):
            totals, others_running = own[n], 0
            if self.has_digests:
                others = [row for m, row in enumerate(old_rows) if m != n]
                sums = [sum(column) for column in zip(rows[n], *others, strict=True)]
                totals = decode_evidence(tuple(sums))
                others_running = sum(old_running) - old_running[n]
            pace.update(self.now_ms, totals, count)
            there = len(self.running[n]) + others_running
            if self.done_ms is None and pace.is_done(self.now_ms, totals, there, None):
                self.done_ms = self.now_ms
            pace.grant(
                self.now_ms,
                totals,
                len(self.running[n]),
                others_running,
                count,
                lambda total, n=n: total // count + (n < total % count),
                self.random.random(),
            )

    def step(self, step):
        self.now_ms += STEP_MS
        for ends in self.running:
            ends[:] = [end_ms for end_ms in ends if end_ms > self.now_ms]
        due = [answer for answer in self.answers if answer[0] <= self.now_ms]
        self.answers = [answer for answer in self.answers if answer[0] > self.now_ms]
        for _, pace, sent_ms, first_ms, is_at_limit in due:
            pace.record_answer(sent_ms, is_in_time(first_ms, 100.0), is_at_limit)
        for n in self.active:
            self._send(n)
        if step % UPDATE_STEPS == 0:
            self.update()

    def _send(self, n):
        pace = self.paces[n]
        if pace.permits <= 0:
            pace.held += 1
            return
        pace.permits -= 1
        outstanding = self.outstanding() + 1
        if self.refuses(outstanding):
            pace.record_refusal()
            return
        is_at_limit = pace.is_at_limit(outstanding)
        first_ms = 100.0 * self.slowdown(outstanding)
        self.running[n].append(self.now_ms + max(first_ms, self.hold_ms))
        self.answers.append(
            (self.now_ms + first_ms, pace, self.now_ms, first_ms, is_at_limit)
        )
        self.max_outstanding = max(self.max_outstanding, outstanding)

    def run(self, seconds):
        for step in range(int(1000 * seconds / STEP_MS)):
            self.step(step)


@pytest.mark.parametrize(("routers", "active"), [(1, 1), (20, 20), (66, 66), (66, 8)])
def test_server_that_answers_in_time_reaches_its_slots_in_few_rounds(routers, active):
    """Guards against a server that is left idle after its start."""
    fleet = Fleet(routers, active=active)
    fleet.run(0.3)
    assert 1 <= fleet.max_outstanding <= 20
    fleet.run(3.7)
    assert fleet.done_ms is not None
    assert fleet.done_ms <= 4000.0


def test_plain_server_with_short_answers_is_not_left_idle():
    fleet = Fleet(66, slots=6, hold_ms=50.0)
    fleet.run(3.0)
    assert fleet.done_ms is not None


def test_server_that_is_slow_for_some_seconds_is_held_back_and_then_grows():
    fleet = Fleet(20)
    fleet.slowdown = lambda outstanding: 6.0
    fleet.run(5.0)
    assert fleet.done_ms is None
    assert fleet.mean_limit() < 4.0
    assert fleet.max_outstanding <= 20
    fleet.slowdown = lambda outstanding: 1.0
    fleet.run(6.0)
    assert fleet.done_ms is not None


def test_server_that_rejects_gets_less_until_it_has_room():
    fleet = Fleet(20)
    fleet.refuses = lambda outstanding: outstanding > 12
    fleet.run(10.0)
    assert fleet.done_ms is None
    assert 4.0 <= fleet.mean_limit() <= 26.0
    assert sum(pace.setbacks["refused"] for pace in fleet.paces) >= 20


@pytest.mark.parametrize("lag", [1, 2, 3])
def test_many_routers_with_old_sums_stay_near_the_limit(lag):
    """Guards against 66 routers that all fill the same room."""
    fleet = Fleet(66, lag=lag)
    fleet.slowdown = lambda outstanding: 1.0 if outstanding <= 16 else 6.0
    limits = deque(maxlen=int(fleet.hold_ms / STEP_MS))
    for step in range(500):
        fleet.step(step)
        limits.append(max(pace.limit for pace in fleet.paces))
        assert fleet.outstanding() <= 2.0 * max(limits)
    assert fleet.done_ms is None


def test_server_that_becomes_cold_again_begins_anew():
    fleet = Fleet(20)
    fleet.run(1.0)
    assert fleet.mean_limit() > 8.0
    for pace in fleet.paces:
        pace.restart(fleet.now_ms, "cold")
    assert fleet.mean_limit() == 8.0
    fleet.run(5.0)
    assert fleet.done_ms is not None


def test_silent_server_keeps_its_limit():
    fleet = Fleet(20)
    fleet.slowdown = lambda outstanding: 1000.0
    fleet.run(5.0)
    assert fleet.mean_limit() == pytest.approx(8.0)
    assert fleet.max_outstanding <= 20


def test_routers_without_digests_keep_to_their_parts():
    fleet = Fleet(20, has_digests=False)
    fleet.slowdown = lambda outstanding: 6.0
    fleet.run(0.3)
    assert fleet.outstanding() == 8
    fleet.run(5.0)
    assert 1 <= fleet.outstanding() <= 20
    fleet.slowdown = lambda outstanding: 1.0
    fleet.run(10.0)
    assert fleet.mean_limit() > 20.0


def test_occasional_late_answers_do_not_stop_the_growth():
    """Times of answers differ; halving for each late one would never end."""
    fleet = Fleet(20)
    fleet.slowdown = lambda outstanding: 4.0 if fleet.random.random() < 0.08 else 1.0
    fleet.run(8.0)
    assert fleet.done_ms is not None


def test_slow_start_ends_above_the_load_of_its_peers():
    pace = StartPace(64, 0.0, StartEvidence())
    for _ in range(8):
        pace.record_answer(1.0, is_in_time=True, is_at_limit=False)
    totals = pace.evidence(demand=0)
    assert not pace.is_done(END_HOLD_MS, totals, 8, peer_mean=1.0)
    pace.update(100.0, totals, routers=1)
    assert not pace.is_done(100.0, totals, 8, peer_mean=3.0)
    assert pace.is_done(100.0 + END_HOLD_MS, totals, 8, peer_mean=3.0)
    assert not pace.is_done(100.0 + END_HOLD_MS, totals, 8, peer_mean=20.0)
    assert not pace.is_done(200.0 + END_HOLD_MS, totals, 8, peer_mean=3.0)
    assert not pace.is_done(200.0 + END_HOLD_MS, totals, 8, peer_mean=None)


def test_slow_start_ends_when_its_limit_is_no_longer_reached():
    """Guards against slow starts that never end, at servers with little work."""
    pace = StartPace(64, 0.0, StartEvidence())
    for _ in range(8):
        pace.record_answer(1.0, is_in_time=True, is_at_limit=False)
    pace.update(UNUSED_MS, pace.evidence(demand=0), routers=1)
    totals = pace.evidence(demand=0)
    assert not pace.is_done(UNUSED_MS, totals, 6, peer_mean=20.0)
    assert pace.is_done(UNUSED_MS, totals, 4, peer_mean=20.0)
    pace.held += 1
    pace.update(UNUSED_MS, pace.evidence(demand=0), routers=1)
    assert not pace.is_done(UNUSED_MS, totals, 4, peer_mean=20.0)
