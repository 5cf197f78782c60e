"""Bytes and CPU time of the digests between the owners of a service's shards.

At the target scale a service has 12 shards. An owner sends its digest to
SIBLINGS_PER_ROUND of the 11 others each second, so each of them gets one every 6 s.
"""

from __future__ import annotations

import time

from lagoonsail_core.messages import ServiceDigest, decode_frame, encode_frame
from lagoonsail_router.digests import SIBLINGS_PER_ROUND, DigestStore
from lagoonsail_sharing.fair_queue import FairQueue
from lagoonsail_sharing.waiting import WaitingRequest

ACCOUNTS = 237
"""Accounts of a shard at the target scale."""
BACKLOGGED = 24
"""Accounts of a shard with waiting requests."""
CHANGED_COUNTS = (BACKLOGGED, BACKLOGGED + 14, BACKLOGGED + 6 * 14)
"""Accounts in a digest: the backlogged ones, and for each second since the last digest
14 others, as many as can belong to 38 requests a second."""
OWNED_SHARDS = 0.87
"""Mean number of shards that a node owns."""
ROUNDS = 200
"""Number of digests that are timed."""
MAX_COST = 4096.0
"""Largest cost of a request."""


class Handlers:
    """Stores the handler that a digest store registers."""

    __slots__ = ("on_digest",)

    def handle(self, _kind: type, handler: object) -> None:
        """Store the handler of digests."""
        self.on_digest = handler


def make_digest(sequence: int, names: list[str]) -> ServiceDigest:
    """Return a digest in which the service of some accounts has grown."""
    service = {name: sequence * 10.1 + number for number, name in enumerate(names)}
    shard = "cordero/asistente@sierra-central"
    return ServiceDigest(shard, 3, sequence, service, dict(service), {})


def make_queue(names: list[str], backlogged: int) -> FairQueue:
    """Return a queue with waiting requests of some accounts."""
    queue = FairQueue(64, MAX_COST, 336)
    queue.set_shares(dict.fromkeys(names, 1.0))
    for number, name in enumerate(names[:backlogged]):
        queue.add(WaitingRequest(("call", number), name, 10.0))
    return queue


def measure(changed: int) -> None:
    """Print the cost of a digest, and of all digests of a node per second."""
    names = [f"club-{number:05}" for number in range(ACCOUNTS)]
    queue = make_queue(names, BACKLOGGED)
    handlers = Handlers()
    DigestStore(handlers, lambda d: queue.add_remote(d.shard, d.service, d.epoch))
    handlers.on_digest(None, make_digest(1, names))
    digests = [make_digest(number + 2, names[:changed]) for number in range(ROUNDS)]
    begin_s = time.process_time()
    frames = [encode_frame(number, [d]) for number, d in enumerate(digests)]
    encoded_s = time.process_time()
    for frame in frames:
        handlers.on_digest(None, decode_frame(frame)[1][0])
    ended_s = time.process_time()
    size = len(frames[-1])
    encode_ms = (encoded_s - begin_s) * 1000.0 / ROUNDS
    decode_ms = (ended_s - encoded_s) * 1000.0 / ROUNDS
    frames_per_s = OWNED_SHARDS * SIBLINGS_PER_ROUND
    print(
        f"{changed} of {ACCOUNTS} accounts: {size} bytes, "
        f"{encode_ms:.3f} ms to encode, {decode_ms:.3f} ms to decode and count; "
        f"a node sends and receives {frames_per_s:.2f}/s each: "
        f"{2 * frames_per_s * size / 1000.0:.1f} KB/s, "
        f"{frames_per_s * (encode_ms + decode_ms):.1f} ms/s"
    )


if __name__ == "__main__":
    for changed in CHANGED_COUNTS:
        measure(changed)
