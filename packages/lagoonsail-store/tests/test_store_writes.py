from __future__ import annotations

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_core.invariants import InvariantError
from lagoonsail_store.store_client import Absent, Conflict, Entry, Listing, Write
from lagoonsail_store.store_client import Written as W


def test_only_the_first_of_two_writers_wins_and_the_other_sees_its_entry(client):
    assert client.get("/a") == Absent("/a")
    assert client.put_if("/a", "first", 0) == W(2)
    newer = Entry("/a", "first", 2, 0)
    assert client.put_if("/a", "second", 0) == Conflict(newer)
    assert client.put_if("/a", "second", 2) == W(3)
    assert client.put_if("/a", "third", 2) == Conflict(Entry("/a", "second", 3, 0))
    assert client.put_if("/b", "x", 7) == Conflict(None)


def test_list_has_one_revision_and_only_keys_of_the_prefix(client):
    for key in ("/p/b", "/p/a", "/q", "/p"):
        client.put_if(key, key, 0)
    entries = [Entry("/p/a", "/p/a", 3, 0), Entry("/p/b", "/p/b", 2, 0)]
    assert client.list("/p/") == Listing(5, entries)
    assert client.list("/none") == Listing(5, [])
    assert len(client.list("").entries) == 4


def test_values_are_returned_unchanged(client):
    value = "año \x00 " + b"\xff\x80".decode("utf-8", "surrogateescape") + "x" * 100_000
    client.put_if("/é", value, 0)
    assert client.get("/é").value == value
    assert [entry.value for entry in client.list("/é").entries] == [value]


def test_several_writes_are_atomic(client):
    both = [Write("/a", "1", 0), Write("/b", "1", 0)]
    assert client.put_all_if(both) == W(2)
    late = [Write("/a", "2", 2), Write("/b", "2", 1)]
    assert client.put_all_if(late) == Conflict(Entry("/b", "1", 2, 0))
    assert client.get("/a").value == "1"
    twice = client.put_all_if([Write("/c", "1", 0), Write("/c", "2", 0)])
    assert "duplicate key" in twice.reason


def test_deletion_spares_a_newer_entry(client):
    client.put_if("/a", "1", 0)
    client.put_if("/a", "2", 2)
    assert client.delete("/a", 2) == Conflict(Entry("/a", "2", 3, 0))
    assert client.delete("/a") == W(4)
    assert client.get("/a") == Absent("/a")
    assert client.delete("/a") == W(4)


@pytest.mark.parametrize("lost", [0.5, 1.0])
def test_result_after_lost_answers_is_read_back(key_value, client, lost):
    key_value.control(lose_answers=lost)
    assert client.put_if("/a", "mine", 0) == W(2)
    assert client.put_if("/a", "other", 0) == Conflict(Entry("/a", "mine", 2, 0))
    assert client.put_all_if([Write("/a", "2", 2), Write("/b", "2", 0)]) == W(3)
    lease = client.grant_lease(5000.0)
    assert client.renew_lease(lease) == 5000.0
    assert client.revoke_lease(lease) is None
    assert isinstance(client.delete("/a"), W)
    record = key_value.record()
    assert (record["revision"], record["leases"]) == (4, 0)
    assert record["calls"]["lost_answers"] > 0


def test_concurrent_writers_with_lost_answers_learn_the_outcome_of_each_write(
    key_value, connect
):
    key_value.control(lose_answers=0.3)
    results = {}

    def increment(name):
        client = connect(key_value.address, timeout_ms=10_000.0)
        for attempt in range(10):
            old = client.get("/sum")
            count = 0 if isinstance(old, Absent) else int(old.value.split()[0])
            revision = 0 if isinstance(old, Absent) else old.revision
            token = f"{name}-{attempt}"
            value = f"{count + 1} {token}"
            results[value] = client.put_if("/sum", value, revision, token=token)

    writers = [eventlet.spawn(increment, f"w{number}") for number in range(8)]
    for writer in writers:
        writer.wait()
    history = {}
    for batch in connect(key_value.address).watch("/sum", 1):
        history.update((entry.value, entry.revision) for entry in batch.entries)
        if batch.revision == key_value.record()["revision"]:
            break
    # Each value is the previous one plus one: no write was executed twice.
    counts = [int(value.split()[0]) for value in history]
    assert counts == list(range(1, len(history) + 1))
    assert len(results) == 80
    for value, result in results.items():
        if isinstance(result, W):
            assert history[value] == result.revision
            continue
        assert isinstance(result, Conflict)
        assert result.in_doubt or value not in history


def test_value_without_its_token_violates_an_invariant(client):
    with pytest.raises(InvariantError):
        client.put_if("/a", "value", 0, token="t1")
