"""Exchange of load digests between routers, so that each knows the fleet's load.

Digests are sent as UDP datagrams. Each digest replaces the previous one, so a lost,
late or duplicate datagram does no harm, and there is no connection that could hang.
In each round a router sends to a bounded number of peers in rotation, so its traffic
does not grow with the fleet. The age of its information does: a full rotation takes
`routers / MAX_PEERS_PER_ROUND` rounds.
"""

from __future__ import annotations

import math
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgpack

from lagoonsail_core.green import green_socket
from lagoonsail_gateway.sent_prompts import (
    DECODE_ERRORS,
    MAX_RECENT_PROMPTS,
    decode_sent_prompt,
)
from lagoonsail_router.context import start_later

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.sent_prompts import SentPrompt
    from lagoonsail_router.context import RouterContext

Address = tuple[str, int]
"""IP address and port."""

ROUND_INTERVAL_MS = 100.0
"""Interval between rounds."""
EARLY_DIGEST_DELAY_MS = 5.0
"""Delay before a large prompt is reported, so that the digest includes further ones."""
MAX_PEERS_PER_ROUND = 12
"""Peers that receive a digest in one round."""
DIGEST_EXPIRY_MS = 1500.0
"""Age at which a digest expires: its router has stopped or is unreachable."""
MAX_DATAGRAM_BYTES = 60_000
"""Maximum size of an encoded digest."""
FORMAT_VERSION = 2
"""Version of the digest layout; digests of other versions are discarded."""


@dataclass(slots=True)
class Digest:
    """A router's report of its own load."""

    router: str
    """Name of the router."""
    incarnation: int
    """Number that grows with each start of the router."""
    number: int
    """Sequence number of the digest within the incarnation."""
    pending: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Running requests and unread prompt tokens by server."""
    sums: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Demand and admitted cost as fading sums, by client account; only accounts with
    recent requests."""
    prompts: list[bytes] = field(default_factory=list)
    """The last prompts that it sent, oldest first. Each is encoded separately, because
    the receiver has decoded most of them before and skips those."""
    prompt_count: int = 0
    """Number of prompts sent since its start, including the last of `prompts`."""
    store_revision: int = 0
    """Store revision up to which its view is current."""
    resync_peers: list[str] = field(default_factory=list)
    """Routers some of whose prompts it missed; each is asked to resend all prompts that
    it keeps."""

    def encode(self) -> bytes:
        """Return the datagram payload."""
        return msgpack.packb(
            [
                FORMAT_VERSION,
                self.router,
                self.incarnation,
                self.number,
                self.pending,
                self.sums,
                self.prompts,
                self.prompt_count,
                self.store_revision,
                self.resync_peers,
            ]
        )


def decode_digest(data: bytes) -> Digest | None:
    """Decode a digest.

    Args:
        data: The datagram payload.

    Returns:
        The digest, None if the data is malformed or of another format version.

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
        router, incarnation, number, pending, sums, *tail = fields
        prompts, count, store_revision, resync_peers = tail
        return Digest(
            str(router),
            int(incarnation),
            int(number),
            {str(server): (int(n), int(t)) for server, (n, t) in pending.items()},
            {str(account): (int(a), int(b)) for account, (a, b) in sums.items()},
            list(prompts),
            int(count),
            int(store_revision),
            [str(name) for name in resync_peers],
        )
    except DECODE_ERRORS:
        return None


class PeerDigests:
    """Sends this router's digests and keeps the newest digest of each peer."""

    __slots__ = (
        "_context",
        "_latest",
        "_make_digest",
        "_next_peer",
        "_number",
        "_is_early_send_scheduled",
        "_on_replaced",
        "_on_prompt",
        "_routers",
        "_sock",
        "_prompt_positions",
        "_resync_peers",
    )

    def __init__(
        self,
        context: RouterContext,
        routers: FleetMembers,
        make_digest: Callable[[int, float], Digest],
        on_replaced: Callable[[Digest | None, Digest | None], None],
        on_prompt: Callable[[SentPrompt], None],
    ) -> None:
        """Initialize the exchange without opening the socket.

        Args:
            context: The router's shared state.
            routers: The other routers and their addresses.
            make_digest: Creates this router's digest from its number and the period, in
                milliseconds, for which it includes prompts and accounts.
            on_replaced: Called with a peer's previous and new digest; the previous is
                None for a new peer, the new one is None if the peer went silent.
            on_prompt: Called once for each prompt that another router has sent.
        """
        self._context = context
        self._routers = routers
        self._make_digest = make_digest
        self._is_early_send_scheduled = False
        self._on_replaced = on_replaced
        self._on_prompt = on_prompt
        self._latest: dict[str, tuple[float, Digest]] = {}
        self._prompt_positions: dict[str, tuple[int, int]] = {}
        self._resync_peers: set[str] = set()
        self._number = 0
        self._next_peer = 0
        self._sock: green_socket.socket | None = None

    def open(self, address: str) -> None:
        """Bind the socket on which digests are received.

        Args:
            address: IP address and port.
        """
        host, _, port = address.rpartition(":")
        self._sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, int(port)))

    def receive(self) -> None:
        """Receive digests until the task ends."""
        while True:
            data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            self._handle_datagram_safely(data, sender)

    def _handle_datagram_safely(self, data: bytes, sender: Address) -> None:
        try:
            self.handle_datagram(data, sender)
        except Exception:
            # A faulty datagram must not stop the processing of all later ones.
            self._context.count("task_errors_total", "digests")
            self._context.logger.exception(
                "failed to process a digest datagram; continuing with the next one"
            )

    def handle_datagram(self, data: bytes, sender: Address) -> None:
        """Process one datagram.

        Args:
            data: The datagram payload.
            sender: Its source address.
        """
        digest = decode_digest(data)
        if digest is None:
            self._context.count("digests_malformed_total")
            return
        if digest.router == self._routers.name:
            return
        now_ms = self._context.clock.now_ms()
        known = self._latest.get(digest.router)
        if known is None:
            self._context.timeline.record("peer_heard", peer=digest.router)
        elif _version_key(known[1]) >= _version_key(digest):
            return
        previous = known[1] if known else None
        self._latest[digest.router] = (now_ms, digest)
        self._on_replaced(previous, digest)
        self._handle_prompts(digest)
        if self._routers.name in digest.resync_peers:
            self._send_to([sender], math.inf)

    def _handle_prompts(self, digest: Digest) -> None:
        incarnation, position = self._prompt_positions.get(
            digest.router, (digest.incarnation, 0)
        )
        missing = digest.prompt_count - (
            position if incarnation == digest.incarnation else 0
        )
        count = min(missing, len(digest.prompts))
        if count < min(missing, MAX_RECENT_PROMPTS):
            self._resync_peers.add(digest.router)
        else:
            self._resync_peers.discard(digest.router)
            self._prompt_positions[digest.router] = (
                digest.incarnation,
                digest.prompt_count,
            )
        for data in digest.prompts[len(digest.prompts) - count :]:
            prompt = decode_sent_prompt(data)
            if prompt is None:
                self._context.count("digests_malformed_total")
            else:
                self._on_prompt(prompt)

    def send_round(self) -> None:
        """Expire silent peers and send a digest to the next peers in rotation."""
        self._expire_silent_peers()
        self._send_next()

    def schedule_early_send(self) -> None:
        """Send a digest before the next round, after a large prompt was sent."""
        if not self._is_early_send_scheduled:
            self._is_early_send_scheduled = True
            start_later(
                self._context, "digest", EARLY_DIGEST_DELAY_MS, self._send_early
            )

    def resync_peers(self) -> list[str]:
        """Return the routers some of whose prompts were missed."""
        return list(self._resync_peers)

    def _send_early(self) -> None:
        self._is_early_send_scheduled = False
        self._send_next()

    def _send_next(self) -> None:
        addresses = self._next_addresses()
        if addresses:
            # The period covers two rotations, so that each peer gets every prompt
            # twice: datagrams can be lost.
            self._send_to(
                addresses, 2 * ROUND_INTERVAL_MS * (self._rounds_per_cycle() + 1)
            )

    def _send_to(self, addresses: list[Address], history_ms: float) -> None:
        self._number += 1
        data = self._make_digest(self._number, history_ms).encode()
        if len(data) > MAX_DATAGRAM_BYTES:
            self._context.count("digests_too_long_total")
            return
        for host, port in addresses:
            self._send(data, host, port)

    def _send(self, data: bytes, host: str, port: int) -> None:
        try:
            self._sock.fd.sendto(data, socket.MSG_DONTWAIT, (host, port))
        except OSError:
            # A later digest replaces this one.
            self._context.count("digests_not_sent_total")

    def _next_addresses(self) -> list[Address]:
        addresses = self._routers.peer_addresses()
        count = min(len(addresses), MAX_PEERS_PER_ROUND)
        if not count:
            return []
        start = self._next_peer % len(addresses)
        self._next_peer = start + count
        return (addresses[start:] + addresses[:start])[:count]

    def _expire_silent_peers(self) -> None:
        expiry_ms = (
            self._context.clock.now_ms() - DIGEST_EXPIRY_MS * self._rounds_per_cycle()
        )
        for router, (received_ms, digest) in list(self._latest.items()):
            if received_ms < expiry_ms:
                del self._latest[router]
                self._prompt_positions.pop(router, None)
                self._resync_peers.discard(router)
                self._on_replaced(digest, None)
                self._context.timeline.record("peer_silent", peer=router)

    def _rounds_per_cycle(self) -> float:
        peers = len(self._routers.peer_addresses())
        return max(1.0, peers / MAX_PEERS_PER_ROUND)


def _version_key(digest: Digest) -> tuple[int, int]:
    return digest.incarnation, digest.number
