"""What the fair queue knows of one client account."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_sharing.cost_estimate import CostEstimate

if TYPE_CHECKING:
    from lagoonsail_sharing.waiting import Waiting


class QueueAccount:
    """Share, position, waiting requests and charges of one account."""

    __slots__ = (
        "charged",
        "entry",
        "episode",
        "estimate",
        "name",
        "picked",
        "position",
        "refundable",
        "running",
        "served",
        "share",
        "waiting",
    )

    name: str
    """Unqualified name."""
    share: float
    """Share in the service document, greater than 0."""
    served: float
    """Normalised service in this shard."""
    position: float
    """Place in the order: unlike `served` it includes remote service and the offset."""
    waiting: list[tuple[float, int, Waiting]]
    """Waiting requests behind since when they wait and their sequence, oldest first."""
    entry: tuple | None
    """Its valid entry in the heap of the backlog."""
    picked: int
    """Number of its last start; of equals the one that was started earlier goes."""
    episode: int
    """How often it became backlogged."""
    refundable: float
    """What requests of earlier episodes may still give back, normalised."""
    running: int
    """Requests that run."""
    charged: float
    """Sum of the charges of running requests, not normalised."""
    estimate: CostEstimate
    """What its requests are expected to cost."""

    def __init__(self, name: str, share: float) -> None:
        self.name = name
        self.share = share
        self.served = 0.0
        self.position = 0.0
        self.waiting = []
        self.entry = None
        self.picked = 0
        self.episode = 0
        self.refundable = 0.0
        self.running = 0
        self.charged = 0.0
        self.estimate = CostEstimate()

    def headroom(self, largest_cost: float) -> float:
        """Return by how much the position can grow without a new start.

        Args:
            largest_cost: Largest cost of one request.
        """
        room = self.running * largest_cost - self.charged
        return max(room, 0.0) / self.share
