"""Keeps the configuration in sync with the key-value service by list and watch."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet

if TYPE_CHECKING:
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext
    from lagoonsail_store.store_client import StoreClient

RETRY_DELAY_MS = 300
"""Mean delay before the next list after a failed list or an ended watch."""


class StoreSync:
    """Lists all keys, then watches for changes; starts over when the watch ends."""

    __slots__ = (
        "_configuration",
        "_context",
        "_store",
        "is_up",
        "revision",
    )

    is_up: bool
    """Whether the last list or watch succeeded."""
    revision: int
    """Revision up to which all changes have been applied, in order."""

    def __init__(
        self, context: RouterContext, store: StoreClient, configuration: Configuration
    ) -> None:
        self._context = context
        self._store = store
        self._configuration = configuration
        self.is_up = False
        self.revision = 0

    def list_once(self) -> bool:
        """List all keys once.

        Returns:
            Whether the listing succeeded and was not stale.
        """
        revision = self._list()
        return revision is not None

    def run(self) -> None:
        """List and watch until the process ends."""
        while True:
            revision = self._list()
            if revision is not None:
                self._watch(revision + 1)
            eventlet.sleep(random.uniform(0.5, 1.5) * RETRY_DELAY_MS / 1000.0)

    def _list(self) -> int | None:
        prefix = self._context.settings.store_prefix
        listing = self._store.list(prefix)
        if not listing:
            self._set_is_up(False)
            return None
        if not self._configuration.apply_listing(prefix, listing):
            return None
        self._set_is_up(True)
        self.revision = max(self.revision, listing.revision)
        return listing.revision

    def _watch(self, from_revision: int) -> None:
        prefix = self._context.settings.store_prefix
        for batch in self._store.watch(prefix, from_revision):
            self._set_is_up(True)
            for entry in batch.entries:
                value = "" if entry.deleted else entry.value
                key = entry.key.removeprefix(prefix)
                self._configuration.apply(key, entry.revision, value)
            self.revision = max(self.revision, batch.revision)

    def _set_is_up(self, is_up: bool) -> None:
        if is_up == self.is_up:
            return
        self.is_up = is_up
        event = "store_reached" if is_up else "store_lost"
        self._context.timeline.record(event)
