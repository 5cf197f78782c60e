"""Digests that are lost, late, doubled, malformed, or of a router that restarted."""

from __future__ import annotations

import math
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonsail_gateway.fleet_share import RouterCount
from lagoonsail_gateway.peer_digests import (
    FORGET_MS,
    MAX_PEERS_A_ROUND,
    Digest,
    PeerDigests,
    decode_digest,
)
from lagoonsail_gateway.prompt_reads import (
    MOST_READS,
    PromptRead,
    RecentReads,
    decode_read,
)
from lagoonsail_sharing.first_token import Prompt, SharedPart


def read(number):
    return PromptRead("s1", Prompt((SharedPart(number, 10),), 5))


@pytest.fixture
def peers(context):
    routers = RouterCount("r1")
    replaced, reads, ages = [], [], []

    def make(number, age_ms):
        ages.append(age_ms)
        return Digest("r1", 1, number)

    digests = PeerDigests(
        context,
        routers,
        make,
        lambda former, newest: replaced.append((former, newest)),
        reads.append,
    )
    return SimpleNamespace(
        digests=digests, routers=routers, replaced=replaced, reads=reads, ages=ages
    )


SENDER = ("127.0.0.1", 9)


def take(peers, **fields):
    fields["reads"] = [read.encode() for read in fields.get("reads", ())]
    peers.digests.take(Digest("r2", **fields).encode(), SENDER)


def newest(peers):
    peers.digests.send_round()
    return {name: digest for name, (_, digest) in peers.digests._heard.items()}


def test_digest_keeps_all_that_it_tells():
    digest = Digest(
        "r2",
        1 << 62,
        3,
        {"s": (1, 20)},
        {"a": (15, 5)},
        [read(1 << 62).encode()],
        9,
    )
    decoded = decode_digest(digest.encode())
    assert decode_read(decoded.reads[0]) == read(1 << 62)
    assert decoded.sums == {"a": (15, 5)}
    assert decoded.pending == digest.pending
    assert (decoded.incarnation, decoded.reads_count) == (1 << 62, 9)


def test_older_digest_changes_nothing(peers):
    take(peers, incarnation=1, number=5, sums={"a": (5, 0)})
    take(peers, incarnation=1, number=4, sums={"a": (4, 0)})
    assert newest(peers)["r2"].sums == {"a": (5, 0)}


def test_restarted_router_counts_anew(peers):
    take(peers, incarnation=1, number=50, sums={"a": (5, 0)})
    take(peers, incarnation=2, number=1)
    assert newest(peers)["r2"].sums == {}


def test_each_digest_is_told_with_the_one_that_it_replaces(peers, hand_clock):
    take(peers, incarnation=1, number=1, pending={"s": (1, 10)})
    take(peers, incarnation=1, number=2, pending={"s": (2, 30)})
    hand_clock.ms += FORGET_MS + 1.0
    newest(peers)
    told = [[d and d.pending["s"] for d in pair] for pair in peers.replaced]
    assert told == [[None, (1, 10)], [(1, 10), (2, 30)], [(2, 30), None]]


def test_silent_router_no_longer_counts(peers, hand_clock):
    take(peers, incarnation=1, number=1)
    hand_clock.ms += FORGET_MS + 1.0
    assert newest(peers) == {}


def test_prompts_are_taken_once_however_often_they_are_told(peers):
    first, second, third = read(1), read(2), read(3)
    take(peers, incarnation=1, number=1, reads=[first], reads_count=1)
    take(peers, incarnation=1, number=1, reads=[first], reads_count=1)
    # The second digest is lost; the third tells its prompt again.
    take(peers, incarnation=1, number=3, reads=[first, second, third], reads_count=3)
    assert peers.reads == [first, second, third]


def test_missed_prompts_are_asked_for_until_they_are_told(peers):
    reads = [read(number) for number in range(4)]
    take(peers, incarnation=1, number=1, reads=reads[:1], reads_count=1)
    # Two digests with the second prompt are lost.
    take(peers, incarnation=1, number=4, reads=reads[2:3], reads_count=3)
    assert peers.digests.wanted() == ["r2"]
    take(peers, incarnation=1, number=5, reads=reads[2:4], reads_count=4)
    assert peers.digests.wanted() == ["r2"]
    take(peers, incarnation=1, number=6, reads=reads, reads_count=4)
    assert peers.digests.wanted() == []
    assert peers.reads[-3:] == reads[1:]


def test_started_router_learns_all_that_the_others_remember(peers):
    reads = [read(number) for number in range(MOST_READS)]
    take(peers, incarnation=1, number=1, reads=reads[-1:], reads_count=500)
    assert peers.digests.wanted() == ["r2"]
    take(peers, incarnation=1, number=2, reads=reads, reads_count=500)
    assert peers.digests.wanted() == []
    assert set(peers.reads) == set(reads)


def test_router_that_missed_prompts_gets_all_at_once(peers):
    sent = []
    fd = SimpleNamespace(sendto=lambda data, flags, to: sent.append(to))
    peers.digests._sock = SimpleNamespace(fd=fd)
    take(peers, incarnation=1, number=1, wanted=["r7"])
    assert sent == []
    take(peers, incarnation=1, number=2, wanted=["r1"])
    assert sent == [SENDER]
    assert peers.ages == [math.inf]


def test_malformed_prompt_harms_no_other(peers):
    data = Digest("r2", 1, 1, reads=[b"x", 5, read(1).encode()], reads_count=3)
    peers.digests.take(data.encode(), SENDER)
    assert peers.reads == [read(1)]


def test_digests_of_a_round_tell_only_the_last_prompts(context, hand_clock):
    recent = RecentReads(context.clock)
    recent.add(read(1))
    hand_clock.ms += 300.0
    recent.add(read(2))
    assert recent.newest(250.0) == [read(2).encode()]
    assert recent.newest(math.inf) == [read(1).encode(), read(2).encode()]
    assert recent.count == 2


def test_digest_that_fails_does_not_end_the_hearing(peers):
    peers.digests._on_replaced = lambda former, newest: 1 / 0
    peers.digests._take_guarded(Digest("r2", 1, 1).encode(), SENDER)
    peers.digests._on_replaced = lambda former, newest: None
    peers.digests._take_guarded(Digest("r3", 1, 1).encode(), SENDER)
    assert "r3" in newest(peers)


def test_own_digest_is_left_out(peers):
    peers.digests.take(Digest("r1", 1, 1).encode(), SENDER)
    assert newest(peers) == {}


def test_rounds_reach_all_routers_in_turn(peers):
    peers.routers.update({f"p{n}": f"10.0.0.1:{7000 + n}" for n in range(30)})
    reached = []
    for _ in range(3):
        reached += [port for _, port in peers.digests._next_addresses()]
    assert len(reached) == 3 * MAX_PEERS_A_ROUND
    assert len(set(reached)) == 30


@given(st.binary(max_size=300))
def test_no_datagram_breaks_the_reader(data):
    decode_digest(data)
