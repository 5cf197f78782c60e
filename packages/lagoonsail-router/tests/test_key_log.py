from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from lagoonsail_core.messages import KeysNoted
from lagoonsail_router.key_log import MAX_WRITE_KEYS, RECORD_TIMEOUT_MS, KeyLog
from lagoonsail_router.key_store import (
    LEASE_ROTATION_MS,
    RETENTION_MS,
    keys_prefix,
)

SHARD = "cordero/registro@sierra-central"
KEY, ORIGIN, OTHER = 11, 101, 202


class Successor:
    """A next owner that confirms notices, or stays silent."""

    def __init__(self, name, answers=True):
        self.name = name
        self.answers = answers
        self.notices = []
        self.log = None

    def send(self, notice):
        self.notices.append(notice)
        if self.answers:
            self.log.handle_confirmation(self, KeysNoted(notice.shard, notice.number))


@pytest.fixture
def promises():
    return SimpleNamespace(has_promises=lambda: False)


@pytest.fixture
def successors():
    return []


@pytest.fixture
def make_log(context, key_store, promises, successors):
    def make(epoch=1, adopted=()):
        log = KeyLog(context, key_store, SHARD, epoch, promises, lambda: successors)
        log.adopt(dict(adopted))
        assert log.load()
        return log

    return make


@pytest.fixture
def log(make_log):
    return make_log()


def stored_keys(store):
    """Return the origin by key that a later owner would read."""
    found = {}
    for entry in store.list(keys_prefix("/lagoonsail/", SHARD)).entries:
        found.update(json.loads(entry.value))
    return found


def test_key_is_stored_before_it_is_called_recorded(log, store, wait_until):
    seen = []
    log.record(KEY, ORIGIN, lambda is_stored: seen.append(stored_keys(store)))
    assert log.is_used(KEY, OTHER)
    assert not log.is_used(KEY, ORIGIN)
    wait_until(lambda: seen)
    assert seen == [{KEY: ORIGIN}]


def test_many_keys_go_into_one_write(log, store, wait_until):
    results = []
    for key in range(1, 51):
        log.record(key, ORIGIN, results.append)
    wait_until(lambda: len(results) == 50)
    assert all(results)
    assert len(store.writes) == 1


def test_later_owner_knows_the_keys_and_their_origins(log, make_log, wait_until):
    results = []
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: results)
    later = make_log(epoch=2)
    assert later.is_used(KEY, OTHER)
    assert not later.is_used(KEY, ORIGIN)


def test_key_that_is_given_back_is_free_for_later_owners_too(
    log, make_log, store, wait_until
):
    results = []
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: results)
    log.free(KEY)
    assert not log.is_used(KEY, OTHER)
    wait_until(lambda: stored_keys(store) == {KEY: 0})
    assert not make_log(epoch=2).is_used(KEY, OTHER)


def test_call_that_asks_again_while_its_key_is_being_freed_is_stored_again(
    log, make_log, store, wait_until
):
    results = []
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: results)

    def ask_again():
        store.before_answer = lambda: None
        log.record(KEY, ORIGIN, results.append)

    # The call asks again while the write that frees its key is in progress.
    store.before_answer = ask_again
    log.free(KEY)
    wait_until(lambda: len(results) == 2)
    assert results == [True, True]
    assert stored_keys(store) == {KEY: ORIGIN}
    assert make_log(epoch=2).is_used(KEY, OTHER)


def test_lost_answer_does_not_lose_the_key(log, make_log, store, time, wait_until):
    results = []
    store.lose_answers = True
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: store.writes)
    assert results == []
    store.lose_answers = False
    wait_until(lambda: results)
    assert results == [True]
    assert make_log(epoch=2).is_used(KEY, OTHER)


def test_key_that_cannot_be_stored_in_time_is_refused_and_free(
    log, make_log, store, time, wait_until
):
    results = []
    store.lose_answers = True
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: store.writes)
    time.advance_ms(RECORD_TIMEOUT_MS + 1)
    wait_until(lambda: results)
    assert results == [False]
    assert not log.is_used(KEY, OTHER)
    # The write took effect nevertheless, so the key is freed once that is possible.
    store.lose_answers = False
    wait_until(lambda: stored_keys(store) == {KEY: 0})
    assert not make_log(epoch=2).is_used(KEY, OTHER)


def test_call_that_asks_again_replaces_its_earlier_request(
    log, store, time, wait_until
):
    results = []
    store.down = True
    log.record(KEY, ORIGIN, lambda is_stored: results.append(("old", is_stored)))
    time.advance_ms(RECORD_TIMEOUT_MS - 1)
    log.record(KEY, ORIGIN, lambda is_stored: results.append(("new", is_stored)))
    time.advance_ms(2)
    store.down = False
    wait_until(lambda: results)
    assert results == [("new", True)]
    assert log.is_used(KEY, OTHER)
    assert stored_keys(store) == {KEY: ORIGIN}


def test_call_that_asks_again_while_its_key_is_being_stored_is_called_once(
    log, store, wait_until
):
    results = []

    def ask_again():
        store.before_answer = lambda: None
        log.record(KEY, ORIGIN, lambda is_stored: results.append("new"))

    store.before_answer = ask_again
    log.record(KEY, ORIGIN, lambda is_stored: results.append("old"))
    wait_until(lambda: results)
    assert results == ["new"]
    assert stored_keys(store) == {KEY: ORIGIN}


def test_log_is_not_loaded_while_the_service_is_down(
    context, store, key_store, promises
):
    store.down = True
    log = KeyLog(context, key_store, SHARD, 1, promises, list)
    assert not log.load()
    assert not log.is_loaded


def test_keys_are_kept_for_their_retention_and_leases_rotate(
    log, store, time, wait_until
):
    results = []
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: results)
    time.advance_ms(LEASE_ROTATION_MS + 1)
    log.record(KEY + 1, ORIGIN, results.append)
    wait_until(lambda: len(results) == 2)
    leases = [entry.lease for entry in store.entries.values()]
    assert len(set(leases)) == 2
    time.advance_ms(RETENTION_MS - LEASE_ROTATION_MS - 2)
    log.expire()
    assert log.is_used(KEY, OTHER)
    time.advance_ms(2)
    log.expire()
    assert not log.is_used(KEY, OTHER)
    assert log.is_used(KEY + 1, OTHER)


def test_next_owners_remember_keys_while_the_service_is_down(
    log, store, promises, successors, time, wait_until
):
    successors += [Successor("b"), Successor("c")]
    for successor in successors:
        successor.log = log
    promises.has_promises = lambda: True
    store.down = True
    results = []
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: results)
    assert results == [True]
    assert [s.notices[0].keys for s in successors] == [[[KEY, ORIGIN]]] * 2
    assert log.has_unstored()
    store.down = False
    wait_until(lambda: time.advance_ms(50.0) or not log.has_unstored())
    assert stored_keys(store) == {KEY: ORIGIN}


@pytest.mark.parametrize("fault", ["no promises", "a silent successor", "nobody"])
def test_key_is_refused_when_it_can_be_remembered_nowhere(
    log, store, promises, successors, time, wait_until, fault
):
    successors += [
        Successor("b"),
        Successor("c", answers=fault != "a silent successor"),
    ]
    for successor in successors:
        successor.log = log
    if fault == "nobody":
        successors.clear()
    promises.has_promises = lambda: fault != "no promises"
    store.down = True
    results = []
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: time.advance_ms(RECORD_TIMEOUT_MS / 20.0) or results)
    assert results == [False]


def test_late_write_of_an_earlier_change_does_not_undo_a_later_one(make_log, store):
    prefix = f"{keys_prefix('/lagoonsail/', SHARD)}{1:012d}/"
    store.put_if(f"{prefix}{2:012d}", json.dumps([[KEY, ORIGIN]]), 0)
    store.put_if(f"{prefix}{1:012d}", json.dumps([[KEY, 0]]), 0)
    assert make_log(2).is_used(KEY, OTHER)


@pytest.mark.parametrize("stored", [0, OTHER, ORIGIN])
def test_key_noted_in_an_outage_stays_used_whatever_was_stored_before(
    make_log, store, wait_until, stored
):
    name = f"{keys_prefix('/lagoonsail/', SHARD)}{1:012d}/{1:012d}"
    store.put_if(name, json.dumps([[KEY, stored]]), 0)
    log = make_log(epoch=2, adopted={KEY: ORIGIN})
    assert log.is_used(KEY, ORIGIN + 2)
    # Only the call that is known to be the last one with the key may ask again.
    assert log.is_used(KEY, OTHER)
    assert log.is_used(KEY, ORIGIN) == (stored == OTHER)
    wait_until(lambda: len(store.writes) == 2)
    later = make_log(epoch=3)
    assert later.is_used(KEY, ORIGIN + 2)
    assert later.is_used(KEY, ORIGIN) == (stored == OTHER)


def test_many_keys_of_an_outage_are_written_in_parts(make_log, store, wait_until):
    adopted = dict.fromkeys(range(1, 2 * MAX_WRITE_KEYS + 2), ORIGIN)
    make_log(epoch=2, adopted=adopted)
    wait_until(lambda: stored_keys(store) == adopted)
    assert max(len(json.loads(value)) for _, value in store.writes) == MAX_WRITE_KEYS


def test_key_that_is_given_back_while_it_is_written_late_is_freed(
    make_log, store, wait_until
):
    log = make_log(epoch=2, adopted={KEY: ORIGIN})
    store.before_answer = lambda: log.free(KEY)
    wait_until(lambda: stored_keys(store) == {KEY: 0})
