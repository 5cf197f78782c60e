"""The gap in service stays bounded, and no account starves, however loud another is."""

from __future__ import annotations

from lagoonsail_lab.caller import make_prompt

LOUD, QUIET = "club-norte", "prensa"
"""Accounts with 3 shares and 1."""
TOKENS = 10
"""Cost of every call."""
SLOTS = 4
"""Slots of the engine."""


def served(records, account, from_wall_ms, until_wall_ms):
    """Return the tokens of an account's answers that ended in an interval."""
    return sum(
        record.last.cost
        for record in records
        if record.call.account == account
        and record.is_whole
        and from_wall_ms < record.last.ended_wall_ms < until_wall_ms
    )


def test_flood_from_all_routers_costs_others_nothing_but_its_share(proof):
    with proof.start_fleet(3, servers=1) as fleet:
        traffic = proof.traffic(fleet, seed=51)

        def call(account):
            number = len(traffic.caller.records)
            text = f"{account} {number}"
            return make_prompt("cordero", proof.engine, account, TOKENS, False, text)

        # Both accounts always have more calls waiting than there are slots.
        traffic.loop(lambda: call(LOUD), 60, pause_ms=1.0)
        traffic.loop(lambda: call(QUIET), 6, pause_ms=1.0)
        proof.warm_up(fleet, proof.engine, SLOTS)
        from_ms = proof.clock.wall_ms()
        traffic.wait(8000.0)
        until_ms = proof.clock.wall_ms()
        records = traffic.finish()
        assert traffic.faults() == []
        loud = served(records, LOUD, from_ms, until_ms) / 3.0
        quiet = served(records, QUIET, from_ms, until_ms)
        assert quiet > 0
        # The bound of fair_queue over an interval, with answers at both of its ends.
        bound = 2 * SLOTS * TOKENS + 2 * SLOTS * TOKENS
        assert abs(loud - quiet) <= bound
        # The check can fail: first come first served would have given 10 to 1.
        assert quiet > 2 * bound
