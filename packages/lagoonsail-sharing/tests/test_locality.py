"""Bytes between failure domains: where requests of one domain are served.

Guards against prefixes that are read in a domain where nobody asks for them, and
against a domain that keeps requests which others could answer sooner.
"""

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

OBJECTIVE_MS = 800.0
"""Time within which a first token should arrive."""


@pytest.fixture
def loads():
    """Three failure domains of eight engines."""
    return make_loads()


def make_loads(per_domain=8):
    return [
        EngineLoad(f"{domain}{n}", PrefixCache(400_000), failure_domain=domain)
        for domain in "abc"
        for n in range(per_domain)
    ]


def prompt_of(key, shared=13_000, own=3_000):
    return Prompt((SharedPart(key, shared),), own)


def choose(prompt, loads, domain):
    return choose_engine(prompt, loads, lambda _: True, OBJECTIVE_MS, domain).load


def test_prefix_that_is_in_no_cache_is_read_in_the_own_domain(loads):
    for key in range(1, 40):
        assert choose(prompt_of(key), loads, "b").failure_domain == "b"


def test_prefix_that_was_read_elsewhere_is_not_read_again(loads):
    for key in range(1, 40):
        home = choose(prompt_of(key), loads, "a")
        home.cache.record_prefill(prompt_of(key))
        assert choose(prompt_of(key), loads, "c") is home


def test_short_part_that_was_read_elsewhere_is_read_in_the_own_domain(loads):
    for key in range(1, 40):
        short = prompt_of(key, shared=350, own=1_100)
        choose(short, loads, "a").cache.record_prefill(short)
        assert choose(short, loads, "c").failure_domain == "c"


def test_routers_of_a_domain_agree_on_the_home_without_digests(loads):
    for key in range(1, 40):
        first = choose(prompt_of(key), loads, "b")
        assert choose(prompt_of(key), make_loads(), "b").engine_id == first.engine_id


def test_demand_of_one_domain_is_shared_by_all_engines(loads):
    """All callers come in at one domain, and ask for more than it can read in time."""
    for key in range(1, 60):
        load = choose(prompt_of(key), loads, "a")
        load.cache.record_prefill(prompt_of(key))
        load.pending_tokens += 16_000
    by_domain = Counter()
    for load in loads:
        by_domain[load.failure_domain] += load.pending_tokens
    assert min(by_domain.values()) > 0.5 * max(by_domain.values())


def test_busy_engines_of_the_own_domain_lose_requests_to_others(loads):
    for load in loads[:8]:
        load.pending_tokens = 20_000
    assert choose(prompt_of(7), loads, "a").failure_domain != "a"


def test_domain_with_few_engines_is_not_preferred():
    loads = make_loads(per_domain=3)
    homes = {choose(prompt_of(7), loads, domain).engine_id for domain in "abc"}
    assert len(homes) == 1


def test_domain_without_a_usable_engine_uses_those_of_others(loads):
    usable = [load for load in loads if load.failure_domain != "a"]
    assert choose(prompt_of(7), usable, "a").failure_domain in "bc"
