"""Which router is to own which shard.

Two ways. Rendezvous hashing needs no state: each router computes the same owner from
the same list of members, and a member that leaves moves only its own shards; it knows
nothing of how much work a shard is. The lookup table assigns each shard to the least
loaded member and steals work from members above 1.3 times the mean load, after the
paper on Shardz; it balances unequal shards, but one process must keep it and write
every change.

Example:
    >>> members = ["cordero-1", "cordero-2", "cordero-3"]
    >>> owner = rendezvous_owner("cordero/registro@sierra-central", members)
    >>> rest = [name for name in members if name != owner]
    >>> other = rendezvous_owner("cordero/registro@sierra-central", rest)
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
"""Work is stolen from members whose load exceeds the mean by this factor."""


class NoMemberError(LagoonsailError):
    """There is no member that could own a shard."""

    def __init__(self) -> None:
        super().__init__("no member to own a shard", "start a router in the region")


def rendezvous_owner(shard: str, members: list[str]) -> str:
    """Return the member with the greatest hash together with the shard.

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
    """Return the best owners of a shard, best first.

    Args:
        shard: Name of the shard.
        members: Names of the members, in any order.
        count: How many to return at most.

    Returns:
        Names of members; the first is what `rendezvous_owner` gives.

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
    """A shard that changes its owner."""

    shard: str
    """Name of the shard."""
    source: str
    """Member that owned it; empty if none did."""
    target: str
    """Member that owns it now; empty if none does."""


class ShardTable:
    """A lookup table from shards to members, kept in balance by stealing work.

    Every method that changes the table returns the moves, each of which is one record
    to write.
    """

    __slots__ = ("_load_of", "_loads", "_owner", "_shards")

    def __init__(self) -> None:
        self._load_of: dict[str, float] = {}
        self._owner: dict[str, str] = {}
        self._loads: dict[str, float] = {}
        # Shards of each member, in the order in which it got them.
        self._shards: dict[str, dict[str, None]] = {}

    def owner(self, shard: str) -> str:
        """Return the member that owns a shard; empty if none does."""
        return self._owner.get(shard, "")

    def loads(self) -> dict[str, float]:
        """Return the load of each member, in the unit of the shards' loads."""
        return dict(self._loads)

    def add_shard(self, shard: str, load: float = 1.0) -> list[Move]:
        """Assign a new shard to the least loaded member.

        Args:
            shard: Name of the shard.
            load: Its load, as the slots of its servers.

        Returns:
            The moves.
        """
        if shard in self._load_of:
            return []
        self._load_of[shard] = load
        return [self._place(shard, "")]

    def remove_shard(self, shard: str) -> list[Move]:
        """Forget a shard and steal work if that left the table out of balance."""
        if shard not in self._load_of:
            return []
        source = self._take(shard)
        del self._load_of[shard]
        return [Move(shard, source, ""), *self.steal()]

    def add_member(self, member: str) -> list[Move]:
        """Add a member without shards; it steals from overloaded members.

        Args:
            member: Name of the member.

        Returns:
            The moves.
        """
        if member in self._loads:
            return []
        self._loads[member] = 0.0
        self._shards[member] = {}
        orphans = [shard for shard in self._load_of if shard not in self._owner]
        return [self._place(shard, "") for shard in orphans] + self.steal()

    def remove_member(self, member: str) -> list[Move]:
        """Remove a member and assign each of its shards, the largest first.

        Args:
            member: Name of the member.

        Returns:
            The moves.
        """
        if member not in self._loads:
            return []
        shards = sorted(self._shards[member], key=self._load_of.get, reverse=True)
        for shard in shards:
            self._take(shard)
        del self._loads[member]
        del self._shards[member]
        return [self._place(shard, member) for shard in shards]

    def steal(self) -> list[Move]:
        """Move shards away from members above 1.3 times the mean load.

        A shard is moved only if its new owner ends below the load of its old one, so
        that a single large shard is not passed around.

        Returns:
            The moves.
        """
        if not self._loads:
            return []
        limit = STEAL_FACTOR * sum(self._loads.values()) / len(self._loads)
        overloaded = [name for name, load in self._loads.items() if load > limit]
        moves = []
        for source in sorted(overloaded, key=self._loads.get, reverse=True):
            moves.extend(self._relieve(source, limit))
        return moves

    def _relieve(self, source: str, limit: float) -> list[Move]:
        """Move shards of one member, the largest that helps first."""
        moves = []
        shards = sorted(self._shards[source], key=self._load_of.get, reverse=True)
        for shard in shards:
            if self._loads[source] <= limit:
                break
            least = min(self._loads, key=self._loads.get)
            if self._loads[least] + self._load_of[shard] >= self._loads[source]:
                continue
            self._take(shard)
            moves.append(self._place(shard, source))
        return moves

    def _take(self, shard: str) -> str:
        member = self._owner.pop(shard, "")
        if member:
            self._loads[member] -= self._load_of[shard]
            del self._shards[member][shard]
        return member

    def _place(self, shard: str, source: str) -> Move:
        if not self._loads:
            return Move(shard, source, "")
        target = min(self._loads, key=self._loads.get)
        self._owner[shard] = target
        self._loads[target] += self._load_of[shard]
        self._shards[target][shard] = None
        return Move(shard, source, target)
