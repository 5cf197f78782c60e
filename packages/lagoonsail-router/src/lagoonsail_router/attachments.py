"""Attachments to the owners of the shards that this router's calls use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_core.messages import Inventory
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_router.peers import PeerDirectory

ATTACH_RETRY_MS = 300.0
"""Timeout after which an unanswered inventory is sent again."""
ATTACHMENT_IDLE_TIMEOUT_MS = 600_000.0
"""Idle time after which the attachment to a shard's owner is removed."""


@dataclass(slots=True)
class Attachment:
    """The attachment to the owner of one shard."""

    shard: str
    """Name of the shard."""
    last_used_ms: float
    """Monotonic time at which a call last needed the shard."""
    stream: object = None
    """Stream to the owner, None if it is not connected."""
    sent_ms: float = 0.0
    """Monotonic time at which the inventory was last sent or the attachment closed."""
    is_open: bool = False
    """Whether the owner has answered the inventory."""


class Attachments:
    """The attachments to the owners of the shards in use."""

    __slots__ = (
        "_configuration",
        "_context",
        "_local_stream",
        "_make_inventory",
        "_on_detach",
        "_peers",
        "by_shard",
    )

    by_shard: dict[str, Attachment]
    """Attachments by shard."""

    def __init__(
        self,
        context: RouterContext,
        configuration: Configuration,
        peers: PeerDirectory,
        local_stream: object,
        make_inventory: Callable[[str], Inventory],
        on_detach: Callable[[str], None],
    ) -> None:
        self._context = context
        self._configuration = configuration
        self._peers = peers
        self._local_stream = local_stream
        self._make_inventory = make_inventory
        self._on_detach = on_detach
        self.by_shard = {}

    def touch(self, shard: str) -> Attachment:
        """Return the attachment to a shard's owner, creating it if needed.

        Args:
            shard: The shard.
        """
        now_ms = self._context.clock.now_ms()
        attachment = self.by_shard.setdefault(shard, Attachment(shard, now_ms))
        attachment.last_used_ms = now_ms
        return attachment

    def open_stream(self, shard: str) -> object | None:
        """Return the stream to a shard's owner if it accepts requests, else None.

        Args:
            shard: The shard.
        """
        attachment = self.by_shard.get(shard)
        return attachment.stream if attachment and attachment.is_open else None

    def find_by_stream(self, shard: str, stream: object) -> Attachment | None:
        """Return the attachment to a shard's owner if it uses the given stream.

        Args:
            shard: The shard.
            stream: The stream.
        """
        attachment = self.by_shard.get(shard)
        return attachment if attachment and attachment.stream is stream else None

    def attach_to_owners(self, is_in_use: Callable[[str], bool]) -> None:
        """Attach to the current owners, and remove attachments that were idle too long.

        Args:
            is_in_use: Returns whether calls wait or run at a shard.
        """
        now_ms = self._context.clock.now_ms()
        for attachment in list(self.by_shard.values()):
            is_idle = now_ms - attachment.last_used_ms >= ATTACHMENT_IDLE_TIMEOUT_MS
            if is_idle and not is_in_use(attachment.shard):
                del self.by_shard[attachment.shard]
                continue
            self._update_one(attachment, now_ms)

    def _update_one(self, attachment: Attachment, now_ms: float) -> None:
        stream = self._stream_to_owner(attachment.shard)
        if stream is None:
            self._detach(attachment)
            return
        if attachment.stream is not stream:
            self._detach(attachment)
            self.attach(attachment)
            return
        is_retry_due = now_ms - attachment.sent_ms > ATTACH_RETRY_MS
        if not attachment.is_open and is_retry_due:
            self.attach(attachment)

    def _stream_to_owner(self, shard: str) -> object | None:
        owner = self._configuration.owner_of(shard)
        if not owner:
            return None
        if owner == self._context.settings.name:
            return self._local_stream
        return self._peers.stream_to(owner)

    def attach(self, attachment: Attachment) -> None:
        """Send the inventory to the owner if it is connected.

        Args:
            attachment: The attachment to open.
        """
        stream = self._stream_to_owner(attachment.shard)
        if stream is None:
            return
        attachment.stream = stream
        attachment.sent_ms = self._context.clock.now_ms()
        stream.send(self._make_inventory(attachment.shard))

    def close(self, attachment: Attachment) -> None:
        """Send the owner no requests until it has answered a new inventory.

        Args:
            attachment: The attachment to close.
        """
        attachment.is_open = False
        attachment.sent_ms = self._context.clock.now_ms()

    def detach_stream(self, stream: object) -> None:
        """Detach from the owners behind a closed stream.

        Args:
            stream: The closed stream.
        """
        for attachment in self.by_shard.values():
            if attachment.stream is stream:
                self._detach(attachment)

    def _detach(self, attachment: Attachment) -> None:
        attachment.stream = None
        attachment.is_open = False
        self._on_detach(attachment.shard)
