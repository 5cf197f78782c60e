"""Reports of a model engine: delayed metrics, and cache events with gaps."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_sharing.prefix_index import BLOCK_CHARACTERS, prefix_hashes
from lagoonsail_standins.serving import Answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_standins.backend import Backend
    from lagoonsail_standins.serving import Request

CACHE_BLOCKS = 512
"""Capacity of the cache in blocks; the least recently used one is evicted."""
MAX_KEPT_EVENTS = 1000
"""Number of latest events that are kept for readers."""
SAMPLE_INTERVAL_MS = 50.0
"""Time between two samples of the load, milliseconds."""
HIDDEN_EVENT_INTERVAL = 7
"""Events whose sequence number is a multiple of this are never returned."""


class LaggingMetrics:
    """Samples of an engine's load that are reported with a delay."""

    __slots__ = ("_backend", "_clock", "_lag_ms", "_read_more_values", "_samples")

    def __init__(
        self,
        backend: Backend,
        lag_ms: float,
        read_more_values: Callable[[], dict[str, float]] = dict,
    ) -> None:
        self._backend = backend
        self._read_more_values = read_more_values
        self._clock = backend.clock
        self._lag_ms = lag_ms
        self._samples: deque[tuple[float, str]] = deque()
        self.sample()

    def sample(self) -> None:
        """Record the current load, and drop samples that are no longer reported."""
        backend = self._backend
        values = {
            "engine:num_requests_running": backend.running,
            "engine:num_requests_waiting": backend.waiting,
            "engine:warm": int(backend.is_warm),
            "process_start_time_seconds": round(backend.started_wall_ms / 1000.0, 3),
            **self._read_more_values(),
        }
        lines = [
            f"# TYPE {name} gauge\n{name} {value}\n" for name, value in values.items()
        ]
        self._samples.append((self._clock.now_ms(), "".join(lines)))
        self._drop_superseded()

    def _drop_superseded(self) -> None:
        newest_ms = self._clock.now_ms() - self._lag_ms
        while len(self._samples) > 1 and self._samples[1][0] <= newest_ms:
            self._samples.popleft()

    def render(self) -> str:
        """Return the newest sample that is at least as old as the lag.

        Returns:
            Prometheus text; the oldest sample if none is old enough.
        """
        self._drop_superseded()
        return self._samples[0][1]


def make_metrics_handler(
    backend: Backend,
    lag_ms: float,
    read_more_values: Callable[[], dict[str, float]] = dict,
) -> Callable:
    """Return the handler of `GET /metrics`, and start sampling.

    Args:
        backend: The server.
        lag_ms: Delay of the reported values, milliseconds.
        read_more_values: Returns further gauges by name.

    Returns:
        The handler.
    """
    metrics = LaggingMetrics(backend, lag_ms, read_more_values)

    def sample() -> None:
        while True:
            metrics.sample()
            eventlet.sleep(SAMPLE_INTERVAL_MS / 1000.0)

    def handle(_request: Request) -> Answer:
        backend.wait_while_silent()
        headers = {**backend.headers(), "Content-Type": "text/plain"}
        return Answer(200, metrics.render().encode(), headers)

    eventlet.spawn(sample)
    return handle


class PromptCache:
    """The prompt prefixes that an engine caches, and the events of their changes."""

    __slots__ = (
        "_blocks",
        "_clock",
        "_events",
        "_hit_blocks",
        "_lag_ms",
        "_queried_blocks",
        "_sequence",
    )

    def __init__(self, clock: Clock, lag_ms: float) -> None:
        self._queried_blocks = 0
        self._hit_blocks = 0
        self._clock = clock
        self._lag_ms = lag_ms
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, dict]] = deque(maxlen=MAX_KEPT_EVENTS)
        self._sequence = 0

    def add(self, prompt: str) -> int:
        """Cache the prefixes of a prompt.

        Args:
            prompt: The whole prompt.

        Returns:
            Number of characters of the prompt that were cached before.
        """
        hashes = prefix_hashes(prompt)
        hit_count = sum(1 for block_hash in hashes if block_hash in self._blocks)
        self._queried_blocks += len(hashes)
        self._hit_blocks += hit_count
        for block_hash in hashes:
            if block_hash not in self._blocks:
                self._append_event("stored", block_hash)
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > CACHE_BLOCKS:
            evicted, _ = self._blocks.popitem(last=False)
            self._append_event("removed", evicted)
        return hit_count * BLOCK_CHARACTERS

    def metric_values(self) -> dict[str, float]:
        """Return the numbers of blocks queried and found so far, by metric name."""
        return {
            "engine:prefix_cache_queries": self._queried_blocks,
            "engine:prefix_cache_hits": self._hit_blocks,
        }

    def clear(self) -> None:
        """Remove all prefixes, with one event for all of them."""
        self._blocks.clear()
        self._append_event("cleared", 0)

    def _append_event(self, kind: str, block_hash: int) -> None:
        self._sequence += 1
        event = {"sequence": self._sequence, "kind": kind, "hash": block_hash}
        self._events.append((self._clock.now_ms(), event))

    def events_after(self, sequence: int) -> list[dict]:
        """Return the events after a sequence number, delayed and with gaps.

        Args:
            sequence: Sequence number of the last event that the reader has.

        Returns:
            Events with `sequence`, `kind` ("stored", "removed" or "cleared") and
            `hash`, in order.
        """
        newest_ms = self._clock.now_ms() - self._lag_ms
        return [
            event
            for created_ms, event in self._events
            if created_ms <= newest_ms
            and event["sequence"] > sequence
            and event["sequence"] % HIDDEN_EVENT_INTERVAL
        ]
