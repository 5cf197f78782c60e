"""Digests that routers send each other, so that each decides by the fleet's load.

A digest replaces the one before it, so datagrams fit: one that is lost, late or doubled
harms nothing, and no connection can go silent. Each router sends to a bounded number of
others in a round, in turn, so that what a router sends and receives does not grow with
the fleet; what grows is the age of what it knows, `routers / MAX_PEERS_A_ROUND` rounds.
"""

from __future__ import annotations

import math
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgpack

from lagoonsail_core.green import green_socket
from lagoonsail_gateway.prompt_reads import MALFORMED, MOST_READS, decode_read
from lagoonsail_router.context import start_later

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.fleet_share import RouterCount
    from lagoonsail_gateway.prompt_reads import PromptRead
    from lagoonsail_router.context import RouterContext

Address = tuple[str, int]
"""IP number and port."""

ROUND_MS = 100.0
"""Time between two rounds."""
SOON_MS = 5.0
"""Time until a digest about much new work is sent; what comes meanwhile goes along."""
MAX_PEERS_A_ROUND = 12
"""Routers that get a digest in one round."""
FORGET_MS = 1500.0
"""Age at which a digest no longer counts: its router is gone, or cannot be heard."""
MAX_DATAGRAM_BYTES = 60_000
"""Longest digest."""
FORMAT_VERSION = 2
"""Changes with the layout of a digest; others are left out."""


@dataclass(slots=True)
class Digest:
    """What a router tells about its own work."""

    router: str
    """Name of the router."""
    incarnation: int
    """Number that grows with each start of the router."""
    number: int
    """Number of the digest; grows."""
    pending: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Running requests and unread prompt tokens by server."""
    sums: dict[str, tuple[int, int]] = field(default_factory=dict)
    """What client accounts asked for and were admitted, as fading sums; those with a
    request since the last digests."""
    reads: list[bytes] = field(default_factory=list)
    """The prompts that it sent last, in order, each encoded by itself, since most of
    them were told before and need no decoding."""
    reads_count: int = 0
    """Prompts that it has sent since its start, the last of `reads` included."""
    store_revision: int = 0
    """Revision up to which it knows the store."""
    wanted: list[str] = field(default_factory=list)
    """Routers of whose prompts it missed some, and wants all that they remember."""

    def encode(self) -> bytes:
        """Return the datagram."""
        return msgpack.packb(
            [
                FORMAT_VERSION,
                self.router,
                self.incarnation,
                self.number,
                self.pending,
                self.sums,
                self.reads,
                self.reads_count,
                self.store_revision,
                self.wanted,
            ]
        )


def decode_digest(data: bytes) -> Digest | None:
    """Return a digest, None if the datagram is none of this version.

    Args:
        data: The datagram.

    Example:
        >>> decode_digest(Digest("r1", 7, 1, {"s": (1, 20)}).encode()).pending
        {'s': (1, 20)}
        >>> decode_digest(b"garbage") is None
        True
    """
    try:
        version, *fields = msgpack.unpackb(data)
        if version != FORMAT_VERSION:
            return None
        router, incarnation, number, pending, sums, *rest = fields
        reads, count, store_revision, wanted = rest
        return Digest(
            str(router),
            int(incarnation),
            int(number),
            {str(server): (int(n), int(t)) for server, (n, t) in pending.items()},
            {str(account): (int(a), int(b)) for account, (a, b) in sums.items()},
            list(reads),
            int(count),
            int(store_revision),
            [str(name) for name in wanted],
        )
    except MALFORMED:
        return None


class PeerDigests:
    """Sends this router's digests and keeps the newest of each other router."""

    __slots__ = (
        "_context",
        "_heard",
        "_make",
        "_next_peer",
        "_number",
        "_is_due_soon",
        "_on_replaced",
        "_on_read",
        "_routers",
        "_sock",
        "_taken",
        "_wanted",
    )

    def __init__(
        self,
        context: RouterContext,
        routers: RouterCount,
        make: Callable[[int, float], Digest],
        on_replaced: Callable[[Digest | None, Digest | None], None],
        on_read: Callable[[PromptRead], None],
    ) -> None:
        """Prepare the exchange.

        Args:
            context: The router's shared state.
            routers: The other routers and their addresses.
            make: Makes this router's digest, given its number and how far back it
                tells of prompts and accounts, in milliseconds.
            on_replaced: Takes a router's former digest and its new one; either is None
                if the router was not heard before, or is not heard any more.
            on_read: Takes each prompt that another router has sent, once.
        """
        self._context = context
        self._routers = routers
        self._make = make
        self._is_due_soon = False
        self._on_replaced = on_replaced
        self._on_read = on_read
        self._heard: dict[str, tuple[float, Digest]] = {}
        self._taken: dict[str, tuple[int, int]] = {}
        self._wanted: set[str] = set()
        self._number = 0
        self._next_peer = 0
        self._sock: green_socket.socket | None = None

    def open(self, address: str) -> None:
        """Listen for digests.

        Args:
            address: IP number and port.
        """
        host, _, port = address.rpartition(":")
        self._sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, int(port)))

    def receive(self) -> None:
        """Take in digests for ever."""
        while True:
            data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            self._take_guarded(data, sender)

    def _take_guarded(self, data: bytes, sender: Address) -> None:
        try:
            self.take(data, sender)
        except Exception:
            # One strange datagram must not end the hearing of all others.
            self._context.count("task_errors_total", "digests")
            self._context.logger.exception("a digest could not be taken in")

    def take(self, data: bytes, sender: Address) -> None:
        """Take in one datagram.

        Args:
            data: The datagram.
            sender: Where it came from.
        """
        digest = decode_digest(data)
        if digest is None:
            self._context.count("digests_malformed_total")
            return
        if digest.router == self._routers.name:
            return
        now_ms = self._context.clock.now_ms()
        known = self._heard.get(digest.router)
        if known is None:
            self._context.timeline.record("peer_heard", peer=digest.router)
        elif _order(known[1]) >= _order(digest):
            return
        former = known[1] if known else None
        self._heard[digest.router] = (now_ms, digest)
        self._on_replaced(former, digest)
        self._take_reads(digest)
        if self._routers.name in digest.wanted:
            self._send_to([sender], math.inf)

    def _take_reads(self, digest: Digest) -> None:
        incarnation, taken = self._taken.get(digest.router, (digest.incarnation, 0))
        missing = digest.reads_count - (
            taken if incarnation == digest.incarnation else 0
        )
        count = min(missing, len(digest.reads))
        if count < min(missing, MOST_READS):
            self._wanted.add(digest.router)
        else:
            self._wanted.discard(digest.router)
            self._taken[digest.router] = (digest.incarnation, digest.reads_count)
        for data in digest.reads[len(digest.reads) - count :]:
            read = decode_read(data)
            if read is None:
                self._context.count("digests_malformed_total")
            else:
                self._on_read(read)

    def send_round(self) -> None:
        """Send a digest to the next routers in turn, and forget silent ones."""
        self._forget_silent()
        self._send_next()

    def send_soon(self) -> None:
        """Send a digest before the next round, as much work was taken."""
        if not self._is_due_soon:
            self._is_due_soon = True
            start_later(self._context, "digest", SOON_MS, self._send_due)

    def wanted(self) -> list[str]:
        """Return the routers of whose prompts some were missed."""
        return list(self._wanted)

    def _send_due(self) -> None:
        self._is_due_soon = False
        self._send_next()

    def _send_next(self) -> None:
        addresses = self._next_addresses()
        if addresses:
            # Each router is told twice of all, since datagrams are lost.
            self._send_to(addresses, 2 * ROUND_MS * (self._rounds() + 1))

    def _send_to(self, addresses: list[Address], news_age_ms: float) -> None:
        self._number += 1
        data = self._make(self._number, news_age_ms).encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            self._context.count("digests_too_long_total")
            return
        for host, port in addresses:
            self._send(data, host, port)

    def _send(self, data: bytes, host: str, port: int) -> None:
        try:
            self._sock.fd.sendto(data, socket.MSG_DONTWAIT, (host, port))
        except OSError:
            # The next round replaces it.
            self._context.count("digests_not_sent_total")

    def _next_addresses(self) -> list[Address]:
        addresses = self._routers.peer_addresses()
        count = min(len(addresses), MAX_PEERS_A_ROUND)
        if not count:
            return []
        start = self._next_peer % len(addresses)
        self._next_peer = start + count
        return (addresses[start:] + addresses[:start])[:count]

    def _forget_silent(self) -> None:
        oldest_ms = self._context.clock.now_ms() - FORGET_MS * self._rounds()
        for router, (heard_ms, digest) in list(self._heard.items()):
            if heard_ms < oldest_ms:
                del self._heard[router]
                self._taken.pop(router, None)
                self._wanted.discard(router)
                self._on_replaced(digest, None)
                self._context.timeline.record("peer_silent", peer=router)

    def _rounds(self) -> float:
        peers = len(self._routers.peer_addresses())
        return max(1.0, peers / MAX_PEERS_A_ROUND)


def _order(digest: Digest) -> tuple[int, int]:
    return digest.incarnation, digest.number
