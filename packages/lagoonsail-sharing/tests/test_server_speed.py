"""Estimates of the servers' speeds under noise, slow servers and false figures."""

from __future__ import annotations

import math
import random

import pytest

from lagoonsail_sharing.server_speed import (
    MAX_FACTOR,
    MOMENT_DECAY_MS,
    BusyTime,
    OwnEvidence,
    ServerSpeed,
    SpeedEvidence,
    decode_evidence,
    estimate_servers,
)

ANSWER_INTERVAL_MS = 250.0
"""Time between the answers of one server, over all routers."""
NOISE = 0.5
"""Standard deviation of the logarithm of an answer's time."""


@pytest.fixture
def answers():
    """Return a function that adds answers of servers with given speeds."""
    rng = random.Random(5)

    def add(rows, speeds, start_ms, end_ms):
        for (own, busy), speed in zip(rows, speeds, strict=True):
            now_ms = start_ms
            while now_ms < end_ms:
                now_ms += ANSWER_INTERVAL_MS
                noise = math.exp(rng.gauss(-(NOISE**2) / 2.0, NOISE))
                busy.sample(100.0 / speed * noise / ANSWER_INTERVAL_MS, now_ms)
                own.add_done(100.0, now_ms)
        return [evidence_of(own, busy, end_ms) for own, busy in rows]

    return add


def evidence_of(own, busy, now_ms):
    evidence = decode_evidence(own.at(now_ms).encode())
    busy.add_throughput(evidence)
    return evidence


def make_rows(count):
    rows = [(OwnEvidence(0.0), BusyTime()) for _ in range(count)]
    for _, busy in rows:
        busy.sample(0.0, 0.0)
    return rows


def speeds_of(evidences):
    """Return the estimated speeds of all servers, relative to the median one."""
    return [math.exp(relative) for relative in estimate_servers(evidences, 0.0)]


def test_equal_servers_are_treated_as_equal_whatever_the_noise(answers):
    """Guards against choices that become noisier where all servers are alike."""
    rows = make_rows(70)
    for end_ms in range(2_000, 30_000, 2_000):
        evidences = answers(rows, [1.0] * 70, end_ms - 2_000.0, float(end_ms))
        estimates = speeds_of(evidences)
        assert max(estimates) / min(estimates) < 1.15, end_ms


def test_servers_of_unequal_speed_are_told_apart_within_seconds(answers):
    speeds = [0.4 + 0.05 * n for n in range(30)]
    estimates = speeds_of(answers(make_rows(30), speeds, 0.0, 4_000.0))
    errors = [abs(math.log(e / s)) for e, s in zip(estimates, speeds, strict=True)]
    assert sum(errors) / len(errors) < 0.2


def test_single_slow_server_is_noticed_among_many(answers):
    speeds = [1.0] * 69 + [0.4]
    estimates = speeds_of(answers(make_rows(70), speeds, 0.0, 4_000.0))
    assert estimates[-1] < 0.65
    assert min(estimates[:-1]) > 0.8


def test_server_that_becomes_slower_is_believed_sooner_than_a_faster_one(answers):
    rows = make_rows(30)
    answers(rows, [1.0] * 30, 0.0, 10_000.0)
    changed = [0.25, 4.0] + [1.0] * 28
    estimates = speeds_of(answers(rows, changed, 10_000.0, 12_000.0))
    assert estimates[0] < 0.45
    assert 1.0 < estimates[1] < 2.5


def test_answers_of_one_server_have_no_influence_on_the_others(answers):
    """A server that answers with nonsense, a thousand times too fast."""
    evidences = answers(make_rows(9), [1000.0] + [1.0] * 8, 0.0, 10_000.0)
    assert max(speeds_of(evidences)[1:]) < 1.2
    speed = ServerSpeed(1.0, 0.0)
    speed.update_factor(0.0, estimate_servers(evidences, 0.0)[0])
    assert 1.0 <= speed.factor <= MAX_FACTOR
    speed.update_factor(0.0, 9.0)
    assert speed.factor == pytest.approx(MAX_FACTOR)


def test_evidence_of_all_routers_adds_up():
    """A router sees too few answers of each server to learn its speed alone."""
    parts = [OwnEvidence(0.0) for _ in range(8)]
    for part in parts:
        part.add_done(50.0, 0.0)
    total = decode_evidence(
        tuple(map(sum, zip(*(p.at(0.0).encode() for p in parts), strict=True)))
    )
    busy = BusyTime()
    busy.sample(0.0, 0.0)
    busy.sample(1.0, 800.0)
    busy.add_throughput(total)
    assert math.exp(total.logarithm) == pytest.approx(0.5, rel=0.02)


def test_sum_that_fell_with_a_router_is_no_evidence():
    """The counts of a router that dies vanish between two of a relay's sums."""
    evidence = decode_evidence((-3, 40, -2, 5, 0, -5, 9))
    assert (evidence.reports, evidence.slowdown_total) == (0.0, 0.0)
    assert (evidence.refusals, evidence.done, evidence.recent_done_work) == (0, 0, 0)
    BusyTime().add_throughput(evidence)
    assert speeds_of([evidence, SpeedEvidence()]) == [1.0, 1.0]


def throughput(busy, own, work_ms, speed, utilisation, start_ms, end_ms):
    """Let an engine prefill prompts in a part of the time; return the evidence."""
    done_ms = 0.0
    for number in range(int(start_ms / 100), int(end_ms / 100)):
        now_ms = 100.0 * number
        is_busy = (number * 7) % 10 < 10 * utilisation
        busy.sample(int(is_busy), now_ms)
        done_ms += 100.0 * speed if is_busy else 0.0
        while done_ms >= work_ms:
            done_ms -= work_ms
            own.add_done(work_ms, now_ms)
    evidence = decode_evidence(own.at(end_ms).encode())
    busy.add_throughput(evidence)
    return evidence


@pytest.mark.parametrize("utilisation", [0.2, 0.5, 1.0])
def test_speed_of_an_engine_does_not_depend_on_its_load(utilisation):
    """Guards against a busy engine that is taken for a slow one."""
    evidence = throughput(
        BusyTime(), OwnEvidence(0.0), 120.0, 0.6, utilisation, 0.0, 10_000.0
    )
    assert math.exp(evidence.logarithm) == pytest.approx(0.6, rel=0.15)


def test_engine_that_becomes_much_slower_is_believed_within_two_seconds():
    rows = [(BusyTime(), OwnEvidence(0.0)) for _ in range(9)]
    for row in rows:
        throughput(*row, 60.0, 1.0, 0.5, 0.0, 10_000.0)
    slow, *others = [
        throughput(*row, 60.0, 1.0 if n else 0.2, 1.0, 10_000.0, 12_000.0)
        for n, row in enumerate(rows)
    ]
    estimates = speeds_of([slow, *others])
    assert estimates[0] < 0.4
    assert min(estimates[1:]) > 0.8


def slowdown_after(own, now_ms, speed=None):
    speed = speed or ServerSpeed(1.0, 0.0)
    speed.update_slowdown(own.at(now_ms), now_ms)
    return speed.slowdown


def test_slowdown_is_smoothed_and_expires_within_a_moment():
    own = OwnEvidence(0.0)
    own.add_slowdown(3.0, 0.0)
    fresh = slowdown_after(own, 0.0)
    assert 1.5 < fresh < 3.0
    assert slowdown_after(own, 2.0 * MOMENT_DECAY_MS) < 1.2
    assert slowdown_after(own, 6.0 * MOMENT_DECAY_MS) < 1.02
    own.add_slowdown(1.0, 0.0)
    assert slowdown_after(own, 0.0) < fresh


@pytest.mark.parametrize("reported", [0.0, 0.01, 1e7])
def test_false_slowdown_is_bounded(reported):
    own = OwnEvidence(0.0)
    speed = ServerSpeed(1.0, 0.0)
    for n in range(100):
        own.add_slowdown(reported, 10.0 * n)
        speed.update_slowdown(own.at(10.0 * n), 10.0 * n)
        speed.update_factor(0.0, 0.0)
    assert 1.0 / MAX_FACTOR <= speed.factor <= MAX_FACTOR


def test_slowdown_changes_the_speed_at_once_and_not_the_learned_one():
    own = OwnEvidence(0.0)
    speed = ServerSpeed(1.0, 0.0)
    own.add_slowdown(3.0, 0.0)
    speed.update_slowdown(own.at(0.0), 0.0)
    speed.update_factor(0.0, 0.0)
    assert speed.factor < 0.65
    assert speed.relative == 0.0
