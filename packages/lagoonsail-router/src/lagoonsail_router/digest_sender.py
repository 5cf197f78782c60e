"""Sends digests of a shard to its successors and to the service's other shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.messages import ServiceDigest

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.shard_state import ShardState


class DigestSender:
    """Sends changes of service, positions and server limits since the last digest."""

    __slots__ = ("_find_streams", "_sent", "_sequence", "_state")

    def __init__(self, state: ShardState, find_streams: Callable[[], list]) -> None:
        self._state = state
        self._find_streams = find_streams
        self._sequence = 0
        self._sent: dict[object, dict] = {}

    def discard_stream(self, stream) -> None:
        """Discard the record of what was sent on a stream that has closed."""
        self._sent.pop(stream, None)

    def send(self) -> None:
        """Send each stream what changed since the last call."""
        service = self._state.queue.service()
        positions = self._state.queue.positions()
        servers = self._state.servers.states()
        self._sequence += 1
        for stream in self._find_streams():
            sent = self._sent.setdefault(stream, {"service": {}, "servers": {}})
            changed_service = {
                k: v for k, v in service.items() if sent["service"].get(k) != v
            }
            changed_servers = {
                k: v for k, v in servers.items() if sent["servers"].get(k) != v
            }
            if not changed_service and not changed_servers:
                continue
            stream.send(
                ServiceDigest(
                    self._state.shard,
                    self._state.epoch,
                    self._sequence,
                    changed_service,
                    {name: positions[name] for name in changed_service},
                    changed_servers,
                )
            )
            sent["service"] = service
            sent["servers"] = servers
