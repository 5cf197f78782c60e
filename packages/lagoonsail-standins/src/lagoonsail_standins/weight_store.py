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
"""Prefix of the served paths."""


class RateLimit:
    """A token bucket.

    Example:
        >>> limit = RateLimit(rate_per_s=2.0, burst=1, now_ms=0.0)
        >>> limit.take(0.0), limit.take(0.0), limit.take(500.0)
        (0.0, 500.0, 0.0)
    """

    __slots__ = ("_burst", "_rate_per_ms", "_refilled_at_ms", "_tokens")

    def __init__(self, rate_per_s: float, burst: int, now_ms: float) -> None:
        self._rate_per_ms = rate_per_s / 1000.0
        self._burst = float(burst)
        self._tokens = float(burst)
        self._refilled_at_ms = now_ms

    def take(self, now_ms: float) -> float:
        """Take one token if one is available.

        Args:
            now_ms: Monotonic time, milliseconds.

        Returns:
            0 if a token was taken, else the milliseconds until one is available.
        """
        refilled_tokens = (now_ms - self._refilled_at_ms) * self._rate_per_ms
        self._tokens = min(self._burst, self._tokens + refilled_tokens)
        self._refilled_at_ms = now_ms
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._rate_per_ms


def make_weights(name: str, size: int) -> bytes:
    """Return weights that depend only on name and size.

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
        limit: Rate limit shared by all clients.
        size: Size of each answer in bytes.
        clock: Clock of the rate limit.

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
        rate_per_s: Sustained rate of served requests, per second.
        burst: Requests that can be served at once after an idle period.
        size: Size of each answer in bytes.
    """
    clock = Clock()
    limit = RateLimit(rate_per_s, burst, clock.now_ms())
    serve(make_weight_app(limit, size, clock), port)


if __name__ == "__main__":
    run(main)
