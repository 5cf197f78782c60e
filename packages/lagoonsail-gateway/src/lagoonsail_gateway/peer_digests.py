"""Exchange of load digests between routers, so that each knows the fleet's load.

Digests are sent as UDP datagrams. Each digest replaces the previous one, so a lost,
late or duplicate datagram does no harm, and there is no connection that could hang. In
a small fleet each router reports to all others in each round; in a large one it reports
to relays, see `digest_relay`.
"""

from __future__ import annotations

import math
import socket
from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING

from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import green_socket
from lagoonsail_gateway.digest import (
    DOMAIN_SUM,
    FLEET_SUM,
    REPORT,
    Digest,
    decode_digest,
)
from lagoonsail_gateway.digest_relay import (
    MAX_RELAYED_PROMPTS,
    DigestRelay,
    RelayChoice,
    is_better_sum,
    subtract_report,
)
from lagoonsail_gateway.prompt_inbox import PromptInbox
from lagoonsail_gateway.sent_prompts import MAX_RECENT_PROMPTS, decode_sent_prompt
from lagoonsail_gateway.store_feed import (
    FeedMessage,
    decode_feed_message,
    is_feed_message,
)
from lagoonsail_router.context import start_later

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_gateway.crash_check import CrashCheck
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.prompt_inbox import Source
    from lagoonsail_gateway.sent_prompts import RecentPrompts, SentPrompt
    from lagoonsail_router.context import RouterContext

Address = tuple[str, int]
"""IP address and port."""

ROUND_INTERVAL_MS = 100.0
"""Interval between rounds."""
EARLY_DIGEST_DELAY_MS = 5.0
"""Delay before a large prompt is reported, so that the digest includes further ones."""
MAX_DIRECT_PEERS = 12
"""Other routers up to which each reports to all."""
REPEAT_MS = 2.5 * ROUND_INTERVAL_MS
"""Age up to which prompts are included, so that each is sent in two rounds: datagrams
can be lost."""
RECENT_SUMS_MS = 4 * ROUND_INTERVAL_MS
"""Period in which an account had a request if a report to all routers includes it."""
DIGEST_EXPIRY_MS = 1500.0
"""Age at which a digest expires: its router has stopped or is unreachable."""
MAX_DATAGRAM_BYTES = 60_000
"""Maximum size of an encoded digest."""
MAX_OWN_REPORTS = 32
"""Own reports that are kept, to subtract them from fleet sums that include them."""
FLEET = "(fleet)"
"""Name under which the load of all other routers together is kept."""
_ANSWER_KINDS = {REPORT: FLEET_SUM, DOMAIN_SUM: DOMAIN_SUM, FLEET_SUM: REPORT}
"""Kind of the digests that the sender of a digest of each kind gets from relays."""


class PeerDigests:
    """Sends this router's digests and keeps the newest digest of each peer."""

    __slots__ = (
        "_choice",
        "_context",
        "_crash_check",
        "_domain",
        "_fleet_sum",
        "_inbox",
        "_is_early_send_scheduled",
        "_latest",
        "_make_digest",
        "_number",
        "_on_feed",
        "_on_prompt",
        "_on_replaced",
        "_own_prompts",
        "_own_reports",
        "_relay",
        "_relayed_count",
        "_routers",
        "_sock",
        "_versions",
    )

    def __init__(
        self,
        context: RouterContext,
        routers: FleetMembers,
        domain: str,
        own_prompts: RecentPrompts,
        crash_check: CrashCheck,
        make_digest: Callable[[int, float], Digest],
        on_replaced: Callable[[Digest | None, Digest | None], None],
        on_prompt: Callable[[SentPrompt], None],
    ) -> None:
        """Initialize the exchange without opening the socket.

        Args:
            context: The router's shared state.
            routers: The other routers and their addresses.
            domain: Failure domain of this router.
            own_prompts: The prompts that this router has sent.
            crash_check: Has the evidence of crashes, which digests carry.
            make_digest: Creates this router's report, without prompts, from its number
                and the period, in milliseconds, for which it includes accounts.
            on_replaced: Called with a peer's previous and new digest; the previous is
                None for a new peer, the new one is None if the peer went silent.
            on_prompt: Called once for each prompt that another router has sent.
        """
        self._context = context
        self._routers = routers
        self._domain = domain
        self._own_prompts = own_prompts
        self._crash_check = crash_check
        self._make_digest = make_digest
        self._is_early_send_scheduled = False
        self._on_replaced = on_replaced
        self._on_prompt = on_prompt
        self._on_feed: Callable[[FeedMessage], None] = lambda _message: None
        self._choice = RelayChoice(context.clock)
        self._relay = DigestRelay(context.clock, domain)
        self._inbox = PromptInbox()
        self._latest: dict[str, tuple[float, Digest]] = {}
        self._versions: dict[Source, tuple[float, tuple[int, int]]] = {}
        self._own_reports: OrderedDict[int, tuple[float, Digest]] = OrderedDict()
        self._relayed_count = 0
        self._fleet_sum: tuple[float, Digest] | None = None
        self._number = 0
        self._sock: green_socket.socket | None = None

    def open(self, address: str) -> None:
        """Bind the socket on which digests are received.

        Args:
            address: IP address and port.
        """
        host, _, port = address.rpartition(":")
        self._sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, int(port)))

    def on_feed(self, callback: Callable[[FeedMessage], None]) -> None:
        """Set the callback for what other routers tell of the store.

        Args:
            callback: Called with each message of the feed.
        """
        self._on_feed = callback

    def send_feed(self, message: FeedMessage) -> None:
        """Send a message of the feed to all routers of this failure domain.

        Args:
            message: The message. If it does not fit into a datagram, its changes are
                left out, and the receivers ask the store for them.
        """
        data = message.encode_within(MAX_DATAGRAM_BYTES)
        names = self._routers.routers_by_domain().get(self._domain, ())
        for host, port in self._addresses(names):
            self._send(data, host, port)

    def receive(self) -> None:
        """Receive digests until the task ends."""
        mark_urgent()
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
        if is_feed_message(data):
            self._handle_feed_message(data)
            return
        digest = decode_digest(data)
        if digest is None:
            self._context.count("digests_malformed_total")
            return
        if digest.router == self._routers.name or not self._is_newer(digest):
            return
        # Evidence is a set, so it does not matter by way of whom it comes.
        suspects = self._crash_check.suspects
        self._crash_check.log_blocked(suspects.merge(digest.crashes))
        if digest.kind == FLEET_SUM:
            self._choice.record_heard(digest.router)
            self._apply_fleet_sum(digest)
        elif digest.kind == DOMAIN_SUM:
            self._choice.record_heard(digest.router)
            self._relay.record_domain_sum(digest)
        elif self._uses_relays():
            self._relay.record_report(digest)
        else:
            self._replace(digest.router, digest)
        self._handle_prompts(digest)
        if self._routers.name in digest.resync_peers:
            self._resend_prompts(digest, sender)

    def _handle_feed_message(self, data: bytes) -> None:
        message = decode_feed_message(data)
        if message is None:
            self._context.count("digests_malformed_total")
        elif message.router != self._routers.name:
            self._on_feed(message)

    def send_round(self) -> None:
        """Expire silent peers and send the digests of one round."""
        self._expire_silent_peers()
        self._send_report()
        if self._uses_relays():
            self._relay_own_prompts()
            if self._relay.is_active(self._routers.name):
                self._send_sums()

    def schedule_early_send(self) -> None:
        """Send a report before the next round, after a large prompt was sent."""
        if not self._is_early_send_scheduled:
            self._is_early_send_scheduled = True
            start_later(
                self._context, "digest", EARLY_DIGEST_DELAY_MS, self._send_early
            )

    def _uses_relays(self) -> bool:
        return len(self._routers.peer_addresses()) > MAX_DIRECT_PEERS

    # Receiving.

    def _is_newer(self, digest: Digest) -> bool:
        source = (digest.router, digest.kind)
        known = self._versions.get(source)
        if known is not None and known[1] >= digest.version_key():
            return False
        if known is None:
            self._context.timeline.record("peer_heard", peer=digest.router)
        self._versions[source] = (self._context.clock.now_ms(), digest.version_key())
        return True

    def _replace(self, name: str, digest: Digest) -> None:
        previous = self._latest.get(name)
        self._latest[name] = (self._context.clock.now_ms(), digest)
        self._on_replaced(previous[1] if previous else None, digest)

    def _apply_fleet_sum(self, digest: Digest) -> None:
        now_ms = self._context.clock.now_ms()
        if not is_better_sum(digest, self._fleet_sum, now_ms):
            return
        self._fleet_sum = (now_ms, digest)
        own = self._own_reports.get(digest.members.get(self._routers.name, 0))
        if own is not None:
            digest = subtract_report(digest, own[1], now_ms - own[0])
        # Sums of different relays replace each other, so they have one incarnation.
        self._replace(FLEET, replace(digest, router=FLEET, incarnation=0))

    def _handle_prompts(self, digest: Digest) -> None:
        uses_relays = self._uses_relays()
        # Relays send each prompt twice. All that a relay keeps is of use only after the
        # start: who changes its relay knows most of it.
        wants_missed = not uses_relays or (
            digest.kind == FLEET_SUM and self._inbox.is_empty(FLEET_SUM)
        )
        is_report = digest.kind == REPORT
        kept = MAX_RECENT_PROMPTS if is_report else MAX_RELAYED_PROMPTS
        for data in self._inbox.take_new(digest, kept, wants_missed=wants_missed):
            prompt = decode_sent_prompt(data)
            if prompt is None:
                self._context.count("digests_malformed_total")
                continue
            self._on_prompt(prompt)
            if uses_relays and digest.kind != FLEET_SUM:
                self._relay_prompt(data, is_of_domain=is_report)

    def _expire_silent_peers(self) -> None:
        self._choice.drop_silent()
        expiry_ms = self._context.clock.now_ms() - DIGEST_EXPIRY_MS
        for name, (received_ms, digest) in list(self._latest.items()):
            if received_ms < expiry_ms:
                del self._latest[name]
                self._on_replaced(digest, None)
        for source, (received_ms, _) in list(self._versions.items()):
            if received_ms < expiry_ms:
                del self._versions[source]
                self._inbox.forget(source)
                self._context.timeline.record("peer_silent", peer=source[0])

    # Sending.

    def _send_early(self) -> None:
        self._is_early_send_scheduled = False
        self._send_report()

    def _send_report(self) -> None:
        if not self._uses_relays():
            report = self._next_report()
            self._add_prompts(report, self._own_prompts, REPEAT_MS)
            self._send_to(report, self._routers.peer_addresses())
            return
        report = self._next_report()
        self._remember_report(report)
        self._send_to_relays(report, self._own_prompts, self._domain)

    def _send_to_relays(
        self, digest: Digest, prompts: RecentPrompts, domain: str
    ) -> None:
        """Send a digest to the relays of a failure domain, the prompts only to one."""
        relays = self._relays(domain)
        prompt_relay = self._prompt_relay(relays) if relays else ""
        for name in relays:
            if name == self._routers.name:
                continue
            self._choice.record_used(name)
            digest.prompts, digest.prompt_count = [], 0
            if name == prompt_relay:
                self._add_prompts(digest, prompts, REPEAT_MS)
            self._send_to(digest, self._addresses([name]))

    def _prompt_relay(self, relays: list[str]) -> str:
        """Return the relay that passes the prompts on; only one does."""
        own_name = self._routers.name
        heard = [n for n in relays if n == own_name or self._choice.is_heard(n)]
        return (heard or relays)[0]

    def _send_sums(self) -> None:
        relay = self._relay
        domain_sum = self._next_sum(DOMAIN_SUM)
        for domain in self._routers.routers_by_domain():
            if domain != self._domain:
                self._send_to_relays(domain_sum, relay.domain_prompts, domain)
        fleet_sum = self._next_sum(FLEET_SUM)
        self._add_prompts(fleet_sum, relay.fleet_prompts, REPEAT_MS)
        others = self._routers.routers_by_domain().get(self._domain, ())
        self._send_to(fleet_sum, self._addresses({*others, *fleet_sum.members}))
        self._apply_fleet_sum(fleet_sum)

    def _next_sum(self, kind: int) -> Digest:
        return self._relay.make_sum(
            kind, self._routers.name, self._context.incarnation, self._next_number()
        )

    def _relays(self, domain: str) -> list[str]:
        ranked = self._routers.routers_by_domain().get(domain, [])
        return self._choice.choose(ranked, self._routers.name)

    def _relay_own_prompts(self) -> None:
        """Relay the own prompts, if this router is its own first relay."""
        count = self._own_prompts.count - self._relayed_count
        self._relayed_count = self._own_prompts.count
        relays = self._relays(self._domain)
        if count and relays and self._prompt_relay(relays) == self._routers.name:
            for data in self._own_prompts.encoded_within(math.inf)[-count:]:
                self._relay_prompt(data, is_of_domain=True)

    def _relay_prompt(self, data: bytes, *, is_of_domain: bool) -> None:
        self._relay.fleet_prompts.add(data)
        if is_of_domain:
            self._relay.domain_prompts.add(data)

    def _resend_prompts(self, digest: Digest, address: Address) -> None:
        """Send all prompts of the list of which the sender of a digest missed some."""
        kind = _ANSWER_KINDS[digest.kind] if self._uses_relays() else REPORT
        if kind == REPORT:
            answer, prompts = self._next_report(), self._own_prompts
            self._remember_report(answer)
        else:
            answer = self._next_sum(kind)
            is_fleet = kind == FLEET_SUM
            relay = self._relay
            prompts = relay.fleet_prompts if is_fleet else relay.domain_prompts
        self._add_prompts(answer, prompts, math.inf)
        self._send_to(answer, [address])

    def _add_prompts(
        self, digest: Digest, prompts: RecentPrompts, age_ms: float
    ) -> None:
        digest.prompts = prompts.encoded_within(age_ms)
        digest.prompt_count = prompts.count
        wanted_kind = _ANSWER_KINDS[digest.kind] if self._uses_relays() else REPORT
        digest.resync_peers = self._inbox.missed(wanted_kind)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _next_report(self) -> Digest:
        # A relay adds up complete sums; other receivers let theirs decay.
        age_ms = math.inf if self._uses_relays() else RECENT_SUMS_MS
        report = self._make_digest(self._next_number(), age_ms)
        report.domain = self._domain
        return report

    def _remember_report(self, report: Digest) -> None:
        self._own_reports[report.number] = (self._context.clock.now_ms(), report)
        if len(self._own_reports) > MAX_OWN_REPORTS:
            self._own_reports.popitem(last=False)
        self._relay.record_report(report)

    def _addresses(self, names: Iterable[str]) -> list[Address]:
        addresses = [self._routers.address_of(name) for name in sorted(names)]
        return [address for address in addresses if address is not None]

    def _send_to(self, digest: Digest, addresses: list[Address]) -> None:
        if not addresses:
            return
        digest.crashes = self._crash_check.suspects.evidence()
        data = digest.encode()
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
