"""Servers that fail some requests while they report themselves healthy."""

from __future__ import annotations

from lagoonsail_gateway.server_health import (
    INITIAL_SUSPENSION_MS,
    MAX_SUSPENSION_MS,
    PROBE_INTERVAL_MS,
    RESTORED,
    SUSPENDED,
    ServerHealth,
)


def test_few_failures_are_borne():
    health = ServerHealth()
    for number in range(200):
        now_ms = float(number)
        assert not health.record_result(now_ms, number % 7 != 0, sent_ms=now_ms)


def test_failing_server_is_left_out_and_tried_with_one_request():
    health = ServerHealth()
    changes = [health.record_result(0.0, False, sent_ms=0.0) for _ in range(5)]
    assert SUSPENDED in changes
    assert not health.allows_request(1.0)
    probe_ms = health.suspended_until_ms
    assert health.allows_request(probe_ms)
    health.record_attempt(probe_ms)
    assert not health.allows_request(probe_ms)
    assert health.record_result(probe_ms + 10.0, True, sent_ms=probe_ms) == RESTORED
    assert health.allows_request(probe_ms + 11.0)


def test_server_that_fails_its_trials_is_left_out_longer():
    health = ServerHealth()
    now_ms = 0.0
    suspensions_ms = []
    for _ in range(12):
        health.record_result(now_ms, False, sent_ms=now_ms)
        suspensions_ms.append(health.suspended_until_ms - now_ms)
        now_ms = max(now_ms, health.suspended_until_ms)
        health.record_attempt(now_ms)
    assert suspensions_ms[-1] <= MAX_SUSPENSION_MS
    assert suspensions_ms[-1] > suspensions_ms[4]


def test_trial_whose_answer_never_comes_is_repeated():
    health = ServerHealth()
    for _ in range(5):
        health.record_result(0.0, False, sent_ms=0.0)
    now_ms = health.suspended_until_ms
    health.record_attempt(now_ms)
    assert health.allows_request(now_ms + PROBE_INTERVAL_MS)


def test_requests_that_were_on_their_way_are_no_trials():
    health = ServerHealth()
    for now_ms in range(20):
        health.record_result(float(now_ms), False, sent_ms=-1.0)
    assert health.suspended_until_ms < 20.0 + INITIAL_SUSPENSION_MS
    assert not health.record_result(30.0, True, sent_ms=-1.0)
    assert not health.allows_request(31.0)
