from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_overload.body_intake import (
    EVICTION_STALL_MS,
    STALL_MS,
    STEP_BYTES,
    BodyIntake,
)
from lagoonsail_overload.byte_budget import BODIES, HEADS, ByteBudget

MAX_BYTES = 1_000_000


class FakeTime:
    def __init__(self):
        self.now_ms = 1000.0
        self.clock = Clock(lambda: self.now_ms, lambda: self.now_ms)


@pytest.fixture
def time():
    return FakeTime()


@pytest.fixture
def intake(time):
    return BodyIntake(ByteBudget(MAX_BYTES), time.clock)


@pytest.fixture
def begin(intake):
    """Begins a body; the names of those that were given up are in `begin.cancelled`."""

    def start(length, name=""):
        return intake.begin(length, lambda: start.cancelled.append(name))

    start.cancelled = []
    return start


# Without an upfront reservation, bodies that were admitted together exceed the memory.
def test_announced_body_is_reserved_before_it_arrives(intake, begin):
    assert begin(500_000) is not None
    assert begin(400_000) is None
    assert intake.budget.used_by_kind[BODIES] == 500_000
    assert intake.refusals == 1


# Long bodies of hostile callers must not keep out ordinary short requests.
def test_short_body_has_room_when_long_ones_have_used_up_theirs(begin):
    assert begin(800_000) is not None
    assert begin(20_000) is None
    assert begin(10_000) is not None


def test_chunked_body_grows_in_steps_until_the_budget_ends(intake, begin):
    body = begin(None)
    received = 0
    while intake.record(body, STEP_BYTES):
        received += STEP_BYTES
        assert intake.budget.used_bytes >= received
    assert MAX_BYTES / 2 < received < MAX_BYTES
    intake.release(body)
    intake.release(body)
    assert intake.budget.used_bytes == 0


def test_whole_chunked_body_keeps_only_what_it_needs(intake, begin):
    body = begin(None)
    assert intake.record(body, 20_000)
    intake.finish(body)
    assert intake.budget.used_by_kind[BODIES] == 20_000


# Callers that stop just short of the end kept others out until they were timed out.
def test_longest_silent_body_is_given_up_for_another(time, intake, begin):
    begin(300_000, "oldest")
    time.now_ms += 10.0
    begin(300_000, "older")
    time.now_ms += EVICTION_STALL_MS
    assert begin(300_000) is not None
    assert begin.cancelled == ["oldest"]
    assert intake.budget.used_by_kind[BODIES] == 600_000


def test_no_body_is_given_up_if_that_does_not_make_room(time, intake, begin):
    begin(300_000, "silent")
    intake.budget.add(HEADS, 600_000)
    time.now_ms += EVICTION_STALL_MS
    assert begin(600_000) is None
    assert begin.cancelled == []


def test_evicted_body_may_not_go_on_and_whole_bodies_are_kept(time, intake, begin):
    whole = begin(300_000, "whole")
    intake.record(whole, 300_000)
    intake.finish(whole)
    silent = begin(400_000, "silent")
    time.now_ms += EVICTION_STALL_MS
    assert begin(400_000) is not None
    assert begin.cancelled == ["silent"]
    assert not intake.record(silent, 10)


# A byte now and then kept a body, with all that it had reserved, for hours.
def test_single_bytes_do_not_count_as_progress(time, intake, begin):
    body = begin(100_000)
    for _ in range(10):
        time.now_ms += STALL_MS / 10
        intake.record(body, 1)
    assert intake.remaining_ms(body) <= 0


def test_progress_extends_a_body_up_to_its_deadline(time, intake, begin):
    body = begin(100_000)
    time.now_ms += STALL_MS - 1.0
    intake.record(body, 5000)
    assert intake.remaining_ms(body) == STALL_MS
    assert intake.remaining_ms(body, time.now_ms + 7.0) == 7.0
