"""The admin port of a router: health, metrics, status and pushed documents."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from lagoonsail_core import invariants
from lagoonsail_core.names import NAME_PATTERN
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_peer.signing import SignatureChecker, SignatureError
from lagoonsail_router.configuration import DOCUMENTS
from lagoonsail_router.context import SERVING
from lagoonsail_router.right import LAPSED

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_router.daemon import Daemon

MAX_BODY_BYTES = 1_100_000
"""Longest accepted body of an admin request."""
SIGNATURE_HEADER = "HTTP_X_LAGOONSAIL_SIGNATURE"
"""WSGI name of the signature header."""
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the metrics."""
MAX_REVISION = 2**63 - 1
"""Greatest revision of the key-value service."""
BODY_TOO_LARGE = "body_too_large"
"""The body is longer than MAX_BODY_BYTES."""
BODY_TRUNCATED = "body_truncated"
"""The body is shorter than its Content-Length."""
INCARNATION_HEADER = "X-Lagoonsail-Incarnation"
"""Response header with the incarnation of the router that answers."""
LOGICAL_TIME_PATTERN = re.compile("-?[0-9]{1,19}")
"""Valid logical times in a query."""


class Admin:
    """Serves requests of operators and of the platform's balancer."""

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
        try:
            status, value = self._handle_request(env)
        except Exception:
            self._daemon.context.logger.exception(
                "an admin request failed unexpectedly; answering with status 500"
            )
            status, value = 500, {"error": "internal error; report the router's log"}
            self.count_refused("internal_error")
        return self._reply(start_response, status, value)

    def count_refused(self, reason: str) -> None:
        """Count a refused request.

        Args:
            reason: Reason from a bounded set, used as a metric label.
        """
        self._daemon.context.count("refused_operators_total", reason)

    def _handle_request(self, env: dict) -> tuple[int, object]:
        method, path = env["REQUEST_METHOD"], env["PATH_INFO"]
        route = self._routes.get((method, path))
        if route is None:
            self.count_refused("unknown_path")
            return 404, {"error": f"no {method} {path} here"}
        is_signed, handler = route
        body = _read_body(env)
        if isinstance(body, Unavailable):
            self.count_refused(body.reason)
            return (413 if body.reason == BODY_TOO_LARGE else 400), {
                "error": f"{body.reason}; send at most {MAX_BODY_BYTES} bytes with "
                "their Content-Length"
            }
        if is_signed and not self._is_authentic(env, body):
            error = "missing or wrong signature; use lagoonctl with the fleet's key"
            return 401, {"error": error}
        status, value = handler(env, body)
        if status == 400:
            self.count_refused("malformed")
        return status, value

    def _reply(
        self, start_response: Callable, status: int, value: object
    ) -> list[bytes]:
        is_text = isinstance(value, bytes)
        body = value if is_text else json.dumps(value).encode()
        headers = [
            ("Content-Type", METRICS_CONTENT_TYPE if is_text else "application/json"),
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
        except SignatureError as error:
            self.count_refused(error.reason)
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
            "store": "up" if daemon.is_store_reachable() else "down",
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
        if not LOGICAL_TIME_PATTERN.fullmatch(since):
            return 400, {"error": "since is not a number; send a logical time"}
        own = str(self._daemon.context.incarnation)
        # Logical times of another incarnation do not apply to this one's events.
        is_same_start = query.get("incarnation", [own])[0] == own
        events = self._daemon.context.timeline.since(int(since) if is_same_start else 0)
        return 200, [event.as_dict() for event in events]

    def _push_document(self, _env: dict, body: bytes) -> tuple[int, object]:
        document = _parse_pushed_document(body)
        if isinstance(document, Unavailable):
            return 400, {"error": document.reason}
        key, revision, value = document
        is_newer = self._daemon.configuration.apply(key, revision, value)
        stored = self._daemon.configuration.records.get(key)
        in_force = stored is not None and stored.revision >= revision
        return (200 if in_force else 409), {"applied": is_newer, "in_force": in_force}


def _read_body(env: dict) -> bytes | Unavailable:
    length = int(env.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        return Unavailable(BODY_TOO_LARGE)
    if not length:
        return b""
    try:
        body = env["wsgi.input"].read(length)
    except OSError:
        return Unavailable(BODY_TRUNCATED)
    return body if len(body) == length else Unavailable(BODY_TRUNCATED)


def _parse_pushed_document(body: bytes) -> tuple[str, int, str] | Unavailable:
    """Return key, revision and value of a pushed document."""
    try:
        fields = json.loads(body)
        key, revision, value = fields["key"], fields["revision"], fields["value"]
        value.encode()
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return Unavailable("send a JSON object with key, revision and value")
    if type(key) is not str or type(value) is not str or type(revision) is not int:
        return Unavailable("send a text, a number and a text")
    names = key.removeprefix(DOCUMENTS).split("/")
    is_key = key.startswith(DOCUMENTS) and len(names) == 2
    if not is_key or not all(NAME_PATTERN.fullmatch(name) for name in names):
        return Unavailable(f"the key must be {DOCUMENTS}SIDE/SERVICE")
    if not 0 < revision <= MAX_REVISION:
        return Unavailable("the revision is no revision of the key-value service")
    return key, revision, value


def unready_reason(daemon: Daemon) -> str:
    """Return why callers should use another router, empty if this one is ready.

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
    if not context.callers.can_accept():
        return "no connection of a caller can be accepted"
    return ""
