"""Where prompts go, by pattern of load."""

from __future__ import annotations

from collections import Counter

import pytest

from lagoonsail_sharing.first_token import (
    EngineLoad,
    PrefixCache,
    Prompt,
    SharedPart,
    choose_engine,
)

RATE = 50.0
"""Tokens that an engine reads in a millisecond."""


@pytest.fixture
def engines():
    def make(count, capacity=400_000):
        return [EngineLoad(f"e{n}", PrefixCache(capacity)) for n in range(count)]

    return make


def prompt_of(key, shared=13_000, own=3_000):
    return Prompt((SharedPart(key, shared),), own)


def choose(prompt, loads, is_allowed=lambda load: True):
    return choose_engine(prompt, loads, RATE, is_allowed)


def play(prompts, loads):
    """Send prompts one after the other, each read before the next; return rereads."""
    reread = 0
    seen = set()
    for prompt in prompts:
        load = choose(prompt, loads).load
        unread = load.cache.unread_tokens(prompt)
        if prompt.prefix in seen:
            reread += unread
        seen.add(prompt.prefix)
        load.cache.note_read(prompt)
    return reread


def test_many_prefixes_of_equal_use_are_read_once(engines):
    prompts = [prompt_of(1 + n % 90) for n in range(900)]
    assert play(prompts, engines(9)) == 0


def test_prefixes_spread_over_the_engines(engines):
    loads = engines(9)
    homes = Counter(choose(prompt_of(n), loads).load.engine_id for n in range(1, 500))
    assert len(homes) == 9
    assert max(homes.values()) < 2 * min(homes.values())


def test_routers_that_know_nothing_of_each_other_choose_alike(engines):
    first, second = engines(9), engines(9)
    for key in range(1, 100):
        prompt = prompt_of(key)
        chosen = choose(prompt, first).load.engine_id
        assert choose(prompt, list(reversed(second))).load.engine_id == chosen


def test_hot_prefix_gets_a_second_engine_when_the_first_is_busy(engines):
    loads = engines(3)
    prompt = prompt_of(7)
    home = choose(prompt, loads).load
    home.cache.note_read(prompt)
    home.pending_tokens = 10_000
    assert choose(prompt, loads).load is home
    home.others_pending_tokens = 40_000
    assert choose(prompt, loads).load is not home


def test_short_prompts_go_round_a_long_one(engines):
    loads = engines(3)
    prompt = prompt_of(7, shared=300, own=1_000)
    home = choose(prompt, loads).load
    home.pending_tokens = 40_000
    assert choose(prompt, loads).load is not home


def test_empty_newcomer_takes_only_what_it_does_not_read_again(engines):
    loads = engines(2)
    prompts = [prompt_of(key) for key in range(1, 30)]
    play(prompts, loads)
    newcomer = EngineLoad("new", PrefixCache(400_000))
    with_newcomer = [*loads, newcomer]
    assert all(choose(p, with_newcomer).load is not newcomer for p in prompts)
    fresh = [prompt_of(key) for key in range(100, 160)]
    assert any(choose(p, with_newcomer).load is newcomer for p in fresh)


def test_what_others_sent_counts_like_what_was_sent_here(engines):
    loads = engines(2)
    prompt = prompt_of(7)
    home = choose(prompt, loads).load
    other = next(load for load in loads if load is not home)
    other.cache.note_read(prompt)
    assert choose(prompt, loads).load is other


def test_part_behind_a_lost_part_is_read_again():
    cache = PrefixCache(100)
    chain = Prompt((SharedPart(1, 40), SharedPart(2, 40)), 0)
    assert cache.unread_tokens(chain) == 80
    cache.note_read(chain)
    assert cache.unread_tokens(Prompt((SharedPart(1, 40), SharedPart(3, 40)), 0)) == 40


def test_engine_that_may_not_get_a_request_is_left_out(engines):
    loads = engines(2)
    prompt = prompt_of(7)
    home = choose(prompt, loads).load
    assert choose(prompt, loads, lambda load: load is not home).load is not home
    assert choose(prompt, loads, lambda load: False) is None
