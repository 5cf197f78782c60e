"""The digest: a router's report of load, account sums and prompts to other routers."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import msgpack

from lagoonsail_gateway.fleet_counts import Counts
from lagoonsail_gateway.sent_prompts import DECODE_ERRORS
from lagoonsail_gateway.store_access import NO_REVISION, StoreRevision
from lagoonsail_sharing.crash_suspects import CrashEvidence

FORMAT_VERSION = 6
"""Version of the digest layout; digests of other versions are discarded."""

COMPRESSION_LEVEL = 1
"""Level of zlib: higher ones take longer and save little more."""
COMPRESSED_MARK = b"x"
"""First byte of compressed data; a digest that is not compressed begins otherwise."""
MAX_DECODED_BYTES = 1_000_000
"""Maximum size of a digest after decompression: no datagram may fill the memory."""

REPORT = 0
"""Kind: a router's own load."""
DOMAIN_SUM = 1
"""Kind: the load of the routers of one failure domain, for other domains' relays."""
FLEET_SUM = 2
"""Kind: the load of all routers, for the routers of the sender's failure domain."""


@dataclass(slots=True)
class Digest:
    """Load of one router, of a failure domain, or of the fleet."""

    router: str
    """Name of the router that sends it."""
    incarnation: int
    """Number that grows with each start of the router."""
    number: int
    """Sequence number of the digest within the incarnation."""
    pending: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Running requests and unread prompt tokens by server."""
    sums: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Demand and admitted cost as decaying sums, by client account. A report to all
    routers has only accounts with recent requests."""
    prompts: list[bytes] = field(default_factory=list)
    """The last prompts of the sender's list, oldest first. Each is encoded separately,
    because the receiver has decoded most of them before and skips those."""
    prompt_count: int = 0
    """Number of prompts of that list since the start, including the last of
    `prompts`."""
    store_revision: StoreRevision = NO_REVISION
    """Highest store revision up to which a router's view is current."""
    resync_peers: list[str] = field(default_factory=list)
    """Routers some of whose prompts were missed; each is asked to resend all prompts
    that it keeps."""
    kind: int = REPORT
    """REPORT, DOMAIN_SUM or FLEET_SUM."""
    domain: str = ""
    """Failure domain of the sender."""
    members: dict[str, int] = field(default_factory=dict)
    """In a fleet sum: numbers of the reports of the domain's routers that it includes,
    so that each of them can subtract its own."""
    report_count: int = 0
    """In a sum: how many reports it includes."""
    crashes: CrashEvidence = field(default_factory=CrashEvidence)
    """What the sender knows of prompts that were lost in crashes."""
    counts: Counts = field(default_factory=dict)
    """Counters that are summed over all routers; see `fleet_counts`."""

    def encode(self) -> bytes:
        """Return the datagram payload.

        Sums of a failure domain are compressed, as they cross to other domains.
        """
        data = self._pack()
        if self.kind == DOMAIN_SUM:
            return zlib.compress(data, COMPRESSION_LEVEL)
        return data

    def _pack(self) -> bytes:
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
                self.kind,
                self.domain,
                self.members,
                self.report_count,
                [[part, *ages.items()] for part, ages in self.crashes.ages_ms.items()],
                self.crashes.cleared,
                self.counts,
            ]
        )

    def version_key(self) -> tuple[int, int]:
        """Return a key that orders the digests of one router by age."""
        return self.incarnation, self.number


def decode_digest(data: bytes) -> Digest | None:
    """Decode a digest.

    Args:
        data: The datagram payload.

    Returns:
        The digest, None if the data is malformed or of another format version.

    Example:
        >>> decode_digest(Digest("r1", 7, 1, {"s": (1, 20)}).encode()).pending
        {'s': (1, 20)}
        >>> decode_digest(Digest("r1", 7, 2, kind=DOMAIN_SUM).encode()).number
        2
        >>> decode_digest(b"garbage") is None
        True
    """
    try:
        version, *fields = msgpack.unpackb(_decompress(data))
        if version != FORMAT_VERSION:
            return None
        router, incarnation, number, pending, sums, prompts, count, *tail = fields
        store_revision, resync_peers, kind, domain, members, *tail = tail
        report_count, lost, cleared, counts = tail
        return Digest(
            str(router),
            int(incarnation),
            int(number),
            {str(server): (int(n), int(t)) for server, (n, t) in pending.items()},
            {str(account): (int(a), int(b)) for account, (a, b) in sums.items()},
            list(prompts),
            int(count),
            _read_revision(store_revision),
            [str(name) for name in resync_peers],
            int(kind),
            str(domain),
            {str(name): int(number) for name, number in members.items()},
            int(report_count),
            CrashEvidence(
                {int(p): {int(c): int(ms) for c, ms in ages} for p, *ages in lost},
                [int(part) for part in cleared],
            ),
            {str(key): tuple(map(int, numbers)) for key, numbers in counts.items()},
        )
    except (*DECODE_ERRORS, zlib.error):
        return None


def _read_revision(fields: list) -> StoreRevision:
    generation, number = fields
    return StoreRevision(int(generation), int(number))


def _decompress(data: bytes) -> bytes:
    if not data.startswith(COMPRESSED_MARK):
        return data
    return zlib.decompressobj().decompress(data, MAX_DECODED_BYTES)
