"""State of one client account in the fair queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_sharing.cost_estimate import CostEstimate

if TYPE_CHECKING:
    from lagoonsail_sharing.waiting import WaitingRequest


class QueueAccount:
    """Share, position, waiting requests and charges of one account."""

    __slots__ = (
        "running_charge",
        "heap_entry",
        "backlog_period",
        "estimate",
        "name",
        "last_start_number",
        "position",
        "refundable",
        "running",
        "service",
        "share",
        "waiting",
    )

    name: str
    """Unqualified name of the account."""
    share: float
    """Share in the service document, greater than 0."""
    service: float
    """Normalised service received in this shard."""
    position: float
    """Sort key of the queue: `service` plus remote service and the idle offset."""
    waiting: list[tuple[float, int, WaitingRequest]]
    """Tuples of queueing time, sequence number and request, oldest first."""
    heap_entry: tuple | None
    """Current entry in the heap of the backlog; its other entries are outdated."""
    last_start_number: int
    """Sequence number of its last start; the lower one wins at equal positions."""
    backlog_period: int
    """Number of times that the account became backlogged."""
    refundable: float
    """Normalised refund still allowed to requests of earlier backlog periods."""
    running: int
    """Number of running requests."""
    running_charge: float
    """Sum of the charges of running requests, not normalised."""
    estimate: CostEstimate
    """Expected cost of its requests."""

    def __init__(self, name: str, share: float) -> None:
        self.name = name
        self.share = share
        self.service = 0.0
        self.position = 0.0
        self.waiting = []
        self.heap_entry = None
        self.last_start_number = 0
        self.backlog_period = 0
        self.refundable = 0.0
        self.running = 0
        self.running_charge = 0.0
        self.estimate = CostEstimate()

    def headroom(self, largest_cost: float) -> float:
        """Return the largest increase of the position without a new start.

        Args:
            largest_cost: Largest cost of one request.
        """
        unspent_cost = self.running * largest_cost - self.running_charge
        return max(unspent_cost, 0.0) / self.share
