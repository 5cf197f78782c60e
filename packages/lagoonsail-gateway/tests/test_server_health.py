"""Servers that fail part of their requests while they call themselves healthy."""

from __future__ import annotations

from lagoonsail_gateway.server_health import (
    FIRST_SUSPENSION_MS,
    LONGEST_SUSPENSION_MS,
    SUSPENDED,
    TRIAL_MS,
    TRUSTED,
    ServerHealth,
)


def test_few_failures_are_borne():
    health = ServerHealth()
    for number in range(200):
        now_ms = float(number)
        assert not health.note(now_ms, number % 7 != 0, sent_ms=now_ms)


def test_failing_server_is_left_out_and_tried_with_one_request():
    health = ServerHealth()
    changes = [health.note(0.0, False, sent_ms=0.0) for _ in range(5)]
    assert SUSPENDED in changes
    assert not health.may_get(1.0)
    later_ms = health.suspended_until_ms
    assert health.may_get(later_ms)
    health.note_try(later_ms)
    assert not health.may_get(later_ms)
    assert health.note(later_ms + 10.0, True, sent_ms=later_ms) == TRUSTED
    assert health.may_get(later_ms + 11.0)


def test_server_that_fails_its_trials_is_left_out_longer():
    health = ServerHealth()
    now_ms = 0.0
    pauses = []
    for _ in range(12):
        health.note(now_ms, False, sent_ms=now_ms)
        pauses.append(health.suspended_until_ms - now_ms)
        now_ms = max(now_ms, health.suspended_until_ms)
        health.note_try(now_ms)
    assert pauses[-1] <= LONGEST_SUSPENSION_MS
    assert pauses[-1] > pauses[4]


def test_trial_whose_answer_never_comes_is_repeated():
    health = ServerHealth()
    for _ in range(5):
        health.note(0.0, False, sent_ms=0.0)
    now_ms = health.suspended_until_ms
    health.note_try(now_ms)
    assert health.may_get(now_ms + TRIAL_MS)


def test_requests_that_were_on_their_way_are_no_trials():
    health = ServerHealth()
    for now_ms in range(20):
        health.note(float(now_ms), False, sent_ms=-1.0)
    assert health.suspended_until_ms < 20.0 + FIRST_SUSPENSION_MS
    assert not health.note(30.0, True, sent_ms=-1.0)
    assert not health.may_get(31.0)
