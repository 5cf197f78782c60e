"""Counters that digests carry, added up by relays and subtracted again."""

from __future__ import annotations

import pytest

from lagoonsail_gateway.digest import FLEET_SUM, Digest, decode_digest
from lagoonsail_gateway.digest_relay import DigestRelay, subtract_report
from lagoonsail_gateway.fleet_counts import COUNTS_EXPIRY_MS, FleetCounts


@pytest.fixture
def counts(manual_clock):
    return FleetCounts(manual_clock.clock())


def test_sum_of_a_relay_counts_each_router_once(manual_clock):
    relay = DigestRelay(manual_clock.clock(), "north")
    reports = [Digest(f"r{n}", 1, 1, counts={"rollout/a": (n, 1)}) for n in (1, 2, 3)]
    for report in reports:
        relay.record_report(report)
    fleet = decode_digest(relay.make_sum(FLEET_SUM, "r1", 1, 2).encode())
    assert fleet.counts == {"rollout/a": (6, 3)}
    others = subtract_report(fleet, reports[0], age_ms=0.0)
    assert others.counts == {"rollout/a": (5, 2)}


def test_counts_of_a_router_that_fell_silent_are_gone(counts):
    counts.add("start/s1", index=1)
    reported = {"start/s1": (5,)}
    counts.replace_peer({}, reported)
    assert counts.total("start/s1") == (5, 1)
    counts.replace_peer(reported, {})
    assert counts.total("start/s1") == (0, 1)


def test_counts_without_a_change_leave_the_digest(counts, manual_clock):
    """Guards against digests that grow with each server that ever started."""
    counts.add("start/s1", index=0)
    manual_clock.ms += COUNTS_EXPIRY_MS + 1.0
    counts.add("start/s2", index=0)
    assert counts.own() == {"start/s2": (1,)}


def test_numbers_that_are_replaced_may_fall(counts):
    counts.put("speed/s1", (5, -3))
    counts.replace_peer({}, {"speed/s1": (1, 1)})
    counts.put("speed/s1", (2, 4))
    assert counts.total("speed/s1") == (3, 5)
    counts.remove("speed/s1")
    counts.remove("speed/s1")
    assert (counts.total("speed/s1"), counts.own()) == ((1, 1), {})
