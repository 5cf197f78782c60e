"""Measure rendezvous hashing against a lookup table with work stealing.

Prints one JSON object for each scale and policy: moves and records written for each
host that leaves or joins, and the imbalance (largest load / mean load) of the worst
region. Every host leaves and returns once, as in a rolling restart. Loads are slots.

Run: python packages/lagoonsail-sharing/benchmarks/assignment.py [--seed N]
"""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import defopt

from lagoonsail_sharing.assignment import ShardTable, rendezvous_owner

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(slots=True)
class Scale:
    """A fleet of several regions, each with its routers and shards."""

    name: str
    """Description of the fleet."""
    groups: list[tuple[list[str], dict[str, float]]]
    """Members, and load by shard, of each region."""


def make_scales(random: Random) -> list[Scale]:
    """Return the current fleet, and 330 routers with model or single-server shards."""
    return [
        Scale("12 routers, 4 shards", [_current_fleet()]),
        Scale("330 routers, 12 regions x 24 models", _regions(random)),
        Scale("330 routers, 12000 single-server shards", _single_servers(random)),
    ]


def _current_fleet() -> tuple[list[str], dict[str, float]]:
    loads = {"asistente": 24.0, "catalogo": 16.0, "registro": 12.0, "archivo": 4.0}
    shards = {f"cordero/{name}@sierra": load for name, load in loads.items()}
    return [f"router-{n}" for n in range(12)], shards


def _members(region: int) -> list[str]:
    count = 28 if region < 6 else 27
    return [f"router-{region}-{n}" for n in range(count)]


def _regions(random: Random) -> list[tuple[list[str], dict[str, float]]]:
    groups = []
    for region in range(12):
        shards = {}
        for model in range(24):
            # A few models have most of the servers.
            servers = max(1, round(random.paretovariate(1.2) * 12))
            shards[f"s/model-{model}@region-{region}"] = 8.0 * min(servers, 400)
        groups.append((_members(region), shards))
    return groups


def _single_servers(random: Random) -> list[tuple[list[str], dict[str, float]]]:
    groups = []
    for region in range(12):
        shards = {
            f"s/server-{number}@region-{region}": float(random.choice([2, 4, 8, 16]))
            for number in range(1000)
        }
        groups.append((_members(region), shards))
    return groups


def _imbalance(members: list[str], owners: dict[str, str], shards: dict) -> float:
    loads = dict.fromkeys(members, 0.0)
    for shard, owner in owners.items():
        loads[owner] += shards[shard]
    return max(loads.values()) * len(loads) / sum(loads.values())


class Rendezvous:
    """Owners assigned by rendezvous hashing."""

    __slots__ = ("members", "owners", "shards")

    def __init__(self, members: list[str], shards: dict[str, float]) -> None:
        self.members = list(members)
        self.shards = shards
        self.owners = self._compute()

    def _compute(self) -> dict[str, str]:
        return {shard: rendezvous_owner(shard, self.members) for shard in self.shards}

    def change(self, leaving: str | None, joining: str | None) -> int:
        """Change the members and return the number of moved shards."""
        self.members = [name for name in self.members if name != leaving]
        if joining:
            self.members.append(joining)
        before, self.owners = self.owners, self._compute()
        return sum(before[shard] != owner for shard, owner in self.owners.items())


class Table:
    """Owners assigned by a lookup table with work stealing."""

    __slots__ = ("members", "owners", "shards", "table")

    def __init__(self, members: list[str], shards: dict[str, float]) -> None:
        self.members = list(members)
        self.shards = shards
        self.table = ShardTable()
        for member in members:
            self.table.add_member(member)
        for shard, load in shards.items():
            self.table.add_shard(shard, load)
        self.owners = {shard: self.table.owner(shard) for shard in shards}

    def change(self, leaving: str | None, joining: str | None) -> int:
        """Change the members and return the number of moved shards."""
        moves = []
        if leaving:
            self.members.remove(leaving)
            moves += self.table.remove_member(leaving)
        if joining:
            self.members.append(joining)
            moves += self.table.add_member(joining)
        self.owners = {shard: self.table.owner(shard) for shard in self.shards}
        return len(moves)


def measure(scale: Scale, policy: Callable, random: Random) -> dict[str, object]:
    """Let every host leave and return, one at a time.

    Args:
        scale: The fleet.
        policy: `Rendezvous` or `Table`.
        random: Determines the order of the hosts.

    Returns:
        Results for the fleet: mean and maximum over all changes.
    """
    run_start_s = time.perf_counter()
    groups = [policy(members, shards) for members, shards in scale.groups]
    first_imbalance = max(_imbalance(g.members, g.owners, g.shards) for g in groups)
    leave_moves, join_moves, worst_imbalance, change_ms = (
        [],
        [],
        first_imbalance,
        [],
    )
    hosts = [(group, host) for group in groups for host in group.members]
    random.shuffle(hosts)
    for group, host in hosts:
        for move_counts, change in (
            (leave_moves, (host, None)),
            (join_moves, (None, host)),
        ):
            change_start_s = time.perf_counter()
            move_counts.append(group.change(*change))
            change_ms.append((time.perf_counter() - change_start_s) * 1000.0)
            imbalance = _imbalance(group.members, group.owners, group.shards)
            worst_imbalance = max(worst_imbalance, imbalance)
    shards = sum(len(group.shards) for group in groups)
    return {
        "scale": scale.name,
        "way": policy.__name__,
        "shards": shards,
        "moves_per_leave_mean": round(sum(leave_moves) / len(leave_moves), 2),
        "moves_per_leave_max": max(leave_moves),
        "moves_per_join_mean": round(sum(join_moves) / len(join_moves), 2),
        "moves_per_join_max": max(join_moves),
        # Each move writes one record: the owner of the shard with its epoch.
        "records_per_change_mean": round(
            (sum(leave_moves) + sum(join_moves)) / len(change_ms), 2
        ),
        "records_of_rolling_restart": sum(leave_moves) + sum(join_moves),
        "imbalance_at_first": round(first_imbalance, 2),
        "imbalance_worst": round(worst_imbalance, 2),
        "imbalance_at_last": round(
            max(_imbalance(g.members, g.owners, g.shards) for g in groups), 2
        ),
        "smallest_possible_imbalance": round(_min_imbalance(scale), 2),
        "compute_ms_per_change_mean": round(sum(change_ms) / len(change_ms), 2),
        "run_s": round(time.perf_counter() - run_start_s, 2),
    }


def _min_imbalance(scale: Scale) -> float:
    """Return the imbalance that the largest shard of a region imposes on any policy."""
    return max(
        max(max(shards.values()) * len(members) / sum(shards.values()), 1.0)
        for members, shards in scale.groups
    )


def main(*, seed: int = 1) -> None:
    """Print the results as JSON lines.

    Args:
        seed: Seed for the loads and for the order in which hosts leave.
    """
    for scale in make_scales(Random(seed)):
        for policy in (Rendezvous, Table):
            print(json.dumps(measure(scale, policy, Random(seed))), flush=True)


if __name__ == "__main__":
    defopt.run(main)
