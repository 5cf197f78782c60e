"""Bytes and processor time of the digests between the owners of a service's shards.

At the target a service has 12 shards. An owner sends its digest to SIBLINGS_AT_ONCE of
the 11 others each second, and so each of them gets one in six seconds.
"""

from __future__ import annotations

import time

from lagoonsail_core.messages import ServiceDigest, decode_frame, encode_frame
from lagoonsail_router.digests import SIBLINGS_AT_ONCE, DigestStore
from lagoonsail_sharing.fair_queue import FairQueue
from lagoonsail_sharing.waiting import Waiting

ACCOUNTS = 237
"""Accounts of a shard at the target."""
BACKLOGGED = 24
"""Accounts of a shard that wait."""
CHANGED = (BACKLOGGED, BACKLOGGED + 14, BACKLOGGED + 6 * 14)
"""Accounts of a digest: the backlogged ones, and with each second 14 others, as many as
38 requests a second can have."""
OWNED = 0.87
"""Shards that a node owns."""
ROUNDS = 200
"""Digests that are timed."""
MAX_COST = 4096.0
"""Largest cost of a request."""


class Handlers:
    """Keeps the handler that a digest store registers."""

    __slots__ = ("take",)

    def handle(self, _kind: type, handler: object) -> None:
        """Take the handler of digests."""
        self.take = handler


def make_digest(sequence: int, names: list[str]) -> ServiceDigest:
    """Return a digest in which accounts have grown."""
    sums = {name: sequence * 10.1 + number for number, name in enumerate(names)}
    shard = "cordero/asistente@sierra-central"
    return ServiceDigest(shard, 3, sequence, sums, dict(sums), {})


def make_queue(names: list[str], backlogged: int) -> FairQueue:
    """Return a queue in which some accounts wait."""
    queue = FairQueue(64, MAX_COST, 336)
    queue.set_shares(dict.fromkeys(names, 1.0))
    for number, name in enumerate(names[:backlogged]):
        queue.add(Waiting(("call", number), name, 10.0))
    return queue


def measure(changed: int) -> None:
    """Print what a digest costs, and what all of them cost a node in a second."""
    names = [f"club-{number:05}" for number in range(ACCOUNTS)]
    queue = make_queue(names, BACKLOGGED)
    handlers = Handlers()
    DigestStore(handlers, lambda d: queue.add_remote(d.shard, d.service, d.epoch))
    handlers.take(None, make_digest(1, names))
    digests = [make_digest(number + 2, names[:changed]) for number in range(ROUNDS)]
    begin_s = time.process_time()
    frames = [encode_frame(number, [d]) for number, d in enumerate(digests)]
    encoded_s = time.process_time()
    for frame in frames:
        handlers.take(None, decode_frame(frame)[1][0])
    ended_s = time.process_time()
    size = len(frames[-1])
    send_ms = (encoded_s - begin_s) * 1000.0 / ROUNDS
    take_ms = (ended_s - encoded_s) * 1000.0 / ROUNDS
    frames_a_second = OWNED * SIBLINGS_AT_ONCE
    print(
        f"{changed} of {ACCOUNTS} accounts: {size} bytes, "
        f"{send_ms:.3f} ms to encode, {take_ms:.3f} ms to decode and count; "
        f"a node sends and gets {frames_a_second:.2f} a second each: "
        f"{2 * frames_a_second * size / 1000.0:.1f} KB/s, "
        f"{frames_a_second * (send_ms + take_ms):.1f} ms/s"
    )


if __name__ == "__main__":
    for changed in CHANGED:
        measure(changed)
