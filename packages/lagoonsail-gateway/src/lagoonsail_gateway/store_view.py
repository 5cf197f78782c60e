"""A local view of the platform's store, kept up to date by a watch or by other routers.

A single watch covers all keys, so there is one pending call and one revision. Answers
outages of the store, its lost history, and connections that fall silent: what is known
stays in force meanwhile (`store_content`), and is listed anew afterwards, also when the
store was restored from an older copy and has lost changes. In a large fleet few routers
watch, and the others follow them (`store_feed`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_core.fair_hub import mark_urgent
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_gateway.store_access import NO_REVISION, HistoryLost
from lagoonsail_gateway.store_content import StoreContent
from lagoonsail_gateway.store_feed import FeedMessage
from lagoonsail_gateway.view_lag import ViewLag
from lagoonsail_gateway.watch_pacing import WatchPacing

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_gateway.fleet_share import FleetMembers
    from lagoonsail_gateway.manifest import Manifest
    from lagoonsail_gateway.server_directory import ServerDirectory
    from lagoonsail_gateway.store_access import (
        KeyFormat,
        StoreCalls,
        StoreItem,
        StoreRevision,
    )
    from lagoonsail_gateway.store_content import ItemListener
    from lagoonsail_gateway.store_feed import WatcherChoice
    from lagoonsail_router.context import RouterContext

MAX_SILENCE_MS = 1000.0
"""Silence of the store after which a watch is restarted if another call fails."""
INITIAL_RETRY_MS = 150.0
"""Pause after the first failed call; doubled after each further one."""
MAX_RETRY_MS = 600.0
"""Maximum pause between calls while the store is unavailable."""
ANSWER_DELAY_MS = 100.0
"""Time that the answer to a waiting watch takes: a watch that waited longer was
answered because of a change of the last moment."""
FOLLOW_CHECK_MS = 50.0
"""Interval at which a follower checks whether it must ask the store itself."""
FOLLOW_LAG_MS = 300.0
"""Time within which a follower should be told of a change that another router knows."""
RELIST_AFTER_OUTAGE_MS = 2500.0
"""Time after an outage until all keys are listed again: by then live servers have
registered again."""


class StoreView:
    """Keeps the manifest, servers, evacuations and members up to date."""

    __slots__ = (
        "_call_started_ms",
        "_calls",
        "_choice",
        "_content",
        "_context",
        "_directory",
        "_has_new_changes",
        "_is_interrupted_for_lag",
        "_known_ms",
        "_listed_after",
        "_lag",
        "_pacing",
        "_relist_at_ms",
        "_routers",
        "_send_feed",
        "_watch_sent_ms",
        "is_up",
        "last_answer_ms",
        "on_answer",
        "revision",
    )

    last_answer_ms: float
    """Monotonic time of the store's last answer."""
    is_up: bool
    """Whether the last call was answered."""
    on_answer: Callable[[], None]
    """Called when a call was answered."""
    revision: StoreRevision | None
    """Store revision up to which the view is complete; None if a listing is needed."""

    def __init__(
        self,
        context: RouterContext,
        calls: StoreCalls,
        key_format: KeyFormat,
        directory: ServerDirectory,
        routers: FleetMembers,
        on_manifest: Callable[[Manifest], None],
        choice: WatcherChoice | None = None,
        send_feed: Callable[[FeedMessage], None] = lambda _message: None,
    ) -> None:
        """Create an empty view.

        Args:
            context: The router's shared state.
            calls: Calls to the store.
            key_format: Decodes the store's keys and values.
            directory: Gets the servers and evacuations.
            routers: Gets the members of the fleet.
            on_manifest: Called with each new manifest.
            choice: Decides whether the router watches the store itself; None if it
                always does.
            send_feed: Sends a message to the followers of this router.
        """
        self._context = context
        self._choice = choice
        self._send_feed = send_feed
        self._calls = calls
        self._directory = directory
        self._routers = routers
        self._content = StoreContent(
            context, key_format, directory, routers, on_manifest, self._wait_fields
        )
        self._lag = ViewLag(context.clock)
        self._pacing = WatchPacing(context, routers, self._uses_feed)
        self._relist_at_ms: float | None = None
        self._has_new_changes = False
        self._is_interrupted_for_lag = False
        self._call_started_ms = float("-inf")
        self._watch_sent_ms = float("inf")
        self._known_ms: float | None = None
        self._listed_after: StoreRevision | None = None
        self.revision = None
        self.last_answer_ms = float("-inf")
        self.is_up = False
        self.on_answer = lambda: None

    @property
    def manifest(self) -> Manifest | None:
        """The manifest in force, None until one is known."""
        return self._content.manifest

    def subscribe(self, prefix: str, listener: ItemListener) -> None:
        """Register a callback for the changes of some keys.

        Args:
            prefix: Prefix of the keys.
            listener: Called with each change, and with the monotonic time before which
                it was not made, None if that is not known.
        """
        self._content.subscribe(prefix, listener)

    # Calls to the store.

    def run(self) -> None:
        """Follow the store until the task ends."""
        mark_urgent()
        pause_ms = INITIAL_RETRY_MS
        while True:
            if self._can_follow():
                eventlet.sleep(FOLLOW_CHECK_MS / 1000.0)
                continue
            if self._step_safely():
                pause_ms = INITIAL_RETRY_MS
                if self._has_new_changes:
                    self._has_new_changes = False
                    eventlet.sleep(self._batch_pause_ms() / 1000.0)
                continue
            eventlet.sleep(pause_ms / 1000.0)
            pause_ms = min(2 * pause_ms, MAX_RETRY_MS)

    def _step_safely(self) -> bool:
        try:
            return self.step()
        except Exception:
            # An unexpected error must not stop the updates: list all keys again.
            self._context.count("task_errors_total", "store_view")
            self._context.logger.exception(
                "unexpected error while updating the store view; listing all keys again"
            )
            self._forget_revision()
            return False

    def step(self) -> bool:
        """Make one call to the store and apply its result.

        Returns:
            Whether the store answered.
        """
        now_ms = self._context.clock.now_ms()
        if self._relist_at_ms is not None and now_ms >= self._relist_at_ms:
            self._forget_revision()
        self._call_started_ms = now_ms
        if self.revision is None:
            return self._list()
        return self._watch()

    def _list(self) -> bool:
        listing = self._calls.list_all()
        if isinstance(listing, Unavailable):
            self._record_failure(listing)
            return False
        self._record_answer()
        self._relist_at_ms = None
        self.revision = listing.revision
        previous = self._listed_after
        is_restore = self._is_restore_after(previous)
        if is_restore:
            self._relist_at_ms = self._context.clock.now_ms() + RELIST_AFTER_OUTAGE_MS
            # Records may be missing, and come back soon.
            self._directory.record_store_outage()
        changes = self._content.apply_listing(listing)
        self._lag.update(self.revision)
        if is_restore:
            self._record_restore(previous, changes)
            self._tell_followers(previous, changes)
        return True

    def _forget_revision(self) -> None:
        """List all keys with the next call."""
        if self.revision is not None:
            self._listed_after = self.revision
        self.revision = None

    def _is_restore_after(self, previous: StoreRevision | None) -> bool:
        """Return whether the store was restored since a revision of the view."""
        return previous is not None and previous.generation < self.revision.generation

    def _record_restore(
        self, previous: StoreRevision, changes: list[StoreItem]
    ) -> None:
        self._context.count("store_restores_total")
        self._context.timeline.record(
            "store_restored",
            revision=str(self.revision),
            known=str(previous),
            changes=len(changes),
            held=",".join(self._content.held_keys()),
            manifest=self.manifest.version if self.manifest else None,
        )

    def _watch(self) -> bool:
        wait_ms = self._watch_timeout_ms()
        self._is_interrupted_for_lag = False
        sent_ms = self._watch_sent_ms = self._context.clock.now_ms()
        known_ms = self._known_ms
        changes = self._calls.watch(self.revision, wait_ms)
        self._watch_sent_ms = float("inf")
        if isinstance(changes, HistoryLost):
            self._context.timeline.record(
                "store_history_lost", after=str(self.revision), reason=changes.reason
            )
            self._forget_revision()
            return True
        if isinstance(changes, Unavailable):
            return self._handle_failed_watch(changes)
        self._record_answer()
        after = self.revision
        earliest_ms = self._earliest_change_ms(known_ms, sent_ms)
        self._apply_changes(changes.items, changes.revision, earliest_ms)
        if changes.items:
            self._has_new_changes = True
            self._tell_followers(after, changes.items)
        return True

    def _watch_timeout_ms(self) -> float:
        timeout_ms = self._pacing.timeout_ms(is_up=self.is_up)
        if self._relist_at_ms is None:
            return timeout_ms
        remaining_ms = self._relist_at_ms - self._context.clock.now_ms()
        return max(1.0, min(timeout_ms, remaining_ms))

    def _batch_pause_ms(self) -> float:
        return self._pacing.batch_pause_ms()

    def _handle_failed_watch(self, problem: Unavailable) -> bool:
        if self._is_interrupted_for_lag:
            # No outage: the store serves other routers.
            self._pacing.record_failure()
            return True
        self._record_failure(problem)
        return False

    def _record_failure(self, problem: Unavailable) -> None:
        # After an outage it is not known when a change was made.
        self._known_ms = None
        self._directory.record_store_outage()
        self._pacing.record_failure()
        self._context.count("store_failures_total")
        if self.is_up:
            self.is_up = False
            self._context.timeline.record("store_lost", reason=problem.reason)

    def _record_answer(self) -> None:
        now_ms = self._context.clock.now_ms()
        self.last_answer_ms = self._known_ms = now_ms
        self.on_answer()
        self._lag.end_back_off()
        if not self.is_up:
            self.is_up = True
            if self.revision is not None:
                self._directory.record_store_outage()
                self._relist_at_ms = now_ms + RELIST_AFTER_OUTAGE_MS
            self._context.timeline.record(
                "store_regained", revision=str(self.revision or NO_REVISION)
            )

    def _earliest_change_ms(
        self, known_ms: float | None, sent_ms: float
    ) -> float | None:
        """Return a time before which the changes of a watch were not made.

        Args:
            known_ms: Time of the answer before, which had all changes until then; None
                after an outage.
            sent_ms: When the watch was sent.
        """
        if known_ms is None:
            return None
        now_ms = self._context.clock.now_ms()
        is_waited_for = now_ms - sent_ms > ANSWER_DELAY_MS
        return max(known_ms, now_ms - ANSWER_DELAY_MS) if is_waited_for else known_ms

    def _apply_changes(
        self,
        items: list[StoreItem],
        revision: StoreRevision,
        earliest_ms: float | None,
    ) -> None:
        self.revision = max(self.revision, revision)
        self._content.apply_changes(items, earliest_ms)
        self._lag.update(self.revision)

    # Feed between routers; see `store_feed`.

    def _uses_feed(self) -> bool:
        return self._choice is not None and self._choice.uses_feed()

    def _can_follow(self) -> bool:
        """Return whether this router need not ask the store now."""
        if not self._uses_feed() or self._choice.is_watcher():
            return False
        if not self.is_up or self.revision is None or self._relist_at_ms is not None:
            return False
        return self._lag.behind_ms() < FOLLOW_LAG_MS

    def send_heartbeat(self) -> None:
        """Tell the followers that this router follows the store, if it does."""
        if self.is_up:
            self._tell_followers(self.revision, [])

    def _tell_followers(
        self, after: StoreRevision | None, items: list[StoreItem]
    ) -> None:
        if self.revision is None or not self._uses_feed():
            return
        if not self._choice.is_watcher():
            return
        age_ms = self._pacing.failure_age_ms()
        name = self._routers.name
        self._send_feed(FeedMessage(name, after, self.revision, items, age_ms))

    def apply_feed(self, message: FeedMessage) -> None:
        """Apply what a watcher tells.

        Args:
            message: The message.
        """
        if self._choice is None:
            return
        self._choice.record_heard(message.router)
        if message.failure_age_ms < RELIST_AFTER_OUTAGE_MS:
            self._directory.record_store_outage()
        if self._has_missed_changes(message):
            # They are asked for unless another watcher tells of them.
            self.update_peer_revision(message.revision)
            return
        if message.revision > self.revision:
            self._context.count("store_feed_total")
            self._apply_feed_changes(message)
        if message.revision == self.revision and self._known_ms is not None:
            # The watcher pauses after changes, and may have missed some meanwhile.
            delay_ms = self._batch_pause_ms() + ANSWER_DELAY_MS
            now_ms = self._context.clock.now_ms()
            self._known_ms = max(self._known_ms, now_ms - delay_ms)

    def _has_missed_changes(self, message: FeedMessage) -> bool:
        if self.revision is None or message.after > self.revision:
            return True
        is_restore = message.revision.generation > self.revision.generation
        # What a restored store has otherwise depends on what is known.
        return is_restore and message.after != self.revision

    def _apply_feed_changes(self, message: FeedMessage) -> None:
        previous, self.revision = self.revision, message.revision
        if not self._is_restore_after(previous):
            self._apply_changes(message.items, message.revision, self._known_ms)
            return
        self._directory.record_store_outage()
        self._content.apply_restore(message.items, message.revision)
        self._lag.update(self.revision)
        self._record_restore(previous, message.items)

    # Watches that bring nothing, though there are changes or the store is away.

    def update_peer_revision(self, revision: StoreRevision) -> None:
        """Note the revision of another router's store view.

        Args:
            revision: The revision.
        """
        self._lag.peer_revision = max(self._lag.peer_revision, revision)
        self._lag.update(self.revision)

    def check_lag(self) -> None:
        """Restart the watch if a peer has had a newer revision for some time."""
        self._content.end_holds()
        self._lag.update(self.revision)
        if not self._lag.is_overdue(self._watch_sent_ms):
            return
        self._is_interrupted_for_lag = True
        self._interrupt("another router has a newer revision")
        self._lag.back_off()

    def restart_silent_watch(self, reason: str) -> None:
        """Restart the watch if the store is silent, after another call went unanswered.

        Args:
            reason: How that call failed.
        """
        silent_ms = self._context.clock.now_ms() - self.last_answer_ms
        if self.is_up and silent_ms > MAX_SILENCE_MS:
            self._interrupt(reason)

    def _interrupt(self, reason: str) -> None:
        self._context.timeline.record(
            "store_watch_ended",
            reason=reason,
            revision=str(self.revision or NO_REVISION),
            told=str(self._lag.peer_revision),
            **self._wait_fields(),
        )
        self._calls.interrupt()

    def _wait_fields(self) -> dict[str, float]:
        """Return log fields that tell a late change from a late call."""
        now_ms = self._context.clock.now_ms()
        return {
            "waited_ms": round(now_ms - self._call_started_ms, 1),
            "behind_ms": round(max(0.0, self._lag.behind_ms()), 1),
            "loop_late_ms": round(self._context.loop_lateness.recent_ms(), 1),
        }
