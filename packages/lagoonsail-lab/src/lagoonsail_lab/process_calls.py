"""HTTP calls to the processes of a fleet."""

from __future__ import annotations

import base64
import json

from lagoonsail_core.green import urllib3
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_lab.processes import ProcessError

CALL_TIMEOUT_S = 5.0
"""Time for one call, seconds."""
READY_TIMEOUT_S = 1.0
"""Time for a router to say whether it is ready, seconds."""


def encode(text: str) -> str:
    """Return a text as the JSON gateway of the key-value service takes it."""
    return base64.b64encode(text.encode()).decode()


def decode(text: str) -> str:
    """Return a text that the JSON gateway of the key-value service gave."""
    return base64.b64decode(text).decode()


class ProcessCalls:
    """Calls processes by their address, with connections that are kept."""

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
            address: Its address.
            path: Path.
            value: Sent as JSON, if not None.

        Returns:
            The decoded answer, or why there is none.
        """
        body = None if value is None else json.dumps(value)
        try:
            answer = self._http.request(method, f"http://{address}{path}", body=body)
            if answer.status != 200:
                return Unavailable(f"status {answer.status}: {answer.data[:200]!r}")
            return answer.json()
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Unavailable(f"{type(error).__name__}: {error}")

    def order(self, address: str, orders: dict[str, object]) -> None:
        """Give orders to a stand-in's `/_control`.

        Args:
            address: Its address.
            orders: The orders.

        Raises:
            ProcessError: If it does not take them.
        """
        result = self.fetch("POST", address, "/_control", orders)
        if isinstance(result, Unavailable):
            raise ProcessError(
                f"{address} takes no orders: {result.reason}",
                "look at its files in the directory of the fleet",
            )

    def is_ready(self, admin: str) -> bool:
        """Return whether a router says that callers may come.

        Args:
            admin: Its address for operators.
        """
        url = f"http://{admin}/readyz"
        try:
            return self._http.request("GET", url, timeout=READY_TIMEOUT_S).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def put_document(self, store: str, key: str, text: str) -> None:
        """Write a key of the key-value service, whatever it holds.

        Args:
            store: Address of the service.
            key: The key.
            text: The value.

        Raises:
            ProcessError: If the service does not take it.
        """
        value = {"key": encode(key), "value": encode(text)}
        result = self.fetch("POST", store, "/v3/kv/put", value)
        if isinstance(result, Unavailable):
            raise ProcessError(f"put of {key}: {result.reason}", "look at key_value")

    def redirect_member(self, store: str, key: str, peers: str) -> None:
        """Change the address in a router's member record.

        Args:
            store: Address of the key-value service.
            key: Key of the record.
            peers: Address that other routers are to dial.

        Raises:
            ProcessError: If the record cannot be read or written.
        """
        encoded = encode(key)
        found = self.fetch("POST", store, "/v3/kv/range", {"key": encoded})
        if not found or not found.get("kvs"):
            raise ProcessError(f"no member record {key}", "look at the router's output")
        entry = found["kvs"][0]
        member = json.loads(decode(entry["value"]))
        member["peers"] = peers
        value = encode(json.dumps(member))
        put = {"key": encoded, "value": value, "lease": entry.get("lease", "0")}
        if not self.fetch("POST", store, "/v3/kv/put", put):
            raise ProcessError(f"no put of {key}", "look at key_value")
