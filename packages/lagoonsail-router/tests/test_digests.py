from __future__ import annotations

import pytest

from lagoonsail_config.settings import load_settings
from lagoonsail_core.messages import ServiceDigest
from lagoonsail_lab.bare_router import SETTINGS
from lagoonsail_router.daemon import Daemon
from lagoonsail_router.digests import SIBLINGS_AT_ONCE, DigestStore, choose_in_turn
from lagoonsail_router.shard_owner import ShardOwner
from lagoonsail_sharing.waiting import Waiting

NEAR, FAR = "cordero/registro@sierra-central", "cordero/registro@luzon"
FAR_SERVER = """\
[server s3]
address = 127.0.0.1:9003
failure_domain = puyo
slots = 2
region = luzon
"""


@pytest.fixture
def heard():
    """What the store passed on, as it was at that moment."""
    return []


@pytest.fixture
def digests(peers, heard):
    return DigestStore(peers, lambda d: heard.append((d.epoch, dict(d.service))))


@pytest.fixture
def deliver(digests, peers, make_stream):
    """Deliver a digest with service of some accounts."""

    def deliver_digest(epoch, sequence, **service):
        digest = ServiceDigest(FAR, epoch, sequence, service, dict(service), {})
        peers.deliver(make_stream("kalapati-1"), digest)

    return deliver_digest


@pytest.fixture
def own(tmp_path, make_document, monkeypatch):
    """Own a shard, at a router that knows a service with a shard in two regions."""
    monkeypatch.setattr(ShardOwner, "poll", lambda owner: None)
    path = tmp_path / "router.ini"
    path.write_text(SETTINGS.format(name="cordero-1"))
    daemon = Daemon(load_settings(path))
    document = make_document(more=FAR_SERVER)
    daemon.configuration.apply("documents/cordero/registro", 1, document)

    def make(shard, epoch):
        owner = daemon._shard_messages.make_owner(shard, epoch)
        daemon.ownership.owned[shard] = owner
        return owner

    return make


def test_changes_are_passed_on_with_all_that_is_known(deliver, heard):
    deliver(1, 1, norte=5.0, sur=7.0)
    deliver(1, 2, norte=6.0)
    assert heard == [(1, {"norte": 5.0, "sur": 7.0}), (1, {"norte": 6.0, "sur": 7.0})]


def test_late_digests_change_nothing(deliver, heard, digests):
    deliver(2, 4, norte=5.0)
    for epoch, sequence in ((2, 4), (2, 3), (1, 9)):
        deliver(epoch, sequence, norte=9.0)
    assert heard == [(2, {"norte": 5.0})]
    assert digests.find(FAR).service == {"norte": 5.0}


def test_what_a_new_owner_does_not_know_is_forgotten(deliver, heard, digests):
    deliver(1, 9, norte=5.0, sur=7.0)
    deliver(2, 1, norte=0.0)
    assert heard[-1] == (2, {"norte": 0.0})
    assert digests.find(FAR).service == {"norte": 0.0}


def run(owner, number, cost):
    """Let a request of an account run at an owner."""
    owner.queue.start(Waiting(("test", number), "norte", cost), number)
    owner.queue.settle(number, cost)


def test_shards_of_one_owner_hear_of_each_other(own, wait_until):
    near, far = own(NEAR, 1), own(FAR, 1)
    far.send_digests()
    wait_until(lambda: near.queue.positions() == {"norte": 0.0, "sur": 0.0})
    run(far, 1, 10.0)
    far.send_digests()
    wait_until(lambda: near.queue.positions() == {"norte": 5.0, "sur": 0.0})


def test_owner_that_owns_its_shard_once_more_goes_on_from_its_sums(own, wait_until):
    owner = own(NEAR, 1)
    run(owner, 1, 10.0)
    owner.send_digests()
    wait_until(lambda: own(NEAR, 3).queue.service() == {"norte": 5.0, "sur": 0.0})


@pytest.mark.parametrize("count", range(12))
def test_each_owner_of_another_shard_has_its_turn(count):
    names = {f"kalapati-{number}" for number in range(count)}
    turns = -(-count // SIBLINGS_AT_ONCE)
    for first in range(20):
        chosen = [choose_in_turn(names, first + turn) for turn in range(turns)]
        assert set().union(*chosen) == names
        assert all(len(set(t)) == min(count, SIBLINGS_AT_ONCE) for t in chosen)
