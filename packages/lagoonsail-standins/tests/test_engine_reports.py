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


class ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.clock = Clock(lambda: self.now_ms, lambda: self.now_ms)


@pytest.fixture
def manual_clock():
    return ManualClock()


def test_cache_events_are_delayed_and_have_gaps(manual_clock):
    cache = PromptCache(manual_clock.clock, lag_ms=100.0)
    cache.add("x" * 256 * 20)
    assert cache.events_after(0) == []
    manual_clock.now_ms = 100.0
    sequences = [event["sequence"] for event in cache.events_after(0)]
    assert sequences == [n for n in range(1, 21) if n % HIDDEN_EVENT_INTERVAL]
    assert [event["sequence"] for event in cache.events_after(18)] == [19, 20]


def test_cache_shares_prefixes_and_evicts_the_oldest(manual_clock):
    cache = PromptCache(manual_clock.clock, lag_ms=0.0)
    assert cache.add("a" * 2560) == 0
    assert cache.add("a" * 1280 + "b" * 1280) == 1280
    for letter in "cdefghijk":
        cache.add(letter * 256 * (CACHE_BLOCKS // 8))
    assert cache.add("a" * 2560) == 0
    assert {"stored", "removed"} == {e["kind"] for e in cache.events_after(0)}


def test_metrics_lag(manual_clock):
    backend = Backend(BackendOptions("e", 8, 1, 0, 1.0), manual_clock.clock)
    metrics = LaggingMetrics(backend, lag_ms=1000.0)
    manual_clock.now_ms = 500.0
    backend.turn_cold()
    metrics.sample()
    manual_clock.now_ms = 1499.0
    assert "engine:warm 1\n" in metrics.render()
    manual_clock.now_ms = 1500.0
    assert "engine:warm 0\n" in metrics.render()
