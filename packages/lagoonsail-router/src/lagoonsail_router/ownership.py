"""Which shards this router owns, and how ownership changes hands.

An assignment record names the owner of a shard, its lease and its epoch, and is changed
only by compare-and-swap. A member claims a shard that has no owner, that was released,
or whose owner's lease ended so long ago that no grant of that owner can still be used.
It claims shards of its own region and, under the rules in `foreign_shards`, those of
regions without routers.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.clock import upper_bound_ms
from lagoonsail_core.green import eventlet
from lagoonsail_core.invariants import require
from lagoonsail_core.names import region_of
from lagoonsail_router.configuration import OWNED, RELEASED, SHARDS
from lagoonsail_router.context import LEAVING, SERVING, start_task
from lagoonsail_router.foreign_shards import ForeignShards
from lagoonsail_sharing.assignment import rank_owners, rendezvous_owner
from lagoonsail_store.store_client import Conflict, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.configuration import Configuration, ShardRecord
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.right import Right
    from lagoonsail_router.shard_owner import ShardOwner
    from lagoonsail_store.store_client import StoreClient

IMBALANCE_LIMIT = 1.3
"""Multiple of the mean shard count above which a router releases shards."""
IDLE_SCAN_INTERVAL_MS = 1000.0
"""Interval between full scans while nothing changes."""
REBALANCE_INTERVAL_MS = 5000.0
"""Minimum interval between releases of one router for balance."""
MAX_SUCCESSORS = 3
"""Maximum number of members that receive the state a next owner needs."""
RELEASE_RETRY_INTERVAL_MS = 100.0
"""Delay before a release whose outcome is unknown is written again."""


class Ownership:
    """The shards that this router owns."""

    __slots__ = (
        "_claiming",
        "_configuration",
        "_context",
        "_foreign",
        "_is_connected",
        "_lapsed_since_ms",
        "_scanned_ms",
        "_make_owner",
        "_rebalanced_ms",
        "_right",
        "_scanned_inputs",
        "_store",
        "_synced_revision",
        "owned",
    )

    owned: dict[str, ShardOwner]
    """Owners of the owned shards, by shard."""

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        store: StoreClient,
        make_owner: Callable[[str, int], ShardOwner],
        synced_revision: Callable[[], int],
        is_connected: Callable[[str], bool],
    ) -> None:
        self._context = context
        self._is_connected = is_connected
        self._configuration = configuration
        self._store = store
        self._make_owner = make_owner
        self._synced_revision = synced_revision
        self._right: Right | None = None
        self._foreign: ForeignShards | None = None
        self._claiming: set[str] = set()
        self._lapsed_since_ms: dict[tuple[str, int], float] = {}
        self._scanned_ms = float("-inf")
        self._scanned_inputs: tuple | None = None
        self._rebalanced_ms = context.clock.now_ms()
        self.owned = {}

    def attach(self, right: Right) -> None:
        """Set the right, which is created later since the two refer to each other."""
        self._right = right
        self._foreign = ForeignShards(
            self._context, self._configuration, right.listed_regions
        )

    def regional_shards(self) -> list[str]:
        """Return the shards of this router's region in the documents in force."""
        suffix = f"@{self._context.settings.region}"
        shards = self._configuration.documented_shards()
        return sorted(shard for shard in shards if shard.endswith(suffix))

    def desired_owner(self, shard: str) -> str:
        """Return the member of the region that should own a shard."""
        members = self._serving_members()
        return rendezvous_owner(shard, members) if members else ""

    def successors(self, shard: str) -> list[str]:
        """Return the serving members of the region, best owner first."""
        candidates = self._serving_members()
        return rank_owners(shard, candidates, MAX_SUCCESSORS)

    def drop_all(self) -> None:
        """Stop owning all shards, after the lease has expired."""
        for shard in list(self.owned):
            self._drop(shard)

    def reconcile(self) -> None:
        """Claim, drop and release shards according to the records."""
        self._drop_superseded()
        if not self._right.lease or not self._right.has_recent_renewal():
            return
        if not self._is_scan_due():
            return
        self._prune_lapses()
        shards = self.regional_shards()
        for shard in [*shards, *self._foreign.claimable()]:
            self._claim_if_due(shard)
        if self._context.state == LEAVING:
            for shard in list(self.owned):
                self._start_release(shard)
            return
        for shard in self._foreign.releasable(list(self.owned)):
            self._start_release(shard)
        self._rebalance(shards)

    def _is_scan_due(self) -> bool:
        """Return whether a full scan is due: on a change or while a lapse is pending.

        A full scan hashes each shard with each member, too expensive for every step.
        """
        now_ms = self._context.clock.now_ms()
        inputs = (
            self._configuration.changes,
            self._synced_revision(),
            self._context.state,
            self._right.lease,
            self._right.may_take_over(),
        )
        is_unchanged = inputs == self._scanned_inputs and not self._lapsed_since_ms
        if is_unchanged and now_ms - self._scanned_ms < IDLE_SCAN_INTERVAL_MS:
            return False
        self._scanned_inputs, self._scanned_ms = inputs, now_ms
        return True

    def _prune_lapses(self) -> None:
        """Remove pending lapses of shards that another router has claimed since."""
        shards = self._configuration.shards
        for shard, epoch in list(self._lapsed_since_ms):
            if shard not in shards or shards[shard].epoch != epoch:
                del self._lapsed_since_ms[shard, epoch]

    def _serving_members(self) -> list[str]:
        region = self._context.settings.region
        return sorted(
            member.router
            for member in self._configuration.members.values()
            if member.region == region and member.state == SERVING
        )

    def _drop_superseded(self) -> None:
        for shard, owner in list(self.owned.items()):
            record = self._configuration.shards.get(shard)
            if record and record.epoch > owner.epoch:
                self._drop(shard)

    def _drop(self, shard: str) -> None:
        owner = self.owned.pop(shard)
        owner.stop()
        self._context.timeline.record("shard_lost", shard=shard, epoch=owner.epoch)

    def _claim_if_due(self, shard: str) -> None:
        if shard in self.owned or shard in self._claiming:
            return
        if self._context.state == LEAVING:
            return
        name, region = self._context.settings.name, self._context.settings.region
        if region_of(shard) == region and self.desired_owner(shard) != name:
            return
        record = self._configuration.shards.get(shard)
        if record and not self._is_claimable(shard, record):
            return
        self._claiming.add(shard)
        start_task(self._context, "claim", self._claim, shard, record)

    def _is_claimable(self, shard: str, record: ShardRecord) -> bool:
        if record.state == RELEASED:
            return True
        if record.lease == self._right.lease:
            # This router's own claim, whose answer came too late to be accepted.
            return True
        if record.revision > self._synced_revision():
            # The record came from a peer before the router read it from the service,
            # so the member record of its owner may not have arrived yet.
            return False
        if not self._configuration.is_lease_expired(record):
            self._lapsed_since_ms.pop((shard, record.epoch), None)
            return False
        is_own = record.owner == self._context.settings.name
        if not is_own and not self._right.may_take_over():
            return False
        now_ms = self._context.clock.now_ms()
        since_ms = self._lapsed_since_ms.setdefault((shard, record.epoch), now_ms)
        # The previous owner stopped granting before its lease ended, but its last
        # grants can still be used for one start window.
        claimable_ms = since_ms + upper_bound_ms(self._context.settings.start_window_ms)
        return now_ms > max(claimable_ms, self._right.promised_until_ms(record.owner))

    def _claim(self, shard: str, record: ShardRecord | None) -> None:
        try:
            self._write_claim(shard, record)
        finally:
            self._claiming.discard(shard)

    def _write_claim(self, shard: str, record: ShardRecord | None) -> None:
        epoch = record.epoch + 1 if record else 1
        lease = self._right.lease
        value = self._record_value(epoch, lease, OWNED)
        revision = record.revision if record else 0
        written = self._store.put_if(self._key(shard), value, revision)
        if isinstance(written, Conflict):
            self._apply_conflict(shard, written)
            return
        if not isinstance(written, Written):
            return
        self._configuration.apply(f"{SHARDS}{shard}", written.revision, value)
        current = self._configuration.shards[shard]
        if lease != self._right.lease or current.epoch != epoch:
            return
        require(shard not in self.owned, "shard_claimed_once", shard)
        self.owned[shard] = self._make_owner(shard, epoch)
        self._context.timeline.record("shard_claimed", shard=shard, epoch=epoch)
        self._lapsed_since_ms.clear()

    def _apply_conflict(self, shard: str, conflict: Conflict) -> None:
        self._context.count("claim_conflicts_total")
        entry = conflict.entry
        if entry is not None:
            self._configuration.apply(f"{SHARDS}{shard}", entry.revision, entry.value)

    def _start_release(self, shard: str) -> None:
        owner = self.owned[shard]
        if owner.is_releasing:
            return
        owner.is_releasing = True
        start_task(self._context, "release", self._release, shard, owner)

    def _release(self, shard: str, owner: ShardOwner) -> None:
        """Hand a shard over without waiting for the lease to end."""
        owner.refuse_waiting()
        while self.owned.get(shard) is owner and (
            # The next owner may be a member that has not received the keys.
            owner.has_unstarted_grants() or owner.has_unwritten_keys()
        ):
            eventlet.sleep(0.02)
        if self.owned.get(shard) is not owner:
            return
        owner.send_digests()
        while self.owned.get(shard) is owner and not self._write_release(shard, owner):
            # The record may have been written: no grants until the outcome is known.
            eventlet.sleep(RELEASE_RETRY_INTERVAL_MS / 1000.0)

    def _write_release(self, shard: str, owner: ShardOwner) -> bool:
        record = self._configuration.shards.get(shard)
        if record and (record.epoch > owner.epoch or record.state == RELEASED):
            # An earlier write succeeded, or another router owns the shard.
            self._drop(shard)
            return True
        lease = record.lease if record else self._right.lease
        value = self._record_value(owner.epoch, lease, RELEASED)
        revision = record.revision if record else 0
        written = self._store.put_if(self._key(shard), value, revision)
        if self.owned.get(shard) is not owner:
            return True
        if isinstance(written, Conflict):
            self._apply_conflict(shard, written)
        if not isinstance(written, Written):
            return False
        self._drop(shard)
        self._configuration.apply(f"{SHARDS}{shard}", written.revision, value)
        return True

    def _rebalance(self, shards: list[str]) -> None:
        now_ms = self._context.clock.now_ms()
        if now_ms - self._rebalanced_ms < REBALANCE_INTERVAL_MS:
            return
        members = self._serving_members()
        name = self._context.settings.name
        if not members or name not in members:
            return
        loads = Counter(self._configuration.owner_of(shard) for shard in shards)
        allowed = math.ceil(IMBALANCE_LIMIT * len(shards) / len(members))
        if loads[name] <= allowed:
            return
        for shard in sorted(self.owned.keys() & set(shards)):
            desired = self.desired_owner(shard)
            if desired == name or not self._is_connected(desired):
                # A failed router stays a member until its lease ends.
                continue
            if loads[desired] < allowed:
                self._rebalanced_ms = now_ms
                self._start_release(shard)
                return

    def _record_value(self, epoch: int, lease: int, state: str) -> str:
        return json.dumps(
            {
                "owner": self._context.settings.name,
                "incarnation": self._context.incarnation,
                "lease": lease,
                "epoch": epoch,
                "state": state,
            }
        )

    def _key(self, shard: str) -> str:
        return f"{self._context.settings.store_prefix}{SHARDS}{shard}"
