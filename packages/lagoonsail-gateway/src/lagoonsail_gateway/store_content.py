"""The store's content as this router knows it, and what the router does with a change.

Handles entries that come late, twice or out of order, and malformed ones. An item is
replaced only by a later revision, so a listing can be applied while changes arrive; the
manifest is replaced only by a higher version; a malformed manifest changes nothing.

A store that was restored from an older copy has lost changes, which their writers make
again. Until then a key that is missing, or a server that is there again, is not
believed (`restored_keys`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.restored_keys import RestoredKeys, is_later_generation
from lagoonsail_gateway.store_access import StoreItem, StoreRevision

if TYPE_CHECKING:
    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.server_directory import ServerDirectory
    from lagoonsail_gateway.store_access import KeyFormat, StoreItems
    from lagoonsail_router.context import RouterContext

ItemListener = Callable[[StoreItem, float | None], None]
"""Gets a change, and the time before which it was not made."""


class StoreContent:
    """The newest known item of each key."""

    __slots__ = (
        "_context",
        "_directory",
        "_format",
        "_items",
        "_held",
        "_on_manifest",
        "_routers",
        "_subscribers",
        "_wait_fields",
        "manifest",
    )

    manifest: Manifest | None
    """The manifest in force, None until one is known."""

    def __init__(
        self,
        context: RouterContext,
        key_format: KeyFormat,
        directory: ServerDirectory,
        routers: FleetMembers,
        on_manifest: Callable[[Manifest], None],
        wait_fields: Callable[[], dict[str, float]],
    ) -> None:
        """Create it without items.

        Args:
            context: The router's shared state.
            key_format: Decodes the store's keys and values.
            directory: Gets the servers and evacuations.
            routers: Gets the members of the fleet.
            on_manifest: Called with each new manifest.
            wait_fields: Returns log fields that tell a late change from a late call.
        """
        self._context = context
        self._directory = directory
        self._format = key_format
        self._items: dict[str, StoreItem] = {}
        self._held = RestoredKeys(context.clock, key_format.server_prefix)
        self._on_manifest = on_manifest
        self._routers = routers
        self._subscribers: list[tuple[str, ItemListener]] = []
        self._wait_fields = wait_fields
        self.manifest = None

    def subscribe(self, prefix: str, listener: ItemListener) -> None:
        """Register a callback for the changes of some keys.

        Args:
            prefix: Prefix of the keys.
            listener: Called with each change, and with the monotonic time before which
                it was not made, None if that is not known.
        """
        self._subscribers.append((prefix, listener))

    def apply_listing(self, listing: StoreItems) -> list[StoreItem]:
        """Take over all items of the store; keys that it leaves out are removed.

        Args:
            listing: The items.

        Returns:
            The items that differ from the known ones, for the followers.
        """
        changes = self._find_changes(listing)
        for item in changes:
            self._apply_item(item)
        self._adopt_generation([*listing.items, *self._find_gone(listing)])
        self._directory.settle_removals()
        self._apply_evacuations_and_members()
        return changes

    def _find_changes(self, listing: StoreItems) -> list[StoreItem]:
        listed = {item.key for item in listing.items}
        changes = [
            StoreItem(key, None, listing.revision)
            for key, known in self._items.items()
            if key not in listed
            and (known.value is not None or self._held.has(key))
            and known.revision <= listing.revision
        ]
        for item in listing.items:
            known = self._items.get(item.key)
            is_restored = known is not None and is_later_generation(item, known)
            if not is_restored or known.value != item.value:
                changes.append(item)
        return changes

    def _find_gone(self, listing: StoreItems) -> list[StoreItem]:
        """Return the removed keys that a listing does not have either."""
        listed = {item.key for item in listing.items}
        return [
            StoreItem(key, None, listing.revision)
            for key, known in self._items.items()
            if known.value is None and key not in listed
        ]

    def _adopt_generation(self, items: Iterable[StoreItem]) -> None:
        """Give unchanged items the revisions that they have in a restored store."""
        for item in items:
            known = self._items.get(item.key)
            is_restored = known is not None and is_later_generation(item, known)
            if is_restored and known.value == item.value:
                self._held.release(item.key)
                self._items[item.key] = item

    def apply_restore(self, items: list[StoreItem], revision: StoreRevision) -> None:
        """Take over what a restored store has otherwise than before.

        Args:
            items: The items that differ.
            revision: Revision up to which they were listed.
        """
        changed = {item.key for item in items}
        first = StoreRevision(revision.generation, 0)
        unchanged = [
            StoreItem(key, item.value, first)
            for key, item in self._items.items()
            if key not in changed
        ]
        self.apply_changes(items, None)
        self._adopt_generation(unchanged)

    def apply_changes(self, items: list[StoreItem], earliest_ms: float | None) -> None:
        """Take over changes.

        Args:
            items: The changes in order.
            earliest_ms: Monotonic time before which they were not made, None if that
                is not known.
        """
        for item in items:
            self._apply_item(item, earliest_ms)
        self._directory.settle_removals()
        if items:
            self._apply_evacuations_and_members()

    def _apply_item(self, item: StoreItem, earliest_ms: float | None = None) -> None:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if not self._held.hold(known, item):
            self._take(item, earliest_ms)

    def end_holds(self) -> None:
        """Believe what a restored store says where it was not written again in time."""
        items = self._held.take_due()
        for item in items:
            self._take(item, None)
            self._context.timeline.record(
                "restored_key_believed", key=item.key, is_gone=item.value is None
            )
        if items:
            self._directory.settle_removals()
            self._apply_evacuations_and_members()

    def held_keys(self) -> list[str]:
        """Return the keys whose restored state is not believed yet."""
        return self._held.keys()

    def _take(self, item: StoreItem, earliest_ms: float | None) -> None:
        self._items[item.key] = item
        if item.key == self._format.manifest_key:
            self._apply_manifest(item)
        elif item.key.startswith(self._format.server_prefix):
            self._apply_server(item)
        for prefix, listener in self._subscribers:
            if item.key.startswith(prefix):
                listener(item, earliest_ms)

    def _apply_manifest(self, item: StoreItem) -> None:
        if item.value is None:
            self._reject(
                item, "the manifest key was deleted; keeping the current manifest"
            )
            return
        manifest = self._format.decode_manifest(item.value)
        if isinstance(manifest, Unavailable):
            self._reject(item, manifest.reason)
            return
        if self.manifest is not None and manifest.version <= self.manifest.version:
            return
        self.manifest = manifest
        self._context.timeline.record(
            "manifest_in_force",
            version=manifest.version,
            revision=str(item.revision),
            routes=len(manifest.routes),
            tokens_per_s=manifest.limits.tokens_per_s,
            **self._wait_fields(),
        )
        self._on_manifest(manifest)

    def _apply_server(self, item: StoreItem) -> None:
        server_id = item.key.removeprefix(self._format.server_prefix)
        if item.value is None:
            self._directory.remove(server_id)
            return
        record = self._format.decode_server(server_id, item.value)
        if isinstance(record, Unavailable):
            self._reject(item, record.reason)
            self._directory.remove(server_id)
            return
        self._directory.put(record)

    def _apply_evacuations_and_members(self) -> None:
        domains = set(self._values(self._format.evacuation_prefix))
        if domains != self._directory.evacuated:
            self._directory.evacuate(domains)
            self._context.timeline.record(
                "evacuated", domains=",".join(sorted(domains))
            )
        members = self._values(self._format.router_prefix)
        self._routers.update(
            {name: value.decode("ascii", "replace") for name, value in members.items()}
        )

    def _values(self, prefix: str) -> dict[str, bytes]:
        return {
            key.removeprefix(prefix): item.value
            for key, item in self._items.items()
            if item.value is not None and key.startswith(prefix)
        }

    def _reject(self, item: StoreItem, reason: str) -> None:
        self._context.count("records_rejected_total")
        self._context.timeline.record(
            "record_rejected",
            key=item.key,
            revision=str(item.revision),
            reason=reason,
        )
