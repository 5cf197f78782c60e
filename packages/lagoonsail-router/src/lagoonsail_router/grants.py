"""Which waiting request gets which free slot."""

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
    from lagoonsail_router.shard_servers import Server
    from lagoonsail_router.shard_state import ShardState
    from lagoonsail_router.waiting_requests import WaitingRequests
    from lagoonsail_sharing.waiting import Waiting


class Grants:
    """Grants the slots of one shard in one epoch."""

    __slots__ = (
        "_context",
        "_is_foreign",
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

    def grant_one(self) -> bool:
        """Grant one slot if there is a free one and a request that waits.

        Returns:
            Whether there may be more to grant.
        """
        # The level is read for each grant: this process may have been paused.
        level = self._right.level()
        if level == LAPSED or (self._is_foreign and level != FULL):
            # Promises count the routers of this region, not those of the shard's.
            return False
        waiting = self._state.queue.pick()
        if waiting is None:
            return False
        name = self._choose(waiting, level)
        if name is None:
            self._polls.wake_resting()
            return False
        if waiting.prefix:
            requests = self._state.queue.oldest(waiting.account, LOOK_AHEAD)
            waiting = choose_request(requests, name, self._state.prefixes)
        self._grant(waiting, self._state.servers.by_name[name])
        return True

    def _choose(self, waiting: Waiting, level: str) -> str | None:
        document = self._state.find_document()
        if document is None:
            return None
        leaving, is_closed = self._right.leaving, self._state.orders.is_closed

        def may_take(name: str) -> bool:
            return self._state.servers.may_take(
                name, document, level, leaving, is_closed
            )

        candidates = self._state.servers.candidates()
        return choose_server(candidates, waiting.prefix, self._state.prefixes, may_take)

    def _grant(self, waiting: Waiting, server: Server) -> None:
        self._next_slot += 1
        now_ms = self._context.clock.now_ms()
        name = server.entry.name
        key = (self._state.epoch, self._next_slot)
        require(
            self._state.find_document().is_usable(server.entry),
            "no_grant_out_of_service",
        )
        self._state.queue.start(waiting, key)
        self._requests.leave(waiting)
        server.limit.start(key, now_ms)
        stream = waiting.source
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
        if server.is_resting:
            self._polls.start(server)
