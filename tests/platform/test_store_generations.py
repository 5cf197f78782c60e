"""Generations of the store: late answers, odd headers, what a router writes again."""

from __future__ import annotations

import json

import pytest
from lagoonsail_platform_standin.fleet import StandInPort, serve_http
from lagoonsail_platform_standin.store import StandInStore

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.store_access import (
    NO_REVISION,
    HistoryLost,
    StoreItems,
    StoreRevision,
)
from lagoonsail_gateway.store_generation import StoreGeneration
from lagoonsail_platform.store_calls import make_store_calls
from lagoonsail_platform.store_channel import StoreChannel
from lagoonsail_platform.store_registration import RENEW_INTERVAL_MS, Registration
from lagoonsail_platform.store_writes import make_store_writes

KEY = "lagoonsail/routers/r1"


class LateStore(StandInStore):
    """A store that keeps writes without an answer, to carry them out later."""

    def __init__(self):
        super().__init__()
        self.late = None

    def _commit(self, body):
        if self.late is None:
            return super()._commit(body)
        self.late.append(lambda: super(LateStore, self)._commit(body))
        return 503, {}


@pytest.fixture
def store():
    return LateStore()


@pytest.fixture
def address(store):
    return serve_http(store.serve)


@pytest.fixture
def generation():
    return StoreGeneration()


@pytest.fixture
def calls(address, generation):
    return make_store_calls(address, Clock(), None, generation)


def answer_of(generation_header):
    """Serve an empty listing under a header; return the address and the port."""

    def serve(_env, start_response):
        body = json.dumps({"items": [], "has-more": False, "current-rev": 5}).encode()
        headers = [("Content-Length", str(len(body)))]
        if generation_header is not None:
            headers.append(("Store-Era", generation_header))
        start_response("200 OK", headers)
        return [body]

    return StandInPort(serve)


def test_revisions_have_the_generation_of_the_answer(store, calls):
    store.put("a", b"1")
    listing = calls.list_all()
    assert listing.revision == StoreRevision(1, 2)
    assert listing.items[0].revision == StoreRevision(1, 2)
    store.put("a", b"2")
    changes = calls.watch(listing.revision, 1000.0)
    assert changes.items[0].revision == StoreRevision(1, 3)


# CONFIG: a reused number looked like the revision before, and changes were skipped.
def test_watch_over_a_restore_tells_that_the_history_is_lost(store, calls):
    copy = store.make_copy()
    store.put("a", b"1")
    listing = calls.list_all()
    store.restore(copy)
    for value in (b"2", b"3", b"4"):
        store.put("a", value)
    assert isinstance(calls.watch(listing.revision, 100.0), HistoryLost)
    assert calls.list_all().revision == StoreRevision(2, 4)


# What a late answer tells was undone by the restore.
def test_answer_of_an_earlier_generation_is_refused_on_every_connection(generation):
    newer, older = answer_of("8"), answer_of("7")
    clock = Clock()
    new = make_store_calls(newer.address, clock, None, generation)
    old = make_store_calls(older.address, clock, None, generation)
    assert isinstance(old.list_all(), StoreItems)
    assert isinstance(new.list_all(), StoreItems)
    assert isinstance(old.list_all(), Unavailable)
    assert generation.newest == 8


@pytest.mark.parametrize("header", [None, "", "x", "-1", "1.5", "9" * 40, "7, 8"])
def test_answer_without_a_readable_number_is_refused_once_one_was_known(
    generation, header
):
    refused = []
    generation.on_refused(lambda *numbers: refused.append(numbers))
    clock = Clock()
    odd = make_store_calls(answer_of(header).address, clock, None, generation)
    numbered = make_store_calls(answer_of("7").address, clock, None, generation)
    # A store that numbers nothing is believed, as its revisions never go back.
    assert odd.list_all().revision == StoreRevision(0, 5)
    assert numbered.list_all().revision == StoreRevision(7, 5)
    for _ in range(3):
        problem = odd.list_all()
        assert isinstance(problem, Unavailable)
        assert "generation" in problem.reason
    assert refused == [(None, 7)]


def test_refusal_without_a_number_is_an_ordinary_refusal(store, calls, generation):
    calls.list_all()
    store.generation, store.is_down = None, True
    assert "503" in calls.list_all().reason


def test_condition_that_was_read_before_a_restore_is_not_sent(
    store, address, generation
):
    """Guards against a reused revision that matches by chance."""
    writes = make_store_writes(address, Clock(), None, generation)
    lease = writes.grant_lease(60_000.0)
    copy = store.make_copy()
    revision = writes.write({"a": NO_REVISION}, {"a": b"1"}, lease)
    store.restore(copy)
    store.put("a", b"2")
    assert store.items["a"].revision == revision.number
    assert writes.keep_lease(lease) is None
    made = writes.write({"a": revision}, {"a": b"3"}, "")
    assert isinstance(made, Unavailable)
    assert store.items["a"].value == b"2"


@pytest.fixture
def registration(address, generation):
    channel = StoreChannel(address, Clock(), generation=generation)
    return Registration(channel, "r1", "10.0.0.1:7400 north")


def test_router_registers_again_after_a_restore(store, registration):
    copy = store.make_copy()
    assert registration.renew() == RENEW_INTERVAL_MS
    store.restore(copy)
    assert KEY not in store.items
    assert registration.renew() == RENEW_INTERVAL_MS
    assert store.items[KEY].lease in store.leases


# A renewal that succeeds by a reused lease number keeps another router's lease.
def test_router_registers_again_though_its_lease_number_was_given_out_again(
    store, registration
):
    copy = store.make_copy()
    registration.renew()
    store.restore(copy)
    status, fields = store._grant_lease({"ttl-ms": 60_000})
    assert (status, fields["lease"]) == (200, 1)
    registration.renew()
    assert store.items[KEY].lease == 2


# A registration that the store carried out late put the key under a lease that ends.
def test_late_registration_does_not_replace_a_newer_one(store, registration):
    store.late = late = []
    assert isinstance(registration.renew(), Unavailable)
    store.late = None
    assert registration.renew() == RENEW_INTERVAL_MS
    lease = store.items[KEY].lease
    assert late[0]()[0] == 412
    assert store.items[KEY].lease == lease


def test_restarted_router_takes_its_old_key_over(store, address, registration):
    """Guards against a router that cannot register while its old lease lasts."""
    registration.renew()
    channel = StoreChannel(address, Clock(), generation=StoreGeneration())
    restarted = Registration(channel, "r1", "10.0.0.1:7400 north")
    assert restarted.renew() == RENEW_INTERVAL_MS
    assert store.items[KEY].lease == 2


# The fleet comes through a restore.


def ask(fleet, router, path):
    return fleet.ask(router, "GET", path, f"id-{path}")[0]


def wait_until(condition, timeout_s=8.0):
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.05)


# CONFIG: a fleet ignored the operator until the revision had passed its old value.
def test_fleet_follows_the_operator_after_a_restore(make_fleet):
    fleet = make_fleet(3)
    copy = fleet.store.make_copy()
    for _ in range(30):
        fleet.store.put("other", b"")
    fleet.put_manifest()
    version = fleet.version
    wait_until(
        lambda: all(_manifest_of(fleet, name) == version for name in fleet.routers)
    )
    fleet.store.is_down = True
    eventlet.sleep(0.5)
    fleet.store.restore(copy)
    fleet.store.is_down = False
    # The copy has an older manifest, which must not come into force again.
    assert {ask(fleet, name, "/read/1") for name in fleet.routers} == {200}
    fleet.put_manifest(routes=[])
    wait_until(lambda: all(ask(fleet, r, "/read/2") == 404 for r in fleet.routers), 2.0)
    keys = {f"lagoonsail/routers/{name}" for name in fleet.routers}
    wait_until(lambda: keys <= fleet.store.items.keys())
    for name in fleet.routers:
        events = [line["event"] for line in fleet.read_log(name)]
        assert events.count("store_restored") == 1
        versions = [
            line["version"]
            for line in fleet.read_log(name)
            if line["event"] == "manifest_in_force"
        ]
        assert versions == sorted(set(versions))


def _manifest_of(fleet, name):
    lines = fleet.read_log(name)
    versions = [x["version"] for x in lines if x["event"] == "manifest_in_force"]
    return versions[-1]
