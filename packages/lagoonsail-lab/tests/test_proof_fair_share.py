"""Under a flood by one account the service gap is bounded and no account starves."""

from __future__ import annotations

from lagoonsail_lab.caller import make_prompt

FLOODING, OTHER = "club-norte", "prensa"
"""Accounts with shares 3 and 1; the first floods the service."""
TOKENS = 10
"""Cost of every call."""
SLOTS = 4
"""Slots of the engine."""


def served_tokens(records, account, from_wall_ms, until_wall_ms):
    """Return the tokens of an account's whole answers that ended in an interval."""
    return sum(
        record.last.cost
        for record in records
        if record.call.account == account
        and record.is_whole
        and from_wall_ms < record.last.ended_wall_ms < until_wall_ms
    )


def test_flood_through_all_routers_leaves_other_accounts_their_share(proof):
    with proof.start_fleet(3, servers=1) as fleet:
        traffic = proof.traffic(fleet, seed=51)

        def make_call(account):
            number = len(traffic.caller.records)
            text = f"{account} {number}"
            return make_prompt("cordero", proof.engine, account, TOKENS, False, text)

        # Both accounts always have more calls waiting than there are slots.
        traffic.loop(lambda: make_call(FLOODING), 60, pause_ms=1.0)
        traffic.loop(lambda: make_call(OTHER), 6, pause_ms=1.0)
        proof.warm_up(fleet, proof.engine, SLOTS)
        from_ms = proof.clock.wall_ms()
        traffic.wait(8000.0)
        until_ms = proof.clock.wall_ms()
        records = traffic.finish()
        assert traffic.faults() == []
        flooding_per_share = served_tokens(records, FLOODING, from_ms, until_ms) / 3.0
        other_per_share = served_tokens(records, OTHER, from_ms, until_ms)
        assert other_per_share > 0
        # The bound of fair_queue over an interval, plus answers that overlap its ends.
        bound = 2 * SLOTS * TOKENS + 2 * SLOTS * TOKENS
        assert abs(flooding_per_share - other_per_share) <= bound
        # The bound is tight enough to fail: FIFO would have served 10 to 1.
        assert other_per_share > 2 * bound
