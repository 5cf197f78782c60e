"""HTTP calls to the processes of a fleet."""

from __future__ import annotations

import base64
import json

from lagoonsail_core.clock import Clock
from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_lab.processes import ProcessError

CALL_TIMEOUT_S = 5.0
"""Timeout of a call, seconds."""
READY_TIMEOUT_S = 1.0
"""Timeout of a readiness check, seconds."""
MEMBER_TIMEOUT_MS = 10_000.0
"""Time until a ready router has written its member record, milliseconds. A slow router
may lose its lease and then has to write the record again."""
MEMBER_POLL_INTERVAL_S = 0.05
"""Time between two reads of a member record that is missing, seconds."""


def encode(text: str) -> str:
    """Encode a text for the JSON gateway of the key-value service."""
    return base64.b64encode(text.encode()).decode()


def decode(text: str) -> str:
    """Decode a text from the JSON gateway of the key-value service."""
    return base64.b64decode(text).decode()


class ProcessCalls:
    """Makes HTTP calls to processes over a connection pool."""

    __slots__ = ("_http",)

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(
            num_pools=200, maxsize=4, retries=False, timeout=CALL_TIMEOUT_S
        )

    def close(self) -> None:
        """Close all connections."""
        self._http.clear()

    def fetch(
        self, method: str, address: str, path: str, value: object = None
    ) -> dict | list | Unavailable:
        """Call a process.

        Args:
            method: HTTP method.
            address: Address of the process.
            path: Path.
            value: Value to send as JSON; None for no body.

        Returns:
            The decoded answer, or the reason why there is none.
        """
        body = None if value is None else json.dumps(value)
        try:
            answer = self._http.request(method, f"http://{address}{path}", body=body)
            if answer.status != 200:
                return Unavailable(f"status {answer.status}: {answer.data[:200]!r}")
            return answer.json()
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Unavailable(f"{type(error).__name__}: {error}")

    def send_control(self, address: str, orders: dict[str, object]) -> None:
        """Send control values to a stand-in's `/_control`.

        Args:
            address: Address of the stand-in.
            orders: Control values by name.

        Raises:
            ProcessError: If the stand-in does not accept them.
        """
        result = self.fetch("POST", address, "/_control", orders)
        if isinstance(result, Unavailable):
            raise ProcessError(
                f"{address} rejected the control request: {result.reason}",
                "read its output in the directory of the fleet",
            )

    def is_ready(self, admin: str) -> bool:
        """Return whether a router reports itself ready for callers.

        Args:
            admin: Address on which it serves operators.
        """
        url = f"http://{admin}/readyz"
        try:
            return self._http.request("GET", url, timeout=READY_TIMEOUT_S).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def put_document(self, store: str, key: str, text: str) -> None:
        """Write a key of the key-value service unconditionally.

        Args:
            store: Address of the service.
            key: The key.
            text: The value.

        Raises:
            ProcessError: If the service does not accept the write.
        """
        value = {"key": encode(key), "value": encode(text)}
        result = self.fetch("POST", store, "/v3/kv/put", value)
        if isinstance(result, Unavailable):
            raise ProcessError(
                f"writing {key} failed: {result.reason}", "read the output of key_value"
            )

    def redirect_member(self, store: str, key: str, peers: str) -> None:
        """Replace the peers address in a router's member record, once it is written.

        Args:
            store: Address of the key-value service.
            key: Key of the record.
            peers: Address for other routers to dial.

        Raises:
            ProcessError: If the record cannot be read in time, or not written.
        """
        encoded = encode(key)
        entry = self._wait_for_entry(store, encoded)
        if entry is None:
            raise ProcessError(f"no member record {key}", "read the router's output")
        member = json.loads(decode(entry["value"]))
        member["peers"] = peers
        value = encode(json.dumps(member))
        put = {"key": encoded, "value": value, "lease": entry.get("lease", "0")}
        if not self.fetch("POST", store, "/v3/kv/put", put):
            raise ProcessError(f"writing {key} failed", "read the output of key_value")

    def _wait_for_entry(self, store: str, encoded_key: str) -> dict | None:
        clock = Clock()
        deadline_ms = clock.now_ms() + MEMBER_TIMEOUT_MS
        while True:
            found = self.fetch("POST", store, "/v3/kv/range", {"key": encoded_key})
            if found and found.get("kvs"):
                return found["kvs"][0]
            if clock.now_ms() > deadline_ms:
                return None
            eventlet.sleep(MEMBER_POLL_INTERVAL_S)
