"""What an engine reports about itself: metrics that lag, cache events with gaps."""

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
"""Blocks that the cache holds; the least recently used one is removed."""
KEPT_EVENTS = 1000
"""Events that are kept for readers."""
SAMPLE_MS = 50.0
"""Time between two samples of the load."""
GAP_EVERY = 7
"""Each event whose sequence is a multiple of this is never shown."""


class LaggingMetrics:
    """Samples of an engine's load, shown only when they are old enough."""

    __slots__ = ("_backend", "_clock", "_count", "_lag_ms", "_samples")

    def __init__(
        self,
        backend: Backend,
        lag_ms: float,
        count: Callable[[], dict[str, float]] = dict,
    ) -> None:
        self._backend = backend
        self._count = count
        self._clock = backend.clock
        self._lag_ms = lag_ms
        self._samples: deque[tuple[float, str]] = deque()
        self.sample()

    def sample(self) -> None:
        """Keep the present load, and drop samples that no reader needs again."""
        backend = self._backend
        values = {
            "engine:num_requests_running": backend.running,
            "engine:num_requests_waiting": backend.waiting,
            "engine:warm": int(backend.is_warm),
            "process_start_time_seconds": round(backend.started_wall_ms / 1000.0, 3),
            **self._count(),
        }
        lines = [
            f"# TYPE {name} gauge\n{name} {value}\n" for name, value in values.items()
        ]
        self._samples.append((self._clock.now_ms(), "".join(lines)))
        self._drop_outdated()

    def _drop_outdated(self) -> None:
        shown_ms = self._clock.now_ms() - self._lag_ms
        while len(self._samples) > 1 and self._samples[1][0] <= shown_ms:
            self._samples.popleft()

    def render(self) -> str:
        """Return the newest sample that is as old as the lag, as Prometheus text."""
        self._drop_outdated()
        return self._samples[0][1]


def make_metrics_handler(
    backend: Backend, lag_ms: float, count: Callable[[], dict[str, float]] = dict
) -> Callable:
    """Return the handler of `GET /metrics`, and begin to take samples.

    Args:
        backend: The server.
        lag_ms: How far its report lags, milliseconds.
        count: Returns further values by name.

    Returns:
        A handler of requests.
    """
    metrics = LaggingMetrics(backend, lag_ms, count)

    def sample() -> None:
        while True:
            metrics.sample()
            eventlet.sleep(SAMPLE_MS / 1000.0)

    def show(_request: Request) -> Answer:
        backend.pause_while_silent()
        headers = {**backend.headers(), "Content-Type": "text/plain"}
        return Answer(200, metrics.render().encode(), headers)

    eventlet.spawn(sample)
    return show


class PromptCache:
    """Which prefixes an engine holds, and the events that tell of changes."""

    __slots__ = (
        "_asked",
        "_blocks",
        "_clock",
        "_events",
        "_held",
        "_lag_ms",
        "_sequence",
    )

    def __init__(self, clock: Clock, lag_ms: float) -> None:
        self._asked = 0
        self._held = 0
        self._clock = clock
        self._lag_ms = lag_ms
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, dict]] = deque(maxlen=KEPT_EVENTS)
        self._sequence = 0

    def add(self, prompt: str) -> int:
        """Hold a prompt's prefixes.

        Args:
            prompt: The whole prompt.

        Returns:
            How many characters of it were held before.
        """
        hashes = prefix_hashes(prompt)
        held = sum(1 for item in hashes if item in self._blocks)
        self._asked += len(hashes)
        self._held += held
        for item in hashes:
            if item not in self._blocks:
                self._tell("stored", item)
            self._blocks[item] = None
            self._blocks.move_to_end(item)
        while len(self._blocks) > CACHE_BLOCKS:
            removed, _ = self._blocks.popitem(last=False)
            self._tell("removed", removed)
        return held * BLOCK_CHARACTERS

    def count(self) -> dict[str, float]:
        """Return how many blocks prompts had so far, and how many were held."""
        return {
            "engine:prefix_cache_queries": self._asked,
            "engine:prefix_cache_hits": self._held,
        }

    def clear(self) -> None:
        """Remove all prefixes; readers see one event for all."""
        self._blocks.clear()
        self._tell("cleared", 0)

    def _tell(self, kind: str, item: int) -> None:
        self._sequence += 1
        event = {"sequence": self._sequence, "kind": kind, "hash": item}
        self._events.append((self._clock.now_ms(), event))

    def events_after(self, sequence: int) -> list[dict]:
        """Return the events later than a sequence number, late and with gaps.

        Args:
            sequence: Events at or before it are left out.

        Returns:
            Events with `sequence`, `kind` ("stored", "removed" or "cleared") and
            `hash`, in order.
        """
        shown_ms = self._clock.now_ms() - self._lag_ms
        return [
            event
            for at_ms, event in self._events
            if at_ms <= shown_ms
            and event["sequence"] > sequence
            and event["sequence"] % GAP_EVERY
        ]
