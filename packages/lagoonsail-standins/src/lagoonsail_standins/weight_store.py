"""Stand-in for the store of model weights, which limits the rate of requests."""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.clock import Clock
from lagoonsail_standins.serving import (
    Answer,
    Request,
    answer_json,
    make_app,
    run,
    serve,
)

if TYPE_CHECKING:
    from collections.abc import Callable

WEIGHTS_PATH = "/weights/"
"""Beginning of the paths that are served."""


class RateLimit:
    """A token bucket.

    Example:
        >>> limit = RateLimit(rate_per_s=2.0, burst=1, now_ms=0.0)
        >>> limit.take(0.0), limit.take(0.0), limit.take(500.0)
        (0.0, 500.0, 0.0)
    """

    __slots__ = ("_burst", "_filled_at_ms", "_level", "_rate_per_ms")

    def __init__(self, rate_per_s: float, burst: int, now_ms: float) -> None:
        self._rate_per_ms = rate_per_s / 1000.0
        self._burst = float(burst)
        self._level = float(burst)
        self._filled_at_ms = now_ms

    def take(self, now_ms: float) -> float:
        """Take one token if there is one.

        Args:
            now_ms: Monotonic time.

        Returns:
            0 if one was taken, else the milliseconds until there will be one.
        """
        filled = (now_ms - self._filled_at_ms) * self._rate_per_ms
        self._level = min(self._burst, self._level + filled)
        self._filled_at_ms = now_ms
        if self._level >= 1.0:
            self._level -= 1.0
            return 0.0
        return (1.0 - self._level) / self._rate_per_ms


def make_weights(name: str, size: int) -> bytes:
    """Return weights that depend on the name alone.

    Args:
        name: Name of the weights.
        size: Number of bytes.

    Returns:
        The weights.
    """
    block = hashlib.sha256(name.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def make_weight_app(limit: RateLimit, size: int, clock: Clock) -> Callable:
    """Return the WSGI application of the weight store.

    Args:
        limit: Limit over all clients.
        size: Bytes of each answer.
        clock: Clock of the limit.

    Returns:
        The application.
    """
    counts = Counter()

    def show_weights(request: Request) -> Answer:
        name = request.path.removeprefix(WEIGHTS_PATH)
        if request.method != "GET" or name in ("", request.path):
            return answer_json({"error": f"no {request.method} {request.path}"}, 404)
        wait_ms = limit.take(clock.now_ms())
        if wait_ms:
            counts["limited"] += 1
            retry_after = str(math.ceil(wait_ms / 1000.0))
            return answer_json(
                {"error": "too many requests"}, 429, {"Retry-After": retry_after}
            )
        counts["served"] += 1
        weights = make_weights(name, size)
        return Answer(200, weights, {"Content-Type": "application/octet-stream"})

    record = {("GET", "/_record"): lambda _request: answer_json(counts)}
    return make_app(record, show_weights)


def main(
    *, port: int = 0, rate_per_s: float = 2.0, burst: int = 2, size: int = 100_000
) -> None:
    """Serve model weights until SIGTERM.

    Args:
        port: TCP port; 0 takes any free one.
        rate_per_s: Requests a second that are served in the long run.
        burst: Requests that are served at once after a pause.
        size: Bytes of each answer.
    """
    clock = Clock()
    limit = RateLimit(rate_per_s, burst, clock.now_ms())
    serve(make_weight_app(limit, size, clock), port)


if __name__ == "__main__":
    run(main)
