"""HTTP client for the admin address of one router."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from lagoonsail_core.checked_http import CheckedPool
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.records import RecordError
from lagoonsail_ctl.router_status import RouterStatus, decode_status
from lagoonsail_peer.signing import SIGNATURE_HEADER, sign

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Largest response body that is accepted."""
INCARNATION_HEADER = "X-Lagoonsail-Incarnation"
"""Response header that carries the router's incarnation with its time line."""


@dataclass(slots=True)
class Events:
    """Events that one router retains in its time line."""

    incarnation: str
    """Incarnation of the router, empty if the response does not name it."""
    items: list[dict[str, object]]
    """Events as flat dictionaries."""


@dataclass(slots=True)
class _Answer:
    body: object
    incarnation: str


class AdminClient:
    """Sends signed requests to the admin address of one router."""

    __slots__ = ("_clock", "_pool", "_shared_key", "_timeout_ms", "address")

    address: str
    """IP number and port."""

    def __init__(
        self, address: str, shared_key: bytes, timeout_ms: float, clock: Clock
    ) -> None:
        self.address = address
        self._shared_key = shared_key
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)
        self._pool.pool_classes_by_scheme = {"http": CheckedPool}

    def get_status(self) -> RouterStatus | Unavailable:
        """Return the router's status, or the reason why it is not available."""
        answer = self._call("GET", "/status")
        if isinstance(answer, Unavailable):
            return answer
        try:
            return decode_status(answer.body)
        except RecordError as error:
            return Unavailable(str(error))

    def get_timeline(self, since: int, incarnation: str) -> Events | Unavailable:
        """Return the events that the router retains.

        Args:
            since: Logical time; only events after it are returned.
            incarnation: Incarnation of the router to which ``since`` belongs, empty
                for any. If the router has another incarnation, it returns all events.

        Returns:
            The events, or the reason why they are not available.
        """
        query = {"since": since, "incarnation": incarnation}
        answer = self._call("GET", f"/timeline?{urlencode(query)}")
        if isinstance(answer, Unavailable):
            return answer
        items = answer.body
        is_list = type(items) is list and all(type(item) is dict for item in items)
        if not is_list:
            return Unavailable("the answer is not a list of events")
        return Events(answer.incarnation, items)

    def post_document(self, key: str, revision: int, text: str) -> None | Unavailable:
        """Send an accepted document to the router.

        Args:
            key: Key of the document in the key-value service.
            revision: Revision of the document.
            text: Text of the document.

        Returns:
            None, or the reason why the router did not accept it.
        """
        message = {"key": key, "revision": revision, "value": text}
        # Routers limit the size of the body; JSON escapes would enlarge it.
        data = json.dumps(message, ensure_ascii=False).encode("utf-8", "replace")
        answer = self._call("POST", "/documents", data)
        return answer if isinstance(answer, Unavailable) else None

    def _call(
        self, method: str, target: str, body: bytes = b""
    ) -> _Answer | Unavailable:
        signature = sign(self._shared_key, method, target, body, self._clock)
        headers = {SIGNATURE_HEADER: signature, "Content-Type": "application/json"}
        timeout_s = self._timeout_ms / 1000.0
        try:
            # The timeout of urllib3 applies to each read, this one to the whole call.
            with eventlet.Timeout(2 * timeout_s):
                return self._exchange(method, target, body, headers, timeout_s)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Unavailable(f"no answer ({type(error).__name__})")
        except eventlet.Timeout:
            return Unavailable(f"no complete answer within {2 * timeout_s:g} s")

    def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
    ) -> _Answer | Unavailable:
        answer = self._pool.request(
            method,
            f"http://{self.address}{target}",
            body=body or None,
            headers=headers,
            timeout=timeout_s,
            redirect=False,
            preload_content=False,
        )
        try:
            data = answer.read(MAX_ANSWER_BYTES + 1)
        finally:
            answer.close()
        if answer.status >= 300:
            return Unavailable(f"status {answer.status}: {_describe_problem(data)}")
        if len(data) > MAX_ANSWER_BYTES:
            return Unavailable(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
        try:
            body = json.loads(data) if data else None
        except (ValueError, RecursionError):
            return Unavailable("the answer is not JSON")
        return _Answer(body, answer.headers.get(INCARNATION_HEADER, ""))


def _describe_problem(data: bytes) -> str:
    """Return the detail of a problem document, or the first bytes of the answer."""
    try:
        body = json.loads(data)
        return str(body.get("detail") or body["error"])[:200]
    except (ValueError, KeyError, AttributeError, RecursionError):
        return repr(data[:80].decode("utf-8", "replace"))
