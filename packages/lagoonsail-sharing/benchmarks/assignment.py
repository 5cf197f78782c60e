"""Measure rendezvous hashing against a lookup table with work stealing.

Prints one JSON object for each scale and way: moves and records written for each host
that leaves or joins, and the imbalance (largest load / mean load) of the worst region.
Every host leaves and comes back once, as in a rolling restart. Loads are slots.

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
    """A fleet: groups of routers, each with the shards that it may own."""

    name: str
    """What the fleet is."""
    groups: list[tuple[list[str], dict[str, float]]]
    """Members and load by shard of each region."""


def make_scales(random: Random) -> list[Scale]:
    """Return today's fleet, 330 routers by shards, and by single servers."""
    return [
        Scale("12 routers, 4 shards", [_today()]),
        Scale("330 routers, 12 regions x 24 models", _regions(random)),
        Scale("330 routers, 12000 single-server shards", _single_servers(random)),
    ]


def _today() -> tuple[list[str], dict[str, float]]:
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
            # A few models take most of the servers.
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
    """Owners by rendezvous hashing."""

    __slots__ = ("members", "owners", "shards")

    def __init__(self, members: list[str], shards: dict[str, float]) -> None:
        self.members = list(members)
        self.shards = shards
        self.owners = self._compute()

    def _compute(self) -> dict[str, str]:
        return {shard: rendezvous_owner(shard, self.members) for shard in self.shards}

    def change(self, leaving: str | None, joining: str | None) -> int:
        """Change the members and return how many shards moved."""
        self.members = [name for name in self.members if name != leaving]
        if joining:
            self.members.append(joining)
        before, self.owners = self.owners, self._compute()
        return sum(before[shard] != owner for shard, owner in self.owners.items())


class Table:
    """Owners by lookup table with work stealing."""

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
        """Change the members and return how many shards moved."""
        moves = []
        if leaving:
            self.members.remove(leaving)
            moves += self.table.remove_member(leaving)
        if joining:
            self.members.append(joining)
            moves += self.table.add_member(joining)
        self.owners = {shard: self.table.owner(shard) for shard in self.shards}
        return len(moves)


def measure(scale: Scale, way: Callable, random: Random) -> dict[str, object]:
    """Let every host leave and come back, one at a time.

    Args:
        scale: The fleet.
        way: `Rendezvous` or `Table`.
        random: Chooses the order of the hosts.

    Returns:
        Figures of the fleet: the means and the largest of the changes.
    """
    began = time.perf_counter()
    groups = [way(members, shards) for members, shards in scale.groups]
    first = max(_imbalance(g.members, g.owners, g.shards) for g in groups)
    leaves, joins, worst, change_ms = [], [], first, []
    hosts = [(group, host) for group in groups for host in group.members]
    random.shuffle(hosts)
    for group, host in hosts:
        for moved, change in ((leaves, (host, None)), (joins, (None, host))):
            start = time.perf_counter()
            moved.append(group.change(*change))
            change_ms.append((time.perf_counter() - start) * 1000.0)
            imbalance = _imbalance(group.members, group.owners, group.shards)
            worst = max(worst, imbalance)
    shards = sum(len(group.shards) for group in groups)
    return {
        "scale": scale.name,
        "way": way.__name__,
        "shards": shards,
        "moves_per_leave_mean": round(sum(leaves) / len(leaves), 2),
        "moves_per_leave_max": max(leaves),
        "moves_per_join_mean": round(sum(joins) / len(joins), 2),
        "moves_per_join_max": max(joins),
        # A shard that moves is one record: the owner's, with its epoch.
        "records_per_change_mean": round(
            (sum(leaves) + sum(joins)) / len(change_ms), 2
        ),
        "records_of_rolling_restart": sum(leaves) + sum(joins),
        "imbalance_at_first": round(first, 2),
        "imbalance_worst": round(worst, 2),
        "imbalance_at_last": round(
            max(_imbalance(g.members, g.owners, g.shards) for g in groups), 2
        ),
        "smallest_possible_imbalance": round(_floor(scale), 2),
        "compute_ms_per_change_mean": round(sum(change_ms) / len(change_ms), 2),
        "run_s": round(time.perf_counter() - began, 2),
    }


def _floor(scale: Scale) -> float:
    """Return the imbalance that the largest shard of a region forces in any way."""
    return max(
        max(max(shards.values()) * len(members) / sum(shards.values()), 1.0)
        for members, shards in scale.groups
    )


def main(*, seed: int = 1) -> None:
    """Print the figures as JSON lines.

    Args:
        seed: Seed of loads and of the hosts that leave.
    """
    for scale in make_scales(Random(seed)):
        for way in (Rendezvous, Table):
            print(json.dumps(measure(scale, way, Random(seed))), flush=True)


if __name__ == "__main__":
    defopt.run(main)
