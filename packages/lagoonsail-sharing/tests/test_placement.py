from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonsail_sharing.baseline import choose_random_server
from lagoonsail_sharing.placement import (
    MAX_PASSED_OVER,
    Candidate,
    choose_request,
    choose_server,
)
from lagoonsail_sharing.prefix_index import PrefixIndex, prefix_hashes
from lagoonsail_sharing.waiting import WaitingRequest

PREFIXES = ([9], [1], [1, 2], [1, 2])
loads = st.lists(
    st.tuples(st.integers(1, 8), st.integers(0, 9)), min_size=0, max_size=8
)


@given(loads=loads, held=st.lists(st.integers(0, 7)))
@settings(derandomize=True, deadline=None)
def test_a_free_slot_is_always_found_and_a_full_server_never_taken(loads, held):
    index = PrefixIndex()
    for number in held:
        index.add(f"s{number}", [1, 2, 3])
    servers = [Candidate(f"s{n}", *load) for n, load in enumerate(loads)]
    free = {s.name for s in servers if s.running < s.limit}
    chosen = choose_server(servers, [1, 2, 3], index)
    assert chosen in free if free else chosen is None
    warm = {name for name in free if index.match(name, [1, 2, 3])}
    assert not warm or chosen in warm
    random = choose_random_server(servers, Random(1))
    assert random in free if free else random is None


def test_index_keeps_entries_across_a_gap_and_ignores_late_events():
    index = PrefixIndex()
    index.add("s", [1, 2])
    index.on_events("s", 5, stored=[3], removed=[])
    index.on_events("s", 5, stored=[], removed=[1])
    index.on_events("s", 4, stored=[], removed=[1])
    assert index.match("s", [1, 2, 3]) == 3
    index.on_events("s", 6, stored=[], removed=[2])
    assert index.match("s", [1, 2, 3]) == 1
    index.on_events("s", 8, stored=[9], removed=[])
    assert index.match("s", [1, 2]) == 1
    assert index.match("s", [9]) == 1
    assert index.gaps == 1


def test_free_slot_gets_the_request_whose_prefix_its_server_has_cached():
    index = PrefixIndex()
    index.add("s", [1, 2])
    requests = [
        WaitingRequest((n,), "a", 0.0, prefix) for n, prefix in enumerate(PREFIXES)
    ]
    assert choose_request(requests, "s", index).ticket == (2,)
    assert [request.passed_over for request in requests] == [1, 1, 0, 0]
    assert choose_request(requests, "other", index).ticket == (0,)


def test_request_is_passed_over_a_bounded_number_of_times():
    index = PrefixIndex()
    index.add("s", [1, 2])
    requests = [WaitingRequest((n,), "a", 0.0, [9]) for n in range(3)]
    for number in range(100):
        requests.append(WaitingRequest((3 + number,), "a", 0.0, [1, 2]))
        requests.remove(choose_request(requests, "s", index))
        assert all(request.passed_over <= MAX_PASSED_OVER for request in requests)
    assert all(request.prefix == [1, 2] for request in requests)


def test_index_is_bounded_and_keeps_short_prefixes():
    index = PrefixIndex(max_entries=100)
    for number in range(1000):
        index.add("s", [number * 10 + k for k in range(4)])
    assert len(index) == 100
    index.add("s", list(range(500)))
    assert len(index) == 100
    assert index.match("s", list(range(500))) == 100
    index.forget("s")
    assert len(index) == 0


def test_prompts_with_a_common_beginning_share_its_hashes():
    text = "".join(chr(97 + n % 26) for n in range(5000))
    hashes = prefix_hashes(text)
    assert hashes[:7] == prefix_hashes(text[: 7 * 256 + 100])
    changed = prefix_hashes("X" + text[1:])
    assert not set(hashes) & set(changed)
    assert len(prefix_hashes("y" * 10**6)) == 64
    assert prefix_hashes("\ud800" * 300)


@given(loads=loads, held=st.lists(st.tuples(st.integers(0, 7), st.integers(1, 3))))
@settings(derandomize=True, deadline=None)
def test_choice_is_the_least_by_prefix_held_and_load(loads, held):
    prefix = [1, 2, 3]
    index = PrefixIndex()
    for number, length in held:
        index.add(f"s{number}", prefix[:length])
    assert index.matches(prefix) == {
        f"s{n}": index.match(f"s{n}", prefix) for n in {n for n, _ in held}
    }
    servers = [Candidate(f"s{n}", *load) for n, load in enumerate(loads)]
    free = [s for s in servers if s.running < s.limit]
    ranks = {s.name: (-index.match(s.name, prefix), s.running / s.limit) for s in free}
    for usable in (set(ranks), {name for name in ranks if name > "s3"}):
        chosen = choose_server(servers, prefix, index, usable.__contains__)
        first = min(
            (rank for name, rank in ranks.items() if name in usable), default=None
        )
        assert ranks.get(chosen) == first


def test_new_prefixes_spread_evenly_over_equal_servers_that_may_be_chosen():
    servers = [Candidate(f"asistente-{n}", 8, 0) for n in range(42)]
    usable = {server.name for server in servers[1::2]}
    random, index = Random(1), PrefixIndex()
    chosen = Counter()
    for _ in range(4200):
        prefix = [random.getrandbits(64)]
        chosen[choose_server(servers, prefix, index, usable.__contains__)] += 1
    assert set(chosen) == usable
    assert min(chosen.values()) > 150 and max(chosen.values()) < 260
