"""Assignment of free slots to waiting requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.invariants import require
from lagoonsail_core.messages import SlotGrant
from lagoonsail_core.names import region_of
from lagoonsail_router.granted_slots import Slot
from lagoonsail_router.right import FULL, LAPSED
from lagoonsail_sharing.placement import LOOK_AHEAD, choose_request, choose_server

if TYPE_CHECKING:
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.right import Right
    from lagoonsail_router.server_polls import ServerPolls
    from lagoonsail_router.shard_state import ShardState
    from lagoonsail_router.waiting_requests import WaitingRequests
    from lagoonsail_sharing.placement import Candidate
    from lagoonsail_sharing.waiting import WaitingRequest


class Grants:
    """Grants the slots of one shard in one epoch."""

    __slots__ = (
        "_context",
        "_is_foreign",
        "_may_have_capacity",
        "_next_slot",
        "_polls",
        "_requests",
        "_right",
        "_state",
    )

    def __init__(
        self,
        context: RouterContext,
        right: Right,
        state: ShardState,
        requests: WaitingRequests,
        polls: ServerPolls,
    ) -> None:
        self._context = context
        self._right = right
        self._state = state
        self._requests = requests
        self._polls = polls
        self._is_foreign = region_of(state.shard) != context.settings.region
        self._next_slot = 0
        # False only while every server is at its limit.
        self._may_have_capacity = True

    def on_capacity_change(self) -> None:
        """Record that some server may have capacity for another request."""
        self._may_have_capacity = True

    def grant_all(self) -> None:
        """Grant free slots to waiting requests until either runs out."""
        if not self._may_have_capacity:
            return
        free: dict[str, Candidate] | None = None
        while (level := self._current_level()) != LAPSED:
            waiting = self._state.queue.pick()
            if waiting is None:
                return
            if free is None:
                free = {
                    candidate.name: candidate
                    for candidate in self._state.servers.candidates()
                }
            name = self._choose_server(waiting, level, free)
            if name is None:
                # A server with a free slot may become eligible by the passing of time.
                self._may_have_capacity = bool(free)
                self._polls.poll_skipped()
                return
            self._grant(self._choose_request(waiting, name), name)
            _use_free_slot(free, name)

    def check_capacity(self) -> None:
        """Check that no server has a free slot while all are recorded as full.

        Raises:
            InvariantError: If one has.
        """
        if not self._may_have_capacity:
            found = next(self._state.servers.candidates(), None)
            require(found is None, "no_room_unnoticed", str(found))

    def _current_level(self) -> str:
        # Read for each grant, because this process may have been paused.
        level = self._right.level()
        # Promises cover the routers of this region, not those of the shard's region.
        return level if level == FULL or not self._is_foreign else LAPSED

    def _choose_server(
        self, waiting: WaitingRequest, level: str, free: dict[str, Candidate]
    ) -> str | None:
        document = self._state.find_document()
        if document is None:
            return None
        servers, leaving = self._state.servers, self._right.leaving
        is_closed = self._state.orders.is_closed

        def may_take(name: str) -> bool:
            return servers.may_take(name, document, level, leaving, is_closed)

        prefixes = self._state.prefixes
        return choose_server(free.values(), waiting.prefix, prefixes, may_take)

    def _choose_request(self, waiting: WaitingRequest, server: str) -> WaitingRequest:
        if not waiting.prefix:
            return waiting
        requests = self._state.queue.oldest(waiting.account, LOOK_AHEAD)
        return choose_request(requests, server, self._state.prefixes)

    def _grant(self, waiting: WaitingRequest, name: str) -> None:
        server = self._state.servers.by_name[name]
        self._next_slot += 1
        now_ms = self._context.clock.now_ms()
        key = (self._state.epoch, self._next_slot)
        require(
            self._state.find_document().is_usable(server.entry),
            "no_grant_out_of_service",
        )
        self._state.queue.start(waiting, key)
        self._requests.remove_granted(waiting)
        server.limit.start(key, now_ms)
        stream = waiting.reply_to
        holder = (stream.name, stream.incarnation)
        self._state.granted.by_key[key] = Slot(
            self._state.epoch,
            self._next_slot,
            name,
            waiting.account,
            holder,
            stream,
            now_ms,
            waiting.key,
        )
        self._state.prefixes.add(name, waiting.prefix)
        basis_ms = stream.remote_sent_ms
        grant = SlotGrant(
            waiting.ticket[2],
            self._next_slot,
            self._state.shard,
            self._state.epoch,
            name,
            basis_ms,
        )
        stream.send(grant)
        self._context.count("slots_granted_total")
        if server.is_poll_skipped:
            self._polls.start_read(server)


def _use_free_slot(free: dict[str, Candidate], name: str) -> None:
    free[name].running += 1
    if free[name].running >= free[name].limit:
        del free[name]
