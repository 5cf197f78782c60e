"""Lost, late, duplicate and malformed digests, and digests of a restarted router."""

from __future__ import annotations

import math
import zlib
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonsail_gateway.crash_check import CrashCheck
from lagoonsail_gateway.digest import (
    COMPRESSED_MARK,
    DOMAIN_SUM,
    MAX_DECODED_BYTES,
    REPORT,
    Digest,
    decode_digest,
)
from lagoonsail_gateway.fleet_share import FleetMembers
from lagoonsail_gateway.peer_digests import (
    DIGEST_EXPIRY_MS,
    MAX_DIRECT_PEERS,
    PeerDigests,
)
from lagoonsail_gateway.sent_prompts import (
    MAX_RECENT_PROMPTS,
    RecentPrompts,
    SentPrompt,
    decode_sent_prompt,
)
from lagoonsail_sharing.crash_suspects import CrashSuspects
from lagoonsail_sharing.first_token import Prompt, SharedPart


def make_prompt(number):
    return SentPrompt("s1", Prompt((SharedPart(number, 10),), 5))


@pytest.fixture
def peers(context):
    routers = FleetMembers("r1")
    replaced, prompts = [], []
    own_prompts = RecentPrompts(context.clock)
    digests = PeerDigests(
        context,
        routers,
        "north",
        own_prompts,
        CrashCheck(context, CrashSuspects(context.clock)),
        lambda number, _age_ms: Digest("r1", 1, number),
        lambda previous, newest: replaced.append((previous, newest)),
        prompts.append,
    )
    return SimpleNamespace(
        digests=digests,
        routers=routers,
        replaced=replaced,
        prompts=prompts,
        own_prompts=own_prompts,
        missed=lambda: digests._inbox.missed(REPORT),
    )


SENDER = ("127.0.0.1", 9)


def receive(peers, **fields):
    fields["prompts"] = [prompt.encode() for prompt in fields.get("prompts", ())]
    peers.digests.handle_datagram(Digest("r2", **fields).encode(), SENDER)


def newest(peers):
    peers.digests.send_round()
    return {name: digest for name, (_, digest) in peers.digests._latest.items()}


def test_digest_keeps_all_that_it_tells():
    digest = Digest(
        "r2",
        1 << 62,
        3,
        {"s": (1, 20)},
        {"a": (15, 5)},
        [make_prompt(1 << 62).encode()],
        9,
    )
    decoded = decode_digest(digest.encode())
    assert decode_sent_prompt(decoded.prompts[0]) == make_prompt(1 << 62)
    assert decoded.sums == {"a": (15, 5)}
    assert decoded.pending == digest.pending
    assert (decoded.incarnation, decoded.prompt_count) == (1 << 62, 9)


def test_older_digest_changes_nothing(peers):
    receive(peers, incarnation=1, number=5, sums={"a": (5, 0)})
    receive(peers, incarnation=1, number=4, sums={"a": (4, 0)})
    assert newest(peers)["r2"].sums == {"a": (5, 0)}


def test_restarted_router_counts_anew(peers):
    receive(peers, incarnation=1, number=50, sums={"a": (5, 0)})
    receive(peers, incarnation=2, number=1)
    assert newest(peers)["r2"].sums == {}


def test_router_restarted_with_its_clock_set_back_is_heard_again(peers, manual_clock):
    """Incarnations come from the time of day, which may jump back."""
    receive(peers, incarnation=5, number=9, sums={"a": (5, 0)})
    receive(peers, incarnation=4, number=1, sums={"a": (1, 0)})
    assert newest(peers)["r2"].sums == {"a": (5, 0)}
    manual_clock.ms += DIGEST_EXPIRY_MS + 1.0
    newest(peers)
    receive(peers, incarnation=4, number=2, sums={"a": (2, 0)})
    assert newest(peers)["r2"].sums == {"a": (2, 0)}


def test_each_digest_is_told_with_the_one_that_it_replaces(peers, manual_clock):
    receive(peers, incarnation=1, number=1, pending={"s": (1, 10)})
    receive(peers, incarnation=1, number=2, pending={"s": (2, 30)})
    manual_clock.ms += DIGEST_EXPIRY_MS + 1.0
    newest(peers)
    pairs = [[d and d.pending["s"] for d in pair] for pair in peers.replaced]
    assert pairs == [[None, (1, 10)], [(1, 10), (2, 30)], [(2, 30), None]]


def test_silent_router_no_longer_counts(peers, manual_clock):
    receive(peers, incarnation=1, number=1)
    manual_clock.ms += DIGEST_EXPIRY_MS + 1.0
    assert newest(peers) == {}


def test_prompts_are_taken_once_however_often_they_are_told(peers):
    first, second, third = make_prompt(1), make_prompt(2), make_prompt(3)
    receive(peers, incarnation=1, number=1, prompts=[first], prompt_count=1)
    receive(peers, incarnation=1, number=1, prompts=[first], prompt_count=1)
    # The second digest is lost; the third repeats its prompt.
    receive(
        peers, incarnation=1, number=3, prompts=[first, second, third], prompt_count=3
    )
    assert peers.prompts == [first, second, third]


def test_missed_prompts_are_asked_for_until_they_are_told(peers):
    prompts = [make_prompt(number) for number in range(4)]
    receive(peers, incarnation=1, number=1, prompts=prompts[:1], prompt_count=1)
    # Two digests with the second prompt are lost.
    receive(peers, incarnation=1, number=4, prompts=prompts[2:3], prompt_count=3)
    assert peers.missed() == ["r2"]
    receive(peers, incarnation=1, number=5, prompts=prompts[2:4], prompt_count=4)
    assert peers.missed() == ["r2"]
    receive(peers, incarnation=1, number=6, prompts=prompts, prompt_count=4)
    assert peers.missed() == []
    assert peers.prompts[-3:] == prompts[1:]


def test_started_router_learns_all_that_the_others_remember(peers):
    prompts = [make_prompt(number) for number in range(MAX_RECENT_PROMPTS)]
    receive(peers, incarnation=1, number=1, prompts=prompts[-1:], prompt_count=500)
    assert peers.missed() == ["r2"]
    receive(peers, incarnation=1, number=2, prompts=prompts, prompt_count=500)
    assert peers.missed() == []
    assert set(peers.prompts) == set(prompts)


def test_router_that_missed_prompts_gets_all_at_once(peers, manual_clock):
    sent = []
    fd = SimpleNamespace(sendto=lambda data, flags, to: sent.append((data, to)))
    peers.digests._sock = SimpleNamespace(fd=fd)
    peers.own_prompts.add(make_prompt(1).encode())
    manual_clock.ms += 10_000.0
    receive(peers, incarnation=1, number=1, resync_peers=["r7"])
    assert sent == []
    receive(peers, incarnation=1, number=2, resync_peers=["r1"])
    [(data, recipient)] = sent
    assert recipient == SENDER
    assert decode_digest(data).prompts == [make_prompt(1).encode()]


def test_malformed_prompt_harms_no_other(peers):
    data = Digest(
        "r2", 1, 1, prompts=[b"x", 5, make_prompt(1).encode()], prompt_count=3
    )
    peers.digests.handle_datagram(data.encode(), SENDER)
    assert peers.prompts == [make_prompt(1)]


def test_digests_of_a_round_tell_only_the_last_prompts(context, manual_clock):
    recent = RecentPrompts(context.clock)
    recent.add(make_prompt(1).encode())
    manual_clock.ms += 300.0
    recent.add(make_prompt(2).encode())
    assert recent.encoded_within(250.0) == [make_prompt(2).encode()]
    assert recent.encoded_within(math.inf) == [
        make_prompt(1).encode(),
        make_prompt(2).encode(),
    ]
    assert recent.count == 2


def test_digest_that_fails_does_not_end_the_hearing(peers):
    peers.digests._on_replaced = lambda previous, newest: 1 / 0
    peers.digests._handle_datagram_safely(Digest("r2", 1, 1).encode(), SENDER)
    peers.digests._on_replaced = lambda previous, newest: None
    peers.digests._handle_datagram_safely(Digest("r3", 1, 1).encode(), SENDER)
    assert "r3" in newest(peers)


def test_own_digest_is_left_out(peers):
    peers.digests.handle_datagram(Digest("r1", 1, 1).encode(), SENDER)
    assert newest(peers) == {}


def test_small_fleet_reports_to_all_in_each_round(peers):
    recipients = []
    fd = SimpleNamespace(sendto=lambda data, flags, to: recipients.append(to))
    peers.digests._sock = SimpleNamespace(fd=fd)
    count = MAX_DIRECT_PEERS
    peers.routers.update({f"p{n}": f"10.0.0.1:{7000 + n} north" for n in range(count)})
    peers.digests.send_round()
    assert sorted(port for _, port in recipients) == [7000 + n for n in range(count)]


@given(st.binary(max_size=300))
def test_no_datagram_breaks_the_reader(data):
    decode_digest(data)


def test_sums_between_failure_domains_are_short():
    """Bytes between failure domains, which sums of large fleets are a large part of."""
    counts = {f"speed/i-{n:010x}": (n, 7 * n, 0, 3, 40, 2, 9, n) for n in range(70)}
    fields = {"router": "r2", "incarnation": 1, "number": 2, "counts": counts}
    digest = Digest(**fields, kind=DOMAIN_SUM)
    assert decode_digest(digest.encode()) == digest
    assert len(digest.encode()) < 0.6 * len(Digest(**fields).encode())


def test_datagram_that_decompresses_to_too_much_is_malformed(peers):
    """A datagram that would fill the memory of the router."""
    bomb = zlib.compress(bytes(100 * MAX_DECODED_BYTES))
    assert len(bomb) < 200_000
    peers.digests.handle_datagram(bomb, SENDER)
    assert peers.replaced == []


@given(st.binary(max_size=200))
def test_compressed_garbage_is_no_digest(data):
    assert decode_digest(COMPRESSED_MARK + data) is None
    assert decode_digest(zlib.compress(data)) is None
