from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonsail_sharing.assignment import (
    NoMemberError,
    ShardTable,
    rendezvous_owner,
)

MEMBERS = [f"router-{n}" for n in range(12)]
SHARDS = [f"cordero/model-{n}@sierra" for n in range(288)]


def test_rendezvous_moves_only_the_shards_of_a_leaving_member():
    before = {shard: rendezvous_owner(shard, MEMBERS) for shard in SHARDS}
    remaining = MEMBERS[:5] + MEMBERS[6:]
    for shard in SHARDS:
        after = rendezvous_owner(shard, list(reversed(remaining)))
        assert after == before[shard] or before[shard] == MEMBERS[5]


def test_rendezvous_without_members_raises():
    with pytest.raises(NoMemberError, match="start a router"):
        rendezvous_owner("s", [])


changes = st.lists(
    st.tuples(
        st.sampled_from(["add_member", "remove_member", "add_shard", "remove_shard"]),
        st.integers(0, 11),
        st.integers(1, 20),
    ),
    max_size=80,
)


@given(changes=changes)
@settings(derandomize=True, deadline=None)
def test_moves_tell_the_whole_change_and_loads_add_up(changes):
    table = ShardTable()
    owners, loads, members = {}, {}, set()
    for kind, number, load in changes:
        if kind == "add_shard":
            moves = table.add_shard(SHARDS[number], float(load))
            loads.setdefault(SHARDS[number], float(load))
        elif kind == "remove_shard":
            moves = table.remove_shard(SHARDS[number])
            loads.pop(SHARDS[number], None)
        else:
            moves = getattr(table, kind)(MEMBERS[number])
            members.add(MEMBERS[number])
            if kind == "remove_member":
                members.remove(MEMBERS[number])
        for move in moves:
            assert owners.get(move.shard, "") == move.source
            owners[move.shard] = move.target
        for shard in loads:
            owner = table.owner(shard)
            assert owner == owners.get(shard, "")
            assert bool(owner) == bool(members)
        expected = dict.fromkeys(members, 0.0)
        for shard, load in loads.items():
            if members:
                expected[table.owner(shard)] += load
        assert table.loads() == expected


def test_stealing_ends_below_1_3_times_the_mean_where_shards_are_small():
    table = ShardTable()
    for member in MEMBERS[:3]:
        table.add_member(member)
    for shard in SHARDS:
        table.add_shard(shard, 2.0)
    for member in MEMBERS[3:]:
        table.add_member(member)
        loads = table.loads().values()
        assert max(loads) <= 1.3 * sum(loads) / len(loads) + 2.0


def test_a_shard_larger_than_the_mean_is_not_moved_repeatedly():
    table = ShardTable()
    for member in MEMBERS[:2]:
        table.add_member(member)
    table.add_shard("large", 100.0)
    table.add_shard("small", 1.0)
    owner = table.owner("large")
    assert table.steal() == []
    assert [move.shard for move in table.add_member("router-9")] == []
    assert table.owner("large") == owner
