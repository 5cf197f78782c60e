from __future__ import annotations

import itertools
import json

import pytest

from lagoonsail_store.entries import Entry, Listing

PREFIX = "/lagoonsail/"
KEY = "documents/cordero/registro"


def listing(revision, **values):
    entries = [
        Entry(f"{PREFIX}{key}", value, at, 0) for key, (at, value) in values.items()
    ]
    return Listing(revision, entries)


def test_record_is_replaced_only_by_a_higher_revision(configuration, make_document):
    changed_keys = []
    configuration.subscribe(changed_keys.append)
    new = make_document(more="[account este]\nshare = 1\nkey_sha256 = " + "0" * 64)
    assert configuration.apply(KEY, 5, new)
    assert not configuration.apply(KEY, 4, make_document())
    assert not configuration.apply(KEY, 5, make_document())
    assert "este" in configuration.documents["cordero/registro"].accounts
    assert changed_keys == [KEY]


def test_digest_does_not_depend_on_the_order_of_records(
    context, configuration, make_document, member_value
):
    records = [
        (KEY, 3, make_document()),
        (KEY, 6, ""),
        ("members/a", 4, member_value("a")),
        ("members/a", 5, member_value("a", lease=8)),
    ]
    digests = set()
    for order in itertools.permutations(records):
        other = type(configuration)(context)
        for record in order:
            other.apply(*record)
        assert other.documents == {}
        assert other.members["a"].lease == 8
        digests.add(other.digest)
    assert len(digests) == 1
    assert digests != {0}


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (KEY, "[service]\nside = cordero\n"),
        ("documents/cordero/other", None),
        ("members/a", "no JSON"),
        ("members/a", "[]"),
        ("members/other", '{"router": "a"}'),
        ("shards/cordero/registro@r", '{"owner": "a"}'),
        ("elsewhere/a", "x"),
    ],
)
def test_malformed_record_changes_nothing(configuration, make_document, key, value):
    configuration.apply(KEY, 1, make_document())
    digest = configuration.digest
    value = make_document() if value is None else value
    assert not configuration.apply(key, 9, value)
    assert configuration.digest == digest
    assert list(configuration.documents) == ["cordero/registro"]
    assert configuration.members == configuration.shards == {}


@pytest.mark.parametrize("name", ["epoch", "lease", "incarnation", "owner", "state"])
def test_record_with_a_field_of_another_type_changes_nothing(
    configuration, shard_value, name
):
    fields = json.loads(shard_value())
    fields[name] = [1]
    key = "shards/cordero/registro@sierra-central"
    assert not configuration.apply(key, 2, json.dumps(fields))
    assert configuration.shards == {}


def test_listing_deletes_missing_keys(configuration, make_document, member_value):
    configuration.apply(KEY, 2, make_document())
    configuration.apply("members/a", 3, member_value("a"))
    remaining = {"members/a": (3, member_value("a"))}
    assert configuration.apply_listing(PREFIX, listing(4, **remaining))
    assert configuration.documents == {}
    assert list(configuration.members) == ["a"]
    # The deletion has a revision, so an old copy from a peer cannot undo it.
    assert not configuration.apply(KEY, 2, make_document())


def test_stale_listing_changes_nothing(configuration, make_document):
    configuration.apply(KEY, 7, make_document())
    assert not configuration.apply_listing(PREFIX, listing(6))
    assert list(configuration.documents) == ["cordero/registro"]


def test_peer_gets_only_newer_records(configuration, member_value):
    configuration.apply("members/a", 3, member_value("a"))
    configuration.apply("members/b", 4, member_value("b"))
    offer = {"members/a": 3, "members/b": 2}
    newer = configuration.newer_than(offer)
    assert [(key, revision) for key, revision, _ in newer] == [("members/b", 4)]


def test_ownership_lapses_with_its_lease(configuration, shard_value, member_value):
    shard = "cordero/registro@sierra-central"
    configuration.apply(f"shards/{shard}", 2, shard_value("cordero-2", lease=7))
    record = configuration.shards[shard]
    assert configuration.is_lease_expired(record)
    configuration.apply("members/cordero-2", 3, member_value("cordero-2", lease=7))
    assert not configuration.is_lease_expired(record)
    assert configuration.owner_of(shard) == "cordero-2"
    configuration.apply("members/cordero-2", 4, member_value("cordero-2", lease=8))
    assert configuration.is_lease_expired(record)
    released = shard_value("cordero-2", state="released")
    configuration.apply(f"shards/{shard}", 5, released)
    assert configuration.owner_of(shard) == ""
