from __future__ import annotations

import pytest

from lagoonsail_config.settings import load_settings
from lagoonsail_core.messages import ServiceDigest
from lagoonsail_lab.bare_router import SETTINGS
from lagoonsail_router.daemon import Daemon
from lagoonsail_router.digests import (
    SIBLINGS_PER_ROUND,
    DigestStore,
    choose_round_robin,
)
from lagoonsail_router.shard_owner import ShardOwner
from lagoonsail_sharing.waiting import WaitingRequest

NEAR, FAR = "cordero/registro@sierra-central", "cordero/registro@luzon"
FAR_SERVER = """\
[server s3]
address = 127.0.0.1:9003
failure_domain = puyo
slots = 2
region = luzon
"""


@pytest.fixture
def passed_on():
    """Epoch and service of each state that the store passed on, copied at that time."""
    return []


@pytest.fixture
def digests(peers, passed_on):
    return DigestStore(peers, lambda d: passed_on.append((d.epoch, dict(d.service))))


@pytest.fixture
def deliver(digests, peers, make_stream):
    """Deliver a digest with the service of some accounts."""

    def deliver_digest(epoch, sequence, **service):
        digest = ServiceDigest(FAR, epoch, sequence, service, dict(service), {})
        peers.deliver(make_stream("kalapati-1"), digest)

    return deliver_digest


@pytest.fixture
def own(tmp_path, make_document, monkeypatch):
    """Make a router own a shard of a service with one shard in each of two regions."""
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


def test_complete_state_is_passed_on_after_each_change(deliver, passed_on):
    deliver(1, 1, norte=5.0, sur=7.0)
    deliver(1, 2, norte=6.0)
    assert passed_on == [
        (1, {"norte": 5.0, "sur": 7.0}),
        (1, {"norte": 6.0, "sur": 7.0}),
    ]


def test_outdated_digests_are_ignored(deliver, passed_on, digests):
    deliver(2, 4, norte=5.0)
    for epoch, sequence in ((2, 4), (2, 3), (1, 9)):
        deliver(epoch, sequence, norte=9.0)
    assert passed_on == [(2, {"norte": 5.0})]
    assert digests.find(FAR).service == {"norte": 5.0}


def test_state_unknown_to_a_new_owner_is_dropped(deliver, passed_on, digests):
    deliver(1, 9, norte=5.0, sur=7.0)
    deliver(2, 1, norte=0.0)
    assert passed_on[-1] == (2, {"norte": 0.0})
    assert digests.find(FAR).service == {"norte": 0.0}


def run(owner, number, cost):
    """Run a request of account norte at an owner."""
    owner.queue.start(WaitingRequest(("test", number), "norte", cost), number)
    owner.queue.settle(number, cost)


def test_shards_of_one_owner_get_each_others_digests(own, wait_until):
    near, far = own(NEAR, 1), own(FAR, 1)
    far.send_digests()
    wait_until(lambda: near.queue.positions() == {"norte": 0.0, "sur": 0.0})
    run(far, 1, 10.0)
    far.send_digests()
    wait_until(lambda: near.queue.positions() == {"norte": 5.0, "sur": 0.0})


def test_router_that_owns_a_shard_again_resumes_from_its_service_totals(
    own, wait_until
):
    owner = own(NEAR, 1)
    run(owner, 1, 10.0)
    owner.send_digests()
    wait_until(lambda: own(NEAR, 3).queue.service() == {"norte": 5.0, "sur": 0.0})


@pytest.mark.parametrize("count", range(12))
def test_each_owner_of_another_shard_is_chosen_in_turn(count):
    names = {f"kalapati-{number}" for number in range(count)}
    rounds = -(-count // SIBLINGS_PER_ROUND)
    for first in range(20):
        chosen = [choose_round_robin(names, first + number) for number in range(rounds)]
        assert set().union(*chosen) == names
        assert all(len(set(t)) == min(count, SIBLINGS_PER_ROUND) for t in chosen)
