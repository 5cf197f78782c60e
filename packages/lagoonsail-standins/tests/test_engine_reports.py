from __future__ import annotations

import pytest

from lagoonsail_core.clock import Clock
from lagoonsail_standins.backend import Backend, BackendOptions
from lagoonsail_standins.engine_reports import (
    CACHE_BLOCKS,
    HIDDEN_EVENT_INTERVAL,
    LaggingMetrics,
    PromptCache,
)


class Hand:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.clock = Clock(lambda: self.now_ms, lambda: self.now_ms)


@pytest.fixture
def hand():
    return Hand()


def test_cache_events_come_late_and_with_gaps(hand):
    cache = PromptCache(hand.clock, lag_ms=100.0)
    cache.add("x" * 256 * 20)
    assert cache.events_after(0) == []
    hand.now_ms = 100.0
    sequences = [event["sequence"] for event in cache.events_after(0)]
    assert sequences == [n for n in range(1, 21) if n % HIDDEN_EVENT_INTERVAL]
    assert [event["sequence"] for event in cache.events_after(18)] == [19, 20]


def test_cache_holds_shared_prefixes_and_removes_the_oldest(hand):
    cache = PromptCache(hand.clock, lag_ms=0.0)
    assert cache.add("a" * 2560) == 0
    assert cache.add("a" * 1280 + "b" * 1280) == 1280
    for letter in "cdefghijk":
        cache.add(letter * 256 * (CACHE_BLOCKS // 8))
    assert cache.add("a" * 2560) == 0
    assert {"stored", "removed"} == {e["kind"] for e in cache.events_after(0)}


def test_metrics_lag(hand):
    backend = Backend(BackendOptions("e", 8, 1, 0, 1.0), hand.clock)
    metrics = LaggingMetrics(backend, lag_ms=1000.0)
    hand.now_ms = 500.0
    backend.turn_cold()
    metrics.sample()
    hand.now_ms = 1499.0
    assert "engine:warm 1\n" in metrics.render()
    hand.now_ms = 1500.0
    assert "engine:warm 0\n" in metrics.render()
