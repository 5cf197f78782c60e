"""A request that runs at a backend server, as far as it counts for the load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.clock import Clock
    from lagoonsail_gateway.server_state import ServerState


class RunningRequest:
    """One request running at one server."""

    __slots__ = (
        "_clock",
        "_held_tokens",
        "_is_prefilled",
        "_on_first_token",
        "_on_result",
        "_selection_load",
        "_unread_tokens",
        "sent_ms",
        "state",
    )

    sent_ms: float
    """When it was sent."""
    state: ServerState
    """The server."""

    def __init__(
        self,
        clock: Clock,
        state: ServerState,
        unread_tokens: int,
        held_tokens: int,
        selection_load: dict[str, object],
        on_first_token: Callable[[float], None] | None,
        on_result: Callable[[RunningRequest, bool], None],
    ) -> None:
        """Count the request as running at its server.

        Args:
            clock: The clock.
            state: The server.
            unread_tokens: Prompt tokens that the server has yet to prefill.
            held_tokens: Memory of the server that it takes, in tokens.
            selection_load: Load values on which its selection was based, for the log.
            on_first_token: Called with the time in ms until the first part of a proper
                response; None if it does not matter.
            on_result: Called with the request and whether the server succeeded, unless
                the end says nothing about the server.
        """
        self._clock = clock
        self._held_tokens = held_tokens
        self._is_prefilled = False
        self._on_first_token = on_first_token
        self._on_result = on_result
        self._selection_load = selection_load
        self._unread_tokens = unread_tokens
        self.sent_ms = clock.now_ms()
        self.state = state
        state.load.pending_tokens += unread_tokens
        state.load.running += 1
        state.load.held_tokens += held_tokens

    def describe(self) -> dict[str, object]:
        """Return the load values on which the selection of the server was based."""
        load = self.state.load
        return self._selection_load | {
            "unread_tokens": self._unread_tokens,
            "running_here": load.running,
            "running_elsewhere": load.others_running,
        }

    def record_sent(self) -> None:
        """Note that the request is being sent and the server is expected to respond."""
        if self.state.load.running == 1:
            self.state.last_response_ms = self._clock.now_ms()

    def record_data(self) -> None:
        """Note that the server has sent data."""
        self.state.last_response_ms = self._clock.now_ms()

    def record_first_token(self) -> None:
        """Note that the first part of a proper response has arrived."""
        if not self._is_prefilled and self._on_first_token is not None:
            self._on_first_token(self._clock.now_ms() - self.sent_ms)
        self._end_prefill()

    def finish(self, *, is_success: bool | None) -> None:
        """Note that the request has ended.

        Args:
            is_success: Whether the server succeeded; None if the outcome says nothing
                about the server.
        """
        self._end_prefill()
        self.state.load.running -= 1
        self.state.load.held_tokens -= self._held_tokens
        if is_success is not None:
            self._on_result(self, is_success)

    def _end_prefill(self) -> None:
        if not self._is_prefilled:
            self._is_prefilled = True
            self.state.load.pending_tokens -= self._unread_tokens
