"""Assigns shards to the routers that own them.

Two policies. Rendezvous hashing is stateless: every router computes the same owner from
the same list of members, and a leaving member moves only its own shards, but shards are
not weighted by load. The lookup table assigns each shard to the least loaded member and
steals work from members above 1.3 times the mean load, as in the Shardz paper. It
balances unequal shards, but a single process must maintain it and write every change.

Example:
    >>> members = ["cordero-1", "cordero-2", "cordero-3"]
    >>> owner = rendezvous_owner("cordero/registro@sierra-central", members)
    >>> remaining = [name for name in members if name != owner]
    >>> other = rendezvous_owner("cordero/registro@sierra-central", remaining)
    >>> rendezvous_owner("cordero/registro@sierra-central", [owner, other]) == owner
    True
    >>> table = ShardTable()
    >>> _ = table.add_member("cordero-1"), table.add_member("cordero-2")
    >>> for shard, load in (("a", 6.0), ("b", 3.0), ("c", 3.0)):
    ...     _ = table.add_shard(shard, load)
    >>> table.loads()
    {'cordero-1': 6.0, 'cordero-2': 6.0}
    >>> table.remove_member("cordero-1")
    [Move(shard='a', source='cordero-1', target='cordero-2')]
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from lagoonsail_core.errors import LagoonsailError

STEAL_FACTOR = 1.3
"""Shards are moved away from members whose load exceeds the mean by this factor."""


class NoMemberError(LagoonsailError):
    """There is no member to which a shard could be assigned."""

    def __init__(self) -> None:
        super().__init__(
            "shard cannot be assigned: there are no members",
            "start a router in the region",
        )


def rendezvous_owner(shard: str, members: list[str]) -> str:
    """Return the member with the highest rendezvous hash for a shard.

    Args:
        shard: Name of the shard.
        members: Names of the members, in any order.

    Returns:
        Name of the owner, the same for the same set of members.

    Raises:
        NoMemberError: If there is no member.
    """
    if not members:
        raise NoMemberError
    seed = xxhash.xxh64_intdigest(shard.encode())

    def weight(member: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(member.encode(), seed), member

    return max(members, key=weight)


def rank_owners(shard: str, members: list[str], count: int) -> list[str]:
    """Return the highest-ranked owners of a shard, best first.

    Args:
        shard: Name of the shard.
        members: Names of the members, in any order.
        count: Maximum number of owners to return.

    Returns:
        Names of members; the first is the result of `rendezvous_owner`.

    Example:
        >>> rank_owners("cordero/registro@sierra-central", ["a", "b", "c"], 2)
        ['a', 'c']
    """
    candidates = list(members)
    ranked = []
    while candidates and len(ranked) < count:
        best = rendezvous_owner(shard, candidates)
        ranked.append(best)
        candidates.remove(best)
    return ranked


@dataclass(slots=True)
class Move:
    """A change of the owner of a shard."""

    shard: str
    """Name of the shard."""
    source: str
    """Previous owner; empty if none."""
    target: str
    """New owner; empty if none."""


class ShardTable:
    """A lookup table from shards to members, balanced by work stealing.

    Every method that changes the table returns the moves, each of which must be written
    as one record.
    """

    __slots__ = ("_shard_loads", "_member_loads", "_owners", "_shards_by_member")

    def __init__(self) -> None:
        self._shard_loads: dict[str, float] = {}
        self._owners: dict[str, str] = {}
        self._member_loads: dict[str, float] = {}
        # Shards of each member, in order of assignment.
        self._shards_by_member: dict[str, dict[str, None]] = {}

    def owner(self, shard: str) -> str:
        """Return the owner of a shard; empty if none."""
        return self._owners.get(shard, "")

    def loads(self) -> dict[str, float]:
        """Return the load of each member, in the unit of the shard loads."""
        return dict(self._member_loads)

    def add_shard(self, shard: str, load: float = 1.0) -> list[Move]:
        """Assign a new shard to the least loaded member.

        Args:
            shard: Name of the shard.
            load: Its load, such as the number of slots of its servers.

        Returns:
            The moves.
        """
        if shard in self._shard_loads:
            return []
        self._shard_loads[shard] = load
        return [self._assign(shard, "")]

    def remove_shard(self, shard: str) -> list[Move]:
        """Remove a shard, then rebalance by stealing if necessary."""
        if shard not in self._shard_loads:
            return []
        source = self._unassign(shard)
        del self._shard_loads[shard]
        return [Move(shard, source, ""), *self.steal()]

    def add_member(self, member: str) -> list[Move]:
        """Add a member, which steals shards from overloaded members.

        Args:
            member: Name of the member.

        Returns:
            The moves.
        """
        if member in self._member_loads:
            return []
        self._member_loads[member] = 0.0
        self._shards_by_member[member] = {}
        unowned = [shard for shard in self._shard_loads if shard not in self._owners]
        return [self._assign(shard, "") for shard in unowned] + self.steal()

    def remove_member(self, member: str) -> list[Move]:
        """Remove a member and reassign its shards, largest first.

        Args:
            member: Name of the member.

        Returns:
            The moves.
        """
        if member not in self._member_loads:
            return []
        shards = sorted(
            self._shards_by_member[member], key=self._shard_loads.get, reverse=True
        )
        for shard in shards:
            self._unassign(shard)
        del self._member_loads[member]
        del self._shards_by_member[member]
        return [self._assign(shard, member) for shard in shards]

    def steal(self) -> list[Move]:
        """Move shards away from members above 1.3 times the mean load.

        A shard is moved only if the load of its new owner stays below that of its old
        owner, so that a single large shard is not moved repeatedly.

        Returns:
            The moves.
        """
        if not self._member_loads:
            return []
        limit = (
            STEAL_FACTOR * sum(self._member_loads.values()) / len(self._member_loads)
        )
        overloaded = [name for name, load in self._member_loads.items() if load > limit]
        moves = []
        for source in sorted(overloaded, key=self._member_loads.get, reverse=True):
            moves.extend(self._move_excess(source, limit))
        return moves

    def _move_excess(self, source: str, limit: float) -> list[Move]:
        """Move shards from a member above the limit, the largest useful ones first."""
        moves = []
        shards = sorted(
            self._shards_by_member[source], key=self._shard_loads.get, reverse=True
        )
        for shard in shards:
            if self._member_loads[source] <= limit:
                break
            least_loaded = min(self._member_loads, key=self._member_loads.get)
            if (
                self._member_loads[least_loaded] + self._shard_loads[shard]
                >= self._member_loads[source]
            ):
                continue
            self._unassign(shard)
            moves.append(self._assign(shard, source))
        return moves

    def _unassign(self, shard: str) -> str:
        member = self._owners.pop(shard, "")
        if member:
            self._member_loads[member] -= self._shard_loads[shard]
            del self._shards_by_member[member][shard]
        return member

    def _assign(self, shard: str, source: str) -> Move:
        if not self._member_loads:
            return Move(shard, source, "")
        target = min(self._member_loads, key=self._member_loads.get)
        self._owners[shard] = target
        self._member_loads[target] += self._shard_loads[shard]
        self._shards_by_member[target][shard] = None
        return Move(shard, source, target)
