"""This router's right to act as a shard owner.

The right is backed by a lease at the key-value service. Its duration counts from the
moment at which the renewal was sent. It is kept in one of three ways, in this order:

1. renewing the lease directly;
2. renewing it through a peer that reaches the service;
3. if no router reaches the service, a promise from every other router of the region on
   the host list not to take over for a stated time. One router of each other region is
   asked as well: its promise shows that it does not reach the service either, since a
   region that is cut off from all others cannot know what operators have ordered in the
   meantime. `listed_regions` explains why one router per region is enough.

Otherwise the right lapses.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lagoonsail_core.clock import lower_bound_ms, upper_bound_ms
from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import (
    PromiseRequest,
    PromiseResult,
    RenewRequest,
    RenewResult,
)
from lagoonsail_router.configuration import MEMBERS
from lagoonsail_router.context import start_task
from lagoonsail_router.listed_regions import ListedRegions
from lagoonsail_store.store_client import Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_peer.stream import PeerStream
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.peers import PeerDirectory
    from lagoonsail_store.host_list import Host, HostList
    from lagoonsail_store.store_client import StoreClient

FULL = "full"
"""The lease was renewed recently."""
GUARDED = "guarded"
"""Renewals fail but the lease has not expired; cold servers get no new requests."""
EXTENDED = "extended"
"""The lease has expired, but every other router has promised not to take over."""
LAPSED = "lapsed"
"""No right; the router grants no slots."""

PROMISE_MS = 2000.0
"""Duration of a promise not to take over."""
RENEWALS_PER_TTL = 3
"""Renewal attempts per lease TTL."""
FULL_FRACTION = 0.7
"""Fraction of the lease TTL after which a right without renewal becomes guarded."""
ROUTER_ROLE = "router"
"""Value of the host list's label ``role`` for routers, and its default."""
STORE_DOWN_TTL_MS = -1.0
"""Value of `RenewResult.ttl_ms` if the peer does not reach the service either."""
PROBE_MS = 300.0
"""Timeout of the renewal that probes whether the service is reachable; a router that is
asked for a promise gives it after this timeout."""
PROBE_POLL_INTERVAL_MS = 5.0
"""Interval between checks for the answer to a probe."""
REDIAL_INTERVAL_MS = 1000.0
"""Interval after which another router of a region is dialled, while none answers."""
MAX_PARALLEL_RENEWERS = 2
"""Peers with the newest frames that are asked to renew the lease at the same time."""


@dataclass(slots=True)
class _PeerQuery:
    sent_ms: float
    peer_names: set[str]
    answers: dict[str, object] = field(default_factory=dict)


class Right:
    """The lease of this router, and its right to act without the key-value service."""

    __slots__ = (
        "_queries",
        "_configuration",
        "_context",
        "_store_failed_ms",
        "_failed_renewals",
        "_hosts",
        "_hosts_read_ms",
        "_last_level",
        "_nonce",
        "_on_lost",
        "_peers",
        "_probe_failures",
        "_probe_ms",
        "_promised_until_ms",
        "_store",
        "_host_list",
        "_listed_since_ms",
        "leaving",
        "lease",
        "lease_until_ms",
        "listed_regions",
        "promise_until_ms",
        "renewed_ms",
    )

    leaving: set[str]
    """Names and addresses of the hosts in state ``leaving`` on the host list."""
    lease: int
    """Lease ID at the key-value service, 0 if there is none."""
    renewed_ms: float
    """When the last successful renewal was sent."""
    listed_regions: ListedRegions
    """Regions on the host list."""
    lease_until_ms: float
    """End of the lease by this host's clock, less the maximum clock error."""
    promise_until_ms: float
    """End of the promise of all other routers of the region not to take over."""

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        store: StoreClient,
        host_list: HostList,
        peers: PeerDirectory,
        on_lost: Callable[[], None],
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._store = store
        self._host_list = host_list
        self._peers = peers
        self._on_lost = on_lost
        self._queries: dict[int, _PeerQuery] = {}
        self._nonce = 0
        self._promised_until_ms: dict[str, float] = {}
        self._store_failed_ms = float("-inf")
        self._failed_renewals = 0
        # Count of failed renewals and time when the last probe was sent.
        self._probe_failures = 0
        self._probe_ms = float("-inf")
        self._hosts: list = []
        self._hosts_read_ms = float("-inf")
        self._listed_since_ms = float("inf")
        self._last_level = LAPSED
        self.leaving = set()
        self.listed_regions = ListedRegions(context)
        self.lease = 0
        self.renewed_ms = float("-inf")
        self.lease_until_ms = float("-inf")
        self.promise_until_ms = float("-inf")
        peers.handle(RenewRequest, self._handle_renew_request)
        peers.handle(RenewResult, self._handle_answer)
        peers.handle(PromiseRequest, self._handle_promise_request)
        peers.handle(PromiseResult, self._handle_answer)

    def level(self) -> str:
        """Return the current level: FULL, GUARDED, EXTENDED or LAPSED.

        Call this before each grant: the process may have been paused since the last.
        """
        now_ms = self._context.clock.now_ms()
        level = self._level_at(now_ms)
        if level != self._last_level:
            self._context.timeline.record("right_changed", level=level)
            self._last_level = level
        return level

    def _level_at(self, now_ms: float) -> str:
        ttl_ms = self._context.settings.lease_ttl_ms
        full_until_ms = self.renewed_ms + FULL_FRACTION * ttl_ms
        if now_ms < min(full_until_ms, self.lease_until_ms):
            return FULL
        if now_ms < self.lease_until_ms:
            return GUARDED
        if self._has_promises_at(now_ms):
            return EXTENDED
        return LAPSED

    def has_recent_renewal(self) -> bool:
        """Return whether the lease was renewed recently."""
        return self._level_at(self._context.clock.now_ms()) == FULL

    def report_store_failure(self) -> None:
        """Request promises at once, after the service failed to answer another call.

        Promises are requested until a renewal that is sent after this call succeeds.
        """
        self._store_failed_ms = self._context.clock.now_ms()
        start_task(self._context, "promises", self.gather_promises)

    def has_promises(self) -> bool:
        """Return whether promises bar other routers from taking over, lease or not."""
        return self._has_promises_at(self._context.clock.now_ms())

    def _has_promises_at(self, now_ms: float) -> bool:
        may_trust = self.listed_regions.may_trust_promises(now_ms)
        return may_trust and now_ms < self.promise_until_ms

    def router_hosts(self) -> dict[str, str]:
        """Return the addresses of the other routers on the host list, by name."""
        return {
            host.name: host.address
            for host in self._hosts
            if _is_router(host) and host.name != self._context.settings.name
        }

    def promised_until_ms(self, router: str) -> float:
        """Return the end of this router's promise not to take over from another."""
        return self._promised_until_ms.get(router, float("-inf"))

    def may_take_over(self) -> bool:
        """Return whether routers without the service would ask this one for a promise.

        They ask every router on the host list, so this router must have been on the
        list for longer than the maximum lag of the list.
        """
        listed_for_ms = self._context.clock.now_ms() - self._listed_since_ms
        return listed_for_ms > self._context.settings.host_list_max_lag_ms

    def renew(self) -> None:
        """Renew the lease at the service, or acquire a new one if there is none."""
        if not self.lease:
            self.register()
            return
        sent_ms = self._context.clock.now_ms()
        lease = self.lease
        ttl_ms = self._store.renew_lease(lease)
        if lease != self.lease:
            # A renewal through a peer found in the meantime that the lease has expired.
            return
        if isinstance(ttl_ms, float):
            self._apply_ttl(sent_ms, ttl_ms)
            return
        self._failed_renewals += 1
        self._context.count("lease_renewals_failed_total")
        # Opens the streams before the routers are asked, once the right is guarded.
        for name in self._other_regions():
            self._peers.stream_to(name)

    def register(self) -> bool:
        """Acquire a new lease and write this router's member record under it.

        Returns:
            Whether both succeeded.
        """
        sent_ms = self._context.clock.now_ms()
        lease = self._store.grant_lease(self._context.settings.lease_ttl_ms)
        if not lease:
            return False
        if not self._write_member(lease):
            return False
        self.lease = lease
        self._record_renewal(sent_ms, self._context.settings.lease_ttl_ms)
        self._context.timeline.record("lease_granted", lease=lease)
        return True

    def write_state(self) -> bool:
        """Write the member record again after a change of state."""
        return bool(self.lease) and self._write_member(self.lease)

    def revoke(self) -> None:
        """Revoke the lease at the end of a planned stop."""
        lease, self.lease = self.lease, 0
        self.lease_until_ms = self.promise_until_ms = float("-inf")
        if lease:
            self._store.revoke_lease(lease)

    def read_hosts(self) -> None:
        """Read the host list."""
        sent_ms = self._context.clock.now_ms()
        hosts = self._host_list.read()
        if not isinstance(hosts, list):
            self._context.count("host_list_reads_failed_total")
            return
        self._hosts = hosts
        self._hosts_read_ms = sent_ms
        self.listed_regions.apply_read(
            [host for host in hosts if _is_router(host)], sent_ms
        )
        self.leaving = {
            value
            for host in hosts
            if host.state == "leaving"
            for value in (host.name, host.address)
        }
        names = {host.name for host in hosts}
        if self._context.settings.name not in names:
            self._listed_since_ms = float("inf")
        else:
            self._listed_since_ms = min(self._listed_since_ms, sent_ms)

    def _write_member(self, lease: int) -> bool:
        settings = self._context.settings
        value = json.dumps(
            {
                "router": settings.name,
                "incarnation": self._context.incarnation,
                "side": settings.side,
                "region": settings.region,
                "failure_domain": settings.failure_domain,
                "peers": settings.advertised_peers_address,
                "admin": settings.admin_address,
                "state": self._context.state,
                "lease": lease,
                "wall_ms": self._context.clock.wall_ms(),
            }
        )
        key = f"{settings.store_prefix}{MEMBERS}{settings.name}"
        current = self._store.get(key)
        revision = getattr(current, "revision", 0)
        written = self._store.put_if(key, value, revision, lease)
        if not isinstance(written, Written):
            return False
        self._configuration.apply(f"{MEMBERS}{settings.name}", written.revision, value)
        return True

    def _apply_ttl(self, sent_ms: float, ttl_ms: float) -> None:
        if ttl_ms > 0:
            self._record_renewal(sent_ms, ttl_ms)
            return
        self._context.timeline.record("lease_lapsed", lease=self.lease)
        self.lease = 0
        self.lease_until_ms = self.promise_until_ms = float("-inf")
        self._on_lost()

    def _record_renewal(self, sent_ms: float, ttl_ms: float) -> None:
        self.renewed_ms = max(self.renewed_ms, sent_ms)
        self.listed_regions.on_lease_renewed(sent_ms)
        self.lease_until_ms = max(self.lease_until_ms, sent_ms + lower_bound_ms(ttl_ms))

    def renew_through_peers(self) -> None:
        """Renew the lease through peers while direct renewals fail."""
        if self.has_recent_renewal() or not self.lease:
            return
        names = [name for name, streams in self._peers.streams.items() if streams]
        by_recency = sorted(
            names, key=lambda name: -self._peers.streams[name][0].last_received_ms
        )
        renewers = by_recency[:MAX_PARALLEL_RENEWERS]
        remote = [name for name in self._other_regions() if name in names]
        asked = [*renewers, *(name for name in remote if name not in renewers)]
        lease = self.lease
        query = self._query_peers(asked, lambda nonce: RenewRequest(nonce, lease))
        if query is None or lease != self.lease:
            return
        ttls_ms = [answer.ttl_ms for answer in query.answers.values()]
        known = [ttl_ms for ttl_ms in ttls_ms if ttl_ms >= 0]
        if not known:
            return
        self._context.count("lease_renewals_through_peers_total")
        self._apply_ttl(query.sent_ms, min(known))

    def gather_promises(self) -> None:
        """Request promises not to take over while renewals fail.

        Every router of the region is asked, and one of each other region.
        """
        has_store_failed = self._store_failed_ms >= self.renewed_ms
        if not self.lease or (self.has_recent_renewal() and not has_store_failed):
            return
        settings = self._context.settings
        now_ms = self._context.clock.now_ms()
        if now_ms - self._hosts_read_ms > settings.host_list_max_lag_ms / 2:
            return
        routers = self.router_hosts()
        others = {
            host.name
            for host in self._hosts
            if host.name in routers
            and host.labels.get("region", settings.region) == settings.region
        }
        if others:
            # A router that is alone in its region gets no promises.
            others.update(self._other_regions())
        query = self._query_peers(
            others, lambda nonce: PromiseRequest(nonce, PROMISE_MS)
        )
        if query is None or set(query.answers) != others:
            return
        if all(answer.promised for answer in query.answers.values()):
            until_ms = query.sent_ms + lower_bound_ms(PROMISE_MS)
            self.promise_until_ms = max(self.promise_until_ms, until_ms)

    def _other_regions(self) -> list[str]:
        """Return the router with the newest frame of each other listed region."""
        own = self._context.settings.region
        regions: dict[str, list[str]] = {}
        for host in self._hosts:
            region = host.labels.get("region", own)
            if _is_router(host) and region != own:
                regions.setdefault(region, []).append(host.name)
        return [self._router_with_newest_frame(names) for names in regions.values()]

    def _router_with_newest_frame(self, names: list[str]) -> str:
        streams = self._peers.streams
        known = [name for name in names if streams.get(name)]
        if known:
            return max(known, key=lambda name: streams[name][0].last_received_ms)
        # Rotates through the routers, since a listed router may be down.
        return names[
            int(self._context.clock.now_ms() / REDIAL_INTERVAL_MS) % len(names)
        ]

    def _query_peers(
        self, names, make_request: Callable[[int], object]
    ) -> _PeerQuery | None:
        streams = [self._peers.stream_to(name) for name in names]
        if not streams or not all(streams):
            return None
        self._nonce += 1
        # Another query may start while this one waits.
        nonce = self._nonce
        query = _PeerQuery(self._context.clock.now_ms(), set(names))
        self._queries[nonce] = query
        for stream in streams:
            stream.send(make_request(nonce))
        self._wait_for_answers(query)
        del self._queries[nonce]
        return query

    def _wait_for_answers(self, query: _PeerQuery) -> None:
        deadline_ms = query.sent_ms + self._context.settings.store_timeout_ms * 1.5
        while self._context.clock.now_ms() < deadline_ms:
            if set(query.answers) >= query.peer_names:
                return
            eventlet.sleep(0.01)

    def _handle_answer(self, stream: PeerStream, answer) -> None:
        query = self._queries.get(answer.nonce)
        if query and stream.name in query.peer_names:
            query.answers[stream.name] = answer

    def _handle_renew_request(self, stream: PeerStream, request: RenewRequest) -> None:
        def renew() -> None:
            ttl_ms = self._store.renew_lease(request.lease)
            if not isinstance(ttl_ms, float):
                ttl_ms = STORE_DOWN_TTL_MS
            stream.send(RenewResult(request.nonce, ttl_ms))

        start_task(self._context, "renew_for_peer", renew)

    def _handle_promise_request(
        self, stream: PeerStream, request: PromiseRequest
    ) -> None:
        if self.has_recent_renewal():
            start_task(
                self._context,
                "promise",
                self._promise_unless_reachable,
                stream,
                request,
            )
            return
        self._promise(stream, request)

    def _promise_unless_reachable(
        self, stream: PeerStream, request: PromiseRequest
    ) -> None:
        """Promise only if a probe shows that the service is no longer reachable."""
        if self._probe_store():
            # The requester can renew its lease through this router instead.
            reason = "this router reaches the key-value service"
            stream.send(PromiseResult(request.nonce, False, reason))
            return
        self._promise(stream, request)

    def _probe_store(self) -> bool:
        """Return whether the service answers a renewal that is sent as a probe."""
        clock = self._context.clock
        if clock.now_ms() - self._probe_ms > PROBE_MS:
            self._probe_ms = clock.now_ms()
            self._probe_failures = self._failed_renewals
            start_task(self._context, "probe", self.renew)
        # All requests within PROBE_MS share one renewal.
        sent_ms, failures = self._probe_ms, self._probe_failures
        while self.renewed_ms < sent_ms and self._failed_renewals == failures:
            if clock.now_ms() - sent_ms > PROBE_MS:
                return False
            eventlet.sleep(PROBE_POLL_INTERVAL_MS / 1000.0)
        return self.renewed_ms >= sent_ms

    def _promise(self, stream: PeerStream, request: PromiseRequest) -> None:
        if not self._is_member(stream):
            # Another router may own its shards already; a promise cannot undo that.
            reason = "the asker's lease has ended as far as this router knows"
            stream.send(PromiseResult(request.nonce, False, reason))
            return
        until_ms = self._context.clock.now_ms() + upper_bound_ms(request.duration_ms)
        held = self._promised_until_ms.get(stream.name, until_ms)
        self._promised_until_ms[stream.name] = max(held, until_ms)
        stream.send(PromiseResult(request.nonce, True, ""))

    def _is_member(self, stream: PeerStream) -> bool:
        member = self._configuration.members.get(stream.name)
        return member is not None and member.incarnation == stream.incarnation


def _is_router(host: Host) -> bool:
    return host.labels.get("role", ROUTER_ROLE) == ROUTER_ROLE
