"""Estimates of the servers' speeds under noise, slow servers and false figures."""

from __future__ import annotations

import math
import random

import pytest

from lagoonsail_sharing.server_speed import (
    MAX_FACTOR,
    MOMENT_DECAY_MS,
    OwnEvidence,
    ServerSpeed,
    SpeedEvidence,
    decode_evidence,
    estimate_servers,
    estimate_service,
)

ANSWER_INTERVAL_MS = 250.0
"""Time between the answers of one server, over all routers."""
NOISE = 0.5
"""Standard deviation of the logarithm of an answer's time."""


@pytest.fixture
def answers():
    """Return a function that adds answers of servers with given speeds."""
    rng = random.Random(5)

    def add(owns, speeds, start_ms, end_ms):
        for own, speed in zip(owns, speeds, strict=True):
            now_ms = start_ms
            while now_ms < end_ms:
                observed_ms = 100.0 / speed * math.exp(rng.gauss(0.0, NOISE))
                own.add_timing(100.0, observed_ms, 1.0, now_ms)
                now_ms += ANSWER_INTERVAL_MS
        return [own.at(end_ms) for own in owns]

    return add


def make_owns(count):
    return [OwnEvidence(0.0) for _ in range(count)]


def speeds_of(evidences, used=0.0):
    """Return the estimated speeds of all servers."""
    service = estimate_service(evidences, used)
    relatives = estimate_servers(evidences, service)
    return [math.exp(service + relative) for relative in relatives]


def test_equal_servers_are_treated_as_equal_whatever_the_noise(answers):
    """Guards against choices that become noisier where all servers are alike."""
    owns = make_owns(70)
    for end_ms in range(2_000, 30_000, 2_000):
        evidences = answers(owns, [1.0] * 70, end_ms - 2_000.0, float(end_ms))
        estimates = speeds_of(evidences)
        assert max(estimates) / min(estimates) < 1.15, end_ms


def test_equal_servers_keep_the_assumed_speed(answers):
    """Guards against a deployment at the assumed speed that is served differently."""
    evidences = answers(make_owns(9), [1.05] * 9, 0.0, 20_000.0)
    assert estimate_service(evidences, 0.0) == 0.0


def test_servers_of_unequal_speed_are_told_apart_within_seconds(answers):
    speeds = [0.4 + 0.05 * n for n in range(30)]
    estimates = speeds_of(answers(make_owns(30), speeds, 0.0, 4_000.0))
    errors = [abs(math.log(e / s)) for e, s in zip(estimates, speeds, strict=True)]
    assert sum(errors) / len(errors) < 0.2


def test_single_slow_server_is_noticed_among_many(answers):
    speeds = [1.0] * 69 + [0.4]
    estimates = speeds_of(answers(make_owns(70), speeds, 0.0, 4_000.0))
    assert estimates[-1] < 0.65
    assert min(estimates[:-1]) > 0.8


def test_server_that_becomes_slower_is_believed_sooner_than_a_faster_one(answers):
    owns = make_owns(30)
    answers(owns, [1.0] * 30, 0.0, 10_000.0)
    changed = [0.25, 4.0] + [1.0] * 28
    estimates = speeds_of(answers(owns, changed, 10_000.0, 12_000.0))
    assert estimates[0] < 0.45
    assert 1.0 < estimates[1] < 2.5


def test_service_starts_from_the_assumed_speed_and_learns_its_own(answers):
    owns = make_owns(30)
    assert estimate_service([own.at(0.0) for own in owns], 0.0) == 0.0
    evidences = answers(owns, [0.73] * 30, 0.0, 2_000.0)
    assert math.exp(estimate_service(evidences, 0.0)) == pytest.approx(0.73, rel=0.1)


def test_answers_of_one_server_have_no_influence_on_the_others(answers):
    """A server that answers with nonsense, a thousand times too fast."""
    evidences = answers(make_owns(9), [1000.0] + [1.0] * 8, 0.0, 10_000.0)
    assert max(speeds_of(evidences)[1:]) < 1.2
    speed = ServerSpeed(1.0, 0.0)
    speed.update_factor(0.0, estimate_servers(evidences, 0.0)[0])
    assert speed.factor == pytest.approx(MAX_FACTOR)


def test_evidence_of_all_routers_adds_up(answers):
    """A router sees too few answers of each server to learn its speed alone."""
    parts = [answers(make_owns(2), [0.5, 1.0], 0.0, 1_000.0) for _ in range(8)]
    totals = [
        decode_evidence(tuple(map(sum, zip(*(p.encode() for p in s), strict=True))))
        for s in zip(*parts, strict=True)
    ]
    assert totals[0].weight == pytest.approx(8 * parts[0][0].weight, rel=0.02)
    slow, usual = speeds_of(totals)
    assert slow < 0.75 * usual


def test_sum_that_fell_with_a_router_is_no_evidence():
    """The counts of a router that dies vanish between two of a relay's sums."""
    evidence = decode_evidence((-3, 40, 12, 0, 5, -2, 7))
    assert (evidence.mean(), evidence.recent_total) == (0.0, 0.0)
    assert (evidence.reports, evidence.slowdown_total) == (0.0, 0.0)
    assert speeds_of([evidence, SpeedEvidence()]) == [1.0, 1.0]


def slowdown_after(own, now_ms, speed=None):
    speed = speed or ServerSpeed(1.0, 0.0)
    speed.update_slowdown(own.at(now_ms))
    return speed.slowdown


def test_slowdown_is_smoothed_and_expires_within_a_moment():
    own = OwnEvidence(0.0)
    own.add_slowdown(3.0, 0.0)
    fresh = slowdown_after(own, 0.0)
    assert 2.0 < fresh < 3.0
    assert slowdown_after(own, 2.0 * MOMENT_DECAY_MS) < 1.5
    assert slowdown_after(own, 6.0 * MOMENT_DECAY_MS) < 1.02
    own.add_slowdown(1.0, 0.0)
    assert slowdown_after(own, 0.0) < fresh


@pytest.mark.parametrize("reported", [0.0, 0.01, 1e7])
def test_false_slowdown_is_bounded(reported):
    own = OwnEvidence(0.0)
    speed = ServerSpeed(1.0, 0.0)
    for n in range(100):
        own.add_slowdown(reported, 10.0 * n)
        speed.update_slowdown(own.at(10.0 * n))
        speed.update_factor(0.0, 0.0)
    assert 1.0 / MAX_FACTOR <= speed.factor <= MAX_FACTOR


def test_slowdown_changes_the_speed_at_once_and_not_the_learned_one():
    own = OwnEvidence(0.0)
    speed = ServerSpeed(1.0, 0.0)
    own.add_slowdown(3.0, 0.0)
    speed.update_slowdown(own.at(0.0))
    speed.update_factor(0.0, 0.0)
    assert speed.factor < 0.5
    assert speed.relative == 0.0
