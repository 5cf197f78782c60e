from __future__ import annotations

import json

import pytest

from lagoonsail_core.green import eventlet
from lagoonsail_core.messages import KeysWrite, KeysWritten
from lagoonsail_router.key_store import keys_prefix

SHARD = "cordero/registro@sierra-central"
EPOCH = 3
CHANGES = [[11, 101], [12, 0]]
NAME = f"{keys_prefix('/lagoonsail/', SHARD)}{EPOCH:012d}/{7:012d}"


def write(key_store, has_other_way=lambda: False):
    return key_store.write(SHARD, EPOCH, 7, CHANGES, has_other_way)


@pytest.fixture
def owner_stream(peers, configuration, shard_value):
    """Stream on which the shard's owner sends its requests to this router."""
    value = shard_value(owner="cordero-2", epoch=EPOCH)
    configuration.apply(f"shards/{SHARD}", 5, value)
    return peers.connect("cordero-2")


@pytest.fixture
def ask(key_store, peers, owner_stream, wait_until):
    """Has this router write for the owner; returns its answer."""

    def deliver(stream=owner_stream, **fields):
        fields = {"epoch": EPOCH, "number": 7, "changes": CHANGES, **fields}
        before = len(stream.sent)
        peers.deliver(stream, KeysWrite(nonce=1, shard=SHARD, **fields))
        wait_until(lambda: len(stream.sent) > before)
        return stream.sent[-1]

    return deliver


def test_write_that_a_peer_has_done_is_known(key_store, store, peers):
    store.down = True
    silent, able = peers.connect("cordero-2"), peers.connect("cordero-3")
    able.on_send = lambda asked: peers.deliver(able, KeysWritten(asked.nonce, 40, ""))
    assert write(key_store).revision == 40
    assert able.sent[0].changes == CHANGES
    # From now on only this peer is asked, without waiting for the service.
    store.put_if = None
    assert write(key_store).revision == 40
    assert (len(silent.sent), len(able.sent)) == (1, 2)


@pytest.mark.parametrize("answer", ["unable", "late", "none"])
def test_write_that_no_peer_is_known_to_have_done_is_not_known(
    key_store, store, peers, time, answer
):
    store.down = True
    peer = peers.connect("cordero-2")

    def reply(asked):
        if answer == "unable":
            peers.deliver(peer, KeysWritten(asked.nonce, 0, "away"))
        elif answer == "late":
            eventlet.spawn_after(0.01, time.advance_ms, 10_000.0)
            late = KeysWritten(asked.nonce, 40, "")
            eventlet.spawn_after(0.05, peers.deliver, peer, late)
        else:
            eventlet.spawn_after(0.01, time.advance_ms, 10_000.0)

    peer.on_send = reply
    assert not write(key_store)
    eventlet.sleep(0.06)
    assert not write(key_store)


def test_no_peer_is_waited_for_once_there_is_another_way(key_store, store, peers):
    store.down = True
    peer = peers.connect("cordero-2")
    assert not write(key_store, lambda: bool(peer.sent))
    assert not write(key_store, lambda: True)
    assert len(peer.sent) == 1


def test_service_is_used_again_after_it_answered_a_probe(key_store, store, wait_until):
    store.down = True
    assert not write(key_store)
    store.down = False
    assert not write(key_store)
    assert store.writes == []
    wait_until(lambda: not key_store.is_unavailable)
    assert write(key_store)
    assert store.writes == [(NAME, json.dumps(CHANGES))]


def test_peer_writes_for_the_owner_once_however_often_it_is_asked(ask, store):
    answers = [ask(), ask()]
    assert [answer.revision for answer in answers] == [store.revision] * 2
    assert store.writes == [(NAME, json.dumps(CHANGES))]
    # Another write under the same name would hide the first one.
    assert ask(changes=[[11, 0]]).revision == 0
    assert store.entries[NAME].value == json.dumps(CHANGES)


def test_peer_writes_for_nobody_but_the_newest_owner(
    ask, peers, configuration, shard_value, store
):
    assert ask(stream=peers.connect("cordero-3")).revision == 0
    assert ask(stream=peers.connect("cordero-2", incarnation=2)).revision == 0
    assert ask(epoch=EPOCH - 1).revision == 0
    assert ask(epoch=EPOCH + 1).revision == 0
    assert ask(changes=[[11, "101"]]).revision == 0
    for state, epoch in (("released", EPOCH), ("owned", EPOCH + 1)):
        value = shard_value(owner="cordero-2", epoch=epoch, state=state)
        configuration.apply(f"shards/{SHARD}", 5 + epoch, value)
        assert ask().revision == 0
    assert store.writes == []


def test_peer_that_does_not_reach_the_service_says_so_at_once(ask, key_store, store):
    store.down = True
    assert ask().revision == 0
    assert key_store.is_unavailable
    store.put_if = None
    assert "reach" in ask().reason
