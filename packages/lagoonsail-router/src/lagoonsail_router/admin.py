"""The operators' side of a router."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from lagoonsail_core import invariants
from lagoonsail_peer.signing import SignatureChecker, SignatureError
from lagoonsail_router.configuration import DOCUMENTS
from lagoonsail_router.context import SERVING
from lagoonsail_router.right import LAPSED

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.daemon import Daemon

MAX_BODY_BYTES = 1_100_000
"""Longest body of an operator's request."""
SIGNATURE_HEADER = "HTTP_X_LAGOONSAIL_SIGNATURE"
"""WSGI name of the header with the signature."""
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the metrics."""
INCARNATION_HEADER = "X-Lagoonsail-Incarnation"
"""Tells which start of the router an answer comes from."""
SINCE_PATTERN = re.compile("-?[0-9]{1,19}")
"""What a logical time may look like."""


class Admin:
    """Answers operators and the platform's balancer."""

    __slots__ = ("_checker", "_daemon", "_routes")

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        settings = daemon.context.settings
        self._checker = SignatureChecker(settings.shared_key, daemon.context.clock)
        self._routes: dict[tuple[str, str], tuple[bool, Callable]] = {
            ("GET", "/healthz"): (False, self._health),
            ("GET", "/readyz"): (False, self._ready),
            ("GET", "/metrics"): (False, self._metrics),
            ("GET", "/status"): (True, self._status),
            ("GET", "/timeline"): (True, self._timeline),
            ("POST", "/documents"): (True, self._push_document),
        }

    def serve(self, env: dict, start_response: Callable) -> list[bytes]:
        """Serve one request, as a WSGI application."""
        method, path = env["REQUEST_METHOD"], env["PATH_INFO"]
        route = self._routes.get((method, path))
        if route is None:
            return self._reply(
                start_response, 404, {"error": f"no {method} {path} here"}
            )
        is_signed, handler = route
        length = int(env.get("CONTENT_LENGTH") or 0)
        if length > MAX_BODY_BYTES:
            error = f"body of {length} bytes; send at most {MAX_BODY_BYTES}"
            return self._reply(start_response, 413, {"error": error})
        body = env["wsgi.input"].read(length) if length else b""
        if is_signed and not self._is_authentic(env, body):
            error = "missing or wrong signature; use lagoonctl with the fleet's key"
            return self._reply(start_response, 401, {"error": error})
        status, value = handler(env, body)
        return self._reply(start_response, status, value)

    def _reply(
        self, start_response: Callable, status: int, value: object
    ) -> list[bytes]:
        is_text = isinstance(value, bytes)
        body = value if is_text else json.dumps(value).encode()
        headers = [
            ("Content-Type", TEXT_TYPE if is_text else "application/json"),
            ("Content-Length", str(len(body))),
            (INCARNATION_HEADER, str(self._daemon.context.incarnation)),
        ]
        start_response(f"{status} {'OK' if status == 200 else 'Error'}", headers)
        return [body]

    def _is_authentic(self, env: dict, body: bytes) -> bool:
        query = env.get("QUERY_STRING", "")
        path = env["PATH_INFO"] + (f"?{query}" if query else "")
        value = env.get(SIGNATURE_HEADER, "")
        try:
            self._checker.check(env["REQUEST_METHOD"], path, body, value)
        except SignatureError:
            self._daemon.context.count("refused_operators_total")
            return False
        return True

    def _health(self, _env: dict, _body: bytes) -> tuple[int, object]:
        return 200, {"healthy": True}

    def _ready(self, _env: dict, _body: bytes) -> tuple[int, object]:
        reason = self._daemon.unready_reason()
        return (503 if reason else 200), {"ready": not reason, "reason": reason}

    def _metrics(self, _env: dict, _body: bytes) -> tuple[int, object]:
        return 200, self._daemon.render_metrics()

    def _status(self, _env: dict, _body: bytes) -> tuple[int, object]:
        daemon = self._daemon
        context, settings = daemon.context, daemon.context.settings
        waiting: dict[str, int] = {}
        for (service, _account), count in daemon.entry.queue.waiting.items():
            waiting[service] = waiting.get(service, 0) + count
        return 200, {
            "router": settings.name,
            "incarnation": context.incarnation,
            "side": settings.side,
            "region": settings.region,
            "failure_domain": settings.failure_domain,
            "state": context.state,
            "right": daemon.right.level(),
            "store": "up" if daemon.store_is_up() else "down",
            "configuration": daemon.configuration.revisions(),
            "members": sorted(daemon.configuration.members),
            "shards": {
                shard: owner.describe()
                for shard, owner in daemon.ownership.owned.items()
            },
            "owners": {
                shard: daemon.configuration.owner_of(shard)
                for shard in daemon.configuration.shards
            },
            "waiting": waiting,
            "running": daemon.entry.running,
            "invariant_violations": sum(invariants.violations.values()),
        }

    def _timeline(self, env: dict, _body: bytes) -> tuple[int, object]:
        query = parse_qs(env.get("QUERY_STRING", ""))
        since = query.get("since", ["0"])[0]
        if not SINCE_PATTERN.fullmatch(since):
            return 400, {"error": "since is not a number; send a logical time"}
        own = str(self._daemon.context.incarnation)
        # The logical time of an earlier start says nothing of this one's events.
        is_same = query.get("incarnation", [own])[0] == own
        events = self._daemon.context.timeline.since(int(since) if is_same else 0)
        return 200, [event.as_dict() for event in events]

    def _push_document(self, _env: dict, body: bytes) -> tuple[int, object]:
        try:
            fields = json.loads(body)
            key, revision = fields["key"], fields["revision"]
            value = fields["value"]
        except (ValueError, KeyError, TypeError):
            return 400, {"error": "send a JSON object with key, revision and value"}
        is_typed = isinstance(key, str) and isinstance(value, str)
        if not is_typed or type(revision) is not int or not key.startswith(DOCUMENTS):
            return 400, {"error": f"the key must begin with {DOCUMENTS}"}
        is_newer = self._daemon.configuration.apply(key, revision, value)
        held = self._daemon.configuration.records.get(key)
        in_force = held is not None and held.revision >= revision
        return (200 if in_force else 409), {"applied": is_newer, "in_force": in_force}


def unready_reason(daemon: Daemon) -> str:
    """Return why callers should go to another router, empty if they need not.

    Args:
        daemon: The router.
    """
    context = daemon.context
    if context.state != SERVING:
        return "the router is leaving"
    if not daemon.configuration.documents:
        return "no service document is known yet"
    if daemon.is_isolated():
        return "neither the key-value service nor another router can be reached"
    if daemon.right.level() == LAPSED and not daemon.peers.has_streams():
        return "the right has lapsed and no other router can be reached"
    return ""
