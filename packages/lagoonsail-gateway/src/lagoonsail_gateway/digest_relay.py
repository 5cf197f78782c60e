"""Relays of digests: sums of a failure domain and of the fleet, in large fleets.

In a fleet of hundreds of routers nobody can report to everybody. Each router reports to
two relays of its failure domain. A relay adds up the reports, sends the sum to relays
of the other domains, and sends the sum of all domains to the routers of its own. A
router sends two digests and receives two in a round, and its information is at most
three rounds old, whatever the size of the fleet.

The relays are the routers that rank first for their domain (rendezvous hashing),
without those that have fallen silent. Nobody has to agree on them: a router acts as a
relay while others report to it. Each sum replaces the one before and names the reports
in it, so nothing counts twice, and whoever stops reporting is left out.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_gateway.digest import FLEET_SUM, Digest
from lagoonsail_gateway.fleet_counts import Counts, add_counts, subtract_counts
from lagoonsail_gateway.sent_prompts import RecentPrompts
from lagoonsail_gateway.store_access import NO_REVISION
from lagoonsail_sharing.account_shares import DECAY_TIME_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.store_access import StoreRevision

RELAYS_PER_DOMAIN = 2
"""Relays of one failure domain: a second one hides the death of the first."""
RELAY_TIMEOUT_MS = 250.0
"""Silence after which the next router in rank is used as a relay."""
RELAY_RETRY_MS = 2000.0
"""Time after which a relay that was silent is tried again."""
REPORT_EXPIRY_MS = 500.0
"""Age at which a report is left out of the sums: its router has stopped, or uses other
relays."""
FRESH_SUM_MS = RELAY_TIMEOUT_MS + 150.0
"""Age up to which a sum is not replaced by another relay's with fewer reports: the
time in which a relay that takes over hears from all."""
MIN_REPORT_FRACTION = 0.9
"""Fraction of the reports that another relay's sum must have to replace a fresh sum: a
relay that takes over has few at first."""
MAX_RELAYED_PROMPTS = 400
"""Prompts that a relay keeps to send again; they must fit into one datagram."""


class RelayChoice:
    """Chooses the relays of each failure domain from its routers."""

    __slots__ = ("_clock", "_heard_ms", "_used_since_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard_ms: dict[str, float] = {}
        self._used_since_ms: dict[str, float] = {}

    def record_used(self, router: str) -> None:
        """Record that digests are sent to a relay, so that it should send some back."""
        self._used_since_ms.setdefault(router, self._clock.now_ms())

    def record_heard(self, router: str) -> None:
        """Record that a router has sent a sum, as relays do."""
        self._heard_ms[router] = self._clock.now_ms()

    def drop_silent(self) -> None:
        """Forget when routers were heard that have been silent for long."""
        expiry_ms = self._clock.now_ms() - RELAY_RETRY_MS
        for router, heard_ms in list(self._heard_ms.items()):
            if heard_ms < expiry_ms:
                del self._heard_ms[router]

    def is_heard(self, router: str) -> bool:
        """Return whether a relay has sent a sum recently."""
        silent_ms = self._clock.now_ms() - self._heard_ms.get(router, -math.inf)
        return silent_ms <= RELAY_TIMEOUT_MS

    def choose(self, ranked: list[str], own_name: str) -> list[str]:
        """Return the relays of a failure domain to send to now.

        Args:
            ranked: Names of its routers, by rank.
            own_name: Name of this router, which never is silent to itself.
        """
        chosen = []
        for name in ranked:
            if name == own_name or not self._is_silent(name):
                chosen.append(name)
            if len(chosen) == RELAYS_PER_DOMAIN:
                break
        return chosen or ranked[:RELAYS_PER_DOMAIN]

    def _is_silent(self, name: str) -> bool:
        since_ms = self._used_since_ms.get(name)
        if since_ms is None:
            return False
        now_ms = self._clock.now_ms()
        silent_ms = now_ms - max(since_ms, self._heard_ms.get(name, -math.inf))
        if silent_ms > RELAY_RETRY_MS:
            del self._used_since_ms[name]
            return False
        return silent_ms > RELAY_TIMEOUT_MS


@dataclass(slots=True)
class Total:
    """Load added up over several digests."""

    pending: dict[str, tuple[int, int]]
    """Running requests and unread prompt tokens by server."""
    sums: dict[str, tuple[int, int]]
    """Demand and admitted cost by client account."""
    store_revision: StoreRevision
    """Highest of the store revisions."""
    counts: Counts
    """Counters; see `fleet_counts`."""


class DigestRelay:
    """Adds up the reports of its failure domain and the sums of the other domains."""

    __slots__ = (
        "_clock",
        "_domain",
        "_domain_sums",
        "_reports",
        "domain_prompts",
        "fleet_prompts",
    )

    domain_prompts: RecentPrompts
    """Prompts of the routers that report here, for the other domains."""
    fleet_prompts: RecentPrompts
    """Prompts of all routers, for the routers of this domain."""

    def __init__(self, clock: Clock, domain: str) -> None:
        """Create a relay without reports.

        Args:
            clock: The clock.
            domain: Failure domain of this router.
        """
        self._clock = clock
        self._domain = domain
        self._reports: dict[str, tuple[float, Digest]] = {}
        self._domain_sums: dict[str, tuple[float, Digest]] = {}
        self.domain_prompts = RecentPrompts(clock, MAX_RELAYED_PROMPTS)
        self.fleet_prompts = RecentPrompts(clock, MAX_RELAYED_PROMPTS)

    def record_report(self, report: Digest) -> None:
        """Record the newest report of a router of this domain, or of this router."""
        self._reports[report.router] = (self._clock.now_ms(), report)

    def record_domain_sum(self, digest: Digest) -> None:
        """Record a sum of another domain, unless the known one is better."""
        now_ms = self._clock.now_ms()
        if is_better_sum(digest, self._domain_sums.get(digest.domain), now_ms):
            self._domain_sums[digest.domain] = (now_ms, digest)

    def is_active(self, own_name: str) -> bool:
        """Return whether other routers report here.

        Args:
            own_name: Name of this router, whose own reports do not count.
        """
        self._drop_expired()
        return any(name != own_name for name in self._reports)

    def make_sum(self, kind: int, router: str, incarnation: int, number: int) -> Digest:
        """Return the sum of this domain or of the fleet, without prompts.

        Args:
            kind: DOMAIN_SUM for the relays of other domains, or FLEET_SUM for the
                routers of this one.
            router: Name of this router.
            incarnation: Number of its start.
            number: Sequence number of the digest.
        """
        self._drop_expired()
        received = list(self._reports.values())
        report_count = len(received)
        members = {}
        if kind == FLEET_SUM:
            members = {digest.router: digest.number for _, digest in received}
            others = list(self._domain_sums.values())
            report_count += sum(digest.report_count for _, digest in others)
            received += others
        total = self._add_up(received)
        return Digest(
            router,
            incarnation,
            number,
            total.pending,
            total.sums,
            store_revision=total.store_revision,
            kind=kind,
            domain=self._domain,
            members=members,
            report_count=report_count,
            counts=total.counts,
        )

    def _drop_expired(self) -> None:
        expiry_ms = self._clock.now_ms() - REPORT_EXPIRY_MS
        for received in (self._reports, self._domain_sums):
            for name, (received_ms, _) in list(received.items()):
                if received_ms < expiry_ms:
                    del received[name]

    def _add_up(self, received: Iterable[tuple[float, Digest]]) -> Total:
        pending: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        sums: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        counts: Counts = {}
        revision = NO_REVISION
        now_ms = self._clock.now_ms()
        for received_ms, digest in received:
            add_counts(counts, digest.counts)
            revision = max(revision, digest.store_revision)
            for server_id, (running, tokens) in digest.pending.items():
                pending[server_id][0] += running
                pending[server_id][1] += tokens
            decay = math.exp((received_ms - now_ms) / DECAY_TIME_MS)
            for account, (asked, admitted) in digest.sums.items():
                sums[account][0] += asked * decay
                sums[account][1] += admitted * decay
        return Total(
            {server_id: tuple(pair) for server_id, pair in pending.items()},
            {name: (round(pair[0]), round(pair[1])) for name, pair in sums.items()},
            revision,
            counts,
        )


def is_better_sum(
    digest: Digest, known: tuple[float, Digest] | None, now_ms: float
) -> bool:
    """Return whether a sum should replace the known one of the same domain.

    Args:
        digest: The sum.
        known: When the known sum was received, and the sum; None if there is none.
        now_ms: Monotonic time.
    """
    if known is None or known[1].router == digest.router:
        return True
    received_ms, sum_ = known
    is_full = digest.report_count >= MIN_REPORT_FRACTION * sum_.report_count
    return is_full or now_ms - received_ms > FRESH_SUM_MS


def subtract_report(fleet: Digest, report: Digest, age_ms: float) -> Digest:
    """Return a fleet sum without one of the reports that it includes.

    Args:
        fleet: The fleet sum.
        report: The report to leave out.
        age_ms: Time since the report was made, in which its sums have decayed.

    Example:
        >>> fleet = Digest("r2", 1, 5, {"s": (3, 50)}, {"a": (90, 40)})
        >>> own = Digest("r1", 1, 2, {"s": (1, 50)}, {"a": (30, 10)})
        >>> others = subtract_report(fleet, own, age_ms=0.0)
        >>> others.pending, others.sums
        ({'s': (2, 0)}, {'a': (60, 30)})
    """
    decay = math.exp(-age_ms / DECAY_TIME_MS)
    pending = dict(fleet.pending)
    for server_id, (running, tokens) in report.pending.items():
        total = pending.get(server_id, (0, 0))
        pending[server_id] = (max(0, total[0] - running), max(0, total[1] - tokens))
    sums = dict(fleet.sums)
    for account, (asked, admitted) in report.sums.items():
        total = sums.get(account, (0, 0))
        sums[account] = (
            max(0, total[0] - round(asked * decay)),
            max(0, total[1] - round(admitted * decay)),
        )
    counts = dict(fleet.counts)
    subtract_counts(counts, report.counts)
    return Digest(
        fleet.router,
        fleet.incarnation,
        fleet.number,
        pending,
        sums,
        store_revision=fleet.store_revision,
        counts=counts,
    )
