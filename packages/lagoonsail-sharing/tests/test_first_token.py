"""Choice of engine under different patterns of load."""

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

TOKENS_PER_MS = 50.0
"""Prefill rate of an engine in tokens per millisecond."""


@pytest.fixture
def engines():
    def make(count, capacity=400_000):
        return [EngineLoad(f"e{n}", PrefixCache(capacity)) for n in range(count)]

    return make


def prompt_of(key, shared=13_000, own=3_000):
    return Prompt((SharedPart(key, shared),), own)


OBJECTIVE_MS = 800.0
"""Time within which a first token should arrive."""


def choose(prompt, loads, is_allowed=lambda load: True):
    return choose_engine(prompt, loads, is_allowed, OBJECTIVE_MS)


def send_all(prompts, loads):
    """Send prompts one at a time; return the tokens of known prefixes read again."""
    reread_tokens = 0
    seen = set()
    for prompt in prompts:
        load = choose(prompt, loads).load
        unread = load.cache.unread_tokens(prompt)
        if prompt.prefix in seen:
            reread_tokens += unread
        seen.add(prompt.prefix)
        load.cache.record_prefill(prompt)
    return reread_tokens


def test_many_prefixes_of_equal_popularity_are_read_once(engines):
    prompts = [prompt_of(1 + n % 90) for n in range(900)]
    assert send_all(prompts, engines(9)) == 0


def test_prefixes_spread_over_the_engines(engines):
    loads = engines(9)
    homes = Counter(choose(prompt_of(n), loads).load.engine_id for n in range(1, 500))
    assert len(homes) == 9
    assert max(homes.values()) < 2 * min(homes.values())


def test_routers_without_knowledge_of_each_other_choose_the_same_engine(engines):
    first, second = engines(9), engines(9)
    for key in range(1, 100):
        prompt = prompt_of(key)
        chosen = choose(prompt, first).load.engine_id
        assert choose(prompt, list(reversed(second))).load.engine_id == chosen


def test_hot_prefix_gets_a_second_engine_when_the_first_is_busy(engines):
    loads = engines(3)
    prompt = prompt_of(7)
    home = choose(prompt, loads).load
    home.cache.record_prefill(prompt)
    home.pending_tokens = 10_000
    assert choose(prompt, loads).load is home
    home.others_pending_tokens = 40_000
    assert choose(prompt, loads).load is not home


def test_cached_prompt_waits_for_its_engine_while_its_first_token_is_early(engines):
    """Unequal queues on a calm day: one very long prompt at the home of others."""
    loads = engines(3)
    prompt = prompt_of(7, shared=5_000, own=2_000)
    home = choose(prompt, loads).load
    home.cache.record_prefill(prompt)
    home.pending_tokens = TOKENS_PER_MS * 0.4 * OBJECTIVE_MS
    assert choose(prompt, loads).load is home
    home.pending_tokens = TOKENS_PER_MS * OBJECTIVE_MS
    assert choose(prompt, loads).load is not home


def test_unshared_prompts_go_where_they_are_read_first(engines):
    loads = engines(3)
    for load, waiting in zip(loads, (9_000, 3_000, 15_000), strict=True):
        load.pending_tokens = waiting
    for own in (100, 5_000, 40_000):
        assert choose(Prompt((), own), loads).load is loads[1]


def test_restarted_router_finds_most_prompts_at_their_homes(engines):
    """All routers restart after uneven load; engines keep their caches."""
    loads = engines(5, capacity=2_000_000)
    prompts = [prompt_of(1 + n % 60, shared=5_000, own=2_000) for n in range(1200)]
    for number, prompt in enumerate(prompts):
        loads[number // 8 % 5].pending_tokens = 9_000 * (number % 3)
        choose(prompt, loads).load.cache.record_prefill(prompt)
    found = 0
    for prompt in prompts[:60]:
        chosen = choose(prompt, engines(5)).load.engine_id
        load = next(load for load in loads if load.engine_id == chosen)
        found += not load.cache.unread_tokens(prompt)
    assert found >= 0.8 * 60


def test_short_prompts_avoid_an_engine_busy_with_a_long_one(engines):
    loads = engines(3)
    prompt = prompt_of(7, shared=300, own=1_000)
    home = choose(prompt, loads).load
    home.pending_tokens = 40_000
    assert choose(prompt, loads).load is not home


def test_new_engine_gets_only_prompts_that_are_cached_nowhere(engines):
    loads = engines(2)
    prompts = [prompt_of(key) for key in range(1, 30)]
    send_all(prompts, loads)
    new_engine = EngineLoad("new", PrefixCache(400_000))
    all_engines = [*loads, new_engine]
    assert all(choose(p, all_engines).load is not new_engine for p in prompts)
    new_prompts = [prompt_of(key) for key in range(100, 160)]
    assert any(choose(p, all_engines).load is new_engine for p in new_prompts)


def test_prompt_read_on_another_engine_goes_there_instead_of_its_home(engines):
    loads = engines(2)
    prompt = prompt_of(7)
    home = choose(prompt, loads).load
    other = next(load for load in loads if load is not home)
    other.cache.record_prefill(prompt)
    assert choose(prompt, loads).load is other


def test_part_after_a_missing_part_is_unread():
    cache = PrefixCache(100)
    chain = Prompt((SharedPart(1, 40), SharedPart(2, 40)), 0)
    assert cache.unread_tokens(chain) == 80
    cache.record_prefill(chain)
    assert cache.unread_tokens(Prompt((SharedPart(1, 40), SharedPart(3, 40)), 0)) == 40


def test_engine_that_is_not_allowed_is_not_chosen(engines):
    loads = engines(2)
    prompt = prompt_of(7)
    home = choose(prompt, loads).load
    assert choose(prompt, loads, lambda load: load is not home).load is not home
    assert choose(prompt, loads, lambda load: False) is None


def test_queue_counts_at_the_speed_of_its_engine(engines):
    """Servers of unequal speed: the same queue takes longer at the slower one."""
    slow, usual = engines(2)
    slow.tokens_per_ms = 0.4 * TOKENS_PER_MS
    slow.pending_tokens, usual.pending_tokens = 15_000, 20_000
    assert choose(Prompt((), 5_000), [slow, usual]).load is usual
    assert slow.queue_ms() > usual.queue_ms()


def test_engine_that_slows_down_for_a_moment_loses_a_cached_prompt(engines):
    loads = engines(3)
    prompt = prompt_of(7, shared=2_000, own=12_000)
    home = choose(prompt, loads).load
    home.cache.record_prefill(prompt)
    home.tokens_per_ms = TOKENS_PER_MS / 2
    assert choose(prompt, loads).load is home
    home.tokens_per_ms = TOKENS_PER_MS / 4
    assert choose(prompt, loads).load is not home


def test_engine_whose_memory_is_full_is_left_to_others(engines):
    """Full memory: engines reject a request, or crash, if it does not fit."""
    loads = engines(3)
    prompt = prompt_of(7)
    home = choose(prompt, loads).load
    home.held_tokens = 150_000
    assert choose(prompt, loads).load is home
    home.others_held_tokens = 240_000
    assert choose(prompt, loads).load is not home


def test_engine_without_a_free_slot_is_left_to_others(engines):
    loads = engines(3)
    for load in loads:
        load.slots = 8
    prompt = prompt_of(7)
    home = choose(prompt, loads).load
    home.others_running = 7
    assert choose(prompt, loads).load is home
    home.others_running = 9
    assert choose(prompt, loads).load is not home


def test_engine_that_refuses_requests_is_left_to_others_for_a_moment(engines):
    """Guards against one refusal after the other at the engine of a prefix."""
    loads = engines(3)
    prompt = prompt_of(7, shared=2_000)
    home = choose(prompt, loads).load
    home.cache.record_prefill(prompt)
    home.refusals = 1.0
    assert choose(prompt, loads).load is not home
    home.refusals = 0.2
    assert choose(prompt, loads).load is home


def test_overload_is_spread_over_engines_that_are_nearly_equal(engines):
    """All routers read the same stale loads, and every engine is late."""
    loads = engines(9)
    for number, load in enumerate(loads):
        load.pending_tokens = 60_000 + 400 * number
    chosen = {choose(prompt_of(n), loads).load.engine_id for n in range(1, 60)}
    assert len(chosen) >= 6


def test_prompts_without_a_prefix_spread_over_equal_engines(engines):
    """All routers read the same loads, and none of the engines is a home."""
    loads = engines(5)
    counts = Counter(choose(Prompt((), 800), loads).load.engine_id for _ in range(500))
    assert min(counts.values()) > 60


def in_domains(loads, domains="abc"):
    for number, load in enumerate(loads):
        load.failure_domain = domains[number % len(domains)]
    return loads


def choose_near(prompt, loads, domain, is_hot=False):
    return choose_engine(
        prompt, loads, lambda load: True, OBJECTIVE_MS, domain, is_hot
    ).load


def test_own_domain_is_chosen_where_the_delay_is_equal(engines):
    loads = in_domains(engines(9))
    chosen = {choose_near(Prompt((), 800), loads, "b").engine_id for _ in range(50)}
    assert chosen == {"e1", "e4", "e7"}
    for load in loads[1::3]:
        load.pending_tokens = 20_000
    assert choose_near(Prompt((), 800), loads, "b").failure_domain != "b"


def test_prefix_that_is_used_little_stays_at_its_home_for_all_domains(engines):
    loads = in_domains(engines(9))
    home = choose_near(prompt_of(7), loads, "a")
    home.cache.record_prefill(prompt_of(7))
    assert {choose_near(prompt_of(7), loads, d).engine_id for d in "abc"} == {
        home.engine_id
    }


def test_hot_prefix_gets_one_copy_in_each_domain(engines):
    """Bytes between failure domains, for a prefix that many requests begin with."""
    loads = in_domains(engines(9))
    prompt = prompt_of(7)
    choose_near(prompt, loads, "a").cache.record_prefill(prompt)
    for domain in "abc" * 5:
        load = choose_near(prompt, loads, domain, is_hot=True)
        assert load.failure_domain == domain
        load.cache.record_prefill(prompt)
    copies = [load for load in loads if not load.cache.unread_tokens(prompt)]
    assert len(copies) == 3


def test_hot_prefix_gets_no_copy_at_a_busy_engine(engines):
    loads = in_domains(engines(9))
    prompt = prompt_of(7)
    home = choose_near(prompt, loads, "a")
    home.cache.record_prefill(prompt)
    other = "b" if home.failure_domain != "b" else "c"
    for load in loads:
        if load.failure_domain == other:
            load.pending_tokens = 25_000
    assert choose_near(prompt, loads, other, is_hot=True) is home


def test_prefixes_of_lost_engines_get_the_same_new_homes_at_all_routers(engines):
    """Servers lost: routers that have and have not seen their caches agree."""
    first, second = engines(9), engines(9)
    prompts = [prompt_of(key) for key in range(1, 60)]
    for prompt in prompts:
        choose(prompt, first).load.cache.record_prefill(prompt)
    lost = {"e0", "e1", "e2"}
    homes = Counter()
    for prompt in prompts:
        choice = choose(prompt, first, lambda load: load.engine_id not in lost)
        again = choose(prompt, second, lambda load: load.engine_id not in lost)
        assert choice.load.engine_id == again.load.engine_id
        # Nobody has it any more, so the delay has no part for recomputing it.
        assert choice.delay_ms == 0.0
        homes[choice.load.engine_id] += 1
    assert len(homes) == 6
