"""The streams to other routers, and the dispatch of their messages to handlers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from lagoonsail_core.messages import (
    ConfigOffer,
    ConfigPush,
    Heartbeat,
    Hello,
)
from lagoonsail_peer.heartbeats import HeartbeatScheduler
from lagoonsail_peer.link import PeerLink
from lagoonsail_peer.server import PeerServer
from lagoonsail_peer.stream import StreamOptions
from lagoonsail_router.configuration import PEER_REPLICATED_PREFIXES

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_peer.stream import PeerStream
    from lagoonsail_router.configuration import Configuration
    from lagoonsail_router.context import RouterContext

PUSH_SIZE_CHARS = 1_000_000
"""Size of the values, in characters, above which a configuration message is sent."""


class PeerDirectory:
    """Streams by router name, and message handlers by message type."""

    __slots__ = (
        "_configuration",
        "_context",
        "_digests",
        "_handlers",
        "_links",
        "_on_close",
        "_on_open",
        "_options",
        "_server",
        "_stopped_counters",
        "streams",
    )

    streams: dict[str, list[PeerStream]]
    """Open streams by the remote router's name, oldest first."""

    def __init__(self, context: RouterContext, configuration: Configuration) -> None:
        self._context = context
        self._configuration = configuration
        self._handlers: dict[type, Callable] = {
            Heartbeat: self._handle_heartbeat,
            ConfigOffer: self._handle_offer,
            ConfigPush: self._handle_push,
        }
        self._on_open: list[Callable] = []
        self._on_close: list[Callable] = []
        self._links: dict[str, tuple[str, PeerLink]] = {}
        self._digests: dict[str, tuple[int, int]] = {}
        # Counters of links that have been stopped.
        self._stopped_counters: Counter = Counter()
        self.streams = {}
        settings = context.settings
        # Shared, so that all streams send their heartbeats at the same time.
        self._options = self._make_options()
        self._server = PeerServer(
            settings.peers_address,
            settings.shared_key,
            self._options,
            settings.peers_transport,
            settings.advertised_peers_address,
        )

    def _make_options(self) -> StreamOptions:
        settings, clock = self._context.settings, self._context.clock
        return StreamOptions(
            make_hello=self._make_hello,
            timeline=self._context.timeline,
            on_open=self._handle_open,
            on_messages=self.dispatch,
            on_close=self._handle_close,
            flush_ms=settings.flush_ms,
            silence_ms=settings.silence_ms,
            make_heartbeat=self._make_heartbeat,
            heartbeats=HeartbeatScheduler(settings.heartbeat_ms, clock),
            clock=clock,
        )

    def _make_hello(self) -> Hello:
        return Hello(
            self._context.settings.name,
            self._context.incarnation,
            self._context.settings.region,
            self._context.clock.now_ms(),
        )

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(self._context.clock.now_ms(), self._configuration.digest)

    def start(self) -> None:
        """Listen for streams of other routers."""
        self._server.start()

    def stop(self) -> None:
        """Close all streams."""
        for _, link in list(self._links.values()):
            link.stop()
        self._server.stop()

    def handle(self, kind: type, handler: Callable) -> None:
        """Register the handler of a message type, called with stream and message."""
        self._handlers[kind] = handler

    def subscribe(self, on_open: Callable, on_close: Callable) -> None:
        """Call the listeners with each stream that opens or closes."""
        self._on_open.append(on_open)
        self._on_close.append(on_close)

    def stream_to(self, router: str) -> PeerStream | None:
        """Return an open stream to a router, or dial the router if there is none.

        Args:
            router: Name of the other router.

        Returns:
            The oldest open stream, None if there is none yet.
        """
        streams = self.streams.get(router)
        if streams:
            return streams[0]
        self._dial(router)
        return None

    def is_connected(self, router: str) -> bool:
        """Return whether a stream to a router is open.

        Args:
            router: Name of the other router.

        Returns:
            Whether it is; a silent stream counts until it is closed.
        """
        return bool(self.streams.get(router))

    def has_streams(self) -> bool:
        """Return whether any other router is connected."""
        return any(self.streams.values())

    def counters(self) -> Counter:
        """Return counts of frames, messages, bytes and closed streams by kind."""
        links = [link for _, link in self._links.values()]
        total = Counter(self._stopped_counters)
        for part in (self._server, *links):
            total.update(part.counters)
        return total

    def update_links(self) -> None:
        """Dial the members of the region, and drop closed links to former members."""
        settings = self._context.settings
        for member in list(self._configuration.members.values()):
            # A stream carries both directions, so only the lower name dials.
            if member.region == settings.region and settings.name < member.router:
                self._dial(member.router)
        for router in list(self._links):
            if router not in self._configuration.members:
                self._drop_link_if_closed(router)

    def dispatch(self, stream: PeerStream, messages: list) -> None:
        """Hand each message to its handler.

        Args:
            stream: The stream that delivered the messages.
            messages: The messages in order.
        """
        for message in messages:
            handler = self._handlers.get(type(message))
            if handler is None:
                self._context.count("unexpected_messages_total")
                continue
            handler(stream, message)

    def dial(self, router: str, address: str) -> None:
        """Maintain a stream to a router, which is dialed again when it closes.

        Args:
            router: Name of the other router.
            address: Its address for streams between routers.
        """
        known_address, link = self._links.get(router, ("", None))
        if known_address == address:
            return
        if link:
            self._stop_link(link)
        settings = self._context.settings
        link = PeerLink(
            address, settings.shared_key, self._options, settings.peers_transport
        )
        self._links[router] = (address, link)
        link.start()

    def _dial(self, router: str) -> None:
        member = self._configuration.members.get(router)
        if member and router != self._context.settings.name:
            self.dial(router, member.peers)

    def _drop_link_if_closed(self, router: str) -> None:
        # An open stream proves that the router is alive, even if it is no member.
        if self.streams.get(router):
            return
        _, link = self._links.pop(router)
        self._stop_link(link)

    def _stop_link(self, link: PeerLink) -> None:
        link.stop()
        self._stopped_counters.update(link.counters)

    def _handle_open(self, stream: PeerStream, _hello: Hello) -> None:
        self.streams.setdefault(stream.name, []).append(stream)
        self._context.timeline.record("peer_connected", peer=stream.name)
        for listener in self._on_open:
            listener(stream)

    def _handle_close(self, stream: PeerStream) -> None:
        streams = self.streams.get(stream.name, [])
        if stream in streams:
            streams.remove(stream)
        self._context.timeline.record("peer_disconnected", peer=stream.name)
        for listener in self._on_close:
            listener(stream)

    def _handle_heartbeat(self, stream: PeerStream, heartbeat: Heartbeat) -> None:
        digests = (heartbeat.config_digest, self._configuration.digest)
        previous = self._digests.get(stream.name)
        self._digests[stream.name] = digests
        # A change in transit also makes the digests differ, but not in the same way at
        # two heartbeats in a row.
        if digests[0] != digests[1] and digests == previous:
            self._context.count("config_offers_total")
            stream.send(ConfigOffer(self._configuration.revisions()))

    def _handle_offer(self, stream: PeerStream, offer: ConfigOffer) -> None:
        entries = self._configuration.newer_than(offer.revisions)
        batch: list[list] = []
        size = 0
        for entry in entries:
            batch.append(entry)
            size += len(entry[2])
            if size > PUSH_SIZE_CHARS:
                stream.send(ConfigPush(batch))
                batch, size = [], 0
        if batch:
            stream.send(ConfigPush(batch))

    def _handle_push(self, stream: PeerStream, push: ConfigPush) -> None:
        for entry in push.entries:
            if len(entry) != 3:
                self._context.count("malformed_pushes_total")
                continue
            key, revision, value = entry
            is_typed = type(key) is str and type(revision) is int and type(value) is str
            if not is_typed or not key.startswith(PEER_REPLICATED_PREFIXES):
                self._context.count("malformed_pushes_total")
                continue
            if self._configuration.apply(key, revision, value):
                self._context.count("records_from_peers_total")
