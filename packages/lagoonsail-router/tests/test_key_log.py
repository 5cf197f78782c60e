from __future__ import annotations

import json

import pytest

from lagoonsail_router.key_log import (
    LEASE_ROTATION_MS,
    RETENTION_MS,
    WAIT_LIMIT_MS,
    KeyLog,
    keys_prefix,
)

SHARD = "cordero/registro@sierra-central"
KEY, ORIGIN, OTHER = 11, 101, 202


@pytest.fixture
def make_log(context, store):
    def make(epoch=1):
        log = KeyLog(context, store, SHARD, epoch)
        assert log.load()
        return log

    return make


@pytest.fixture
def log(make_log):
    return make_log()


def stored_keys(store):
    """What a later owner would read, by key."""
    found = {}
    for entry in store.list(keys_prefix(SHARD)).entries:
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
    log.give_back(KEY)
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

    # The write that frees the key is on the way when its call asks again.
    store.before_answer = ask_again
    log.give_back(KEY)
    wait_until(lambda: len(results) == 2)
    assert results == [True, True]
    assert stored_keys(store) == {KEY: ORIGIN}
    assert make_log(epoch=2).is_used(KEY, OTHER)


def test_lost_answer_does_not_lose_the_key(log, make_log, store, wait_until):
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
    time.pass_ms(WAIT_LIMIT_MS + 1)
    wait_until(lambda: results)
    assert results == [False]
    assert not log.is_used(KEY, OTHER)
    # The write took effect all the same, so it is taken back when that is possible.
    store.lose_answers = False
    wait_until(lambda: stored_keys(store) == {KEY: 0})
    assert not make_log(epoch=2).is_used(KEY, OTHER)


def test_call_that_asks_again_replaces_its_earlier_request(
    log, store, time, wait_until
):
    results = []
    store.down = True
    log.record(KEY, ORIGIN, lambda is_stored: results.append(("old", is_stored)))
    time.pass_ms(WAIT_LIMIT_MS - 1)
    log.record(KEY, ORIGIN, lambda is_stored: results.append(("new", is_stored)))
    time.pass_ms(2)
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


def test_log_is_not_loaded_while_the_service_is_down(context, store):
    store.down = True
    log = KeyLog(context, store, SHARD, 1)
    assert not log.load()
    assert not log.is_loaded


def test_keys_are_kept_for_their_retention_and_leases_rotate(
    log, store, time, wait_until
):
    results = []
    log.record(KEY, ORIGIN, results.append)
    wait_until(lambda: results)
    time.pass_ms(LEASE_ROTATION_MS + 1)
    log.record(KEY + 1, ORIGIN, results.append)
    wait_until(lambda: len(results) == 2)
    leases = [entry.lease for entry in store.entries.values()]
    assert len(set(leases)) == 2
    time.pass_ms(RETENTION_MS - LEASE_ROTATION_MS - 2)
    log.expire()
    assert log.is_used(KEY, OTHER)
    time.pass_ms(2)
    log.expire()
    assert not log.is_used(KEY, OTHER)
    assert log.is_used(KEY + 1, OTHER)
