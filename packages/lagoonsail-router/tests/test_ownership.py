from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_core.clock import upper_bound_ms
from lagoonsail_core.green import eventlet
from lagoonsail_router.context import LEAVING
from lagoonsail_router.foreign_shards import CANDIDATE_DELAY_MS
from lagoonsail_router.listed_regions import TAKE_OVER_LAGS, ListedRegions
from lagoonsail_router.ownership import (
    IDLE_SCAN_INTERVAL_MS,
    REBALANCE_INTERVAL_MS,
    Ownership,
)
from lagoonsail_sharing.assignment import rendezvous_owner
from lagoonsail_store.host_list import Host

SHARD = "cordero/registro@sierra-central"
KEY = f"/lagoonsail/shards/{SHARD}"
LEASE = 50


class FakeOwner:
    """The part of ShardOwner that Ownership uses."""

    def __init__(self, shard, epoch):
        self.shard, self.epoch = shard, epoch
        self.is_releasing = False
        self.unstarted = 0
        self.unwritten = 0
        self.log = []

    def refuse_waiting(self):
        self.log.append("refuse_waiting")

    def send_digests(self):
        self.log.append("send_digests")

    def stop(self):
        self.log.append("stop")

    def has_unstarted_grants(self):
        return self.unstarted > 0

    def has_unwritten_keys(self):
        return self.unwritten > 0


@pytest.fixture
def right(context):
    """A right at level FULL that may take over and has given no promises."""
    return SimpleNamespace(
        lease=LEASE,
        has_recent_renewal=lambda: True,
        may_take_over=lambda: True,
        promised_until_ms=lambda router: float("-inf"),
        listed_regions=ListedRegions(context),
    )


@pytest.fixture
def sync(store, configuration):
    """Applies the entries of the store, as the watch would."""

    def apply_entries():
        for entry in store.entries.values():
            key = entry.key.removeprefix("/lagoonsail/")
            configuration.apply(key, entry.revision, entry.value)

    return apply_entries


@pytest.fixture
def synced():
    """The revision up to which the router has read the service itself."""
    return SimpleNamespace(revision=10**9)


@pytest.fixture
def connected():
    """Names of the routers to which a stream is open."""
    return set()


@pytest.fixture
def ownership(
    context,
    configuration,
    store,
    right,
    sync,
    synced,
    connected,
    make_document,
    member_value,
):
    name = context.settings.name
    prefix = "/lagoonsail/"
    store.put_if(f"{prefix}documents/cordero/registro", make_document(), 0)
    store.put_if(f"{prefix}members/{name}", member_value(name, LEASE), 0)
    sync()
    ownership = Ownership(
        context,
        configuration,
        store,
        FakeOwner,
        lambda: synced.revision,
        connected.__contains__,
    )
    ownership.attach(right)
    return ownership


@pytest.fixture
def step(ownership):
    def run_step():
        ownership.reconcile()
        for _ in range(3):
            eventlet.sleep(0)

    return run_step


def test_free_shard_is_claimed_with_the_first_epoch(ownership, step, configuration):
    step()
    assert ownership.owned[SHARD].epoch == 1
    record = configuration.shards[SHARD]
    assert (record.owner, record.lease, record.epoch) == ("cordero-1", LEASE, 1)


def test_nothing_is_claimed_without_the_service_or_a_lease(ownership, step, right):
    right.lease = 0
    step()
    right.lease, right.has_recent_renewal = LEASE, lambda: False
    step()
    assert ownership.owned == {}


def test_claim_that_conflicts_with_another_owner_applies_its_record(
    ownership, step, store, configuration, shard_value, context
):
    store.put_if(KEY, shard_value("cordero-2", epoch=4), 0)
    step()
    assert ownership.owned == {}
    assert configuration.shards[SHARD].epoch == 4
    assert context.counters["claim_conflicts_total", ""] == 1


def test_claim_whose_answer_was_lost_is_repeated_with_a_new_epoch(
    ownership, step, store, sync
):
    store.lose_answers = True
    step()
    assert ownership.owned == {}
    store.lose_answers = False
    sync()
    step()
    assert ownership.owned[SHARD].epoch == 2


def test_claim_under_a_lease_that_expired_since_is_ignored(
    ownership, step, store, right
):
    store.before_answer = lambda: setattr(right, "lease", LEASE + 1)
    step()
    assert ownership.owned == {}


def test_lapsed_owner_is_replaced_only_after_the_start_window(
    ownership, step, store, sync, time, context, shard_value
):
    store.put_if(KEY, shard_value("cordero-2", epoch=4), 0)
    sync()
    step()
    time.advance_ms(upper_bound_ms(context.settings.start_window_ms))
    step()
    assert ownership.owned == {}
    time.advance_ms(1)
    step()
    assert ownership.owned[SHARD].epoch == 5


def test_record_known_only_from_peers_does_not_count_as_lapsed(
    ownership, step, store, sync, synced, time, context, shard_value
):
    store.put_if(KEY, shard_value("cordero-2", epoch=4), 0)
    sync()
    synced.revision = store.revision - 1
    step()
    time.advance_ms(upper_bound_ms(context.settings.start_window_ms) + 1)
    step()
    assert ownership.owned == {}
    synced.revision = store.revision
    step()
    time.advance_ms(upper_bound_ms(context.settings.start_window_ms) + 1)
    step()
    assert ownership.owned[SHARD].epoch == 5


def test_owner_that_returns_within_the_window_restarts_the_wait(
    ownership, step, store, sync, time, context, shard_value, member_value
):
    window_ms = upper_bound_ms(context.settings.start_window_ms)
    store.put_if(KEY, shard_value("cordero-2", epoch=4, lease=7), 0)
    sync()
    step()
    time.advance_ms(window_ms)
    member = "/lagoonsail/members/cordero-2"
    store.put_if(member, member_value("cordero-2", lease=7, state="leaving"), 0)
    sync()
    step()
    store.put_if(member, "", store.entries[member].revision)
    sync()
    step()
    time.advance_ms(window_ms)
    step()
    assert ownership.owned == {}
    time.advance_ms(1)
    step()
    assert ownership.owned[SHARD].epoch == 5


@pytest.mark.parametrize("obstacle", ["promise", "not listed"])
def test_shard_is_not_taken_over_during_a_promise_or_while_unlisted(
    ownership, step, store, sync, time, right, shard_value, obstacle
):
    if obstacle == "promise":
        until_ms = time.now_ms + 9000.0
        right.promised_until_ms = lambda router: until_ms
    else:
        right.may_take_over = lambda: time.now_ms > begin_ms + 9000.0
    begin_ms = time.now_ms
    store.put_if(KEY, shard_value("cordero-2", epoch=4), 0)
    sync()
    step()
    time.advance_ms(9000.0)
    step()
    assert ownership.owned == {}
    time.advance_ms(1.0)
    step()
    time.advance_ms(2000.0)
    step()
    assert ownership.owned[SHARD].epoch == 5


def test_released_shard_is_claimed_at_once(
    ownership, step, store, sync, shard_value, member_value
):
    store.put_if(KEY, shard_value("cordero-2", epoch=4, state="released"), 0)
    sync()
    step()
    assert ownership.owned[SHARD].epoch == 5


def test_superseded_owner_drops_its_shard(ownership, step, configuration, shard_value):
    step()
    owner = ownership.owned[SHARD]
    record = shard_value("cordero-2", epoch=2)
    configuration.apply(f"shards/{SHARD}", 99, record)
    ownership.reconcile()
    assert ownership.owned == {}
    assert owner.log == ["stop"]


@pytest.mark.parametrize("what", ["unstarted", "unwritten"])
def test_release_waits_for_unstarted_grants_and_unwritten_keys(
    ownership, step, store, context, configuration, wait_until, what
):
    step()
    owner = ownership.owned[SHARD]
    setattr(owner, what, 1)
    context.state = LEAVING
    step()
    assert owner.is_releasing
    eventlet.sleep(0.05)
    assert configuration.shards[SHARD].state == "owned"
    setattr(owner, what, 0)
    wait_until(lambda: not ownership.owned)
    assert owner.log == ["refuse_waiting", "send_digests", "stop"]
    assert configuration.shards[SHARD].state == "released"
    step()
    assert ownership.owned == {}


@pytest.mark.parametrize("is_carried_out", [True, False])
def test_nothing_is_granted_until_the_outcome_of_a_release_is_known(
    ownership, step, store, context, wait_until, sync, is_carried_out
):
    """Guards against grants by two owners: the record may have been written already."""
    step()
    owner = ownership.owned[SHARD]
    store.lose_answers, store.down = is_carried_out, not is_carried_out
    context.state = LEAVING
    step()
    wait_until(lambda: owner.log == ["refuse_waiting", "send_digests"])
    eventlet.sleep(0.05)
    assert owner.is_releasing
    store.lose_answers = store.down = False
    wait_until(lambda: not ownership.owned)
    assert owner.log[-1] == "stop"


def test_release_that_conflicts_with_the_next_owner_drops_the_shard(
    ownership, step, store, context, shard_value, wait_until
):
    step()
    revision = store.entries[KEY].revision
    store.put_if(KEY, shard_value("cordero-2", epoch=9), revision)
    context.state = LEAVING
    step()
    wait_until(lambda: not ownership.owned)
    assert store.entries[KEY].value == shard_value("cordero-2", epoch=9)


def test_expired_lease_drops_all_shards(ownership, step):
    step()
    owner = ownership.owned[SHARD]
    ownership.drop_all()
    assert ownership.owned == {}
    assert owner.log == ["stop"]


def test_shards_are_released_for_balance_to_connected_members_only(
    ownership, step, store, sync, time, connected, make_document, member_value
):
    names = [f"service-{number}" for number in range(12)]
    for name in names:
        document = make_document(name)
        store.put_if(f"/lagoonsail/documents/cordero/{name}", document, 0)
    sync()
    step()
    assert len(ownership.owned) == 13
    store.put_if("/lagoonsail/members/cordero-2", member_value("cordero-2", 8), 0)
    sync()
    time.now_ms += REBALANCE_INTERVAL_MS
    step()
    assert len(ownership.owned) == 13
    connected.add("cordero-2")
    time.now_ms += IDLE_SCAN_INTERVAL_MS
    step()
    assert len(ownership.owned) == 12


FOREIGN = "cordero/registro@luzon"
"""A shard of another region."""


@pytest.fixture
def read_list(right, time, context):
    """Reads the host list repeatedly for some lags, with one router a region."""

    def read(regions, lags):
        lag_ms = context.settings.host_list_max_lag_ms
        for _ in range(int(lags * 4)):
            time.advance_ms(lag_ms / 4)
            hosts = [Host(f"r-{r}", "", "live", {"region": r}) for r in regions]
            right.listed_regions.apply_read(hosts, time.now_ms)

    return read


@pytest.fixture
def two_regions(store, sync, make_document, ownership):
    """Adds a server in another region to the service."""
    server = (
        "\n[server far]\naddress = 127.0.0.1:9\nfailure_domain = banos\nslots = 1\n"
    )
    text = make_document(more=server + "cold_slots = 1\nregion = luzon\n")
    key = "/lagoonsail/documents/cordero/registro"
    store.put_if(key, text, store.get(key).revision)
    sync()


def test_shard_of_a_region_without_routers_is_claimed_and_released(
    two_regions, ownership, step, read_list, store, sync, member_value, shard_value
):
    key = f"/lagoonsail/shards/{FOREIGN}"
    store.put_if(key, shard_value("kalapati-1", epoch=3), 0)
    sync()
    step()
    read_list(["sierra-central", "luzon"], TAKE_OVER_LAGS + 1)
    step()
    # The list shows a router that may act under promises, though it has no lease.
    assert FOREIGN not in ownership.owned
    read_list(["sierra-central"], TAKE_OVER_LAGS)
    step()
    assert FOREIGN not in ownership.owned
    read_list(["sierra-central"], 1)
    step()
    read_list(["sierra-central"], 1)
    step()
    assert ownership.owned[FOREIGN].epoch == 4
    member = member_value("kalapati-1", 9, region="luzon")
    store.put_if("/lagoonsail/members/kalapati-1", member, 0)
    sync()
    step()
    step()
    assert FOREIGN not in ownership.owned
    assert '"released"' in store.get(key).value


@pytest.mark.parametrize("regions", [["sierra-central", ""], []])
def test_shard_of_a_region_that_the_list_may_not_cover_is_not_claimed(
    regions, two_regions, ownership, step, read_list
):
    # The list shows a host without a region, or never showed one of the region.
    read_list([*regions, "luzon"] if regions else [], 1)
    step()
    read_list(regions, 2 * TAKE_OVER_LAGS)
    step()
    assert FOREIGN not in ownership.owned


def test_second_ranked_router_claims_a_foreign_shard_later(
    two_regions, ownership, step, read_list, store, sync, member_value, context
):
    own = context.settings.name
    better = next(
        name
        for name in (f"x-{n}" for n in range(99))
        if rendezvous_owner(FOREIGN, [own, name]) == name
    )
    store.put_if(f"/lagoonsail/members/{better}", member_value(better, 9), 0)
    sync()
    step()
    read_list(["sierra-central", "luzon"], 1)
    read_list(["sierra-central"], TAKE_OVER_LAGS + 0.25)
    step()
    assert FOREIGN not in ownership.owned
    lags = CANDIDATE_DELAY_MS / context.settings.host_list_max_lag_ms
    read_list(["sierra-central"], lags + 0.5)
    step()
    assert FOREIGN in ownership.owned
