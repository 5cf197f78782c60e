from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonsail_config.document import parse_document
from lagoonsail_core.green import eventlet
from lagoonsail_core.invariants import InvariantError
from lagoonsail_core.messages import (
    OUTCOME_BROKEN,
    OUTCOME_NOT_RUN,
    OUTCOME_UNREACHABLE,
    OUTCOME_WHOLE,
    REFUSED_DUPLICATE,
    REFUSED_KEYS_UNAVAILABLE,
    REFUSED_NOT_OWNER,
    REFUSED_QUEUE_FULL,
    Inventory,
    InventoryTaken,
    ServiceDigest,
    SlotCancel,
    SlotDone,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    SlotStart,
)
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router import server_polls
from lagoonsail_router.key_log import RECORD_TIMEOUT_MS
from lagoonsail_router.right import FULL, GUARDED, LAPSED
from lagoonsail_router.shard_owner import (
    INVENTORY_WAIT_MS,
    QUEUE_FACTOR,
    ShardOwner,
)
from lagoonsail_router.shard_servers import (
    IDLE_POLL_INTERVAL_MS,
    INITIAL_BACKOFF_MS,
    UNREPORTED_HOLD_MS,
    ShardServers,
)
from lagoonsail_sharing.server_limit import LoadReport

SHARD = "cordero/registro@sierra-central"


@pytest.fixture
def right():
    return SimpleNamespace(
        level=lambda: FULL, leaving=set(), has_promises=lambda: False
    )


@pytest.fixture
def documents(make_document):
    """The document in force as the only item; empty if it was deleted."""
    return [parse_document(make_document())]


@pytest.fixture
def successors():
    return []


@pytest.fixture
def make_owner(context, right, key_store, documents, successors):
    def make(epoch=1):
        def find():
            return documents[0] if documents else None

        owner = ShardOwner(
            context,
            right,
            key_store,
            SHARD,
            epoch,
            find,
            lambda: successors,
            lambda: successors,
        )
        owner.keys.load()
        return owner

    return make


@pytest.fixture
def owner(make_owner, time):
    owner = make_owner()
    time.advance_ms(INVENTORY_WAIT_MS)
    return owner


@pytest.fixture
def stream(owner, make_stream):
    stream = make_stream("cordero-2")
    stream.remote_sent_ms = 77.0
    owner.handle_inventory(stream, Inventory(SHARD, []))
    return stream


def request(ticket, account="norte", key=0, call=None):
    return SlotRequest(ticket, SHARD, account, 0.0, [], key, call or ticket, 0.0)


def done(grant, outcome=OUTCOME_WHOLE, cost=1.0):
    return SlotDone(SHARD, grant.epoch, grant.slot, outcome, cost, "i-1", 1.0, 2.0)


def refusals(stream):
    return [(m.ticket, m.reason) for m in stream.of(SlotRefusal)]


@pytest.fixture
def report(monkeypatch, owner, wait_until):
    """Makes each server report a number of running requests to the owner."""

    def read(running):
        asked = []

        def request_load_report(_gets, address, clock, on_report):
            asked.append(address)
            on_report(LoadReport("i-1", running, None, clock.now_ms()))
            owner.grant_waiting()

        monkeypatch.setattr(server_polls, "request_load_report", request_load_report)
        owner.poll()
        wait_until(lambda: len(asked) == len(owner.servers))

    return read


def test_no_grants_before_the_inventories_are_in(make_owner, make_stream, time):
    owner, stream = make_owner(), make_stream("cordero-2")
    owner.handle_inventory(stream, Inventory(SHARD, []))
    assert stream.sent == [InventoryTaken(SHARD, 1)]
    owner.handle_request(stream, request(1))
    assert stream.of(SlotGrant) == []
    time.advance_ms(INVENTORY_WAIT_MS)
    owner.grant_waiting()
    (grant,) = stream.of(SlotGrant)
    assert (grant.ticket, grant.epoch, grant.shard) == (1, 1, SHARD)


def test_cold_servers_get_their_cold_slots_and_slots_are_used_once(owner, stream):
    for ticket in range(1, 6):
        owner.handle_request(stream, request(ticket))
    grants = stream.of(SlotGrant)
    assert sorted(grant.server for grant in grants) == ["s1", "s2"]
    assert {grant.basis_ms for grant in grants} == {77.0}
    owner.handle_done(done(grants[0]))
    grants = stream.of(SlotGrant)
    assert [grant.ticket for grant in grants] == [1, 2, 3]
    assert len({grant.slot for grant in grants}) == 3


def test_right_is_checked_before_each_grant(owner, stream, right):
    levels = [LAPSED, LAPSED, FULL]
    right.level = lambda: levels.pop() if levels else LAPSED
    for ticket in (1, 2):
        owner.handle_request(stream, request(ticket))
    owner.grant_waiting()
    assert [grant.ticket for grant in stream.of(SlotGrant)] == [1]


def test_guarded_right_grants_nothing_on_cold_servers(owner, stream, right):
    right.level = lambda: GUARDED
    owner.handle_request(stream, request(1))
    assert stream.of(SlotGrant) == []
    right.level = lambda: FULL
    owner.grant_waiting()
    assert len(stream.of(SlotGrant)) == 1


@pytest.mark.parametrize("part", ["[server s1]", "[failure-domain banos]"])
def test_server_out_of_service_gets_no_requests(
    owner, stream, documents, make_document, part
):
    text = make_document().replace(part, f"{part}\nstate = out")
    documents[0] = parse_document(text)
    owner.update_document()
    for ticket in (1, 2):
        owner.handle_request(stream, request(ticket))
    assert [grant.server for grant in stream.of(SlotGrant)] == ["s2"]
    documents[0] = parse_document(make_document())
    owner.update_document()
    assert [grant.server for grant in stream.of(SlotGrant)] == ["s2", "s1"]


def test_waiting_requests_are_refused_when_the_document_is_deleted(
    owner, stream, documents
):
    for ticket in (1, 2, 3):
        owner.handle_request(stream, request(ticket))
    documents.clear()
    owner.update_document()
    assert refusals(stream) == [(3, REFUSED_NOT_OWNER)]
    assert owner.servers == {}


def test_cancelled_request_is_not_granted(owner, stream):
    for ticket in (1, 2, 3, 4):
        owner.handle_request(stream, request(ticket))
    owner.handle_cancel(stream, SlotCancel(3))
    for grant in stream.of(SlotGrant)[:2]:
        owner.handle_done(done(grant))
    assert [grant.ticket for grant in stream.of(SlotGrant)] == [1, 2, 4]


def test_full_queue_of_one_account_does_not_affect_others(owner, stream, documents):
    limit = QUEUE_FACTOR * documents[0].queue_limit
    for ticket in range(limit + 3):
        owner.handle_request(stream, request(ticket))
    assert refusals(stream) == [(limit + 2, REFUSED_QUEUE_FULL)]
    owner.handle_request(stream, request(limit + 3, "sur"))
    assert len(refusals(stream)) == 1


def test_releasing_owner_refuses_requests(owner, stream, time, context):
    owner.handle_request(stream, request(1))
    owner.is_releasing = True
    owner.handle_request(stream, request(2))
    assert refusals(stream) == [(2, REFUSED_NOT_OWNER)]
    assert owner.has_unstarted_grants()
    (grant,) = stream.of(SlotGrant)
    owner.handle_start(SlotStart(SHARD, 1, grant.slot))
    assert not owner.has_unstarted_grants()


def test_unstarted_grant_delays_a_release_for_one_start_window(
    owner, stream, time, context
):
    owner.handle_request(stream, request(1))
    time.advance_ms(context.settings.start_window_ms)
    assert owner.has_unstarted_grants()
    time.advance_ms(context.settings.start_window_ms * 0.1)
    assert not owner.has_unstarted_grants()


# Idempotency keys.


def test_key_is_granted_once(owner, stream, wait_until):
    owner.handle_request(stream, request(1, key=9))
    wait_until(lambda: stream.of(SlotGrant))
    owner.handle_request(stream, request(2, key=9))
    assert refusals(stream) == [(2, REFUSED_DUPLICATE)]
    (grant,) = stream.of(SlotGrant)
    owner.handle_done(done(grant, OUTCOME_BROKEN))
    owner.handle_request(stream, request(3, key=9))
    assert refusals(stream)[1:] == [(3, REFUSED_DUPLICATE)]


def test_key_of_a_call_that_did_not_run_is_released(owner, stream, wait_until):
    owner.handle_request(stream, request(1, key=9))
    wait_until(lambda: stream.of(SlotGrant))
    owner.handle_done(done(stream.of(SlotGrant)[0], OUTCOME_NOT_RUN))
    owner.handle_request(stream, request(2, key=9))
    wait_until(lambda: len(stream.of(SlotGrant)) == 2)
    assert refusals(stream) == []


def test_keys_of_earlier_owners_are_loaded_before_a_key_is_granted(
    owner, stream, wait_until
):
    owner.keys.is_loaded = False
    owner.handle_request(stream, request(1, key=9))
    owner.handle_request(stream, request(2))
    # The entry router asks again.
    assert refusals(stream) == [(1, REFUSED_NOT_OWNER)]
    assert [grant.ticket for grant in stream.of(SlotGrant)] == [2]
    owner.keys.load()
    owner.handle_request(stream, request(1, key=9))
    wait_until(lambda: len(stream.of(SlotGrant)) == 2)


def test_key_that_cannot_be_recorded_is_refused(owner, stream, store, time, wait_until):
    store.down = True
    owner.handle_request(stream, request(1, key=9))
    time.advance_ms(RECORD_TIMEOUT_MS + 1)
    wait_until(lambda: refusals(stream))
    assert refusals(stream) == [(1, REFUSED_KEYS_UNAVAILABLE)]
    assert stream.of(SlotGrant) == []


def test_call_asks_the_next_owner_again_with_its_key(
    owner, stream, make_owner, make_stream, time, wait_until
):
    owner.handle_request(stream, request(1, key=9, call=5))
    wait_until(lambda: stream.of(SlotGrant))
    later, again = make_owner(epoch=2), make_stream("cordero-2")
    later.handle_inventory(again, Inventory(SHARD, []))
    later.handle_request(again, request(2, key=9, call=6))
    assert refusals(again) == [(2, REFUSED_DUPLICATE)]
    later.handle_request(again, request(3, key=9, call=5))
    time.advance_ms(UNREPORTED_HOLD_MS)
    later.grant_waiting()
    assert [grant.ticket for grant in again.of(SlotGrant)] == [3]


# Streams and inventories.


def test_request_of_a_closed_stream_is_withdrawn_and_may_be_repeated(
    owner, stream, make_stream, wait_until
):
    for ticket in (1, 2):
        owner.handle_request(stream, request(ticket))
    owner.handle_request(stream, request(3, key=9))
    wait_until(lambda: owner.describe()["accounts"]["norte"]["waiting"])
    owner.on_stream_closed(stream)
    assert owner.describe()["accounts"]["norte"]["waiting"] == 0
    again = make_stream("cordero-2")
    running = [[1, n, s, "norte", 0.0, 5.0] for n, s in ((1, "s1"), (2, "s2"))]
    owner.handle_inventory(again, Inventory(SHARD, running))
    owner.handle_request(again, request(3, key=9))
    wait_until(lambda: owner.describe()["accounts"]["norte"]["waiting"])
    assert refusals(again) == []


def test_new_stream_takes_over_before_the_old_one_is_known_to_be_closed(
    owner, stream, make_stream
):
    for ticket in (1, 2, 3):
        owner.handle_request(stream, request(ticket))
    grants = stream.of(SlotGrant)
    again = make_stream("cordero-2")
    running = [[1, g.slot, g.server, "norte", 0.0, 5.0] for g in grants]
    owner.handle_inventory(again, Inventory(SHARD, running))
    owner.handle_request(again, request(3))
    owner.handle_done(done(grants[0]))
    assert [grant.ticket for grant in again.of(SlotGrant)] == [3]
    assert len(stream.of(SlotGrant)) == 2
    owner.on_stream_closed(stream)
    assert all(slot.orphaned_ms is None for slot in owner.slots.values())


def test_slot_missing_from_an_inventory_is_freed(owner, stream):
    for ticket in (1, 2, 3):
        owner.handle_request(stream, request(ticket))
    assert len(owner.slots) == 2
    owner.handle_inventory(stream, Inventory(SHARD, []))
    # Both servers are cold, and may still run the requests that were cancelled.
    assert owner.slots == {}
    assert [server.unattributed for server in owner.servers.values()] == [1, 1]


def test_new_owner_counts_running_requests_of_inventories(
    make_owner, make_stream, time
):
    owner, stream = make_owner(epoch=5), make_stream("cordero-2")
    running = [[4, 31, "s1", "norte", 2.0, 300.0]]
    owner.handle_inventory(stream, Inventory(SHARD, running))
    assert owner.slots[4, 31].account == "norte"
    time.advance_ms(UNREPORTED_HOLD_MS)
    for ticket in (1, 2):
        owner.handle_request(stream, request(ticket))
    assert [grant.server for grant in stream.of(SlotGrant)] == ["s2"]
    owner.handle_done(SlotDone(SHARD, 4, 31, OUTCOME_WHOLE, 3.0, "", 1.0, 2.0))
    assert [grant.server for grant in stream.of(SlotGrant)] == ["s2", "s1"]


def test_done_of_an_unknown_slot_is_ignored(owner, stream, context):
    owner.handle_done(SlotDone(SHARD, 4, 31, OUTCOME_WHOLE, 3.0, "", 1.0, 2.0))
    assert context.counters["unknown_slots_total", ""] == 1


# Servers.


def test_new_owner_grants_nothing_on_unreported_servers(make_owner, make_stream, time):
    owner, stream = make_owner(epoch=2), make_stream("cordero-2")
    owner.handle_inventory(stream, Inventory(SHARD, []))
    owner.handle_request(stream, request(1))
    time.advance_ms(UNREPORTED_HOLD_MS - 1)
    owner.grant_waiting()
    assert stream.of(SlotGrant) == []
    time.advance_ms(1)
    owner.grant_waiting()
    assert len(stream.of(SlotGrant)) == 1


def test_server_that_runs_unknown_requests_gets_no_grants(owner, stream, report):
    report(running=1)
    owner.handle_request(stream, request(1))
    assert stream.of(SlotGrant) == []
    report(running=0)
    assert len(stream.of(SlotGrant)) == 1


def test_reports_of_an_idle_server_are_skipped_and_it_counts_as_cold(
    owner, stream, report, time, monkeypatch, wait_until, documents
):
    documents[0].servers["s2"].state = "out"
    owner.update_document()
    report(running=0)
    owner.servers["s1"].limit.restore("i-1", 2, time.now_ms)
    asked, on_reports = [], []

    def request_load_report(_gets, address, _clock, on_report):
        asked.append(address)
        on_reports.append(on_report)

    def answer():
        on_reports.pop()(LoadReport("i-1", 0, None, time.now_ms))
        owner.grant_waiting()

    monkeypatch.setattr(server_polls, "request_load_report", request_load_report)
    time.advance_ms(IDLE_POLL_INTERVAL_MS - 1)
    owner.poll()
    owner.handle_request(stream, request(1))
    owner.handle_request(stream, request(2))
    assert len(stream.of(SlotGrant)) == 1
    wait_until(lambda: asked == ["127.0.0.1:9001"])
    answer()
    wait_until(lambda: len(stream.of(SlotGrant)) == 2)
    for grant in stream.of(SlotGrant):
        owner.handle_done(done(grant))
    time.advance_ms(IDLE_POLL_INTERVAL_MS)
    owner.poll()
    wait_until(lambda: len(asked) == 3)


def test_orphaned_slot_is_freed_once_reports_show_that_it_has_ended(
    owner, stream, report, time
):
    owner.handle_request(stream, request(1))
    owner.on_stream_closed(stream)
    time.advance_ms(60_000.0)
    report(running=1)
    assert len(owner.slots) == 1
    report(running=0)
    assert owner.slots == {}


def test_orphaned_slot_on_a_silent_server_is_freed_after_the_request_timeout(
    owner, stream, time, monkeypatch, wait_until, context
):
    monkeypatch.setattr(
        server_polls, "request_load_report", lambda *a: a[-1](Unavailable("silent"))
    )
    owner.handle_request(stream, request(1))
    owner.on_stream_closed(stream)
    timeout_ms = context.settings.start_window_ms + 1000.0
    time.advance_ms(timeout_ms)
    owner.poll()
    eventlet.sleep(0)
    assert len(owner.slots) == 1
    time.advance_ms(1.0)
    owner.poll()
    wait_until(lambda: owner.slots == {})


def test_unreachable_server_gets_no_requests_during_backoff(
    owner, stream, time, documents
):
    documents[0].servers["s2"].state = "out"
    owner.handle_request(stream, request(1))
    owner.handle_done(done(stream.of(SlotGrant)[0], OUTCOME_UNREACHABLE))
    owner.handle_request(stream, request(2))
    time.advance_ms(INITIAL_BACKOFF_MS - 1)
    owner.grant_waiting()
    assert len(stream.of(SlotGrant)) == 1
    time.advance_ms(1)
    owner.grant_waiting()
    assert len(stream.of(SlotGrant)) == 2


def test_successors_get_changes(owner, stream, successors, make_stream):
    successor = make_stream("cordero-3")
    successors.append(successor)
    owner.send_digests()
    owner.handle_request(stream, request(1))
    owner.handle_done(done(stream.of(SlotGrant)[0], cost=9.0))
    owner.send_digests()
    owner.send_digests()
    first, second = successor.of(ServiceDigest)
    assert first.sequence < second.sequence
    assert list(second.service) == ["norte"]
    assert second.service["norte"] > 0


# Capacity that becomes free while every server is full and a request waits.


@pytest.fixture
def full(owner, stream, time):
    """Both servers are cold and at their limit, and request 3 waits."""
    for ticket in (1, 2, 3):
        owner.handle_request(stream, request(ticket))
    assert len(stream.of(SlotGrant)) == 2
    return owner


def free_by_done(owner, stream, documents):
    owner.handle_done(done(stream.of(SlotGrant)[0]))


def free_by_document(owner, stream, documents):
    entry = documents[0].servers["s1"]
    entry.slots = entry.cold_slots = 3
    owner.update_document()


def free_by_digest(owner, stream, documents):
    owner.adopt(ServiceDigest(SHARD, 1, 9, {}, {}, {"s1": ["i-1", 2]}))
    owner.grant_waiting()


@pytest.mark.parametrize("free", [free_by_done, free_by_document, free_by_digest])
def test_capacity_freed_in_a_full_shard_is_granted_at_once(
    full, stream, documents, free
):
    free(full, stream, documents)
    assert [grant.ticket for grant in stream.of(SlotGrant)] == [1, 2, 3]


def test_capacity_freed_by_a_report_is_granted_at_once(full, stream, report, time):
    report(running=1)
    full.handle_inventory(stream, Inventory(SHARD, []))
    full.handle_request(stream, request(4))
    assert len(stream.of(SlotGrant)) == 2
    time.advance_ms(1.0)
    report(running=0)
    assert [grant.ticket for grant in stream.of(SlotGrant)] == [1, 2, 3, 4]


def test_silent_server_counts_as_cold_only_until_its_read_ends(
    owner, stream, report, time, monkeypatch, documents, wait_until
):
    del documents[0].servers["s2"]
    owner.update_document()
    report(running=0)
    owner.servers["s1"].limit.restore("i-1", 2, time.now_ms)
    monkeypatch.setattr(
        server_polls,
        "request_load_report",
        lambda *a: eventlet.spawn_n(a[-1], Unavailable("silent")),
    )
    owner.poll()
    for ticket in (1, 2):
        owner.handle_request(stream, request(ticket))
    assert len(stream.of(SlotGrant)) == 1
    wait_until(lambda: not owner.servers["s1"].is_poll_skipped)
    owner.grant_waiting()
    assert len(stream.of(SlotGrant)) == 2


def test_requests_that_join_a_full_shard_scan_no_servers(
    full, stream, monkeypatch, context
):
    scans = []
    candidates = ShardServers.candidates

    def count(servers):
        scans.append(servers)
        return candidates(servers)

    monkeypatch.setattr(ShardServers, "candidates", count)
    for ticket in range(4, 9):
        full.handle_request(stream, request(ticket))
    assert scans == []
    full.handle_done(done(stream.of(SlotGrant)[0]))
    assert len(scans) == 1
    assert len(stream.of(SlotGrant)) == 3


def test_unnoticed_capacity_violates_an_invariant(full, monkeypatch):
    monkeypatch.setattr(server_polls, "request_load_report", lambda *_: None)
    full.servers["s1"].limit.limit = 2
    with pytest.raises(InvariantError):
        full.poll()
